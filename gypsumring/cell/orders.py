"""Delivery of start and stop orders to executors."""

import anyio

from gypsumring.cell.crashes import CrashAttribution
from gypsumring.cell.exceptions import OwnershipLost
from gypsumring.cell.gang_starts import is_gang_incomplete, is_member_start_late
from gypsumring.cell.order_slots import OrderSlots
from gypsumring.cell.start_demand import start_bytes
from gypsumring.cell.state import CellState
from gypsumring.fleet import MAX_ORDER_DELAY_S, ExecutorState
from gypsumring.pipelines import Run, RunState
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    StartRefused,
    TaskExecutor,
    TaskStart,
)
from gypsumring.transport import Purpose, sending_for
from gypsumring.utils.logs import EventLogger

__all__ = ["Orders"]

log = EventLogger("orders")

# An unanswered order is sent again after a time between these, according to how long
# executors take to answer, plus RETRY_PAUSE_S.
ORDER_TIMEOUT_S = 0.2
LONGEST_ORDER_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.05
# The pause doubles at most this often for stops.
MAX_STOP_DOUBLINGS = 3
# Bytes of a stop, with its headers.
STOP_BYTES = 250
# Task lists show the end of a stopped attempt within this time.
END_REPORT_DELAY_S = 1.5
# The owner abandons a start that has been unanswered for this time while the executor
# answers long polls. A copy of the order may still be executed later.
START_TIMEOUT_S = 4.0
# A step waits this long after a refused or withdrawn start before it starts again.
START_REFUSED_BACKOFF_S = 0.1
# Reasons for refusing a start after which an executor backs off.
BACKOFF_REASONS = ("unhealthy", "room")
# An executor backs off after this many consecutive unanswered orders for one attempt if
# it still answers long polls.
MAX_UNANSWERED_ORDERS = 4


