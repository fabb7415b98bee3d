"""State of the worker stand-in."""

import heapq
import json
from collections.abc import Callable

import msgspec

from gypsumring.messages.work import Resources
from gypsumring.ports import (
    Inventory,
    StartOutcome,
    StartReply,
    StartResult,
    TaskAction,
    TaskActionKind,
    TaskRecord,
    TaskStart,
    TaskState,
    TaskUsage,
    UsageReport,
)

__all__ = ["TaskRun", "TaskRuns", "WorkerFaults", "WorkerState"]

CHECKPOINT_S = 0.2
THROTTLED_RATE = 0.5
ACTIVE_STATES = (TaskState.RUNNING, TaskState.THROTTLED)


class TaskBehaviour(msgspec.Struct, frozen=True):
    """Actual behaviour of a task, as encoded in ``TaskStart.args``.

    Without ``run_ms`` the task runs until it is stopped. ``refuses`` makes the start
    fail. A resource of -1 means that the task uses the declared amount.
    """

    run_ms: int | None = None
    cpu_millis: int = -1
    memory_mb: int = -1
    fails: bool = False
    refuses: bool = False


def parse_behaviour(args: str) -> TaskBehaviour:
    """Return the behaviour that the arguments describe, or the default one."""
    try:
        return msgspec.convert(json.loads(args), TaskBehaviour)
    except ValueError:
        return TaskBehaviour()


class TaskRun:
    """Run of a task attempt; times are in seconds on the common clock."""

    __slots__ = (
        "behaviour",
        "checkpoint_at",
        "ended_at",
        "lease_end",
        "rate",
        "run_left_s",
        "start",
        "started_at",
        "state",
        "updated_at",
        "worker",
    )

    def __init__(self, start: TaskStart, worker: str, now: float):
        self.start = start
        self.worker = worker
        self.behaviour = parse_behaviour(start.args)
        self.started_at = now
        self.updated_at = now
        self.run_left_s = (
            float("inf")
            if self.behaviour.run_ms is None
            else self.behaviour.run_ms / 1000
        )
        self.rate = 1.0
        self.lease_end = now + start.lease_ms / 1000
        self.checkpoint_at = float("inf")
        self.state = TaskState.RUNNING
        self.ended_at: float | None = None

    def update_state(self, now: float) -> None:
        """End the run if it has finished, lost its lease or written its checkpoint."""
        if self.ended_at is not None:
            return
        finish_at = self.updated_at + self.run_left_s / self.rate
        end = min(finish_at, self.lease_end, self.checkpoint_at)
        if end > now:
            return
        if end == finish_at:
            failed = self.behaviour.fails
            self.end(TaskState.FAILED if failed else TaskState.SUCCEEDED, end)
        elif end == self.checkpoint_at:
            self.end(TaskState.CHECKPOINTED, end)
        else:
            self.end(TaskState.LEASE_EXPIRED, end)

    def end(self, state: TaskState, now: float) -> None:
        """End the run in a final state."""
        self.state = state
        self.ended_at = now

    def change_rate(self, rate: float, state: TaskState, now: float) -> None:
        """Change the speed of the task from ``now`` on."""
        self.run_left_s -= (now - self.updated_at) * self.rate
        self.updated_at = now
        self.rate = rate
        self.state = state

    def is_active(self, now: float) -> bool:
        """Return whether the task was running at ``now``."""
        self.update_state(now)
        return self.started_at <= now and (self.ended_at is None or now < self.ended_at)

    def used(self) -> Resources:
        """Return the resources that the task actually uses."""
        declared = self.start.resources
        cpu = self.behaviour.cpu_millis
        memory = self.behaviour.memory_mb
        return Resources(
            declared.cpu_millis if cpu < 0 else cpu,
            declared.memory_mb if memory < 0 else memory,
            declared.accelerators,
        )


