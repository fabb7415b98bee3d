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
# An append that takes this many times the usual time is sent again.
TIMEOUT_FACTOR = 5.0
MIN_TIMEOUT_S = 0.06
MAX_TIMEOUT_S = 2.0
REFUSED_PAUSE_S = 0.05
MAX_REFUSED_PAUSE_S = 0.4


class Entry:
    """Hold one record that waits to become durable."""

    __slots__ = ("key", "on_durable", "value")

    def __init__(self, key: str, value: bytes, on_durable: Callable[[], None] | None):
        self.key = key
        self.value = value
        self.on_durable = on_durable


class Journal:
    """Append records in order, many in one call.

    One append is in flight at a time. It is repeated with the same sequence number
    until the store answers, so that no record is written twice or lost.
    """

    __slots__ = (
        "appended",
        "answered_at",
        "epoch",
        "failing_since",
        "in_flight",
        "partition",
        "producer",
        "queue",
        "sequence",
        "store",
        "topic",
        "usual_s",
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
        self.queue: list[Entry] = []
        self.in_flight: list[Entry] = []
        self.wake = anyio.Event()
        self.usual_s = MIN_TIMEOUT_S / TIMEOUT_FACTOR
        self.appended = 0
        self.answered_at = anyio.current_time()
        self.failing_since: float | None = None

    def put(
        self, key: str, value: bytes, on_durable: Callable[[], None] | None = None
    ) -> None:
        """Queue a record; ``on_durable`` is called once it is in the store."""
        self.queue.append(Entry(key, value, on_durable))
        self.wake.set()

    def after_all(self, on_durable: Callable[[], None]) -> None:
        """Call back once all records put so far are in the store."""
        if not self.queue and not self.in_flight:
            on_durable()
            return
        last = self.queue[-1] if self.queue else self.in_flight[-1]
        earlier = last.on_durable

        def run_both() -> None:
            if earlier is not None:
                earlier()
            on_durable()

        last.on_durable = run_both

    def unanswered_s(self) -> float:
        """Return for how long the store has not answered the append in flight."""
        if self.failing_since is None:
            return 0.0
        return anyio.current_time() - self.failing_since

    async def open(self) -> None:
        """Fence earlier producers; raise Deposed if a later one is there."""
        await self.append([])

    async def run(self) -> None:
        """Write queued records until cancelled; raise Deposed."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.queue:
                self.in_flight = self.take_batch()
                await self.append([(each.key, each.value) for each in self.in_flight])
                self.appended += len(self.in_flight)
                done, self.in_flight = self.in_flight, []
                for entry in done:
                    if entry.on_durable is not None:
                        entry.on_durable()

    def take_batch(self) -> list[Entry]:
        """Remove the records of the next append from the queue."""
        size = 0
        count = 0
        for entry in self.queue:
            size += len(entry.value) + len(entry.key) + 5
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch, self.queue = self.queue[:count], self.queue[count:]
        return batch

    async def append(self, records: list[tuple[str, bytes]]) -> None:
        """Append until the store has answered; raise Deposed when fenced."""
        pause = REFUSED_PAUSE_S
        timeout = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, self.usual_s * TIMEOUT_FACTOR))
        first_sent = anyio.current_time()
        while True:
            producer = Producer(self.producer, self.epoch, self.sequence)
            sent = anyio.current_time()
            try:
                await self.store.append(
                    self.topic, self.partition, records, producer, sent + timeout
                )
            except AppendFenced as error:
                raise Deposed(str(error)) from error
            except SequenceMismatch as error:
                if self.sequence > 1:
                    raise Deposed(f"sequence lost: {error}") from error
                self.sequence = error.expected
                continue
            except StoreRefused:
                self.failing_since = self.failing_since or first_sent
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_REFUSED_PAUSE_S)
                continue
            except StoreUnavailable:
                self.failing_since = self.failing_since or first_sent
                timeout = min(timeout * 2, MAX_TIMEOUT_S)
                continue
            now = anyio.current_time()
            self.usual_s += 0.2 * (now - sent - self.usual_s)
            self.answered_at = now
            self.failing_since = None
            self.sequence += 1
            return
