"""State of the log stand-in."""

import heapq
from collections import deque

import anyio
import msgspec

from gypsumring.ports import LogPage, LogRecord, LogUnavailable, OffsetExpired

__all__ = ["LogFaults", "LogState"]

MAX_PAGE_BYTES = 8 * 1024 * 1024


class LogFaults(msgspec.Struct):
    """Faults of the log.

    ``lost_answers`` is the share of appends that take effect without an answer, or
    ``late_effect_ms`` after the error if that is set. ``cut_off`` lists the only
    clients that cannot reach the log. With ``silent``, calls that meet one of these
    faults get no answer instead of an error.
    """

    down: bool = False
    silent: bool = False
    slow_ms: int = 0
    lost_answers: float = 0.0
    late_effect_ms: int = 0
    cut_off: set[str] = msgspec.field(default_factory=set)


class LogState:
    """Streams with retention by count and age, and a limit on appends per second.

    Times are in seconds on the clock of the caller.
    """

    def __init__(
        self,
        max_records: int = 100_000,
        max_age_s: float = 86_400.0,
        appends_per_s: int = 400,
    ):
        self.max_records = max_records
        self.max_age_s = max_age_s
        self.appends_per_s = appends_per_s
        self.faults = LogFaults()
        self.streams: dict[str, deque[tuple[float, LogRecord]]] = {}
        self.end_offsets: dict[str, int] = {}
        self.append_times: deque[float] = deque()
        self.append_count = 0
        self.throttled_count = 0
        self.change_events: dict[str, anyio.Event] = {}
        self.late_appends: list[tuple[float, int, str, bytes]] = []

    def append_later(self, stream: str, payload: bytes, apply_at: float) -> None:
        """Schedule an append for the first call to the log at or after ``apply_at``."""
        entry = (apply_at, self.append_count, stream, payload)
        heapq.heappush(self.late_appends, entry)

    def apply_late_appends(self, now: float) -> None:
        """Apply the scheduled appends whose time has come."""
        while self.late_appends and self.late_appends[0][0] <= now:
            _, _, stream, payload = heapq.heappop(self.late_appends)
            self.add_record(stream, payload, now)

    def append(self, stream: str, payload: bytes, now: float) -> int:
        """Append one record and return its offset.

        Raise LogUnavailable if the limit on appends per second is reached.
        """
        self.apply_late_appends(now)
        while self.append_times and self.append_times[0] <= now - 1.0:
            self.append_times.popleft()
        if len(self.append_times) >= self.appends_per_s:
            self.throttled_count += 1
            raise LogUnavailable("the limit on appends per second is reached")
        self.append_times.append(now)
        return self.add_record(stream, payload, now)

    def add_record(self, stream: str, payload: bytes, now: float) -> int:
        """Add a record to a stream and wake its readers."""
        self.append_count += 1
        offset = self.end_offsets.get(stream, 0)
        self.end_offsets[stream] = offset + 1
        records = self.streams.setdefault(stream, deque())
        records.append((now, LogRecord(offset, payload)))
        self.expire(stream, now)
        event = self.change_events.pop(stream, None)
        if event is not None:
            event.set()
        return offset

    def changed(self, stream: str) -> anyio.Event:
        """Return the event that the next append to the stream sets."""
        return self.change_events.setdefault(stream, anyio.Event())

    def expire(self, stream: str, now: float) -> None:
        """Discard records beyond the retention limits."""
        records = self.streams.get(stream)
        while records and (
            len(records) > self.max_records or records[0][0] < now - self.max_age_s
        ):
            records.popleft()

    def first_offset(self, stream: str) -> int:
        """Return the first retained offset, or the end if nothing is retained."""
        records = self.streams.get(stream)
        return records[0][1].offset if records else self.end_offsets.get(stream, 0)

    def read(self, stream: str, start_offset: int, limit: int, now: float) -> LogPage:
        """Return retained records from an offset; raise OffsetExpired."""
        self.apply_late_appends(now)
        self.expire(stream, now)
        first = self.first_offset(stream)
        end = self.end_offsets.get(stream, 0)
        if start_offset < first:
            raise OffsetExpired(stream, first)
        records = self.streams.get(stream, ())
        page_records: list[LogRecord] = []
        byte_count = 0
        for index in range(
            start_offset - first, min(start_offset - first + limit, len(records))
        ):
            record = records[index][1]
            byte_count += len(record.payload)
            if page_records and byte_count > MAX_PAGE_BYTES:
                break
            page_records.append(record)
        return LogPage(tuple(page_records), start_offset + len(page_records), end)
