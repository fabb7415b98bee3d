"""Report why a step waits: the first condition of a start that is not met."""

import enum
from collections import Counter
from collections.abc import Iterable

from gypsumring.cell.gang_starts import can_carry_gang, can_carry_gang_now
from gypsumring.cell.policy_client import TICKET_MARGIN_S
from gypsumring.cell.scheduling import CellScheduler
from gypsumring.dispatch.ordering import step_due_at
from gypsumring.dispatch.placing import (
    Packing,
    count_fitting_on,
    count_fitting_when_empty,
    has_label,
    may_return_to_avoided,
    pack_tasks,
    waits_for_locality,
)
from gypsumring.fleet import CONTACT_TIMEOUT_S, ExecutorState
from gypsumring.pipelines import Queue, RunState, Step

__all__ = [
    "WaitReason",
    "WaitReport",
    "explain_not_accepting",
    "explain_wait",
    "has_expected_capacity",
    "is_waiting",
]

# An evaluation that is overdue by more than this counts as not scheduled.
MAX_EVALUATION_DELAY_S = 5.0


class WaitReason(enum.StrEnum):
    """First condition of a start that is not met."""

    # Tasks of an earlier owner may run on an executor that has not responded yet.
    WITHHELD = "withheld"
    # Some members of the gang are being started or stopped.
    STARTING = "starting"
    # The scheduler has no evaluation of the step scheduled.
    NOT_SCHEDULED = "not_planned"
    # A policy call is in flight, and the step cannot start without its answer.
    QUERYING_POLICY = "asking"
    NO_POLICY_ANSWER = "no_advice"
    # The step would not fit on the allowed executors even if they were empty.
    TOO_FEW_ALLOWED = "too_few_allowed"
    NOT_ACCEPTING_WORK = "not_taking_work"
    NO_FREE_CAPACITY = "room"
    # The client account has as much running as its cap permits.
    CAP = "cap"
    # The link of the owner does not carry the starts of the whole gang in time.
    LINK = "link"
    RESERVED = "reserved"
    TICKET = "ticket"
    # Tasks avoid the executors on which they failed.
    AVOIDED = "avoided"
    # The step waits for capacity near its data or on a single rack.
    RACK = "rack"
    # Capacities change, and the entries of executors have not been read for a while.
    ENTRIES_UNREAD = "entries_unread"
    # Every condition is met; the next evaluation should start the step.
    NONE = "none"


