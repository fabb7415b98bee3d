"""HTTP requests that are relayed by another node while the direct path fails."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from gypsumring.transport.exceptions import ConnectFailed, NoResponse
from gypsumring.transport.http_client import HttpClient, HttpResponse
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["HttpCall", "Relay", "RelayedClient"]

log = EventLogger("relay")

# The server refuses requests of this node with these statuses and does nothing.
REFUSAL_STATUSES = (429, 503)
# While the direct path fails, one call per period tries it first.
PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.1
# This node relays calls of peers only if the server has answered it within this time.
MAX_HEALTHY_ANSWER_AGE_S = 0.6
# A direct call unanswered for longer than this makes the path count as failing.
MAX_ANSWER_DELAY_S = 0.05


class HttpCall(msgspec.Struct, array_like=True):
    """HTTP request; if ``waits``, the server may delay the response (long poll)."""

    method: str
    path: str
    body: bytes = b""
    content_type: str = "application/json"
    waits: bool = False


Relay = Callable[[HttpCall, float], Awaitable[HttpResponse]]


class RelayedClient:
    """HTTP client for idempotent requests to one server, directly or through a peer.

    ``relay`` sends a call through a peer before a deadline. It raises ConnectFailed if
    no peer could forward it, and NoResponse if the request may have been executed.
    """

    __slots__ = (
        "last_answer_at",
        "client",
        "dependency",
        "last_call_failed",
        "next_probe_at",
        "relay",
        "sent_at_in_flight",
        "was_failing",
    )

    def __init__(self, client: HttpClient, dependency_name: str):
        self.client = client
        self.relay: Relay | None = None
        # Whether the newest direct call failed or was refused.
        self.last_call_failed = False
        self.was_failing = False
        self.last_answer_at = float("-inf")
        # Send times of the direct calls in flight, without long polls.
        self.sent_at_in_flight: list[float] = []
        self.next_probe_at = 0.0
        self.dependency = DependencyLogger(log, dependency_name)

    def is_failing(self) -> bool:
        """Return whether the direct path counts as failing."""
        if self.last_call_failed:
            return True
        # Calls sent before the newest answer say nothing about the current state.
        newer_sent_at = [
            sent_at
            for sent_at in self.sent_at_in_flight
            if sent_at > self.last_answer_at
        ]
        return (
            min(newer_sent_at, default=float("inf"))
            < anyio.current_time() - MAX_ANSWER_DELAY_S
        )

    def is_healthy(self) -> bool:
        """Return whether the direct path works and has answered recently."""
        recent = anyio.current_time() - self.last_answer_at < MAX_HEALTHY_ANSWER_AGE_S
        return recent and not self.is_failing()

    def update_path_state(self) -> bool:
        """Return whether the path is failing; schedule a probe when that begins."""
        failing = self.is_failing()
        if failing and not self.was_failing:
            self.next_probe_at = anyio.current_time() + PROBE_PERIOD_S
        self.was_failing = failing
        return failing

    async def request(self, call: HttpCall, deadline: float) -> HttpResponse:
        """Return the response that arrives before ``deadline`` (``current_time``).

        Raise ConnectFailed if nothing was sent and NoResponse if the request may have
        been executed.
        """
        direct_deadline = deadline
        if self.update_path_state():
            now = anyio.current_time()
            if call.waits or now < self.next_probe_at:
                response = await self.send_relayed(call, deadline)
                if response is not None:
                    return response
            else:
                self.next_probe_at = now + PROBE_PERIOD_S
                direct_deadline = min(deadline, now + PROBE_TIMEOUT_S)
        return await self.send_direct_or_relayed(call, direct_deadline, deadline)

    async def send_direct_or_relayed(
        self, call: HttpCall, direct_deadline: float, deadline: float
    ) -> HttpResponse:
        """Send a call directly until ``direct_deadline``, then through a peer."""
        try:
            response = await self.send_direct(call, direct_deadline)
        except (ConnectFailed, NoResponse):
            if anyio.current_time() >= deadline:
                raise
            relayed = await self.send_relayed(call, deadline)
            if relayed is None:
                raise
            return relayed
        if response.status in REFUSAL_STATUSES:
            return await self.send_relayed(call, deadline) or response
        return response

    async def send_relayed(
        self, call: HttpCall, deadline: float
    ) -> HttpResponse | None:
        """Send a call through a peer; return None if no peer could forward it."""
        if self.relay is None:
            return None
        try:
            return await self.relay(call, deadline)
        except ConnectFailed as error:
            log.debug("no peer could forward the call to the server", error=str(error))
            return None

    async def send_direct(self, call: HttpCall, deadline: float) -> HttpResponse:
        """Send a call to the server and record whether the path works."""
        sent_at = anyio.current_time()
        if not call.waits:
            self.sent_at_in_flight.append(sent_at)
        try:
            response = await self.client.request(
                call.method,
                call.path,
                deadline,
                call.body,
                content_type=call.content_type,
            )
        except (ConnectFailed, NoResponse) as error:
            if sent_at >= self.last_answer_at:
                self.record_failed_call(error)
            raise
        finally:
            if not call.waits:
                self.sent_at_in_flight.remove(sent_at)
        if response.status in REFUSAL_STATUSES:
            self.record_failed_call(ConnectFailed(f"status {response.status}"))
        else:
            self.last_answer_at = anyio.current_time()
            self.last_call_failed = False
            self.dependency.note_success()
        return response

    def record_failed_call(self, error: Exception) -> None:
        """Record a direct call that failed or was refused."""
        self.last_call_failed = True
        self.dependency.note_failure(error)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()
