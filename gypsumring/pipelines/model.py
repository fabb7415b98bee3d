"""Specifications of pipelines and queues, and the desired state."""

import enum
import functools
import re
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from gypsumring.accounts import ClientAccount
from gypsumring.pipelines.exceptions import PipelineError

__all__ = [
    "DesiredState",
    "JobPhase",
    "MAX_PAYLOAD_BYTES",
    "MAX_STEPS",
    "PipelineSpec",
    "PolicyTiming",
    "Queue",
    "ServicePool",
    "StepSpec",
    "WorkKind",
    "check_pipeline",
    "format_task",
    "parse_task",
]

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 64
MAX_STEP_TASKS = 1_000
TASK_NAME = re.compile(r"([^.]*)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")


class JobPhase(enum.StrEnum):
    """Phase of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job can no longer start tasks."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Specification of a step: identical tasks that run after its predecessors.

    ``cpu_millis`` is in thousandths of a core.
    """

    task_count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    # Maximum number of tasks of the step on one executor; 0 means no limit.
    max_per_executor: int = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    # Whether the step runs only in free capacity that other steps leave unused.
    fills: bool = False
    image: str = ""
    latency_target_ms: int = 0
    # Maximum number of tasks that the scheduler's orders may interrupt at once.
    disruption_budget: int = 0


class WorkKind(NamedTuple):
    """Kind of work: steps of the same kind take similar times and resources."""

    queue: str
    step: int
    image: str


class PipelineSpec(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Specification of an accepted job.

    Times are Unix milliseconds; if ``repeats`` is positive, the job runs as that many
    scheduled occurrences.
    """

    job_id: str
    queue: str
    service: str
    accepted_ms: int
    payload: str
    steps: tuple[StepSpec, ...]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeats: int = 0
    # Name of the client account that submitted the job; empty without accounts.
    account: str = ""
    # Whether the account had exceeded its rate when it submitted the job.
    beyond_rate: bool = False
    # Whether the job has ended and this record has lost its payload. Without a final
    # progress beside it, such a job is never started.
    trimmed: bool = False

    def trim(self) -> "PipelineSpec":
        """Return the record of the job after its end, without the payload.

        The steps are kept: attempts may still run and count for capacities and caps.
        """
        return msgspec.structs.replace(self, payload="", trimmed=True)


class PolicyTiming(msgspec.Struct, frozen=True):
    """Response times of the policy service and the validity of its tickets."""

    base_s: float
    per_executor_s: float
    valid_s: float

    def call_s(self, executors: int) -> float:
        """Return the duration of a call that names this number of executors."""
        return self.base_s + self.per_executor_s * executors


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Queue of the desired state; priority 0 is served first."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_s: float = 1.0
    policy: PolicyTiming | None = None
    # Whether requests need no key of a client account.
    public: bool = False


class ServicePool(msgspec.Struct, frozen=True, kw_only=True):
    """Executor pool of one service."""

    name: str
    admission_check: bool = False
    standby: bool = False


class HostQueues:
    """Queues of one host by the prefix of their paths."""

    __slots__ = ("by_prefix", "lengths")

    def __init__(self, queues: Iterable[Queue]):
        self.by_prefix: dict[str, Queue] = {}
        for queue in queues:
            self.by_prefix.setdefault(queue.path_prefix, queue)
        # Lengths of the prefixes, the longest first.
        self.lengths = sorted(set(map(len, self.by_prefix)), reverse=True)

    def match(self, path: str) -> Queue | None:
        """Return the queue whose prefix of a path is the longest."""
        for length in self.lengths:
            queue = self.by_prefix.get(path[:length])
            if queue is not None and length <= len(path):
                return queue
        return None


# The dictionary of an instance holds the indexes that are built on first use.
class DesiredState(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """Versioned configuration of queues, services and client accounts.

    ``accounts`` is None where the deployment has no accounts.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[ServicePool, ...] = ()
    accounts: tuple[ClientAccount, ...] | None = None
    max_body_bytes: int = 262_144

    def match_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host whose prefix of the path is the longest."""
        queues = self.queues_by_host.get(host)
        return None if queues is None else queues.match(path)

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue with this name, or None."""
        return self.queues_by_name.get(name)

    @functools.cached_property
    def account_names(self) -> frozenset[str]:
        """Return the names of the client accounts."""
        return frozenset(account.name for account in self.accounts or ())

    @functools.cached_property
    def queues_by_host(self) -> dict[str, HostQueues]:
        """Return the queues of each host."""
        queues: dict[str, list[Queue]] = {}
        for queue in self.queues:
            queues.setdefault(queue.host, []).append(queue)
        return {host: HostQueues(each) for host, each in queues.items()}

    @functools.cached_property
    def queues_by_name(self) -> dict[str, Queue]:
        """Return the queues by name; the first one counts."""
        return {queue.name: queue for queue in reversed(self.queues)}


def check_pipeline(steps: tuple[StepSpec, ...]) -> None:
    """Validate the steps; raise PipelineError that names the invalid field."""
    if not 1 <= len(steps) <= MAX_STEPS:
        raise PipelineError(f"pipeline: {len(steps)} steps, 1 to {MAX_STEPS} allowed")
    for number, step in enumerate(steps):
        path = f"pipeline[{number}]"
        if not 1 <= step.task_count <= MAX_STEP_TASKS:
            raise PipelineError(
                f"{path}.task_count: {step.task_count}, 1 to {MAX_STEP_TASKS} allowed"
            )
        for field in ("cpu_millis", "memory_mb", "accelerators", "max_per_executor"):
            if getattr(step, field) < 0:
                raise PipelineError(f"{path}.{field}: must not be negative")
        for earlier in step.after:
            if not 0 <= earlier < number:
                raise PipelineError(f"{path}.after: {earlier} is not an earlier step")


def format_task(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the task name that ``parse_task`` reads."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_task(name: str) -> tuple[str, int, int, int] | None:
    """Return job id, occurrence, step and index, or None if the name is malformed."""
    match = TASK_NAME.fullmatch(name)
    if match is None:
        return None
    return match[1], int(match[2]), int(match[3]), int(match[4])
