"""Task attempts and worker links, as a rack manager accounts for them."""

import enum
import math

import anyio

from gypsumring.messages.peer import TaskReport, TaskReportState
from gypsumring.messages.work import Priority, Resources
from gypsumring.placement.rooms import Demand, Key
from gypsumring.ports import (
    Inventory,
    TaskActionKind,
    TaskRecord,
    TaskStart,
    TaskState,
    VmEntry,
    Worker,
)

__all__ = ["Attempt", "AttemptState", "WorkerLink"]


class AttemptState(enum.StrEnum):
    """State of a task attempt on this rack.

    ``WAITING`` attempts wait for preempted tasks to leave, ``QUEUED`` ones for the
    next call to their worker; neither was ever sent. ``SENT`` and ``UNCERTAIN`` ones
    may run.
    """

    WAITING = "waiting"
    QUEUED = "queued"
    SENT = "sent"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    FINAL = "final"


REPORT_STATES = {
    AttemptState.WAITING: TaskReportState.UNCERTAIN,
    AttemptState.QUEUED: TaskReportState.UNCERTAIN,
    AttemptState.SENT: TaskReportState.UNCERTAIN,
    AttemptState.UNCERTAIN: TaskReportState.UNCERTAIN,
    AttemptState.RUNNING: TaskReportState.RUNNING,
}


class Attempt:
    """Account for one task attempt.

    ``start_limit`` is the monotonic time after which a sent start has no effect.
    ``deadline`` is the time at which the caller is answered; an attempt that was not
    sent by then is withdrawn. ``told_uncertain`` marks that the caller was answered
    before the outcome was known and needs a report. ``started_at`` is the time at which
    this process learnt of its start, until the task has run for long enough.
    """

    __slots__ = (
        "args",
        "deadline",
        "demand",
        "ledger",
        "ledger_epoch",
        "outcome",
        "preempted",
        "reason",
        "settled",
        "start_limit",
        "started_at",
        "state",
        "stop_requested",
        "told_uncertain",
        "worker",
    )

    def __init__(
        self,
        demand: Demand,
        ledger: str,
        ledger_epoch: int,
        deadline: float,
        args: str = "",
    ):
        self.demand = demand
        self.ledger = ledger
        self.ledger_epoch = ledger_epoch
        self.deadline = deadline
        self.args = args
        self.state = AttemptState.QUEUED
        self.outcome: TaskReportState | None = None
        self.reason = ""
        self.worker = ""
        self.start_limit = 0.0
        self.started_at: float | None = None
        self.preempted = False
        self.stop_requested = False
        self.told_uncertain = False
        self.settled = anyio.Event()

    @property
    def key(self) -> Key:
        """Return task id and attempt number."""
        return self.demand.key

    @property
    def is_live(self) -> bool:
        """Tell whether the attempt runs or may yet run."""
        return self.state != AttemptState.FINAL

    @property
    def is_unsent(self) -> bool:
        """Tell whether the attempt surely never reached a worker."""
        return self.state in (AttemptState.WAITING, AttemptState.QUEUED)

    def make_report(self) -> TaskReport:
        """Return the attempt's state for the ledger owner."""
        state = self.outcome or REPORT_STATES[self.state]
        return TaskReport(*self.key, state, self.worker, self.reason)

    def make_start(self, start_before: float, lease_ms: int) -> TaskStart:
        """Return the request to the worker."""
        return TaskStart(
            task_id=self.key[0],
            attempt=self.key[1],
            ledger=self.ledger,
            service=self.demand.service,
            resources=self.demand.resources,
            priority=self.demand.priority,
            start_before=start_before,
            lease_ms=lease_ms,
            args=self.args,
        )

    def judge(self, record: TaskRecord) -> TaskReportState | None:
        """Return the outcome that an inventory record shows, or None if it runs.

        A stop that nobody asked for on this rack was a preemption by an earlier
        owner: its ledger must run the task again.
        """
        match record.state:
            case TaskState.SUCCEEDED:
                return TaskReportState.SUCCEEDED
            case TaskState.FAILED:
                return TaskReportState.FAILED
            case TaskState.LEASE_EXPIRED:
                return TaskReportState.LOST
            case TaskState.CHECKPOINTED | TaskState.STOPPED if self.stop_requested:
                return TaskReportState.STOPPED
            case TaskState.CHECKPOINTED | TaskState.STOPPED:
                return TaskReportState.PREEMPTED
            case TaskState.RUNNING | TaskState.THROTTLED:
                return None
        raise ValueError(f"unknown task state {record.state!r}")


def make_adopted(record: TaskRecord) -> Attempt:
    """Return the attempt of a task that a worker's inventory shows."""
    demand = Demand(
        key=(record.task_id, record.attempt),
        service=record.service,
        resources=record.resources,
        priority=Priority(min(max(record.priority, 0), max(Priority))),
    )
    attempt = Attempt(demand, record.ledger, 0, 0.0)
    attempt.state = AttemptState.RUNNING
    return attempt


class WorkerLink:
    """Hold what is known of one worker and what waits to be sent to it.

    ``lease_end`` is the monotonic time at which the lease of every task on the worker
    has certainly ended, if nothing more is sent. ``preempting`` maps a task to the
    time of its next, harder action. ``heard`` tells that this process ever read its
    inventory, ``reachable`` that the last call was answered, ``tried`` that it may
    take work or failed a call. ``renewed_until`` ends the renewals of a worker that
    the VM list shows no longer.
    """

    __slots__ = (
        "actions",
        "clock_received",
        "clock_value",
        "client",
        "heard",
        "is_starting",
        "lease_end",
        "listed",
        "lost_reported",
        "preempting",
        "queue",
        "look_at",
        "reachable",
        "renew_at",
        "renewed_until",
        "tried",
        "usage_at",
        "vm",
        "wake",
    )

    def __init__(self, vm: VmEntry, now: float, lease_end: float):
        self.vm = vm
        self.client: Worker | None = None
        self.lease_end = lease_end
        self.listed = True
        self.heard = False
        self.reachable = False
        self.tried = False
        self.lost_reported = False
        self.is_starting = False
        self.renew_at = now
        self.renewed_until = math.inf
        self.look_at = now
        self.usage_at = now
        self.clock_value = 0.0
        self.clock_received = 0.0
        self.queue: dict[Key, Attempt] = {}
        self.actions: dict[Key, TaskActionKind] = {}
        self.preempting: dict[Key, tuple[TaskActionKind, float]] = {}
        self.wake = anyio.Event()

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self.vm.name

    @property
    def capacity(self) -> Resources:
        """Return what the VM holds."""
        return Resources(self.vm.cpu_millis, self.vm.memory_mb, self.vm.accelerators)

    def notify(self) -> None:
        """Wake the task that serves the worker."""
        self.wake.set()

    def note_clock(self, worker_time: float, received: float) -> None:
        """Keep a reading of the worker's clock."""
        self.clock_value = worker_time
        self.clock_received = received

    def convert_limit(self, limit: float) -> float:
        """Return a worker time that is reached no later than local time ``limit``.

        The reading was taken at or before its receipt, so the worker's clock at any
        local time t shows at least ``clock_value + (t - clock_received)``.
        """
        return self.clock_value + (limit - self.clock_received)


def index_records(inventory: Inventory) -> dict[Key, TaskRecord]:
    """Return the records of an inventory by task attempt."""
    return {(record.task_id, record.attempt): record for record in inventory.tasks}
