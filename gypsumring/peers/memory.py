"""In-process transport of peer messages, for tests on a mock clock."""

import math
import random

import anyio
from anyio.abc import TaskGroup

from gypsumring.messages.codec import decode_envelope, decode_reply, encode
from gypsumring.messages.peer import Envelope, PeerMessage, PeerReply, Rejected
from gypsumring.ports import (
    PeerHandler,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)

__all__ = ["InMemoryPeers"]


class InMemoryServer:
    """Server that passes delivered messages to one handler."""

    def __init__(self, network: "InMemoryPeers", address: str, node: str, handler):
        self.network = network
        self.address = address
        self.node = node
        self.handler: PeerHandler = handler
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Listen on the address; cancellation leaves calls in flight unanswered."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.network.servers[self.address] = self
            try:
                await anyio.sleep(math.inf)
            finally:
                if self.network.servers.get(self.address) is self:
                    del self.network.servers[self.address]

    async def handle_frame(
        self, frame: bytes, replies: list, reply_ready: anyio.Event
    ) -> None:
        """Pass a frame to the handler and append the encoded reply to ``replies``."""
        envelope = decode_envelope(frame)
        try:
            reply = await self.handler(envelope.sender, envelope.message)
        except PeerRejected as error:
            reply = Rejected(error.reason)
        replies.append(encode(reply))
        reply_ready.set()


class InMemoryClient:
    """Client that sends the messages of one node."""

    def __init__(self, network: "InMemoryPeers", node: str):
        self.network = network
        self.node = node

    async def call(
        self, address: str, message: PeerMessage, deadline: float
    ) -> PeerReply:
        """Send a message over the simulated network and return the reply."""
        return await self.network.deliver(self.node, address, message, deadline)


class InMemoryPeers:
    """Simulated network between nodes, with seeded delay, loss and duplication.

    ``loss`` and ``duplication`` are the probabilities that a message is lost or
    delivered twice.
    """

    def __init__(
        self,
        random_source: random.Random,
        min_delay_s: float = 0.0005,
        max_delay_s: float = 0.002,
        loss: float = 0.0,
        duplication: float = 0.0,
    ):
        self.random_source = random_source
        self.min_delay_s = min_delay_s
        self.max_delay_s = max_delay_s
        self.loss = loss
        self.duplication = duplication
        self.servers: dict[str, InMemoryServer] = {}
        self.unresponsive_addresses: set[str] = set()
        self.group_by_node: dict[str, int] = {}
        self.delivered_count = 0

    def client(self, node: str) -> InMemoryClient:
        """Create a client of a node."""
        return InMemoryClient(self, node)

    def server(self, address: str, node: str, handler: PeerHandler) -> InMemoryServer:
        """Create a server, which listens while its ``run`` method is running."""
        return InMemoryServer(self, address, node, handler)

    def partition(self, *groups: list[str]) -> None:
        """Drop messages between nodes of different groups.

        Without any group the partition is healed.
        """
        self.group_by_node = {
            node: number for number, nodes in enumerate(groups) for node in nodes
        }

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Return whether messages between two nodes are dropped."""
        return self.group_by_node.get(sender, -1) != self.group_by_node.get(
            receiver, -1
        )

    async def simulate_latency(self) -> None:
        """Wait for a random one-way network delay."""
        await anyio.sleep(
            self.random_source.uniform(self.min_delay_s, self.max_delay_s)
        )

    async def deliver(
        self, sender: str, address: str, message: PeerMessage, deadline: float
    ) -> PeerReply:
        """Deliver a message and return the reply; raise the errors of the port."""
        frame = encode(Envelope(sender, 0, self.delivered_count, message))
        replies: list[bytes] = []
        with anyio.CancelScope(deadline=deadline):
            await self.simulate_latency()
            server = self.servers.get(address)
            if address in self.unresponsive_addresses:
                await anyio.sleep_until(deadline)
            if server is None or server.tasks is None:
                raise PeerUnreachable(f"{address}: connection refused")
            if self.is_partitioned(sender, server.node) or self.is_lost():
                await anyio.sleep_until(deadline)
                raise PeerTimeout(f"{address}: no reply before the deadline")
            reply_ready = anyio.Event()
            copy_count = 1 + (self.random_source.random() < self.duplication)
            for _ in range(copy_count):
                self.delivered_count += 1
                server.tasks.start_soon(
                    server.handle_frame, frame, replies, reply_ready
                )
            await reply_ready.wait()
            await self.simulate_latency()
            if self.is_partitioned(sender, server.node) or self.is_lost():
                replies.clear()
                await anyio.sleep_until(deadline)
            if replies:
                reply = decode_reply(replies[0])
                if isinstance(reply, Rejected):
                    raise PeerRejected(reply.reason)
                return reply
        raise PeerTimeout(f"{address}: no reply before the deadline")

    def is_lost(self) -> bool:
        """Draw at random whether a message is lost."""
        return self.loss > 0 and self.random_source.random() < self.loss
