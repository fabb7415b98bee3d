"""Group commit of a cell's records to the platform's store."""

from collections.abc import Callable

import anyio

from gypsumring.cell.exceptions import Deposed
from gypsumring.ports.store import (
    AppendFenced,
    Producer,
    SequenceMismatch,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.utils.logs import EventLogger

__all__ = ["Journal"]

log = EventLogger("journal")

MAX_BATCH_BYTES = 512 * 1024
# Records that nobody waits for are appended together within this time.
BATCH_DELAY_S = 0.05
# A copy of an append is sent after this many times the usual time without an answer.
COPY_INTERVAL_FACTOR = 4.0
COPY_INTERVAL_GROWTH = 1.25
MIN_COPY_INTERVAL_S = 0.03
MAX_COPY_INTERVAL_S = 0.5
# So many copies wait for an answer at once, each for this time.
MAX_COPIES = 10
COPY_TIMEOUT_S = 2.0
MAX_REFUSED_PAUSE_S = 0.4


class PendingRecord:
    """Hold one record that waits to become durable."""

    __slots__ = ("callbacks", "key", "value")

    def __init__(self, key: str, value: bytes, on_durable: Callable[[], None] | None):
        self.key = key
        self.value = value
        self.callbacks: list[Callable[[], None]] = []
        self.call_when_durable(on_durable)

    def call_when_durable(self, on_durable: Callable[[], None] | None) -> None:
        """Add a callback."""
        if on_durable is not None:
            self.callbacks.append(on_durable)


class AppendAttempt:
    """Track the copies of one append until one is answered."""

    __slots__ = (
        "answered_at",
        "copies",
        "error",
        "answer_received",
        "latency_s",
        "was_refused",
    )

    def __init__(self):
        self.answered_at: float | None = None
        self.latency_s = 0.0
        self.copies = 0
        self.error: Deposed | None = None
        self.was_refused = False
        self.answer_received = anyio.Event()


class Journal:
    """Append records in order, many in one call.

    One append is in flight at a time, in as many copies with the same sequence number
    as it takes to get an answer, so that no record is written twice or lost.
    """

    __slots__ = (
        "appended",
        "answered_at",
        "next_append_at",
        "epoch",
        "unanswered_since",
        "in_flight",
        "partition",
        "producer",
        "queue",
        "sequence",
        "store",
        "topic",
        "average_latency_s",
        "wake",
    )

    def __init__(
        self, store: Store, topic: str, partition: int, producer: str, epoch: int
    ):
        self.store = store
        self.topic = topic
        self.partition = partition
        self.producer = producer
        self.epoch = epoch
        self.sequence = 0
        # Records to append, by key.
        self.queue: dict[str, PendingRecord] = {}
        # When the next append begins at the latest.
        self.next_append_at = float("inf")
        self.in_flight: list[PendingRecord] = []
        self.wake = anyio.Event()
        self.average_latency_s = MIN_COPY_INTERVAL_S / COPY_INTERVAL_FACTOR
        self.appended = 0
        self.answered_at = anyio.current_time()
        self.unanswered_since: float | None = None

    def put(
        self,
        key: str,
        value: bytes,
        on_durable: Callable[[], None] | None = None,
        urgent: bool = True,
    ) -> None:
        """Queue a record; ``on_durable`` is called once it is in the store.

        A newer record of a key takes the place of one that is still queued. Records
        that nobody waits for are gathered for a while unless they are ``urgent``.
        """
        now = anyio.current_time()
        self.next_append_at = min(
            self.next_append_at, now if urgent else now + BATCH_DELAY_S
        )
        queued = self.queue.get(key)
        if queued is None:
            self.queue[key] = PendingRecord(key, value, on_durable)
        else:
            queued.value = value
            queued.call_when_durable(on_durable)
        self.wake.set()

    def call_when_all_durable(self, on_durable: Callable[[], None]) -> None:
        """Call back once all records put so far are in the store."""
        if not self.queue and not self.in_flight:
            on_durable()
            return
        entries = list(self.queue.values()) or self.in_flight
        entries[-1].call_when_durable(on_durable)

    def unanswered_s(self) -> float:
        """Return for how long the store has not answered the append in flight."""
        if self.unanswered_since is None:
            return 0.0
        return anyio.current_time() - self.unanswered_since

    async def open(self, key: str, value: bytes) -> None:
        """Fence earlier producers with a record; raise Deposed if a later one is there.

        An append without records would leave open which sequence number comes next.
        """
        await self.append([(key, value)])

    async def run(self) -> None:
        """Write queued records until cancelled; raise Deposed."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.queue:
                await self.wait_for_batch()
                self.in_flight = self.take_batch()
                await self.append(
                    [(entry.key, entry.value) for entry in self.in_flight]
                )
                self.appended += len(self.in_flight)
                durable_entries, self.in_flight = self.in_flight, []
                for entry in durable_entries:
                    for on_durable in entry.callbacks:
                        on_durable()

    async def wait_for_batch(self) -> None:
        """Wait for more records unless one is urgent."""
        while (now := anyio.current_time()) < self.next_append_at:
            with anyio.move_on_after(self.next_append_at - now):
                await self.wake.wait()
            self.wake = anyio.Event()

    def take_batch(self) -> list[PendingRecord]:
        """Remove the records of the next append from the queue."""
        size = 0
        batch: list[PendingRecord] = []
        for entry in self.queue.values():
            size += len(entry.value) + len(entry.key) + 5
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        for entry in batch:
            del self.queue[entry.key]
        if not self.queue:
            self.next_append_at = float("inf")
        return batch

    async def append(self, records: list[tuple[str, bytes]]) -> None:
        """Append until the store has answered; raise Deposed when fenced.

        Copies of the append are sent while no answer arrives; they carry the same
        sequence number, so that the store carries out one of them.
        """
        attempt = AppendAttempt()
        began_at = anyio.current_time()
        interval_s = max(
            MIN_COPY_INTERVAL_S, self.average_latency_s * COPY_INTERVAL_FACTOR
        )
        async with anyio.create_task_group() as group:
            while attempt.answered_at is None:
                if anyio.current_time() > began_at:
                    self.unanswered_since = self.unanswered_since or began_at
                attempt.answer_received = anyio.Event()
                if attempt.copies < MAX_COPIES:
                    group.start_soon(self.send_copy, attempt, records)
                with anyio.move_on_after(interval_s):
                    await attempt.answer_received.wait()
                if attempt.was_refused:
                    attempt.was_refused = False
                    await anyio.sleep(min(interval_s, MAX_REFUSED_PAUSE_S))
                interval_s = min(interval_s * COPY_INTERVAL_GROWTH, MAX_COPY_INTERVAL_S)
            group.cancel_scope.cancel()
        if attempt.error is not None:
            raise attempt.error
        self.average_latency_s += 0.2 * (attempt.latency_s - self.average_latency_s)
        self.answered_at = attempt.answered_at
        self.unanswered_since = None
        self.sequence += 1

    async def send_copy(
        self, attempt: "AppendAttempt", records: list[tuple[str, bytes]]
    ) -> None:
        """Send one copy of an append and note how that ended."""
        attempt.copies += 1
        sent_at = anyio.current_time()
        try:
            producer = Producer(self.producer, self.epoch, self.sequence)
            await self.store.append(
                self.topic, self.partition, records, producer, sent_at + COPY_TIMEOUT_S
            )
        except AppendFenced as error:
            attempt.error = Deposed(str(error))
        except SequenceMismatch as error:
            attempt.error = Deposed(f"sequence lost: {error}")
        except StoreRefused:
            attempt.was_refused = True
            attempt.answer_received.set()
            return
        except StoreUnavailable as error:
            log.debug("append not answered", error=str(error))
            return
        finally:
            attempt.copies -= 1
        attempt.answered_at = anyio.current_time()
        attempt.latency_s = attempt.answered_at - sent_at
        attempt.answer_received.set()
