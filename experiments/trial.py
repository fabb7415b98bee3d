"""Run the load model on one cell with faults and measure which jobs meet targets."""

import random
from collections.abc import Callable

import anyio

from experiments.load import KINDS, Kind, draw_steps, draw_work_s, make_queues
from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import DesiredState, JobPhase, PipelineSpec
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["KindResult", "run_trial"]

NODES = 3
EXECUTORS = 8
CPU_MILLIS = 32_000
MAX_ATTEMPTS = 3
POLICY_SHARE = 0.4
FAILED_SHARE = 0.01
STORE_OUTAGE_S = 3.0
CALLER_TIME_LIMIT_S = 3.0
CALLER_RETRIES = 4
RETRY_AFTER_S = 1.0
# A job that does not end within this time of its submission is not completed.
JOB_TIMEOUT_S = 60.0
# A late job earns this share of its worth if it completes within
# ``MAX_LATE_FACTOR`` times its target, and nothing after that.
LATE_WORTH_SHARE = 0.2
MAX_LATE_FACTOR = 3.0
# Speeds of uneven executors by turns, and the share and length of long tasks.
SPEEDS = (0.55, 1.2, 1.2, 1.2)
LONG_SHARE = 0.02
LONG_FACTOR = 7.0
# Factors by which tasks of one kind take longer beside those of another.
EFFECTS = {("checks", "batch"): 2.0}


class KindResult:
    """Job counts and completion times, in seconds, of one kind in one trial."""

    __slots__ = ("durations_s", "earned", "in_time", "kind", "submitted")

    def __init__(self, kind: Kind):
        self.kind = kind
        self.submitted = 0
        self.in_time = 0
        self.earned = 0.0
        self.durations_s: list[float] = []

    def record_completed(self, duration_s: float, target_s: float) -> None:
        """Record a completed job."""
        self.durations_s.append(duration_s)
        if duration_s <= target_s:
            self.in_time += 1
            self.earned += 1.0
        elif duration_s <= target_s * MAX_LATE_FACTOR:
            self.earned += LATE_WORTH_SHARE

    def earned_share(self) -> float:
        """Return the earned share of the total worth of the submitted jobs."""
        return self.earned / self.submitted if self.submitted else 1.0

    def percentile_s(self, quantile: float) -> float:
        """Return a quantile of the completion times, in seconds; 0 without any."""
        ordered = sorted(self.durations_s)
        return ordered[int(quantile * (len(ordered) - 1))] if ordered else 0.0


class Trial:
    """Submits the load of one seed to a cluster and waits for each job to end."""

    __slots__ = ("cluster", "random_source", "results")

    def __init__(self, cluster: MemoryCluster, random_source: random.Random):
        self.cluster = cluster
        self.random_source = random_source
        self.results = {kind.name: KindResult(kind) for kind in KINDS}

    async def submit_kind(self, kind: Kind, seconds: float, load: float) -> None:
        """Submit jobs of one kind at random intervals for ``seconds``."""
        ends_at = anyio.current_time() + seconds
        random_source = random.Random(f"{kind.name}/{self.random_source.random()}")
        job_number = 0
        async with anyio.create_task_group() as group:
            while anyio.current_time() < ends_at:
                job_number += 1
                job_id = f"{KINDS.index(kind):04x}{job_number:012x}"
                job = make_job(
                    job_id, *draw_steps(kind, random_source), queue=kind.name
                )
                group.start_soon(self.submit_and_wait, kind, job)
                await anyio.sleep(random_source.expovariate(kind.rate * load))

    async def submit_and_wait(self, kind: Kind, job: PipelineSpec) -> None:
        """Submit a job, wait for its end and record it if it completed."""
        result = self.results[kind.name]
        result.submitted += 1
        submitted_at = anyio.current_time()
        if await self.submit(job) is not Outcome.OK:
            return
        phase = await self.cluster.wait_final(job.job_id, JOB_TIMEOUT_S)
        if phase is JobPhase.COMPLETED:
            work_s = kind.work_s * kind.steps
            target_s = kind.stretch * work_s + kind.latency_target_s
            result.record_completed(anyio.current_time() - submitted_at, target_s)

    async def submit(self, job: PipelineSpec) -> Outcome:
        """Submit a job and try again after a refusal while the caller has time."""
        deadline = anyio.current_time() + CALLER_TIME_LIMIT_S
        for _ in range(CALLER_RETRIES + 1):
            time_left_s = deadline - anyio.current_time()
            outcome = await self.cluster.submit(job, time_left_s)
            time_left_s = deadline - anyio.current_time()
            if outcome is not Outcome.REFUSED or time_left_s <= 0:
                break
            await anyio.sleep(min(RETRY_AFTER_S, time_left_s / 2))
        return outcome

    async def inject_faults(self, seconds: float) -> None:
        """Kill the owner and restart its node, then crash and restart an executor."""
        await anyio.sleep(seconds / 3)
        owner = self.cluster.owner_node()
        if owner is not None:
            owner.kill()
            await anyio.sleep(2.0)
            self.cluster.add_node(owner.name)
        await anyio.sleep(seconds / 3)
        executor = self.random_source.choice(list(self.cluster.executors.values()))
        executor.crash()
        await anyio.sleep(3.0)
        executor.start_incarnation()
        self.cluster.register(executor)

    async def interrupt_store(self, seconds: float) -> None:
        """Make the store unavailable to all nodes for a while."""
        await anyio.sleep(seconds / 2)
        for node in self.cluster.nodes.values():
            node.faults.store_away = True
        await anyio.sleep(STORE_OUTAGE_S)
        for node in self.cluster.nodes.values():
            node.faults.store_away = False


