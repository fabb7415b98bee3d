"""The channel from a node to the owner of the cell."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gypsumring.cell.messages import Hello, Ping, Pong, decoder
from gypsumring.ports.store import Store, StoreRefused, StoreUnavailable
from gypsumring.transport import Channel, ChannelClosed, ConnectFailed
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
        "linked_at",
        "node",
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
            except (StoreUnavailable, StoreRefused) as error:
                log.debug("owner not found", error=str(error))
            except ConnectFailed as error:
                log.debug("owner not reached", error=str(error))
            await anyio.sleep(LOOKUP_PAUSE_S)

    async def look_up(self) -> str | None:
        """Return the address of the owner, or None if it is this node or nobody."""
        owners = await self.store.owners(
            self.group_name, anyio.current_time() + LOOKUP_S
        )
        member = owners.get(self.cell)
        if member is None:
            return None
        name, _, address = member.partition("@")
        return None if name == self.node else address.partition("/")[0]

    async def follow(self, address: str) -> None:
        """Use a channel to the owner as long as it answers and owns the cell."""
        channel = await Channel.connect(address, decoder, self.handler)
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            try:
                await channel.call(Hello(self.node), anyio.current_time() + HELLO_S)
                while await self.check(channel):
                    await anyio.sleep(PING_PERIOD_S)
            except ChannelClosed as error:
                log.debug("channel ended", owner=address, error=str(error))
            finally:
                if self.channel is channel:
                    self.channel = None
                    log.info("owner lost", owner=address)
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
                group.cancel_scope.cancel()

    async def check(self, channel: Channel) -> bool:
        """Tell whether the peer still owns the cell."""
        if self.is_owner():
            return False
        pong = await channel.call(Ping(), anyio.current_time() + PING_TIMEOUT_S)
        if not isinstance(pong, Pong) or not pong.owns:
            return False
        self.linked_at = anyio.current_time()
        if self.channel is not channel:
            self.channel = channel
            log.info("linked to the owner", fence=pong.fence)
            self.notify()
        return True
