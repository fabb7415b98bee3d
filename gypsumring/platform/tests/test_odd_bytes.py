"""Odd bytes of other writers, callers and servers end in the declared errors."""

from collections.abc import Callable

import msgspec

from gypsumring.cell.state import EXECUTOR_KEY
from gypsumring.fleet import InvalidEntry
from gypsumring.platform import (
    decode_desired_state,
    decode_executor_entry,
    decode_submission,
    read_time_limit_s,
)
from gypsumring.platform.exceptions import WireError
from gypsumring.platform.executors import decode_task_lists, raise_refusal_error
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
from gypsumring.ports.tasks import ExecutorSilent, PolicyUnavailable, StartRefused
from gypsumring.transport import HttpResponse
from gypsumring.utils.testing import make_load_tests

NESTED = b"[" * 100_000 + b"]" * 100_000
LARGE = b"1" + b"0" * 400
LISTS = b'{"clockMs":1,"running":[["a.0.0.1",1,"",4]],"ended":[[1,"t",1,"done",""]]}'


def make_response(body: bytes) -> HttpResponse:
    """Return a response with status 200."""
    return HttpResponse(200, body, {}, False)


def assert_refused(
    error_type: type[Exception], decode: Callable[[bytes], object], content: bytes
) -> Exception:
    """Return the error with which a decoder refuses its input."""
    try:
        decoded = decode(content)
    except error_type as error:
        return error
    raise AssertionError(f"accepted: {decoded!r:.200}")


def add_field(content: bytes, value: bytes) -> bytes:
    """Add an unknown field to a JSON object."""
    return content[:-1] + b',"other":' + value + b"}"


def replace_number(content: bytes, name: bytes, value: bytes) -> bytes:
    """Replace the number of a field that appears once."""
    before, found, rest = content.partition(b'"' + name + b'":')
    assert found and before, name
    number = rest[: len(rest) - len(rest.lstrip(b"0123456789.-"))]
    return before + found + value + rest[len(number) :]


def test_nested_values_in_executor_entries_are_refused():
    # RecursionError left the decoder, and one entry ended the cell owner after owner.
    error = assert_refused(
        InvalidEntry,
        lambda value: decode_executor_entry("i-1", value),
        add_field(ENTRY, NESTED),
    )
    assert error.reason == "nesting"


def test_nested_values_in_the_desired_state_are_refused():
    # RecursionError ended the watch, and the node had no desired state.
    assert_refused(WireError, decode_desired_state, add_field(CONFIG, NESTED))


def test_nested_values_in_submissions_are_refused():
    # The caller received 504 in place of 400, and sent the job again and again.
    assert_refused(WireError, decode_submission, add_field(JOB, NESTED))


def test_nested_values_in_answers_of_servers_are_refused():
    # RecursionError left the clients of executors, policy service and store.
    assert_refused(ExecutorSilent, decode_task_lists, add_field(LISTS, NESTED))
    assert_refused(
        StartRefused,
        lambda body: raise_refusal_error(make_response(body)),
        add_field(b'{"reason":"fence"}', NESTED),
    )
    assert_refused(
        PolicyUnavailable, decode_advice, add_field(b'{"allowed":[]}', NESTED)
    )
    assert_refused(
        StoreUnavailable,
        lambda body: decode_reply(make_response(body), AppendReply),
        add_field(b'{"offset":1}', NESTED),
    )


def test_numbers_out_of_range_in_executor_entries_are_refused():
    # Such a number could not be stored, and the error ended owner after owner.
    entry = ENTRY.replace(b'"clockMs":4', b'"remainingMs":4')
    for name in (b"cpu", b"memMb", b"gpu", b"born", b"remainingMs"):
        for value in (LARGE, b"-1", b"1" + b"0" * 350, b"%d" % 2**70, b"%d" % 2**63):
            odd_entry = replace_number(entry, name, value)
            error = assert_refused(
                InvalidEntry,
                lambda content: decode_executor_entry("i-1", content),
                odd_entry,
            )
            assert error.reason == "field" and name.decode() in str(error)


