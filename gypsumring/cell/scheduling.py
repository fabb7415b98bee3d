"""Place ready steps on executors, under the advice of the policy service."""

from collections.abc import Awaitable, Callable

import anyio

from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState
from gypsumring.dispatch import (
    AdviserPool,
    Placement,
    Reservation,
    order_steps,
    place_step,
    reserve_executors,
)
from gypsumring.dispatch.placing import eligible_executors
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import PolicyTiming, Queue, RunState, Step
from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable, Ticket
from gypsumring.utils.logs import EventLogger

__all__ = ["CellScheduler"]

log = EventLogger("scheduler")

# The scheduler looks again after this time even if nothing has changed.
LOOK_S = 0.1
# Changes that arrive within this time are looked at together.
GATHER_S = 0.003
# Tasks with checkpoints are stopped this long before their executor leaves, besides the
# time that a stop takes.
EVACUATE_S = 0.5
# A ticket that ends within this time is not used for a start any more.
TICKET_MARGIN_S = 0.03
# The policy service is asked about at most this many executors at once.
MAX_ASKED = 40
# A call for advice may take this many times its usual time, and a little more.
ADVICE_FACTOR = 3.0
ADVICE_MARGIN_S = 0.3
# A step whose call failed is asked for again after this time.
ADVICE_RETRY_S = 0.1

AskPeer = Callable[[str, str, list[str], float], Awaitable[list[tuple[str, str]]]]


class CellScheduler:
    """Place the ready steps of a cell."""

    __slots__ = (
        "advisers",
        "ask_peer",
        "list_peers",
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
        self.list_peers = list_peers
        self.ask_peer = ask_peer
        self.advisers = AdviserPool()
        # Executors that are kept for large tasks.
        self.reserved: dict[str, Reservation] = {}

    async def run(self) -> None:
        """Place steps whenever something has changed."""
        while True:
            with anyio.move_on_after(LOOK_S):
                await self.state.changed.wait()
            await anyio.sleep(GATHER_S)
            self.state.changed = anyio.Event()
            self.schedule()

    def schedule(self) -> None:
        """Offer the free room to the ready steps in order."""
        now = anyio.current_time()
        self.state.table.open_due(now)
        fleet = [
            executor
            for executor in self.state.fleet.values()
            if executor.executor_id in self.state.enrolled
        ]
        self.advisers.set_names(self.list_peers())
        for executor in fleet:
            if executor.entry.draining:
                self.evacuate(executor, now)
        jobs = list(self.state.table.active.values())
        steps = order_steps(jobs, self.state.find_queue, now)
        self.reserved = reserve_executors(steps, fleet, now, self.state.clock())
        for step, queue in steps:
            if step.spec.gang and step.runs:
                self.stop_partial(step)
            else:
                self.offer(step, queue, fleet, now)

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
                    self.orders.stop_gang(run)
                else:
                    self.orders.stop(run)

    def stop_partial(self, step: Step) -> None:
        """Stop the members of a gang of which some do not run."""
        self.orders.stop_all(step.active_runs())

    def offer(
        self, step: Step, queue: Queue, fleet: list[ExecutorState], now: float
    ) -> None:
        """Start the tasks of a step that fit, and ask for advice where that helps."""
        clock = self.state.clock()
        eligible = [
            executor
            for executor in eligible_executors(step, queue.service, fleet, clock)
            if self.admits(executor, step, queue.priority)
        ]
        if not eligible:
            return
        if queue.policy is None:
            self.start_all(step, self.place(step, eligible), now)
            return
        limit = now + TICKET_MARGIN_S
        holding = [
            executor
            for executor in eligible
            if executor.executor_id in step.tickets
            and step.tickets[executor.executor_id].expires_at > limit
        ]
        placements = self.place(step, holding) if holding else []
        waiting = len(step.pending) - len(placements)
        if placements:
            self.start_all(step, placements, now)
        if waiting and not step.asking and step.held_back_until <= now:
            asked = self.choose_asked(step, queue.policy, eligible, now)
            if asked:
                self.ask(step, queue.policy, asked, now)

    def place(self, step: Step, candidates: list[ExecutorState]) -> list[Placement]:
        """Return places for the pending tasks of a step."""
        factor = self.state.timing.spread_factor
        shunned = self.reserved.keys() - step.reserved
        return place_step(step, candidates, factor, anyio.current_time(), shunned)

    def admits(self, executor: ExecutorState, step: Step, priority: int) -> bool:
        """Tell whether an executor is not kept for another step."""
        reservation = self.reserved.get(executor.executor_id)
        return reservation is None or reservation.admits(step, priority)

    def choose_asked(
        self,
        step: Step,
        timing: PolicyTiming,
        eligible: list[ExecutorState],
        now: float,
    ) -> list[ExecutorState]:
        """Return the executors to ask about.

        New ones are asked about until the allowed ones have room for the step; allowed
        ones whose ticket has ended are asked about again once they have room. Tickets
        of executors that are kept for the step are renewed before they end.
        """
        new = [each for each in eligible if each.executor_id not in step.asked]
        allowed = [each for each in eligible if each.executor_id in step.allowed]
        placements = self.place(step, allowed) if allowed else []
        asked = new if len(placements) < len(step.pending) else []
        with_room = {
            executor.executor_id
            for executor in allowed
            if placements and executor.fit_count(step.spec)
        }
        call_s = timing.call_s(1 + len(step.reserved)) + TICKET_MARGIN_S
        for executor in allowed:
            executor_id = executor.executor_id
            ticket = step.tickets.get(executor_id)
            left_s = ticket.expires_at - now if ticket else 0.0
            if executor_id in step.reserved and left_s < call_s:
                asked.append(executor)
            elif executor_id in with_room and left_s < TICKET_MARGIN_S:
                asked.append(executor)
        return asked[:MAX_ASKED]

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

    def ask(
        self, step: Step, timing: PolicyTiming, asked: list[ExecutorState], now: float
    ) -> None:
        """Ask for advice in a task of its own."""
        step.asking = True
        ids = [executor.executor_id for executor in asked]
        self.state.group.start_soon(self.ask_policy, step, timing, ids)

    async def ask_policy(
        self, step: Step, timing: PolicyTiming, executor_ids: list[str]
    ) -> None:
        """Ask the policy service through one of the nodes and keep the tickets."""
        now = anyio.current_time()
        adviser = self.advisers.choose(timing, len(executor_ids), now)
        usual = adviser.busy_until - now
        deadline = now + usual * ADVICE_FACTOR + ADVICE_MARGIN_S
        try:
            rows = await self.ask_peer(adviser.name, step.name, executor_ids, deadline)
        except (PolicyUnavailable, PolicyBusy) as error:
            self.state.metrics.count("cell.advice.failed")
            log.info(
                "advice failed", step=step.name, node=adviser.name, error=str(error)
            )
            step.held_back_until = anyio.current_time() + ADVICE_RETRY_S
            return
        finally:
            self.advisers.finish(adviser, anyio.current_time())
            step.asking = False
            self.state.wake()
        self.state.metrics.count("cell.advice")
        log.info(
            "advice received",
            step=step.name,
            node=adviser.name,
            asked=len(executor_ids),
            allowed=len(rows),
            took_ms=round((anyio.current_time() - now) * 1000),
        )
        expires_at = anyio.current_time() + timing.valid_s
        step.asked.update(executor_ids)
        for executor_id, value in rows:
            step.allowed.add(executor_id)
            step.tickets[executor_id] = Ticket(executor_id, value, expires_at)
