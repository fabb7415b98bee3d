"""Long polls of the executors of a cell."""

from collections.abc import Callable

import anyio

from gypsumring.cell.exceptions import OwnershipLost
from gypsumring.cell.lists import TaskListReader
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import EXECUTOR_KEY, CellState
from gypsumring.fleet import ExecutorEntry, ExecutorState, LeaseEvidence
from gypsumring.pipelines import encode
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    StartRefused,
    TaskExecutor,
)
from gypsumring.transport import Purpose, sending_for
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["ExecutorPoller"]

log = EventLogger("executors")

# How long an executor may delay its answer to a long poll while no attempt ends. The
# idle value applies to executors without running attempts.
LONG_POLL_S = 0.5
IDLE_LONG_POLL_S = 1.0
# Time for the answer itself; each further poll in a row that is not answered has twice
# the time, since answers may be late on a congested link.
LONG_POLL_MARGIN_S = 0.25
FIRST_POLL_TIMEOUT_S = 0.4
MAX_POLL_MARGIN_S = 1.6
RETRY_PAUSE_S = 0.1
# Pause between polls while ends of attempts wait to become durable in the store.
NOT_DURABLE_PAUSE_S = 0.15
DURABLE_TIMEOUT_S = 0.1


class ExecutorPoller:
    """Poller of all executors of a cell, with one background task per executor."""

    __slots__ = ("connect", "list_reader", "state")

    def __init__(
        self,
        state: CellState,
        orders: Orders,
        connect: Callable[[str, str], TaskExecutor],
    ):
        self.state = state
        self.list_reader = TaskListReader(state, orders)
        self.connect = connect

    def add(self, entry: ExecutorEntry, inherited: bool) -> ExecutorState:
        """Start polling an executor; an inherited one may already run tasks."""
        executor = ExecutorState(
            entry, self.state.clock(), self.state.usage, self.state.knowledge
        )
        # An evicted executor that returns still lists its ends.
        executor.lease_evidence = (
            LeaseEvidence.UNKNOWN if inherited else LeaseEvidence.EXPIRED
        )
        late_starts = self.state.late_starts.pop(entry.executor_id, {})
        executor.unconfirmed_starts.update(late_starts)
        self.state.fleet[entry.executor_id] = executor
        self.state.clients[entry.executor_id] = self.connect(
            entry.executor_id, entry.address
        )
        if inherited:
            executor.listed = False
            self.state.enrolled.add(entry.executor_id)
            self.state.unreconciled.add(entry.executor_id)
        self.state.group.start_soon(self.poll_until_left, executor)
        return executor

    def update(self, entry: ExecutorEntry) -> None:
        """Apply a new directory entry of an executor, adding the executor if needed."""
        executor = self.state.fleet.get(entry.executor_id)
        if executor is None:
            executor = self.add(entry, inherited=False)
        if entry.address != executor.entry.address:
            self.close_client(entry.executor_id)
            self.state.clients[entry.executor_id] = self.connect(
                entry.executor_id, entry.address
            )
            # The next owner polls the recorded address, and would take the answer of
            # another executor there for the end of what runs at this one.
            self.state.enrolled.discard(entry.executor_id)
        if entry.draining and not executor.entry.draining:
            log.info("executor is draining", executor=entry.executor_id)
        executor.record_draining(entry)
        if entry.draining:
            executor.may_leave_at = anyio.current_time() + entry.remaining_ms / 1000
        previous, executor.entry = executor.entry, entry
        executor.listed = True
        self.note_capacity(executor, previous)
        self.enroll_new(executor)

    def note_capacity(self, executor: ExecutorState, previous: ExecutorEntry) -> None:
        """Log a changed capacity; steps that wait may use one that has grown."""
        entry = executor.entry
        if entry.capacity == previous.capacity:
            return
        log.info(
            "executor capacity changed",
            executor=entry.executor_id,
            cpu_millis=entry.cpu_millis,
            memory_mb=entry.memory_mb,
            accelerators=entry.accelerators,
            used_cpu_millis=executor.used_cpu,
            used_memory_mb=executor.used_memory,
            used_accelerators=executor.used_accelerators,
        )
        if entry.born_ms == previous.born_ms:
            self.state.capacities_vary = True
        if any(new > old for new, old in zip(entry.capacity, previous.capacity)):
            self.state.freed_executors.add(entry.executor_id)
            self.state.wake()

    def enroll_new(self, executor: ExecutorState) -> None:
        """Make a new entry or address durable, so that a later owner polls it."""
        entry = executor.entry
        if not executor.listed or entry.executor_id in self.state.enrolled:
            return
        authority = self.state.authority
        is_recorded = authority.executors.may_be_recorded(entry.executor_id)
        if is_recorded or authority.may_add_executors():
            self.write_record(entry)

    def enroll_all(self) -> None:
        """Make the entries durable of all executors that wait for it."""
        for executor in self.state.fleet.values():
            self.enroll_new(executor)

    def write_record(self, entry: ExecutorEntry) -> None:
        """Write the record of an executor, which takes work once it is durable."""
        executor_id = entry.executor_id

        def enroll() -> None:
            self.state.authority.executors.end_change(executor_id, True)
            executor = self.state.fleet.get(executor_id)
            if executor is not None and executor.entry.address == entry.address:
                self.state.enrolled.add(executor_id)
                self.state.wake()

        self.put_record(executor_id, encode(entry), enroll)

    def delete_record(self, executor_id: str) -> None:
        """Delete the record of an executor that has left."""
        witnesses = self.state.authority.executors
        self.put_record(
            executor_id, b"", lambda: witnesses.end_change(executor_id, False)
        )

    def put_record(
        self, executor_id: str, value: bytes, on_durable: Callable[[], None]
    ) -> None:
        """Put a record of an executor, or delete it with an empty value."""
        self.state.authority.executors.begin_change(executor_id)
        self.state.journal.put(EXECUTOR_KEY + executor_id, value, on_durable)

    async def poll_until_left(self, executor: ExecutorState) -> None:
        """Poll one executor until it has left and no attempt can run there."""
        while True:
            if not executor.listed and self.may_evict(executor):
                self.evict(executor)
                return
            with anyio.CancelScope() as executor.poll_scope:
                await self.poll_once(executor)
            if executor.may_have_restarted:
                self.mark_unresponsive(executor)

    async def poll_once(self, executor: ExecutorState) -> None:
        """Poll an executor; pause if it has not answered."""
        client = self.state.clients[executor.executor_id]
        try:
            await self.poll(executor, client)
        except ExecutorSilent:
            self.state.metrics.count("cell.holds.unanswered")
            executor.unanswered_polls += 1
            self.mark_unresponsive(executor)
            await anyio.sleep(RETRY_PAUSE_S)
        except (ExecutorGone, StartRefused):
            if not self.proves_end(executor, client):
                await anyio.sleep(RETRY_PAUSE_S)
                return
            self.request_release(executor, "another incarnation answered")
            await anyio.sleep(LONG_POLL_S)
        except FenceRefused as error:
            raise OwnershipLost(
                f"executor {executor.executor_id} has accepted a higher fence number"
            ) from error
        except Exception as error:
            # An error on one executor must not stop the polls of the others.
            self.state.metrics.count("cell.looks.failed")
            log.error(
                "executor poll failed",
                executor=executor.executor_id,
                **describe_error(error),
            )
            self.mark_unresponsive(executor)
            await anyio.sleep(LONG_POLL_S)

    def proves_end(self, executor: ExecutorState, client: TaskExecutor) -> bool:
        """Return whether the answer of another incarnation shows that this one ended.

        It does not at an address that the executor has left, nor before this owner has
        read the entries: records of earlier builds may name such an address.
        """
        is_current = self.state.clients.get(executor.executor_id) is client
        return is_current and self.state.entries_read_at > float("-inf")

    def may_evict(self, executor: ExecutorState) -> bool:
        """Return whether an executor without a directory entry can be evicted."""
        if self.has_unreleased_attempts(executor):
            return False
        if self.state.is_lease_expired(executor):
            return True
        if executor.awaits_lapse:
            return False
        silent_s = self.state.clock() - executor.last_response_at
        return executor.first_response_at is not None and silent_s >= LONG_POLL_S * 2

    def evict(self, executor: ExecutorState) -> None:
        """Evict an executor and delete its record."""
        self.list_reader.release_all(executor, "executor has no directory entry")
        self.list_reader.orders.crashes.record_departure(executor)
        executor_id = executor.executor_id
        if self.state.fleet.get(executor_id) is executor:
            del self.state.fleet[executor_id]
            self.state.keep_late_starts(executor)
            self.close_client(executor_id)
            self.list_reader.orders.discard_slots(executor_id)
            self.state.enrolled.discard(executor_id)
            if self.state.authority.executors.may_be_recorded(executor_id):
                self.delete_record(executor_id)
        log.info("executor evicted: it has left", executor=executor_id)

    def close_client(self, executor_id: str) -> None:
        """Close the connections to an executor in a background task."""
        client = self.state.clients.pop(executor_id, None)
        if client is not None:
            self.state.group.start_soon(client.aclose)

    async def poll(self, executor: ExecutorState, client: TaskExecutor) -> None:
        """Extend the lease with one long poll and apply the lists in its answer."""
        self.list_reader.failures.release_withheld(executor)
        is_first_poll = executor.first_response_at is None
        has_unacknowledged_ends = (
            executor.acknowledgeable_end() < executor.last_seen_end
        )
        expects_immediate_answer = (
            is_first_poll or has_unacknowledged_ends or executor.is_unresponsive
        )
        long_poll_s = LONG_POLL_S if executor.runs else IDLE_LONG_POLL_S
        poll_duration_s = 0.0 if expects_immediate_answer else long_poll_s
        lease_until = None
        now = self.state.clock()
        if (
            not is_first_poll
            and not executor.is_unresponsive
            and not executor.awaits_lapse
            and self.state.authority.may_extend_leases(now)
        ):
            lease_until = executor.extend_lease(self.state.lease_ms(), now)
        requested_at = anyio.current_time()
        # After an unanswered poll another incarnation may answer, which numbers its
        # ends anew. An acknowledgement would make it discard ends that the owner has
        # not received.
        acknowledged_end = (
            0 if executor.is_unresponsive else executor.acknowledgeable_end()
        )
        time_limit_s = poll_duration_s + self.answer_limit_s(executor)
        with sending_for(Purpose.POLLS):
            task_lists = await client.hold(
                self.state.fence,
                acknowledged_end,
                lease_until,
                poll_duration_s,
                requested_at + time_limit_s,
            )
        executor.unanswered_polls = max(0, executor.unanswered_polls - 1)
        # An answer before the end of the poll says nothing about its way here.
        answer_s = anyio.current_time() - requested_at - poll_duration_s
        if answer_s >= 0:
            self.state.response_times.record(answer_s)
        self.list_reader.apply(executor, task_lists, requested_at)
        self.state.authority.executors.record_answer(
            executor.executor_id,
            now,
            self.state.clock(),
            not executor.is_unconfirmed,
        )
        await self.wait_until_durable(executor)
        if executor.awaits_lapse:
            await anyio.sleep(LONG_POLL_S)

    def answer_limit_s(self, executor: ExecutorState) -> float:
        """Return how long to wait for an answer that the executor does not delay.

        If attempts wait for the end of the lease, no longer than until then.
        """
        is_first_poll = executor.first_response_at is None
        shortest_s = FIRST_POLL_TIMEOUT_S if is_first_poll else LONG_POLL_MARGIN_S
        limit_s = min(shortest_s * 2**executor.unanswered_polls, MAX_POLL_MARGIN_S)
        if not executor.is_unresponsive or not self.has_unreleased_attempts(executor):
            return limit_s
        return min(limit_s, max(shortest_s, self.state.lease_remaining_s(executor)))

    async def wait_until_durable(self, executor: ExecutorState) -> None:
        """Wait for a limited time until the received ends are durable."""
        with anyio.move_on_after(DURABLE_TIMEOUT_S):
            while executor.last_durable_end < executor.last_seen_end:
                executor.ends_became_durable = anyio.Event()
                await executor.ends_became_durable.wait()
        executor.ends_became_durable = None
        if executor.last_durable_end < executor.last_seen_end:
            await anyio.sleep(NOT_DURABLE_PAUSE_S)

    def mark_unresponsive(self, executor: ExecutorState) -> None:
        """Stop extending the lease, and release the tasks if it has expired."""
        executor.unanswered_poll_at = self.state.clock()
        executor.is_unresponsive = True
        self.check_lease(executor)

    def check_lease(self, executor: ExecutorState) -> None:
        """Release the tasks of an unresponsive executor whose lease has expired."""
        if self.state.is_lease_expired(executor):
            self.request_release(executor, "lease has expired")

    def request_release(self, executor: ExecutorState, reason: str) -> None:
        """Release the tasks of an executor once the store confirms the owner.

        Another owner may have taken the tasks over and extended their lease. If the
        executor responds meanwhile, its task lists tell what has ended.
        """
        if executor.is_release_pending:
            return
        if not self.has_unreleased_attempts(executor):
            self.list_reader.release_all(executor, reason)
            return
        executor.is_release_pending = True
        requested_at = self.state.clock()

        def release() -> None:
            executor.is_release_pending = False
            if executor.last_response_at < requested_at:
                self.list_reader.release_all(executor, reason)

        self.state.authority.confirm(release)

    def has_unreleased_attempts(self, executor: ExecutorState) -> bool:
        """Return whether attempts are recorded, or may be, on an executor."""
        if executor.executor_id in self.state.unreconciled:
            return True
        return bool(executor.runs)
