"""Orders to executors: starts and stops of attempts."""

import anyio

from gypsumring.cell.exceptions import Deposed
from gypsumring.cell.state import CellState
from gypsumring.fleet import LATE_ORDER_S, ExecutorState
from gypsumring.pipelines import Run, RunState
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    StartRefused,
    TaskStart,
)
from gypsumring.utils.logs import EventLogger

__all__ = ["Orders"]

log = EventLogger("orders")

# An order without an answer is repeated after this time.
ORDER_TIMEOUT_S = 0.2
RETRY_PAUSE_S = 0.05
# A list shows within this time that an attempt has ended.
END_REPORT_DELAY_S = 1.5
# Members of a gang that are not all started within this time are stopped; it lies below
# the time after which executors end them as alone.
GANG_START_S = 1.5
# A start that an executor has not answered for this time, though it answers holds, is
# given up; a copy may still be carried out for a while.
START_TIMEOUT_S = 4.0
# A step of which a start was refused is not started again before this time.
START_REFUSED_BACKOFF_S = 0.1
# An executor that refuses for one of these reasons takes no work for a while.
BACKOFF_REASONS = ("unhealthy", "room")
# An executor that leaves so many orders for one attempt without an answer, in a row and
# while it answers holds, takes no new work for a while.
MAX_UNANSWERED_ORDERS = 4