def test_odd_ids_and_addresses_of_executors_are_refused():
    # An id or address with a line end or a letter outside of Latin-1 ends up in the
    # head of each request to the executor.
    for address in (
        b"10.1.0.9:8080\\n",
        b"10.1.0.9:8080\\r\\nX: y",
        b"a..b:80",
        b"a" * 64 + b":80",
        "exécutor:80".encode(),
        b"\\u0000:80",
        b"host:0",
        b"host:99999",
    ):
        error = assert_refused(
            InvalidEntry,
            lambda value: decode_executor_entry("i-1", value),
            ENTRY.replace(b"10.1.0.9:8080", address),
        )
        assert error.reason == "address", address
    for executor_id in ("", "a b", "i-1\r\nX: y", "i-\ufffd", "é", "x" * 256):
        error = assert_refused(
            InvalidEntry,
            lambda value, name=executor_id: decode_executor_entry(name, value),
            ENTRY,
        )
        assert error.reason == "id", executor_id


def test_numbers_out_of_range_in_submissions_are_refused_with_their_field():
    # The record of such a job could not be encoded: the caller received 504, and the id
    # stayed blocked for its later tries.
    job = JOB.replace(b'"spec"', b'"startAtMs":1,"intervalMs":1,"repeats":1,"spec"')
    job = job.replace(
        b'"antiAffinity"', b'"gpu":1,"mayMiss":1,"targetMs":1,"antiAffinity"'
    )
    decode_submission(job)
    for name in (
        b"startAtMs",
        b"intervalMs",
        b"repeats",
        b"count",
        b"cpu",
        b"memMb",
        b"gpu",
        b"estRuntimeMs",
        b"antiAffinity",
        b"mayMiss",
        b"targetMs",
    ):
        for value in (LARGE, b"-1", b"%d" % 2**64, b"%d" % 2**62):
            error = assert_refused(
                WireError, decode_submission, replace_number(job, name, value)
            )
            assert name.decode() in str(error), (name, value, str(error))
    error = assert_refused(WireError, decode_submission, job.replace(b"900", b"1e300"))
    assert "estRuntimeMs" in str(error)


def test_numbers_out_of_range_in_task_lists_are_refused():
    # The number of an end is sent back to the executor; one beyond 64 bits could not be
    # encoded, and the executor was never polled again.
    for lists in (
        replace_number(LISTS.replace(b"{", b'{"a":0,', 1), b"clockMs", LARGE),
        LISTS.replace(b"[[1,", b"[[" + LARGE + b","),
        LISTS.replace(b'"t",1', b'"t",-1'),
        LISTS.replace(b'"a.0.0.1",1', b'"a.0.0.1",' + LARGE),
        LISTS.replace(b'"clockMs":1', b'"clockMs":1,"born":' + LARGE),
        LISTS.replace(b'"clockMs":1', b'"clockMs":-1'),
        LISTS.replace(b'"",4]', b'"",1e300]'),
    ):
        assert lists != LISTS
        assert_refused(ExecutorSilent, decode_task_lists, lists)


def test_numbers_out_of_range_in_replies_of_the_store_are_refused():
    # An offset or a generation goes into the next request, where it cannot be encoded.
    for reply_type, content in (
        (AppendReply, b'{"endOffset":%s}'),
        (AppendReply, b'{"seqNo":%s}'),
        (NewestReply, b'{"items":[],"endOffset":%s}'),
        (NewestReply, b'{"items":[{"key":"k","offset":%s}],"endOffset":1}'),
        (JoinReply, b'{"generation":%s}'),
        (JoinReply, b'{"generation":1,"parts":[["t",%s,1]]}'),
        (OwnersReply, b'{"parts":[["t",%s,"m",1]]}'),
    ):
        for number in (LARGE, b"-1", b"%d" % 2**63):
            assert_refused(
                StoreUnavailable,
                lambda body, kind=reply_type: decode_reply(make_response(body), kind),
                content % number,
            )


