"""Jobs and task attempts as the owner of a ledger keeps them."""

import enum
import re
from collections import deque

from gypsumring.messages.peer import JobStatus, TaskToStart
from gypsumring.messages.work import (
    BatchWork,
    GangWork,
    JobSpec,
    JobState,
    ServiceWork,
)

__all__ = [
    "ATTEMPTS_PER_EPOCH",
    "JOB_ID_PATTERN",
    "Attempt",
    "AttemptState",
    "Job",
    "make_job_key",
    "split_task_id",
]

# Job ids become part of task ids, so they contain no separator of those.
JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MAX_HISTORY = 50
# Attempt numbers of a later epoch are larger than all of an earlier one, since the
# count of attempts is not in the ledger.
ATTEMPTS_PER_EPOCH = 1_000_000


def make_job_key(team: str, job_id: str) -> str:
    """Return the name of a job in its ledger; teams choose job ids independently."""
    return f"{team}:{job_id}"


def split_task_id(task_id: str) -> tuple[str, int]:
    """Return the job key and the task index, -1 if the id has none."""
    head, _, index = task_id.rpartition("/")
    return head.partition("@")[0], int(index) if index.isdecimal() else -1


def split_template(task_id: str) -> str:
    """Return the digest of the template in a task id, or an empty text."""
    return task_id.rpartition("/")[0].partition("@")[2]


class AttemptState(enum.Enum):
    """What the job manager knows of a live attempt."""

    QUEUED = "queued"
    SENT = "sent"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


class Attempt:
    """Hold one live attempt of a task.

    ``may_run`` is set once a start may have reached the rack owner. ``rack_epoch`` is
    the epoch of the rack under which it was first sent or reported, 0 before.
    """

    __slots__ = (
        "index",
        "job",
        "may_run",
        "next_settle_at",
        "number",
        "rack_epoch",
        "resources",
        "running_since",
        "settle_count",
        "shard",
        "state",
        "stop_requested",
        "stop_sent_at",
        "task_id",
        "template",
        "worker",
    )

    def __init__(self, job: "Job", index: int, number: int, task_id: str, shard: str):
        self.job = job
        self.index = index
        self.number = number
        self.task_id = task_id
        self.shard = shard
        self.state = AttemptState.QUEUED
        self.worker = ""
        self.template = split_template(task_id)
        # A change of the document changes the spec but not the attempts that run.
        self.resources = job.spec.task_resources
        self.may_run = False
        self.rack_epoch = 0
        self.running_since: float | None = None
        self.stop_requested = False
        self.stop_sent_at = float("-inf")
        self.settle_count = 0
        self.next_settle_at = 0.0

    def to_start(self) -> TaskToStart:
        """Return the message that describes this attempt to a rack owner."""
        spec = self.job.spec
        return TaskToStart(
            task_id=self.task_id,
            attempt=self.number,
            team=spec.team,
            service=spec.service,
            resources=self.resources,
            priority=spec.priority,
            spread=isinstance(spec.work, ServiceWork),
            declared_run_ms=spec.declared_run_ms,
            args=spec.task_args[self.index] if spec.task_args else "",
        )


