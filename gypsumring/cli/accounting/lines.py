"""Read the log lines of several nodes and align them on a common time axis."""

from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path
from statistics import median

import msgspec

from gypsumring.cli.log_files import split_lines

__all__ = ["Fields", "Line", "Log", "read_log"]

# If the offset to the collector's clock changes by more between two lines of a node,
# the node's clock was stepped.
MIN_CLOCK_STEP_S = 0.5
# If a line is older than its predecessor by more than this, the node's clock was
# stepped back.
MIN_BACKWARD_STEP_S = 0.05


class Fields(msgspec.Struct, kw_only=True):
    """Fields of a log line that the accounting uses."""

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
    """Log line; ``logged_at`` is in seconds on the time axis common to all nodes."""

    __slots__ = ("logged_at", "clock_s", "collected_s", "fields", "node")

    def __init__(
        self, node: str, fields: Fields, clock_s: float, collected_s: float | None
    ):
        self.node = node
        self.fields = fields
        # Time by the clock of the node, and time by the clock of the log collector or
        # None if the line has no collector prefix.
        self.clock_s = clock_s
        self.collected_s = collected_s
        self.logged_at = clock_s


class Log:
    """Lines of all nodes in time order, with counts of malformed and dropped lines."""

    __slots__ = ("dropped", "lines", "malformed")

    def __init__(self):
        self.lines: list[Line] = []
        self.malformed = 0
        # Lines that the nodes have dropped, by message.
        self.dropped: Counter[str] = Counter()

    def nodes(self) -> list[str]:
        """Return the sorted names of the nodes that wrote the lines."""
        return sorted({line.node for line in self.lines})


def read_log(paths: Iterable[Path]) -> Log:
    """Read log files; count malformed lines and skip them."""
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
    """Return an ISO 8601 time as Unix seconds; raise ValueError."""
    time = datetime.fromisoformat(text)
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()


def parse_collection_time(prefix: list[str]) -> float | None:
    """Return the collection time in seconds, or None without a valid prefix."""
    if len(prefix) < 2:
        return None
    try:
        return float(prefix[0])
    except ValueError:
        return None


def align_times(by_node: dict[str, list[Line]]) -> None:
    """Set ``logged_at``, by the collector's clock if all lines have its time."""
    all_collected = all(
        line.collected_s is not None for lines in by_node.values() for line in lines
    )
    for lines in by_node.values():
        if all_collected:
            align_to_collector(lines)
        else:
            remove_backward_steps(lines)


def align_to_collector(lines: list[Line]) -> None:
    """Align one node's lines with the collector's clock, per segment without a step."""
    segment: list[Line] = []
    for line in lines:
        if segment and abs(offset_s(line) - offset_s(segment[-1])) > MIN_CLOCK_STEP_S:
            apply_offset(segment)
            segment = []
        segment.append(line)
    apply_offset(segment)


def offset_s(line: Line) -> float:
    """Return how far the collector's clock is ahead of the node's clock."""
    return line.collected_s - line.clock_s


def apply_offset(segment: list[Line]) -> None:
    """Shift the lines between two clock steps by their median offset."""
    if segment:
        offset = median(map(offset_s, segment))
        for line in segment:
            line.logged_at = line.clock_s + offset


def remove_backward_steps(lines: list[Line]) -> None:
    """Keep the times of one node from going back where its clock was set back."""
    offset = 0.0
    for number, line in enumerate(lines):
        line.logged_at = line.clock_s + offset
        if (
            number
            and line.logged_at < lines[number - 1].logged_at - MIN_BACKWARD_STEP_S
        ):
            offset += lines[number - 1].logged_at - line.logged_at
            line.logged_at = lines[number - 1].logged_at
