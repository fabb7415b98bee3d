"""Types that describe work: resources, priorities, job kinds and job states."""

import enum

import msgspec

__all__ = [
    "BatchWork",
    "GangWork",
    "JobSpec",
    "JobState",
    "Priority",
    "Resources",
    "ServiceWork",
    "Work",
]


class Resources(msgspec.Struct, frozen=True):
    """Amounts of processor (thousandths of a core), memory (MiB) and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def scale(self, count: int) -> "Resources":
        """Return the resources multiplied by ``count``."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, free: "Resources") -> bool:
        """Return whether ``free`` has at least these resources."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def is_negative(self) -> bool:
        """Return whether any amount is below zero."""
        return self.cpu_millis < 0 or self.memory_mb < 0 or self.accelerators < 0


class Priority(enum.IntEnum):
    """Priority of work; work of a larger value may preempt that of a smaller one."""

    BATCH = 0
    NORMAL = 1
    URGENT = 2


class ServiceWork(msgspec.Struct, frozen=True, tag="service"):
    """Service with ``task_count`` replicas, spread over racks and data centres."""

    max_unavailable: int = 1


class BatchWork(msgspec.Struct, frozen=True, tag="batch"):
    """Batch job: each task runs once to success, packed on few VMs.

    ``finish_by`` is in Unix seconds; 0 means no limit.
    """

    finish_by: float = 0.0


class GangWork(msgspec.Struct, frozen=True, tag="gang"):
    """Gang job: all tasks start together, or none starts."""

    finish_by: float = 0.0


Work = ServiceWork | BatchWork | GangWork


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of a job as submitted.

    The caller chooses ``job_id``, which makes the submission idempotent. ``task_args``
    contains one opaque string per task, or is empty. ``task_runs_at_most_once`` forbids
    a second attempt of a task that may have started.
    """

    job_id: str
    team: str
    service: str
    document_version: int
    priority: Priority
    work: Work
    task_count: int
    task_resources: Resources
    declared_run_ms: int = 0
    max_attempts: int = 5
    task_runs_at_most_once: bool = False
    task_args: tuple[str, ...] = ()


class JobState(enum.StrEnum):
    """State of a job."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"
