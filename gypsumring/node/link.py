"""The channel from a node to the owner of the cell."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gypsumring.cell.messages import Hello, Ping, Pong, decoder
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

PING_PERIOD_S = 0.4
PING_TIMEOUT_S = 0.8
HELLO_S = 1.0
LOOKUP_S = 0.5
LOOKUP_PAUSE_S = 0.12


class OwnerLink:
    """Keep a channel to the owner of the cell open and checked."""

    __slots__ = (
        "cell",
        "changed",
        "channel",
        "group_name",
        "handler",
        "is_owner",
        "known",
        "linked_at",
        "node",
        "owner_address",
        "owner_member",
        "store",
    )

    def __init__(
        self,
        store: Store,
        group_name: str,
        cell: int,
        node: str,
        is_owner: Callable[[], bool],
        handler: Callable[[Channel, Any], Awaitable[Any]],
    ):
        self.store = store
        self.group_name = group_name
        self.cell = cell
        self.node = node
        self.is_owner = is_owner
        self.handler = handler
        self.channel: Channel | None = None
        self.changed = anyio.Event()
        self.linked_at = anyio.current_time()
        # Addresses of nodes that have been seen in the group, by node name.
        self.known: dict[str, str] = {}
        # Address of the owner that this node is linked to, and its name in the group.
        self.owner_address = ""
        self.owner_member = ""

    def notify(self) -> None:
        """Wake those that wait for an owner."""
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Follow the owner until cancelled."""
        while True:
            if self.is_owner():
                self.linked_at = anyio.current_time()
                self.notify()
                await anyio.sleep(PING_PERIOD_S)
                continue
            try:
                address = await self.look_up()
                if address is not None:
                    await self.follow(address)
            except ConnectRefused:
                await self.release_dead(address)
            except ConnectFailed as error:
                log.debug("owner not reached", error=str(error))
            await anyio.sleep(LOOKUP_PAUSE_S)

    async def look_up(self) -> str | None:
        """Return the address of the owner, or None if it is this node or nobody.

        A node that the store turns away asks the nodes that it has seen before.
        """
        try:
            owners = await self.store.owners(
                self.group_name, anyio.current_time() + LOOKUP_S
            )
        except (StoreUnavailable, StoreRefused) as error:
            log.debug("owner not found in the store", error=str(error))
            return await self.ask_nodes()
        members = {cell: Member.parse(name) for cell, name in owners.items()}
        for member in members.values():
            self.known[member.node] = member.address
        owner = members.get(self.cell)
        if owner is None:
            return None
        self.owner_member = owners[self.cell]
        return None if owner.node == self.node else owner.address

    async def ask_nodes(self) -> str | None:
        """Return the address of the owner as other nodes know it."""
        answers: list[Pong] = []

        async def ask(address: str) -> None:
            answers.append(await self.ask_node(address))

        async with anyio.create_task_group() as group:
            for name, address in self.known.items():
                if name != self.node:
                    group.start_soon(ask, address)
        best = max(answers, key=lambda pong: (pong.owns, pong.fence), default=None)
        if best is None or not best.owner_address:
            return None
        return best.owner_address

    async def ask_node(self, address: str) -> Pong:
        """Ask one node who owns the cell."""
        nobody = Pong(False, -1)
        try:
            channel = await Channel.connect(address, decoder, self.handler)
        except ConnectFailed:
            return nobody
        answer: Any = nobody
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            try:
                answer = await channel.call(
                    Ping(), anyio.current_time() + PING_TIMEOUT_S
                )
            except ChannelClosed as error:
                log.debug("node not asked", address=address, error=str(error))
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            group.cancel_scope.cancel()
        return answer if isinstance(answer, Pong) else nobody

    async def release_dead(self, address: str) -> None:
        """Take a dead owner out of the group, so that the cell is dealt at once.

        A port without a listener shows that its process has ended. If it has not, the
        next owner's fence keeps the cell sound.
        """
        member, self.owner_member = self.owner_member, ""
        if not member or Member.parse(member).address != address:
            return
        try:
            await self.store.leave(
                self.group_name, member, anyio.current_time() + LOOKUP_S
            )
            log.info("dead owner taken out of the group", member=member)
        except (StoreUnavailable, StoreRefused) as error:
            log.debug("dead owner stays in the group", error=str(error))

    async def follow(self, address: str) -> None:
        """Use a channel to the owner as long as it answers and owns the cell."""
        channel = await Channel.connect(address, decoder, self.handler)
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            try:
                await channel.call(Hello(self.node), anyio.current_time() + HELLO_S)
                while await self.check(channel, address):
                    await anyio.sleep(PING_PERIOD_S)
            except ChannelClosed as error:
                log.debug("channel ended", owner=address, error=str(error))
            finally:
                if self.channel is channel:
                    self.channel = None
                    self.owner_address = ""
                    log.info("owner lost", owner=address)
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
                group.cancel_scope.cancel()

    async def check(self, channel: Channel, address: str) -> bool:
        """Tell whether the peer still owns the cell."""
        if self.is_owner():
            return False
        pong = await channel.call(Ping(), anyio.current_time() + PING_TIMEOUT_S)
        if not isinstance(pong, Pong) or not pong.owns:
            return False
        self.linked_at = anyio.current_time()
        if self.channel is not channel:
            self.channel = channel
            self.owner_address = address
            log.info("linked to the owner", fence=pong.fence)
            self.notify()
        return True
