"""HTTP requests that are relayed by another node while the direct path fails."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from gypsumring.transport.exceptions import ConnectFailed, NoResponse
from gypsumring.transport.http_client import (
    HttpClient,
    HttpResponse,
    ResponseCollector,
)
from gypsumring.transport.traffic import LinkTraffic
from gypsumring.utils.logs import DependencyLogger, EventLogger

__all__ = ["HttpCall", "Relay", "RelayedClient"]

log = EventLogger("relay")

# The server refuses requests of this node with these statuses and does nothing.
REFUSAL_STATUSES = (429, 503)
# While the direct path fails, one call per period tries it first, for this time beside
# that of its transfer, times the factor.
PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.1
# This node relays calls of peers only if the server has answered it within this time.
MAX_HEALTHY_ANSWER_AGE_S = 0.6
# A direct call unanswered for longer than this makes the path count as failing, beside
# the time that the link of this machine takes for it, times the factor.
MAX_ANSWER_DELAY_S = 0.05
TRANSFER_FACTOR = 2


class HttpCall(msgspec.Struct, array_like=True):
    """HTTP request; if ``waits``, the server may delay the response (long poll).

    ``reply_bytes`` is the size of a response that may be large.
    """

    method: str
    path: str
    body: bytes = b""
    content_type: str = "application/json"
    waits: bool = False
    reply_bytes: int = 0

    @property
    def is_read(self) -> bool:
        """Return whether the response may be large and take as long as it arrives."""
        return self.method == "GET"


Relay = Callable[[HttpCall, float], Awaitable[HttpResponse]]
# Called after each part of a response that is received directly.
OnReceived = Callable[[ResponseCollector], None]


class DirectCall:
    """Direct call in flight, and the time from which its response is overdue."""

    __slots__ = ("due_at", "received_at", "reply_bytes", "sent_at")

    def __init__(self, sent_at: float, due_at: float, reply_bytes: int):
        self.sent_at = sent_at
        # When the last part of the response arrived, ``sent_at`` before the first one.
        self.received_at = sent_at
        self.due_at = due_at
        self.reply_bytes = reply_bytes


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
        "calls_in_flight",
        "traffic",
        "was_failing",
    )

    def __init__(
        self,
        client: HttpClient,
        dependency_name: str,
        traffic: LinkTraffic | None = None,
    ):
        self.client = client
        self.traffic = traffic or LinkTraffic()
        self.relay: Relay | None = None
        # Whether the newest direct call failed or was refused.
        self.last_call_failed = False
        self.was_failing = False
        self.last_answer_at = float("-inf")
        # Direct calls in flight, without long polls.
        self.calls_in_flight: list[DirectCall] = []
        self.next_probe_at = 0.0
        self.dependency = DependencyLogger(log, dependency_name)

    def is_failing(self) -> bool:
        """Return whether the direct path counts as failing."""
        if self.last_call_failed:
            return True
        # Calls sent before the newest answer say nothing about the current state.
        due_times = [
            call.due_at
            for call in self.calls_in_flight
            if call.sent_at > self.last_answer_at
        ]
        due_at = min(due_times, default=float("inf")) + self.replies_s()
        return due_at < anyio.current_time()

    def replies_s(self, more_bytes: int = 0) -> float:
        """Return the time to allow for the responses in flight, and for more bytes.

        Large responses delay all others on the link.
        """
        reply_bytes = sum(call.reply_bytes for call in self.calls_in_flight)
        return TRANSFER_FACTOR * self.traffic.transfer_s(reply_bytes + more_bytes)

    def probe_limit_s(self, call: HttpCall) -> float:
        """Return how long a call that is sent now may try the direct path."""
        send_s = TRANSFER_FACTOR * self.traffic.send_s(len(call.body))
        return PROBE_TIMEOUT_S + send_s + self.replies_s(call.reply_bytes)

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

    async def request(
        self,
        call: HttpCall,
        deadline: float,
        on_received: OnReceived | None = None,
        may_relay: bool = True,
    ) -> HttpResponse:
        """Return the response that arrives before ``deadline`` (``current_time``).

        The response to a read may take longer once it has begun, as described for
        ``HttpClient.request``. ``on_received`` is called after each of its parts if it
        is received directly.

        Raise ConnectFailed if nothing was sent and NoResponse if the request may have
        been executed.
        """
        direct_deadline = deadline
        is_failing = self.update_path_state()
        if not may_relay:
            return await self.send_direct(call, deadline, on_received)
        if is_failing:
            now = anyio.current_time()
            if call.waits or now < self.next_probe_at:
                response = await self.send_relayed(call, deadline)
                if response is not None:
                    return response
            else:
                self.next_probe_at = now + PROBE_PERIOD_S
                direct_deadline = min(deadline, now + self.probe_limit_s(call))
        return await self.send_direct_or_relayed(
            call, direct_deadline, deadline, on_received
        )

    async def send_direct_or_relayed(
        self,
        call: HttpCall,
        direct_deadline: float,
        deadline: float,
        on_received: OnReceived | None = None,
    ) -> HttpResponse:
        """Send a call directly until ``direct_deadline``, then through a peer."""
        try:
            response = await self.send_direct(call, direct_deadline, on_received)
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

    async def send_direct(
        self,
        call: HttpCall,
        deadline: float,
        on_received: OnReceived | None = None,
    ) -> HttpResponse:
        """Send a call to the server and record whether the path works."""
        sent_at = anyio.current_time()
        transfer_s = self.traffic.send_s(len(call.body))
        in_flight = DirectCall(
            sent_at,
            sent_at + MAX_ANSWER_DELAY_S + TRANSFER_FACTOR * transfer_s,
            call.reply_bytes,
        )
        if not call.waits:
            self.calls_in_flight.append(in_flight)

        def note_received(response: ResponseCollector) -> None:
            in_flight.received_at = self.last_answer_at = anyio.current_time()
            if on_received is not None:
                on_received(response)

        try:
            response = await self.client.request(
                call.method,
                call.path,
                deadline,
                call.body,
                content_type=call.content_type,
                on_received=note_received if call.is_read else None,
            )
        except (ConnectFailed, NoResponse) as error:
            if in_flight.received_at >= self.last_answer_at:
                self.record_failed_call(error)
            raise
        finally:
            if not call.waits:
                self.calls_in_flight.remove(in_flight)
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
