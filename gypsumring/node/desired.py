"""Watch the operator's desired state in the store."""

from collections.abc import Callable

import anyio

from gypsumring.accounts import KeyRing
from gypsumring.exceptions import GypsumringError
from gypsumring.pipelines import DesiredState
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    SMALL_PAGE_BYTES,
    KeyedRecord,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.transport import LinkTraffic, Purpose, sending_for
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["DesiredStateWatch"]

log = EventLogger("desired")

# The store delays its response by up to this time while there is nothing new.
LONG_POLL_S = 1.0
CALL_MARGIN_S = 0.4
# Calls have the time in which the link of this machine carries a page so many times,
# beside these limits.
PAGE_TRANSFERS = 2
RETRY_DELAY_S = 0.15


class DesiredStateWatch:
    """Latest desired state; a version replaces only an older one."""

    __slots__ = (
        "current",
        "decode",
        "key",
        "key_ring",
        "offset",
        "store",
        "topic",
        "traffic",
    )

    def __init__(
        self,
        store: Store,
        topic: str,
        key: str,
        decode: Callable[[bytes], DesiredState],
        traffic: LinkTraffic | None = None,
    ):
        self.traffic = traffic or LinkTraffic()
        self.store = store
        self.topic = topic
        self.key = key
        self.decode = decode
        self.current: DesiredState | None = None
        # Keys of the client accounts of the current version.
        self.key_ring = KeyRing(())
        self.offset: int | None = None

    def get(self) -> DesiredState | None:
        """Return the desired state in force, or None before the first read."""
        return self.current

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
        with sending_for(Purpose.ENTRIES):
            records = await self.read_records()
        for record in records:
            if record.key == self.key and record.value:
                self.apply(record.value)

    async def read_records(self) -> list[KeyedRecord]:
        """Return the latest version, or the records after those that were read."""
        transfer_s = PAGE_TRANSFERS * self.traffic.transfer_s(SMALL_PAGE_BYTES)
        deadline = anyio.current_time() + LONG_POLL_S + transfer_s
        if self.offset is None:
            records, self.offset = await self.store.newest(self.topic, 0, deadline)
            return records
        deadline += CALL_MARGIN_S
        try:
            batch = await self.store.read(
                self.topic, 0, self.offset, LONG_POLL_S, deadline
            )
        except OffsetExpired:
            self.offset = None
            return []
        if batch.records:
            self.offset = batch.records[-1].offset + 1
        return batch.records

    def apply(self, value: bytes) -> None:
        """Apply a version unless it is unreadable or not newer than the current one."""
        try:
            desired = self.decode(value)
        except GypsumringError as error:
            log.error("desired state ignored", error=str(error))
            return
        if self.current is not None and desired.version <= self.current.version:
            return
        self.current = desired
        self.key_ring = KeyRing(desired.accounts or ())
        log.info("desired state in force", version=desired.version)
