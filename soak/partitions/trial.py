"""One run: faults on the owners one after the other, under load."""

import random
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx

from gypsumring.platform.tests.rig import register_executor, write_desired_state
from soak.nodes.clients import Clients
from soak.nodes.faults import wait_all_serve
from soak.nodes.fleet import Machine, end_machines
from soak.nodes.ownership import TAKEOVER, OwnershipLog
from soak.partitions.faults import FaultPlayer, Kind, RecordingExecutor
from stand_ins.platform.network import Network, find_address
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.servers import PolicyApp
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import TaskBehaviour, World
from stand_ins.servers.serving import serve_apps

__all__ = ["PartitionTrial", "run_trial"]

EXECUTORS = 8
CPU_MILLIS = 4_000
WORK_RANGE_S = (0.3, 4.0)
# Work of this length still runs once the next owner takes its lease for expired.
LONG_WORK_RANGE_S = (0.3, 9.0)
# The load of more clients would end too early.
MAX_CLIENTS = 3
PAUSE_RANGE_S = (0.5, 2.0)
# Bound on the end of all accepted jobs. A lost attempt waits for leases of 5 s.
JOBS_BOUND_S = 90.0


class PartitionTrial:
    """Run of one seed; ``problems`` lists what broke a check."""

    __slots__ = (
        "client",
        "clients",
        "faults",
        "machines",
        "ownership",
        "problems",
        "source",
        "world",
    )

    def __init__(
        self,
        world: World,
        machines: list[Machine],
        network: Network,
        client: httpx.AsyncClient,
        source: random.Random,
        kinds: list[Kind],
    ):
        self.world = world
        self.machines = machines
        self.client = client
        self.source = source
        self.problems: list[str] = []
        self.faults = FaultPlayer(
            machines, network, source, kinds, self.problems.append
        )
        self.clients = Clients(world, self.problems.append)
        self.ownership = OwnershipLog(machines)

    async def run(self, seconds: float) -> None:
        """Play faults until the time is over, then check what is left."""
        await wait_all_serve(self.client, self.machines)
        async with anyio.create_task_group() as group:
            for machine in self.machines[:MAX_CLIENTS]:
                source = random.Random(self.source.getrandbits(64))
                group.start_soon(self.clients.run, machine, source)
            await self.play_faults(anyio.current_time() + seconds)
            deadline = anyio.current_time() + JOBS_BOUND_S
            await self.clients.check_ends(self.client, self.machines, deadline)
            group.cancel_scope.cancel()
        self.clients.check_refused()
        self.problems += map(str, self.world.violations)
        self.ownership.read()

    async def play_faults(self, end: float) -> None:
        """Play faults on each owner in turn."""
        while anyio.current_time() < end:
            await anyio.sleep(self.source.uniform(*PAUSE_RANGE_S))
            self.ownership.read()
            if self.ownership.owner_name:
                await self.faults.play(self.ownership.owner_name)

    def summarize(self) -> dict[str, Any]:
        """Return the figures of the run."""
        return {
            "faults": len(self.faults.played),
            "takeovers": self.ownership.count()[TAKEOVER],
            "accepted": len(self.clients.accepted),
            "starts": sum(self.world.starts.values()),
            "problems": self.problems[:10],
        }


@asynccontextmanager
async def running_trial(
    source: random.Random, count: int, folder: Path, kinds: list[Kind]
) -> AsyncIterator[PartitionTrial]:
    """Run the stand-ins and ``count`` nodes, whose logs are kept in a folder."""
    seed = source.getrandbits(32)
    work_range_s = LONG_WORK_RANGE_S if Kind.LATE in kinds else WORK_RANGE_S

    def behave(task: str, attempt: int) -> TaskBehaviour:
        draw = random.Random(f"{seed}/{task}/{attempt}")
        return TaskBehaviour(draw.uniform(*work_range_s))

    world, store = World(behave), StoreModel()
    models = [
        RecordingExecutor(world, f"i-{number}", CPU_MILLIS)
        for number in range(EXECUTORS)
    ]
    names = [f"n{number:02}" for number in range(count)]
    network = Network(names, store, models)
    apps = network.make_apps() | {"policy": PolicyApp(PolicyModel(models, 1.0, 2.0))}
    async with (
        serve_apps(apps) as addresses,
        httpx.AsyncClient(timeout=10.0) as client,
        anyio.create_task_group() as group,
    ):
        for model in models:
            stored = find_address()
            network.add_executor(model.executor_id, stored, addresses)
            register_executor(store, model, stored)
        write_desired_state(store)
        machines: list[Machine] = []
        try:
            for name in names:
                machines.append(Machine(name, addresses, folder))
            network.add_links({each.name: each.peer for each in machines})
            for link in network.links.values():
                group.start_soon(link.run)
            yield PartitionTrial(world, machines, network, client, source, kinds)
        finally:
            group.cancel_scope.cancel()
            end_machines(machines)


async def run_trial(
    seed: int, nodes: int, seconds: float, kinds: list[Kind], keep: str = ""
) -> PartitionTrial:
    """Run one seed and return the trial; the logs stay in the folder ``keep``."""
    source = random.Random(seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        async with running_trial(source, nodes, folder, kinds) as trial:
            await trial.run(seconds)
    return trial
