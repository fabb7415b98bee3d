"""Mutated input of each decoder: declared errors only, accepted values in range.

The seeds are fixed. Mutations keep most of the JSON structure, so that they reach the
checks of fields and not only the parser.
"""

import json
import random
from collections.abc import Callable

import msgspec

from gypsumring.cell.messages import (
    Announce,
    CancelJob,
    Hello,
    Pong,
    SubmitJob,
    decoder,
)
from gypsumring.cell.owner import decode_entry, decode_queue, limit_entry
from gypsumring.fleet import ExecutorEntry, InvalidEntry
from gypsumring.node.membership import Member
from gypsumring.pipelines import (
    PipelineError,
    PipelineSpec,
    check_pipeline,
    decode_progress,
    decode_spec,
    encode,
)
from gypsumring.platform import (
    decode_desired_state,
    decode_executor_entry,
    decode_submission,
    read_time_limit_s,
)
from gypsumring.platform.exceptions import WireError
from gypsumring.platform.executors import decode_task_lists
from gypsumring.platform.policy import decode_advice
from gypsumring.platform.store import (
    AppendReply,
    JoinReply,
    NewestReply,
    OwnersReply,
    decode_records,
    decode_reply,
    encode_records,
)
from gypsumring.platform.tests.test_decoding import CONFIG, ENTRY, JOB
from gypsumring.ports.store import StoreUnavailable
from gypsumring.ports.tasks import ExecutorSilent, PolicyUnavailable
from gypsumring.transport import HttpResponse
from gypsumring.utils.addresses import split_address
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import MAX_MACHINE_SIZE, MAX_NUMBER, MAX_QUANTITY
from gypsumring.utils.testing import make_load_tests

CASES = 1_500
LISTS = (
    b'{"clockMs":1,"born":3,"running":[["a.0.0.1",1,"c",4,0.5]],'
    b'"ended":[[1,"t",1,"done",""]]}'
)
# Values that took part in a fault, or lie at the edge of a range.
ODD_VALUES = [
    b"-1",
    b"0",
    b"-0.0",
    b"1e400",
    b"1e300",
    b"0.5",
    b"%d" % MAX_QUANTITY,
    b"%d" % (MAX_QUANTITY + 1),
    b"%d" % MAX_NUMBER,
    b"%d" % (MAX_NUMBER + 1),
    b"%d" % 2**63,
    b"%d" % 2**64,
    b"1" + b"0" * 400,
    b"9" * 5000,
    b"NaN",
    b"-Infinity",
    b"null",
    b"true",
    b"{}",
    b"[]",
    b'""',
    b'"\\ud800"',
    b'"\\u0000"',
    b'"a\\r\\nb"',
    b'"\xff"',
    b'"' + b"x" * 5000 + b'"',
    b"[" * 100_000,
    b"[" * 50_000 + b"]" * 50_000,
]


def mutate(content: bytes, random_source: random.Random) -> bytes:
    """Return a damaged or odd variant of a JSON value."""
    choice = random_source.random()
    if choice < 0.25:
        return damage(content, random_source)
    value = json.loads(content)
    for _ in range(random_source.randint(1, 3)):
        replace_leaf(value, random_source)
    text = json.dumps(value).encode()
    for number, odd in enumerate(ODD_VALUES):
        text = text.replace(b'"@%d@"' % number, odd)
    return damage(text, random_source) if choice > 0.95 else text


def damage(content: bytes, random_source: random.Random) -> bytes:
    """Return the bytes with some replaced, removed or repeated."""
    damaged = bytearray(content)
    for _ in range(random_source.randint(1, 6)):
        position = random_source.randrange(len(damaged))
        match random_source.randrange(3):
            case 0:
                damaged[position] = random_source.randrange(256)
            case 1:
                del damaged[position : position + random_source.randint(1, 4)]
            case 2:
                damaged[position:position] = damaged[position : position + 8]
        if not damaged:
            break
    return bytes(damaged)


def replace_leaf(value, random_source: random.Random) -> None:
    """Replace, remove or add one member below a JSON object or array."""
    while True:
        keys = list(value) if isinstance(value, dict) else list(range(len(value)))
        if not keys:
            return
        key = random_source.choice(keys)
        child = value[key]
        if isinstance(child, dict | list) and child and random_source.random() < 0.8:
            value = child
            continue
        odd = f"@{random_source.randrange(len(ODD_VALUES))}@"
        match random_source.randrange(8):
            case 0:
                del value[key]
            case 1 if isinstance(value, dict):
                value["other"] = odd
            case _:
                value[key] = odd
        return


