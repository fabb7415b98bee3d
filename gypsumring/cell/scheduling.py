"""Place ready steps on executors that the policy service allows."""

from collections.abc import Callable, Iterable, Iterator

import anyio

from gypsumring.accounts import Resources
from gypsumring.cell.caps import CapLimiter
from gypsumring.cell.gang_starts import LinkHolds, can_carry_gang
from gypsumring.cell.observation import review_knowledge
from gypsumring.cell.orders import Orders
from gypsumring.cell.policy_client import (
    TICKET_MARGIN_S,
    PolicyClient,
    QueryPolicyProxy,
)
from gypsumring.cell.preemption import Preemption
from gypsumring.cell.state import CellState
from gypsumring.dispatch import (
    Backlog,
    Placement,
    Reservation,
    place_step,
    reserve_executors,
)
from gypsumring.dispatch.backlog import EVALUATION_PERIOD_S
from gypsumring.dispatch.fairness import FairShares, make_shares
from gypsumring.dispatch.isolation import Isolation
from gypsumring.dispatch.placing import has_capacity, has_label, record_avoiding
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Queue, RunState, Step
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["CellScheduler"]

log = EventLogger("scheduler")

# Changes that arrive within this time are handled in one scheduling pass.
BATCH_DELAY_S = 0.003
# The scheduler waits at least this many times the duration of a pass before the next
# one, so that the event loop has time for other tasks.
BATCH_DELAY_FACTOR = 4.0
# The same if the pass had no time for all steps.
OVERDUE_DELAY_FACTOR = 0.8
# Steps that are not evaluated in this time are overdue in the next pass, half of which
# is theirs, and of steps with new tickets: nodes leave an owner that does not answer
# their pings for as long as a long pass takes.
MAX_PASS_S = 0.05
# The whole fleet is evaluated at most in this share of the time.
MAX_FLEET_SHARE = 0.1
LONG_PASS_S = 0.1
# Tasks with checkpoints are stopped this long before their executor leaves, plus the
# time that a stop takes.
EVACUATION_LEAD_S = 0.5
# Maximum number of gang members named in one log line.
MAX_LOGGED_MEMBERS = 10


