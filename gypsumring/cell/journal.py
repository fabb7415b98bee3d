"""Group commit of a cell's records to the platform's store."""

from collections.abc import Callable

import anyio

from gypsumring.cell.exceptions import OwnershipLost
from gypsumring.ports.store import (
    AppendFenced,
    Producer,
    SequenceMismatch,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.transport import LinkTraffic, Purpose, sending_for
from gypsumring.utils.clock import Clock
from gypsumring.utils.logs import EventLogger

__all__ = ["Journal"]

log = EventLogger("journal")

MAX_BATCH_BYTES = 512 * 1024
# An append takes the link of the machine for at most about the first time, so that
# other messages do not wait for long behind it, unless one record takes longer. One
# append is in flight at a time: if the store is slow it may take up to the second time.
MAX_BATCH_TRANSFER_S = 0.05
MAX_SLOW_BATCH_TRANSFER_S = 0.25
# Stores take records of 256 KB. A larger one would be repeated before all others.
MAX_RECORD_BYTES = 256 * 1024
# Bytes of a record beside its key and value.
RECORD_OVERHEAD_BYTES = 5
# Bytes of a stored record, as it is read, beside its key and value, and of the value.
READ_OVERHEAD_BYTES = 50
READ_VALUE_FACTOR = 4 / 3
# Records that are not urgent are batched for at most this time.
BATCH_DELAY_S = 0.05
# Another copy of an append is sent if the store does not answer within the average
# latency times this factor, but not before the first copy can have been carried by the
# link twice.
COPY_INTERVAL_FACTOR = 4.0
COPY_INTERVAL_GROWTH = 1.25
MIN_COPY_INTERVAL_S = 0.03
MAX_COPY_INTERVAL_S = 0.15
# At most this many copies of an append are in flight, each for at most COPY_TIMEOUT_S.
MAX_COPIES = 16
COPY_TIMEOUT_S = 2.0
COPY_TRANSFERS = 2
MAX_REFUSED_PAUSE_S = 0.1


class PendingRecord:
    """Record that has been queued and is not durable yet."""

    __slots__ = ("callbacks", "key", "later_callbacks", "replaced", "value")

    def __init__(self, key: str, value: bytes, on_durable: Callable[[], None] | None):
        self.key = key
        self.value = value
        self.callbacks: list[Callable[[], None]] = []
        # Callbacks that wait for all records up to this one.
        self.later_callbacks: list[Callable[[], None]] = []
        # The queued value that this one has replaced, and the number of its callbacks.
        self.replaced: tuple[bytes, int] | None = None
        self.call_when_durable(on_durable)

    def replace(self, value: bytes, on_durable: Callable[[], None] | None) -> None:
        """Replace the value; the callbacks of the earlier one are called with it."""
        self.replaced = self.value, len(self.callbacks)
        self.value = value
        self.call_when_durable(on_durable)

    def restore(self) -> bool:
        """Return to the value that was replaced, if there is one."""
        if self.replaced is None:
            return False
        self.value, callback_count = self.replaced
        self.replaced = None
        del self.callbacks[callback_count:]
        return True

    def call_when_durable(self, on_durable: Callable[[], None] | None) -> None:
        """Call ``on_durable``, if given, once the record is durable."""
        if on_durable is not None:
            self.callbacks.append(on_durable)


class AppendAttempt:
    """State of one append, of which several copies may be in flight."""

    __slots__ = (
        "answered_at",
        "copies",
        "error",
        "answer_received",
        "latency_s",
        "was_refused",
        "was_sent",
    )

    def __init__(self):
        self.answered_at: float | None = None
        self.latency_s = 0.0
        self.copies = 0
        self.error: OwnershipLost | None = None
        self.was_refused = False
        # Whether the first copy has been sent.
        self.was_sent = False
        self.answer_received = anyio.Event()


class Journal:
    """Writer of records in order, with several records in one append.

    One append is in flight at a time. Copies of it with the same sequence number are
    sent until one is answered, so that no record is written twice or lost.
    """

    __slots__ = (
        "appended",
        "answered_at",
        "clock",
        "confirmed_at",
        "next_append_at",
        "epoch",
        "unanswered_since",
        "in_flight",
        "partition",
        "producer",
        "queue",
        "sequence",
        "store",
        "stored_bytes",
        "stored_sizes",
        "topic",
        "traffic",
        "average_latency_s",
        "wake",
    )

    def __init__(
        self,
        store: Store,
        topic: str,
        partition: int,
        producer: str,
        epoch: int,
        clock: Clock = anyio.current_time,
        traffic: LinkTraffic | None = None,
    ):
        self.traffic = traffic or LinkTraffic()
        self.store = store
        self.topic = topic
        self.partition = partition
        self.producer = producer
        self.epoch = epoch
        self.sequence = 0
        # Queued records by key.
        self.queue: dict[str, PendingRecord] = {}
        # Time by which the next append must begin.
        self.next_append_at = float("inf")
        self.in_flight: list[PendingRecord] = []
        self.wake = anyio.Event()
        self.average_latency_s = MIN_COPY_INTERVAL_S / COPY_INTERVAL_FACTOR
        # Bytes of the newest records as a later owner reads them, by key, and in all.
        self.stored_sizes: dict[str, int] = {}
        self.stored_bytes = 0
        self.appended = 0
        self.answered_at = anyio.current_time()
        self.unanswered_since: float | None = None
        self.clock = clock
        # When the newest executed append was sent, in ``clock`` time: no later producer
        # had fenced the log before. The answer to a repeated append does not show that
        # for the time of the repetition.
        self.confirmed_at = float("-inf")

    def put(
        self,
        key: str,
        value: bytes,
        on_durable: Callable[[], None] | None = None,
        urgent: bool = True,
    ) -> None:
        """Queue a record; ``on_durable`` is called once it is in the store.

        A new record replaces a queued record with the same key. Records that are not
        ``urgent`` are batched for up to BATCH_DELAY_S. A record that is too large for
        the store is not written, and never durable.
        """
        size = record_bytes(key, value)
        if size > MAX_RECORD_BYTES:
            log.error("record is too large for the store", key=key, size=size)
            return
        now = anyio.current_time()
        self.next_append_at = min(
            self.next_append_at, now if urgent else now + BATCH_DELAY_S
        )
        queued = self.queue.get(key)
        if queued is None:
            self.queue[key] = PendingRecord(key, value, on_durable)
        else:
            queued.replace(value, on_durable)
        self.wake.set()

    def call_when_all_durable(self, on_durable: Callable[[], None]) -> None:
        """Call ``on_durable`` once all records that were put so far are durable."""
        if not self.queue and not self.in_flight:
            on_durable()
            return
        entries = list(self.queue.values()) or self.in_flight
        entries[-1].later_callbacks.append(on_durable)

    def withdraw(self, key: str) -> bool:
        """Remove a queued record and return True, or False if it was sent already.

        A removed record is never written, and the callbacks of its ``put`` are dropped.
        A queued record that it had replaced takes its place again.
        """
        entry = self.queue.get(key)
        if entry is None:
            return False
        if entry.restore():
            return True
        del self.queue[key]
        if not self.queue:
            self.next_append_at = float("inf")
        for on_durable in entry.later_callbacks:
            self.call_when_all_durable(on_durable)
        return True

    def unanswered_s(self) -> float:
        """Return how long the append in flight has been unanswered, in seconds."""
        if self.unanswered_since is None:
            return 0.0
        return anyio.current_time() - self.unanswered_since

    async def open(self, key: str, value: bytes) -> None:
        """Fence earlier producers with a record; raise ``OwnershipLost`` if fenced.

        The append must contain a record, since an empty one would leave the next
        sequence number undetermined.
        """
        await self.append([(key, value)])

    async def run(self) -> None:
        """Append queued records until cancelled; raise ``OwnershipLost`` if fenced."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.queue:
                await self.wait_for_batch()
                self.in_flight = self.take_batch()
                if not self.in_flight:
                    # All records were withdrawn; an empty append is not allowed.
                    break
                await self.append(
                    [(entry.key, entry.value) for entry in self.in_flight]
                )
                self.appended += len(self.in_flight)
                durable_entries, self.in_flight = self.in_flight, []
                for entry in durable_entries:
                    self.record_stored(entry.key, entry.value)
                for entry in durable_entries:
                    for on_durable in entry.callbacks + entry.later_callbacks:
                        on_durable()

    def record_stored(self, key: str, value: bytes) -> None:
        """Record the size of the newest record of a key, which an empty one deletes."""
        self.stored_bytes -= self.stored_sizes.pop(key, 0)
        if value:
            size = round(READ_VALUE_FACTOR * len(value)) + READ_OVERHEAD_BYTES
            self.stored_sizes[key] = size + len(key)
            self.stored_bytes += size + len(key)

    def read_s(self) -> float:
        """Return how long the link of such a machine takes for all stored records."""
        return self.stored_bytes / self.traffic.bytes_per_s

    async def wait_for_batch(self) -> None:
        """Wait for more records until the next append is due."""
        while self.queue and (now := anyio.current_time()) < self.next_append_at:
            with anyio.move_on_after(self.next_append_at - now):
                await self.wake.wait()
            self.wake = anyio.Event()

    def take_batch(self) -> list[PendingRecord]:
        """Remove the records of the next append from the queue."""
        size = 0
        transfer_s = min(
            max(MAX_BATCH_TRANSFER_S, self.average_latency_s), MAX_SLOW_BATCH_TRANSFER_S
        )
        max_bytes = min(MAX_BATCH_BYTES, transfer_s * self.traffic.bytes_per_s)
        batch: list[PendingRecord] = []
        for entry in self.queue.values():
            size += record_bytes(entry.key, entry.value)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        for entry in batch:
            del self.queue[entry.key]
        if not self.queue:
            self.next_append_at = float("inf")
        return batch

    async def append(self, records: list[tuple[str, bytes]]) -> None:
        """Append records, waiting for an answer; raise ``OwnershipLost`` when fenced.

        Copies of the append are sent until one is answered. They have the same sequence
        number, so that the store executes only one of them. While the link is full, the
        next copy waits.
        """
        attempt = AppendAttempt()
        began_at = anyio.current_time()
        sent_at = self.clock()
        size = sum(record_bytes(key, value) for key, value in records)
        # A copy is given up after its time limit, whatever was sent before it.
        shortest_s = min(COPY_TRANSFERS * self.traffic.send_s(size), COPY_TIMEOUT_S)
        interval_s = max(
            MIN_COPY_INTERVAL_S,
            shortest_s,
            self.average_latency_s * COPY_INTERVAL_FACTOR,
        )
        async with anyio.create_task_group() as group:
            while attempt.answered_at is None:
                if anyio.current_time() > began_at:
                    self.unanswered_since = self.unanswered_since or began_at
                attempt.answer_received = anyio.Event()
                if attempt.copies < MAX_COPIES and (
                    not attempt.was_sent or self.traffic.spend_repeat(size)
                ):
                    group.start_soon(self.send_copy, attempt, records, size)
                with anyio.move_on_after(interval_s):
                    await attempt.answer_received.wait()
                if attempt.was_refused:
                    attempt.was_refused = False
                    await anyio.sleep(min(interval_s, MAX_REFUSED_PAUSE_S))
                interval_s = max(
                    shortest_s,
                    min(interval_s * COPY_INTERVAL_GROWTH, MAX_COPY_INTERVAL_S),
                )
            group.cancel_scope.cancel()
        if attempt.error is not None:
            raise attempt.error
        self.average_latency_s += 0.2 * (attempt.latency_s - self.average_latency_s)
        self.answered_at = attempt.answered_at
        self.confirmed_at = sent_at
        self.unanswered_since = None
        self.sequence += 1

    async def send_copy(
        self, attempt: "AppendAttempt", records: list[tuple[str, bytes]], size: int
    ) -> None:
        """Send one copy of an append and record its outcome."""
        attempt.copies += 1
        is_first, attempt.was_sent = not attempt.was_sent, True
        sent_at = anyio.current_time()
        try:
            producer = Producer(self.producer, self.epoch, self.sequence)
            with sending_for(Purpose.RECORDS if is_first else Purpose.RECORDS_REPEATED):
                await self.store.append(
                    self.topic,
                    self.partition,
                    records,
                    producer,
                    sent_at + COPY_TIMEOUT_S,
                )
        except AppendFenced as error:
            attempt.error = OwnershipLost(str(error))
        except SequenceMismatch as error:
            attempt.error = OwnershipLost(
                f"sequence number refused by the store: {error}"
            )
        except StoreRefused:
            attempt.was_refused = True
            attempt.answer_received.set()
            if not is_first:
                self.traffic.refund_repeat(size)
            return
        except StoreUnavailable as error:
            log.debug("store did not answer a copy of an append", error=str(error))
            return
        finally:
            attempt.copies -= 1
        attempt.answered_at = anyio.current_time()
        attempt.latency_s = attempt.answered_at - sent_at
        attempt.answer_received.set()


def record_bytes(key: str, value: bytes) -> int:
    """Return the size of a record in an append."""
    return len(key) + len(value) + RECORD_OVERHEAD_BYTES
