"""Tests of log output: it is bounded and never blocks the program."""

import json
import os
import subprocess
import sys
from unittest import mock

import logbook

from gypsumring.utils.logs import (
    MAX_LINES_PER_KIND_PER_S,
    BoundedHandler,
    DependencyLogger,
    EventLogger,
)
from gypsumring.utils.testing import make_load_tests


def read_lines(descriptor: int) -> list[dict]:
    """Return the decoded lines that are buffered in a pipe."""
    os.set_blocking(descriptor, False)
    content = b""
    while True:
        try:
            part = os.read(descriptor, 65536)
        except BlockingIOError:
            break
        content += part
    return [json.loads(line) for line in content.splitlines()]


def test_line_carries_part_message_and_fields():
    reader, writer = os.pipe()
    with BoundedHandler("INFO", writer).applicationbound():
        EventLogger("jobs").info("job accepted", job="a1", queue="q")
    (line,) = read_lines(reader)
    assert (line["part"], line["message"]) == ("jobs", "job accepted")
    assert (line["job"], line["queue"]) == ("a1", "q")


def test_lines_above_the_rate_limit_are_counted_not_written():
    # The clock stands still: if a second began during the loop, its limit began anew.
    reader, writer = os.pipe()
    handler = BoundedHandler("INFO", writer)
    with (
        handler.applicationbound(),
        mock.patch("gypsumring.utils.logs.time.monotonic", lambda: 100.5),
    ):
        log = EventLogger("jobs")
        for _ in range(MAX_LINES_PER_KIND_PER_S + 50):
            log.info("job accepted")
        handler.current_second = -1
        log.info("job accepted")
    lines = read_lines(reader)
    assert len(lines) == MAX_LINES_PER_KIND_PER_S + 1
    assert lines[-1]["dropped_before"] == 50


def test_stuck_reader_does_not_block_and_excess_lines_are_dropped():
    reader, writer = os.pipe()
    handler = BoundedHandler("INFO", writer)
    with handler.applicationbound():
        log = EventLogger("jobs")
        for number in range(20):
            log.info(f"kind {number}", text="x" * 100_000)
        assert len(handler.backlog) < 1024 * 1024
        assert sum(handler.dropped_counts.values()) > 5
        os.close(reader)
        logbook.Logger("jobs").info("reader is gone")
    assert not handler.backlog


def test_dependency_is_logged_when_lost_and_when_regained():
    reader, writer = os.pipe()
    with BoundedHandler("INFO", writer).applicationbound():
        dependency = DependencyLogger(EventLogger("desired"), "desired state")
        for _ in range(3):
            dependency.note_failure(ValueError("away"))
        assert dependency.note_success() and not dependency.note_success()
    lost, regained = read_lines(reader)
    assert (lost["message"], lost["error"]) == ("dependency lost", "away")
    assert regained["what"] == "desired state"


def test_warnings_of_libraries_are_log_lines():
    # They went to standard error as text.
    program = """
import logging, warnings
from gypsumring.settings import LogOutputSettings
from gypsumring.utils.logs import set_up_logs
set_up_logs(LogOutputSettings(json=True))
logging.getLogger("library").warning("%d sends failed", 5)
logging.getLogger("library").info("not written")
warnings.warn("never awaited", RuntimeWarning)
"""
    result = subprocess.run([sys.executable, "-c", program], capture_output=True)
    assert result.stderr == b""
    first, second = map(json.loads, result.stdout.splitlines())
    assert (first["part"], first["message"]) == ("library", "5 sends failed")
    assert first["level"] == "WARNING"
    assert second["part"] == "py.warnings"
    assert "never awaited" in second["message"]


load_tests = make_load_tests(globals())
