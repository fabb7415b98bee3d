"""Port to the platform's store: logs, keyed topics and consumer groups."""

from typing import Protocol

import anyio

from gypsumring.exceptions import PortError

__all__ = [
    "AppendFenced",
    "Assignment",
    "BacklogTooLarge",
    "KeyedRecord",
    "LogBatch",
    "NewestPage",
    "PAGE_BYTES",
    "Producer",
    "ReadProgress",
    "SMALL_PAGE_BYTES",
    "SequenceMismatch",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
]

# About the largest page of the newest records of a cell, and of other topics.
PAGE_BYTES = 1_000_000
SMALL_PAGE_BYTES = 200_000


class StoreUnavailable(PortError):
    """Raised when the store gave no valid answer; a write may have taken effect."""


class StoreRefused(PortError):
    """Raised when the store certainly did not execute a request."""


class AppendFenced(PortError):
    """Raised when a producer with a higher epoch has already appended."""


class SequenceMismatch(PortError):
    """Raised when a sequence number does not follow the last appended number."""

    def __init__(self, expected: int):
        super().__init__(f"expected sequence number {expected}")
        self.expected = expected


class BacklogTooLarge(PortError):
    """Raised when a read would return several records that are too large together."""

    def __init__(self, end_offset: int):
        super().__init__(f"too many records before offset {end_offset}")
        self.end_offset = end_offset


class Producer:
    """Name and epoch of a writer and the sequence number of its append."""

    __slots__ = ("epoch", "name", "sequence")

    def __init__(self, name: str, epoch: int, sequence: int):
        self.name = name
        self.epoch = epoch
        self.sequence = sequence


class KeyedRecord:
    """Record of a keyed topic; an empty value means that the key was deleted."""

    __slots__ = ("key", "offset", "value")

    def __init__(self, offset: int, key: str, value: bytes):
        self.offset = offset
        self.key = key
        self.value = value


class NewestPage:
    """Newest records of some keys of a partition, and its end offset at that time.

    ``next_key`` is the key after which the next page begins; None on the last page.
    """

    __slots__ = ("end_offset", "next_key", "records")

    def __init__(
        self, end_offset: int, records: list[KeyedRecord], next_key: str | None
    ):
        self.end_offset = end_offset
        self.records = records
        self.next_key = next_key


class ReadProgress:
    """Bytes that have arrived of a read in flight, and when the last ones did."""

    __slots__ = ("received_at", "received_bytes")

    def __init__(self):
        self.received_bytes = 0
        self.received_at = float("-inf")

    def record(self, received_bytes: int) -> None:
        """Record how many bytes have arrived by now."""
        self.received_bytes = received_bytes
        self.received_at = anyio.current_time()


class LogBatch:
    """Records of one read and the end offset of the partition."""

    __slots__ = ("end_offset", "records")

    def __init__(self, end_offset: int, records: list[KeyedRecord]):
        self.end_offset = end_offset
        self.records = records


class Assignment:
    """Partitions assigned to a group member in a generation of the group."""

    __slots__ = ("generation", "partitions")

    def __init__(self, generation: int, partitions: frozenset[int]):
        self.generation = generation
        self.partitions = partitions


class Store(Protocol):
    """Client of the store; all calls raise StoreUnavailable or StoreRefused.

    Deadlines are times of ``anyio.current_time()``, in seconds. Those of reads are for
    the beginning of the response, which then takes as long as its bytes arrive.
    """

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[tuple[str, bytes]],
        producer: Producer | None,
        deadline: float,
    ) -> int:
        """Append keyed records and return the end offset.

        An append without records sets the epoch of the producer. Raise AppendFenced or
        SequenceMismatch. Without a producer, a repeated call may append again.
        """

    async def newest(
        self,
        topic: str,
        partition: int,
        deadline: float,
        progress: ReadProgress | None = None,
        may_relay: bool = True,
    ) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key and the end offset before the read.

        Other nodes carry the response of a call that fails if ``may_relay`` is set.
        """

    async def read_newest_page(
        self,
        topic: str,
        partition: int,
        after_key: str,
        deadline: float,
        page_bytes: int = PAGE_BYTES,
    ) -> NewestPage:
        """Return one page of ``newest``, from the keys after ``after_key`` on.

        An empty key begins the read. Pages are not a snapshot, so that the end offset
        before the read is that of the first page. ``page_bytes`` is about the largest
        size of a page of the topic.
        """

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
        """Return the records from ``offset`` on; raise OffsetExpired.

        Raise BacklogTooLarge, before the records are received, if there are several of
        more than ``max_backlog_bytes`` in total.
        """

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_s: float,
        generation: int,
        deadline: float,
    ) -> Assignment:
        """Join a group or renew the membership, and acknowledge ``generation``."""

    async def leave(self, group: str, member: str, deadline: float) -> None:
        """Leave a group."""

    async def owners(self, group: str, deadline: float) -> dict[int, str]:
        """Return the member to which each assigned partition belongs."""
