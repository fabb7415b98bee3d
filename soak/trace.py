"""Trace of a run, hashed so that two runs can be compared."""

import hashlib

__all__ = ["Trace"]


class Trace:
    """Hash all events of a run and keep the faults for a report."""

    __slots__ = ("digest", "event_count", "faults")

    def __init__(self):
        self.digest = hashlib.sha256()
        self.event_count = 0
        self.faults: list[str] = []

    def note(self, now: float, event: str) -> None:
        """Add an event to the hash."""
        self.note_bytes(now, event, b"")

    def note_bytes(self, now: float, event: str, content: bytes) -> None:
        """Add an event with its content to the hash."""
        self.event_count += 1
        self.digest.update(f"{now:.6f} {event}\n".encode() + content)

    def note_fault(self, now: float, event: str) -> None:
        """Keep a start or an end of a fault."""
        self.faults.append(f"{now:9.3f} {event}")
        self.note(now, event)

    def hexdigest(self) -> str:
        """Return the hash of all events so far."""
        return self.digest.hexdigest()
