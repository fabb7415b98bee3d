"""Measure how soon tasks start again after the owner of a cell is lost, and its cost.

Each trial is a cell of 3 nodes and 6 executors on the mock clock, with a job every
50 ms. The owner is killed, or all nodes are killed and started again after 0.5 s. The
time counts from the kill, or from that start, to the next start of a task.
"""

import time

import anyio

from benchmarks.cells import bound_above, quantile
from benchmarks.figures import Figure
from gypsumring.pipelines import StepSpec
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import World, steady_behaviour

__all__ = ["run"]

TRIALS = 20
NODES = 3
EXECUTORS = 6
SUBMIT_EVERY_S = 0.05
WARM_UP_S = 3.0
AFTER_S = 6.0
RESTART_S = 0.5
# Stated target: starts go on within this time of a machine's death.
TAKEOVER_BOUND_S = 2.5
COST_JOBS = 300
TASK = StepSpec(task_count=2, cpu_millis=500, memory_mb=64, estimated_ms=400)


class Trial:
    """Run one trial and collect the times of starts."""

    __slots__ = ("cluster", "started")

    def __init__(self, cluster: MemoryCluster):
        self.cluster = cluster
        self.started: list[float] = []

    async def send_load(self) -> None:
        """Submit jobs until cancelled."""
        async with anyio.create_task_group() as group:
            number = 0
            while True:
                number += 1
                group.start_soon(self.cluster.submit, make_job(f"{number:016x}", TASK))
                await anyio.sleep(SUBMIT_EVERY_S)

    async def watch_starts(self) -> None:
        """Note when the number of starts has risen."""
        seen = 0
        while True:
            count = sum(self.cluster.world.starts.values())
            if count > seen:
                seen = count
                self.started.append(anyio.current_time())
            await anyio.sleep(0.005)

    async def play(self, fault: str) -> float:
        """Play the fault and return the time without starts, in seconds."""
        await anyio.sleep(WARM_UP_S)
        at = anyio.current_time()
        names = sorted(self.cluster.nodes)
        if fault == "owner":
            names = [self.cluster.owner_node().name]
        for name in names:
            self.cluster.nodes[name].kill()
        if fault == "all":
            await anyio.sleep(RESTART_S)
            at = anyio.current_time()
            for name in names:
                self.cluster.add_node(name)
        await anyio.sleep(AFTER_S)
        later = [each for each in self.started if each > at + 0.01]
        return (later[0] - at) if later else AFTER_S


async def run_trial(fault: str, seed: int) -> tuple[float, int]:
    """Return the time without starts and the number of broken promises."""
    world = World(steady_behaviour(0.4))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, NODES, EXECUTORS, seed=seed)
        trial = Trial(cluster)
        group.start_soon(trial.send_load)
        group.start_soon(trial.watch_starts)
        # The fault comes at another point of the membership's renewal in each trial.
        await anyio.sleep(cluster.random_source.random())
        gap_s = await trial.play(fault)
        group.cancel_scope.cancel()
    return gap_s, len(world.violations)


async def serve_jobs(count: int) -> dict[str, int]:
    """Serve jobs one after the other and return the calls at the store."""
    world = World(steady_behaviour(0.05))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, 1, EXECUTORS)
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        for number in range(count):
            await cluster.submit(make_job(f"{number:016x}", TASK))
        await cluster.wait_final(f"{count - 1:016x}")
        group.cancel_scope.cancel()
    return cluster.store.calls


def run(seed: int) -> list[Figure]:
    """Return the figures of the topic."""
    figures = []
    for fault in ("owner", "all"):
        results = [
            run_on_mock_clock(run_trial, fault, seed + number, seed=seed + number)
            for number in range(TRIALS)
        ]
        gaps = sorted(gap for gap, _ in results)
        broken = sum(count for _, count in results)
        name = f"takeover.{fault}"
        figures += [
            Figure(f"{name}.p50", quantile(gaps, 50), "s"),
            bound_above(f"{name}.max", gaps[-1], "s", TAKEOVER_BOUND_S),
            bound_above(f"{name}.violations", broken, "", 0),
        ]
    begun = time.process_time()
    calls = run_on_mock_clock(serve_jobs, COST_JOBS)
    spent_ms = (time.process_time() - begun) * 1000
    figures += [
        Figure("cell.core_ms_per_job", spent_ms / COST_JOBS, "ms"),
        Figure("cell.appends_per_job", calls["append"] / COST_JOBS, ""),
    ]
    return figures
