"""Test that gangs start while other work competes for the capacity."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import DesiredState, PolicyTiming, Queue, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import TaskBehaviour

EXECUTORS = 12
CPU_MILLIS = 8_000
SMALL_S = 1.5
GANG_S = 2.0
SLOW_POLICY = PolicyTiming(0.9, 0.008, 2.0)
FAST_POLICY = PolicyTiming(0.015, 0.0001, 2.0)
GANGS = Queue(
    name="gangs",
    host="h",
    path_prefix="/gangs/",
    service="svc",
    priority=1,
    stretch=2.0,
    latency_target_s=1.0,
    policy=SLOW_POLICY,
)
SMALL = Queue(
    name="small",
    host="h",
    path_prefix="/small/",
    service="svc",
    priority=2,
    stretch=2.0,
    latency_target_s=1.0,
    policy=FAST_POLICY,
)
# Once the small tasks that run at first have ended, a gang needs its first policy
# answer, tickets for the released capacity, and its start.
START_BOUND_S = 2 * SLOW_POLICY.call_s(EXECUTORS) + 2 * SMALL_S + 0.5
# A gang that has missed three times its target of 5 s precedes all newer gangs. It then
# waits until the running gangs end, and starts.
OVERTAKEN_BOUND_S = 3 * (GANGS.stretch * GANG_S + 1.0) + GANG_S + START_BOUND_S


def behave(task: str, attempt: int) -> TaskBehaviour:
    """Return a longer duration for members of gangs, whose job ids begin with "a"."""
    return TaskBehaviour(GANG_S if task.startswith("a") else SMALL_S)


@asynccontextmanager
async def contended_cell() -> AsyncIterator[MemoryCluster]:
    """Run a cell with a slow policy for gangs, queried through nine nodes."""
    async with running_cluster(
        behave, executors=EXECUTORS, cpu_millis=CPU_MILLIS, policy_share=1.0
    ) as cluster:
        cluster.desired = DesiredState(version=2, queues=(GANGS, SMALL))
        cluster.policy.base_s = cluster.policy.per_executor_s = 0.0
        policy_client = cluster.owner_node().owner().scheduler.policy_client
        policy_client.list_policy_proxies = lambda: [
            f"n{number}" for number in range(9)
        ]

        async def query_policy_proxy(name, step, executor_ids, deadline):
            timing = SLOW_POLICY if step.startswith("a") else FAST_POLICY
            await anyio.sleep(timing.call_s(len(executor_ids)))
            return await cluster.policy.advise(step, executor_ids)

        policy_client.query_policy_proxy = query_policy_proxy
        yield cluster


async def submit_small_jobs(cluster: MemoryCluster, period_s: float) -> None:
    """Submit small jobs until cancelled."""
    number = 0
    while True:
        number += 1
        spec = StepSpec(task_count=2, cpu_millis=3000, estimated_ms=1500)
        job = make_job(f"b{number:015x}", spec, queue="small")
        cluster.group.start_soon(cluster.submit, job)
        await anyio.sleep(period_s)


async def wait_started(cluster: MemoryCluster, job_id: str, limit_s: float) -> bool:
    """Return whether all tasks of a gang are started within ``limit_s``."""
    spec = cluster.world.jobs[job_id].steps[0]
    tasks = {f"{job_id}.0.0.{index}" for index in range(spec.task_count)}
    with anyio.move_on_after(limit_s):
        while not tasks <= cluster.world.starts.keys():
            await anyio.sleep(0.05)
        return True
    return False


# Guards against starvation of a gang by small tasks, which used the capacity of the
# gang each time while its tickets were renewed.
async def test_gang_starts_beside_a_stream_of_small_tasks():
    async with contended_cell() as cluster, anyio.create_task_group() as load:
        load.start_soon(submit_small_jobs, cluster, 0.16)
        await anyio.sleep(5.0)
        spec = StepSpec(task_count=10, cpu_millis=4000, estimated_ms=2000, gang=True)
        job = make_job("a" * 16, spec, queue="gangs")
        assert await cluster.submit(job) is Outcome.OK
        assert await wait_started(cluster, "a" * 16, START_BOUND_S)
        load.cancel_scope.cancel()


# Guards against starvation of a wide gang by smaller gangs submitted later, each of
# which started first.
async def test_wide_gang_starts_beside_a_stream_of_smaller_gangs():
    async with contended_cell() as cluster, anyio.create_task_group() as load:

        async def submit_gangs() -> None:
            number = 0
            while True:
                number += 1
                spec = StepSpec(
                    task_count=4, cpu_millis=8000, estimated_ms=2000, gang=True
                )
                job = make_job(f"aa{number:014x}", spec, queue="gangs")
                cluster.group.start_soon(cluster.submit, job)
                await anyio.sleep(0.7)

        load.start_soon(submit_gangs)
        await anyio.sleep(5.0)
        spec = StepSpec(task_count=10, cpu_millis=8000, estimated_ms=2000, gang=True)
        job = make_job("a" * 16, spec, queue="gangs")
        assert await cluster.submit(job) is Outcome.OK
        assert await wait_started(cluster, "a" * 16, OVERTAKEN_BOUND_S)
        load.cancel_scope.cancel()


# Guards against policy calls queued for seconds behind the only node that is linked
# just after a takeover, while nodes linked a little later are idle.
async def test_policy_calls_wait_for_nodes_that_link_later():
    async with contended_cell() as cluster:
        policy_client = cluster.owner_node().owner().scheduler.policy_client
        names = ["n0"]
        locks = {f"n{number}": anyio.Lock() for number in range(9)}
        answer_times = []
        policy_client.list_policy_proxies = lambda: names

        async def query_policy_proxy(name, step, executor_ids, deadline):
            async with locks[name]:
                await anyio.sleep(SLOW_POLICY.call_s(len(executor_ids)))
            answer_times.append(anyio.current_time())
            return await cluster.policy.advise(step, executor_ids)

        policy_client.query_policy_proxy = query_policy_proxy
        spec = StepSpec(task_count=2, cpu_millis=4000, estimated_ms=2000, gang=True)
        for number in range(6):
            job = make_job(f"a{number:015x}", spec, queue="gangs")
            assert await cluster.submit(job) is Outcome.OK
        linked_at = anyio.current_time()
        names += [f"n{number}" for number in range(1, 9)]
        while len(answer_times) < 6:
            await anyio.sleep(0.01)
        assert answer_times[5] - linked_at < 2 * SLOW_POLICY.call_s(EXECUTORS)


load_tests = make_load_tests(globals())
