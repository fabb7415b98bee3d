"""State of the attempts to run a task, on the node that owns the cell."""

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumring.pipelines.state import Step

__all__ = ["Run", "RunState"]


class RunState(enum.Enum):
    """State of an attempt on an executor."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """Attempt of a task, from its start order until the executor reports its end.

    ``answered_at`` is the time when the executor answered the start or stop order;
    task lists requested after it contain the attempt if it exists. ``start_sent_by``
    is the time by which the latest copy of the start order was sent, infinite while a
    copy is in flight.
    """

    __slots__ = (
        "answered_at",
        "attempt",
        "checkpoint_at",
        "executor_id",
        "first_sent_at",
        "has_begun",
        "has_full_time",
        "index",
        "is_release_pending",
        "load",
        "next_tail_at",
        "pace",
        "percent",
        "progress_at",
        "progress_began",
        "progress_latest",
        "rack",
        "ran_under_this_owner",
        "start_sent_by",
        "started_at",
        "state",
        "step",
        "task",
        "unanswered_orders",
    )

    def __init__(
        self, step: "Step", index: int, attempt: int, executor_id: str, now: float
    ):
        self.step = step
        self.index = index
        self.attempt = attempt
        self.executor_id = executor_id
        self.task = step.task_name(index)
        self.state = RunState.STARTING
        self.started_at = now
        self.start_sent_by = now
        self.answered_at: float | None = None
        self.unanswered_orders = 0
        # When the first copy of the start was sent, and whether a copy is known to have
        # been carried out.
        self.first_sent_at: float | None = None
        self.has_begun = False
        # If the attempt ran under this owner, no earlier owner has recorded its end.
        self.ran_under_this_owner = True
        # Set while its release waits for a confirmation by the store.
        self.is_release_pending = False
        self.percent = 0.0
        self.rack = ""
        # Tail latency in milliseconds for a serving task, CPU in use for others.
        self.load = 0.0
        # Time of the next sample of the tail latency.
        self.next_tail_at = 0.0
        # Permitted speed of a task with ``fills``, in percent.
        self.pace = 100
        self.progress_at = now
        # Time at which a new checkpoint of this attempt was first listed.
        self.checkpoint_at: float | None = None
        # First and latest progress below 100% in percent, with the executor's clock in
        # milliseconds.
        self.progress_began: tuple[float, int] | None = None
        self.progress_latest: tuple[float, int] | None = None
        # Whether the time since ``started_at`` is that of the whole task: neither an
        # earlier owner nor an earlier attempt did part of its work.
        self.has_full_time = not step.checkpoint_of(index)

    @property
    def was_sent(self) -> bool:
        """Whether a copy of the start was sent."""
        return self.first_sent_at is not None

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that identify the attempt."""
        return {
            "job": self.step.job.spec.job_id,
            "task": self.task,
            "attempt": self.attempt,
            "executor": self.executor_id,
        }
