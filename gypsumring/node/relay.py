"""Pass calls to the store on for nodes that it turns away."""

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

# So many peers are asked to send one call on.
MAX_PEERS = 3


class StoreRelay:
    """Use the paths of peers to the store, and lend them the path of this node.

    All calls to the store are idempotent: appends carry the epoch and sequence number
    of their producer. So a call that ran without an answer may be sent again.
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
        # The peer that is asked first: the one that answered last.
        self.next_peer = 0
        path.relay = self.send

    async def send(self, call: HttpCall, deadline: float) -> HttpResponse:
        """Send a call through a peer; raise ConnectFailed or NoResponse."""
        for channel in self.choose_channels():
            request = RelayCall(call, deadline - anyio.current_time())
            # A copy of the call that is sent meanwhile goes to another peer first.
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
        raise ConnectFailed("no peer reaches the store")

    def choose_channels(self) -> list[Channel]:
        """Return the channels to try, in turn."""
        channels = self.list_channels()
        if not channels:
            return []
        start = self.next_peer % len(channels)
        return (channels[start:] + channels[:start])[:MAX_PEERS]

    async def serve(self, request: RelayCall) -> RelayAnswer:
        """Send a peer's call, if the direct path works."""
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
