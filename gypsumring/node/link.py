"""The channel from a node to the owner of the cell."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gypsumring.cell.messages import Announce, Hello, Ping, Pong, decoder
from gypsumring.metrics import Metrics
from gypsumring.node.membership import Member
from gypsumring.ports.store import Store, StoreRefused, StoreUnavailable
from gypsumring.transport import (
    Channel,
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
)
from gypsumring.utils.logs import EventLogger

__all__ = ["OwnerLink"]

log = EventLogger("link")

PING_PERIOD_S = 0.15
PING_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_S = 0.2
HELLO_TIMEOUT_S = 0.25
LOOKUP_TIMEOUT_S = 0.5
LOOKUP_PAUSE_S = 0.06

Handler = Callable[[Channel, Any], Awaitable[Any]]
Connect = Callable[[str, Any, Handler, float], Awaitable[Channel]]


class OwnerLink:
    """Channel to the current owner of the cell, verified by periodic pings."""

    __slots__ = (
        "announced_address",
        "cell",
        "channel",
        "connect",
        "fence",
        "group_name",
        "handler",
        "has_announced",
        "largest_member",
        "last_linked_at",
        "linked_since",
        "member",
        "metrics",
        "node_addresses",
        "nodes_version",
        "own_fence",
        "owner_address",
        "owner_changed",
        "owner_member",
        "size",
        "store",
    )

    def __init__(
        self,
        store: Store,
        group_name: str,
        cell: int,
        member: Member,
        own_fence: Callable[[], int | None],
        handler: Handler,
        connect: Connect = Channel.connect,
        size: int = 0,
        metrics: Metrics | None = None,
    ):
        self.metrics = metrics or Metrics()
        self.store = store
        self.group_name = group_name
        self.cell = cell
        self.member = member
        # Returns the fence number of this node while it owns the cell, else None.
        self.own_fence = own_fence
        self.handler = handler
        self.connect = connect
        # Size of the largest machine in the group, None if the last lookup failed.
        self.largest_member: int | None = None
        # Size of this machine, 0 once the node is stopping.
        self.size = size
        self.channel: Channel | None = None
        self.owner_changed = anyio.Event()
        self.last_linked_at = anyio.current_time()
        # Time since which the owner at ``owner_address`` has responded.
        self.linked_since = 0.0
        # Addresses of other nodes by name, received from the owner and the store.
        self.node_addresses: dict[str, str] = {}
        self.nodes_version = 0
        # Address of the linked owner, and the group name of the owner last looked up.
        self.owner_address = ""
        self.owner_member = ""
        # Highest fence number of an owner seen so far; address that an owner announced
        # and that has not been tried yet.
        self.fence = 0
        self.announced_address = ""
        # Whether this node has announced its ownership to the other nodes.
        self.has_announced = False

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the owner."""
        self.owner_changed.set()
        self.owner_changed = anyio.Event()

    async def run(self) -> None:
        """Find the owner and keep a channel to it until cancelled."""
        while True:
            fence = self.own_fence()
            if fence is not None:
                await self.announce_ownership(fence)
                continue
            self.has_announced = False
            try:
                address = await self.find_owner()
                if address is not None and not await self.follow(address):
                    await self.remove_unresponsive_owner(address)
            except ConnectRefused:
                # A refused connection proves that the owner's process has ended.
                await self.remove_owner(address, "connection refused")
            except ConnectFailed as error:
                log.debug("owner not reached", error=str(error))
                await self.remove_unresponsive_owner(address)
            await anyio.sleep(LOOKUP_PAUSE_S)

    async def withdraw(self) -> None:
        """Notify the owner that this node is no longer a candidate for ownership."""
        self.size = 0
        if self.channel is None:
            return
        hello = Hello(self.member.node, self.member.address)
        try:
            await self.channel.call(hello, anyio.current_time() + HELLO_TIMEOUT_S)
        except ChannelClosed as error:
            log.debug("owner could not be notified of the withdrawal", error=str(error))

    async def announce_ownership(self, fence: int) -> None:
        """Announce once that this node owns the cell, then wait one ping period."""
        self.last_linked_at = anyio.current_time()
        self.fence = max(self.fence, fence)
        self.notify()
        if not self.has_announced:
            # Nodes that wait for an unresponsive owner would otherwise find the new one
            # only after a timeout.
            self.has_announced = True
            await self.call_nodes(Announce(self.member.address, fence))
        await anyio.sleep(PING_PERIOD_S)

    async def find_owner(self) -> str | None:
        """Return the announced address of the owner, or else look it up."""
        announced_address, self.announced_address = self.announced_address, ""
        return announced_address or await self.look_up()

    async def look_up(self) -> str | None:
        """Return the address of the owner, None if there is none or it is this node.

        If the store is unavailable or refuses the call, query the recorded nodes.
        """
        try:
            owners = await self.store.owners(
                self.group_name, anyio.current_time() + LOOKUP_TIMEOUT_S
            )
        except (StoreUnavailable, StoreRefused) as error:
            log.debug("owner not found in the store", error=str(error))
            self.largest_member = None
            return await self.query_nodes()
        members = map(Member.parse, owners.values())
        self.largest_member = max((member.size for member in members), default=0)
        name = owners.get(self.cell)
        if name is None:
            return None
        owner = Member.parse(name)
        if owner.node == self.member.node:
            return None
        self.node_addresses[owner.node] = owner.address
        self.owner_member = name
        return owner.address

    async def query_nodes(self) -> str | None:
        """Return the owner's address as recorded by other nodes, or None."""
        answers = await self.call_nodes(Ping())
        best = max(answers, key=lambda pong: (pong.owns, pong.fence), default=None)
        if best is None or not best.owner_address:
            return None
        return best.owner_address

    async def call_nodes(self, message: Any, without: str = "") -> list[Pong]:
        """Send a message to the other recorded nodes and return their answers."""
        answers: list[Pong] = []
        self.metrics.count("link.calls_to_all_nodes")

        async def call(address: str) -> None:
            answer = await self.call_node(address, message)
            if isinstance(answer, Pong):
                answers.append(answer)

        async with anyio.create_task_group() as group:
            for name, address in self.node_addresses.items():
                if name != self.member.node and address != without:
                    group.start_soon(call, address)
        return answers

    async def call_node(self, address: str, message: Any) -> Any:
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
                    message, anyio.current_time() + PING_TIMEOUT_S
                )
            except ChannelClosed as error:
                log.debug("node did not answer", address=address, error=str(error))
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            group.cancel_scope.cancel()
        return answer

    async def record_announced_owner(self, message: Announce) -> None:
        """Switch to an owner that has announced itself, unless its fence is stale."""
        if message.fence <= self.fence:
            return
        self.fence = message.fence
        self.announced_address = message.owner_address
        if self.channel is not None and self.owner_address != self.announced_address:
            await self.channel.aclose()

    async def remove_unresponsive_owner(self, address: str) -> None:
        """Remove an owner that no node reaches from the group.

        This node may itself be partitioned from the others. It therefore removes the
        owner only if a majority of the nodes, itself included, is reachable and none
        of them is linked to the owner.
        """
        others = [
            name
            for name, node_address in self.node_addresses.items()
            if name != self.member.node and node_address != address
        ]
        began_at = anyio.current_time()
        answers = await self.call_nodes(Ping(), without=address)
        linked = sum(pong.owns or pong.owner_address == address for pong in answers)
        log.info(
            "owner suspected",
            owner=address,
            fence=self.fence,
            unlinked_s=round(began_at - self.last_linked_at, 3),
            nodes=len(others),
            answered=len(answers),
            linked=linked,
            took_ms=round((anyio.current_time() - began_at) * 1000),
        )
        self.metrics.count("link.suspicions")
        if linked:
            return
        if answers and (len(answers) + 1) * 2 > len(others) + 1:
            await self.remove_owner(address, "unresponsive")

    async def remove_owner(self, address: str, reason: str) -> None:
        """Remove a dead owner from the group so that the cell is reassigned at once.

        If the owner is alive after all, the next owner's fence keeps the cell's state
        consistent.
        """
        member, self.owner_member = self.owner_member, ""
        if not member or Member.parse(member).address != address:
            return
        try:
            await self.store.leave(
                self.group_name, member, anyio.current_time() + LOOKUP_TIMEOUT_S
            )
            self.metrics.count("link.owners_removed")
            log.info(
                "dead owner removed from the group",
                member=member,
                reason=reason,
                fence=self.fence,
            )
        except (StoreUnavailable, StoreRefused) as error:
            log.debug(
                "dead owner could not be removed from the group", error=str(error)
            )

    async def follow(self, address: str) -> bool:
        """Keep a channel to the owner while it responds and owns the cell.

        Return whether the owner has responded at all.
        """
        has_answered = False
        deadline = anyio.current_time() + CONNECT_TIMEOUT_S
        self.metrics.count("link.connections_to_owners")
        channel = await self.connect(address, decoder, self.handler, deadline)
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            hello = Hello(self.member.node, self.member.address, self.size)
            try:
                await channel.call(hello, anyio.current_time() + HELLO_TIMEOUT_S)
                has_answered = True
                while await self.still_owns_cell(channel, address):
                    await anyio.sleep(PING_PERIOD_S)
            except ChannelClosed as error:
                log.debug("channel ended", owner=address, error=str(error))
            finally:
                if self.channel is channel:
                    self.channel = None
                    self.owner_address = ""
                    now = anyio.current_time()
                    log.info(
                        "owner lost",
                        owner=address,
                        fence=self.fence,
                        linked_s=round(now - self.linked_since, 3),
                        unanswered_s=round(now - self.last_linked_at, 3),
                    )
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
                group.cancel_scope.cancel()
        return has_answered

    async def still_owns_cell(self, channel: Channel, address: str) -> bool:
        """Ping the peer and return whether it still owns the cell."""
        if self.own_fence() is not None:
            return False
        pong = await channel.call(
            Ping(self.nodes_version), anyio.current_time() + PING_TIMEOUT_S
        )
        if not isinstance(pong, Pong) or not pong.owns:
            return False
        self.last_linked_at = anyio.current_time()
        self.fence = max(self.fence, pong.fence)
        if pong.nodes is not None:
            self.node_addresses = {**pong.nodes, **self.list_owner_address(address)}
            self.nodes_version = pong.nodes_version
        if self.channel is not channel:
            self.channel = channel
            self.owner_address = address
            self.linked_since = self.last_linked_at
            log.info("linked to the owner", fence=pong.fence)
            self.notify()
        return True

    def list_owner_address(self, address: str) -> dict[str, str]:
        """Return the owner's name and address, which its own list does not contain."""
        return {
            name: node_address
            for name, node_address in self.node_addresses.items()
            if node_address == address
        }
