"""In-process ports to the platform models, with injected faults."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gypsumring.exceptions import PortError
from gypsumring.ports.store import (
    PAGE_BYTES,
    Assignment,
    BacklogTooLarge,
    KeyedRecord,
    LogBatch,
    NewestPage,
    Producer,
    ReadProgress,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    PolicyBusy,
    PolicyUnavailable,
    TaskLists,
    TaskStart,
)
from stand_ins.platform.executor import ExecutorModel, Trouble
from stand_ins.platform.faults import Faults
from stand_ins.platform.links import Connections
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.store import StoreModel

__all__ = ["ENTRIES_TOPIC", "MemoryExecutor", "MemoryPolicy", "MemoryStore"]

NETWORK_LATENCY_S = 0.001
ENTRIES_TOPIC = "executors"
APPEND_LATENCY_S = 0.004
# The store accepts no larger records.
MAX_RECORD_BYTES = 262_144
# Sizes of requests and answers on the wire, with their headers, in bytes.
APPEND_BYTES, APPEND_RECORD_BYTES, APPENDED_BYTES = 200, 5, 150
JOIN_BYTES, JOINED_BYTES = 400, 150
READ_BYTES, READ_ANSWER_BYTES, READ_RECORD_BYTES = 200, 150, 30
# Newest records come in pages, in JSON: their values are in base64.
PAGE_RECORDS = 500
NEWEST_RECORD_BYTES, NEWEST_VALUE_FACTOR = 60, 1.4
START_BYTES, ORDER_BYTES, ORDER_ANSWER_BYTES = 300, 200, 150
POLL_BYTES, LISTS_BYTES, LISTED_BYTES = 200, 150, 60
ADVICE_BYTES, ADVICE_EXECUTOR_BYTES = 200, 12
ADVICE_ANSWER_BYTES, ADVICE_ROW_BYTES = 150, 60
# A request that arrives after the deadline of its caller is carried out all the same;
# the calls of the models then get this time.
LATE_CALL_S = 1.0


def extend_deadline(deadline: float) -> float:
    """Return the deadline of a request that may have arrived late."""
    return max(deadline, anyio.current_time() + LATE_CALL_S)


def measure_append(records: list[tuple[str, bytes]]) -> int:
    """Return the size of an append in bytes."""
    return APPEND_BYTES + sum(
        len(key) + len(value) + APPEND_RECORD_BYTES for key, value in records
    )


def measure_page(records: list[KeyedRecord]) -> float:
    """Return the size of a page of newest records in bytes."""
    return READ_ANSWER_BYTES + sum(
        NEWEST_RECORD_BYTES + NEWEST_VALUE_FACTOR * len(record.value)
        for record in records
    )


def measure_batch(batch: LogBatch) -> int:
    """Return the size of the records of one read in bytes."""
    return READ_ANSWER_BYTES + sum(
        READ_RECORD_BYTES + len(record.value) for record in batch.records
    )


def measure_lists(lists: TaskLists) -> int:
    """Return the size of the answer to a poll in bytes."""
    return LISTS_BYTES + LISTED_BYTES * (len(lists.running) + len(lists.ended))


def measure_advice(executor_ids: list[str]) -> int:
    """Return the size of a call to the policy service in bytes."""
    return ADVICE_BYTES + ADVICE_EXECUTOR_BYTES * len(executor_ids)


def measure_advice_answer(rows: list[tuple[str, str]]) -> int:
    """Return the size of an answer of the policy service in bytes."""
    return ADVICE_ANSWER_BYTES + ADVICE_ROW_BYTES * len(rows)


async def carry_out_late(faults: Faults, operation: Callable[[], Any]) -> None:
    """Carry out a call after the delay set in ``faults`` and discard the result."""
    await anyio.sleep(faults.random_source.uniform(*faults.late_s))
    try:
        operation()
    except PortError:
        pass


class MemoryStore:
    """Implementation of the port ``Store`` for one node, on a store model.

    With ``connections``, requests and answers pass over the link of the node.
    """

    __slots__ = ("connections", "entries_delay_s", "faults", "group", "model")

    def __init__(
        self,
        model: StoreModel,
        faults: Faults,
        group: anyio.abc.TaskGroup,
        connections: Connections | None = None,
    ):
        self.connections = connections
        self.model = model
        self.faults = faults
        self.entries_delay_s = 0.0
        # Delayed calls run in this task group, beyond the deadline of the caller.
        self.group = group

    async def exchange(
        self,
        size: float,
        operation: Callable[[float], Awaitable[Any]],
        measure_answer: Callable[[Any], float],
        deadline: float,
        progress: ReadProgress | None = None,
    ) -> Any:
        """Carry out an operation, which gets a deadline, over the link if there is one.

        Raise StoreUnavailable if the deadline has passed.
        """
        if self.connections is None:
            return await operation(deadline)
        try:
            return await self.connections.call(
                size,
                lambda: operation(extend_deadline(deadline)),
                measure_answer,
                deadline,
                progress,
            )
        except TimeoutError as error:
            raise StoreUnavailable("no answer in time") from error

    async def pass_faults(self, deadline: float) -> None:
        """Wait for the network latency; raise the error of an active fault."""
        if self.faults.store_refuses:
            await anyio.sleep(NETWORK_LATENCY_S)
            raise StoreRefused("refused")
        delay = NETWORK_LATENCY_S + self.faults.store_slow_s
        if self.faults.cuts_store() or anyio.current_time() + delay > deadline:
            await self.faults.wait_without_answer(deadline)
            raise StoreUnavailable("no answer")
        await anyio.sleep(delay)

    async def write(self, operation: Callable[[], Any], deadline: float) -> Any:
        """Carry out a write that may be delayed or whose answer may be lost."""
        await self.pass_faults(deadline)
        delivery = self.faults.draw()
        if delivery == "late":
            self.group.start_soon(carry_out_late, self.faults, operation)
        result = operation() if delivery != "late" else None
        if delivery != "answered":
            await self.faults.wait_without_answer(deadline)
            raise StoreUnavailable("answer lost")
        return result

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[tuple[str, bytes]],
        producer: Producer | None,
        deadline: float,
    ) -> int:
        """Append keyed records and return the end offset."""
        await anyio.sleep(APPEND_LATENCY_S)
        if any(len(key) + len(value) >= MAX_RECORD_BYTES for key, value in records):
            raise StoreUnavailable("append answered with status 400")
        producer_copy = None
        if producer is not None:
            producer_copy = Producer(producer.name, producer.epoch, producer.sequence)
        return await self.exchange(
            measure_append(records),
            lambda until: self.write(
                lambda: self.model.append(topic, partition, records, producer_copy),
                until,
            ),
            lambda end: APPENDED_BYTES,
            deadline,
        )

    async def newest(
        self,
        topic: str,
        partition: int,
        deadline: float,
        progress: ReadProgress | None = None,
        may_relay: bool = True,
    ) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key and the end offset before the read."""
        records, end = await self.exchange(
            READ_BYTES,
            lambda until: self.read_newest(topic, partition, until),
            lambda answer: measure_page(answer[0][:PAGE_RECORDS]),
            deadline,
            progress or ReadProgress(),
        )
        if self.connections is not None:
            for first in range(PAGE_RECORDS, len(records), PAGE_RECORDS):
                size = measure_page(records[first : first + PAGE_RECORDS])
                await self.exchange(
                    READ_BYTES,
                    self.pass_faults,
                    lambda _, size=size: size,
                    deadline,
                    progress or ReadProgress(),
                )
        return records, end

    async def read_newest(
        self, topic: str, partition: int, deadline: float
    ) -> tuple[list[KeyedRecord], int]:
        """Read the newest records at the store."""
        await self.pass_faults(deadline)
        if topic == ENTRIES_TOPIC:
            await anyio.sleep(self.entries_delay_s)
        return self.model.newest(topic, partition)

    async def read_newest_page(
        self,
        topic: str,
        partition: int,
        after_key: str,
        deadline: float,
        page_bytes: int = PAGE_BYTES,
    ) -> NewestPage:
        """Return one page of the newest records, from the keys after one on."""
        return await self.exchange(
            READ_BYTES,
            lambda until: self.read_page(topic, partition, after_key, until),
            lambda page: measure_page(page.records),
            deadline,
            ReadProgress(),
        )

    async def read_page(
        self, topic: str, partition: int, after_key: str, deadline: float
    ) -> NewestPage:
        """Read one page of the newest records at the store."""
        records, end_offset = await self.read_newest(topic, partition, deadline)
        rest = [record for record in records if record.key > after_key]
        rest.sort(key=lambda record: record.key)
        page = rest[:PAGE_RECORDS]
        next_key = page[-1].key if len(rest) > PAGE_RECORDS else None
        return NewestPage(end_offset, page, next_key)

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        deadline: float,
        progress: ReadProgress | None = None,
        max_backlog_bytes: int | None = None,
        may_relay: bool = True,
    ) -> LogBatch:
        """Return records; raise OffsetExpired or BacklogTooLarge."""

        async def read(until: float) -> LogBatch:
            batch = await self.read_when_changed(
                topic, partition, offset, wait_s, until
            )
            is_large = max_backlog_bytes is not None and (
                measure_batch(batch) > max_backlog_bytes
            )
            if is_large and len(batch.records) > 1:
                raise BacklogTooLarge(batch.end_offset)
            return batch

        return await self.exchange(
            READ_BYTES, read, measure_batch, deadline, progress or ReadProgress()
        )

    async def read_when_changed(
        self, topic: str, partition: int, offset: int, wait_s: float, deadline: float
    ) -> LogBatch:
        """Read records at the store, and wait for them until ``wait_s`` has passed."""
        await self.pass_faults(deadline)
        with anyio.move_on_after(wait_s):
            while not self.model.read(topic, partition, offset).records:
                await self.model.changed.wait()
        return self.model.read(topic, partition, offset)

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_s: float,
        generation: int,
        deadline: float,
    ) -> Assignment:
        """Join a group or renew the membership; acknowledge ``generation``."""

        async def join(until: float) -> Assignment:
            await self.pass_faults(until)
            return self.model.join(group, member, ttl_s, generation)

        return await self.exchange(
            JOIN_BYTES, join, lambda assignment: JOINED_BYTES, deadline
        )

    async def leave(self, group: str, member: str, deadline: float) -> None:
        """Leave a group."""

        async def leave(until: float) -> None:
            await self.pass_faults(until)
            self.model.leave(group, member)

        await self.exchange(JOIN_BYTES, leave, lambda _: JOINED_BYTES, deadline)

    async def owners(self, group: str, deadline: float) -> dict[int, str]:
        """Return the member that holds each partition."""

        async def list_owners(until: float) -> dict[int, str]:
            await self.pass_faults(until)
            return self.model.owners(group)

        return await self.exchange(
            READ_BYTES, list_owners, lambda owners: JOINED_BYTES, deadline
        )


