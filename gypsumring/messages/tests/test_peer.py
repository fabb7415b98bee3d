"""Tests of the encoding of peer messages."""

import msgspec

from gypsumring.messages.codec import decode_envelope, decode_reply, encode
from gypsumring.messages.peer import (
    Envelope,
    Heartbeat,
    HeartbeatReply,
    JobReply,
    JobStatus,
    RackSummary,
    pack_summary,
    unpack_summary,
)
from gypsumring.messages.work import JobState, Resources
from gypsumring.utils.testing import make_load_tests

# With nine nodes and a heartbeat every 500 ms, a node takes part in 32 exchanges per
# second. Heartbeats may use half of the limit of 14 KB/s for control traffic, which is
# 218 bytes per exchange.
MAX_EXCHANGE_BYTES = 14_000 // 2 // 32


def make_heartbeat() -> Heartbeat:
    return Heartbeat(
        "entry-8",
        1_764_825_733_123,
        "10.20.30.40:7100",
        123_456_789,
        1_234_567,
        False,
        {},
    )


def test_heartbeat_and_reply_decode_and_stay_within_their_share_of_traffic():
    """Guard against field names on the wire, which tripled the size of heartbeats."""
    envelope = Envelope("entry-8", 1_764_825_733_123, 99_999_999, make_heartbeat())
    reply = HeartbeatReply(
        "entry-9", 1_764_825_733_123, 123_456_789, 1_234_567, (), 2_000
    )
    frames = encode(envelope), encode(reply)
    assert decode_envelope(frames[0]) == envelope
    assert decode_reply(frames[1]) == reply
    assert sum(map(len, frames)) <= MAX_EXCHANGE_BYTES, list(map(len, frames))


def test_summary_in_heartbeat_keeps_all_amounts():
    """Guard against amounts that are swapped in the packed form."""
    summary = RackSummary(
        shard="rack/dc1/r1",
        epoch=7,
        data_centre="dc1",
        workers=8,
        capacity=Resources(1, 2, 3),
        free=Resources(4, 5, 6),
        largest_free=Resources(7, 8, 9),
        largest_worker=Resources(10, 11, 12),
        preemptible=Resources(13, 14, 15),
        ready=True,
    )
    heartbeat = msgspec.structs.replace(
        make_heartbeat(), racks=(pack_summary(summary),)
    )
    received = decode_envelope(encode(Envelope("entry-8", 0, 1, heartbeat))).message
    assert tuple(map(unpack_summary, received.racks)) == (summary,)


def test_job_status_keeps_its_field_names_in_json():
    """Guard against a compact encoding that reaches callers of the gateway."""
    status = JobStatus(
        job_id="j1",
        state=JobState.RUNNING,
        reason="",
        pending=1,
        running=2,
        succeeded=3,
        failed=0,
        uncertain=0,
    )
    assert msgspec.to_builtins(status)["job_id"] == "j1"
    assert decode_reply(encode(JobReply((status,)))) == JobReply((status,))


load_tests = make_load_tests(globals())
