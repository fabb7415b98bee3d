"""Ownership of the cell as the log lines of the nodes show it."""

import json
from collections import Counter

from soak.nodes.fleet import Machine

__all__ = ["OwnershipLog"]

TAKEOVER = "taking over the cell"
REMOVAL = "dead owner removed from the group"
LOSS = "owner lost"
MESSAGES = (
    TAKEOVER,
    REMOVAL,
    LOSS,
    "cell abandoned",
    "cell failed",
    "cell lost",
    "cell read",
    "linked to the owner",
    "node started",
    "reading the cell's records failed",
    "stop signal received",
)


class OwnershipLog:
    """Lines about ownership that the nodes have written so far."""

    __slots__ = ("lines", "machines", "offsets", "owner_name")

    def __init__(self, machines: list[Machine]):
        self.machines = machines
        self.offsets = dict.fromkeys((machine.name for machine in machines), 0)
        # Time, node and content of each line.
        self.lines: list[tuple[str, str, dict]] = []
        # Node that took over with the highest fence number.
        self.owner_name = ""

    def read(self) -> None:
        """Read the complete lines that were added since the last call."""
        added = []
        for machine in self.machines:
            with machine.log.open("rb") as file:
                file.seek(self.offsets[machine.name])
                text, end, _ = file.read().rpartition(b"\n")
            self.offsets[machine.name] += len(text) + len(end)
            added += [
                (content["time"], machine.name, content)
                for content in map(decode_line, text.splitlines())
                if content.get("message") in MESSAGES
            ]
        self.lines = sorted(self.lines + added, key=lambda line: line[:2])
        takeovers = [line for line in self.lines if line[2]["message"] == TAKEOVER]
        if takeovers:
            self.owner_name = max(takeovers, key=lambda line: line[2]["fence"])[1]

    def count(self) -> Counter[str]:
        """Return the number of lines by message."""
        return Counter(content["message"] for _, _, content in self.lines)

    def format(self) -> list[str]:
        """Return the lines in order of time."""
        hidden = ("time", "level", "part", "message")
        return [
            f"{time} {name} {content['message']} "
            + " ".join(f"{k}={v}" for k, v in content.items() if k not in hidden)
            for time, name, content in self.lines
        ]


def decode_line(line: bytes) -> dict:
    """Return the content of a log line; a killed process may leave half a line."""
    try:
        content = json.loads(line)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