class MemoryExecutor:
    """Implementation of the port ``TaskExecutor`` for one node.

    With ``connections``, orders and answers pass over the link of the node.
    """

    __slots__ = ("closed", "connections", "faults", "group", "is_at_address", "model")

    def __init__(
        self,
        model: ExecutorModel,
        faults: Faults,
        group: anyio.abc.TaskGroup,
        is_at_address: Callable[[], bool] = lambda: True,
        connections: Connections | None = None,
    ):
        self.connections = connections
        self.model = model
        self.faults = faults
        self.group = group
        self.closed = False
        # Returns whether the executor itself answers at the address of this client,
        # and no other executor does.
        self.is_at_address = is_at_address

    async def exchange(
        self,
        size: float,
        operation: Callable[[float], Awaitable[Any]],
        deadline: float,
        measure_answer: Callable[[Any], float] = lambda _: ORDER_ANSWER_BYTES,
    ) -> Any:
        """Carry out an operation, which gets a deadline, over the link if there is one.

        Raise ExecutorSilent if the deadline has passed.
        """
        if self.connections is None:
            return await operation(deadline)
        try:
            return await self.connections.call(
                size,
                lambda: operation(extend_deadline(deadline)),
                measure_answer,
                deadline,
            )
        except TimeoutError as error:
            raise ExecutorSilent(self.model.executor_id) from error

    async def order(
        self,
        operation: Callable[[], Any],
        deadline: float,
        trouble: Trouble = Trouble.ORDERS,
    ) -> Any:
        """Carry out an order that may be delayed or whose answer may be lost.

        An executor with the fault ``trouble`` carries the order out late and does
        not answer.
        """
        if not self.is_at_address():
            await anyio.sleep(NETWORK_LATENCY_S)
            raise ExecutorGone(self.model.executor_id)
        cut = self.faults.cuts_executor(self.model.executor_id)
        if cut or self.model.trouble is Trouble.SILENT or not self.model.is_up:
            await self.faults.wait_without_answer(deadline)
            raise ExecutorSilent(self.model.executor_id)
        await anyio.sleep(NETWORK_LATENCY_S)
        if not self.model.is_up:
            raise ExecutorGone(self.model.executor_id)
        delivery = "late" if self.model.trouble is trouble else self.faults.draw()
        if delivery == "late":
            delayed_operation = self.bind_to_incarnation(operation)
            self.group.start_soon(carry_out_late, self.faults, delayed_operation)
        result = operation() if delivery != "late" else None
        # An executor that the operation has crashed does not answer.
        if delivery != "answered" or not self.model.is_up:
            await self.faults.wait_without_answer(deadline)
            raise ExecutorSilent(self.model.executor_id)
        await anyio.sleep(NETWORK_LATENCY_S)
        return result

    def bind_to_incarnation(self, operation: Callable[[], Any]) -> Callable[[], None]:
        """Return a late order that an unannounced new incarnation ignores.

        Until a new incarnation has accepted its first call, no owner can detect it
        and block late orders that were meant for the previous incarnation.
        """
        born_ms = self.model.born_ms

        def carry_out() -> None:
            if self.model.born_ms == born_ms or self.model.fence:
                operation()

        return carry_out

    async def start(self, start: TaskStart, fence: int, deadline: float) -> int:
        """Start an attempt unless it already runs; raise StartRefused."""
        sent_at = anyio.current_time()
        return await self.exchange(
            START_BYTES + len(start.payload) + len(start.checkpoint),
            lambda until: self.order(
                lambda: self.model.start(start, fence, sent_at), until
            ),
            deadline,
        )

    async def stop(self, task: str, attempt: int, fence: int, deadline: float) -> int:
        """Stop an attempt and block late starts of it."""
        return await self.exchange(
            ORDER_BYTES,
            lambda until: self.order(
                lambda: self.model.stop(task, attempt, fence), until
            ),
            deadline,
        )

    async def pace(
        self, task: str, attempt: int, percent: int, fence: int, deadline: float
    ) -> int:
        """Set the speed of a filling task, 0 to 100 percent."""
        return await self.exchange(
            ORDER_BYTES,
            lambda until: self.order(
                lambda: self.model.pace(task, percent, fence), until
            ),
            deadline,
        )

    async def hold(
        self,
        fence: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        deadline: float,
    ) -> TaskLists:
        """Extend the lease, discard ends up to ``last_seen`` and return the task lists.

        This is a long poll: it waits up to ``wait_s`` for an end to report.
        """
        return await self.exchange(
            POLL_BYTES,
            lambda until: self.poll(fence, last_seen, lease_until_ms, wait_s, until),
            deadline,
            measure_lists,
        )

    async def poll(
        self,
        fence: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        deadline: float,
    ) -> TaskLists:
        """Carry out a long poll at the executor."""
        await self.order(
            lambda: self.model.hold(fence, last_seen, lease_until_ms),
            deadline,
            Trouble.HOLDS,
        )
        until = min(anyio.current_time() + wait_s, deadline - NETWORK_LATENCY_S * 2)
        while not self.model.ended and anyio.current_time() < until:
            pause = min(self.model.next_change_s(), until - anyio.current_time())
            with anyio.move_on_after(max(0.001, pause)):
                await self.model.changed.wait()
            self.model.advance()
        if not self.model.is_up:
            await self.faults.wait_without_answer(deadline)
            raise ExecutorSilent(self.model.executor_id)
        return self.model.lists()

    async def aclose(self) -> None:
        """Record that the client needs no connections any more."""
        self.closed = True