def fuzz(
    content: bytes,
    decode: Callable[[bytes], object],
    errors: tuple[type[Exception], ...],
    check: Callable[[object], None],
    seed: int,
) -> None:
    """Decode mutations; assert that some are refused and some accepted."""
    random_source = random.Random(seed)
    counts = {"accepted": 0, "refused": 0}
    for _ in range(CASES):
        try:
            decoded = decode(mutate(content, random_source))
        except errors:
            counts["refused"] += 1
            continue
        counts["accepted"] += 1
        check(decoded)
    assert min(counts.values()) >= CASES // 50, counts


def make_response(body: bytes) -> HttpResponse:
    """Return a response with status 200."""
    return HttpResponse(200, body, {}, False)


def check_entry(entry: ExecutorEntry) -> None:
    """Assert that an entry is in range and survives its record."""
    for name in ("cpu_millis", "memory_mb", "accelerators", "remaining_ms"):
        assert 0 <= getattr(entry, name) <= MAX_QUANTITY, name
    assert 0 <= entry.born_ms <= MAX_NUMBER
    split_address(entry.address)
    assert decode_entry(encode(entry)) == limit_entry(entry) == entry


def test_executor_entries():
    # An accepted entry goes on into the record that each later owner reads.
    entry = ENTRY.replace(b'"clockMs"', b'"remainingMs":7,"clockMs"')
    fuzz(
        entry,
        lambda value: decode_executor_entry("i-1", value),
        (InvalidEntry,),
        check_entry,
        1,
    )


def test_ids_of_executors():
    # Ids are keys of the store, which any writer chooses.
    random_source = random.Random(2)
    for _ in range(CASES):
        characters = random_source.choices(range(0x2FF), k=random_source.randint(0, 4))
        executor_id = "".join(map(chr, characters))
        try:
            entry = decode_executor_entry(executor_id, ENTRY)
        except InvalidEntry as error:
            assert error.reason == "id"
            continue
        assert entry.executor_id.isascii() and entry.executor_id.isprintable()


def check_submission(submission) -> None:
    """Assert that the job of a submission survives its record."""
    spec = PipelineSpec(
        job_id="a" * 16,
        queue="q",
        service="s",
        accepted_ms=1,
        payload=submission.payload,
        steps=submission.steps,
        start_at_ms=submission.schedule.start_at_ms,
        interval_ms=submission.schedule.interval_ms,
        repeats=submission.schedule.repeats,
    )
    check_pipeline(spec.steps)
    assert decode_spec(encode(spec)) == spec
    message = SubmitJob(spec, 1.0)
    assert decoder.decode(encode(message)) == message
    for step in spec.steps:
        for name in ("estimated_ms", "latency_target_ms", "disruption_budget"):
            assert 0 <= getattr(step, name) <= MAX_QUANTITY, name


def test_submissions():
    # An accepted job goes on to the owner and into its record.
    job = JOB.replace(b'"spec"', b'"startAtMs":1,"intervalMs":9,"repeats":2,"spec"')
    fuzz(job, decode_submission, (WireError,), check_submission, 3)


def test_desired_states():
    # Each queue goes on into a record of the cell.
    def check(desired) -> None:
        for queue in desired.queues:
            assert decode_queue(encode(queue)) == queue
            assert 0 <= queue.latency_target_s <= MAX_QUANTITY
        assert 0 <= desired.version <= MAX_NUMBER

    fuzz(CONFIG, decode_desired_state, (WireError,), check, 4)


def test_task_lists():
    # Numbers of ends and attempts go on into orders and records.
    def check(lists) -> None:
        numbers = [lists.clock_ms, lists.born_ms]
        numbers += [row.attempt for row in lists.running + lists.ended]
        numbers += [row.number for row in lists.ended]
        assert all(0 <= number <= MAX_NUMBER for number in numbers)
        assert msgspec.json.decode(msgspec.json.encode(numbers)) == numbers

    fuzz(LISTS, decode_task_lists, (ExecutorSilent,), check, 5)


