"""Decoding of callers' requests and encoding of the responses."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from gypsumring.pipelines import (
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    JobPhase,
    PipelineError,
    StepSpec,
    check_pipeline,
)
from gypsumring.platform.exceptions import WireError
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import Measure, Number, Quantity, RepeatCount, Text

__all__ = [
    "Submission",
    "decode_submission",
    "encode_phase",
    "encode_waiting",
    "read_account_key",
    "read_time_limit_s",
]

ACCOUNT_KEY_HEADER = b"x-api-key"
DEFAULT_TIME_LIMIT_S = 3.0
# Callers that state more wait no longer than this.
MAX_TIME_LIMIT_S = 3_600.0
MAX_TIME_LIMIT_DIGITS = 15


Predecessors = Annotated[list[Quantity], msgspec.Meta(max_length=MAX_STEPS)]


class StepBody(msgspec.Struct, rename="camel"):
    """One step; ``anti_affinity`` is the maximum number of its tasks per executor."""

    count: Quantity = 1
    cpu: Quantity = 0
    mem_mb: Quantity = 0
    gpu: Quantity = 0
    est_runtime_ms: Measure = 0
    depends_on: Predecessors = []
    gang: bool = False
    same_rack: bool = False
    required_label: Text = ""
    data_rack: Text = ""
    anti_affinity: Quantity = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    fills: bool = False
    image: Text = ""
    target_ms: Measure = 0
    may_miss: Quantity = 0


class SubmissionBody(msgspec.Struct, rename="camel"):
    """Submitted job; ``spec`` is the payload for its tasks."""

    spec: str
    pipeline: list[StepBody]
    start_at_ms: Number = 0
    interval_ms: Quantity = 0
    repeats: RepeatCount = 0


class Schedule:
    """Repeats of a job, their interval, and the Unix time in ms of the first start."""

    __slots__ = ("interval_ms", "repeats", "start_at_ms")

    def __init__(self, start_at_ms: int, interval_ms: int, repeats: int):
        self.start_at_ms = start_at_ms
        self.interval_ms = interval_ms
        self.repeats = repeats


class Submission:
    """Payload, steps and schedule of a submitted job."""

    __slots__ = ("payload", "schedule", "steps")

    def __init__(self, payload: str, steps: tuple[StepSpec, ...], schedule: Schedule):
        self.payload = payload
        self.steps = steps
        self.schedule = schedule


class StepCount(msgspec.Struct):
    """Steps of a submission that are not decoded yet."""

    pipeline: list[msgspec.Raw]


decode_body = msgspec.json.Decoder(SubmissionBody).decode
decode_step_count = msgspec.json.Decoder(StepCount).decode


def decode_submission(content: bytes) -> Submission:
    """Decode and validate a submitted job; raise WireError that names the field."""
    try:
        # A decoded step costs many times the bytes of a short one.
        if content.count(b"{") > 1 + MAX_STEPS:
            check_step_count(len(decode_step_count(content).pipeline))
        body = decode_body(content)
    except DECODE_ERRORS as error:
        raise WireError(str(error)) from error
    if len(body.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise WireError(f"spec: larger than {MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(map(translate_step, body.pipeline))
    try:
        check_pipeline(steps)
    except PipelineError as error:
        raise WireError(str(error)) from error
    schedule = Schedule(body.start_at_ms, body.interval_ms, body.repeats)
    return Submission(body.spec, steps, schedule)


def check_step_count(count: int) -> None:
    """Raise WireError if there are more steps than a job may have."""
    if count > MAX_STEPS:
        raise WireError(f"pipeline: {count} steps, 1 to {MAX_STEPS} allowed")


def translate_step(body: StepBody) -> StepSpec:
    """Return the step that a request body describes."""
    return StepSpec(
        task_count=body.count,
        cpu_millis=body.cpu,
        memory_mb=body.mem_mb,
        accelerators=body.gpu,
        estimated_ms=int(body.est_runtime_ms),
        after=tuple(body.depends_on),
        gang=body.gang,
        same_rack=body.same_rack,
        required_label=body.required_label,
        data_rack=body.data_rack,
        max_per_executor=body.anti_affinity,
        speculative=body.speculative,
        checkpointing=body.checkpointing,
        long_running=body.long_running,
        fills=body.fills,
        image=body.image,
        latency_target_ms=int(body.target_ms),
        disruption_budget=body.may_miss,
    )


def encode_phase(phase: JobPhase) -> bytes:
    """Return the response body with a job's state."""
    return msgspec.json.encode({"state": phase.value})


def encode_waiting(count: int) -> bytes:
    """Return the response body with the number of jobs waiting in a queue."""
    return msgspec.json.encode({"pending": count})


def read_time_limit_s(headers: dict[bytes, bytes]) -> float:
    """Return the caller's time limit in seconds, or the default without a valid one."""
    value = headers.get(b"deadline-ms", b"").strip()
    if not value.isdigit():
        return DEFAULT_TIME_LIMIT_S
    # int() refuses numbers of thousands of digits.
    if len(value) > MAX_TIME_LIMIT_DIGITS:
        return MAX_TIME_LIMIT_S
    return min(int(value) / 1000, MAX_TIME_LIMIT_S)


def read_account_key(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the key of a request, empty without one; raise WireError for several."""
    keys = [value for name, value in headers if name == ACCOUNT_KEY_HEADER]
    if len(keys) > 1:
        raise WireError("X-Api-Key: sent more than once")
    return keys[0].strip() if keys else b""
