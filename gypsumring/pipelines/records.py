"""Encoding and decoding of the durable records of jobs."""

import zlib

import msgspec

from gypsumring.pipelines.exceptions import PipelineError
from gypsumring.pipelines.model import JobPhase, PipelineSpec
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = [
    "CrashRecord",
    "Progress",
    "SuspectRecord",
    "decode_progress",
    "decode_spec",
    "encode",
    "encode_progress",
]

# Stores take records of 256 KB; larger progress is compressed, and written without its
# checkpoints if that is not enough.
COMPRESSION_THRESHOLD_BYTES = 100_000
MAX_PROGRESS_BYTES = 200_000
# A byte that never occurs in msgpack.
COMPRESSED_MARK = b"\xc1"
# More than the progress of the largest job takes.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024

# Records encode fields by name rather than by position so that nodes of different
# versions can read each other's records.
STEP_NAMES = {
    "number": "n",
    "done": "d",
    "occurrence": "k",
    "failures": "f",
    "checkpoints": "c",
    "suspects": "s",
}
SUSPECT_NAMES = {
    "crashes": "x",
    "final_starts": "n",
    "placed_on": "e",
    "placed_born_ms": "b",
}
CRASH_NAMES = {
    "executor_id": "e",
    "born_ms": "b",
    "sole": "s",
    "alone": "a",
    "begun": "g",
    "confirmed": "c",
}


class CrashRecord(msgspec.Struct, frozen=True, omit_defaults=True, rename=CRASH_NAMES):
    """Crash of one incarnation of an executor under a task.

    ``sole``: no other suspect ran there; ``alone``: no other task at all. ``begun``:
    the start is known to have been carried out. ``confirmed``: the executor has crashed
    and is not only unresponsive.
    """

    executor_id: str
    born_ms: int = 0
    sole: bool = False
    alone: bool = False
    begun: bool = False
    confirmed: bool = True

    def confirm(self) -> "CrashRecord":
        """Return the record of the same crash, confirmed."""
        return msgspec.structs.replace(self, confirmed=True)


class SuspectRecord(msgspec.Struct, omit_defaults=True, rename=SUSPECT_NAMES):
    """Durable state of a task under which executors have crashed.

    ``placed_on`` and ``placed_born_ms`` name the incarnation of the executor on which
    its latest attempt may be running.
    """

    crashes: list[CrashRecord] = []
    final_starts: int = 0
    placed_on: str = ""
    placed_born_ms: int = 0


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
    suspects: dict[int, SuspectRecord] = {}


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


def encode_progress(progress: Progress) -> bytes:
    """Encode the progress of a job.

    Checkpoints are left out if the record would be too large with them: their work is
    repeated after the loss of an executor.
    """
    value = encode(progress)
    if len(value) <= COMPRESSION_THRESHOLD_BYTES:
        return value
    compressed = COMPRESSED_MARK + zlib.compress(value, 1)
    if len(compressed) <= MAX_PROGRESS_BYTES:
        return compressed
    steps = [msgspec.structs.replace(step, checkpoints={}) for step in progress.steps]
    value = encode(msgspec.structs.replace(progress, steps=steps))
    return COMPRESSED_MARK + zlib.compress(value, 1)


def decompress(value: bytes) -> bytes:
    """Return the content of a compressed record; raise PipelineError if unreadable."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(value, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise PipelineError(f"unreadable progress record: {error}") from error
    if not decompressor.eof:
        raise PipelineError("unreadable progress record: cut off or too large")
    return content


def decode_progress(value: bytes) -> Progress:
    """Decode the progress record of a job; raise PipelineError if unreadable."""
    if value.startswith(COMPRESSED_MARK):
        value = decompress(value[len(COMPRESSED_MARK) :])
    try:
        return progress_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise PipelineError(f"unreadable progress record: {error}") from error
