"""Command ``python -m experiments.contested``: preemption in a contested room.

Gangs, single tasks of a lower priority, four fifths of which make checkpoints, and
short urgent checks share the executors. Each load is run with reservations alone and
with preemption, on the same arrivals.
"""

import random
import statistics

import anyio
import click

from experiments.load import MAX_ESTIMATE_ERROR, Kind
from experiments.trial import KindResult
from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import (
    DesiredState,
    JobPhase,
    PipelineSpec,
    PolicyTiming,
    Queue,
    StepSpec,
)
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.policy import PolicyRule
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["KINDS", "ContestedTrial", "run_contested"]

EXECUTORS = 48
CPU_MILLIS = 16_000
NODES = 3
GANG_POLICY_SHARE = 0.3
CHECKPOINTING_SHARE = 0.8
JOB_TIMEOUT_S = 60.0
LOADS = (0.7, 0.9, 1.0, 1.2)

# Jobs of one step; ``rate`` is in jobs per second at a load of 1.0 of all cores.
KINDS = (
    Kind(
        name="gangs",
        priority=1,
        rate=0.24,
        tasks=18,
        cpu_millis=4_500,
        work_s=5.0,
        steps=1,
        gang_share=1.0,
        stretch=2.2,
        latency_target_s=1.0,
        worth=15.0,
        policy=PolicyTiming(0.1, 0.002, 2.0),
    ),
    Kind(
        name="runs",
        priority=2,
        rate=20.0,
        tasks=1,
        cpu_millis=4_000,
        work_s=8.0,
        steps=1,
        gang_share=0.0,
        stretch=4.0,
        latency_target_s=3.0,
        worth=1.0,
        policy=PolicyTiming(0.01, 0.0001, 2.0),
    ),
    Kind(
        name="checks",
        priority=0,
        rate=16.0,
        tasks=1,
        cpu_millis=2_800,
        work_s=0.64,
        steps=1,
        gang_share=0.0,
        stretch=1.5,
        latency_target_s=0.25,
        worth=0.4,
        policy=PolicyTiming(0.008, 0.0001, 2.0),
    ),
)


class ContestedTrial:
    """Results by kind, waits for the first start, and counters of one trial."""

    __slots__ = ("counters", "results", "started_at", "submitted_at")

    def __init__(self):
        self.results = {kind.name: KindResult(kind) for kind in KINDS}
        self.submitted_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.counters: dict[str, int] = {}

    def list_waits_s(self, kind: Kind) -> list[float]:
        """Return the times to the first start, at most the time limit of a job."""
        prefix = f"{KINDS.index(kind):04x}"
        return [
            self.started_at.get(job_id, submitted_at + JOB_TIMEOUT_S) - submitted_at
            for job_id, submitted_at in self.submitted_at.items()
            if job_id.startswith(prefix)
        ]

    def count_stops(self) -> int:
        """Return the number of tasks that were stopped for others."""
        return sum(
            self.counters.get(f"cell.preemptions.{reason}", 0)
            for reason in ("gang", "task")
        )


def draw_job(kind: Kind, number: int, random_source: random.Random) -> PipelineSpec:
    """Draw a new job of one step."""
    step = StepSpec(
        task_count=kind.tasks,
        cpu_millis=kind.cpu_millis,
        memory_mb=256,
        estimated_ms=round(kind.work_s * 1000),
        gang=kind.gang_share > 0,
        checkpointing=kind.name == "runs"
        and random_source.random() < CHECKPOINTING_SHARE,
    )
    job_id = f"{KINDS.index(kind):04x}{number:012x}"
    return make_job(job_id, step, queue=kind.name)


async def submit_and_wait(
    cluster: MemoryCluster, trial: ContestedTrial, kind: Kind, job: PipelineSpec
) -> None:
    """Submit a job, wait for its end and record it if it completed."""
    result = trial.results[kind.name]
    result.submitted += 1
    submitted_at = trial.submitted_at[job.job_id] = anyio.current_time()
    if await cluster.submit(job) is not Outcome.OK:
        return
    phase = await cluster.wait_final(job.job_id, JOB_TIMEOUT_S)
    if phase is JobPhase.COMPLETED:
        target_s = kind.stretch * kind.work_s + kind.latency_target_s
        result.record_completed(anyio.current_time() - submitted_at, target_s)