class TaskRuns:
    """Runs of all tasks of a cell, recorded to detect double runs.

    ``double_runs`` holds (task id, first worker, second worker, time) for every start
    while another run of the same task was active. ``repeated_attempts`` holds attempts
    that were started more than once.
    """

    def __init__(self):
        self.by_task: dict[str, list[TaskRun]] = {}
        self.double_runs: list[tuple[str, str, str, float]] = []
        self.repeated_attempts: list[tuple[str, int]] = []

    def add(self, run: TaskRun, now: float) -> None:
        """Record a run that starts."""
        runs = self.by_task.setdefault(run.start.task_id, [])
        for other in runs:
            # Delayed starts are applied late, so a run that was recorded earlier may
            # have started after this one.
            if other.is_active(now) or run.is_active(max(now, other.started_at)):
                if other.started_at > now or other.is_active(now):
                    self.double_runs.append(
                        (run.start.task_id, other.worker, run.worker, now)
                    )
            if other.start.attempt == run.start.attempt:
                self.repeated_attempts.append((run.start.task_id, run.start.attempt))
        runs.append(run)


class WorkerFaults(msgspec.Struct):
    """Faults of a worker.

    ``delayed_ms`` delays calls before they take effect, even if their caller has
    timed out. ``cut_off`` drops all calls while the tasks continue, ``cut_off_from``
    drops the calls of the named clients. ``dead`` drops all calls; see
    ``WorkerState.kill``.
    """

    fail_all: bool = False
    slow_ms: int = 0
    delayed_ms: int = 0
    lost_answers: float = 0.0
    cut_off: bool = False
    cut_off_from: set[str] = msgspec.field(default_factory=set)
    dead: bool = False


class DelayedCall:
    """Call that takes effect at a later time, and its reply."""

    __slots__ = ("apply", "reply")

    def __init__(self, apply: Callable[[float], object]):
        self.apply = apply
        self.reply: object = None


