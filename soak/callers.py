"""Callers of the gateways and the record of what they were told."""

import random

import anyio
import msgspec

from soak.cell import TOKEN, SoakCell
from soak.platform import CALL_HEADER
from soak.process import NodeProcess

__all__ = ["Call", "Callers", "Reply"]

# Longer than any deadline of the gateway's own, which is 10 s.
CALL_LIMIT_S = 90.0


class Reply(msgspec.Struct):
    """Hold one whole HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the gateway's outcome of a request."""
        return self.headers.get("gypsumring-outcome", "")


class Call(msgspec.Struct):
    """Record one request to a service and what its caller was told.

    ``reply`` stays None when the caller hung up or the connection broke.
    """

    name: str
    service: str
    key: str
    body: bytes
    reply: Reply | None = None


class Callers:
    """Send HTTP requests to gateways and keep a record."""

    def __init__(self, cell: SoakCell, random_source: random.Random):
        self.cell = cell
        self.random_source = random_source
        self.calls: list[Call] = []
        self.interrupted: list[str] = []
        self.in_flight = 0

    async def send(
        self,
        gateway: NodeProcess,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        patience_s: float = CALL_LIMIT_S,
    ) -> Reply | None:
        """Send one HTTP request; return None if the connection broke.

        The caller hangs up after ``patience_s``.
        """
        sent_at = anyio.current_time()
        hung_up = anyio.Event()
        ended = anyio.Event()
        events: list[dict] = []
        is_body_sent = False

        async def receive() -> dict:
            nonlocal is_body_sent
            if not is_body_sent:
                is_body_sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await hung_up.wait()
            return {"type": "http.disconnect"}

        async def send(event: dict) -> None:
            events.append(event)

        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [
                (name.encode(), value.encode())
                for name, value in (headers or {}).items()
            ],
        }

        async def serve() -> None:
            try:
                await gateway.node.app(scope, receive, send)
            except Exception as error:
                # A killed process is thawed when the run is over, to be cancelled.
                if gateway.is_killed:
                    return
                self.cell.report(f"{gateway.name} failed on {path}: {error!r}")
            ended.set()

        async def end_with_connection() -> None:
            await gateway.closed.wait()
            ended.set()

        if not gateway.is_alive or gateway.group is None:
            return None
        gateway.group.start_soon(serve)
        self.in_flight += 1
        with anyio.move_on_after(patience_s) as limit:
            async with anyio.create_task_group() as group:
                group.start_soon(end_with_connection)
                await ended.wait()
                group.cancel_scope.cancel()
        hung_up.set()
        self.in_flight -= 1
        if len(events) == 2:
            head = events[0]
            names = {k.decode(): v.decode() for k, v in head["headers"]}
            return Reply(head["status"], names, events[1]["body"])
        was_draining = gateway.drain_at is not None and not gateway.is_killed
        if was_draining and not limit.cancelled_caught and sent_at < gateway.drain_at:
            self.cell.report(f"drain of {gateway.name} interrupted {method} {path}")
        return None

    def team_headers(self, team: str) -> dict[str, str]:
        """Return the headers that authenticate a team."""
        return {"gypsumring-team": team, "authorization": f"Bearer {TOKEN}"}

    def pick_gateway(self) -> NodeProcess | None:
        """Return a gateway, mostly one that the balancer would choose."""
        ready = self.cell.ready_gateways()
        if self.random_source.random() < 0.05:
            ready = [p for p in self.cell.gateways if p.is_alive]
        return self.random_source.choice(ready) if ready else None

    async def request(
        self,
        gateway: NodeProcess,
        service: str,
        key: str,
        body: bytes,
        deadline_ms: int = 0,
        patience_s: float = CALL_LIMIT_S,
    ) -> Call:
        """Send one request to a service and record what the caller is told."""
        call = Call(f"call-{len(self.calls)}", service, key, body)
        self.calls.append(call)
        headers = {CALL_HEADER: call.name}
        if key:
            headers["gypsumring-key"] = key
        if deadline_ms:
            headers["gypsumring-deadline-ms"] = str(deadline_ms)
        call.reply = await self.send(
            gateway, "POST", f"/services/{service}/run", body, headers, patience_s
        )
        told = "nothing"
        if call.reply is not None:
            reason = call.reply.headers.get("gypsumring-reason", "")
            told = f"{call.reply.status} {call.reply.outcome} {reason}"
        self.cell.trace.note(anyio.current_time(), f"{call.name} told {told}")
        return call
