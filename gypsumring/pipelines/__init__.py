"""Jobs as pipelines of steps: specifications, state and durable records."""

from gypsumring.pipelines.exceptions import PipelineError
from gypsumring.pipelines.model import (
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    DesiredState,
    JobPhase,
    PipelineSpec,
    PolicyTiming,
    Queue,
    ServicePool,
    StepSpec,
    WorkKind,
    check_pipeline,
    format_task,
    parse_task,
)
from gypsumring.pipelines.records import (
    decode_progress,
    decode_spec,
    encode,
    encode_progress,
)
from gypsumring.pipelines.runs import Run, RunState
from gypsumring.pipelines.state import Job, Step
from gypsumring.pipelines.table import JobTable

__all__ = [
    "DesiredState",
    "Job",
    "JobPhase",
    "JobTable",
    "MAX_PAYLOAD_BYTES",
    "MAX_STEPS",
    "PipelineError",
    "PipelineSpec",
    "PolicyTiming",
    "Queue",
    "Run",
    "RunState",
    "ServicePool",
    "Step",
    "StepSpec",
    "WorkKind",
    "check_pipeline",
    "decode_progress",
    "decode_spec",
    "encode",
    "encode_progress",
    "format_task",
    "parse_task",
]
