"""Log output that is bounded in rate and size and never blocks the program."""

import logging
import os
import sys
import time
from collections import Counter
from typing import Any

import logbook
import logbook.compat
import msgspec

from gypsumring.settings import LogOutputSettings

__all__ = ["BoundedHandler", "DependencyLogger", "EventLogger", "set_up_logs"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)
# Lines that the reader has not consumed are buffered up to this size; further lines
# are dropped.
MAX_BACKLOG_BYTES = 1024 * 1024
# Rate limit per channel and message; lines above it are counted and not written.
MAX_LINES_PER_KIND_PER_S = 400
STDOUT_FD = 1

encode_json = msgspec.json.Encoder(enc_hook=str).encode


def format_as_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a log record as one line of JSON."""
    return encode_record(record).decode()


def encode_record(record: logbook.LogRecord) -> bytes:
    """Encode a log record as JSON, with its fields on the level of the message."""
    content: dict[str, Any] = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    content.update(record.extra)
    return encode_json(content)


class EventLogger:
    """Logger of one component; each event is a fixed message with fields."""

    __slots__ = ("logger",)

    def __init__(self, part: str):
        self.logger = logbook.Logger(part)

    def debug(self, message: str, **fields: Any) -> None:
        """Log a diagnostic detail."""
        self.logger.debug(message, extra=fields)

    def info(self, message: str, **fields: Any) -> None:
        """Log an expected event."""
        self.logger.info(message, extra=fields)

    def warning(self, message: str, **fields: Any) -> None:
        """Log an event that needs investigation if it persists."""
        self.logger.warning(message, extra=fields)

    def error(self, message: str, **fields: Any) -> None:
        """Log an event that loses work or data."""
        self.logger.error(message, extra=fields)


class DependencyLogger:
    """Log when a dependency becomes unavailable and when it is available again.

    Further failures during the same outage are not logged.
    """

    __slots__ = ("is_lost", "log", "dependency")

    def __init__(self, log: EventLogger, dependency: str):
        self.log = log
        self.dependency = dependency
        self.is_lost = False

    def note_failure(self, error: Exception) -> None:
        """Record a failed call; log it if the dependency was available before."""
        if not self.is_lost:
            self.log.warning("dependency lost", what=self.dependency, error=str(error))
        self.is_lost = True

    def note_success(self) -> bool:
        """Record a successful call; return whether the dependency was unavailable."""
        was_lost, self.is_lost = self.is_lost, False
        if was_lost:
            self.log.info("dependency regained", what=self.dependency)
        return was_lost


class BoundedHandler(logbook.Handler):
    """Write log records as lines of JSON to a file descriptor, without blocking.

    A record is dropped if its channel and message exceed their rate limit, or if the
    reader has stalled and the backlog is full. The next record that is written with
    the same channel and message carries the number of dropped ones.
    """

    def __init__(self, level: str, descriptor: int = STDOUT_FD):
        super().__init__(level=level, bubble=False)
        self.descriptor = descriptor
        self.backlog = bytearray()
        self.dropped_counts: Counter[tuple[str, str]] = Counter()
        self.written_counts: Counter[tuple[str, str]] = Counter()
        self.current_second = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.written_counts.clear()
        kind = (record.channel, record.msg)
        self.written_counts[kind] += 1
        if self.written_counts[kind] > MAX_LINES_PER_KIND_PER_S:
            self.dropped_counts[kind] += 1
            return
        if kind in self.dropped_counts:
            record.extra["dropped_before"] = self.dropped_counts.pop(kind)
        line = encode_record(record)
        if len(self.backlog) + len(line) >= MAX_BACKLOG_BYTES:
            self.dropped_counts[kind] += 1
        else:
            self.backlog += line
            self.backlog += b"\n"
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as the descriptor accepts."""
        while self.backlog:
            try:
                count = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the lines cannot be delivered.
                self.backlog.clear()
                return
            del self.backlog[:count]


def set_up_logs(settings: LogOutputSettings) -> None:
    """Send log records to standard output as JSON, or to standard error as text.

    Warnings of libraries and of the interpreter become log records too.
    """
    if settings.json:
        handler: logbook.Handler = BoundedHandler(settings.level)
    else:
        handler = logbook.StreamHandler(
            sys.stderr, level=settings.level, format_string=TEXT_FORMAT
        )
    handler.push_application()
    library_handler = logbook.compat.RedirectLoggingHandler()
    library_handler.setLevel(logging.WARNING)
    logging.root.handlers = [library_handler]
    logging.captureWarnings(True)
