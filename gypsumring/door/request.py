"""ASGI application that accounts for the requests of one connection."""

import asyncio
from typing import Any

from gypsumring.door.connection import Connection, Phase
from gypsumring.door.exceptions import BodyRefused
from gypsumring.door.limits import BODY_COST, FIELD_BYTES, RECEIVING_BYTES
from gypsumring.door.table import ConnectionTable

__all__ = ["ConnectionApp"]

# Heads with fewer fields are part of what a connection costs.
FREE_FIELDS = 64
MAX_LENGTH_DIGITS = 18
REFUSAL = (
    {
        "type": "http.response.start",
        "status": 503,
        "headers": [
            (b"content-length", b"0"),
            (b"retry-after", b"1"),
            (b"connection", b"close"),
        ],
    },
    {"type": "http.response.body", "body": b""},
)


class ConnectionApp:
    """Application of one connection; the requests go on to ``app``."""

    __slots__ = ("app", "connection", "table")

    def __init__(self, app: Any, connection: Connection, table: ConnectionTable):
        self.app = app
        self.connection = connection
        self.table = table

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request, and charge its connection until it ends."""
        if scope["type"] != "http":
            self.table.close(self.connection, "upgrade")
            return
        self.connection.note_request()
        if self.connection.ahead > self.table.settings.requests_ahead:
            self.table.close(self.connection, "ahead")
            return
        request = Request(self.connection, self.table, receive, send, scope["headers"])
        self.connection.enter(Phase.SERVING, self.table.read_clock())
        try:
            if request.charge_fields(len(scope["headers"])):
                await self.app(scope, request.receive, request.send)
            else:
                for event in REFUSAL:
                    await request.send(event)
        finally:
            self.table.release(self.connection)
            self.connection.enter(Phase.IDLE, self.table.read_clock())


class Request:
    """Request whose body is charged while it is read."""

    __slots__ = (
        "body_left",
        "connection",
        "receive_event",
        "receiving_bytes",
        "send_event",
        "table",
    )

    def __init__(
        self,
        connection: Connection,
        table: ConnectionTable,
        receive: Any,
        send: Any,
        headers: list[tuple[bytes, bytes]],
    ):
        self.connection = connection
        self.table = table
        self.receive_event = receive
        self.send_event = send
        self.receiving_bytes = find_receiving_bytes(headers)
        self.body_left = self.receiving_bytes > 0

    def charge_fields(self, count: int) -> bool:
        """Charge a head of many fields; return False without memory for it."""
        if count <= FREE_FIELDS:
            return True
        return self.table.charge(self.connection, count * FIELD_BYTES)

    async def receive(self) -> dict[str, Any]:
        """Return the next event; raise BodyRefused without memory for it."""
        if self.connection.phase is Phase.SERVING and self.body_left:
            self.connection.enter(Phase.BODY, self.table.read_clock())
            self.charge(self.receiving_bytes)
        event = await self.receive_event()
        if event["type"] != "http.request":
            return event
        size = len(event["body"])
        if size:
            self.charge(int(size * BODY_COST))
        if not event.get("more_body"):
            if self.body_left:
                self.table.refund(self.connection, self.receiving_bytes)
            self.body_left = False
            self.connection.enter(Phase.SERVING, self.table.read_clock())
        return event

    def charge(self, size: int) -> None:
        """Charge the connection; raise BodyRefused without memory for it."""
        if not self.table.charge(self.connection, size):
            raise BodyRefused("no memory for the body")

    async def send(self, event: dict[str, Any]) -> None:
        """Send an event; drop what is left of the body with the end of the answer.

        The server waits for a place in the request's queue at the end of an answer,
        which a body that nobody reads would never give.
        """
        is_end = event["type"] == "http.response.body" and not event.get("more_body")
        if not (is_end and self.body_left):
            await self.send_event(event)
            return
        dropping = asyncio.ensure_future(self.drop_body())
        try:
            await self.send_event(event)
        finally:
            dropping.cancel()

    async def drop_body(self) -> None:
        """Read events until the server ends the request."""
        while (await self.receive_event())["type"] == "http.request":
            pass


def find_receiving_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """Return how much of a request's body may wait for the application, in bytes."""
    for name, value in headers:
        if name == b"transfer-encoding":
            return RECEIVING_BYTES
        if name == b"content-length":
            # Longer numbers are far over any limit.
            is_short = value.isdigit() and len(value) < MAX_LENGTH_DIGITS
            return min(int(value), RECEIVING_BYTES) if is_short else RECEIVING_BYTES
    return 0
