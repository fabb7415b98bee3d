"""Open connections of callers, and which of them goes first when room is short."""

from collections import Counter
from collections.abc import Callable, Iterator

import anyio

from gypsumring.door.connection import Connection, Phase
from gypsumring.door.limits import CONNECTION_BYTES, DoorLimits
from gypsumring.metrics import Metrics
from gypsumring.settings.node import DoorSettings
from gypsumring.utils.logs import EventLogger

__all__ = ["ConnectionTable"]

log = EventLogger("door")

SWEEP_S = 1.0
LOG_INTERVAL_S = 10.0
# Room for one connection or body is made for several at once.
ROOM_SHARE = 1 / 8
# After no connection could be closed, none is looked for during this time.
SEARCH_PAUSE_S = 0.2
# While room is short, a connection without progress may be closed after these times.
SCARCE_HEAD_S = 3.0
SCARCE_STALL_S = 1.0
SCARCE_IDLE_S = 15.0
SCARCE_BYTES_PER_S = 4_096


class ConnectionTable:
    """Connections by server address, and the memory that they are charged with."""

    __slots__ = (
        "caller_address",
        "closing_bytes",
        "connections",
        "limits",
        "log_after",
        "metrics",
        "read_clock",
        "reasons",
        "search_after",
        "settings",
        "sizes",
        "used_bytes",
    )

    def __init__(
        self,
        caller_address: str,
        limits: DoorLimits,
        settings: DoorSettings,
        metrics: Metrics,
        read_clock: Callable[[], float] = anyio.current_time,
    ):
        self.caller_address = caller_address
        self.limits = limits
        self.settings = settings
        self.metrics = metrics
        # The monotonic clock; a request reads it several times.
        self.read_clock = read_clock
        self.connections: set[Connection] = set()
        self.sizes: Counter[str] = Counter()
        self.used_bytes = 0
        # Part of them that is freed once closed connections have ended.
        self.closing_bytes = 0
        self.search_after = 0.0
        self.log_after = 0.0
        # Reason and client address of what was refused or closed since the last line.
        self.reasons: Counter[tuple[str, str]] = Counter()

    def limit_of(self, server: str) -> int:
        """Return how many connections a server address may have."""
        if server == self.caller_address:
            return self.limits.caller_connections
        return self.limits.internal_connections

    def admit(self, connection: Connection) -> bool:
        """Add a connection, or return False if there is no room for it."""
        now = self.read_clock()
        server = connection.server
        if self.sizes[server] >= self.limit_of(server):
            self.free_connections(server, now)
        if self.sizes[server] >= self.limit_of(server):
            self.note("refused", "connections", connection.host)
            return False
        if not self.has_room(CONNECTION_BYTES):
            self.note("refused", "memory", connection.host)
            return False
        self.connections.add(connection)
        self.sizes[server] += 1
        self.used_bytes += connection.charged
        return True

    def remove(self, connection: Connection) -> None:
        """Remove a connection and what it is charged with."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.sizes[connection.server] -= 1
            self.used_bytes -= connection.charged
            if connection.closed:
                self.closing_bytes -= connection.charged

    def charge(self, connection: Connection, size: int) -> bool:
        """Charge a connection, or return False if there is no memory for it.

        The largest body goes when no slow connection can be closed.
        """
        if connection.closed:
            return False
        if not self.has_room(size):
            largest = max(
                (
                    each
                    for each in self.connections
                    if each.phase is Phase.BODY and not each.closed
                ),
                key=lambda each: each.charged,
                default=connection,
            )
            if largest.charged > connection.charged + size and not self.closing_bytes:
                self.close(largest, "largest")
            self.note("refused", "memory", connection.host)
            return False
        connection.charged += size
        self.used_bytes += size
        return True

    def refund(self, connection: Connection, size: int) -> None:
        """Take back a part of what an open connection is charged with."""
        if connection in self.connections and not connection.closed:
            connection.charged -= size
            self.used_bytes -= size

    def release(self, connection: Connection) -> None:
        """Take back what a connection is charged with beside its own cost."""
        self.refund(connection, connection.charged - CONNECTION_BYTES)

    def has_room(self, size: int) -> bool:
        """Return whether memory is left, after closing slow connections if not."""
        limit = self.limits.memory_bytes
        if self.used_bytes + size > limit:
            aim = limit * (1 - ROOM_SHARE)
            for connection in self.find_slow(self.read_clock()):
                if self.used_bytes - self.closing_bytes + size <= aim:
                    break
                self.close(connection, "memory")
        return self.used_bytes + size <= limit

    def free_connections(self, server: str, now: float) -> None:
        """Close slow connections of a server address that has too many."""
        aim = self.limit_of(server) * (1 - ROOM_SHARE)
        open_count = sum(
            1 for each in self.connections if each.server == server and not each.closed
        )
        for connection in self.find_slow(now):
            if open_count <= aim:
                break
            if connection.server == server:
                open_count -= 1
                self.close(connection, "connections")

    def find_slow(self, now: float) -> Iterator[Connection]:
        """Return connections without progress, of the busiest client address first."""
        if now < self.search_after:
            return iter(())
        slow = [
            each for each in self.connections if not each.closed and is_slow(each, now)
        ]
        if not slow:
            self.search_after = now + SEARCH_PAUSE_S
        by_host = Counter(each.host for each in self.connections)
        slow.sort(key=lambda each: (-by_host[each.host], each.progress_at))
        return iter(slow)

    def close(self, connection: Connection, reason: str) -> None:
        """Close a connection; its memory is free once its task has ended."""
        if not connection.closed:
            self.note("closed", reason, connection.host)
            self.abort(connection)

    def abort(self, connection: Connection) -> None:
        """Close a connection for no fault of its caller."""
        if not connection.closed:
            self.closing_bytes += connection.charged
            connection.abort()

    def abort_all(self) -> None:
        """Close all connections for no fault of their callers."""
        for connection in self.connections:
            self.abort(connection)

    async def sweep(self) -> None:
        """Close connections that exceed a time limit, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_S)
            now = self.read_clock()
            for connection in list(self.connections):
                connection.note_unsent(now)
                reason = self.find_fault(connection, now)
                if reason and not connection.closed:
                    self.close(connection, reason)
            self.metrics.set_gauge("node.door.connections", len(self.connections))
            self.metrics.set_gauge("node.door.used_bytes", self.used_bytes)
            self.report(now)

    def find_fault(self, connection: Connection, now: float) -> str:
        """Return the time limit that a connection exceeds, empty without one."""
        settings = self.settings
        if (
            connection.unread_since
            and now - connection.unread_since > settings.unread_s
        ):
            return "unread"
        age_s = now - connection.phase_since
        match connection.phase:
            case Phase.HEAD if age_s > settings.head_s:
                return "head"
            case Phase.BODY if now - connection.progress_at > settings.body_stall_s:
                return "body"
            case Phase.BODY if age_s > settings.body_stall_s and (
                connection.received < age_s * settings.body_bytes_per_s
            ):
                return "body"
        return ""

    def note(self, kind: str, reason: str, host: str) -> None:
        """Count a refused or closed connection."""
        self.metrics.count(f"node.door.{kind}.{reason}")
        self.reasons[f"{kind}.{reason}", host] += 1

    def report(self, now: float) -> None:
        """Log what was refused and closed, at a bounded rate."""
        if not self.reasons or now < self.log_after:
            return
        self.log_after = now + LOG_INTERVAL_S
        (reason, host), count = self.reasons.most_common(1)[0]
        log.warning(
            "callers exceeded a limit",
            reason=reason,
            client=host,
            count=count,
            total=self.reasons.total(),
            connections=len(self.connections),
            used_bytes=self.used_bytes,
        )
        self.reasons.clear()


def is_slow(connection: Connection, now: float) -> bool:
    """Return whether a connection may be closed while room is short."""
    connection.note_unsent(now)
    if connection.unread_since:
        return now - connection.unread_since > SCARCE_STALL_S
    idle_s = now - connection.progress_at
    age_s = now - connection.phase_since
    match connection.phase:
        case Phase.NEW | Phase.HEAD:
            return age_s > SCARCE_HEAD_S
        case Phase.IDLE:
            return age_s > SCARCE_IDLE_S
        case Phase.BODY:
            return idle_s > SCARCE_STALL_S or (
                age_s > SCARCE_HEAD_S
                and connection.received < age_s * SCARCE_BYTES_PER_S
            )
    return False
