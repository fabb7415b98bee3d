"""Read log lines of several nodes onto one time axis."""

from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path
from statistics import median

import msgspec

from gypsumring.cli.log_files import split_lines

__all__ = ["Fields", "Line", "Log", "read_log"]

# A clock that differs from the collector's by this much more than before was set.
MIN_CLOCK_STEP_S = 0.5
# A line that is this much older than the one before was written after a clock step.
MIN_BACKWARD_STEP_S = 0.05


class Fields(msgspec.Struct, kw_only=True):
    """Describe the fields of a log line that an account uses."""

    time: str
    part: str
    message: str
    job: str = ""
    queue: str = ""
    step: str = ""
    task: str = ""
    tasks: list[int | str] = []
    attempt: int = 0
    executor: str = ""
    reason: str = ""
    how: str = ""
    phase: str = ""
    cpu_millis: list[int] = []
    estimates_ms: list[int] = []
    after: list[list[int]] = []
    gangs: list[int] = []
    lasts: bool = False
    target_ms: float | None = None
    door_ms: float = 0.0
    store_ms: float = 0.0
    took_ms: float | None = None
    durable_ms: float | None = None
    asked: int = 0
    allowed: int = 0
    jobs: int = 0
    fence: int | None = None
    dropped_before: int = 0


class Line:
    """Hold one log line; ``at`` is in seconds on the axis of all nodes."""

    __slots__ = ("logged_at", "clock_s", "collected_s", "fields", "node")

    def __init__(
        self, node: str, fields: Fields, clock_s: float, collected_s: float | None
    ):
        self.node = node
        self.fields = fields
        # The time of day of the node, and when the line was collected if that is known.
        self.clock_s = clock_s
        self.collected_s = collected_s
        self.logged_at = clock_s


class Log:
    """Hold the lines of all nodes in time order, and what could not be read."""

    __slots__ = ("dropped", "lines", "malformed")

    def __init__(self):
        self.lines: list[Line] = []
        self.malformed = 0
        # Lines that the nodes have dropped, by message.
        self.dropped: Counter[str] = Counter()

    def nodes(self) -> list[str]:
        """Return the names of the nodes that wrote the lines."""
        return sorted({line.node for line in self.lines})


def read_log(paths: Iterable[Path]) -> Log:
    """Read log files; lines that cannot be read are counted."""
    log = Log()
    by_node: dict[str, list[Line]] = {}
    decode = msgspec.json.Decoder(Fields).decode
    for path in paths:
        for prefix, content in split_lines(path):
            try:
                fields = decode(content)
                clock_s = parse_time(fields.time)
            except (msgspec.MsgspecError, ValueError):
                log.malformed += 1
                continue
            node = prefix[-1] if prefix else path.stem
            line = Line(node, fields, clock_s, parse_collection_time(prefix))
            by_node.setdefault(node, []).append(line)
            log.dropped[fields.message] += fields.dropped_before
    log.dropped += Counter()
    align_times(by_node)
    log.lines = [line for lines in by_node.values() for line in lines]
    log.lines.sort(key=lambda line: line.logged_at)
    return log


def parse_time(text: str) -> float:
    """Return a time of day as Unix seconds; raise ValueError."""
    time = datetime.fromisoformat(text)
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()


def parse_collection_time(prefix: list[str]) -> float | None:
    """Return when a line was collected in seconds, or None without such a prefix."""
    if len(prefix) < 2:
        return None
    try:
        return float(prefix[0])
    except ValueError:
        return None


def align_times(by_node: dict[str, list[Line]]) -> None:
    """Set the times of all lines, by the collector's clock if it is known for all."""
    all_collected = all(
        line.collected_s is not None for lines in by_node.values() for line in lines
    )
    for lines in by_node.values():
        if all_collected:
            align_to_collector(lines)
        else:
            remove_backward_steps(lines)


def align_to_collector(lines: list[Line]) -> None:
    """Correct the clock of one node by that of the collector, between its steps."""
    segment: list[Line] = []
    for line in lines:
        if segment and abs(offset_s(line) - offset_s(segment[-1])) > MIN_CLOCK_STEP_S:
            apply_offset(segment)
            segment = []
        segment.append(line)
    apply_offset(segment)


def offset_s(line: Line) -> float:
    """Return how far the collector's clock is ahead of the node's."""
    return line.collected_s - line.clock_s


def apply_offset(segment: list[Line]) -> None:
    """Set the times of lines between two steps of a clock."""
    if segment:
        offset = median(map(offset_s, segment))
        for line in segment:
            line.logged_at = line.clock_s + offset


def remove_backward_steps(lines: list[Line]) -> None:
    """Let the time of one node go on where its clock was set back."""
    offset = 0.0
    for number, line in enumerate(lines):
        line.logged_at = line.clock_s + offset
        if (
            number
            and line.logged_at < lines[number - 1].logged_at - MIN_BACKWARD_STEP_S
        ):
            offset += lines[number - 1].logged_at - line.logged_at
            line.logged_at = lines[number - 1].logged_at
