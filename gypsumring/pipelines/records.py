"""Durable records of jobs."""

import msgspec

from gypsumring.pipelines.exceptions import PipelineError
from gypsumring.pipelines.model import JobPhase, PipelineSpec

__all__ = ["Progress", "decode_progress", "decode_spec", "encode"]

# Fields are named, so that nodes of two versions can read each other's records.
STEP_NAMES = {
    "number": "n",
    "done": "d",
    "occurrence": "k",
    "failures": "f",
    "checkpoints": "c",
}


class StepProgress(msgspec.Struct, omit_defaults=True, rename=STEP_NAMES):
    """Hold the durable part of the state of a step of one occurrence.

    ``done`` has one byte a task; ``failures`` maps an index to the attempts that have
    failed; for a gang, index 0 stands for all members.
    """

    number: int
    done: bytes
    occurrence: int = 0
    failures: dict[int, set[int]] = {}
    checkpoints: dict[int, str] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """Hold what became of a job; ``ended_ms`` is Unix time, 0 while it goes on.

    Of the ``opened`` occurrences those without steps here are done.
    """

    phase: JobPhase
    steps: list[StepProgress]
    ended_ms: int = 0
    opened: int = 1


encode = msgspec.msgpack.Encoder().encode
spec_decoder = msgspec.msgpack.Decoder(PipelineSpec)
progress_decoder = msgspec.msgpack.Decoder(Progress)


def decode_spec(value: bytes) -> PipelineSpec:
    """Decode the record of an accepted job; raise PipelineError."""
    try:
        return spec_decoder.decode(value)
    except msgspec.DecodeError as error:
        raise PipelineError(f"unreadable job record: {error}") from error


def decode_progress(value: bytes) -> Progress:
    """Decode the progress record of a job; raise PipelineError."""
    try:
        return progress_decoder.decode(value)
    except msgspec.DecodeError as error:
        raise PipelineError(f"unreadable progress record: {error}") from error
