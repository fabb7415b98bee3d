"""Encoding and decoding of the durable records of jobs."""

import msgspec

from gypsumring.pipelines.exceptions import PipelineError
from gypsumring.pipelines.model import JobPhase, PipelineSpec
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["Progress", "decode_progress", "decode_spec", "encode"]

# Records encode fields by name rather than by position so that nodes of different
# versions can read each other's records.
STEP_NAMES = {
    "number": "n",
    "done": "d",
    "occurrence": "k",
    "failures": "f",
    "checkpoints": "c",
}


class StepProgress(msgspec.Struct, omit_defaults=True, rename=STEP_NAMES):
    """Durable state of a step of one occurrence.

    ``done`` has one byte per task; ``failures`` maps a task index to its failed
    attempts. A gang uses index 0 for all members.
    """

    number: int
    done: bytes
    occurrence: int = 0
    failures: dict[int, set[int]] = {}
    checkpoints: dict[int, str] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """Durable progress of a job; ``ended_ms`` is Unix time, 0 until the job ends.

    ``opened`` counts the occurrences begun so far; those without ``steps`` are done.
    """

    phase: JobPhase
    steps: list[StepProgress]
    ended_ms: int = 0
    opened: int = 1


encode = msgspec.msgpack.Encoder().encode
spec_decoder = msgspec.msgpack.Decoder(PipelineSpec)
progress_decoder = msgspec.msgpack.Decoder(Progress)


def decode_spec(value: bytes) -> PipelineSpec:
    """Decode the record of an accepted job; raise PipelineError if unreadable."""
    try:
        return spec_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise PipelineError(f"unreadable job record: {error}") from error


def decode_progress(value: bytes) -> Progress:
    """Decode the progress record of a job; raise PipelineError if unreadable."""
    try:
        return progress_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise PipelineError(f"unreadable progress record: {error}") from error
