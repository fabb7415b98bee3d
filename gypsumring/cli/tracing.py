"""Read the log lines of several nodes and render those of one job in time order."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from gypsumring.cli.log_files import split_lines
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["read_job_lines", "render_line"]

# Fields that a rendered line shows before the others.
LEADING_FIELDS = ("time", "level", "part", "message", "node")


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the log lines of a file; skip all other text."""
    for prefix, line in split_lines(path):
        try:
            content = msgspec.json.decode(line)
        except DECODE_ERRORS:
            continue
        if isinstance(content, dict) and "message" in content:
            content.setdefault("node", prefix[-1] if prefix else path.stem)
            yield content


def mentions_job(content: dict[str, Any], job_id: str) -> bool:
    """Return whether a line is about a job."""
    if content.get("job") == job_id:
        return True
    if str(content.get("step", "")).startswith(job_id):
        return True
    tasks = content.get("tasks", ())
    return any(isinstance(task, str) and task.startswith(job_id) for task in tasks)


def read_job_lines(paths: Iterable[Path], job_id: str) -> list[dict[str, Any]]:
    """Return the lines about a job and the takeovers between them, in time order."""
    lines = []
    takeovers = []
    for path in paths:
        for content in read_lines(path):
            if mentions_job(content, job_id):
                lines.append(content)
            elif content.get("part") == "cell":
                takeovers.append(content)
    if lines:
        first_time = min(line["time"] for line in lines)
        last_time = max(line["time"] for line in lines)
        lines += [line for line in takeovers if first_time <= line["time"] <= last_time]
    lines.sort(key=lambda line: line["time"])
    return lines


def render_line(content: dict[str, Any]) -> str:
    """Return a log line as one line of text."""
    other_fields = " ".join(
        f"{name}={value}"
        for name, value in content.items()
        if name not in LEADING_FIELDS and value not in (None, "")
    )
    return (
        f"{content['time']} {content.get('node', '-')} "
        f"{content['part']}: {content['message']} {other_fields}".rstrip()
    )
