"""Bounded memory of what a stream has read."""

from collections import deque

__all__ = ["FIRST_SEEN_LIMIT", "FirstSeenFilter", "RecentRecords"]

# A writer appends a record a second time only after it has read the stream to its end
# and found at most MAX_RETRY_DISTANCE records (see stream.py) since the first attempt.
# Copies are therefore closer than this limit, unless the log delays one append by more
# than the other half of it. At about 160 bytes an id, the ids take 10 MB a stream.
FIRST_SEEN_LIMIT = 65_536

RECENT_RECORDS_LIMIT = 2_048
RECENT_BYTES_LIMIT = 4 * 1024 * 1024


class FirstSeenFilter:
    """Remember the ids of the latest records.

    The bound counts records rather than time, so that all readers of the same records
    drop the same copies.
    """

    __slots__ = ("ids", "limit", "order")

    def __init__(self, limit: int = FIRST_SEEN_LIMIT):
        self.limit = limit
        self.ids: set[str] = set()
        self.order: deque[str] = deque()

    def add(self, record_id: str) -> bool:
        """Remember an id; return False if it was seen before."""
        if record_id in self.ids:
            return False
        self.ids.add(record_id)
        self.order.append(record_id)
        if len(self.order) > self.limit:
            self.ids.remove(self.order.popleft())
        return True


class RecentRecords:
    """Keep the latest raw records without gaps, to relay them to peers."""

    __slots__ = ("byte_count", "bytes_limit", "count_limit", "records")

    def __init__(
        self,
        count_limit: int = RECENT_RECORDS_LIMIT,
        bytes_limit: int = RECENT_BYTES_LIMIT,
    ):
        self.count_limit = count_limit
        self.bytes_limit = bytes_limit
        self.byte_count = 0
        self.records: deque[tuple[int, bytes]] = deque()

    def add(self, offset: int, payload: bytes) -> None:
        """Add the next record and drop the oldest beyond the limits."""
        self.records.append((offset, payload))
        self.byte_count += len(payload)
        while (
            len(self.records) > self.count_limit or self.byte_count > self.bytes_limit
        ):
            self.byte_count -= len(self.records.popleft()[1])

    def clear(self) -> None:
        """Drop all records, as after a gap."""
        self.records.clear()
        self.byte_count = 0

    def read(self, start: int, limit: int) -> tuple[tuple[int, bytes], ...]:
        """Return up to ``limit`` records from ``start``, or none if it is dropped."""
        if not self.records or start < self.records[0][0]:
            return ()
        skip = start - self.records[0][0]
        return tuple(
            self.records[index]
            for index in range(skip, min(skip + limit, len(self.records)))
        )
