"""Reserve executors for gangs and for large tasks.

Small tasks use released capacity immediately, so that without a reservation a task that
needs a large part of an executor would wait until the load falls. Likewise, other steps
would use the capacity of a gang while the policy service is queried. A reserved
executor accepts no tasks of other steps of the same or a lower priority.

A step that waits for capacity on its reserved executors gives way from time to time to
other steps that wait for them: what it waits for may never come.
"""

from collections.abc import Callable, Collection, Iterable

from gypsumring.dispatch.gang_capacity import (
    choose_earliest_capacity,
    choose_free_capacity,
)
from gypsumring.dispatch.openings import forecast_capacity
from gypsumring.dispatch.placing import count_fitting_eventually, has_label
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import Queue
from gypsumring.pipelines.runs import Run
from gypsumring.pipelines.state import Step

__all__ = ["Reservation", "needs_reservation", "reserve_executors"]

# Share of the largest executor's CPU from which a task or a gang counts as large.
LARGE_TASK_SHARE = 0.2
# Time that a step waits before executors without sufficient free capacity are reserved
# for it.
RESERVATION_DELAY_S = 0.4
# Maximum shares of the executors that are reserved for steps that wait for capacity,
# and for all steps. The first gang may exceed them, so that it gets all it needs.
MAX_RESERVED_SHARE = 0.3
MAX_TOTAL_RESERVED_SHARE = 0.6
# Maximum number of executors reserved for a step that is not a gang.
MAX_EXECUTORS_PER_STEP = 2
# Period after which the reservations of a gang are reviewed.
REVIEW_PERIOD_S = 0.5
# A gang that fits should start within the time of this many calls for tickets plus the
# margin. Otherwise something else prevents the start, and other steps may use the
# capacity for the same time.
START_TICKET_CALLS = 3
START_MARGIN_S = 1.0
# A step that waits holds its reserved executors for this many times the expected wait
# plus the margin, then lets steps that wait use them for a short time, and so on.
HOLD_FACTOR = 2.0
HOLD_MARGIN_S = 5.0
MAX_HOLD_S = 20.0
GIVE_WAY_S = 0.5
# Only steps that have waited for this time may then use them.
GIVE_WAY_AFTER_S = 0.8
# While less than this share of a service's capacity is in use, other steps have to
# start soon if they fit.
BUSY_SHARE = 0.5
MAX_IDLE_HOLD_S = 1.5


ListYielding = Callable[[Step, Queue], Collection[Run]]


class Reservation:
    """Reservation of an executor for one step.

    It gives way to steps that have waited since ``gives_way_before`` or longer.
    """

    __slots__ = ("gives_way_before", "priority", "step")

    def __init__(
        self, step: Step, priority: int, gives_way_before: float = float("-inf")
    ):
        self.step = step
        self.priority = priority
        self.gives_way_before = gives_way_before

    def admits(self, step: Step, priority: int) -> bool:
        """Return whether tasks of a step may use the executor.

        What an account sent beyond its rate yields to all other work.
        """
        beyond_rate = step.job.spec.beyond_rate, self.step.job.spec.beyond_rate
        return (
            step is self.step
            or (beyond_rate[0], priority) < (beyond_rate[1], self.priority)
            or self.gives_way_to(step)
        )

    def gives_way_to(self, step: Step) -> bool:
        """Return whether a step has waited for so long that the reservation yields.

        A step of which all allowed executors are reserved has no beginning of its wait.
        """
        if step.waiting_since is None:
            return self.gives_way_before > float("-inf")
        return step.waiting_since <= self.gives_way_before


