"""State of one connection of a caller."""

import asyncio
import enum

from gypsumring.door.limits import CONNECTION_BYTES

__all__ = ["Connection", "Phase"]


# A request that was not sent ahead makes up for as many that were.
FORGOTTEN_AHEAD = 4


class Phase(enum.Enum):
    """What a connection is waiting for."""

    NEW = enum.auto()
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    SERVING = enum.auto()


class Connection:
    """Connection with the cost of what it sent, in bytes, and its last progress.

    ``phase_since`` and ``progress_at`` are on the monotonic clock. ``unread_since`` is
    the time at which unsent answers were first seen, 0 without any.
    """

    __slots__ = (
        "ahead",
        "charged",
        "closed",
        "host",
        "phase",
        "phase_since",
        "progress_at",
        "received",
        "server",
        "task",
        "transport",
        "unread_since",
    )

    def __init__(
        self,
        server: str,
        host: str,
        task: asyncio.Task,
        transport: asyncio.WriteTransport,
        now: float,
    ):
        self.server = server
        self.host = host
        self.task = task
        self.transport = transport
        self.phase = Phase.NEW
        self.phase_since = now
        self.progress_at = now
        self.received = 0
        self.charged = CONNECTION_BYTES
        self.unread_since = 0.0
        self.ahead = 0
        self.closed = False

    def enter(self, phase: Phase, now: float) -> None:
        """Change the phase."""
        self.phase = phase
        self.phase_since = now
        self.progress_at = now
        self.received = 0

    def note_bytes(self, size: int, now: float) -> None:
        """Note that bytes arrived; the first ones begin a head."""
        if self.phase in (Phase.NEW, Phase.IDLE):
            self.enter(Phase.HEAD, now)
        self.progress_at = now
        self.received += size

    def note_request(self) -> None:
        """Count requests that arrived before the answer to the one before them."""
        if self.phase is Phase.IDLE:
            self.ahead += 1
        else:
            self.ahead = max(0, self.ahead - FORGOTTEN_AHEAD)

    def note_unsent(self, now: float) -> None:
        """Note whether answers wait to be sent."""
        if self.transport.get_write_buffer_size() == 0:
            self.unread_since = 0.0
        elif not self.unread_since:
            self.unread_since = now

    def abort(self) -> None:
        """End the connection and all that runs for it."""
        self.closed = True
        self.transport.abort()
        self.task.cancel()
