"""Gangs and urgent tasks against a full room of checkpointed work, also in failures.

Each test fails if a waiting step gets no capacity, if work is repeated that has a
checkpoint, or if a task runs twice.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, PolicyTiming, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import Trouble
from stand_ins.platform.policy import PolicyRule
from stand_ins.platform.world import TaskBehaviour

LONG_S = 12.0
SHORT_S = 0.8
GANG = StepSpec(task_count=6, cpu_millis=4_500, estimated_ms=800, gang=True)
GANG_ID = "f" * 16
# Bound of the time until a gang starts on capacity of stopped tasks: it waits 0.4 s,
# and stops take 0.2 s.
GANG_START_S = 2.0


def behave(task, attempt):
    """Let the work of the low queue take long."""
    return TaskBehaviour(SHORT_S if task[0] in "ef" else LONG_S)


@asynccontextmanager
async def full_cluster(
    policy_share=None, tasks=48, mode="accounts", **options
) -> AsyncIterator[MemoryCluster]:
    """Run a cluster that is full of checkpointed work of a low priority."""
    options = {"nodes": 3, "executors": 12, "cpu_millis": 16_000, **options}
    async with running_cluster(
        options.pop("behave", behave), policy_share=policy_share, **options
    ) as cluster:
        (batch,) = cluster.desired.queues
        queues = (
            batch,
            msgspec.structs.replace(batch, name="low", priority=2),
            msgspec.structs.replace(batch, name="urgent", priority=0),
        )
        if cluster.policy is not None:
            # All executors check tickets, and the policy of other queues allows all.
            timing = PolicyTiming(0.02, 0.001, 2.0)
            for name in ("low", "urgent"):
                cluster.policy.rules[name] = PolicyRule(1.0, timing)
        accounts = () if mode == "accounts" else None
        cluster.desired = msgspec.structs.replace(
            cluster.desired, version=2, queues=queues, accounts=accounts
        )
        for number in range(tasks):
            step = StepSpec(
                task_count=1,
                cpu_millis=4_000,
                estimated_ms=int(LONG_S * 1000),
                checkpointing=True,
            )
            job = make_job(f"{number:016x}", step, queue="low")
            assert await cluster.submit(job) is Outcome.OK
        with anyio.fail_after(4.0):
            while len(cluster.world.starts) < min(tasks, 48):
                await anyio.sleep(0.1)
        # The tasks make their first checkpoints.
        await anyio.sleep(2.5)
        yield cluster


async def wait_for_start(cluster, task, limit_s):
    """Return the time until a task starts; fail after a limit."""
    began_at = anyio.current_time()
    with anyio.fail_after(limit_s):
        while task not in cluster.world.starts:
            await anyio.sleep(0.01)
    return anyio.current_time() - began_at


def count_repeats(cluster):
    """Return the number of starts of low tasks after their first."""
    return sum(
        count - 1 for task, count in cluster.world.starts.items() if task[0] not in "ef"
    )


async def check_low_work(cluster, tasks=48, lost_s=0.0):
    """Wait for the low work, and check that it resumed with the work it had done."""
    for number in range(tasks):
        phase = await cluster.wait_final(f"{number:016x}", 60)
        assert phase is JobPhase.COMPLETED
    for task, resumed in cluster.world.resumed.items():
        assert len(resumed) == cluster.world.starts[task] - 1, task
        assert all(worked_s >= 1.0 - lost_s for worked_s in resumed), (task, resumed)


async def test_gang_starts_soon_in_a_full_room():
    async with full_cluster() as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        await wait_for_start(cluster, GANG_ID + ".0.0.0", GANG_START_S)
        assert await cluster.wait_final(GANG_ID) is JobPhase.COMPLETED
        # Four tasks leave room for three members on each of two executors.
        assert count_repeats(cluster) <= 8
        assert cluster.metrics.counters["cell.preemptions.gang"] == 8
        await check_low_work(cluster)
        assert cluster.world.starts[GANG_ID + ".0.0.0"] == 1


async def test_gang_with_tickets_starts_soon_in_a_full_room():
    async with full_cluster(policy_share=0.4) as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        await wait_for_start(cluster, GANG_ID + ".0.0.0", GANG_START_S + 1.0)
        assert await cluster.wait_final(GANG_ID) is JobPhase.COMPLETED
        await check_low_work(cluster)


async def test_urgent_tasks_start_soon_in_a_full_room():
    async with full_cluster() as cluster:
        step = StepSpec(task_count=1, cpu_millis=2_000, estimated_ms=800)
        for number in range(6):
            job = make_job(f"e{number:015x}", step, queue="urgent")
            assert await cluster.submit(job) is Outcome.OK
        for number in range(6):
            await wait_for_start(cluster, f"e{number:015x}.0.0.0", GANG_START_S)
        await check_low_work(cluster)


async def test_nothing_is_stopped_where_no_accounts_are():
    async with full_cluster(mode="none") as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        await anyio.sleep(3.0)
        assert GANG_ID + ".0.0.0" not in cluster.world.starts
        assert count_repeats(cluster) == 0


async def test_nothing_is_stopped_for_work_of_the_same_rank():
    async with full_cluster() as cluster:
        job = make_job(GANG_ID, GANG, queue="low")
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(3.0)
        assert count_repeats(cluster) == 0


async def test_nothing_is_stopped_for_a_gang_that_cannot_be_completed():
    async with full_cluster() as cluster:
        step = msgspec.structs.replace(GANG, task_count=37)
        assert await cluster.submit(make_job(GANG_ID, step)) is Outcome.OK
        await anyio.sleep(3.0)
        assert count_repeats(cluster) == 0


async def test_overload_stops_no_task_twice_in_a_short_time():
    # The room is asked for 120% for ten seconds, with a gang every second.
    async with full_cluster(tasks=52) as cluster:
        began_at = anyio.current_time()
        for number in range(10):
            job = make_job(f"f{number:015x}", GANG)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(1.0)
        for number in range(10):
            assert await cluster.wait_final(f"f{number:015x}", 30) is JobPhase.COMPLETED
        assert anyio.current_time() - began_at < 20.0
        await check_low_work(cluster, 52)
        assert max(cluster.world.starts.values()) <= 3


async def wait_for_stops(cluster):
    """Wait until tasks are being stopped for a gang; return their attempts."""
    with anyio.fail_after(GANG_START_S):
        while True:
            preemption = cluster.owner_node().owner().scheduler.preemption
            if preemption.stops:
                return list(preemption.stops)
            await anyio.sleep(0.01)


async def test_takeover_in_mid_preemption_loses_no_checkpointed_work():
    async with full_cluster() as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        stopped = await wait_for_stops(cluster)
        await anyio.sleep(0.05)
        cluster.owner_node().kill()
        assert await cluster.wait_final(GANG_ID, 30) is JobPhase.COMPLETED
        await check_low_work(cluster)
        for run in stopped:
            assert cluster.world.starts[run.task] <= 2, run.task


async def test_cancelled_gang_stops_nothing_further():
    async with full_cluster(policy_share=0.4) as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        await wait_for_stops(cluster)
        await cluster.cancel(GANG_ID)
        await anyio.sleep(0.3)
        count = cluster.metrics.counters["cell.preemptions.gang"]
        await anyio.sleep(3.0)
        assert cluster.metrics.counters["cell.preemptions.gang"] == count
        scheduler = cluster.owner_node().owner().scheduler
        assert not scheduler.preemption.holds
        await check_low_work(cluster)


async def test_gang_starts_elsewhere_if_a_stop_is_not_answered():
    async with full_cluster() as cluster:
        silent = set()

        def silence() -> None:
            """Let the first executor on which tasks are stopped answer no orders."""
            for run in cluster.owner_node().owner().scheduler.preemption.stops:
                if not silent:
                    silent.add(run.executor_id)
                    cluster.executors[run.executor_id].trouble = Trouble.ORDERS

        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        await wait_for_stops(cluster)
        silence()
        assert silent
        await wait_for_start(cluster, GANG_ID + ".0.0.0", 8.0)
        (name,) = silent
        cluster.executors[name].trouble = Trouble.NONE
        assert await cluster.wait_final(GANG_ID, 30) is JobPhase.COMPLETED
        await check_low_work(cluster)


async def test_gang_starts_elsewhere_if_an_executor_is_lost_after_the_stop():
    async with full_cluster() as cluster:
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        stopped = await wait_for_stops(cluster)
        cluster.executors[stopped[0].executor_id].crash()
        await wait_for_start(cluster, GANG_ID + ".0.0.0", 8.0)
        assert await cluster.wait_final(GANG_ID, 30) is JobPhase.COMPLETED


load_tests = make_load_tests(globals())