def make_slow_factor(world: World) -> Callable[[ExecutorModel, str], float]:
    """Return the factors of uneven executors and of tasks that slow others down.

    One executor in four is slow. A task takes longer beside one of another kind.
    """

    def slow_factor(executor: ExecutorModel, task: str) -> float:
        number = world.executors.index(executor)
        factor = 1 / SPEEDS[number % len(SPEEDS)]
        neighbours = {find_kind(other).name for other, _ in executor.runs}
        for (slowed, neighbour), effect in EFFECTS.items():
            if find_kind(task).name == slowed and neighbour in neighbours:
                factor *= effect
        return factor

    return slow_factor


def find_kind(task: str) -> Kind:
    """Return the kind of a task, which its name begins with."""
    return KINDS[int(task[:4], 16)]


async def run_on_cluster(
    seed: int,
    seconds: float,
    load: float,
    faults: bool,
    store_outage: bool,
    is_uneven: bool = False,
) -> Trial:
    """Run one trial; raise AssertionError if the cluster violated an invariant."""

    def draw_behaviour(task: str, attempt: int) -> TaskBehaviour:
        kind = find_kind(task)
        random_source = random.Random(f"{seed}/{task}/{attempt}")
        outcome = "failed" if random_source.random() < FAILED_SHARE else "done"
        work_s = draw_work_s(kind, random_source)
        if is_uneven and random_source.random() < LONG_SHARE:
            work_s *= LONG_FACTOR
        return TaskBehaviour(work_s, outcome)

    world = World(draw_behaviour, MAX_ATTEMPTS)
    if is_uneven:
        world.slow_factor = make_slow_factor(world)
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(
            world, group, NODES, EXECUTORS, CPU_MILLIS, POLICY_SHARE, seed
        )
        cluster.shares_advice = True
        cluster.desired = DesiredState(version=1, queues=make_queues(MAX_ATTEMPTS))
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        trial = Trial(cluster, random.Random(seed))
        async with anyio.create_task_group() as load_tasks:
            for kind in KINDS:
                load_tasks.start_soon(trial.submit_kind, kind, seconds, load)
            if faults:
                load_tasks.start_soon(trial.inject_faults, seconds)
            if store_outage:
                load_tasks.start_soon(trial.interrupt_store, seconds)
        group.cancel_scope.cancel()
    if world.violations:
        raise AssertionError(world.violations[:3])
    return trial


def run_trial(
    seed: int,
    seconds: float,
    load: float,
    faults: bool,
    store_outage: bool = False,
    is_uneven: bool = False,
) -> dict[str, KindResult]:
    """Run one seed on the mock clock and return the results by kind.

    With ``store_outage`` the store is also unavailable for some seconds. If
    ``is_uneven``, executors have unlike speeds, some tasks take many times as long, and
    some kinds of work slow others down.
    """
    return run_on_mock_clock(
        run_on_cluster, seed, seconds, load, faults, store_outage, is_uneven, seed=seed
    ).results