class CellScheduler:
    """Scheduler that places the ready steps of a cell on its executors."""

    __slots__ = (
        "accepting_executors",
        "backlog",
        "caps",
        "deferred",
        "evaluate_fleet_at",
        "link_holds",
        "orders",
        "overdue",
        "policy_client",
        "preemption",
        "probed_executors",
        "reserved",
        "state",
    )

    def __init__(
        self,
        state: CellState,
        orders: Orders,
        list_policy_proxies: Callable[[], list[str]],
        query_policy_proxy: QueryPolicyProxy,
    ):
        self.state = state
        self.orders = orders
        self.policy_client = PolicyClient(
            state, self.place, list_policy_proxies, query_policy_proxy
        )
        self.backlog = Backlog(state.find_queue)
        self.caps = CapLimiter(state)
        self.link_holds = LinkHolds(state)
        self.preemption = Preemption(state, orders, self.find_usable, self.caps)
        # Steps that wait for the next pass: those whose starts the link has no room
        # for, and those that the last pass had no time for, the oldest first.
        self.deferred: set[Step] = set()
        self.overdue: dict[Step, None] = {}
        # Reservations for large tasks, by executor id.
        self.reserved: dict[str, Reservation] = {}
        # Time of the next evaluation of the whole fleet.
        self.evaluate_fleet_at = float("-inf")
        # Executors that accepted work at the last evaluation of the fleet, by service.
        self.accepting_executors: dict[str, list[ExecutorState]] = {}
        # Executors in quarantine that could be probed then, by service.
        self.probed_executors: dict[str, list[ExecutorState]] = {}

    async def run(self) -> None:
        """Run a scheduling pass after each change.

        Without a change a pass runs every ``EVALUATION_PERIOD_S``.
        """
        batch_delay_s = BATCH_DELAY_S
        while True:
            with anyio.move_on_after(EVALUATION_PERIOD_S):
                await self.state.changed.wait()
            await anyio.sleep(batch_delay_s)
            self.state.changed = anyio.Event()
            began = anyio.current_time()
            self.schedule()
            # Passes over a long queue take long; the delay leaves most of the time to
            # other tasks of the event loop.
            factor = OVERDUE_DELAY_FACTOR if self.overdue else BATCH_DELAY_FACTOR
            batch_delay_s = max(BATCH_DELAY_S, factor * (anyio.current_time() - began))
            if self.overdue:
                self.state.wake()

    def schedule(self) -> None:
        """Assign free capacity to the ready steps in order of service."""
        now = anyio.current_time()
        self.state.table.open_due_occurrences(now)
        self.backlog.refresh(self.state.table.pop_changed_steps(), now)
        if now >= self.evaluate_fleet_at:
            self.evaluate_fleet(now)
            fleet_s = anyio.current_time() - now
            self.evaluate_fleet_at = now + max(
                EVALUATION_PERIOD_S, fleet_s / MAX_FLEET_SHARE
            )
        due_steps = self.deferred.union(self.backlog.pop_due_steps(now))
        overdue = {**self.policy_client.pop_answered(), **self.overdue}
        self.overdue, self.deferred = {}, set()
        self.link_holds.begin_pass(self.backlog.waiting)
        unstarted: list[tuple[Step, Queue]] = []
        freed_executors = self.state.pop_freed_executors()
        candidate_steps = self.backlog.find_steps_for_capacity(freed_executors)
        due_steps.update(overdue)
        ordered = self.backlog.order(due_steps.union(candidate_steps), now)
        ordered_at = anyio.current_time()
        half_at = ordered_at + MAX_PASS_S / 2
        for step, queue in share_time(ordered, overdue, half_at):
            if self.state.start_demand.is_link_full():
                unstarted.append((step, queue))
                self.deferred.add(step)
                continue
            if self.link_holds.is_held:
                self.deferred.add(step)
                continue
            if anyio.current_time() > ordered_at + MAX_PASS_S:
                unstarted.append((step, queue))
                self.overdue[step] = None
                continue
            try:
                self.backlog.record_evaluation(step, now)
                if step in due_steps:
                    self.evaluate_step(step, queue, now)
                elif (
                    has_capacity(step, freed_executors)
                    and not (step.spec.gang and step.runs)
                    and can_carry_gang(self.state, step.job.spec, step.spec)
                    and self.caps.admit(step, now)
                ):
                    # The released capacity was not used by a step earlier in the order.
                    self.start_fitting_tasks(step, queue, now)
            except Exception as error:
                # An error in one step must not stop the scheduling of the others.
                self.state.metrics.count("cell.placements.failed")
                log.error("placement failed", step=step.name, **describe_error(error))
                self.backlog.reschedule(step, now)
        self.state.start_demand.review(unstarted)
        self.log_long_pass(now, ordered_at, len(ordered))

    def log_long_pass(self, began_at: float, ordered_at: float, steps: int) -> None:
        """Log a pass for which the process has answered nothing else for long."""
        took_s = anyio.current_time() - began_at
        self.state.metrics.record_seconds("cell.pass", took_s)
        if took_s < LONG_PASS_S:
            return
        log.warning(
            "scheduling pass is long",
            took_ms=round(took_s * 1000),
            before_steps_ms=round((ordered_at - began_at) * 1000),
            step_count=steps,
            overdue=len(self.overdue),
            waiting=len(self.backlog.waiting),
        )

    def evaluate_step(self, step: Step, queue: Queue, now: float) -> None:
        """Place the pending tasks of a step or query the policy service about them.

        The next evaluation is scheduled while tasks are pending.
        """
        if step.is_ready and step.spec.gang and step.runs:
            self.stop_incomplete_gang(step)
        elif (
            step.is_ready
            and can_carry_gang(self.state, step.job.spec, step.spec)
            and self.caps.admit(step, now)
        ):
            allowed = self.start_fitting_tasks(step, queue, now)
            if queue.policy is not None and not self.caps.is_blocked(step):
                self.query_policy(step, queue, allowed, now)
        if step.is_ready:
            self.backlog.reschedule(step, now)
        else:
            self.backlog.drop(step)

    def evaluate_fleet(self, now: float) -> None:
        """Evacuate draining executors, and reserve others for large tasks."""
        self.accepting_executors = {}
        self.probed_executors = {}
        self.orders.crashes.review_suspects()
        review_knowledge(self.state, now)
        fleet = self.list_enrolled()
        for executor in fleet:
            if executor.entry.draining:
                self.evacuate(executor, now)
        self.update_shares(fleet)
        starving = self.drop_excessive_gangs(
            self.backlog.list_starving(now, self.caps.blocked)
        )
        steps = self.backlog.order(self.backlog.waiting, now)
        steps = self.review_caps(self.drop_excessive_gangs(steps), now)
        starving = [row for row in starving if row[0] not in self.caps.blocked]
        factor = self.state.timing.spread_factor
        self.preemption.prepare(steps, fleet, self.backlog.shares, now)
        self.reserved = reserve_executors(
            steps,
            fleet,
            now,
            self.state.clock(),
            starving,
            factor,
            self.preemption.list_yielding,
        )
        self.preemption.evaluate(steps, self.reserved)

    def drop_excessive_gangs(
        self, steps: list[tuple[Step, Queue]]
    ) -> list[tuple[Step, Queue]]:
        """Return the steps whose starts the link of this owner can carry in time."""
        return [
            row
            for row in steps
            if can_carry_gang(self.state, row[0].job.spec, row[0].spec)
        ]

    def review_caps(
        self, steps: list[tuple[Step, Queue]], now: float
    ) -> list[tuple[Step, Queue]]:
        """Return the steps that no cap blocks; evaluate those just admitted now."""
        open_steps, admitted = self.caps.review(steps, now)
        for step in admitted:
            self.backlog.schedule(step, now)
        return open_steps

    def update_shares(self, fleet: list[ExecutorState]) -> None:
        """Compute which client accounts hold more than their share of the capacity."""
        if not self.state.accounts.is_active():
            self.backlog.shares = FairShares()
            return
        capacities = [executor.entry.capacity for executor in fleet]
        total = Resources(*map(sum, zip(*capacities)))
        self.backlog.shares = make_shares(
            self.state.accounts.accounts,
            self.backlog.list_accounts(),
            self.state.usage,
            total,
        )

    def list_enrolled(self) -> list[ExecutorState]:
        """Return the executors whose entries are durable.

        Only these are used, since a later owner finds the tasks on them.
        """
        enrolled = self.state.enrolled
        return [
            executor
            for executor_id, executor in self.state.fleet.items()
            if executor_id in enrolled
        ]

    def find_accepting(self, service: str) -> list[ExecutorState]:
        """Return executors that accepted work of a service at the last evaluation."""
        found = self.accepting_executors.get(service)
        if found is None:
            clock = self.state.clock()
            found = [
                executor
                for executor in self.list_enrolled()
                if executor.accepts_work(service, clock)
            ]
            self.accepting_executors[service] = found
        return found

    def find_probes(self, service: str) -> list[ExecutorState]:
        """Return executors that work which no other one takes may probe."""
        found = self.probed_executors.get(service)
        if found is None:
            clock = self.state.clock()
            found = [
                executor
                for executor in self.list_enrolled()
                if executor.accepts_probe(service, clock)
            ]
            self.probed_executors[service] = found
        return found

    def add_probes(
        self, step: Step, queue: Queue, found: list[ExecutorState]
    ) -> list[ExecutorState]:
        """Return executors and, if none of them has room, those that may be probed."""
        probes = self.find_probes(queue.service)
        if not probes or any(each.count_fitting_tasks(step.spec) for each in found):
            return found
        clock = self.state.clock()
        return found + [
            executor
            for executor in probes
            if has_label(step, executor)
            and executor.accepts_probe(queue.service, clock)
            and self.admits(executor, step, queue.priority)
        ]

    def find_eligible(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors that accept a step now, without policy and capacity."""
        clock = self.state.clock()
        found = [
            executor
            for executor in self.find_accepting(queue.service)
            if has_label(step, executor)
            and executor.accepts_work(queue.service, clock)
            and self.admits(executor, step, queue.priority)
        ]
        return self.add_probes(step, queue, found)

    def find_unqueried(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors that a step may use and that were not queried for it."""
        found = [
            executor
            for executor in self.find_accepting(queue.service)
            if has_label(step, executor) and self.admits(executor, step, queue.priority)
        ]
        return [
            executor
            for executor in self.add_probes(step, queue, found)
            if executor.executor_id not in step.queried
        ]

    def evacuate(self, executor: ExecutorState, now: float) -> None:
        """Stop the tasks on a draining executor that lose no work by it.

        Long-running tasks are stopped at once, tasks with checkpoints shortly before
        the executor leaves. Other tasks go on, since they may still end in time.
        """
        remaining_s = (executor.may_leave_at or now) - now
        must_stop_now = remaining_s < EVACUATION_LEAD_S + self.state.timing.stop_s
        for run in list(executor.runs.values()):
            spec = run.step.spec
            if run.state is not RunState.RUNNING:
                continue
            if spec.long_running or (spec.checkpointing and must_stop_now):
                self.state.metrics.count("cell.attempts.evacuated")
                if spec.gang:
                    self.orders.stop_gang(run, "executor leaves")
                else:
                    self.orders.stop(run)

    def stop_incomplete_gang(self, step: Step) -> None:
        """Stop the started members of a gang that lacks other members."""
        runs = [run for run in step.active_runs() if run.state is not RunState.STOPPING]
        if runs:
            log.info(
                "gang stopped",
                step=step.name,
                reason="members are missing",
                missing=sorted(step.pending)[:MAX_LOGGED_MEMBERS],
                missing_count=len(step.pending),
                stopped=len(runs),
            )
        self.orders.stop_all(runs)

    def start_fitting_tasks(
        self, step: Step, queue: Queue, now: float
    ) -> list[ExecutorState]:
        """Start the tasks of a step that fit; return the executors that may run it."""
        may_start = step.earliest_start_at <= now
        if queue.policy is None:
            eligible = self.find_eligible(step, queue)
            record_avoiding(step, eligible, now)
            if not may_start:
                return eligible
            self.start_placements(step, self.place(step, eligible), now)
            return eligible
        allowed = self.find_allowed(step, queue)
        record_avoiding(step, allowed, now)
        if allowed and step.waiting_since is None:
            step.waiting_since = now
        needed_s = TICKET_MARGIN_S + self.state.start_demand.start_wait_s()
        ticketed = [
            executor
            for executor in allowed
            if step.ticket_remaining_s(executor.executor_id, now) > needed_s
        ]
        if may_start and has_capacity(step, ticketed):
            self.start_placements(step, self.place(step, ticketed), now)
        return allowed

    def query_policy(
        self, step: Step, queue: Queue, allowed: list[ExecutorState], now: float
    ) -> None:
        """Query the policy service about a step that has pending tasks."""
        may_query = (
            step.pending
            and not step.policy_calls_in_flight
            and step.next_policy_call_at <= now
        )
        if may_query and queue.policy is not None:
            self.policy_client.query_policy(
                step, queue, allowed, lambda: self.find_unqueried(step, queue), now
            )

    def find_allowed(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors that the policy allows and that accept the step now."""
        clock = self.state.clock()
        allowed = []
        for executor_id in sorted(step.allowed):
            executor = self.state.fleet.get(executor_id)
            if (
                executor is not None
                and executor_id in self.state.enrolled
                and has_label(step, executor)
                and executor.accepts_work(queue.service, clock)
                and self.admits(executor, step, queue.priority)
            ):
                allowed.append(executor)
        return [
            executor
            for executor in self.add_probes(step, queue, allowed)
            if executor.executor_id in step.allowed
        ]

    def find_usable(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors on which a step may be placed, without capacity."""
        if queue.policy is None:
            found = self.find_eligible(step, queue)
        else:
            found = self.find_allowed(step, queue)
        now = anyio.current_time()
        isolation = Isolation(self.state.table.crashes, len(self.state.fleet), now)
        return isolation.admit(found)

    def place(self, step: Step, candidates: list[ExecutorState]) -> list[Placement]:
        """Return placements for the pending tasks of a step."""
        factor = self.state.timing.spread_factor
        deprioritized = self.reserved.keys() - step.reserved
        now = anyio.current_time()
        isolation = Isolation(self.state.table.crashes, len(self.state.fleet), now)
        return place_step(
            step, isolation.admit(candidates), factor, now, deprioritized, isolation
        )

    def admits(self, executor: ExecutorState, step: Step, priority: int) -> bool:
        """Return whether the reservations let a step use an executor."""
        reservation = self.reserved.get(executor.executor_id)
        return reservation is None or reservation.admits(step, priority)

    def start_placements(
        self, step: Step, placements: list[Placement], now: float
    ) -> None:
        """Start the placed tasks."""
        if not placements or not self.state.knows_capacities():
            return
        placements = self.caps.limit_placements(step, placements, now)
        if not placements:
            return
        if not self.link_holds.admit(step, now):
            self.deferred.add(step)
            return
        account = step.job.spec.account
        if account in self.state.accounts.accounts:
            self.state.accounts.starts[account] += len(placements)
        table = self.state.table
        attempt = table.next_attempt(
            step, [placement.index for placement in placements]
        )
        for placement in placements:
            if not step.spec.gang:
                attempt = table.next_attempt(step, [placement.index])
            run = table.place(
                step, placement.index, attempt, placement.executor.executor_id, now
            )
            placement.executor.add_run(run)
            stopped_at = step.interrupted.pop(placement.index, None)
            if stopped_at is not None:
                self.state.metrics.record_seconds(
                    "cell.wait.preempted", now - stopped_at
                )
            ticket = step.tickets.get(placement.executor.executor_id)
            self.orders.start(run, ticket.value if ticket else "")


def share_time(
    ordered: list[tuple[Step, Queue]], overdue: Iterable[Step], half_at: float
) -> Iterator[tuple[Step, Queue]]:
    """Yield steps in order of service, and from a time on the overdue ones first."""
    remaining = dict(ordered)
    for step, queue in ordered:
        if anyio.current_time() > half_at:
            break
        del remaining[step]
        yield step, queue
    for step in [*overdue, *remaining]:
        queue = remaining.pop(step, None)
        if queue is not None:
            yield step, queue
