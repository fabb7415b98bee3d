"""Random faults of the platform, the network and the processes."""

import random
from collections.abc import Awaitable, Callable

import anyio

from gypsumring.ports import VmRole
from soak.cell import SoakCell
from soak.platform import make_vm
from soak.process import NodeProcess

__all__ = ["Faults"]

# Left running, so that a run also does work.
MIN_SCHEDULERS = 2
MIN_GATEWAYS = 1
# More than the ledgers and the configuration append between two snapshots.
RETAINED_RECORDS = {"config": 40, "ledger": 400}


class Faults:
    """Start faults that end by themselves; several may hold at the same time.

    Each fault is a coroutine that switches something, waits and switches it back, also
    when it is cancelled at the end of the fault phase.
    """

    def __init__(self, cell: SoakCell, random_source: random.Random):
        self.cell = cell
        self.platform = cell.platform
        self.random_source = random_source
        self.active: dict[str, str] = {}
        self.count = 0
        self.burst = 1.0
        self.kinds: dict[str, tuple[int, Callable[[], Awaitable[None]]]] = {
            "log_down": (2, self.log_down),
            "log_silent": (1, self.log_silent),
            "log_slow": (2, self.log_slow),
            "log_lost_answers": (3, self.log_lost_answers),
            "log_late_effect": (2, self.log_late_effect),
            "log_cut_off": (3, self.log_cut_off),
            "log_retention": (2, self.log_retention),
            "kill": (8, self.kill),
            "pause": (8, self.pause),
            "drain": (4, self.drain),
            "partition": (5, self.partition),
            "vm_list": (4, self.vm_list),
            "worker": (10, self.worker),
            "worker_lost": (4, self.worker_lost),
            "executor": (10, self.executor),
            "executor_leaves": (3, self.executor_leaves),
            "load_burst": (2, self.load_burst),
        }

    def step(self, group: anyio.abc.TaskGroup, share: float) -> None:
        """Start a fault with the given probability."""
        if self.random_source.random() < share:
            names = list(self.kinds)
            weights = [self.kinds[name][0] for name in names]
            name = self.random_source.choices(names, weights)[0]
            group.start_soon(self.kinds[name][1])

    async def hold(self, key: str, switch: Callable[[bool], None], longest_s: float):
        """Switch a fault on for a random time, unless its target has one already."""
        if key in self.active:
            return
        duration_s = self.random_source.uniform(longest_s / 10, longest_s)
        self.begin(key, f"for {duration_s:.1f} s")
        try:
            switch(True)
            await anyio.sleep(duration_s)
        finally:
            switch(False)
            self.end(key)

    def begin(self, key: str, detail: str = "") -> None:
        """Note the start of a fault."""
        self.active[key] = detail
        self.count += 1
        self.cell.trace.note_fault(anyio.current_time(), f"{key} {detail}".strip())

    def end(self, key: str) -> None:
        """Note the end of a fault."""
        del self.active[key]
        self.cell.trace.note_fault(anyio.current_time(), f"{key} ends")

    def pick_name(self) -> str:
        """Return the name of a random node."""
        return self.random_source.choice(sorted(self.cell.nodes))

    # --- log and VM list ----------------------------------------------------------

    async def log_down(self) -> None:
        """The log refuses all calls."""
        faults = self.platform.log.faults
        await self.hold("log down", lambda on: setattr(faults, "down", on), 15)

    async def log_silent(self) -> None:
        """Calls that fail get no answer at all; the log itself is down as well."""
        faults = self.platform.log.faults

        def switch(on: bool) -> None:
            faults.silent = faults.down = on

        if "log down" not in self.active:
            self.active["log down"] = ""
            try:
                await self.hold("log silent", switch, 10)
            finally:
                del self.active["log down"]

    async def log_slow(self) -> None:
        """Each call takes up to ten seconds."""
        faults = self.platform.log.faults
        slow_ms = self.random_source.randint(200, 10_000)
        await self.hold(
            "log slow", lambda on: setattr(faults, "slow_ms", slow_ms if on else 0), 15
        )

    async def log_lost_answers(self) -> None:
        """Appends take effect without an answer."""
        faults = self.platform.log.faults
        share = self.random_source.uniform(0.1, 0.9)
        await self.hold(
            "log loses answers",
            lambda on: setattr(faults, "lost_answers", share if on else 0.0),
            30,
        )

    async def log_late_effect(self) -> None:
        """Appends that got an error take effect later."""
        faults = self.platform.log.faults
        late_ms = self.random_source.randint(200, 8_000)

        def switch(on: bool) -> None:
            faults.late_effect_ms = late_ms if on else 0
            faults.lost_answers = 0.3 if on else 0.0

        if "log loses answers" not in self.active:
            self.active["log loses answers"] = ""
            try:
                await self.hold("log late", switch, 20)
            finally:
                del self.active["log loses answers"]

    async def log_cut_off(self) -> None:
        """One node alone cannot reach the log."""
        name, cut_off = self.pick_name(), self.platform.log.faults.cut_off
        await self.hold(
            f"log cut off from {name}",
            lambda on: cut_off.add(name) if on else cut_off.discard(name),
            25,
        )

    async def log_retention(self) -> None:
        """The log keeps few records."""
        limits = self.platform.log.limits
        await self.hold(
            "log retention",
            lambda on: limits.update(RETAINED_RECORDS) if on else limits.clear(),
            60,
        )

    async def vm_list(self) -> None:
        """The VM list is down, stale, empty or lacks some upstreams."""
        state = self.platform.vm_list
        now = anyio.current_time()
        upstreams = list(self.platform.workers) + list(self.platform.executors)
        hidden = self.random_source.sample(upstreams, 3)
        switches = {
            "down": lambda on: setattr(state, "down", on),
            "stale": lambda on: setattr(state, "frozen_at", now if on else None),
            "empty": lambda on: setattr(state, "is_empty", on),
            "wrong": lambda on: (
                state.hidden.update(hidden) if on else state.hidden.clear()
            ),
        }
        kind = self.random_source.choice(sorted(switches))
        await self.hold(f"VM list {kind}", switches[kind], 15)

    # --- processes ----------------------------------------------------------------

    def take_process(self) -> NodeProcess | None:
        """Return a random process that may be disturbed, leaving enough others."""
        source = self.random_source
        prefix, least = source.choice(
            (("entry", MIN_SCHEDULERS),) * 2 + (("gw", MIN_GATEWAYS),)
        )
        living = [
            process
            for name, process in sorted(self.cell.nodes.items())
            if name.startswith(prefix) and process.is_alive and process.drain_at is None
        ]
        free = [p for p in living if not p.is_paused]
        return source.choice(free) if len(free) > least else None

    async def kill(self) -> None:
        """A process dies; it is restarted, or its VM is replaced."""
        process = self.take_process()
        if process is None or process.root is None:
            return
        key = f"{process.name} dead"
        replaced = self.random_source.random() < 0.4
        self.begin(key, "replaced" if replaced else "restarted")
        process.kill()
        await self.come_back(process, key, replaced, 8)

    async def come_back(
        self, process: NodeProcess, key: str, replaced: bool, longest_s: float
    ) -> None:
        """Start the successor of an ended process after a while."""
        try:
            await anyio.sleep(self.random_source.uniform(0.2, longest_s))
        finally:
            self.cell.forget(process)
            if replaced:
                self.cell.replace(process)
            else:
                self.cell.restart(process)
            self.end(key)

    async def pause(self) -> None:
        """All tasks of a process stand still, often longer than its lease."""
        process = self.take_process()
        if process is None or process.root is None:
            return

        def switch(on: bool) -> None:
            if on:
                process.pause()
            elif process.is_alive:
                process.resume()

        await self.hold(f"{process.name} paused", switch, 14)

    async def drain(self) -> None:
        """A process is stopped gracefully, then restarted or replaced."""
        process = self.take_process()
        if process is None or process.group is None:
            return
        key = f"{process.name} drains"
        replaced = self.random_source.random() < 0.5
        self.begin(key, "replaced" if replaced else "restarted")
        process.stop()
        try:
            # A platform ends a process that does not stop in time.
            with anyio.move_on_after(60):
                await process.closed.wait()
        finally:
            if process.is_alive:
                process.kill()
            with anyio.CancelScope(shield=True):
                await self.come_back(process, key, replaced, 3)

    async def partition(self) -> None:
        """Some nodes are cut off from the others, often from the log as well."""
        source = self.random_source
        names = sorted(self.cell.nodes)
        apart = source.sample(names, source.randint(1, 3))
        with_log = source.random() < 0.3
        cut_off = self.platform.log.faults.cut_off

        def switch(on: bool) -> None:
            self.cell.peers.partition(*([apart] if on else []))
            if with_log:
                (cut_off.update if on else cut_off.difference_update)(apart)

        await self.hold("partition", switch, 20)

    # --- upstreams ----------------------------------------------------------------

    async def worker(self) -> None:
        """A worker fails calls in one of several ways."""
        source = self.random_source
        name = source.choice(sorted(self.platform.workers))
        faults = self.platform.workers[name].faults
        node = self.pick_name()
        values = {
            "fail_all": True,
            "slow_ms": source.randint(100, 3_000),
            "delayed_ms": source.randint(100, 12_000),
            "lost_answers": source.uniform(0.2, 1.0),
            "cut_off": True,
            "cut_off_from": {node},
        }
        kind = source.choice(sorted(values))
        normal = getattr(type(faults)(), kind)
        await self.hold(
            f"worker {name} {kind}",
            lambda on: setattr(faults, kind, values[kind] if on else normal),
            45 if kind == "cut_off" else 20,
        )

    async def worker_lost(self) -> None:
        """A worker's VM fails; it comes back empty, or another VM replaces it."""
        source = self.random_source
        name = source.choice(sorted(self.platform.workers))
        key = f"worker {name} dead"
        if key in self.active:
            return
        state = self.platform.workers[name]
        replaced = source.random() < 0.4
        self.begin(key, "replaced" if replaced else "restarted")
        state.kill(anyio.current_time())
        try:
            await anyio.sleep(source.uniform(3, 20))
        finally:
            self.end(key)
            if replaced:
                now = anyio.current_time()
                self.platform.vm_list.remove(name, now)
                vm = make_vm(f"{name}n", VmRole.WORKER, state.data_centre)
                self.platform.add_upstream(vm)
                self.platform.vm_list.add(vm, now)
                # The name never comes back, and its records were checked.
                self.platform.retire_worker(name)
            else:
                state.revive()

    async def executor(self) -> None:
        """An executor answers late, wrongly or not at all."""
        source = self.random_source
        name = source.choice(sorted(self.platform.executors))
        faults = self.platform.executors[name].faults
        values = {
            "slow_ms": source.randint(100, 5_000),
            "late": source.uniform(0.1, 1.0),
            "crossed": source.uniform(0.1, 1.0),
            "cut_off": source.uniform(0.1, 1.0),
            "failing": source.uniform(0.1, 1.0),
            "dead": True,
            "cut_off_from": {self.pick_name()},
        }
        kind = source.choice(sorted(values))
        normal = getattr(type(faults)(), kind)
        await self.hold(
            f"executor {name} {kind}",
            lambda on: setattr(faults, kind, values[kind] if on else normal),
            20,
        )

    async def executor_leaves(self) -> None:
        """An executor is listed as leaving for a while, then listed as live."""
        name = self.random_source.choice(sorted(self.platform.executors))
        await self.hold(
            f"executor {name} leaves",
            lambda on: self.platform.set_leaving(name, on),
            20,
        )

    async def load_burst(self) -> None:
        """Callers send many times the usual number of requests."""
        factor = self.random_source.uniform(3, 12)
        await self.hold(
            "load burst", lambda on: setattr(self, "burst", factor if on else 1.0), 5
        )