class Orders:
    """Start and stop attempts, and repeat orders until they are answered."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    def start(self, run: Run, ticket: str) -> None:
        """Start an attempt in a task of its own."""
        self.state.group.start_soon(self.start_run, run, ticket)

    def stop(self, run: Run) -> None:
        """Stop an attempt in a task of its own."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self.state.group.start_soon(self.stop_run, run)

    def stop_all(self, runs: list[Run]) -> None:
        """Stop several attempts."""
        for run in runs:
            self.stop(run)

    def find_executor(self, run: Run) -> ExecutorState | None:
        """Return the executor of an attempt while the attempt is accounted there."""
        executor = self.state.fleet.get(run.executor_id)
        if executor is None or executor.runs.get((run.task, run.attempt)) is not run:
            return None
        return executor

    def release(self, run: Run) -> None:
        """Free the room of an attempt that surely does not run."""
        executor = self.state.fleet.get(run.executor_id)
        if executor is not None:
            self.state.free_room(executor, run)
        self.state.table.release(run)
        self.state.wake()

    async def start_run(self, run: Run, ticket: str) -> None:
        """Send a start until it is answered, or the attempt is over."""
        step = run.step
        while True:
            executor = self.find_executor(run)
            if executor is None or run.state is not RunState.STARTING:
                return
            if step.spec.gang and self.is_member_start_late(run):
                self.back_off_if_unanswered(executor, run.unanswered)
                self.stop_gang(run, "a member has not started")
                return
            if run.unanswered and not executor.is_silent and self.is_start_overdue(run):
                log.warning("start given up", **run.log_fields())
                self.state.metrics.count("cell.starts.given_up")
                self.stop(run)
                return
            if executor.is_silent or not self.state.may_extend():
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            client = self.state.clients[run.executor_id]
            lease_ms = int(self.state.timing.lease_s * 1000)
            order = TaskStart(
                run.task,
                run.attempt,
                step.job.spec.payload,
                executor.extend_lease(lease_ms, self.state.clock()),
                step.checkpoint_of(run.index),
                ticket,
            )
            sent_at = anyio.current_time()
            sent_clock = self.state.clock()
            deadline = sent_at + ORDER_TIMEOUT_S
            run.start_sent_by = float("inf")
            try:
                await client.start(order, self.state.fence, deadline)
            except ExecutorSilent:
                run.start_sent_by = anyio.current_time()
                run.unanswered += 1
                executor.unconfirmed[(run.task, run.attempt)] = sent_at
                self.state.metrics.count("cell.starts.unanswered")
                if run.state is RunState.STARTING:
                    self.back_off_if_unanswered(executor, run.unanswered)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            except FenceRefused as error:
                raise Deposed(f"executor {run.executor_id} has a new owner") from error
            except ExecutorGone:
                run.start_sent_by = anyio.current_time()
                run.unanswered += 1
                await anyio.sleep(ORDER_TIMEOUT_S)
                continue
            except StartRefused as error:
                self.take_refusal(run, executor, error.reason)
                return
            executor.health.note_accepted(sent_clock)
            run.answered_at = anyio.current_time()
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            self.state.metrics.count("cell.starts")
            waited_s = run.started_at - step.job.accepted_at
            self.state.metrics.record_seconds("cell.wait", max(0.0, waited_s))
            log.info("attempt started", **run.log_fields(), unanswered=run.unanswered)
            return

    def take_refusal(self, run: Run, executor: ExecutorState, reason: str) -> None:
        """Give up an attempt that the executor did not start."""
        now = self.state.clock()
        if reason in BACKOFF_REASONS:
            self.back_off(executor, f"start refused: {reason}")
        ticket_left_s = run.step.ticket_left_s(run.executor_id, anyio.current_time())
        log.info(
            "start refused",
            **run.log_fields(),
            reason=reason,
            unanswered=run.unanswered,
            ticket_left_s=round(ticket_left_s, 3),
            used_cpu_millis=executor.used_cpu,
            cpu_millis=executor.entry.cpu_millis,
            used_memory_mb=executor.used_memory,
            memory_mb=executor.entry.memory_mb,
            heard_s=round(now - executor.last_contact_at, 3),
            rests_s=round(max(0.0, executor.health.free_at() - now), 3),
        )
        self.state.metrics.count(f"cell.starts.refused.{reason}")
        run.step.start_after = anyio.current_time() + START_REFUSED_BACKOFF_S
        if reason == "ticket":
            run.step.tickets.pop(run.executor_id, None)
        if reason == "old" or run.unanswered:
            # An earlier copy of the order may still arrive, or has run already.
            self.stop(run)
        else:
            self.release(run)
        if run.step.spec.gang:
            self.stop_gang(run, f"start refused: {reason}")

    def back_off(self, executor: ExecutorState, reason: str) -> None:
        """Let an executor take no new work for a while; what runs there goes on."""
        now = self.state.clock()
        health = executor.health
        if not health.note_refused(now):
            return
        self.state.metrics.count("cell.executors.rests")
        log.info(
            "executor rests",
            executor=executor.executor_id,
            reason=reason,
            refusals=health.refusals,
            rests_s=round(health.free_at() - now, 3),
        )

    def back_off_if_unanswered(self, executor: ExecutorState, orders: int) -> None:
        """Let an executor rest that has left many orders in a row without an answer."""
        if orders >= MAX_UNANSWERED_ORDERS and not executor.is_silent:
            self.back_off(executor, "orders are not answered")

    def is_start_overdue(self, run: Run) -> bool:
        """Tell whether a start has been repeated for too long."""
        return anyio.current_time() - run.started_at > START_TIMEOUT_S

    def is_member_start_late(self, run: Run) -> bool:
        """Tell whether the other members of a gang have waited long for this one."""
        return anyio.current_time() - run.started_at > GANG_START_S

    def stop_gang(self, run: Run, reason: str) -> None:
        """Stop all members of one run of a gang, because of one of them."""
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
                unanswered=run.unanswered,
                ordered_s=round(anyio.current_time() - run.started_at, 3),
                heard_s=executor and round(now - executor.last_contact_at, 3),
                stopped=len(members),
            )
        self.stop_all(members)

    async def stop_run(self, run: Run) -> None:
        """Send a stop until it is answered; the lists tell when the room is free."""
        unanswered = 0
        while (executor := self.find_executor(run)) is not None:
            if await self.send_stop(run.executor_id, run.task, run.attempt):
                run.answered_at = anyio.current_time()
                self.state.metrics.count("cell.stops")
                return
            unanswered = 0 if executor.is_silent else unanswered + 1
            self.back_off_if_unanswered(executor, unanswered)

    async def shut_out(self, executor: ExecutorState, task: str, attempt: int) -> None:
        """Stop an attempt that may still be started, until that is answered.

        After LATE_ORDER_S no copy of its start is left. A stop is sent to an executor
        that was dropped as soon as it is known again.
        """
        key = (task, attempt)
        deadline = anyio.current_time() + LATE_ORDER_S
        while key in executor.shutting_out and anyio.current_time() < deadline:
            if await self.send_stop(executor.executor_id, task, attempt):
                break
        executor.shutting_out.discard(key)
        self.state.wake()

    async def stop_unknown_run(
        self, executor: ExecutorState, task: str, attempt: int
    ) -> None:
        """Stop an attempt that is not accounted for, until it is no longer listed."""
        while (task, attempt) in executor.unknown_runs and self.is_in_fleet(executor):
            if await self.send_stop(executor.executor_id, task, attempt):
                await anyio.sleep(self.state.timing.stop_s + END_REPORT_DELAY_S)

    def is_in_fleet(self, executor: ExecutorState) -> bool:
        """Tell whether an executor has not been dropped from the fleet."""
        return self.state.fleet.get(executor.executor_id) is executor

    async def send_stop(self, executor_id: str, task: str, attempt: int) -> bool:
        """Send one stop; tell whether it was answered, else wait a little."""
        client = self.state.clients.get(executor_id)
        deadline = anyio.current_time() + ORDER_TIMEOUT_S
        try:
            if client is not None:
                await client.stop(task, attempt, self.state.fence, deadline)
                return True
        except FenceRefused as error:
            raise Deposed(f"executor {executor_id} has a new owner") from error
        except (ExecutorSilent, ExecutorGone, StartRefused):
            self.state.metrics.count("cell.stops.unanswered")
        await anyio.sleep(RETRY_PAUSE_S)
        return False
