"""Monitor waiting steps: gauges, and log lines for steps that wait beyond target."""

from typing import Any

import anyio

from gypsumring.cell.scheduling import CellScheduler
from gypsumring.cell.waiting import (
    WaitReport,
    explain_wait,
    has_expected_capacity,
    is_waiting,
)
from gypsumring.dispatch.ordering import step_due_at
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Queue, Step
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["WaitMonitor"]

log = EventLogger("scheduler")

CHECK_PERIOD_S = 1.0
# A step that has waited for less is not logged, even if its job is overdue.
MIN_LOGGED_WAIT_S = 1.0
MAX_LINES_PER_CHECK = 10
# Maximum number of steps for which one check searches free capacity.
MAX_CAPACITY_SEARCHES = 8
# Maximum number of other steps, and of executors, named in a log line.
MAX_LOGGED_NAMES = 5


class Watch:
    """Record of a waiting step: when its wait began and when it is logged next."""

    __slots__ = (
        "due_at",
        "line_count",
        "next_line_at",
        "queue",
        "step",
        "wait_started_at",
    )

    def __init__(self, step: Step, queue: Queue, wait_started_at: float):
        self.step = step
        self.queue = queue
        self.wait_started_at = wait_started_at
        self.due_at = step_due_at(step, queue)
        self.next_line_at = max(self.due_at, wait_started_at + MIN_LOGGED_WAIT_S)
        self.line_count = 0


class WaitMonitor:
    """Periodic check of the waiting steps, which takes no scheduling decision."""

    __slots__ = ("gauges", "scheduler", "state", "watches")

    def __init__(self, scheduler: CellScheduler):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.watches: dict[Step, Watch] = {}
        self.gauges = make_gauges()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            try:
                self.check(anyio.current_time())
            except Exception as error:
                # An error in the check must not stop the cell.
                self.state.metrics.count("cell.wait_checks.failed")
                log.error("wait check failed", **describe_error(error))

    def measure(self) -> dict[str, float]:
        """Return the gauges of the last check."""
        return dict(self.gauges)

    def check(self, now: float) -> None:
        """Log the steps that wait beyond their target, and update the gauges."""
        waiting = [
            step
            for job in self.state.table.active.values()
            for step in job.steps
            if is_waiting(step)
        ]
        self.discard_ended(set(waiting), now)
        for step in waiting:
            if step not in self.watches:
                self.watches[step] = self.make_watch(step, now)
        watches = sorted(self.watches.values(), key=lambda watch: watch.wait_started_at)
        self.log_overdue(watches, now)
        self.gauges = make_gauges()
        if watches:
            self.gauges["cell.waiting.steps"] = len(watches)
            self.gauges["cell.waiting.overdue"] = sum(
                watch.due_at < now for watch in watches
            )
            self.gauges["cell.waiting.oldest_s"] = now - watches[0].wait_started_at
            feasible = self.find_oldest_feasible(watches)
            if feasible is not None:
                self.gauges["cell.waiting.oldest_feasible_s"] = (
                    now - feasible.wait_started_at
                )

    def make_watch(self, step: Step, now: float) -> Watch:
        """Return a record of a waiting step.

        A step without predecessors that has never started waits since its occurrence
        became due, or since its job was accepted if the job has no schedule. Any other
        step waits since it was added to the backlog, or since ``now``.
        """
        backlog_entry = self.scheduler.backlog.waiting.get(step)
        queue = (
            self.state.find_queue(step.job)
            if backlog_entry is None
            else backlog_entry.queue
        )
        if not step.predecessors and not any(step.attempts):
            opened_at = step.opened_at
            wait_started_at = step.job.accepted_at if opened_at is None else opened_at
        else:
            wait_started_at = now if backlog_entry is None else backlog_entry.queued_at
        return Watch(step, queue, min(wait_started_at, now))

    def discard_ended(self, waiting: set[Step], now: float) -> None:
        """Discard the steps that no longer wait; log the end if the wait was logged."""
        for step in [step for step in self.watches if step not in waiting]:
            watch = self.watches.pop(step)
            if not watch.line_count:
                continue
            runs = step.active_runs()
            started_at = max((run.started_at for run in runs), default=now)
            started = bool(runs or step.done_count) and not step.job.phase.is_final
            log.info(
                "waiting step has started" if started else "step waits no longer",
                step=step.name,
                phase=step.job.phase,
                waited_s=round(started_at - watch.wait_started_at, 3),
                lines=watch.line_count,
            )

    def log_overdue(self, watches: list[Watch], now: float) -> None:
        """Log the steps whose log line is due, oldest first; count those suppressed."""
        due_watches = [watch for watch in watches if watch.next_line_at <= now]
        for watch in due_watches[:MAX_LINES_PER_CHECK]:
            report = explain_wait(
                watch.step, watch.queue, self.scheduler, watch.wait_started_at, now
            )
            self.state.metrics.count(f"cell.waits.{report.reason}")
            log.info("step waits", **make_log_fields(report, now))
            watch.line_count += 1
            # The next line is logged once the wait has doubled.
            watch.next_line_at = now + max(
                MIN_LOGGED_WAIT_S, now - watch.wait_started_at
            )
        suppressed_count = len(due_watches) - MAX_LINES_PER_CHECK
        if suppressed_count > 0:
            self.state.metrics.count("cell.waits.suppressed", suppressed_count)

    def find_oldest_feasible(self, watches: list[Watch]) -> Watch | None:
        """Return the oldest step whose waiting tasks all fit into the free capacity."""
        accepting_executors: dict[str, list[ExecutorState]] = {}
        free_capacity: dict[str, tuple[int, int, int]] = {}
        searches = 0
        for watch in watches:
            service = watch.queue.service
            if service not in accepting_executors:
                accepting_executors[service] = self.list_accepting(service)
                free_capacity[service] = sum_free_capacity(accepting_executors[service])
            if not may_fit(watch.step, free_capacity[service]):
                continue
            searches += 1
            if searches > MAX_CAPACITY_SEARCHES:
                return None
            share = self.scheduler.policy_client.shares.get(watch.queue.name)
            executors = accepting_executors[service]
            if has_expected_capacity(watch.step, watch.queue, executors, share):
                return watch
        return None

    def list_accepting(self, service: str) -> list[ExecutorState]:
        """Return the executors that accept work of a service now."""
        clock = self.state.clock()
        return [
            executor
            for executor in self.scheduler.list_enrolled()
            if executor.accepts_work(service, clock)
        ]


