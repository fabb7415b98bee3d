"""Discovery of executors from their directory entries in the store."""

from collections.abc import Callable

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorEntry
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    KeyedRecord,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["ExecutorDirectory"]

log = EventLogger("discovery")

POLL_PERIOD_S = 0.25
CALL_TIMEOUT_S = 1.0
# Executors whose entries expired while the store was unavailable register again within
# this time.
REREGISTRATION_TIME_S = 2.5

DecodeEntry = Callable[[str, bytes], ExecutorEntry | None]


class ExecutorDirectory:
    """Reader of executor entries, which passes them to the executor poller."""

    __slots__ = (
        "executor_poller",
        "ignore_missing_until",
        "decode",
        "offset",
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
        deadline = anyio.current_time() + CALL_TIMEOUT_S
        requested_at = self.state.clock()
        if self.offset is None:
            await self.read_all(deadline)
            self.state.entries_read_at = requested_at
            return
        try:
            batch = await self.store.read(self.topic, 0, self.offset, 0.0, deadline)
        except OffsetExpired:
            self.offset = None
            return
        for record in batch.records:
            self.apply(record)
            self.offset = record.offset + 1
        if not batch.records or self.offset >= batch.end_offset:
            self.state.entries_read_at = requested_at

    async def read_all(self, deadline: float) -> None:
        """Read the newest entry of each executor."""
        records, end_offset = await self.store.newest(self.topic, 0, deadline)
        present_ids = set()
        for record in records:
            if record.value:
                present_ids.add(record.key)
                self.apply(record)
        if anyio.current_time() >= self.ignore_missing_until:
            for executor_id, executor in self.state.fleet.items():
                if executor_id not in present_ids:
                    executor.listed = False
            self.offset = end_offset

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; count and skip records that cannot be decoded."""
        if not record.value:
            executor = self.state.fleet.get(record.key)
            if (
                executor is not None
                and anyio.current_time() >= self.ignore_missing_until
            ):
                executor.listed = False
                log.info("executor entry was removed", executor=record.key)
            return
        entry = self.decode(record.key, record.value)
        if entry is None:
            self.state.metrics.count("cell.entries.unreadable")
            return
        self.executor_poller.update(entry)