class Job:
    """Hold one job: its durable state and what the owner knows of its tasks.

    The sets of ended tasks and ``intended`` (at-most-once tasks by last attempt) are
    folded from the ledger. ``results`` are final results not yet read back. The rest
    is soft state of the current owner. ``spares`` is the number of replicas that run
    above the count while others are moved off leaving workers.
    """

    __slots__ = (
        "accepted_at",
        "aborting",
        "all_ran",
        "cancelled_by",
        "delayed",
        "early",
        "ended_at",
        "failed",
        "failures",
        "first_run_at",
        "gang_failures",
        "history",
        "intended",
        "is_recovered",
        "key",
        "last_ended",
        "live",
        "next_try_at",
        "queue_entry",
        "queued_at",
        "reason",
        "results",
        "sequence",
        "spares",
        "spec",
        "starts",
        "state",
        "succeeded",
        "template",
        "tries",
        "unknown",
        "wait_reason",
        "waiting",
    )

    def __init__(self, key: str, spec: JobSpec, accepted_at: float, sequence: int):
        self.key = key
        self.spec = spec
        self.accepted_at = accepted_at
        self.sequence = sequence
        self.succeeded: set[int] = set()
        self.failed: set[int] = set()
        self.unknown: set[int] = set()
        self.intended: dict[int, int] = {}
        self.cancelled_by: str | None = None
        self.state: JobState | None = None
        self.reason = ""
        self.ended_at = 0.0
        self.results: dict[int, str] = {}
        self.live: dict[int, Attempt] = {}
        self.waiting: deque[int] = deque()
        self.delayed: list[tuple[float, int]] = []
        self.failures: dict[int, int] = {}
        self.last_ended: dict[int, int] = {}
        self.starts: dict[int, int] = {}
        self.history: deque[tuple[float, str]] = deque(maxlen=MAX_HISTORY)
        self.is_recovered = False
        self.queue_entry: tuple[float, int, str] | None = None
        self.queued_at: float | None = None
        self.first_run_at: float | None = None
        self.wait_reason = ""
        self.template = ""
        self.spares = 0
        self.next_try_at = 0.0
        self.tries = 0
        # State of a gang job: tasks that succeeded before all ran, and whether the
        # others are being stopped because one did not run.
        self.early: set[int] = set()
        self.gang_failures = 0
        self.all_ran = False
        self.aborting = False

    @property
    def is_service(self) -> bool:
        """Tell whether the job keeps replicas of a document running."""
        return isinstance(self.spec.work, ServiceWork)

    @property
    def wanted_count(self) -> int:
        """Return the number of tasks that should run now or have run."""
        return self.spec.task_count + self.spares

    @property
    def is_gang(self) -> bool:
        """Tell whether all tasks start together."""
        return isinstance(self.spec.work, GangWork)

    @property
    def starts_together(self) -> bool:
        """Tell whether the tasks still have to start all together."""
        return self.is_gang and not self.all_ran

    @property
    def finish_by(self) -> float:
        """Return the Unix time by which the job must finish, 0 for none."""
        match self.spec.work:
            case BatchWork(finish_by) | GangWork(finish_by):
                return finish_by
        return 0.0

    def is_finished(self, index: int) -> bool:
        """Tell whether a task has a final result, durable or not."""
        return (
            self.is_durably_finished(index)
            or index in self.results
            or index in self.early
        )

    def is_durably_finished(self, index: int) -> bool:
        """Tell whether the final result of a task is in the ledger."""
        return index in self.succeeded or index in self.failed or index in self.unknown

    def finished_count(self) -> int:
        """Return the number of tasks with a final result."""
        return (
            len(self.succeeded)
            + len(self.failed)
            + len(self.unknown)
            + sum(not self.is_durably_finished(index) for index in self.results)
        )

    def make_attempt(self, index: int, epoch: int, shard: str) -> Attempt:
        """Return the next attempt of a task."""
        self.starts[index] = self.starts.get(index, 0) + 1
        number = epoch * ATTEMPTS_PER_EPOCH + self.starts[index]
        return Attempt(self, index, number, self.make_task_id(index), shard)

    def make_task_id(self, index: int) -> str:
        """Return the id of a task; replicas carry the digest of their template."""
        suffix = f"@{self.template}" if self.template else ""
        return f"{self.key}{suffix}/{index}"

    def note(self, now: float, text: str) -> None:
        """Remember an event for explanations."""
        self.history.append((now, text))

    def status(self) -> JobStatus:
        """Return the state of the job and the counts of its tasks."""
        running = uncertain = 0
        for attempt in self.live.values():
            if attempt.state is AttemptState.RUNNING:
                running += 1
            elif attempt.may_run:
                uncertain += 1
        ended = len(self.succeeded) + len(self.failed) + len(self.unknown)
        state = self.state
        if state is None:
            state = JobState.RUNNING if running or ended else JobState.PENDING
        return JobStatus(
            job_id=self.spec.job_id,
            state=state,
            reason=self.reason or (self.wait_reason if self.waiting else ""),
            pending=max(0, self.spec.task_count - ended - running - uncertain),
            running=running,
            succeeded=len(self.succeeded),
            failed=len(self.failed),
            uncertain=uncertain + len(self.unknown),
        )