class ReservationPlan:
    """Reservations made in one pass over the waiting steps."""

    __slots__ = (
        "accepting_executors",
        "blocks_later_gangs",
        "clock",
        "fleet",
        "largest_cpu",
        "list_yielding",
        "now",
        "reserved",
        "spread_factor",
        "waiting_count",
        "waiting_limit",
    )

    def __init__(
        self,
        fleet: list[ExecutorState],
        now: float,
        clock: float,
        spread_factor: float,
        list_yielding: ListYielding,
    ):
        self.fleet = fleet
        # Returns the attempts that can be stopped for a step.
        self.list_yielding = list_yielding
        self.now = now
        self.clock = clock
        self.spread_factor = spread_factor
        self.largest_cpu = max(
            (executor.entry.cpu_millis for executor in fleet), default=0
        )
        # Executors that accept work, by service and id.
        self.accepting_executors: dict[str, dict[str, ExecutorState]] = {}
        # Number of executors reserved for steps that wait for capacity, and its limit.
        self.waiting_count = 0
        self.waiting_limit = int(len(fleet) * MAX_RESERVED_SHARE)
        # Set once a gang exceeds the limit, so that no later gang overtakes it.
        self.blocks_later_gangs = False
        self.reserved: dict[str, Reservation] = {}

    def list_accepting(self, service: str) -> dict[str, ExecutorState]:
        """Return the executors of a service that accept work, by id."""
        found = self.accepting_executors.get(service)
        if found is None:
            found = {
                executor.executor_id: executor
                for executor in self.fleet
                if executor.accepts_work(service, self.clock)
            }
            self.accepting_executors[service] = found
        return found

    def list_candidates(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the allowed executors that accept work and are not yet reserved."""
        accepting = self.list_accepting(queue.service)
        has_policy = queue.policy is not None or step.allowed
        ids = step.allowed if has_policy else accepting
        return [
            accepting[executor_id]
            for executor_id in ids
            if executor_id in accepting
            and executor_id not in self.reserved
            and has_label(step, accepting[executor_id])
        ]

    def may_reserve_waiting(self, count: int) -> bool:
        """Return whether a gang that does not fit may reserve ``count`` executors."""
        if not self.waiting_count:
            return True
        return self.waiting_count + count <= self.waiting_limit

    def may_reserve_fitting(self, count: int) -> bool:
        """Return whether a gang that fits may reserve ``count`` executors."""
        if not self.reserved:
            return True
        return len(self.reserved) + count <= len(self.fleet) * MAX_TOTAL_RESERVED_SHARE

    def is_busy(self, service: str) -> bool:
        """Return whether much of the capacity of a service is in use."""
        accepting = self.list_accepting(service).values()
        for used, total in (
            (
                sum(executor.used_cpu for executor in accepting),
                sum(executor.entry.cpu_millis for executor in accepting),
            ),
            (
                sum(executor.used_memory for executor in accepting),
                sum(executor.entry.memory_mb for executor in accepting),
            ),
            (
                sum(executor.used_accelerators for executor in accepting),
                sum(executor.entry.accelerators for executor in accepting),
            ),
        ):
            if total and used >= total * BUSY_SHARE:
                return True
        return False

    def reserve(self, step: Step, queue: Queue, executors: list[ExecutorState]) -> None:
        """Reserve executors for a step in place of its previous reservations."""
        step.reserved = {executor.executor_id for executor in executors}
        before = float("-inf")
        if self.gives_way(step, queue, executors):
            before = self.now - GIVE_WAY_AFTER_S
        for executor_id in step.reserved:
            self.reserved[executor_id] = Reservation(step, queue.priority, before)

    def gives_way(
        self, step: Step, queue: Queue, executors: list[ExecutorState]
    ) -> bool:
        """Return whether a step that waits gives way on its executors now.

        A gang that has its capacity holds it until its start is overdue.
        """
        if not executors or step.reservation_expires_at is not None:
            step.reservation_held_until = None
            return False
        held_until = step.reservation_held_until
        if held_until is None or self.now >= held_until + GIVE_WAY_S:
            held_until = self.now + self.choose_hold_s(step, queue, executors)
            step.reservation_held_until = held_until
        return self.now >= held_until

    def choose_hold_s(
        self, step: Step, queue: Queue, executors: list[ExecutorState]
    ) -> float:
        """Return for how long a step that waits holds its reserved executors."""
        if not self.is_busy(queue.service):
            return MAX_IDLE_HOLD_S
        times = sorted(
            time
            for executor in executors
            for time in forecast_capacity(step, executor, self.now)
        )
        needed = len(step.pending) if step.spec.gang else 1
        if len(times) < needed:
            return MAX_HOLD_S
        wait_s = times[needed - 1] - self.now
        return min(HOLD_FACTOR * wait_s + HOLD_MARGIN_S, MAX_HOLD_S)


def list_nothing(step: Step, queue: Queue) -> Collection[Run]:
    """Return no attempts, since none can be stopped for a step."""
    return ()


def needs_reservation(step: Step, largest_cpu: int, now: float) -> bool:
    """Return whether a step has waited for capacity that small tasks would use.

    ``largest_cpu`` is the CPU of the largest executor, in thousandths of a core.
    """
    if not step.pending or step.waiting_since is None:
        return False
    if now - step.waiting_since < RESERVATION_DELAY_S:
        return False
    if step.spec.gang and step.runs:
        return False
    cpu = step.spec.cpu_millis
    if step.spec.gang:
        cpu *= len(step.pending)
    return cpu >= largest_cpu * LARGE_TASK_SHARE


def reserve_executors(
    steps: list[tuple[Step, Queue]],
    fleet: list[ExecutorState],
    now: float,
    clock: float,
    starving: Iterable[tuple[Step, Queue]] = (),
    spread_factor: float = 1.0,
    list_yielding: ListYielding = list_nothing,
) -> dict[str, Reservation]:
    """Return the reservations by executor id; ``steps`` are in order of service.

    ``clock`` is the time on the clock of the executors' states, which includes
    suspended time. The first of the ``starving`` steps that can reserve its executors
    goes before all others of its priority, so that newer steps cannot overtake it
    indefinitely. ``list_yielding`` returns the attempts that can be stopped for a step.
    """
    plan = ReservationPlan(fleet, now, clock, spread_factor, list_yielding)
    starving_by_priority: dict[int, list[tuple[Step, Queue]]] = {}
    for row in starving:
        starving_by_priority.setdefault(row[1].priority, []).append(row)
    first_starving = None
    for step, queue in steps:
        if first_starving is None:
            first_starving = reserve_first_starving(
                starving_by_priority.pop(queue.priority, []), plan
            )
        if step is not first_starving:
            reserve_for(step, queue, plan)
    return plan.reserved


def reserve_first_starving(
    rows: list[tuple[Step, Queue]], plan: ReservationPlan
) -> Step | None:
    """Reserve for the first step that can reserve its executors, and return it."""
    for step, queue in rows:
        reserve_for(step, queue, plan)
        if step.reserved:
            return step
    return None


def reserve_for(step: Step, queue: Queue, plan: ReservationPlan) -> None:
    """Reserve the executors that a step needs, if it may reserve any."""
    has_waited = needs_reservation(step, plan.largest_cpu, plan.now)
    if step.spec.gang:
        reserve_for_gang(step, queue, plan, has_waited)
    elif has_waited and plan.waiting_count < plan.waiting_limit:
        reserve_for_tasks(step, queue, plan)
    else:
        step.clear_reservation()


def reserve_for_gang(
    step: Step, queue: Queue, plan: ReservationPlan, has_waited: bool
) -> None:
    """Retain the reservations of a gang until their review, or choose new ones."""
    if not step.pending or step.runs:
        step.clear_reservation()
        return
    if plan.now < step.reservation_review_at and retain_reservation(step, queue, plan):
        return
    candidates = plan.list_candidates(step, queue)
    chosen = choose_free_capacity(step, candidates, plan.spread_factor, plan.now)
    if chosen:
        reserve_free_capacity(step, queue, plan, chosen)
        return
    step.reservation_expires_at = None
    step.exceeds_reservation_limit = False
    if has_waited and not plan.blocks_later_gangs:
        yielding = plan.list_yielding(step, queue)
        chosen = choose_earliest_capacity(step, candidates, plan.now, yielding)
        if plan.may_reserve_waiting(len(chosen)):
            plan.waiting_count += len(chosen)
        else:
            plan.blocks_later_gangs = step.exceeds_reservation_limit = True
            chosen = []
    plan.reserve(step, queue, chosen)
    if has_waited:
        step.reservation_review_at = plan.now + REVIEW_PERIOD_S


def retain_reservation(step: Step, queue: Queue, plan: ReservationPlan) -> bool:
    """Renew all reservations of a gang; return False if any is unavailable."""
    accepting = plan.list_accepting(queue.service)
    retained = [
        accepting[executor_id]
        for executor_id in step.reserved
        if executor_id in accepting and executor_id not in plan.reserved
    ]
    if len(retained) < len(step.reserved):
        return False
    if step.reservation_expires_at is None:
        plan.waiting_count += len(retained)
    if step.exceeds_reservation_limit:
        plan.blocks_later_gangs = True
    plan.reserve(step, queue, retained)
    return True


def reserve_free_capacity(
    step: Step, queue: Queue, plan: ReservationPlan, chosen: list[ExecutorState]
) -> None:
    """Reserve free capacity that a gang fits into, until its start is overdue."""
    timing = queue.policy
    call_s = 0.0 if timing is None else timing.call_s(len(chosen))
    start_limit_s = START_TICKET_CALLS * call_s + START_MARGIN_S
    if (
        step.reservation_expires_at is not None
        and plan.now >= step.reservation_expires_at
    ):
        step.clear_reservation()
        step.reservation_review_at = plan.now + start_limit_s
        return
    if not plan.may_reserve_fitting(len(chosen)):
        step.clear_reservation()
        step.reservation_review_at = plan.now + REVIEW_PERIOD_S
        return
    if step.reservation_expires_at is None:
        step.reservation_expires_at = plan.now + start_limit_s
    step.reservation_review_at = plan.now + REVIEW_PERIOD_S
    plan.reserve(step, queue, chosen)


def reserve_for_tasks(step: Step, queue: Queue, plan: ReservationPlan) -> None:
    """Reserve the executors with the most free CPU for a step of large tasks."""
    candidates = plan.list_candidates(step, queue)
    candidates.sort(
        key=lambda executor: (
            executor.executor_id not in step.reserved,
            -executor.free_cpu_millis(),
            executor.executor_id,
        )
    )
    chosen: list[ExecutorState] = []
    task_capacity = 0
    for executor in candidates:
        is_sufficient = (
            task_capacity >= len(step.pending) or len(chosen) >= MAX_EXECUTORS_PER_STEP
        )
        if is_sufficient or plan.waiting_count >= plan.waiting_limit:
            break
        fitting = count_fitting_eventually(step, executor)
        if fitting:
            task_capacity += fitting
            chosen.append(executor)
            plan.waiting_count += 1
    plan.reserve(step, queue, chosen)
