"""Port between the processes of the system."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from gypsumring.messages.peer import PeerMessage, PeerReply

__all__ = ["PeerClient", "PeerHandler"]

# A handler takes the sender's node name and the message. It raises PeerRejected to
# reply that it did not handle the message.
PeerHandler = Callable[[str, PeerMessage], Awaitable[PeerReply]]


class PeerClient(Protocol):
    """Client that sends messages to peers."""

    async def call(
        self, address: str, message: PeerMessage, deadline: float
    ) -> PeerReply:
        """Send a message to ``address`` (IP:port) and return the reply.

        Raise PeerUnreachable when the message certainly was not delivered, PeerTimeout
        when it may have been, and PeerRejected when the peer refused it with a reason.
        """