class MemoryPolicy:
    """Policy service for one node; handles one call at a time.

    With ``connections``, calls and answers pass over the link of the node.
    """

    __slots__ = ("connections", "faults", "lock", "model")

    def __init__(
        self,
        model: PolicyModel,
        faults: Faults,
        connections: Connections | None = None,
    ):
        self.connections = connections
        self.model = model
        self.faults = faults
        self.lock = anyio.Lock()

    async def advise(
        self, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Return the id and the ticket of each executor that may run the step."""
        if self.connections is None:
            return await self.query(step, executor_ids, deadline)
        try:
            return await self.connections.call(
                measure_advice(executor_ids),
                lambda: self.query(step, executor_ids, extend_deadline(deadline)),
                measure_advice_answer,
                deadline,
            )
        except TimeoutError as error:
            raise PolicyUnavailable("no answer in time") from error

    async def query(
        self, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Query the policy service once it has handled earlier calls."""
        if self.faults.policy_busy:
            raise PolicyBusy("too many calls wait")
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            async with self.lock:
                rows = await self.model.advise(step, executor_ids)
            await anyio.sleep(self.faults.advice_late_s)
            if self.faults.random_source.random() >= self.faults.advice_lost_share:
                return rows
            await self.faults.wait_without_answer(deadline)
        raise PolicyUnavailable("no answer in time")
