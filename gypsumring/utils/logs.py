"""Set up log output: short lines, bounded, and never blocking the program."""

import os
import sys
import time
from collections import Counter
from typing import Any

import logbook
import msgspec

from gypsumring.settings import LogOutputSettings

__all__ = ["BoundedHandler", "DependencyLogger", "EventLogger", "set_up_logs"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)
# Lines that a stuck reader has not taken are kept up to this size, then dropped.
MAX_BACKLOG_BYTES = 1024 * 1024
# Each kind of line may be written this often in a second; the rest is counted.
MAX_LINES_PER_KIND_PER_S = 400
STDOUT_FD = 1

encode_json = msgspec.json.Encoder(enc_hook=str).encode


def format_as_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Format a record as one line of JSON."""
    return encode_record(record).decode()


def encode_record(record: logbook.LogRecord) -> bytes:
    """Return a record as JSON, with its fields beside the message."""
    content: dict[str, Any] = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    content.update(record.extra)
    return encode_json(content)


class EventLogger:
    """Log decisions of one part as a fixed message with fields."""

    __slots__ = ("logger",)

    def __init__(self, part: str):
        self.logger = logbook.Logger(part)

    def debug(self, message: str, **fields: Any) -> None:
        """Log a detail."""
        self.logger.debug(message, extra=fields)

    def info(self, message: str, **fields: Any) -> None:
        """Log an expected event."""
        self.logger.info(message, extra=fields)

    def warning(self, message: str, **fields: Any) -> None:
        """Log an event that needs a look if it goes on."""
        self.logger.warning(message, extra=fields)

    def error(self, message: str, **fields: Any) -> None:
        """Log an event that loses something."""
        self.logger.error(message, extra=fields)


class DependencyLogger:
    """Log once when a dependency is lost, and once when it is regained."""

    __slots__ = ("is_lost", "log", "dependency")

    def __init__(self, log: EventLogger, dependency: str):
        self.log = log
        self.dependency = dependency
        self.is_lost = False

    def note_failure(self, error: Exception) -> None:
        """Note that a call has failed."""
        if not self.is_lost:
            self.log.warning("dependency lost", what=self.dependency, error=str(error))
        self.is_lost = True

    def note_success(self) -> bool:
        """Note that a call has succeeded; tell whether the dependency was lost."""
        was_lost, self.is_lost = self.is_lost, False
        if was_lost:
            self.log.info("dependency regained", what=self.dependency)
        return was_lost


class BoundedHandler(logbook.Handler):
    """Write lines of JSON to a file descriptor without ever waiting for its reader.

    Lines beyond the rate of their kind, and lines that do not fit the backlog of a
    reader that is stuck, are dropped; the next line of the kind tells how many.
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
        """Write one record, or count it."""
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
        """Write as much of the backlog as the reader takes."""
        while self.backlog:
            try:
                count = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; nobody can be told.
                self.backlog.clear()
                return
            del self.backlog[:count]


def set_up_logs(settings: LogOutputSettings) -> None:
    """Send log records to standard output as JSON, or to standard error as text."""
    if settings.json:
        handler: logbook.Handler = BoundedHandler(settings.level)
    else:
        handler = logbook.StreamHandler(
            sys.stderr, level=settings.level, format_string=TEXT_FORMAT
        )
    handler.push_application()