class WaitReport:
    """What a waiting step needs and what is available to it now."""

    __slots__ = (
        "accepting",
        "admitted",
        "allowed",
        "attempts_on_allowed",
        "capped",
        "cpu_millis_on_allowed",
        "due_at",
        "evaluated_at",
        "fence",
        "members_starting",
        "members_stopping",
        "newest_response_at",
        "newest_ticket_expires_at",
        "next_evaluation_at",
        "next_policy_call_at",
        "not_accepting",
        "oldest_response_at",
        "oldest_ticket_expires_at",
        "owned_since",
        "pending",
        "places_admitted",
        "places_empty",
        "places_free",
        "places_taking",
        "places_ticketed",
        "policy_calls_in_flight",
        "queried",
        "reason",
        "reserved_by_step",
        "reserved_for",
        "step",
        "stopping_on_allowed",
        "task_capacity",
        "ticket_valid_s",
        "ticketed",
        "uncertain",
        "used_cpu_millis_on_allowed",
        "wait_started_at",
        "with_capacity",
        "withheld",
    )

    def __init__(self, step: Step, wait_started_at: float, due_at: float):
        self.step = step
        self.reason = WaitReason.NONE
        self.wait_started_at = wait_started_at
        self.due_at = due_at
        # Times of the last and the next evaluation by the scheduler.
        self.evaluated_at: float | None = None
        self.next_evaluation_at: float | None = None
        self.next_policy_call_at = step.next_policy_call_at
        self.pending = len(step.pending)
        self.withheld = len(step.withheld)
        self.uncertain = len(step.uncertain)
        states = [run.state for run in step.active_runs()]
        self.members_starting = states.count(RunState.STARTING)
        self.members_stopping = states.count(RunState.STOPPING)
        # Policy calls in flight, executors queried, and executors allowed.
        self.policy_calls_in_flight = step.policy_calls_in_flight
        self.queried = len(step.queried)
        self.allowed = 0
        # Allowed executors with a valid ticket; None for a queue without policy.
        self.ticketed: int | None = None
        self.ticket_valid_s = 0.0
        self.oldest_ticket_expires_at: float | None = None
        self.newest_ticket_expires_at: float | None = None
        # Number of allowed executors that accept work, of these executors without a
        # reservation for another step, and of these executors with capacity for a task.
        self.accepting = 0
        self.admitted = 0
        self.with_capacity = 0
        self.not_accepting: dict[str, int] = {}
        self.reserved_for: dict[str, int] = {}
        # How many more tasks of the step fit, by executor id.
        self.task_capacity: dict[str, int] = {}
        # Task capacity of the allowed executors: if they were empty; free; free on
        # executors that accept work; of these without a reservation for another step;
        # and of these with a valid ticket.
        self.places_empty = 0
        self.places_free = 0
        self.places_taking = 0
        self.places_admitted = 0
        self.places_ticketed = 0
        # Recorded state of the allowed executors: attempts and processors.
        self.attempts_on_allowed = 0
        self.stopping_on_allowed = 0
        self.cpu_millis_on_allowed = 0
        self.used_cpu_millis_on_allowed = 0
        self.oldest_response_at: float | None = None
        self.newest_response_at: float | None = None
        # Whether the cap of the client account keeps the step from starting.
        self.capped = False
        # Executors that are reserved for this step.
        self.reserved_by_step = sorted(step.reserved)
        self.fence = 0
        self.owned_since: float | None = None

    def sum_task_capacity(self, executors: Iterable[ExecutorState]) -> int:
        """Return how many more tasks of the step fit on the executors together."""
        return sum(self.task_capacity[executor.executor_id] for executor in executors)


def is_waiting(step: Step) -> bool:
    """Return whether a step whose predecessors are done has tasks to start.

    A gang is waiting until all of its members run.
    """
    waits = step.pending or step.withheld
    if not waits and step.spec.gang and step.runs and not step.is_done:
        waits = any(run.state is not RunState.RUNNING for run in step.active_runs())
    return (
        bool(waits)
        and not step.job.phase.is_final
        and all(predecessor.is_done for predecessor in step.predecessors)
    )


def explain_not_accepting(
    executor: ExecutorState, service: str, enrolled: bool, now: float
) -> str:
    """Return why an executor accepts no work of a service; empty if it accepts work."""
    if enrolled and executor.accepts_work(service, now):
        return ""
    if not executor.listed:
        return "not listed"
    if executor.entry.service != service:
        return "other service"
    if executor.entry.draining:
        return "draining"
    if executor.first_response_at is None:
        return "never heard"
    if now - executor.last_response_at > CONTACT_TIMEOUT_S:
        return "silent"
    if executor.health.is_quarantined(now):
        return "resting"
    if executor.unknown_runs:
        return "unknown attempts"
    if executor.starts_to_block:
        return "starts being shut out"
    if not executor.has_current_entry():
        return "entry of another incarnation"
    if executor.is_unconfirmed:
        return "not confirmed"
    if not enrolled:
        return "not enrolled"
    return "other"


