"""Stop tasks with checkpoints for waiting steps of a smaller rank.

The executors chosen for a step are reserved for it before a task is stopped there, and
the tasks are stopped only while the step has tickets for these executors. Nothing of
this is durable: a later owner finds the tasks running or ended, and decides anew.
"""

import enum
from collections.abc import Callable, Collection

from gypsumring.accounts import Resources
from gypsumring.cell.caps import CapLimiter
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState
from gypsumring.dispatch import Reservation
from gypsumring.dispatch.fairness import FairShares
from gypsumring.dispatch.preempting import (
    Candidate,
    PreemptionPlan,
    Rank,
    YieldingRun,
    choose_victims,
    find_yielding_runs,
    is_preemption_due,
    list_ending,
)
from gypsumring.dispatch.reserving import MAX_TOTAL_RESERVED_SHARE, REVIEW_PERIOD_S
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import task_demand
from gypsumring.pipelines import Queue, Run, Step
from gypsumring.utils.logs import EventLogger

__all__ = ["Preemption", "PreemptionMode"]

log = EventLogger("scheduler")

# A task is not stopped again within this time.
REST_S = 10.0
# Maximum share of the running attempts that are being stopped at one time.
MAX_STOPPING_SHARE = 0.25
# Time after the longest stop within which the task lists show its end.
END_REPORT_S = 0.15
# A stop that has not released its capacity after this further time is not counted on.
OVERDUE_S = 1.0
# Executors stay reserved for this time after the capacity is expected there.
START_MARGIN_S = 0.5
# Time within which a step has to get its tickets, and time before the next attempt.
PREPARATION_S = 1.0
RETRY_DELAY_S = 1.0
# Maximum number of steps that are considered in one pass, and time after which a step
# is considered again for which nothing can be stopped.
MAX_STEPS_PER_PASS = 4
REPLAN_DELAY_S = 0.3


class PreemptionMode(enum.StrEnum):
    """Where tasks may be stopped for others."""

    OFF = "off"
    ON = "on"
    # Only in deployments with client accounts.
    ACCOUNTS = "accounts"


class Hold:
    """Executors reserved for a step for which tasks are stopped, up to a time.

    ``stopped`` tells whether stops were sent; until then the step awaits its tickets.
    """

    __slots__ = ("executor_ids", "stopped", "until")

    def __init__(self, until: float):
        self.executor_ids: set[str] = set()
        self.stopped = False
        self.until = until


class Stop:
    """Stop of an attempt for a step, and the time by which it should have ended."""

    __slots__ = ("deadline", "step")

    def __init__(self, step: Step, deadline: float):
        self.step = step
        self.deadline = deadline


class PreemptionPass:
    """Data of one evaluation of the fleet."""

    __slots__ = (
        "ending",
        "fleet",
        "now",
        "overdue",
        "reserved",
        "run_count",
        "shares",
        "yielding",
        "yielding_by_rank",
    )

    def __init__(self, fleet: list[ExecutorState], shares: FairShares, now: float):
        self.fleet = fleet
        self.shares = shares
        self.now = now
        # Reservations by executor id, once they have been made.
        self.reserved: dict[str, Reservation] = {}
        self.run_count = sum(len(executor.runs) for executor in fleet)
        # Executors on which a stop has taken too long.
        self.overdue: set[str] = set()
        # Attempts that may be stopped, by executor id.
        self.yielding: dict[str, list[YieldingRun]] = {}
        # Attempts expected to end about when a stop would release capacity.
        self.ending: dict[str, list[Run]] = {}
        self.yielding_by_rank: dict[Rank, set[Run]] = {}

    def rank(self, step: Step, queue: Queue) -> Rank:
        """Return the rank of a waiting step.

        Single tasks that would bring their account above its share rank as above it,
        or accounts could stop each other's tasks by turns.
        """
        spec = step.job.spec
        priority, beyond_rate, is_above = self.shares.rank(spec, queue.priority)
        if not step.spec.gang:
            demand = task_demand(step.spec)
            is_above |= not self.shares.count_within(spec.account, demand, 1)
        return priority, beyond_rate, is_above

    def list_yielding(self, rank: Rank) -> set[Run]:
        """Return the attempts that yield to a rank."""
        found = self.yielding_by_rank.get(rank)
        if found is None:
            found = self.yielding_by_rank[rank] = {
                row.run
                for rows in self.yielding.values()
                for row in rows
                if row.rank > rank
            }
        return found


