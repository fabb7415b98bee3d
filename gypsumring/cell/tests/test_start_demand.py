"""Starts are sent as the link carries them; work that it cannot carry is refused."""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.start_demand import MIN_LIMIT_S, StartDemand, start_bytes
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.metrics import Metrics
from gypsumring.pipelines import PipelineSpec, Queue, StepSpec
from gypsumring.transport import LinkTraffic, Purpose
from gypsumring.transport.traffic import MAX_BULK_BACKLOG_S
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

LINK_MBPS = 10
TASKS = StepSpec(task_count=20, cpu_millis=100, estimated_ms=500)
LARGE = StepSpec(task_count=100, cpu_millis=100, estimated_ms=500)


def make_queue(priority: int, latency_target_s: float = 1.0) -> Queue:
    """Return a queue of a priority."""
    return Queue(
        name=f"q{priority}",
        host="",
        path_prefix="",
        service="s",
        priority=priority,
        latency_target_s=latency_target_s,
    )


def make_large_job(job_id: str) -> PipelineSpec:
    """Return a job whose starts take 1.7 s on a link of 2 Mbit/s."""
    return msgspec.structs.replace(make_job(job_id, LARGE), payload="p" * 4_000)


# Starts were sent as soon as they were decided, so that pings waited behind all of them
# and the nodes left an owner that served.
async def test_messages_of_bulk_keep_the_queue_at_the_link_short():
    traffic = LinkTraffic(Metrics(), LINK_MBPS)
    longest_s = 0.0

    async def send() -> None:
        nonlocal longest_s
        await traffic.wait_for_room()
        traffic.reserve(2_500)
        traffic.record_sent(2_500, Purpose.STARTS)
        longest_s = max(longest_s, traffic.backlog_s())

    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for _ in range(400):
            group.start_soon(send)
    assert longest_s <= MAX_BULK_BACKLOG_S + traffic.transfer_s(2_500) + 1e-6
    # All the same the link is used without a pause.
    assert anyio.current_time() - began_at <= 400 * traffic.transfer_s(2_500) + 1e-6


async def test_bulk_on_a_link_of_unknown_rate_is_sent_at_once():
    traffic = LinkTraffic(Metrics())
    traffic.record_sent(10**9)
    with anyio.fail_after(0.001):
        await traffic.wait_for_room()


async def test_wait_counts_the_starts_of_the_same_and_of_higher_priority():
    demand = StartDemand(LinkTraffic(Metrics(), LINK_MBPS))
    spec = make_job("a" * 16, StepSpec(task_count=1_000), queue="q1")
    for _ in range(12):
        demand.add(spec, 1)
    assert demand.wait_s(0) == 0
    assert demand.wait_s(1) == demand.wait_s(2) > MIN_LIMIT_S
    assert demand.excess_s(make_queue(0)) == 0
    assert demand.excess_s(make_queue(1)) > 0
    demand.review([])
    assert demand.excess_s(make_queue(1)) == 0


async def test_wait_may_be_as_long_as_the_target_of_the_queue():
    demand = StartDemand(LinkTraffic(Metrics(), LINK_MBPS))
    demand.add(make_job("a" * 16, *[StepSpec(task_count=1_000)] * 6), 1)
    assert 1.0 < demand.wait_s(1) < 5.0
    assert demand.excess_s(make_queue(1)) > 0
    assert demand.excess_s(make_queue(1, latency_target_s=5.0)) == 0


# Work that no executor has room for would have kept all other work out.
async def test_work_that_waits_for_executors_does_not_count():
    async with running_cluster(
        steady_behaviour(60.0), executors=1, cpu_millis=1_000
    ) as cluster:
        await anyio.sleep(1.0)
        state = cluster.owner_node().owner().state
        state.start_demand.traffic = LinkTraffic(Metrics(), 0.01)
        for number in range(20):
            job = make_job(f"{number:016x}", TASKS)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.5)
        assert cluster.metrics.counters["cell.jobs.refused.link_full"] == 0


# The backlog grew from 88 to 1,436 jobs while the link was full; all of them were late.
async def test_job_is_refused_while_the_starts_before_it_fill_the_link():
    async with running_cluster(
        steady_behaviour(0.5), executors=8, cpu_millis=100_000
    ) as cluster:
        await anyio.sleep(1.0)
        owner = cluster.owner_node().owner()
        state = owner.state
        state.traffic = state.start_demand.traffic = LinkTraffic(Metrics(), 2)
        accepted = make_large_job("a" * 16)
        assert await cluster.submit(accepted) is Outcome.OK
        await anyio.sleep(0.1)
        refused = make_large_job("b" * 16)
        answer = await owner.commands.submit(refused, 3.0)
        assert answer.outcome is Outcome.REFUSED
        assert answer.retry_after_s >= 1.0
        assert cluster.metrics.counters["cell.jobs.refused.link_full"] == 1
        # A repeat of an accepted submission is not refused.
        assert (await owner.commands.submit(accepted, 3.0)).outcome is Outcome.OK
        # Nothing was written of the refused job.
        assert refused.job_id not in state.table.jobs
        records, _ = cluster.store.newest("cells", 0)
        assert not any(refused.job_id in record.key for record in records)
        # Once the link is free again, jobs are accepted.
        await anyio.sleep(15.0)
        assert await cluster.submit(refused) is Outcome.OK


def test_start_is_as_large_as_the_payload_of_its_job():
    spec = make_job("a" * 16)
    assert start_bytes(spec) > len(spec.payload)


load_tests = make_load_tests(globals())
