"""HTTP requests that go through another node while the direct path fails."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from gypsumring.transport.exceptions import ConnectFailed, NoResponse
from gypsumring.transport.http_client import HttpClient, HttpResponse
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["HttpCall", "Relay", "RelayedClient"]

log = EventLogger("relay")

# Statuses of a server that turns this node away; nothing was done.
TURNED_AWAY = (429, 503)
# While the direct path fails, one call in this time tries it first.
PROBE_PERIOD_S = 0.5
PROBE_LIMIT_S = 0.1
# The direct path serves others only if it has answered within this time.
HEALTHY_S = 0.6


class HttpCall(msgspec.Struct, array_like=True):
    """Carry one request to the node that sends it on."""

    method: str
    path: str
    body: bytes
    content_type: str


Relay = Callable[[HttpCall, float], Awaitable[HttpResponse]]


class RelayedClient:
    """Send idempotent requests to one server, through a peer if need be.

    ``relay`` sends a call through a peer before a deadline. It raises ConnectFailed if
    no peer could send it on, and NoResponse if the request may have been executed.
    """

    __slots__ = (
        "answered_at",
        "client",
        "dependency",
        "is_failing",
        "probe_at",
        "relay",
    )

    def __init__(self, client: HttpClient, what: str):
        self.client = client
        self.relay: Relay | None = None
        self.is_failing = False
        self.answered_at = float("-inf")
        self.probe_at = 0.0
        self.dependency = DependencyLogger(log, what)

    def is_healthy(self) -> bool:
        """Tell whether the direct path has answered a short while ago."""
        now = anyio.current_time()
        return not self.is_failing and now - self.answered_at < HEALTHY_S

    async def request(
        self, call: HttpCall, deadline: float, waits: bool = False
    ) -> HttpResponse:
        """Return the response that arrives before ``deadline`` (``current_time``).

        Calls that the server may hold back (``waits``) do not probe a failing path.
        Raise ConnectFailed if nothing was sent and NoResponse if the request may have
        been executed.
        """
        now = anyio.current_time()
        limit = deadline
        if self.is_failing and (waits or now < self.probe_at):
            response = await self.send_relayed(call, deadline)
            if response is not None:
                return response
        elif self.is_failing:
            self.probe_at = now + PROBE_PERIOD_S
            limit = min(deadline, now + PROBE_LIMIT_S)
        return await self.send_either(call, limit, deadline)

    async def send_either(
        self, call: HttpCall, limit: float, deadline: float
    ) -> HttpResponse:
        """Send a call directly until ``limit``, then through a peer."""
        try:
            response = await self.send_direct(call, limit)
        except (ConnectFailed, NoResponse):
            if anyio.current_time() >= deadline:
                raise
            relayed = await self.send_relayed(call, deadline)
            if relayed is None:
                raise
            return relayed
        if response.status in TURNED_AWAY:
            return await self.send_relayed(call, deadline) or response
        return response

    async def send_relayed(
        self, call: HttpCall, deadline: float
    ) -> HttpResponse | None:
        """Send a call through a peer; return None if none could send it on."""
        if self.relay is None:
            return None
        try:
            return await self.relay(call, deadline)
        except ConnectFailed as error:
            log.debug("no peer reaches the server", error=str(error))
            return None

    async def send_direct(self, call: HttpCall, deadline: float) -> HttpResponse:
        """Send a call to the server, and note whether the path works."""
        try:
            response = await self.client.request(
                call.method,
                call.path,
                deadline,
                call.body,
                content_type=call.content_type,
            )
        except (ConnectFailed, NoResponse) as error:
            self.note_failure(error)
            raise
        if response.status in TURNED_AWAY:
            self.note_failure(ConnectFailed(f"status {response.status}"))
        else:
            self.answered_at = anyio.current_time()
            self.is_failing = False
            self.dependency.note_success()
        return response

    def note_failure(self, error: Exception) -> None:
        """Note a call without an answer."""
        if not self.is_failing:
            self.probe_at = anyio.current_time() + PROBE_PERIOD_S
        self.is_failing = True
        self.dependency.note_failure(error)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()
