"""Stops and polls of an owner whose link carries little more than it has to."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_full_link import FULL_RATE, LINK_MBPS, RECOVERY_S, Load
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import steady_behaviour

JOBS = 20
# With a link of 1 Mbit/s the lists of running tasks take half of it in one direction.
CANCEL_LINK_MBPS, CANCEL_EXECUTORS, CANCEL_TASKS = 1.0, 100, 400
POLL_LINK_MBPS, POLL_EXECUTORS, POLL_TASKS = 1.0, 200, 400
TASK_S = 60.0
# Repeats take at most this share of what is sent first.
REPEATED_SHARE = 0.2
# Leases that an earlier owner has extended last for so long.
LEASE_S = 5.0


async def submit_jobs(cluster: MemoryCluster, tasks: int) -> list[str]:
    """Submit jobs with long tasks, each once those before it run; return their ids."""
    step = StepSpec(
        task_count=tasks // JOBS, cpu_millis=500, estimated_ms=int(1000 * TASK_S)
    )
    job_ids = [f"c{number:015x}" for number in range(JOBS)]
    deadline = anyio.current_time() + RECOVERY_S
    for number, job_id in enumerate(job_ids, 1):
        assert await cluster.submit(make_job(job_id, step)) is Outcome.OK
        while len(cluster.world.starts) < number * step.task_count:
            assert anyio.current_time() < deadline, len(cluster.world.starts)
            await anyio.sleep(0.02)
    return job_ids


def count_runs(cluster: MemoryCluster, job_ids: list[str]) -> int:
    """Return how many attempts of jobs the owner has recorded, one at least if none."""
    node = cluster.owner_node()
    if node is None:
        return 1
    return sum(
        run.step.job.spec.job_id in job_ids
        for executor in node.owner().state.fleet.values()
        for run in executor.runs.values()
    )


# Stops were sent again after 0.2 s while the answers waited at the link for 0.4 s. The
# answers that nobody waited for any more kept it full, and polls were late, too.
async def test_stops_of_many_tasks_are_hardly_repeated_while_the_link_is_full():
    async with running_cluster(
        steady_behaviour(TASK_S),
        nodes=3,
        executors=CANCEL_EXECUTORS,
        link_mbps=CANCEL_LINK_MBPS,
    ) as cluster:
        await anyio.sleep(2.0)
        job_ids = await submit_jobs(cluster, CANCEL_TASKS)
        counters = cluster.metrics.counters
        load = Load(cluster)
        async with anyio.create_task_group() as group:
            rate = FULL_RATE * CANCEL_LINK_MBPS / LINK_MBPS
            group.start_soon(load.run, rate, RECOVERY_S)
            await anyio.sleep(2.0)
            for job_id in job_ids:
                group.start_soon(cluster.cancel, job_id)
            deadline = anyio.current_time() + RECOVERY_S
            while count_runs(cluster, job_ids):
                assert anyio.current_time() < deadline, count_runs(cluster, job_ids)
                await anyio.sleep(0.1)
            group.cancel_scope.cancel()
        unanswered = counters["cell.stops.unanswered"]
        assert unanswered <= REPEATED_SHARE * CANCEL_TASKS, (
            unanswered,
            counters["traffic.sent_messages.stops"],
            counters["cell.holds.unanswered"],
        )


# The polls of a new owner need longer than the limit of a first poll. If they were sent
# again and again, the leases of the owner before would expire.
async def test_polls_after_a_takeover_settle_before_leases_expire():
    async with running_cluster(
        steady_behaviour(TASK_S),
        nodes=3,
        executors=POLL_EXECUTORS,
        link_mbps=POLL_LINK_MBPS,
    ) as cluster:
        await anyio.sleep(2.0)
        await submit_jobs(cluster, POLL_TASKS)
        killed = cluster.owner_node()
        killed.kill()
        deadline = anyio.current_time() + LEASE_S
        counters = cluster.metrics.counters
        while (node := cluster.owner_node()) is None or node is killed:
            await anyio.sleep(0.02)
        unanswered = counters["cell.holds.unanswered"]
        fleet = node.owner().state.fleet
        while any(each.first_response_at is None for each in fleet.values()):
            assert anyio.current_time() < deadline
            await anyio.sleep(0.02)
        assert len(fleet) == POLL_EXECUTORS
        # Each executor is polled once more at most.
        unanswered = counters["cell.holds.unanswered"] - unanswered
        assert unanswered <= POLL_EXECUTORS, unanswered
        await anyio.sleep(RECOVERY_S)
        assert all(count == 1 for count in cluster.world.starts.values())


# Stops that block late starts waited for the queue at the link, in which nothing was
# repeated at all while the link was full.
async def test_stops_are_repeated_while_the_link_has_a_queue():
    async with (
        running_cluster(
            steady_behaviour(TASK_S), nodes=1, executors=2, link_mbps=10.0
        ) as cluster,
        anyio.create_task_group() as others,
    ):
        await anyio.sleep(2.0)
        owner = cluster.owner_node()
        state, orders = owner.owner().state, owner.owner().scheduler.orders
        executor = state.fleet[sorted(cluster.executors)[0]]
        owner.faults.cut_executors.add(executor.executor_id)

        async def keep_queue() -> None:
            while True:
                state.traffic.idle_at = anyio.current_time() + 0.2
                await anyio.sleep(0.01)

        others.start_soon(keep_queue)
        sent_before = state.metrics.counters["traffic.sent_messages.stops_repeated"]
        others.start_soon(orders.block_late_start, executor, "a" * 16 + ".0.0.0", 1)
        await anyio.sleep(6.0)
        sent = state.metrics.counters["traffic.sent_messages.stops_repeated"]
        assert sent - sent_before >= 3, sent - sent_before
        others.cancel_scope.cancel()


load_tests = make_load_tests(globals())