def test_numbers_out_of_range_in_the_desired_state_are_refused():
    # A version of 400 digits was accepted, and no later one was newer than it.
    for name in (b"version", b"sloMs", b"priority", b"maxAttempts", b"maxBodyBytes"):
        content = replace_number(CONFIG, name, LARGE)
        error = assert_refused(WireError, decode_desired_state, content)
        assert name.decode() in str(error)
    for name in (b"decideMs", b"periodMs", b"validMs", b"stretch"):
        for value in (b"-1", b"1e300"):
            content = replace_number(CONFIG, name, value)
            error = assert_refused(WireError, decode_desired_state, content)
            assert name.decode() in str(error)


def test_record_with_an_odd_key_does_not_hide_the_records_after_it():
    # A record without a key stopped the reader at its offset for ever, and one with a
    # key longer than the record was taken for the removal of another key.
    good = b"\x00\x00\x00\x03\x01ab"
    for odd in (b"\x00\x00\x00\x00", b"\x00\x00\x00\x02\x09a"):
        records = decode_records(odd + good, 5)
        assert [(record.offset, record.key) for record in records] == [
            (5, ""),
            (6, "a"),
        ]
        assert records[1].value == b"b"


def test_time_limit_that_is_no_usable_number_counts_as_the_default_or_the_longest():
    # A limit of 400 digits cannot become a float; the caller received 504.
    for text in (b"9" * 400, b"9" * 5000, b"1e9", b"-5", b"1_000", "١".encode(), b""):
        assert 0.0 <= read_time_limit_s({b"deadline-ms": text}) <= 3_600.0, text
    assert read_time_limit_s({b"deadline-ms": b"1_000"}) == 3.0
    assert read_time_limit_s({b"deadline-ms": b"9" * 400}) == 3_600.0


def test_accepted_submission_can_be_stored():
    # A surrogate without its pair cannot be encoded in the record of the job.
    for text in (b"\\ud800", b"\\udc00", b"\xed\xa0\x80"):
        assert_refused(
            WireError, decode_submission, JOB.replace(b'"s"', b'"' + text + b'"')
        )
    assert msgspec.msgpack.encode(decode_submission(JOB).steps)


def test_texts_that_no_record_can_hold_are_refused():
    # The key of a record has at most 255 bytes, and the store refuses records above its
    # limit: the journal of each owner failed, or sent the record again and again.
    for length in (1, 200, 253, 254, 255):
        executor_id = "x" * length
        try:
            decode_executor_entry(executor_id, ENTRY)
        except InvalidEntry as error:
            assert error.reason == "id"
        else:
            assert encode_records([(EXECUTOR_KEY + executor_id, b"1")])
    long_text = b'"' + b"x" * 1_000 + b'"'
    many = b"[" + b'"x",' * 1_000 + b'"x"]'
    for name, value in ((b"huvo", long_text[1:-1]), (b'["a","r1-3"]', many)):
        error = assert_refused(
            InvalidEntry,
            lambda content: decode_executor_entry("i-1", content),
            ENTRY.replace(name, value),
        )
        assert error.reason == "field"
    for name in (b"image", b"requiredLabel", b"dataRack"):
        step = b'{"%s":%s,"cpu":1,' % (name, long_text)
        error = assert_refused(
            WireError, decode_submission, JOB.replace(b'{"count":2,', step)
        )
        assert name.decode() in str(error)
    steps = b"[" + b"{}," * 64 + b"{}]"
    assert_refused(WireError, decode_submission, b'{"spec":"","pipeline":%s}' % steps)
    depends = b'"dependsOn":[' + b"0," * 1_000 + b"0]"
    error = assert_refused(
        WireError, decode_submission, JOB.replace(b'"dependsOn":[0]', depends)
    )
    assert "dependsOn" in str(error)
    for name in (b"r" * 300, "é".encode() * 150):
        error = assert_refused(
            WireError,
            decode_desired_state,
            CONFIG.replace(b'"name":"r"', b'"name":"%s"' % name),
        )
        assert "name" in str(error)


load_tests = make_load_tests(globals())
