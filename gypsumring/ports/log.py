"""Port to the platform's append-only log."""

from typing import Protocol

import msgspec

__all__ = ["Log", "LogPage", "LogRecord"]


class LogRecord(msgspec.Struct, frozen=True):
    """Record of a stream."""

    offset: int
    payload: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Result of one read.

    ``next_offset`` is the offset at which the next read starts; ``end_offset`` is the
    offset that the next append would get at the time of the answer.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


class Log(Protocol):
    """Client of the log; the offsets of each stream start at 0."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset; raise LogUnavailable."""

    async def read(
        self, stream: str, start_offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Return up to ``limit`` records, waiting up to ``wait_ms`` for the first.

        Raise LogUnavailable, or OffsetExpired when ``start_offset`` is before the
        first retained record. An unknown stream reads as empty.
        """
