"""Tests of the decoders with untrusted bytes."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumring.messages.codec import (
    MAX_FRAME_BYTES,
    DecodeError,
    decode_config_batch,
    decode_control_batch,
    decode_envelope,
    decode_ledger_batch,
    decode_reply,
    encode,
)
from gypsumring.messages.peer import Envelope, QueryJob
from gypsumring.utils.testing import make_load_tests

load_tests = make_load_tests(globals())

DECODERS = (
    decode_config_batch,
    decode_control_batch,
    decode_envelope,
    decode_ledger_batch,
    decode_reply,
)

NESTED_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def check_decoders(payload):
    """Decode a payload with all decoders; only DecodeError may be raised."""
    for decode in DECODERS:
        try:
            decode(payload)
        except DecodeError:
            pass


@settings(derandomize=True, deadline=None)
@given(st.binary())
def test_random_bytes_raise_only_decode_errors(payload):
    """Guard against a frame that raises in the task of its connection and ends it."""
    check_decoders(payload)


@settings(derandomize=True, deadline=None)
@given(NESTED_VALUES)
def test_valid_msgpack_of_another_shape_raises_only_decode_errors(value):
    """Guard against a message of another version that terminates the reader."""
    check_decoders(msgspec.msgpack.encode(value))


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 60), st.integers(0, 255))
def test_damaged_messages_raise_only_decode_errors(position, value):
    """Guard against a corrupted byte that raises an unexpected error."""
    payload = bytearray(encode(Envelope("n1", 1, 2, QueryJob("l", "t", "j"))))
    payload[position % len(payload)] = value
    check_decoders(bytes(payload))


def test_frames_over_the_limit_are_refused_before_decoding():
    """Guard against a frame whose decoding allocates unbounded memory."""
    for decode in DECODERS:
        try:
            decode(b"\x00" * (MAX_FRAME_BYTES + 1))
        except DecodeError as error:
            assert "exceeds" in str(error)
        else:
            raise AssertionError("a frame over the limit was decoded")