def explain_wait(
    step: Step,
    queue: Queue,
    scheduler: CellScheduler,
    wait_started_at: float,
    now: float,
) -> WaitReport:
    """Return a report on a waiting step without any change to the scheduler."""
    state = scheduler.state
    report = WaitReport(step, wait_started_at, step_due_at(step, queue))
    report.fence = state.fence
    report.owned_since = state.owned_since
    report.capped = bool(step.pending) and scheduler.caps.is_blocked(step)
    backlog_entry = scheduler.backlog.waiting.get(step)
    if backlog_entry is not None:
        report.evaluated_at = backlog_entry.evaluated_at
        report.next_evaluation_at = backlog_entry.evaluate_at
    candidates = find_candidates(step, queue, scheduler)
    report.allowed = len(step.allowed) if queue.policy else len(candidates)
    gone_count = report.allowed - len(candidates)
    not_accepting: Counter[str] = Counter({"gone": gone_count} if gone_count else {})
    accepting = record_candidates(
        report, queue, scheduler, candidates, not_accepting, now
    )
    report.not_accepting = dict(not_accepting)
    usable = filter_admitted(report, queue, scheduler, accepting)
    if queue.policy is not None:
        usable = filter_ticketed(report, queue, usable, now)
    report.places_ticketed = report.sum_task_capacity(usable)
    waits_for_better_rack = may_wait_for_better_rack(
        step, state.timing.spread_factor, now
    )
    report.reason = find_reason(report, queue, usable, waits_for_better_rack, now)
    if report.reason is WaitReason.NONE and not state.knows_capacities():
        report.reason = WaitReason.ENTRIES_UNREAD
    if step.pending and not can_carry_gang(state, step.job.spec, step.spec):
        report.reason = WaitReason.LINK
    if report.reason is WaitReason.NONE and not can_carry_gang_now(state, step):
        report.reason = WaitReason.LINK
    return report


def find_candidates(
    step: Step, queue: Queue, scheduler: CellScheduler
) -> list[ExecutorState]:
    """Return the recorded executors on which the policy allows a step."""
    fleet = scheduler.state.fleet
    if queue.policy is not None:
        return [fleet[name] for name in sorted(step.allowed) if name in fleet]
    return [
        executor
        for executor in fleet.values()
        if executor.entry.service == queue.service
    ]


def record_candidates(
    report: WaitReport,
    queue: Queue,
    scheduler: CellScheduler,
    candidates: list[ExecutorState],
    not_accepting: Counter[str],
    now: float,
) -> list[ExecutorState]:
    """Record the state of the candidates; return those that accept the step now."""
    step = report.step
    clock = scheduler.state.clock()
    accepting = []
    for executor in candidates:
        enrolled = executor.executor_id in scheduler.state.enrolled
        cause = explain_not_accepting(executor, queue.service, enrolled, clock)
        if not cause and not has_label(step, executor):
            cause = "label"
        if cause:
            not_accepting[cause] += 1
        else:
            accepting.append(executor)
        report.task_capacity[executor.executor_id] = count_fitting_on(step, executor)
        runs = executor.runs.values()
        report.attempts_on_allowed += len(runs)
        report.stopping_on_allowed += sum(
            run.state is RunState.STOPPING for run in runs
        )
        report.cpu_millis_on_allowed += executor.entry.cpu_millis
        report.used_cpu_millis_on_allowed += executor.used_cpu
        report.places_empty += count_fitting_when_empty(step, executor) * has_label(
            step, executor
        )
    report.accepting = len(accepting)
    report.places_free = report.sum_task_capacity(candidates)
    report.places_taking = report.sum_task_capacity(accepting)
    record_responses(report, candidates, clock, now)
    return accepting


def record_responses(
    report: WaitReport, candidates: list[ExecutorState], clock: float, now: float
) -> None:
    """Record when the candidates responded last, converted to the time of ``now``.

    ``last_response_at`` is a time of the ``clock`` of the executor states.
    """
    response_times = [
        executor.last_response_at
        for executor in candidates
        if executor.first_response_at is not None
    ]
    if response_times:
        report.oldest_response_at = now - (clock - min(response_times))
        report.newest_response_at = now - (clock - max(response_times))


def filter_admitted(
    report: WaitReport,
    queue: Queue,
    scheduler: CellScheduler,
    accepting: list[ExecutorState],
) -> list[ExecutorState]:
    """Return the executors not reserved for another step; record the other steps."""
    admitted = []
    reserved_counts: Counter[str] = Counter()
    for executor in accepting:
        if scheduler.admits(executor, report.step, queue.priority):
            admitted.append(executor)
        else:
            reserved_counts[scheduler.reserved[executor.executor_id].step.name] += 1
    report.reserved_for = dict(reserved_counts)
    report.admitted = len(admitted)
    report.with_capacity = sum(
        report.task_capacity[executor.executor_id] > 0 for executor in admitted
    )
    report.places_admitted = report.sum_task_capacity(admitted)
    return admitted