class WorkerState:
    """Tasks of one worker, which accepts every start without capacity checks.

    The worker's own clock shows ``now + clock_offset_s``. ``overcommits`` records
    (time, allocated resources) for each start that exceeded the capacity.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        data_centre: str = "",
        rack: str = "",
        clock_offset_s: float = 0.0,
        usage_lag_s: float = 5.0,
        runs: TaskRuns | None = None,
    ):
        self.name = name
        self.capacity = capacity
        self.data_centre = data_centre
        self.rack = rack
        self.clock_offset_s = clock_offset_s
        self.usage_lag_s = usage_lag_s
        self.runs = TaskRuns() if runs is None else runs
        self.faults = WorkerFaults()
        self.tasks: dict[tuple[str, int], TaskRun] = {}
        self.active: dict[tuple[str, int], TaskRun] = {}
        self.overcommits: list[tuple[float, Resources]] = []
        self.delayed: list[tuple[float, int, DelayedCall]] = []
        self.call_count = 0
        self.start_count = 0
        self.too_late_count = 0

    def worker_time(self, now: float) -> float:
        """Return the time on the worker's own clock."""
        return now + self.clock_offset_s

    def advance(self, now: float) -> None:
        """Apply delayed calls and end tasks up to ``now``."""
        while self.delayed and self.delayed[0][0] <= now:
            apply_at, _, call = heapq.heappop(self.delayed)
            if not self.faults.dead:
                call.reply = call.apply(apply_at)
        for key, run in list(self.active.items()):
            run.update_state(now)
            if run.ended_at is not None:
                del self.active[key]

    def allocated(self, now: float) -> Resources:
        """Return the declared resources of the active tasks."""
        total = Resources()
        for run in self.active.values():
            if run.is_active(now):
                total += run.start.resources
        return total

    def call_later(
        self, apply: Callable[[float], object], apply_at: float
    ) -> DelayedCall:
        """Schedule a call that is applied whether or not its caller still waits."""
        self.call_count += 1
        call = DelayedCall(apply)
        heapq.heappush(self.delayed, (apply_at, self.call_count, call))
        return call

    def start(self, starts: list[TaskStart], now: float) -> StartReply:
        """Start attempts that are new and not too late; confirm recorded ones."""
        self.advance(now)
        results = []
        for start in starts:
            outcome, reason = self.start_one(start, now)
            results.append(StartResult(start.task_id, start.attempt, outcome, reason))
        return StartReply(self.worker_time(now), tuple(results))

    def start_one(self, start: TaskStart, now: float) -> tuple[StartOutcome, str]:
        """Start one attempt and return the outcome and the reason."""
        key = (start.task_id, start.attempt)
        if key in self.tasks:
            return StartOutcome.STARTED, ""
        if self.worker_time(now) >= start.start_before:
            self.too_late_count += 1
            return StartOutcome.TOO_LATE, "start_before has passed"
        run = TaskRun(start, self.name, now)
        if self.faults.fail_all or run.behaviour.refuses:
            return StartOutcome.FAILED, "the task could not be started"
        self.start_count += 1
        self.tasks[key] = run
        self.runs.add(run, now)
        self.active[key] = run
        allocated = self.allocated(now)
        if not allocated.fits_in(self.capacity):
            self.overcommits.append((now, allocated))
        return StartOutcome.STARTED, ""

    def renew(self, lease_ms: int, renew_before: float, now: float) -> Inventory:
        """Extend the leases of all active tasks unless the renewal is too late."""
        self.advance(now)
        if self.worker_time(now) < renew_before:
            for run in self.active.values():
                run.lease_end = max(run.lease_end, now + lease_ms / 1000)
        else:
            self.too_late_count += 1
        return self.inventory(now)

    def inventory(self, now: float) -> Inventory:
        """Return all attempts that have not been discarded."""
        self.advance(now)
        return Inventory(
            self.worker_time(now),
            tuple(
                TaskRecord(
                    task_id=run.start.task_id,
                    attempt=run.start.attempt,
                    ledger=run.start.ledger,
                    service=run.start.service,
                    resources=run.start.resources,
                    priority=run.start.priority,
                    state=run.state,
                    lease_left_ms=max(0, int((run.lease_end - now) * 1000))
                    if run.ended_at is None
                    else 0,
                    exit_reason="" if run.ended_at is None else str(run.state),
                )
                for run in self.tasks.values()
            ),
        )

    def usage(self, now: float) -> UsageReport:
        """Return the usage of active tasks that have run for at least the usage lag."""
        self.advance(now)
        return UsageReport(
            int(self.usage_lag_s * 1000),
            tuple(
                TaskUsage(run.start.task_id, run.start.attempt, run.used())
                for run in self.active.values()
                if run.started_at <= now - self.usage_lag_s
            ),
        )

    def act(self, actions: list[TaskAction], now: float) -> Inventory:
        """Apply actions; ignore those on unknown tasks or in an unsuitable state."""
        self.advance(now)
        for action in actions:
            key = (action.task_id, action.attempt)
            run = self.tasks.get(key)
            if run is None:
                continue
            is_active = run.ended_at is None
            match action.kind:
                case TaskActionKind.STOP if is_active:
                    run.end(TaskState.STOPPED, now)
                case TaskActionKind.CHECKPOINT if is_active:
                    run.checkpoint_at = min(run.checkpoint_at, now + CHECKPOINT_S)
                case TaskActionKind.THROTTLE if is_active:
                    run.change_rate(THROTTLED_RATE, TaskState.THROTTLED, now)
                case TaskActionKind.UNTHROTTLE if is_active:
                    run.change_rate(1.0, TaskState.RUNNING, now)
                case TaskActionKind.FORGET if not is_active:
                    del self.tasks[key]
        return self.inventory(now)

    def kill(self, now: float) -> None:
        """Simulate a crash of the VM: all tasks end and calls get no answer."""
        self.advance(now)
        self.faults.dead = True
        for run in self.active.values():
            run.end(TaskState.FAILED, now)
        self.active.clear()
        self.tasks.clear()
        self.delayed.clear()

    def revive(self) -> None:
        """Restart the VM without tasks."""
        self.faults.dead = False
