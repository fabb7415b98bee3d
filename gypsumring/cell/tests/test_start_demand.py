"""Starts are sent as the link carries them; work that it cannot carry is refused."""

from unittest import mock

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.start_demand import (
    MAX_UNSENT_S,
    MIN_LIMIT_S,
    StartDemand,
    start_bytes,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.metrics import Metrics
from gypsumring.pipelines import (
    JobPhase,
    JobTable,
    PipelineSpec,
    Queue,
    Run,
    StepSpec,
)
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


# Starts of which others are of no use before them waited behind all that were queued.
async def test_urgent_messages_of_bulk_go_first():
    traffic = LinkTraffic(Metrics(), LINK_MBPS)
    sent: list[bool] = []

    async def send(is_urgent: bool) -> None:
        await traffic.wait_for_room(is_urgent)
        traffic.reserve(25_000)
        sent.append(is_urgent)

    async with anyio.create_task_group() as group:
        for _ in range(20):
            group.start_soon(send, False)
        # No message may be sent at this moment.
        await anyio.sleep(0.055)
        waiting = 20 - len(sent)
        for _ in range(5):
            group.start_soon(send, True)
    assert waiting > 10
    assert sent[20 - waiting :] == [True] * 5 + [False] * waiting, sent


async def test_bulk_on_a_link_of_unknown_rate_is_sent_at_once():
    traffic = LinkTraffic(Metrics())
    traffic.record_sent(10**9)
    with anyio.fail_after(0.001):
        await traffic.wait_for_room()


async def test_wait_counts_the_starts_of_the_same_and_of_higher_priority():
    demand = StartDemand(LinkTraffic(Metrics(), LINK_MBPS))
    for number in range(12):
        spec = make_job(f"{number:016x}", StepSpec(task_count=1_000), queue="q1")
        demand.begin_accepting(spec, 1)
    assert demand.wait_s(0) == 0
    assert demand.wait_s(1) == demand.wait_s(2) > MIN_LIMIT_S
    assert demand.excess_s(make_queue(0)) == 0
    assert demand.excess_s(make_queue(1)) > 0


# A pass forgot the jobs that were not stored yet, so that a slow store let all in.
async def test_jobs_that_are_being_stored_count_until_they_are():
    demand = StartDemand(LinkTraffic(Metrics(), LINK_MBPS))
    spec = make_job("a" * 16, *[StepSpec(task_count=1_000)] * 6)
    demand.begin_accepting(spec, 1)
    demand.review([])
    assert demand.excess_s(make_queue(1)) > 0
    demand.end_accepting(spec)
    assert demand.wait_s(1) == 0


async def test_wait_may_be_as_long_as_the_target_of_the_queue():
    demand = StartDemand(LinkTraffic(Metrics(), LINK_MBPS))
    steps = [StepSpec(task_count=1_000)] * 6
    demand.begin_accepting(make_job("a" * 16, *steps), 1)
    assert 1.0 < demand.wait_s(1) < 5.0
    assert demand.excess_s(make_queue(1)) > 0
    assert demand.excess_s(make_queue(1, latency_target_s=5.0)) == 0


# Starts that waited for silent executors kept all others from starting for 5 s.
async def test_starts_that_wait_for_silent_executors_do_not_stop_the_others():
    async with running_cluster(
        steady_behaviour(0.5),
        nodes=3,
        executors=8,
        cpu_millis=20_000,
        link_mbps=2.0,
    ) as cluster:
        await anyio.sleep(2.5)
        silent = set(sorted(cluster.executors)[:4])
        for node in cluster.nodes.values():
            node.faults.cut_executors |= silent
        burst = StepSpec(task_count=150, cpu_millis=1_000, estimated_ms=500)
        job = msgspec.structs.replace(make_job("a" * 16, burst), payload="x" * 3_500)
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(MAX_UNSENT_S + 1.5)
        small = StepSpec(task_count=1, cpu_millis=1_000, estimated_ms=500)
        outcomes = []
        for number in range(10):
            outcomes.append(await cluster.submit(make_job(f"{number:016x}", small)))
            await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        assert outcomes == [Outcome.OK] * 10
        started = {task.partition(".")[0] for task in cluster.world.starts}
        assert len(started - {"a" * 16}) == 10, started


# The rest of a large step was forgotten after 1 s, while the link still carried it, and
# further tasks were placed behind it.
async def test_starts_count_until_the_link_has_had_room_for_them():
    demand = StartDemand(LinkTraffic(Metrics(), 2))
    step = JobTable().add(make_large_job("a" * 16), anyio.current_time()).steps[0]
    for index in range(100):
        demand.add_unsent(Run(step, index, 1, "i-0", anyio.current_time()))
    assert demand.start_wait_s() > 1.5
    await anyio.sleep(MAX_UNSENT_S + 0.1)
    assert demand.is_link_full()
    await anyio.sleep(1.8)
    assert not demand.is_link_full()


# A start whose ticket had expired took the link, and the executor refused it.
async def test_start_with_an_expired_ticket_is_not_sent():
    async with running_cluster(steady_behaviour(0.5), policy_share=1.0) as cluster:
        await anyio.sleep(1.0)
        traffic = LinkTraffic(Metrics(), 2)
        cluster.owner_node().owner().state.traffic = traffic
        # The tickets are valid for 2 s.
        traffic.reserve(round(2.5 * traffic.bytes_per_s))
        assert await cluster.submit(make_job("a" * 16, TASKS)) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        counters = cluster.metrics.counters
        assert counters["cell.starts.withdrawn"] > 0
        assert counters["cell.starts.refused.ticket"] == 0


# Tasks were placed with tickets that expired while their starts waited for the link.
async def test_tickets_have_to_outlast_the_wait_for_the_link():
    async with running_cluster(steady_behaviour(0.5), policy_share=1.0) as cluster:
        await anyio.sleep(1.0)
        state = cluster.owner_node().owner().state
        traffic = LinkTraffic(Metrics(), 2)
        state.traffic = state.start_demand.traffic = traffic
        assert await cluster.submit(make_job("a" * 16, TASKS)) is Outcome.OK
        with mock.patch.object(type(state.start_demand), "start_wait_s", lambda _: 2.1):
            with mock.patch.object(
                type(state.start_demand), "is_link_full", lambda _: False
            ):
                await anyio.sleep(3.0)
                assert not cluster.world.starts
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


# Starts were sent again after 0.25 s although the link still carried the first ones.
async def test_starts_are_repeated_from_the_credit_of_the_link():
    async with running_cluster(steady_behaviour(0.5), executors=2) as cluster:
        await anyio.sleep(1.0)
        state = cluster.owner_node().owner().state
        traffic = LinkTraffic(Metrics(), LINK_MBPS)
        state.traffic = state.start_demand.traffic = traffic
        while traffic.spend_repeat(100_000):
            pass
        traffic.repeat_credit = 0
        traffic.repeat_credit_at = anyio.current_time() + 60.0
        for node in cluster.nodes.values():
            node.faults.cut_executors |= set(cluster.executors)
        assert await cluster.submit(make_job("a" * 16, TASKS)) is Outcome.OK
        await anyio.sleep(2.0)
        assert traffic.metrics.counters["traffic.repeats_deferred"] > 10


# 450 of 500 waiting steps were not looked at in a pass, and all submissions accepted.
async def test_steps_that_a_pass_has_no_time_for_count_as_demand():
    async with running_cluster(
        steady_behaviour(60.0), executors=1, cpu_millis=1_000
    ) as cluster:
        await anyio.sleep(1.0)
        owner = cluster.owner_node().owner()
        owner.state.start_demand.traffic = LinkTraffic(Metrics(), 0.1)
        for number in range(20):
            job = make_job(f"{number:016x}", TASKS)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.2)
        assert owner.state.start_demand.wait_s(9) == 0
        real_time, evaluations = anyio.current_time, 0

        def current_time() -> float:
            nonlocal evaluations
            evaluations += 1
            return real_time() + 0.01 * evaluations

        for step in owner.scheduler.backlog.waiting:
            owner.scheduler.backlog.schedule(step, real_time())
        with mock.patch.object(anyio, "current_time", current_time):
            owner.scheduler.schedule()
        assert owner.state.start_demand.bytes_by_priority.total() > 0


# A gang that the link needs more than 1.5 s for was stopped and started again for ever.
async def test_gang_starts_though_the_link_takes_long_for_its_starts():
    async with running_cluster(
        steady_behaviour(0.5),
        nodes=3,
        executors=20,
        cpu_millis=20_000,
        link_mbps=2.0,
    ) as cluster:
        await anyio.sleep(2.5)
        gang = StepSpec(task_count=90, cpu_millis=1_000, estimated_ms=500, gang=True)
        job = msgspec.structs.replace(make_job("a" * 16, gang), payload="x" * 4_000)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id, 30.0) is JobPhase.COMPLETED


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


def test_size_of_a_start_is_that_of_its_payload_in_json():
    for payload in (
        "x" * 2_000,
        '{"key": "value"}' * 100,
        "\u4e2d" * 1_000,
        "\x01" * 9,
    ):
        spec = msgspec.structs.replace(make_job("a" * 16), payload=payload)
        assert start_bytes(spec) - len(msgspec.json.encode(payload)) in range(200, 500)


load_tests = make_load_tests(globals())
