"""Tests of the channel to the owner while owners end, freeze and change."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.messages import Announce, Hello, Ping, Pong
from gypsumring.node.link import OwnerLink
from gypsumring.node.membership import Member
from gypsumring.ports.store import StoreRefused
from gypsumring.transport import ChannelClosed, ConnectFailed, ConnectRefused
from gypsumring.utils.testing import make_load_tests

OWNER = Member("n1", "a1", "first")
SELF = Member("n0", "a0", "first")


class ScriptedPeer:
    """Peer node with a settable reachability and a scripted reply."""

    __slots__ = ("announcements", "pong", "state")

    def __init__(self, pong: Pong):
        self.pong = pong
        # ``up``, ``frozen`` (accepts connections only), ``dark`` (connections time out)
        # or ``ended`` (connections are refused).
        self.state = "up"
        self.announcements: list[Announce] = []


class ScriptedChannel:
    """Channel to a scripted peer."""

    __slots__ = ("closed", "peer")

    def __init__(self, peer: ScriptedPeer):
        self.peer = peer
        self.closed = anyio.Event()

    async def run(self) -> None:
        """Run until the channel is closed."""
        await self.closed.wait()

    async def call(self, message, deadline):
        """Return the reply of the peer, or fail according to its state."""
        if self.closed.is_set() or self.peer.state == "ended":
            raise ChannelClosed("closed")
        if self.peer.state != "up":
            await anyio.sleep_until(deadline)
            raise ChannelClosed("no reply in time")
        match message:
            case Announce():
                self.peer.announcements.append(message)
            case Hello() | Ping():
                pass
        return self.peer.pong

    async def aclose(self) -> None:
        """Close the channel."""
        self.closed.set()


class ScriptedStore:
    """Store that names the owner and records the members that are removed."""

    __slots__ = ("left", "owner", "refuses")

    def __init__(self):
        self.owner: Member | None = OWNER
        self.left: list[str] = []
        self.refuses = False

    async def owners(self, group, deadline):
        """Return the group member that owns the cell."""
        if self.refuses:
            raise StoreRefused("refused by the store")
        return {0: str(self.owner)} if self.owner else {}

    async def leave(self, group, member, deadline):
        """Record a member that is removed, and clear the owner."""
        self.left.append(member)
        self.owner = None


class LinkRig:
    """Owner link with a scripted store and scripted peers."""

    __slots__ = ("fence", "link", "peers", "store")

    def __init__(self):
        self.store = ScriptedStore()
        self.fence: int | None = None
        nodes = {"n2": "a2", "n3": "a3"}
        self.peers = {
            "a1": ScriptedPeer(Pong(True, 7, "a1", 1, nodes)),
            "a2": ScriptedPeer(Pong(False, 7, "a1")),
            "a3": ScriptedPeer(Pong(False, 7, "a1")),
        }
        self.link = OwnerLink(
            self.store, "cells", 0, SELF, lambda: self.fence, None, self.connect
        )

    async def connect(self, address, decoder, handler, deadline):
        """Open a channel to a peer, or fail according to the peer's state."""
        peer = self.peers[address]
        if peer.state == "ended":
            raise ConnectRefused(address)
        if peer.state == "dark":
            await anyio.sleep_until(deadline)
            raise ConnectFailed(address)
        return ScriptedChannel(peer)

    def disconnect_other_nodes(self) -> None:
        """Make the other nodes reply that they have no link to the owner."""
        for address in ("a2", "a3"):
            self.peers[address].pong = Pong(False, 7, "")


@asynccontextmanager
async def running_link() -> AsyncIterator[LinkRig]:
    """Run a link that is connected to the owner."""
    rig = LinkRig()
    async with anyio.create_task_group() as group:
        group.start_soon(rig.link.run)
        await anyio.sleep(0.5)
        assert rig.link.owner_address == "a1"
        yield rig
        group.cancel_scope.cancel()


async def test_ended_owner_is_removed_at_once():
    # The group would not reassign the cell until the owner's membership expires.
    async with running_link() as rig:
        rig.peers["a1"].state = "ended"
        await anyio.sleep(0.4)
        assert rig.store.left == [str(OWNER)]
        assert rig.link.channel is None


async def test_unresponsive_owner_is_removed_before_its_membership_lapses():
    for state in ("frozen", "dark"):
        async with running_link() as rig:
            rig.peers["a1"].state = state
            rig.disconnect_other_nodes()
            await anyio.sleep(0.9)
            assert rig.store.left == [str(OWNER)], state


async def test_owner_that_another_node_still_reaches_is_not_removed():
    # Only the connection between this node and the owner has failed.
    async with running_link() as rig:
        rig.peers["a1"].state = "dark"
        await anyio.sleep(3.0)
        assert rig.store.left == []


async def test_isolated_node_does_not_remove_the_owner():
    async with running_link() as rig:
        for peer in rig.peers.values():
            peer.state = "dark"
        await anyio.sleep(3.0)
        assert rig.store.left == []


async def test_announced_owner_is_followed_without_a_lookup():
    # The node would otherwise wait until a ping to the frozen owner times out.
    async with running_link() as rig:
        rig.peers["a1"].state = "frozen"
        rig.peers["a2"].pong = Pong(True, 9, "a2", 1, {})
        await rig.link.record_announced_owner(Announce("a2", 9))
        await anyio.sleep(0.3)
        assert rig.link.owner_address == "a2"
        await rig.link.record_announced_owner(Announce("a1", 8))
        assert rig.link.owner_address == "a2"


async def test_new_owner_announces_itself_to_all_known_nodes():
    async with running_link() as rig:
        rig.fence = 9
        await anyio.sleep(0.5)
        for peer in rig.peers.values():
            assert [announcement.fence for announcement in peer.announcements] == [9]


async def test_owner_is_found_through_other_nodes_while_the_store_refuses():
    async with running_link() as rig:
        rig.store.refuses = True
        rig.peers["a1"].state = "dark"
        rig.peers["a2"].pong = Pong(True, 9, "a2", 1, {})
        rig.peers["a3"].pong = Pong(False, 9, "a2")
        await anyio.sleep(1.5)
        assert rig.link.owner_address == "a2"


async def test_suspicion_and_removal_are_counted():
    # The logs of an incident could not tell what a suspicion costs the fleet.
    async with running_link() as rig:
        counters = rig.link.metrics.counters
        assert counters["link.connections_to_owners"] == 1
        assert counters["link.calls_to_nodes"] == 0
        rig.peers["a1"].state = "dark"
        rig.disconnect_other_nodes()
        await anyio.sleep(0.9)
        assert counters["link.suspicions"] == 1
        assert counters["link.owners_removed"] == 1


load_tests = make_load_tests(globals())
