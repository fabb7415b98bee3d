"""Relay store calls between nodes when a direct path to the store fails."""

from collections.abc import Callable

import anyio

from gypsumring.cell.messages import RelayAnswer, RelayCall
from gypsumring.metrics import Metrics
from gypsumring.transport import (
    Channel,
    ChannelClosed,
    ConnectFailed,
    HttpCall,
    HttpResponse,
    NoResponse,
    RelayedClient,
)

__all__ = ["StoreRelay"]

# Maximum number of peers tried for one call.
MAX_PEERS = 3


class StoreRelay:
    """Send store calls through peers, and relay the calls of peers to the store.

    All calls to the store are idempotent, as appends carry the epoch and sequence
    number of their producer. A call without a response may therefore be sent again.
    """

    __slots__ = ("list_channels", "metrics", "next_peer", "path")

    def __init__(
        self,
        path: RelayedClient,
        list_channels: Callable[[], list[Channel]],
        metrics: Metrics,
    ):
        self.path = path
        self.list_channels = list_channels
        self.metrics = metrics
        # Index, modulo the number of channels, of the peer tried first: the one that
        # answered last.
        self.next_peer = 0
        path.relay = self.send

    async def send(self, call: HttpCall, deadline: float) -> HttpResponse:
        """Send a call through a peer; raise ConnectFailed or NoResponse."""
        for channel in self.choose_channels():
            request = RelayCall(call, deadline - anyio.current_time())
            # A concurrent copy of the call starts with another peer, so that one
            # unresponsive peer does not delay both.
            self.next_peer += 1
            try:
                answer = await channel.call(request, deadline)
            except ChannelClosed as error:
                self.metrics.count("store.relays.unanswered")
                raise NoResponse(str(error)) from error
            if not isinstance(answer, RelayAnswer):
                continue
            if answer.status:
                self.next_peer -= 1
                self.metrics.count("store.relays.sent")
                return HttpResponse(answer.status, answer.body, {}, False)
            if answer.sent:
                self.metrics.count("store.relays.unanswered")
                raise NoResponse(f"no response through node {channel.peer}")
        self.metrics.count("store.relays.refused")
        raise ConnectFailed("no peer could relay the call to the store")

    def choose_channels(self) -> list[Channel]:
        """Return the channels to try, in order."""
        channels = self.list_channels()
        if not channels:
            return []
        start = self.next_peer % len(channels)
        return (channels[start:] + channels[:start])[:MAX_PEERS]

    async def serve(self, request: RelayCall) -> RelayAnswer:
        """Send a peer's call on the direct path, unless that path is unhealthy."""
        if not self.path.is_healthy():
            return RelayAnswer(False)
        deadline = anyio.current_time() + request.timeout_s
        try:
            response = await self.path.send_direct(request.call, deadline)
        except ConnectFailed:
            return RelayAnswer(False)
        except NoResponse:
            return RelayAnswer(True)
        self.metrics.count("store.relays.served")
        return RelayAnswer(True, response.status, response.body)
