"""Partitions of the nodes and outages of the store, beside kills and short pauses."""

import enum
import random
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from soak.nodes.fleet import Machine
from stand_ins.platform.executor import ExecutorModel, TaskRun
from stand_ins.platform.network import Network
from stand_ins.platform.peers import Cut

__all__ = ["FaultPlayer", "Kind", "RecordingExecutor"]

# A partition ends before or after the next owner takes the leases of 5 s for expired.
PARTITION_RANGE_S = (4.0, 12.0)
# These outlast the takeover and the leases, also from the second step of a fault on.
LONG_RANGE_S = (9.0, 12.0)
LATE_RANGE_S = (4.0, 5.8)
STRANGER_S = 3.0
KILL_SHARE = 0.3
RESTART_S = 1.0
START_RANGE_S = (0.5, 6.0)
PAUSE_SHARE = 0.3
PAUSE_RANGE_S = (0.3, 0.9)
# Runs that lapse with an earlier fault have ended after this time.
SETTLE_S = 8.0


class Kind(enum.Enum):
    """Kinds of faults; all but the last one are partitions."""

    # The owner is cut off with some executors, which the other nodes do not reach.
    ISOLATION = "isolation"
    # The same, but it receives the messages of the other nodes before the end.
    LATE = "late"
    # A node that has lost the owner reaches the store alone.
    STRANGER = "stranger"
    # Another node starts meanwhile, on either side.
    START = "start"
    # The store answers no node.
    OUTAGE = "outage"


class RecordingExecutor(ExecutorModel):
    """Executor that records the runs which have lapsed or were stopped."""

    __slots__ = ("lost",)

    def start_incarnation(self) -> None:
        """Start a new incarnation without any recorded state."""
        self.lost: list[str] = []
        super().start_incarnation()

    def end(self, run: TaskRun, how: str) -> None:
        """End an attempt and add it to the ends that the executor reports."""
        if how in ("lapsed", "stopped"):
            where = f"{run.task}/{run.attempt} on {self.executor_id}"
            self.lost.append(f"{where} has {how}")
        super().end(run, how)


@contextmanager
def cutting(cuts: list[Cut]) -> Iterator[None]:
    """Cut paths while the context lasts."""
    for cut in cuts:
        cut.begin()
    try:
        yield
    finally:
        for cut in cuts:
            cut.end()