def filter_ticketed(
    report: WaitReport, queue: Queue, admitted: list[ExecutorState], now: float
) -> list[ExecutorState]:
    """Return the executors with a valid ticket; record when tickets expire."""
    step = report.step
    report.ticketed = sum(
        step.ticket_remaining_s(executor_id, now) > TICKET_MARGIN_S
        for executor_id in step.allowed
    )
    report.ticket_valid_s = queue.policy.valid_s
    expiry_times = [ticket.expires_at for ticket in step.tickets.values()]
    report.oldest_ticket_expires_at = min(expiry_times, default=None)
    report.newest_ticket_expires_at = max(expiry_times, default=None)
    return [
        executor
        for executor in admitted
        if step.ticket_remaining_s(executor.executor_id, now) > TICKET_MARGIN_S
    ]


def find_reason(
    report: WaitReport,
    queue: Queue,
    usable: list[ExecutorState],
    waits_for_better_rack: bool,
    now: float,
) -> WaitReason:
    """Return the first condition of a start that is not met."""
    step = report.step
    if not step.pending and step.withheld:
        return WaitReason.WITHHELD
    if step.spec.gang and step.runs:
        return WaitReason.STARTING
    if (
        report.next_evaluation_at is None
        or report.next_evaluation_at + MAX_EVALUATION_DELAY_S < now
    ):
        return WaitReason.NOT_SCHEDULED
    if report.capped:
        return WaitReason.CAP
    needed = report.pending if step.spec.gang else 1
    if queue.policy is not None and not step.allowed:
        if step.policy_calls_in_flight:
            return WaitReason.QUERYING_POLICY
        return (
            WaitReason.TOO_FEW_ALLOWED if step.queried else WaitReason.NO_POLICY_ANSWER
        )
    if report.places_empty < needed:
        return (
            WaitReason.QUERYING_POLICY
            if step.policy_calls_in_flight
            else WaitReason.TOO_FEW_ALLOWED
        )
    if report.places_free < needed:
        return (
            WaitReason.NO_FREE_CAPACITY
            if report.accepting
            else WaitReason.NOT_ACCEPTING_WORK
        )
    if report.places_taking < needed:
        return WaitReason.NOT_ACCEPTING_WORK
    if report.places_admitted < needed:
        return WaitReason.RESERVED
    if report.places_ticketed < needed:
        return (
            WaitReason.QUERYING_POLICY
            if step.policy_calls_in_flight
            else WaitReason.TICKET
        )
    packing = Packing(step, may_return=may_return_to_avoided(step, now))
    if not pack_tasks(packing, usable):
        return WaitReason.AVOIDED
    return WaitReason.RACK if waits_for_better_rack else WaitReason.NONE


def may_wait_for_better_rack(step: Step, spread_factor: float, now: float) -> bool:
    """Return whether a step still waits for capacity near its data or on one rack."""
    if not step.spec.data_rack and not step.spec.same_rack:
        return False
    return step.waiting_since is None or waits_for_locality(step, spread_factor, now)


def has_expected_capacity(
    step: Step, queue: Queue, accepting_executors: list[ExecutorState], share: float
) -> bool:
    """Return whether all waiting tasks are expected to fit into the free capacity.

    Tickets and reservations are ignored. An executor about which the policy service was
    not queried counts with the ``share`` of executors that the service allows.
    """
    needed = len(step.pending) + len(step.withheld)
    capacity = 0.0
    for executor in accepting_executors:
        if queue.policy is None or executor.executor_id in step.allowed:
            weight = 1.0
        elif executor.executor_id not in step.queried:
            weight = share
        else:
            continue
        if has_label(step, executor):
            capacity += weight * count_fitting_on(step, executor)
        if capacity >= needed:
            return True
    return False