def make_queues() -> tuple[Queue, ...]:
    """Return one queue for each kind of job."""
    return tuple(
        Queue(
            name=kind.name,
            host="h",
            path_prefix=f"/{kind.name}/",
            service="svc",
            priority=kind.priority,
            max_attempts=3,
            stretch=kind.stretch,
            latency_target_s=kind.latency_target_s,
            policy=kind.policy,
        )
        for kind in KINDS
    )


async def run_on_cluster(
    seed: int, seconds: float, load: float, preempts: bool
) -> ContestedTrial:
    """Run one trial; raise AssertionError if the cluster violated an invariant."""
    trial = ContestedTrial()

    def draw_behaviour(task: str, attempt: int) -> TaskBehaviour:
        trial.started_at.setdefault(task.partition(".")[0], anyio.current_time())
        kind = KINDS[int(task[:4], 16)]
        # The members of a gang take equally long.
        step = task.rpartition(".")[0]
        deviation = random.Random(f"{seed}/{step}").uniform(-1, 1) * MAX_ESTIMATE_ERROR
        return TaskBehaviour(kind.work_s * (1 + deviation))

    async def submit_kind(kind: Kind) -> None:
        """Submit jobs of one kind at random intervals."""
        random_source = random.Random(f"{seed}/{kind.name}")
        ends_at = anyio.current_time() + seconds
        number = 0
        async with anyio.create_task_group() as jobs:
            while anyio.current_time() < ends_at:
                number += 1
                job = draw_job(kind, number, random_source)
                jobs.start_soon(submit_and_wait, cluster, trial, kind, job)
                await anyio.sleep(random_source.expovariate(kind.rate * load))

    world = World(draw_behaviour, 3)
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, NODES, EXECUTORS, CPU_MILLIS, 1.0, seed)
        cluster.shares_advice = True
        for kind in KINDS:
            share = GANG_POLICY_SHARE if kind.gang_share else 1.0
            cluster.policy.rules[kind.name] = PolicyRule(share, kind.policy)
        cluster.desired = DesiredState(
            version=1, queues=make_queues(), accounts=() if preempts else None
        )
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        async with anyio.create_task_group() as load_tasks:
            for kind in KINDS:
                load_tasks.start_soon(submit_kind, kind)
        trial.counters = dict(cluster.metrics.counters)
        group.cancel_scope.cancel()
    if world.violations:
        raise AssertionError(world.violations[:3])
    return trial


def run_contested(
    seed: int, seconds: float, load: float, preempts: bool
) -> ContestedTrial:
    """Run one seed on the mock clock; ``load`` is a share of all cores."""
    return run_on_mock_clock(run_on_cluster, seed, seconds, load, preempts, seed=seed)


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=3, help="Number of consecutive seeds.")
@click.option("--seconds", default=60.0, help="Simulated seconds of load.")
def main(seed: int, seeds: int, seconds: float) -> None:
    """Print the waits and the earned worth without and with preemption."""
    for load in LOADS:
        for preempts in (False, True):
            trials = [
                run_contested(number, seconds, load, preempts)
                for number in range(seed, seed + seeds)
            ]
            click.echo(describe(load, preempts, trials))


def describe(load: float, preempts: bool, trials: list[ContestedTrial]) -> str:
    """Return one line of figures over all seeds of one load."""
    parts = []
    for kind in KINDS:
        waits = [wait for trial in trials for wait in trial.list_waits_s(kind)]
        waits.sort()
        results = [trial.results[kind.name] for trial in trials]
        submitted = sum(result.submitted for result in results)
        earned = sum(result.earned for result in results)
        parts.append(
            f"{kind.name} {submitted} wait p50 {statistics.median(waits):.2f}"
            f" p90 {waits[int(0.9 * (len(waits) - 1))]:.2f}"
            f" worth {earned / submitted:.3f}"
        )
    stops = sum(trial.count_stops() for trial in trials)
    mode = "preemption" if preempts else "reservations"
    return f"{load:.1f} {mode:<12} " + "; ".join(parts) + f"; stops {stops}"


if __name__ == "__main__":
    main()
