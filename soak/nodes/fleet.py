"""Node processes on small machines, against the stand-ins of the platform."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio

from gypsumring.platform.tests.rig import (
    NodeProcess,
    register_executor,
    write_desired_state,
)
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.servers import ExecutorApp, PolicyApp, StoreApp
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World, steady_behaviour
from stand_ins.servers.serving import serve_apps

__all__ = ["Fleet", "Machine", "end_machines", "running_fleet"]

EXECUTORS = 6
WORK_S = 0.2
CELL_TOPIC = "keyed.cells"
# A machine's share of a core is granted anew in each period, as by a CPU quota.
PERIOD_S = 0.1
# How often the processes are stopped or continued.
SLICE_S = 0.004
# Phases of jobs outlive a run, so that an answer 410 always means a lost job.
CHANGED_SETTINGS = {
    "bounds": {"longest_lease_ms": 10_000, "status_s": 3_600},
    "log_output": {"level": "INFO", "json": True},
}


def read_cpu_s(pid: int) -> float:
    """Return the processor time of the main thread of a process, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class Machine(NodeProcess):
    """Process of a node on a machine that may be frozen or slow."""

    __slots__ = (
        "allowed_cpu_s",
        "freezes",
        "has_served",
        "is_ending",
        "is_stopped",
        "lock",
        "log",
        "period_ends_at",
        "running_shares",
        "share",
    )

    def __init__(self, name: str, addresses: dict[str, str], folder: Path):
        self.log = folder / f"{name}.log"
        self.lock = anyio.Lock()
        # Number of freezes, and the share of each period that each slowdown leaves.
        self.freezes = 0
        self.running_shares: list[float] = []
        # Share of a core; a share of 1 is not limited.
        self.share = 1.0
        super().__init__(name, addresses, folder, CHANGED_SETTINGS)

    def write_settings(self, **changes: Any) -> None:
        """Replace the settings file by one with changed settings."""
        content = json.loads(self.settings.read_text()) | changes
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(json.dumps(content))
        temporary.replace(self.settings)

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        self.is_stopped = False
        # Whether the process has served, and whether it was told to end.
        self.has_served = False
        self.is_ending = False
        self.period_ends_at = float("-inf")
        self.allowed_cpu_s = float("inf")
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumring.node", "--settings", self.settings],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONHASHSEED": "0"},
                # The kernel sends SIGHUP to a process group with stopped members when
                # the shell that has started it ends.
                start_new_session=True,
            )

    def limit(self, now: float) -> None:
        """Stop or continue the process as its freezes, slowdowns and share require."""
        if self.process.poll() is not None:
            return
        running_s = PERIOD_S * min(self.running_shares, default=1.0)
        must_stop = (
            self.freezes > 0
            or now % PERIOD_S > running_s
            or (self.share < 1.0 and self.has_used_share(now))
        )
        if must_stop != self.is_stopped:
            self.is_stopped = must_stop
            self.end(signal.SIGSTOP if must_stop else signal.SIGCONT)

    def has_used_share(self, now: float) -> bool:
        """Return whether the process has used its share of the current period."""
        try:
            used_s = read_cpu_s(self.process.pid)
        except (OSError, IndexError):
            return False
        if now >= self.period_ends_at:
            self.period_ends_at = now + PERIOD_S
            # Unused time is lost; overused time is taken from the next period.
            granted_s = self.share * PERIOD_S
            self.allowed_cpu_s = min(self.allowed_cpu_s, used_s) + granted_s
        return used_s >= self.allowed_cpu_s


class SlowStoreApp(StoreApp):
    """App of the store whose answers may be late; times are in seconds."""

    __slots__ = ("delays_s", "outages", "read_delays_s")

    def __init__(self, model: StoreModel, read_delay_s: float):
        super().__init__(model)
        # Delays of all calls and of reads of the cell's records; they add up.
        self.delays_s: list[float] = []
        self.read_delays_s = [read_delay_s]
        # Number of outages during which all calls are refused.
        self.outages = 0

    def change_outages(self, change: int) -> None:
        """Begin or end outages."""
        self.outages += change
        self.status = 503 if self.outages else 200

    async def handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Return the status and the body of the response, late if slow."""
        delay_s = sum(self.delays_s)
        if path == "/-/log-newest" and query["topic"] == CELL_TOPIC:
            # Only the first page of a read is delayed by the whole time.
            delay_s += 0.0 if "dependsOn" in query else sum(self.read_delays_s)
        if delay_s:
            await anyio.sleep(delay_s)
        return await super().handle(path, query, body)


class Fleet:
    """Machines and stand-ins of one run."""

    __slots__ = ("machines", "store_apps", "world")

    def __init__(self, world: World, store_apps: list[SlowStoreApp]):
        self.world = world
        self.store_apps = store_apps
        self.machines: list[Machine] = []

    async def limit_machines(self) -> None:
        """Limit the machines until cancelled."""
        while True:
            now = anyio.current_time()
            for machine in self.machines:
                machine.limit(now)
            await anyio.sleep(SLICE_S)


def end_machines(machines: list[Machine]) -> None:
    """Kill the processes and release the ports that were kept for them."""
    for machine in machines:
        machine.end(signal.SIGKILL)
        machine.process.wait()
        machine.release_ports()


@asynccontextmanager
async def running_fleet(
    count: int, folder: Path, store: StoreModel, read_delay_s: float
) -> AsyncIterator[Fleet]:
    """Run the stand-ins and ``count`` machines, whose logs are kept in a folder."""
    world = World(steady_behaviour(WORK_S))
    models = [ExecutorModel(world, f"i-{number}") for number in range(EXECUTORS)]
    names = [f"n{number:02}" for number in range(count)]
    store_apps = [SlowStoreApp(store, read_delay_s) for _ in names]
    apps: dict[str, Any] = {model.executor_id: ExecutorApp(model) for model in models}
    apps |= {f"store-{name}": app for name, app in zip(names, store_apps, strict=True)}
    apps["policy"] = PolicyApp(PolicyModel(models, 0.7, 2.0))
    async with serve_apps(apps) as addresses:
        for model in models:
            register_executor(store, model, addresses[model.executor_id])
        write_desired_state(store)
        fleet = Fleet(world, store_apps)
        try:
            for name in names:
                fleet.machines.append(Machine(name, addresses, folder))
            yield fleet
        finally:
            end_machines(fleet.machines)