class Preemption:
    """Preemption of running tasks by waiting steps on the owner of a cell."""

    __slots__ = (
        "caps",
        "current",
        "find_usable",
        "holds",
        "orders",
        "preempted_at",
        "retry_at",
        "state",
        "stops",
    )

    def __init__(
        self,
        state: CellState,
        orders: Orders,
        find_usable: Callable[[Step, Queue], list[ExecutorState]],
        caps: CapLimiter,
    ):
        self.state = state
        self.orders = orders
        # Returns the executors that a step may use, without regard to their capacity.
        self.find_usable = find_usable
        self.caps = caps
        # The evaluation of the fleet in progress, if tasks may be stopped in it.
        self.current: PreemptionPass | None = None
        self.holds: dict[Step, Hold] = {}
        self.stops: dict[Run, Stop] = {}
        # Times at which tasks were stopped, by task.
        self.preempted_at: dict[str, float] = {}
        # Times before which steps that got no tickets are not considered again.
        self.retry_at: dict[Step, float] = {}

    def is_enabled(self) -> bool:
        """Return whether tasks may be stopped for others in this deployment."""
        mode = self.state.timing.preemption
        if mode == PreemptionMode.ACCOUNTS:
            desired = self.state.desired_state()
            return desired is not None and desired.accounts is not None
        return mode == PreemptionMode.ON

    def may_start(self) -> bool:
        """Return whether this owner may send starts now."""
        return self.state.knows_capacities() and (
            self.state.authority.may_extend_leases(self.state.clock())
        )

    def prepare(
        self,
        steps: list[tuple[Step, Queue]],
        fleet: list[ExecutorState],
        shares: FairShares,
        now: float,
    ) -> None:
        """Find the attempts that may be stopped for waiting steps."""
        self.current = None
        self.forget_past(now)
        if not self.is_enabled() or not self.may_start():
            self.holds.clear()
            return
        if not any(self.is_due(step, now) for step, _ in steps):
            return
        self.current = PreemptionPass(fleet, shares, now)
        self.find_yielding(self.current)

    def list_yielding(self, step: Step, queue: Queue) -> Collection[Run]:
        """Return the attempts that may be stopped for a step."""
        current = self.current
        return (
            () if current is None else current.list_yielding(current.rank(step, queue))
        )

    def evaluate(
        self, steps: list[tuple[Step, Queue]], reserved: dict[str, Reservation]
    ) -> None:
        """Stop tasks for waiting steps, which are in order of service.

        The executors chosen for them are added to ``reserved``.
        """
        current = self.current
        if current is None:
            return
        current.reserved = reserved
        now = current.now
        largest_rank = max(
            (row.rank for rows in current.yielding.values() for row in rows),
            default=None,
        )
        considered = 0
        for step, queue in steps:
            rank = current.rank(step, queue)
            has_victims = largest_rank is not None and rank < largest_rank
            if not has_victims and not self.holds:
                break
            if (has_victims or step in self.holds) and self.is_due(step, now):
                considered += 1
                self.evaluate_step(step, queue, rank, current)
            if considered == MAX_STEPS_PER_PASS:
                break

    def is_due(self, step: Step, now: float) -> bool:
        """Return whether tasks may be stopped for a step now."""
        return is_preemption_due(step, now) and now >= self.retry_at.get(step, 0.0)

    def forget_past(self, now: float) -> None:
        """Discard stops that have ended, and holds of steps that no longer wait."""
        self.stops = {
            run: stop
            for run, stop in self.stops.items()
            if self.orders.find_executor(run) is not None
        }
        self.holds = {
            step: hold
            for step, hold in self.holds.items()
            if is_preemption_due(step, now) and not step.job.phase.is_final
        }
        self.preempted_at = {
            task: stopped_at
            for task, stopped_at in self.preempted_at.items()
            if now - stopped_at < REST_S
        }
        self.retry_at = {
            step: retry_at for step, retry_at in self.retry_at.items() if now < retry_at
        }

    def find_yielding(self, current: PreemptionPass) -> None:
        """Find the attempts that may be stopped, and the executors not to count on."""
        now = current.now
        current.overdue = {
            run.executor_id for run, stop in self.stops.items() if stop.deadline < now
        }

        above_share = current.shares.above_share
        ranks: dict[tuple[str, str, bool, Resources | None], Rank] = {}

        def rank(run: Run) -> Rank:
            """Return the rank of the job of an attempt."""
            job = run.step.job
            spec = job.spec
            # The demand matters only for accounts above their share.
            demand = None
            if spec.account in above_share:
                demand = task_demand(run.step.spec)
            key = (spec.queue, spec.account, spec.beyond_rate, demand)
            found = ranks.get(key)
            if found is None:
                priority = self.state.find_queue(job).priority
                is_above = demand is not None and current.shares.stays_above(
                    spec.account, demand
                )
                found = ranks[key] = priority, spec.beyond_rate, is_above
            return found

        for executor in current.fleet:
            if not executor.is_unresponsive:
                current.yielding[executor.executor_id] = find_yielding_runs(
                    executor,
                    rank,
                    lambda run: self.may_stop(run, now),
                    now,
                    self.release_s(),
                )

    def find_ending(
        self, executor: ExecutorState, current: PreemptionPass
    ) -> list[Run]:
        """Return the attempts of an executor that end about when a stop would."""
        found = current.ending.get(executor.executor_id)
        if found is None:
            found = list_ending(executor, current.now, self.release_s())
            current.ending[executor.executor_id] = found
        return found

    def may_stop(self, run: Run, now: float) -> bool:
        """Return whether an attempt may be stopped, so that its task resumes soon.

        An earlier owner may have stopped a task just before the takeover.
        """
        step = run.step
        if step.job.phase.is_final or step.uncertain or step.spec.speculative:
            return False
        if run.attempt < self.state.table.first_attempt:
            return now - run.started_at >= REST_S
        return run.task not in self.preempted_at

    def release_s(self) -> float:
        """Return the time from a stop until its capacity is released, in seconds."""
        return self.state.timing.stop_s + END_REPORT_S

    def evaluate_step(
        self, step: Step, queue: Queue, rank: Rank, current: PreemptionPass
    ) -> None:
        """Choose victims for a step; stop them if the step has its tickets."""
        now = current.now
        plan = self.choose(step, queue, rank, current)
        hold = self.holds.get(step)
        if plan is None or not (plan.victims or hold):
            self.holds.pop(step, None)
            self.retry_at[step] = now + REPLAN_DELAY_S
            return
        if hold is not None and hold.until < now:
            self.give_up(step, hold, now)
            return
        executor_ids = {executor.executor_id for executor in plan.executors}
        if hold is None:
            if not self.may_hold(executor_ids, current):
                self.state.metrics.count("cell.preemptions.refused.reserved")
                return
            hold = self.holds[step] = Hold(now + PREPARATION_S)
        hold.executor_ids = executor_ids
        self.reserve(step, queue, executor_ids, current)
        step.tickets_needed_until = now + self.tickets_needed_s(queue)
        if plan.victims and self.has_tickets(step, queue, executor_ids, now):
            self.stop_victims(step, hold, plan, now)
        self.state.table.changed_steps[step] = None
        self.state.wake()

    def choose(
        self, step: Step, queue: Queue, rank: Rank, current: PreemptionPass
    ) -> PreemptionPlan | None:
        """Return the victims for a step, on the executors held for it if possible."""
        now = current.now
        max_victims = int(current.run_count * MAX_STOPPING_SHARE) - len(self.stops)
        held_for_others = {
            executor_id
            for other, hold in self.holds.items()
            if other is not step
            for executor_id in hold.executor_ids
        }
        candidates = [
            Candidate(
                step,
                executor,
                current.yielding.get(executor.executor_id, []),
                [
                    run
                    for run in executor.runs.values()
                    if run in self.stops and self.stops[run].step is step
                ],
                self.find_ending(executor, current),
            )
            for executor in self.find_usable(step, queue)
            if executor.executor_id not in held_for_others
            and executor.executor_id not in current.overdue
        ]
        hold = self.holds.get(step)
        options = [candidates]
        if hold is not None and not hold.stopped:
            ids = hold.executor_ids
            options.insert(
                0, [row for row in candidates if row.executor.executor_id in ids]
            )
        for option in options:
            plan = choose_victims(
                step,
                option,
                rank,
                now,
                self.state.timing.spread_factor,
                max(0, max_victims),
                self.count_startable(step, current),
            )
            if plan is not None:
                return plan
        return None

    def count_startable(self, step: Step, current: PreemptionPass) -> int:
        """Return how many pending tasks the cap and share of the account let start.

        Tasks are stopped for one step of a capped account at a time, since the steps
        could exceed the cap together.
        """
        if self.caps.find_cap(step) is not None:
            account = step.job.spec.account
            for other in self.holds:
                if other is not step and other.job.spec.account == account:
                    return 0
        count = self.caps.count_startable(step)
        if step.spec.gang:
            return count
        demand = task_demand(step.spec)
        within = current.shares.count_within(step.job.spec.account, demand, count)
        # Beyond its share, an account may still stop tasks of lower priorities.
        return within or count

    def may_hold(self, executor_ids: set[str], current: PreemptionPass) -> bool:
        """Return whether further executors may be reserved; the first step always."""
        held = set().union(*(hold.executor_ids for hold in self.holds.values()))
        limit = len(current.fleet) * MAX_TOTAL_RESERVED_SHARE
        return not held or len(held | executor_ids) <= limit

    def give_up(self, step: Step, hold: Hold, now: float) -> None:
        """Release the executors of a step that has not started in time."""
        if not hold.stopped:
            self.state.metrics.count("cell.preemptions.refused.tickets")
        del self.holds[step]
        self.retry_at[step] = now + RETRY_DELAY_S

    def reserve(
        self,
        step: Step,
        queue: Queue,
        executor_ids: set[str],
        current: PreemptionPass,
    ) -> None:
        """Reserve executors for a step in place of its other reservations."""
        for executor_id in step.reserved - executor_ids:
            reservation = current.reserved.get(executor_id)
            if reservation is not None and reservation.step is step:
                del current.reserved[executor_id]
        for executor_id in executor_ids:
            reservation = current.reserved.get(executor_id)
            if reservation is not None and reservation.step is not step:
                reservation.step.reserved.discard(executor_id)
            current.reserved[executor_id] = Reservation(step, queue.priority)
        step.reserved = set(executor_ids)
        step.reservation_review_at = current.now + REVIEW_PERIOD_S
        step.reservation_expires_at = None
        step.exceeds_reservation_limit = False

    def tickets_needed_s(self, queue: Queue) -> float:
        """Return how long tickets have to be valid when tasks are stopped."""
        if queue.policy is None:
            return 0.0
        return min(self.release_s(), queue.policy.valid_s / 2)

    def has_tickets(
        self, step: Step, queue: Queue, executor_ids: set[str], now: float
    ) -> bool:
        """Return whether a step may start on executors once they have capacity."""
        if queue.policy is None:
            return True
        needed_s = self.tickets_needed_s(queue)
        return all(
            step.ticket_remaining_s(executor_id, now) >= needed_s
            for executor_id in executor_ids
        )

    def stop_victims(
        self, step: Step, hold: Hold, plan: PreemptionPlan, now: float
    ) -> None:
        """Stop the chosen attempts and record for which step."""
        release_s = self.release_s()
        hold.stopped = True
        hold.until = now + release_s + START_MARGIN_S
        for victim in plan.victims:
            run = victim.run
            self.stops[run] = Stop(step, now + release_s + OVERDUE_S)
            self.preempted_at[run.task] = now
            run.step.interrupted[run.index] = now
            self.orders.stop(run)
        kind = "gang" if step.spec.gang else "task"
        self.state.metrics.count(f"cell.preemptions.{kind}", len(plan.victims))
        log.info(
            "tasks stopped for a waiting step",
            step=step.name,
            reason=kind,
            waited_s=round(now - step.waiting_since, 3),
            victims=len(plan.victims),
            lost_core_s=round(plan.lost_core_s, 3),
            places=plan.task_capacity,
            executors_count=len(plan.executors),
            starts_s=round(release_s, 3),
        )
