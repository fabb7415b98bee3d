"""Odd names in the group and in the store end no part of a node."""

import random

import anyio

from gypsumring.cell.messages import decoder
from gypsumring.node.app import JOB_ID
from gypsumring.node.candidacy import Candidacy
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.node.membership import Member
from gypsumring.pipelines import parse_task
from gypsumring.platform import decode_desired_state
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

TOPIC = "keyed.nodes"


def test_size_of_a_member_that_is_no_usable_number_counts_as_unknown():
    # int() refuses more than 4,300 digits: one such name ended the link of each node to
    # the owner whenever it looked the owner up.
    for size in ("9" * 5000, "9" * 300, "", "-1", "x", "\u0661", "1_0", "1/2"):
        member = Member.parse(f"n1@10.0.0.1:80/first/{size}")
        assert (member.address, member.size) == ("10.0.0.1:80", 0), size
    assert Member.parse(str(Member("n1", "a1:80", "first", 516))).size == 516


async def test_odd_sizes_in_the_store_exclude_no_node():
    # A size of 250 digits made every node too small to own the cell.
    model = StoreModel()
    records = [("9" * 250, b"1"), ("0", b"1"), ("\u0661", b"1"), ("x", b"1")]
    model.append(TOPIC, 0, records, None)
    async with anyio.create_task_group() as group:
        store = MemoryStore(model, Faults(random.Random(0)), group)
        candidacy = Candidacy(store, TOPIC, 1000)
        await candidacy.load_sizes()
    assert candidacy.is_adequate and candidacy.known_sizes == {1000}


def test_task_names_with_odd_numbers_name_no_task():
    # int() refuses more than 4,300 digits, and the poll of the executor failed.
    for index in ("9" * 5000, "9" * 30, "\u0661", "-1", ""):
        assert parse_task(f"a.0.0.{index}") is None, index
    assert parse_task("a.0.1.17") == ("a", 0, 1, 17)


def test_job_id_with_a_line_end_is_refused():
    # The pattern accepted a line end after the digits, as another job.
    assert JOB_ID.match("a" * 16) and not JOB_ID.match("a" * 16 + "\n")


def test_odd_numbers_in_messages_of_peers_are_refused():
    # A fence of another kind made a node deaf to all later owners; a time that is no
    # number or endless kept a call for ever.
    float_nan = b"\xcb\x7f\xf8" + b"\0" * 6
    float_inf = b"\xcb\x7f\xf0" + b"\0" * 6
    large = b"\xcf" + b"\xff" * 8
    for message in (
        b"\x93\xa8Announce\xa3a:1" + large,
        b"\x93\xa8Announce\xa3a:1\xff",
        b"\x94\xa5Hello\xa1n\xa3a:1" + large,
        b"\x92\xa4Ping" + large,
        b"\x93\xa4Pong\xc3" + large,
        b"\x93\xa9CancelJob\xa1x" + float_nan,
        b"\x93\xa9CancelJob\xa1x" + float_inf,
        b"\x94\xa9AskPolicy\xa1s\x90" + float_inf,
        b"\x95\xa9JobAnswer\xa2ok\xa6queued" + large + b"\x00",
    ):
        try:
            decoded = decoder.decode(message)
        except ValueError:
            continue
        raise AssertionError(f"accepted: {decoded}")
    assert decoder.decode(b"\x93\xa8Announce\xa3a:1\x07").fence == 7


async def test_odd_desired_state_leaves_the_current_one_in_force():
    # RecursionError ended the watch, which read the same record again and again.
    nested = b'{"version":2,"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    async with anyio.create_task_group() as group:
        store = MemoryStore(StoreModel(), Faults(random.Random(0)), group)
        watch = DesiredStateWatch(store, "keyed.op", "config", decode_desired_state)
        for value in (b'{"version":1}', nested, b'{"version":%s}' % (b"9" * 300)):
            store.model.append("keyed.op", 0, [("config", value)], None)
            await watch.read_next()
        assert watch.get().version == 1
        store.model.append("keyed.op", 0, [("config", b'{"version":3}')], None)
        await watch.read_next()
        assert watch.get().version == 3


load_tests = make_load_tests(globals())
