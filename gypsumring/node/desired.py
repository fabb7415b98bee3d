"""Watch the operator's desired state in the store."""

from collections.abc import Callable

import anyio

from gypsumring.accounts import KeyRing
from gypsumring.exceptions import GypsumringError
from gypsumring.metrics import Metrics
from gypsumring.node.version_copies import VersionCopies
from gypsumring.pipelines import DesiredState
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    BacklogTooLarge,
    KeyedRecord,
    ReadProgress,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.transport import Purpose, ResponseTimes, sending_for
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["DesiredStateWatch"]

log = EventLogger("desired")

# The store delays its response by up to this time while there is nothing new.
LONG_POLL_S = 1.0
# A response is overdue after a time between these, beside that delay, according to how
# long the store takes to answer.
SHORTEST_ANSWER_S = 0.4
LONGEST_ANSWER_S = 2.0
RETRY_DELAY_S = 0.15
# Of several versions only the newest is read, unless all are no larger than this.
MAX_BACKLOG_BYTES = 64_000


class DesiredStateWatch:
    """Latest desired state; a version replaces only an older one."""

    __slots__ = (
        "abandoned_bytes",
        "abandoned_reads",
        "checked_at",
        "copies",
        "current",
        "decode",
        "key",
        "key_ring",
        "metrics",
        "offset",
        "progress",
        "store",
        "response_times",
        "topic",
    )

    def __init__(
        self,
        store: Store,
        topic: str,
        key: str,
        decode: Callable[[bytes], DesiredState],
        metrics: Metrics | None = None,
    ):
        self.metrics = metrics or Metrics()
        self.store = store
        self.topic = topic
        self.key = key
        self.decode = decode
        self.current: DesiredState | None = None
        # Keys of the client accounts of the current version.
        self.key_ring = KeyRing(())
        self.offset: int | None = None
        # Reads that were given up since the last one that arrived, and their bytes.
        self.abandoned_reads = 0
        self.abandoned_bytes = 0
        self.response_times = ResponseTimes()
        # The read in flight, or the last one.
        self.progress = ReadProgress()
        self.copies = VersionCopies()
        # When the last read was sent that showed the end of the topic.
        self.checked_at = float("-inf")

    def get(self) -> DesiredState | None:
        """Return the desired state in force, or None before the first read."""
        return self.current

    def version(self) -> int:
        """Return the version in force, 0 before the first read."""
        return 0 if self.current is None else self.current.version

    @property
    def received_at(self) -> float:
        """Return when bytes of the read in flight have arrived last."""
        return self.progress.received_at

    async def run(self) -> None:
        """Read the topic until cancelled, retrying on store errors."""
        dependency = DependencyLogger(log, "desired state")
        while True:
            try:
                await self.read_next()
            except (StoreUnavailable, StoreRefused) as error:
                dependency.note_failure(error)
                await anyio.sleep(RETRY_DELAY_S)
            else:
                dependency.note_success()

    async def read_next(self) -> None:
        """Read the latest version first, then wait for the next records."""
        began_at = anyio.current_time()
        self.progress = progress = ReadProgress()
        try:
            with sending_for(Purpose.ENTRIES):
                records = await self.read_records(progress)
        except (StoreUnavailable, StoreRefused) as error:
            self.record_abandoned(progress)
            if isinstance(error, StoreUnavailable) and not progress.received_bytes:
                self.response_times.record(self.answer_s())
            raise
        for record in records:
            if record.key == self.key and record.value:
                read_s = anyio.current_time() - began_at
                self.apply(record.value, record.offset + 1, read_s)

    def record_abandoned(self, progress: ReadProgress) -> None:
        """Record a read that was given up, and what had arrived of it."""
        self.abandoned_reads += 1
        self.abandoned_bytes += progress.received_bytes
        self.metrics.count("desired.abandoned_reads")
        self.metrics.count("desired.abandoned_bytes", progress.received_bytes)

    def unchecked_s(self) -> float:
        """Return for how long no read has shown that the version is the newest."""
        return anyio.current_time() - self.checked_at

    def answer_s(self) -> float:
        """Return how long the store may take to begin a response, without its delay."""
        return self.response_times.timeout_s(SHORTEST_ANSWER_S, LONGEST_ANSWER_S)

    async def read_records(self, progress: ReadProgress) -> list[KeyedRecord]:
        """Return the latest version, or the records after those that were read."""
        if self.offset is None:
            return await self.read_newest(progress)
        try:
            return await self.read_from(self.offset, LONG_POLL_S, progress)
        except OffsetExpired:
            self.offset = None
            return []
        except BacklogTooLarge as backlog:
            end_offset = backlog.end_offset
        # The last record usually is the newest version, and smaller than its encoding
        # in a page of newest records.
        self.offset = None
        try:
            records = await self.read_from(end_offset - 1, 0.0, progress)
        except (OffsetExpired, BacklogTooLarge):
            return []
        if not any(record.key == self.key for record in records):
            self.offset = None
        return records

    async def read_newest(self, progress: ReadProgress) -> list[KeyedRecord]:
        """Read the newest record of each key."""
        sent_at = anyio.current_time()
        records, self.offset = await self.store.newest(
            self.topic,
            0,
            sent_at + LONG_POLL_S + self.answer_s(),
            progress,
            may_relay=False,
        )
        self.checked_at = sent_at
        return records

    async def read_from(
        self, offset: int, wait_s: float, progress: ReadProgress
    ) -> list[KeyedRecord]:
        """Read the records from an offset on, unless they are several large ones."""
        sent_at = anyio.current_time()
        batch = await self.store.read(
            self.topic,
            0,
            offset,
            wait_s,
            sent_at + wait_s + self.answer_s(),
            progress,
            MAX_BACKLOG_BYTES,
            may_relay=False,
        )
        self.offset = offset
        if batch.records:
            self.offset = batch.records[-1].offset + 1
        else:
            self.response_times.record(anyio.current_time() - sent_at - wait_s)
        if self.offset >= batch.end_offset:
            self.checked_at = sent_at
        return batch.records

    def apply_copy(self, value: bytes, next_offset: int, read_s: float) -> None:
        """Apply a version that another node has passed on, and read on after it."""
        self.apply(value, next_offset, read_s, "node")
        if self.offset is not None:
            self.offset = max(self.offset, next_offset)

    def apply(
        self, value: bytes, next_offset: int, read_s: float, source: str = "store"
    ) -> None:
        """Apply a version unless it is unreadable or not newer than the current one.

        ``next_offset`` is the offset after its record. The read took ``read_s``, with
        the wait for the version.
        """
        try:
            desired = self.decode(value)
        except GypsumringError as error:
            log.error("desired state ignored", error=str(error))
            return
        if self.current is not None and desired.version <= self.current.version:
            return
        self.current = desired
        self.key_ring = KeyRing(desired.accounts or ())
        self.copies.add(desired.version, value, next_offset)
        log.info(
            "desired state in force",
            version=desired.version,
            source=source,
            bytes=len(value),
            read_ms=round(read_s * 1000),
            abandoned_reads=self.abandoned_reads,
            abandoned_bytes=self.abandoned_bytes,
        )
        self.abandoned_reads = self.abandoned_bytes = 0
