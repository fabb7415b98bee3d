"""Port to workers, which run tasks under leases."""

import enum
import math
from typing import Protocol

import msgspec

from gypsumring.messages.work import Resources

__all__ = [
    "Inventory",
    "StartOutcome",
    "StartReply",
    "StartResult",
    "TaskAction",
    "TaskActionKind",
    "TaskRecord",
    "TaskStart",
    "TaskState",
    "TaskUsage",
    "UsageReport",
    "Worker",
]


class TaskState(enum.StrEnum):
    """State of a task attempt on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"


class TaskActionKind(enum.StrEnum):
    """Action of a worker on a task attempt."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"
    FORGET = "forget"


class TaskStart(msgspec.Struct, frozen=True, kw_only=True):
    """Request to start one attempt of a task.

    ``start_before`` is a time on the worker's own clock, in seconds; the worker
    refuses a start that it receives later. ``lease_ms`` runs from the start.
    """

    task_id: str
    attempt: int
    ledger: str
    service: str
    resources: Resources
    priority: int
    start_before: float
    lease_ms: int
    args: str = ""


class StartOutcome(enum.StrEnum):
    """Outcome of one start on a worker."""

    STARTED = "started"
    TOO_LATE = "too_late"
    FAILED = "failed"


class StartResult(msgspec.Struct, frozen=True):
    """Result of one start."""

    task_id: str
    attempt: int
    outcome: StartOutcome
    reason: str = ""


class StartReply(msgspec.Struct, frozen=True):
    """Reply to a batch of starts; ``worker_time`` is the worker's clock in seconds."""

    worker_time: float
    results: tuple[StartResult, ...]


class TaskRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Task attempt on a worker, running or ended and not yet discarded."""

    task_id: str
    attempt: int
    ledger: str
    service: str
    resources: Resources
    priority: int
    state: TaskState
    lease_left_ms: int
    exit_reason: str = ""


class Inventory(msgspec.Struct, frozen=True):
    """All task attempts recorded on a worker."""

    worker_time: float
    tasks: tuple[TaskRecord, ...]


class TaskUsage(msgspec.Struct, frozen=True):
    """Measured resource usage of one task, some seconds old."""

    task_id: str
    attempt: int
    used: Resources


class UsageReport(msgspec.Struct, frozen=True):
    """Resource usage of a worker's tasks; ``age_ms`` is the age of the measurement."""

    age_ms: int
    tasks: tuple[TaskUsage, ...]


class TaskAction(msgspec.Struct, frozen=True):
    """Request for one action on a task attempt."""

    kind: TaskActionKind
    task_id: str
    attempt: int


class Worker(Protocol):
    """Client of one worker; all calls raise WorkerUnreachable or WorkerTimeout."""

    async def start(self, starts: list[TaskStart], deadline: float) -> StartReply:
        """Start task attempts; starting the same attempt again is idempotent."""

    async def renew(
        self, lease_ms: int, deadline: float, renew_before: float = math.inf
    ) -> Inventory:
        """Renew the leases of all running tasks and return the inventory.

        ``renew_before`` is a time on the worker's own clock, in seconds; a renewal that
        arrives later leaves the leases as they are. Without this limit, a delayed
        renewal could extend a lease beyond the end that its sender assumes.
        """

    async def inventory(self, deadline: float) -> Inventory:
        """Return all task attempts without renewing their leases."""

    async def usage(self, deadline: float) -> UsageReport:
        """Return the latest measured usage, which may be some seconds old."""

    async def act(self, actions: list[TaskAction], deadline: float) -> Inventory:
        """Apply actions and return the inventory that results.

        A stop or a finished checkpoint releases the task's resources once the inventory
        no longer shows it as running, throttled or checkpointing.
        """