class FaultPlayer:
    """Play faults on the owner, beside kills of other nodes and pauses of any node."""

    __slots__ = ("kinds", "machines", "network", "played", "report", "source")

    def __init__(
        self,
        machines: list[Machine],
        network: Network,
        source: random.Random,
        kinds: list[Kind],
        report: Callable[[str], None],
    ):
        self.machines = machines
        self.network = network
        self.source = source
        self.kinds = kinds
        self.report = report
        # Descriptions of the faults so far.
        self.played: list[str] = []

    async def play(self, owner: str) -> None:
        """Play one fault and wait until it has ended."""
        source, kind = self.source, self.source.choice(self.kinds)
        others = [each for each in self.machines if each.name != owner]
        other = others.pop(source.randrange(len(others)))
        models = self.network.models
        count = source.randint(1, len(models) // 2)
        reached = {model.executor_id for model in source.sample(models, count)}
        if kind is Kind.OUTAGE:
            await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as group:
            if source.random() < KILL_SHARE:
                group.start_soon(self.kill, source.choice(others), RESTART_S)
            if source.random() < PAUSE_SHARE:
                delay_s = source.uniform(*PARTITION_RANGE_S)
                group.start_soon(
                    self.pause,
                    source.choice(self.machines),
                    delay_s,
                    source.uniform(*PAUSE_RANGE_S),
                )
            match kind:
                case Kind.ISOLATION:
                    lasts_s = source.uniform(*PARTITION_RANGE_S)
                    await self.isolate({owner}, reached, lasts_s, lasts_s)
                case Kind.LATE:
                    lasts_s = source.uniform(*LONG_RANGE_S)
                    late_s = source.uniform(*LATE_RANGE_S)
                    await self.isolate({owner}, reached, lasts_s, late_s)
                case Kind.STRANGER:
                    await self.separate_stranger(owner, other.name, reached)
                case Kind.START:
                    near = {owner, other.name} if source.random() < 0.5 else {owner}
                    lasts_s = source.uniform(*LONG_RANGE_S)
                    group.start_soon(self.kill, other, source.uniform(*START_RANGE_S))
                    await self.isolate(near, reached, lasts_s, lasts_s)
                case Kind.OUTAGE:
                    await self.stop_store()

    async def isolate(
        self, near: set[str], reached: set[str], lasts_s: float, late_s: float
    ) -> None:
        """Cut nodes off with some executors for a while.

        They receive the messages of the other nodes after ``late_s``.
        """
        self.played.append(
            f"{sorted(near)} are cut off with {sorted(reached)}, {lasts_s:.1f} s, and "
            f"receive the messages of other nodes after {late_s:.1f} s"
        )
        far = {each.name for each in self.machines} - near
        cuts = self.network.find_cuts(near, reached)
        with cutting(cuts + self.network.find_paths(near, far)):
            with cutting(self.network.find_paths(far, near)):
                await anyio.sleep(late_s)
            await anyio.sleep(lasts_s - late_s)

    async def separate_stranger(
        self, owner: str, stranger: str, reached: set[str]
    ) -> None:
        """Let a node lose the owner, and soon reach the store as the only one.

        The other nodes are linked to each other, to none, or also to the stranger.
        """
        lasts_s = self.source.uniform(*LONG_RANGE_S)
        linked = self.source.choice(("each other", "each other", "none", "stranger"))
        self.played.append(
            f"{stranger} loses {owner} and reaches the store alone, {lasts_s:.1f} s; "
            f"the others reach {sorted(reached)} and {linked}"
        )
        near = {each.name for each in self.machines} - {stranger}
        find_paths = self.network.find_paths
        apart = {owner} if linked == "stranger" else near
        cuts = find_paths({stranger}, apart) + find_paths(apart, {stranger})
        if linked == "none":
            cuts += find_paths(near, near)
        lost = find_paths({stranger}, {owner}) + find_paths({owner}, {stranger})
        with cutting(lost):
            await anyio.sleep(STRANGER_S)
            with cutting(cuts + self.network.find_cuts(near, reached)):
                await anyio.sleep(lasts_s)

    async def stop_store(self) -> None:
        """Hold all calls to the store; check that no run lapses or is stopped."""
        lasts_s = self.source.uniform(*LONG_RANGE_S)
        self.played.append(f"the store answers no node, {lasts_s:.1f} s")
        earlier = self.list_lost_runs()
        with cutting(list(self.network.store_cuts.values())):
            await anyio.sleep(lasts_s)
            for run in self.list_lost_runs() - earlier:
                self.report(f"OUTAGE: {run}")

    def list_lost_runs(self) -> set[str]:
        """Return the runs that have lapsed or were stopped so far."""
        for model in self.network.models:
            model.advance()
        return {run for model in self.network.models for run in model.lost}

    async def kill(self, machine: Machine, restart_s: float) -> None:
        """Kill a process and start it again."""
        self.played.append(f"{machine.name} is killed for {restart_s:.1f} s")
        machine.end(signal.SIGKILL)
        machine.process.wait()
        await anyio.sleep(restart_s)
        machine.start()

    async def pause(self, machine: Machine, delay_s: float, lasts_s: float) -> None:
        """Stop a process for a moment after a delay."""
        await anyio.sleep(delay_s)
        self.played.append(f"{machine.name} is paused for {lasts_s:.1f} s")
        machine.end(signal.SIGSTOP)
        try:
            await anyio.sleep(lasts_s)
        finally:
            machine.end(signal.SIGCONT)