class Orders:
    """Sender of start and stop orders, which are repeated until answered."""

    __slots__ = ("crashes", "start_slots", "state", "stop_slots")

    def __init__(self, state: CellState):
        self.state = state
        self.start_slots = OrderSlots()
        # Stops do not wait behind a burst of starts: cancelled work has to end in time.
        self.stop_slots = OrderSlots()
        self.crashes = CrashAttribution(state, self.stop_all)

    def start(self, run: Run, ticket: str) -> None:
        """Start an attempt in a background task."""
        self.crashes.record_start(run, lambda: self.begin_start(run, ticket))

    def begin_start(self, run: Run, ticket: str) -> None:
        """Start the background task that sends the start of an attempt."""
        self.state.start_demand.add_unsent(run)
        self.state.group.start_soon(self.start_run, run, ticket)

    def stop(self, run: Run) -> None:
        """Stop an attempt in a background task, unless it is stopping already."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self.state.group.start_soon(self.stop_run, run)

    def stop_all(self, runs: list[Run]) -> None:
        """Stop several attempts."""
        for run in runs:
            self.stop(run)

    def find_executor(self, run: Run) -> ExecutorState | None:
        """Return the executor of an attempt, or None if it is not recorded there."""
        executor = self.state.fleet.get(run.executor_id)
        if executor is None or executor.runs.get((run.task, run.attempt)) is not run:
            return None
        return executor

    def release(self, run: Run) -> None:
        """Release the capacity of an attempt that is confirmed not to run."""
        executor = self.state.fleet.get(run.executor_id)
        if executor is not None:
            self.state.release_capacity(executor, run)
        self.state.table.release(run)
        self.crashes.record_end(run)
        self.state.wake()

    def abandon_late_start(self, run: Run, executor: ExecutorState) -> bool:
        """Stop an attempt whose start has taken too long; return whether it has."""
        if run.step.spec.gang and is_member_start_late(self.state, run):
            self.back_off_if_unanswered(executor, run.unanswered_orders)
            self.stop_gang(run, "a member has not started")
            return True
        if not self.is_start_overdue(run):
            return False
        if not run.was_sent and executor.health.is_quarantined(self.state.clock()):
            self.withdraw_start(
                run, executor, "start withdrawn: executor does not answer orders"
            )
            return True
        if run.unanswered_orders and not executor.is_unresponsive:
            log.warning(
                "start abandoned: executor does not answer the order",
                **run.log_fields(),
            )
            self.state.metrics.count("cell.starts.given_up")
            self.stop(run)
            return True
        return False

    def make_start(
        self, run: Run, executor: ExecutorState, ticket: str, now: float
    ) -> TaskStart:
        """Return a start order, which also extends the lease of the executor.

        The lease counts from ``now``, a reading of the cell's clock. A ticket that has
        been renewed takes the place of the one with which the task was placed.
        """
        renewed = run.step.tickets.get(run.executor_id)
        return TaskStart(
            run.task,
            run.attempt,
            run.step.job.spec.payload,
            executor.extend_lease(self.state.lease_ms(), now),
            run.step.checkpoint_of(run.index),
            renewed.value if ticket and renewed is not None else ticket,
        )

    async def start_run(self, run: Run, ticket: str) -> None:
        """Send a start until it is answered or the attempt is not starting any more."""
        pause_s: float | None = 0.0
        try:
            while pause_s is not None:
                if pause_s:
                    await anyio.sleep(pause_s)
                async with self.start_slots.reserve(
                    run.executor_id,
                    run.step.spec.gang,
                    lambda: is_gang_incomplete(run),
                ):
                    await self.state.traffic.wait_for_room(is_gang_incomplete(run))
                    pause_s = await self.try_start(run, ticket)
        finally:
            self.state.start_demand.remove_unsent(run)

    def may_start(self, run: Run, executor: ExecutorState, ticket: str = "") -> bool:
        """Return whether a start may be sent; withdraw or stop one that is obsolete."""
        if self.abandon_late_start(run, executor):
            return False
        if executor.is_overfull():
            self.withdraw_start(run, executor)
            return False
        account = run.step.job.spec.account
        if account and self.state.is_above_cap(account):
            # Its cap was lowered after the start was decided.
            self.withdraw_start(
                run, executor, "start withdrawn: account is above its cap"
            )
            return False
        remaining_s = run.step.ticket_remaining_s(run.executor_id, anyio.current_time())
        if ticket and not run.was_sent and remaining_s <= 0:
            # The executor would refuse the start, which takes the link all the same.
            self.withdraw_start(run, executor, "start withdrawn: ticket has expired")
            return False
        return True

    async def try_start(self, run: Run, ticket: str) -> float | None:
        """Send a start once; return the pause before the next copy, None if settled."""
        executor = self.find_executor(run)
        if executor is None or run.state is not RunState.STARTING:
            return None
        if not self.may_start(run, executor, ticket):
            return None
        now = self.state.clock()
        if (
            executor.is_unresponsive
            or executor.is_unconfirmed
            or not executor.has_current_entry()
            or not self.state.knows_capacities()
            or not self.state.authority.may_extend_leases(now)
        ):
            return RETRY_PAUSE_S
        traffic = self.state.traffic
        size = start_bytes(run.step.job.spec)
        if run.unanswered_orders and not traffic.spend_repeat(size):
            return RETRY_PAUSE_S
        client = self.state.clients[run.executor_id]
        order = self.make_start(run, executor, ticket, now)
        sent_at = anyio.current_time()
        sent_clock = self.state.clock()
        bound = executor.bound_clock(sent_clock)
        deadline = sent_at + self.answer_limit_s(size)
        run.start_sent_by = float("inf")
        if run.first_sent_at is None:
            run.first_sent_at = sent_at
        self.state.start_demand.remove_unsent(run)
        if not run.unanswered_orders:
            traffic.reserve(size)
        try:
            with sending_for(
                Purpose.STARTS_REPEATED if run.unanswered_orders else Purpose.STARTS
            ):
                clock_ms = await client.start(order, self.state.fence, deadline)
        except ExecutorSilent:
            run.start_sent_by = anyio.current_time()
            run.unanswered_orders += 1
            executor.record_unconfirmed_start((run.task, run.attempt), sent_at)
            self.state.metrics.count("cell.starts.unanswered")
            if run.state is RunState.STARTING:
                self.back_off_if_unanswered(executor, run.unanswered_orders)
            return RETRY_PAUSE_S
        except FenceRefused as error:
            raise OwnershipLost(
                f"executor {run.executor_id} has accepted a higher fence number"
            ) from error
        except ExecutorGone:
            run.start_sent_by = anyio.current_time()
            run.unanswered_orders += 1
            return ORDER_TIMEOUT_S
        except StartRefused as error:
            self.state.check_incarnation(executor, bound, error.clock_ms)
            self.handle_refusal(run, executor, error.reason)
            return None
        self.state.check_incarnation(executor, bound, clock_ms)
        self.state.response_times.record(anyio.current_time() - sent_at)
        executor.health.record_accepted(sent_clock)
        self.record_started(run)
        return None

    def answer_limit_s(self, size: int) -> float:
        """Return after which time an order that is sent now is overdue.

        The link of this machine, in either direction, may be busy with other messages.
        """
        answer_s = self.state.response_times.timeout_s(
            ORDER_TIMEOUT_S, LONGEST_ORDER_TIMEOUT_S
        )
        return answer_s + self.state.traffic.send_s(size)

    def withdraw_start(
        self,
        run: Run,
        executor: ExecutorState,
        text: str = "start withdrawn: executor has shrunk",
    ) -> None:
        """Withdraw a start that no longer fits, so that the order is not sent.

        A copy that was sent before may still arrive; the stop blocks it.
        """
        log.info(
            text,
            **run.log_fields(),
            unanswered=run.unanswered_orders,
            used_cpu_millis=executor.used_cpu,
            cpu_millis=executor.entry.cpu_millis,
            used_memory_mb=executor.used_memory,
            memory_mb=executor.entry.memory_mb,
        )
        self.state.metrics.count("cell.starts.withdrawn")
        run.step.earliest_start_at = anyio.current_time() + START_REFUSED_BACKOFF_S
        if run.unanswered_orders:
            self.stop(run)
        else:
            self.release(run)
        if run.step.spec.gang:
            self.stop_gang(run, f"a member's {text}")

    def record_started(self, run: Run) -> None:
        """Record that the executor has confirmed the start of an attempt."""
        run.answered_at = anyio.current_time()
        self.state.table.mark_begun(run)
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.progress_at = run.answered_at
        self.state.metrics.count("cell.starts")
        waited_s = run.started_at - run.step.job.accepted_at
        self.state.metrics.record_seconds("cell.wait", max(0.0, waited_s))
        log.info(
            "attempt started",
            **run.log_fields(),
            unanswered=run.unanswered_orders,
            **self.state.authority.describe(),
        )

    def handle_refusal(self, run: Run, executor: ExecutorState, reason: str) -> None:
        """Stop or release an attempt whose start the executor refused."""
        now = self.state.clock()
        if reason in BACKOFF_REASONS:
            self.back_off(executor, f"start refused: {reason}")
        ticket_remaining_s = run.step.ticket_remaining_s(
            run.executor_id, anyio.current_time()
        )
        log.info(
            "start refused",
            **run.log_fields(),
            reason=reason,
            unanswered=run.unanswered_orders,
            ticket_left_s=round(ticket_remaining_s, 3),
            used_cpu_millis=executor.used_cpu,
            cpu_millis=executor.entry.cpu_millis,
            used_memory_mb=executor.used_memory,
            memory_mb=executor.entry.memory_mb,
            heard_s=round(now - executor.last_response_at, 3),
            rests_s=round(max(0.0, executor.health.available_at() - now), 3),
        )
        self.state.metrics.count(f"cell.starts.refused.{reason}")
        run.step.earliest_start_at = anyio.current_time() + START_REFUSED_BACKOFF_S
        self.crashes.record_refusal(run)
        if reason == "ticket":
            run.step.tickets.pop(run.executor_id, None)
        if reason == "old" or run.unanswered_orders:
            # An earlier copy of the order may still arrive or has been executed.
            self.stop(run)
        else:
            self.release(run)
        if run.step.spec.gang:
            self.stop_gang(run, f"start refused: {reason}")

    def back_off(self, executor: ExecutorState, reason: str) -> None:
        """Assign no new work to an executor for a while; running attempts go on."""
        now = self.state.clock()
        health = executor.health
        if not health.record_refusal(now):
            return
        self.state.metrics.count("cell.executors.rests")
        log.info(
            "executor backs off",
            executor=executor.executor_id,
            reason=reason,
            refusals=health.refusals,
            rests_s=round(health.available_at() - now, 3),
        )

    def back_off_if_unanswered(self, executor: ExecutorState, orders: int) -> None:
        """Back off from an executor after too many consecutive unanswered orders."""
        if orders >= MAX_UNANSWERED_ORDERS and not executor.is_unresponsive:
            self.back_off(executor, "executor does not answer orders")

    def is_start_overdue(self, run: Run) -> bool:
        """Return whether a start has been repeated for longer than START_TIMEOUT_S."""
        return anyio.current_time() - run.started_at > START_TIMEOUT_S

    def stop_gang(self, run: Run, reason: str) -> None:
        """Stop all members of a gang's attempt because of a failure of one member."""
        members = [
            other
            for other in run.step.active_runs()
            if other.attempt == run.attempt and other.state is not RunState.STOPPING
        ]
        if members:
            executor = self.state.fleet.get(run.executor_id)
            now = self.state.clock()
            log.info(
                "gang stopped",
                step=run.step.name,
                reason=reason,
                member=run.task,
                attempt=run.attempt,
                executor=run.executor_id,
                member_state=run.state.value,
                unanswered=run.unanswered_orders,
                ordered_s=round(anyio.current_time() - run.started_at, 3),
                heard_s=executor and round(now - executor.last_response_at, 3),
                stopped=len(members),
            )
        self.stop_all(members)

    async def stop_run(self, run: Run) -> None:
        """Send a stop until it is answered.

        The capacity is released when the executor's task lists show the end.
        """
        unanswered = repeats = 0
        while (executor := self.find_executor(run)) is not None:
            if await self.send_stop(run.executor_id, run.task, run.attempt, repeats):
                run.answered_at = anyio.current_time()
                self.state.metrics.count("cell.stops")
                return
            repeats += 1
            unanswered = 0 if executor.is_unresponsive else unanswered + 1
            self.back_off_if_unanswered(executor, unanswered)

    def discard_slots(self, executor_id: str) -> None:
        """Discard the slots for orders to an executor that has left."""
        self.start_slots.discard(executor_id)
        self.stop_slots.discard(executor_id)

    async def block_late_start(
        self, executor: ExecutorState, task: str, attempt: int
    ) -> None:
        """Block a late start of an attempt by sending stops until one is answered.

        After ``MAX_ORDER_DELAY_S`` no copy of the start can be executed any more. If
        the executor was evicted, a stop is sent as soon as it is in the fleet again.
        """
        key = (task, attempt)
        deadline = anyio.current_time() + MAX_ORDER_DELAY_S
        repeats = 0
        while anyio.current_time() < deadline:
            if await self.send_stop(executor.executor_id, task, attempt, repeats):
                break
            # The pause does not grow, as a copy of the start may arrive at any time.
            repeats = 1
        executor.starts_to_block.discard(key)
        self.state.wake()

    async def stop_unknown_run(
        self, executor: ExecutorState, task: str, attempt: int
    ) -> None:
        """Stop an attempt that the cell has no record of until it is not listed."""
        repeats = 0
        while (task, attempt) in executor.unknown_runs and self.is_in_fleet(executor):
            if await self.send_stop(executor.executor_id, task, attempt, repeats):
                await anyio.sleep(self.state.timing.stop_s + END_REPORT_DELAY_S)
            repeats += 1

    def is_in_fleet(self, executor: ExecutorState) -> bool:
        """Return whether an executor has not been evicted from the fleet."""
        return self.state.fleet.get(executor.executor_id) is executor

    async def send_stop(
        self, executor_id: str, task: str, attempt: int, repeats: int
    ) -> bool:
        """Send one stop and return whether it was answered; pause if it was not.

        The pause doubles with each repeat once the executor backs off. Stops are small
        and block late starts, so that they do not wait for the credit for repeats.
        """
        purpose = Purpose.STOPS_REPEATED if repeats else Purpose.STOPS
        try:
            async with self.stop_slots.reserve(executor_id):
                client = self.state.clients.get(executor_id)
                if client is not None:
                    with sending_for(purpose):
                        await self.stop_once(client, executor_id, task, attempt)
                    return True
        except FenceRefused as error:
            raise OwnershipLost(
                f"executor {executor_id} has accepted a higher fence number"
            ) from error
        except (ExecutorSilent, ExecutorGone, StartRefused):
            self.state.metrics.count("cell.stops.unanswered")
        doublings = max(0, repeats + 1 - MAX_UNANSWERED_ORDERS)
        await anyio.sleep(RETRY_PAUSE_S * 2 ** min(doublings, MAX_STOP_DOUBLINGS))
        return False

    async def stop_once(
        self, client: TaskExecutor, executor_id: str, task: str, attempt: int
    ) -> None:
        """Send one stop and note which incarnation has answered it."""
        executor = self.state.fleet.get(executor_id)
        bound = executor and executor.bound_clock(self.state.clock())
        sent_at = anyio.current_time()
        deadline = sent_at + self.answer_limit_s(STOP_BYTES)
        clock_ms = await client.stop(task, attempt, self.state.fence, deadline)
        self.state.response_times.record(anyio.current_time() - sent_at)
        if executor is not None:
            self.state.check_incarnation(executor, bound, clock_ms)