def make_gauges() -> dict[str, float]:
    """Return the gauges of a cell without waiting steps."""
    return {
        "cell.waiting.steps": 0,
        "cell.waiting.overdue": 0,
        "cell.waiting.oldest_s": 0.0,
        "cell.waiting.oldest_feasible_s": 0.0,
    }


def sum_free_capacity(executors: list[ExecutorState]) -> tuple[int, int, int]:
    """Return the free millicores, memory in MB and accelerators of all executors."""
    cpu = memory = accelerators = 0
    for executor in executors:
        free = executor.free_capacity()
        cpu += free[0]
        memory += free[1]
        accelerators += free[2]
    return cpu, memory, accelerators


def may_fit(step: Step, free_capacity: tuple[int, int, int]) -> bool:
    """Return whether the waiting tasks of a step fit into the total free capacity."""
    spec = step.spec
    count = len(step.pending) + len(step.withheld)
    cpu, memory, accelerators = free_capacity
    return (
        (spec.fills or count * spec.cpu_millis <= cpu)
        and count * spec.memory_mb <= memory
        and count * spec.accelerators <= accelerators
    )


def make_log_fields(report: WaitReport, now: float) -> dict[str, Any]:
    """Return the fields of the log line for a report; ages and delays in seconds."""
    step, spec = report.step, report.step.spec
    return {
        "step": step.name,
        "queue": step.job.spec.queue,
        "account": step.job.spec.account,
        "reason": report.reason,
        "waited_s": round(now - report.wait_started_at, 3),
        "overdue_s": round(now - report.due_at, 3),
        "gang": spec.gang,
        "task_count": spec.task_count,
        "cpu_millis": spec.cpu_millis,
        "memory_mb": spec.memory_mb,
        "pending": report.pending,
        "withheld": report.withheld,
        "uncertain": report.uncertain,
        "members_starting": report.members_starting,
        "members_stopping": report.members_stopping,
        "looked_s": seconds_since(report.evaluated_at, now),
        "look_in_s": seconds_until(report.next_evaluation_at, now),
        "held_back_s": round(max(0.0, report.next_policy_call_at - now), 3),
        "asking": report.policy_calls_in_flight,
        "asked": report.queried,
        "allowed": report.allowed,
        "ticketed": report.ticketed,
        "advice_oldest_s": policy_answer_age(
            report, report.oldest_ticket_expires_at, now
        ),
        "advice_newest_s": policy_answer_age(
            report, report.newest_ticket_expires_at, now
        ),
        "taking": report.accepting,
        "not_taking": report.not_accepting,
        "admitted": report.admitted,
        "reserved_for": dict(list(report.reserved_for.items())[:MAX_LOGGED_NAMES]),
        "with_room": report.with_capacity,
        "places_empty": report.places_empty,
        "places_free": report.places_free,
        "places_taking": report.places_taking,
        "places_admitted": report.places_admitted,
        "places_ticketed": report.places_ticketed,
        "attempts_there": report.attempts_on_allowed,
        "stopping_there": report.stopping_on_allowed,
        "used_cpu_there": report.used_cpu_millis_on_allowed,
        "cpu_there": report.cpu_millis_on_allowed,
        "heard_oldest_s": seconds_since(report.oldest_response_at, now),
        "heard_newest_s": seconds_since(report.newest_response_at, now),
        "reserves": report.reserved_by_step[:MAX_LOGGED_NAMES],
        "reserves_count": len(report.reserved_by_step),
        "fence": report.fence,
        "owned_s": seconds_since(report.owned_since, now),
    }


def seconds_since(moment: float | None, now: float) -> float | None:
    """Return the time since ``moment`` in seconds."""
    return None if moment is None else round(now - moment, 3)


def seconds_until(moment: float | None, now: float) -> float | None:
    """Return the time until ``moment`` in seconds."""
    return None if moment is None else round(moment - now, 3)


def policy_answer_age(
    report: WaitReport, expires_at: float | None, now: float
) -> float | None:
    """Return the age in seconds of the policy answer whose ticket expires then."""
    return (
        None
        if expires_at is None
        else round(now - expires_at + report.ticket_valid_s, 3)
    )
