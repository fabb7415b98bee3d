"""Run the load model on one cell, with faults, and measure who is served in time."""

import random

import anyio

from experiments.load import KINDS, Kind, draw_steps, draw_work_s, make_queues
from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import DesiredState, JobPhase, PipelineSpec
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["KindResult", "run_trial"]

NODES = 3
EXECUTORS = 8
CPU_MILLIS = 32_000
MAX_ATTEMPTS = 3
POLICY_SHARE = 0.4
FAILED_SHARE = 0.01
# Jobs that have not ended this long after the load count as not served.
SETTLE_S = 60.0
# A job that is late earns this share of its worth, up to three times its target.
LATE_SHARE = 0.2
LATE_FACTOR = 3.0


class KindResult:
    """Count the jobs of one kind, and their times in seconds."""

    __slots__ = ("earned", "in_time", "kind", "sent", "times")

    def __init__(self, kind: Kind):
        self.kind = kind
        self.sent = 0
        self.in_time = 0
        self.earned = 0.0
        self.times: list[float] = []

    def note(self, took_s: float, target_s: float) -> None:
        """Count a completed job."""
        self.times.append(took_s)
        if took_s <= target_s:
            self.in_time += 1
            self.earned += 1.0
        elif took_s <= target_s * LATE_FACTOR:
            self.earned += LATE_SHARE

    def share(self) -> float:
        """Return what the jobs earned of what they could have earned."""
        return self.earned / self.sent if self.sent else 1.0

    def percentile_s(self, share: float) -> float:
        """Return a percentile of the times of completed jobs, in seconds."""
        ordered = sorted(self.times)
        return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


class Trial:
    """Send the load of one seed to a cluster and follow each job to its end."""

    __slots__ = ("cluster", "results", "source")

    def __init__(self, cluster: MemoryCluster, source: random.Random):
        self.cluster = cluster
        self.source = source
        self.results = {kind.name: KindResult(kind) for kind in KINDS}

    async def send_kind(self, kind: Kind, seconds: float, load: float) -> None:
        """Send the jobs of one kind until the time is over."""
        end = anyio.current_time() + seconds
        source = random.Random(f"{kind.name}/{self.source.random()}")
        number = 0
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                number += 1
                job_id = f"{KINDS.index(kind):04x}{number:012x}"
                job = make_job(job_id, *draw_steps(kind, source), queue=kind.name)
                group.start_soon(self.follow, kind, job)
                await anyio.sleep(source.expovariate(kind.rate * load))

    async def follow(self, kind: Kind, job: PipelineSpec) -> None:
        """Submit a job and wait for its end."""
        result = self.results[kind.name]
        result.sent += 1
        began = anyio.current_time()
        if await self.cluster.submit(job, 10.0) is not Outcome.OK:
            return
        phase = await self.cluster.wait_final(job.job_id, SETTLE_S)
        if phase is JobPhase.COMPLETED:
            work_s = kind.work_s * kind.steps
            target_s = kind.stretch * work_s + kind.latency_target_s
            result.note(anyio.current_time() - began, target_s)

    async def inject(self, seconds: float) -> None:
        """Lose the owner once, and an executor for a while."""
        await anyio.sleep(seconds / 3)
        owner = self.cluster.owner_node()
        if owner is not None:
            owner.kill()
            await anyio.sleep(2.0)
            self.cluster.add_node(owner.name)
        await anyio.sleep(seconds / 3)
        model = self.source.choice(list(self.cluster.executors.values()))
        model.crash()
        await anyio.sleep(3.0)
        model.start_incarnation()
        self.cluster.register(model)


async def play(seed: int, seconds: float, load: float, faults: bool) -> Trial:
    """Play one trial."""

    def behave(task: str, attempt: int) -> TaskBehaviour:
        kind = KINDS[int(task[:4], 16)]
        source = random.Random(f"{seed}/{task}/{attempt}")
        how = "failed" if source.random() < FAILED_SHARE else "done"
        return TaskBehaviour(draw_work_s(kind, source), how)

    world = World(behave, MAX_ATTEMPTS)
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(
            world, group, NODES, EXECUTORS, CPU_MILLIS, POLICY_SHARE, seed
        )
        cluster.desired = DesiredState(version=1, queues=make_queues(MAX_ATTEMPTS))
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        trial = Trial(cluster, random.Random(seed))
        async with anyio.create_task_group() as senders:
            for kind in KINDS:
                senders.start_soon(trial.send_kind, kind, seconds, load)
            if faults:
                senders.start_soon(trial.inject, seconds)
        group.cancel_scope.cancel()
    if world.violations:
        raise AssertionError(world.violations[:3])
    return trial


def run_trial(
    seed: int, seconds: float, load: float, faults: bool
) -> dict[str, KindResult]:
    """Run one seed on the mock clock and return the results by kind."""
    return run_on_mock_clock(play, seed, seconds, load, faults, seed=seed).results
