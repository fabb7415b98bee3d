"""Place ready steps on executors, under the advice of the policy service."""

from collections.abc import Callable

import anyio

from gypsumring.cell.advice import TICKET_MARGIN_S, AdviceDesk, AskPeer
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState
from gypsumring.dispatch import (
    Backlog,
    Placement,
    Reservation,
    place_step,
    reserve_executors,
)
from gypsumring.dispatch.backlog import LOOK_S
from gypsumring.dispatch.placing import has_label, has_room
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Queue, RunState, Step
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["CellScheduler"]

log = EventLogger("scheduler")

# Changes that arrive within this time are looked at together.
GATHER_S = 0.003
# After a pass the scheduler waits at least this many times as long as it took.
GATHER_FACTOR = 4.0
# Tasks with checkpoints are stopped this long before their executor leaves, besides the
# time that a stop takes.
EVACUATE_S = 0.5
# A log line names at most so many members of a gang.
MAX_LISTED = 10


class CellScheduler:
    """Place the ready steps of a cell."""

    __slots__ = (
        "backlog",
        "desk",
        "looked_at",
        "open_executors",
        "orders",
        "reserved",
        "state",
    )

    def __init__(
        self,
        state: CellState,
        orders: Orders,
        list_peers: Callable[[], list[str]],
        ask_peer: AskPeer,
    ):
        self.state = state
        self.orders = orders
        self.desk = AdviceDesk(state, self.place, list_peers, ask_peer)
        self.backlog = Backlog(state.find_queue)
        # Executors that are kept for large tasks.
        self.reserved: dict[str, Reservation] = {}
        # When the whole fleet was looked at last.
        self.looked_at = float("-inf")
        # Executors that took work at the newest look at the fleet, by service.
        self.open_executors: dict[str, list[ExecutorState]] = {}

    async def run(self) -> None:
        """Place steps whenever something has changed."""
        gather_s = GATHER_S
        while True:
            with anyio.move_on_after(LOOK_S):
                await self.state.changed.wait()
            await anyio.sleep(gather_s)
            self.state.changed = anyio.Event()
            began = anyio.current_time()
            self.schedule()
            # A long queue makes passes long; most of the time is left to other tasks.
            gather_s = max(GATHER_S, GATHER_FACTOR * (anyio.current_time() - began))

    def schedule(self) -> None:
        """Offer the free room to the ready steps in order."""
        now = anyio.current_time()
        self.state.table.open_due(now)
        self.backlog.refresh(self.state.table.take_touched(), now)
        if now - self.looked_at >= LOOK_S:
            self.looked_at = now
            self.look_at_fleet(now)
        due = set(self.backlog.take_due(now))
        freed = self.state.take_freed()
        interested = self.backlog.find_interested(freed)
        for step, queue in self.backlog.order(due.union(interested), now):
            try:
                self.backlog.note_look(step, now)
                if step in due:
                    self.look_at(step, queue, now)
                elif has_room(step, freed) and not (step.spec.gang and step.runs):
                    # No step before this one has taken the new room.
                    self.offer(step, queue, now)
            except Exception as error:
                # An error about one step leaves the others alone.
                self.state.metrics.count("cell.placements.failed")
                log.error("placement failed", step=step.name, **describe_error(error))
                self.backlog.plan_again(step, now)

    def look_at(self, step: Step, queue: Queue, now: float) -> None:
        """Place or ask about what waits of a step, and plan the next look at it."""
        if step.is_ready and step.spec.gang and step.runs:
            self.stop_partial(step)
        elif step.is_ready:
            allowed = self.offer(step, queue, now)
            self.ask_about(step, queue, allowed, now)
        if step.is_ready:
            self.backlog.plan_again(step, now)
        else:
            self.backlog.drop(step)

    def look_at_fleet(self, now: float) -> None:
        """Empty executors that leave, and keep others for large tasks."""
        self.open_executors = {}
        fleet = self.list_enrolled()
        for executor in fleet:
            if executor.entry.draining:
                self.evacuate(executor, now)
        starving = self.backlog.list_starving(now)
        steps = self.backlog.order(self.backlog.waiting, now)
        factor = self.state.timing.spread_factor
        self.reserved = reserve_executors(
            steps, fleet, now, self.state.clock(), starving, factor
        )

    def list_enrolled(self) -> list[ExecutorState]:
        """Return the executors of which a later owner would know."""
        enrolled = self.state.enrolled
        return [
            executor
            for executor_id, executor in self.state.fleet.items()
            if executor_id in enrolled
        ]

    def find_open(self, service: str) -> list[ExecutorState]:
        """Return the executors of a service that took work a moment ago."""
        found = self.open_executors.get(service)
        if found is None:
            clock = self.state.clock()
            found = [
                executor
                for executor in self.list_enrolled()
                if executor.takes_work(service, clock)
            ]
            self.open_executors[service] = found
        return found

    def find_eligible(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors that take a step now, apart from policy and room."""
        clock = self.state.clock()
        return [
            executor
            for executor in self.find_open(queue.service)
            if has_label(step, executor)
            and executor.takes_work(queue.service, clock)
            and self.admits(executor, step, queue.priority)
        ]

    def find_unasked(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors about which a step may still ask for advice."""
        return [
            executor
            for executor in self.find_open(queue.service)
            if executor.executor_id not in step.asked
            and has_label(step, executor)
            and self.admits(executor, step, queue.priority)
        ]

    def evacuate(self, executor: ExecutorState, now: float) -> None:
        """Stop tasks on a leaving executor that lose nothing by it.

        Tasks that last go at once, tasks with checkpoints shortly before the end; the
        others may still be done in time.
        """
        left_s = (executor.leaves_at or now) - now
        hurry = left_s < EVACUATE_S + self.state.timing.stop_s
        for run in list(executor.runs.values()):
            spec = run.step.spec
            if run.state is not RunState.RUNNING:
                continue
            if spec.long_running or (spec.checkpointing and hurry):
                self.state.metrics.count("cell.attempts.evacuated")
                if spec.gang:
                    self.orders.stop_gang(run, "executor leaves")
                else:
                    self.orders.stop(run)

    def stop_partial(self, step: Step) -> None:
        """Stop the members of a gang of which some do not run."""
        runs = [run for run in step.active_runs() if run.state is not RunState.STOPPING]
        if runs:
            log.info(
                "gang stopped",
                step=step.name,
                reason="members are missing",
                missing=sorted(step.pending)[:MAX_LISTED],
                missing_count=len(step.pending),
                stopped=len(runs),
            )
        self.orders.stop_all(runs)

    def offer(self, step: Step, queue: Queue, now: float) -> list[ExecutorState]:
        """Start the tasks of a step that fit; return the executors that it may use."""
        may_start = step.start_after <= now
        if queue.policy is None:
            eligible = self.find_eligible(step, queue)
            if not may_start:
                return eligible
            self.start_all(step, self.place(step, eligible), now)
            return eligible
        allowed = self.find_allowed(step, queue)
        if allowed and step.waiting_since is None:
            step.waiting_since = now
        holding = [
            executor
            for executor in allowed
            if step.ticket_left_s(executor.executor_id, now) > TICKET_MARGIN_S
        ]
        if may_start and has_room(step, holding):
            self.start_all(step, self.place(step, holding), now)
        return allowed

    def ask_about(
        self, step: Step, queue: Queue, allowed: list[ExecutorState], now: float
    ) -> None:
        """Ask for advice on a step that still waits, where that may help."""
        waits = step.pending and not step.asking and step.held_back_until <= now
        if waits and queue.policy is not None:
            self.desk.ask_about(
                step, queue, allowed, lambda: self.find_unasked(step, queue), now
            )

    def find_allowed(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the executors that the policy allows and that take the step now."""
        clock = self.state.clock()
        allowed = []
        for executor_id in sorted(step.allowed):
            executor = self.state.fleet.get(executor_id)
            if (
                executor is not None
                and executor_id in self.state.enrolled
                and has_label(step, executor)
                and executor.takes_work(queue.service, clock)
                and self.admits(executor, step, queue.priority)
            ):
                allowed.append(executor)
        return allowed

    def place(self, step: Step, candidates: list[ExecutorState]) -> list[Placement]:
        """Return places for the pending tasks of a step."""
        factor = self.state.timing.spread_factor
        shunned = self.reserved.keys() - step.reserved
        return place_step(step, candidates, factor, anyio.current_time(), shunned)

    def admits(self, executor: ExecutorState, step: Step, priority: int) -> bool:
        """Tell whether an executor is not kept for another step."""
        reservation = self.reserved.get(executor.executor_id)
        return reservation is None or reservation.admits(step, priority)

    def start_all(self, step: Step, placements: list[Placement], now: float) -> None:
        """Start the placed tasks."""
        if not placements:
            return
        table = self.state.table
        attempt = table.next_attempt(step, [each.index for each in placements])
        for each in placements:
            if not step.spec.gang:
                attempt = table.next_attempt(step, [each.index])
            run = table.place(step, each.index, attempt, each.executor.executor_id, now)
            each.executor.add_run(run)
            ticket = step.tickets.get(each.executor.executor_id)
            self.orders.start(run, ticket.value if ticket else "")
