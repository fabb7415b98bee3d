"""Discovery of executors from their directory entries in the store."""

from collections.abc import Callable

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorEntry, InvalidEntry
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    SMALL_PAGE_BYTES,
    KeyedRecord,
    NewestPage,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.transport import Purpose, sending_for
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["ExecutorDirectory"]

log = EventLogger("discovery")

POLL_PERIOD_S = 0.25
# Time limit of a call, beside the time in which the link of this machine carries a page
# of entries so many times.
CALL_TIMEOUT_S = 1.0
PAGE_TRANSFERS = 2
# Executors whose entries expired while the store was unavailable register again within
# this time.
REREGISTRATION_TIME_S = 2.5
# Another writer may use a new id for each entry.
MAX_REPORTED_IDS = 1_000

# Raises InvalidEntry if an entry names no executor to use.
DecodeEntry = Callable[[str, bytes], ExecutorEntry]


class EntriesRead:
    """Read of all entries, whose pages are kept when a call fails.

    Entries may change between two pages; the records after ``end_offset`` tell how.
    """

    __slots__ = ("end_offset", "next_key", "present_ids", "requested_at")

    def __init__(self, requested_at: float):
        # When the first page was requested, and the end offset at that time.
        self.requested_at = requested_at
        self.end_offset: int | None = None
        self.next_key: str | None = ""
        self.present_ids: set[str] = set()


class ExecutorDirectory:
    """Reader of executor entries, which passes them to the executor poller."""

    __slots__ = (
        "executor_poller",
        "ignore_missing_until",
        "decode",
        "entries_read",
        "offset",
        "reported_ids",
        "state",
        "store",
        "topic",
    )

    def __init__(
        self,
        state: CellState,
        executor_poller: ExecutorPoller,
        store: Store,
        topic: str,
        decode: DecodeEntry,
    ):
        self.state = state
        self.executor_poller = executor_poller
        self.store = store
        self.topic = topic
        self.decode = decode
        self.offset: int | None = None
        # The read of all entries that has begun, if any.
        self.entries_read: EntriesRead | None = None
        # Ids of the unusable entries that have been logged, oldest first.
        self.reported_ids: dict[str, None] = {}
        # Missing entries are ignored until this time.
        self.ignore_missing_until = 0.0

    async def run(self) -> None:
        """Read new entries periodically until cancelled."""
        dependency = DependencyLogger(log, "executor entries")
        while True:
            try:
                await self.poll()
            except (StoreUnavailable, StoreRefused) as error:
                dependency.note_failure(error)
            else:
                if dependency.note_success():
                    self.ignore_missing_until = (
                        anyio.current_time() + REREGISTRATION_TIME_S
                    )
                    self.offset = None
            await anyio.sleep(POLL_PERIOD_S)

    async def poll(self) -> None:
        """Read the new records, or the newest entry of each executor after a gap."""
        if self.offset is None:
            await self.read_all()
            return
        requested_at = self.state.clock()
        try:
            with sending_for(Purpose.ENTRIES):
                batch = await self.store.read(
                    self.topic, 0, self.offset, 0.0, self.call_deadline()
                )
        except OffsetExpired:
            self.offset = None
            return
        for record in batch.records:
            self.apply(record)
            self.offset = record.offset + 1
        if not batch.records or self.offset >= batch.end_offset:
            self.state.entries_read_at = requested_at

    def call_deadline(self) -> float:
        """Return the deadline of a call that is sent now."""
        transfer_s = self.state.traffic.transfer_s(SMALL_PAGE_BYTES)
        return anyio.current_time() + CALL_TIMEOUT_S + PAGE_TRANSFERS * transfer_s

    async def read_all(self) -> None:
        """Read the newest entry of each executor, or what is missing of them."""
        entries_read = self.entries_read
        if entries_read is None:
            entries_read = self.entries_read = EntriesRead(self.state.clock())
        while entries_read.next_key is not None:
            with sending_for(Purpose.ENTRIES):
                page = await self.store.read_newest_page(
                    self.topic,
                    0,
                    entries_read.next_key,
                    self.call_deadline(),
                    SMALL_PAGE_BYTES,
                )
            self.apply_page(entries_read, page)
        self.entries_read = None
        if anyio.current_time() >= self.ignore_missing_until:
            for executor_id, executor in self.state.fleet.items():
                if executor_id not in entries_read.present_ids:
                    executor.listed = False
            self.offset = entries_read.end_offset
        self.state.entries_read_at = entries_read.requested_at

    def apply_page(self, entries_read: EntriesRead, page: NewestPage) -> None:
        """Apply one page of the entries of all executors."""
        if entries_read.end_offset is None:
            entries_read.end_offset = page.end_offset
        entries_read.next_key = page.next_key
        for record in page.records:
            if record.value:
                entries_read.present_ids.add(record.key)
                self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; an entry that cannot be used affects no other."""
        if not record.value:
            self.reported_ids.pop(record.key, None)
            executor = self.state.fleet.get(record.key)
            if (
                executor is not None
                and anyio.current_time() >= self.ignore_missing_until
            ):
                executor.listed = False
                log.info("executor entry was removed", executor=record.key)
            return
        try:
            entry = self.decode(record.key, record.value)
        except InvalidEntry as error:
            self.reject(record.key, error)
            return
        self.executor_poller.update(entry)

    def reject(self, executor_id: str, error: InvalidEntry) -> None:
        """Count an unusable entry, log it once and start no new work under its id.

        An executor that is known under this id may still run tasks. It is polled until
        it has left, and takes work again once its entry can be used.
        """
        self.state.metrics.count("cell.entries.unreadable")
        self.state.metrics.count(f"cell.entries.unreadable.{error.reason}")
        executor = self.state.fleet.get(executor_id)
        if executor is not None:
            executor.listed = False
        if executor_id in self.reported_ids:
            return
        if len(self.reported_ids) >= MAX_REPORTED_IDS:
            del self.reported_ids[next(iter(self.reported_ids))]
        self.reported_ids[executor_id] = None
        log.warning(
            "executor entry names no executor to use",
            executor=executor_id,
            reason=str(error),
            known=executor is not None,
        )
