"""Tests of the account of what fills the link of a machine."""

import anyio

from gypsumring.cell.messages import JobAnswer, Outcome, Ping, QueryJob
from gypsumring.metrics import Metrics
from gypsumring.transport import LinkTraffic, Purpose, sending_for
from gypsumring.transport.channel import find_purpose
from gypsumring.utils.testing import make_load_tests


async def test_bytes_are_counted_for_the_purpose_of_the_block():
    traffic = LinkTraffic(Metrics(), 10)
    with sending_for(Purpose.RECORDS):
        traffic.record_sent(1_000)
        with sending_for(Purpose.STARTS):
            traffic.record_sent(200)
        traffic.record_received(50)
    traffic.record_sent(30)
    counters = traffic.metrics.counters
    assert counters["traffic.sent_bytes.records"] == 1_000
    assert counters["traffic.sent_bytes.starts"] == 200
    assert counters["traffic.sent_bytes.other"] == 30
    assert counters["traffic.received_bytes.records"] == 50


async def test_purposes_of_concurrent_tasks_are_kept_apart():
    traffic = LinkTraffic(Metrics(), 10)

    async def send(purpose, size):
        with sending_for(purpose):
            await anyio.sleep(0.1)
            traffic.record_sent(size)

    async with anyio.create_task_group() as group:
        group.start_soon(send, Purpose.RECORDS, 7)
        group.start_soon(send, Purpose.POLLS, 5)
    assert traffic.sent_bytes == {Purpose.RECORDS: 7, Purpose.POLLS: 5}


async def test_backlog_is_what_the_link_has_not_carried_yet():
    traffic = LinkTraffic(Metrics(), 8)
    traffic.record_sent(500_000 - 60)
    assert abs(traffic.backlog_s() - 0.5) < 1e-9
    await anyio.sleep(0.2)
    assert abs(traffic.backlog_s() - 0.3) < 1e-9
    await anyio.sleep(1)
    assert traffic.backlog_s() == 0


async def test_link_of_unknown_rate_has_no_backlog():
    traffic = LinkTraffic(Metrics())
    traffic.record_sent(10**9)
    assert traffic.backlog_s() == 0
    assert traffic.summarize(1.0) is None


async def test_summary_is_given_only_for_a_busy_link():
    traffic = LinkTraffic(Metrics(), 8)
    traffic.record_sent(200_000, Purpose.RECORDS)
    assert traffic.summarize(1.0) is None
    traffic.record_sent(200_000, Purpose.RECORDS)
    traffic.record_sent(300_000, Purpose.STARTS)
    traffic.record_liveness_send(0.25)
    summary = traffic.summarize(1.0)
    assert list(summary["sent_kb"].items()) == [("starts", 300.0), ("records", 200.0)]
    assert summary["liveness_send_ms"] == 250
    assert traffic.summarize(1.0) is None


async def test_repeats_use_up_a_credit_that_first_sends_earn():
    traffic = LinkTraffic(Metrics(), 8)
    assert traffic.spend_repeat(250_000)
    assert not traffic.spend_repeat(60_000)
    traffic.record_sent(300_000, Purpose.RECORDS)
    assert not traffic.spend_repeat(50_000), "the first copy has not left the machine"
    await anyio.sleep(0.3)
    assert traffic.spend_repeat(60_000)
    assert not traffic.spend_repeat(100_000)
    await anyio.sleep(1.0)
    assert traffic.spend_repeat(50_000)
    assert traffic.metrics.counters["traffic.repeats_deferred"] == 3


async def test_repeat_that_exceeds_all_credit_is_sent_once_the_credit_is_full():
    traffic = LinkTraffic(Metrics(), 2)
    assert traffic.spend_repeat(250_000)
    await anyio.sleep(1.0)
    assert not traffic.spend_repeat(250_000)
    await anyio.sleep(0.5)
    assert traffic.spend_repeat(250_000)


async def test_repeat_that_was_refused_costs_nothing():
    traffic = LinkTraffic(Metrics(), 2)
    for _ in range(100):
        assert traffic.spend_repeat(60_000)
        traffic.refund_repeat(60_000)


async def test_relayed_calls_earn_no_credit():
    traffic = LinkTraffic(Metrics(), 2)
    assert traffic.spend_repeat(250_000)
    traffic.record_sent(200_000, Purpose.RELAYS)
    assert traffic.repeat_credit == 0


def test_messages_between_nodes_declare_their_purpose():
    assert find_purpose(Ping()) is Purpose.LIVENESS
    assert find_purpose(QueryJob("00")) is Purpose.QUERIES
    assert find_purpose(JobAnswer(Outcome.OK)) is Purpose.COMMANDS


load_tests = make_load_tests(globals())
