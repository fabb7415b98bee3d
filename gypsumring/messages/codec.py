"""Encode and decode messages and records as msgpack."""

import msgspec

from gypsumring.exceptions import GypsumringError
from gypsumring.messages.peer import Envelope, PeerReply
from gypsumring.messages.records import (
    ConfigBody,
    ControlBody,
    LedgerBody,
    RecordBatch,
)
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = [
    "DecodeError",
    "MAX_FRAME_BYTES",
    "decode_config_batch",
    "decode_control_batch",
    "decode_envelope",
    "decode_ledger_batch",
    "decode_reply",
    "encode",
]

# A frame carries batched tasks of at most the size of one 16 MiB request body.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class DecodeError(GypsumringError):
    """Raised when bytes from the network or the log are not a valid message."""


encode = msgspec.msgpack.Encoder().encode

control_decoder = msgspec.msgpack.Decoder(RecordBatch[ControlBody])
ledger_decoder = msgspec.msgpack.Decoder(RecordBatch[LedgerBody])
config_decoder = msgspec.msgpack.Decoder(RecordBatch[ConfigBody])
envelope_decoder = msgspec.msgpack.Decoder(Envelope)
reply_decoder = msgspec.msgpack.Decoder(PeerReply)


def decode_bounded(decoder: msgspec.msgpack.Decoder, payload: bytes):
    """Decode a payload; raise DecodeError if it is too large or invalid."""
    if len(payload) > MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        return decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise DecodeError(str(error)) from error


def decode_control_batch(payload: bytes) -> RecordBatch[ControlBody]:
    """Decode a record of the control stream; raise DecodeError."""
    return decode_bounded(control_decoder, payload)


def decode_ledger_batch(payload: bytes) -> RecordBatch[LedgerBody]:
    """Decode a record of a ledger stream; raise DecodeError."""
    return decode_bounded(ledger_decoder, payload)


def decode_config_batch(payload: bytes) -> RecordBatch[ConfigBody]:
    """Decode a record of the config stream; raise DecodeError."""
    return decode_bounded(config_decoder, payload)


def decode_envelope(payload: bytes) -> Envelope:
    """Decode a peer message; raise DecodeError."""
    return decode_bounded(envelope_decoder, payload)


def decode_reply(payload: bytes) -> PeerReply:
    """Decode a peer reply; raise DecodeError."""
    return decode_bounded(reply_decoder, payload)
