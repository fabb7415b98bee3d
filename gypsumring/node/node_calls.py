"""Single calls to other nodes, each over a channel of its own."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from gypsumring.cell.messages import Pong, decoder
from gypsumring.metrics import Metrics
from gypsumring.transport import Channel, ChannelClosed, ConnectFailed
from gypsumring.utils.logs import EventLogger

__all__ = ["CONNECT_TIMEOUT_S", "Connect", "Handler", "NodeCalls"]

log = EventLogger("link")

CONNECT_TIMEOUT_S = 0.2
ANSWER_TIMEOUT_S = 0.2
MAX_CONCURRENT_CALLS = 8

Handler = Callable[[Channel, Any], Awaitable[Any]]
Connect = Callable[[str, Any, Handler, float], Awaitable[Channel]]


class NodeCalls:
    """Sender of single messages to nodes; ``handler`` answers what they send back."""

    __slots__ = ("connect", "handler", "metrics")

    def __init__(self, connect: Connect, handler: Handler, metrics: Metrics):
        self.connect = connect
        self.handler = handler
        self.metrics = metrics

    async def call_all(self, addresses: list[str], message: Any) -> dict[str, Pong]:
        """Send a message to nodes, a few at a time; return their answers by address."""
        answers: dict[str, Pong] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def call(address: str) -> None:
            async with limiter:
                answer = await self.call(address, message)
            if isinstance(answer, Pong):
                answers[address] = answer

        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(call, address)
        return answers

    async def call(self, address: str, message: Any) -> Any:
        """Send a message over a separate channel; return None if unanswered."""
        deadline = anyio.current_time() + CONNECT_TIMEOUT_S
        answer: Any = None
        self.metrics.count("link.calls_to_nodes")
        try:
            channel = await self.connect(address, decoder, self.handler, deadline)
        except ConnectFailed as error:
            log.debug("node not reached", address=address, error=str(error))
            return None
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            try:
                answer = await channel.call(
                    message, anyio.current_time() + ANSWER_TIMEOUT_S
                )
            except ChannelClosed as error:
                log.debug("node did not answer", address=address, error=str(error))
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            group.cancel_scope.cancel()
        return answer