def test_answers_of_the_policy_service():
    # Tickets go on into starts.
    fuzz(
        b'{"allowed":[["i-1","t1"],["i-2","t2"]],"more":{"a":1}}',
        decode_advice,
        (PolicyUnavailable,),
        lambda rows: msgspec.json.encode(rows),
        6,
    )


def test_replies_of_the_store():
    # Offsets and generations go on into requests and fence numbers.
    for kind, content in (
        (AppendReply, b'{"offset":4,"endOffset":5,"reason":"","seqNo":2,"x":{"y":1}}'),
        (
            NewestReply,
            b'{"items":[{"key":"k","offset":1,"value":"YQ=="}],'
            b'"endOffset":3,"hasMore":true,"x":1}',
        ),
        (JoinReply, b'{"generation":4,"parts":[["t",0,7]],"x":1}'),
        (OwnersReply, b'{"parts":[["t",0,"n1@a:1/x/5",7]],"x":1,"y":2}'),
    ):
        fuzz(
            content,
            lambda body, kind=kind: decode_reply(make_response(body), kind),
            (StoreUnavailable,),
            check_reply,
            7,
        )


def check_reply(reply) -> None:
    """Assert that the numbers of a reply can be sent back."""
    for name in ("offset", "end_offset", "seq_no", "generation"):
        assert 0 <= getattr(reply, name, 0) <= MAX_NUMBER, name


def test_framed_records():
    # A reader takes the offsets of all records from their order.
    content = encode_records([("a", b"1"), ("bb", b""), ("c", b"x" * 30)])
    random_source = random.Random(8)
    for _ in range(CASES):
        try:
            records = decode_records(damage(content, random_source), 5)
        except WireError:
            continue
        assert [record.offset for record in records] == [
            5 + number for number in range(len(records))
        ]


def test_stored_records():
    # Records of earlier versions and of other writers are read at each takeover.
    spec = PipelineSpec(
        job_id="a" * 16,
        queue="q",
        service="s",
        accepted_ms=1,
        payload="p",
        steps=decode_submission(JOB).steps,
    )
    progress = {"phase": "running", "steps": [{"n": 0, "d": b"\1\0", "f": {0: [1]}}]}
    entry = decode_executor_entry("i-1", ENTRY)
    random_source = random.Random(9)
    for content, decode, errors in (
        (encode(spec), decode_spec, (PipelineError,)),
        (encode(progress), decode_progress, (PipelineError,)),
        (encode(entry), lambda value: check_limits(decode_entry(value)), DECODE_ERRORS),
        (encode(decode_desired_state(CONFIG).queues[0]), decode_queue, DECODE_ERRORS),
    ):
        for _ in range(CASES):
            try:
                decode(damage(content, random_source))
            except errors:
                pass


def check_limits(entry: ExecutorEntry) -> None:
    """Assert that a restored entry is in range, whatever its record holds."""
    limited = limit_entry(entry)
    assert 0 <= limited.cpu_millis <= MAX_QUANTITY
    assert 0 <= limited.born_ms <= MAX_NUMBER
    assert limit_entry(limited) == limited


def test_messages_of_peers():
    # A message that is refused closes its channel and nothing else.
    random_source = random.Random(10)
    for message in (
        Hello("n1", "10.0.0.1:80", 500),
        Announce("10.0.0.1:80", 7001),
        Pong(True, 7001, "10.0.0.1:80", 5, {"n2": "10.0.0.2:80"}),
        CancelJob("a" * 16, 2.5),
    ):
        content = encode(message)
        for _ in range(CASES):
            try:
                decoded = decoder.decode(damage(content, random_source))
            except DECODE_ERRORS:
                continue
            assert decoder.decode(encode(decoded)) == decoded


def test_names_of_members_and_time_limits():
    # Both are texts from outside that contain a number.
    random_source = random.Random(11)
    for _ in range(CASES):
        name = damage(b"n1@10.0.0.1:80/first/516", random_source).decode(
            errors="replace"
        )
        member = Member.parse(name + "9" * random_source.choice([0, 0, 9, 5000]))
        assert 0 <= member.size <= MAX_MACHINE_SIZE
        value = damage(b"1500", random_source) * random_source.choice([1, 1, 9, 2000])
        assert 0.0 <= read_time_limit_s({b"deadline-ms": value}) <= 3_600.0


load_tests = make_load_tests(globals())
