"""Tests of the channel to the owner while owners end, freeze and change."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.messages import Announce, Hello, Ping, Pong, ReportOwner
from gypsumring.node.link import OwnerLink
from gypsumring.node.membership import Member
from gypsumring.ports.store import StoreRefused
from gypsumring.transport import ChannelClosed, ConnectFailed, ConnectRefused
from gypsumring.utils.testing import make_load_tests

# Time after which an owner that does not answer may be removed by its nodes.
SERVED_S = 3.5
OWNER = Member("n1", "a1", "first")
SELF = Member("n0", "a0", "first")


class ScriptedPeer:
    """Peer node with a settable reachability and a scripted reply."""

    __slots__ = (
        "announcements",
        "connections",
        "pauses_s",
        "pong",
        "reports",
        "state",
    )

    def __init__(self, pong: Pong):
        self.pong = pong
        # ``up``, ``frozen`` (accepts connections only), ``dark`` (connections time out)
        # or ``ended`` (connections are refused).
        self.state = "up"
        self.announcements: list[Announce] = []
        self.reports: list[ReportOwner] = []
        self.connections = 0
        # How long the peer takes to answer.
        self.pauses_s = 0.0


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
        if anyio.current_time() + self.peer.pauses_s > deadline:
            await anyio.sleep_until(deadline)
            raise ChannelClosed("no reply in time")
        await anyio.sleep(self.peer.pauses_s)
        match message:
            case Announce():
                self.peer.announcements.append(message)
            case ReportOwner():
                self.peer.reports.append(message)
            case Hello() | Ping():
                pass
        return self.peer.pong

    async def aclose(self) -> None:
        """Close the channel."""
        self.closed.set()


class ScriptedStore:
    """Store that names the owner and records the members that are removed."""

    __slots__ = ("left", "next_owner", "owner", "refuses")

    def __init__(self):
        self.owner: Member | None = OWNER
        self.next_owner: Member | None = None
        self.left: list[str] = []
        self.refuses = False

    async def owners(self, group, deadline):
        """Return the group member that owns the cell."""
        if self.refuses:
            raise StoreRefused("refused by the store")
        return {0: str(self.owner)} if self.owner else {}

    async def leave(self, group, member, deadline):
        """Record a member that is removed, and name the next owner."""
        self.left.append(member)
        self.owner = self.next_owner


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
        peer.connections += 1
        return ScriptedChannel(peer)

    async def report(self, *nodes: str, fence: int = 7) -> None:
        """Let other nodes report to this monitor that the owner does not answer."""
        for node in nodes:
            await self.link.record_report(ReportOwner(node, "a1", fence, 3))


@asynccontextmanager
async def running_link(served_s: float = 0.5) -> AsyncIterator[LinkRig]:
    """Run a link that has been connected to the owner for a time, in seconds."""
    rig = LinkRig()
    async with anyio.create_task_group() as group:
        group.start_soon(rig.link.run)
        await anyio.sleep(served_s)
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
        async with running_link(SERVED_S) as rig:
            rig.peers["a1"].state = state
            await anyio.sleep(0.5)
            await rig.report("n2")
            await anyio.sleep(0.4)
            assert rig.store.left == [str(OWNER)], state


# An owner whose process stood still for 0.45 s was reported by a majority, and replaced
# by one that read the cell for 3.5 s.
async def test_slow_owner_has_as_much_time_as_its_replacement_would_take():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].pong = Pong(True, 7, "a1", 1, takeover_s=1.5)
        await anyio.sleep(0.5)
        rig.peers["a1"].state = "frozen"
        await anyio.sleep(1.0)
        counters = rig.link.metrics.counters
        assert counters["link.owners_reported"] == 0
        rig.peers["a1"].state = "up"
        await anyio.sleep(1.5)
        assert rig.link.owner_address == "a1"
        rig.peers["a1"].state = "frozen"
        await anyio.sleep(3.0)
        assert counters["link.owners_reported"] >= 1


async def test_owner_without_a_network_is_reported_soon_whatever_a_takeover_takes():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].pong = Pong(True, 7, "a1", 1, takeover_s=100.0)
        await anyio.sleep(0.5)
        rig.peers["a1"].state = "dark"
        await anyio.sleep(1.3)
        assert rig.link.metrics.counters["link.owners_reported"] >= 1


# A process that stood still for 0.22 s was left by all 96 nodes at once. It answered
# none of their new connections in time, and was replaced.
async def test_short_pause_of_the_owner_ends_no_channel_if_a_takeover_takes_longer():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].pong = Pong(True, 7, "a1", 1, takeover_s=0.6)
        await anyio.sleep(0.5)
        rig.peers["a1"].pauses_s = 0.4
        await anyio.sleep(2.0)
        assert rig.peers["a1"].connections == 1
        assert rig.link.owner_address == "a1"


# Each next owner was removed while it was busy with its takeover.
async def test_owner_that_has_not_served_yet_is_not_removed():
    for served_s in (0.0, 1.0):
        async with running_link(0.5 + served_s) as rig:
            rig.peers["a1"].state = "dark"
            await anyio.sleep(0.9)
            await rig.report("n2")
            await anyio.sleep(2.0)
            assert rig.store.left == [], served_s


async def test_owner_that_takes_over_again_has_to_serve_again():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].pong = Pong(False, 7, "")
        await anyio.sleep(0.5)
        rig.peers["a1"].state = "dark"
        await anyio.sleep(3.0)
        await rig.report("n2")
        await anyio.sleep(0.9)
        assert rig.store.left == []
        assert rig.link.metrics.counters["link.owners_reported"] == 0


async def test_owner_is_not_removed_on_the_reports_of_a_minority():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].state = "dark"
        await anyio.sleep(3.0)
        assert rig.store.left == []


async def test_monitor_that_is_linked_to_the_owner_does_not_remove_it():
    async with running_link(SERVED_S) as rig:
        await rig.report("n2", "n3")
        await anyio.sleep(0.5)
        assert rig.store.left == []


async def test_reports_about_an_earlier_owner_are_ignored():
    async with running_link(SERVED_S) as rig:
        rig.link.fence = 8
        rig.peers["a1"].state = "dark"
        await anyio.sleep(0.5)
        await rig.report("n2", "n3")
        assert rig.store.left == []


async def test_owner_that_does_not_answer_is_reported_to_the_monitors():
    async with running_link(SERVED_S) as rig:
        rig.peers["a1"].state = "dark"
        await anyio.sleep(0.9)
        for address in ("a2", "a3"):
            reports = rig.peers[address].reports
            assert reports and reports[0] == ReportOwner("n0", "a1", 7, 3)


# An owner that was killed and started again at once refused no connection. Its
# membership lasted on, and no other node took over meanwhile.
async def test_restarted_process_removes_its_predecessor():
    async with running_link() as rig:
        predecessor = Member("n0", "a0", "earlier")
        rig.peers["a1"].state = "ended"
        rig.store.next_owner = predecessor
        await anyio.sleep(0.3)
        assert rig.store.left == [str(OWNER), str(predecessor)]
        rig.store.owner = SELF
        await anyio.sleep(0.5)
        assert len(rig.store.left) == 2


async def test_node_waits_for_a_takeover_on_one_channel():
    # Each node opened a new channel to a node that took over up to ten times a second.
    async with running_link() as rig:
        rig.peers["a1"].state = "ended"
        rig.store.next_owner = Member("n2", "a2", "first")
        rig.peers["a2"].pong = Pong(False, 7, "")
        await anyio.sleep(2.0)
        assert rig.peers["a2"].connections == 1
        rig.peers["a2"].pong = Pong(True, 9, "a2", 1, {})
        await rig.link.record_announced_owner(Announce("a2", 9))
        await anyio.sleep(0.05)
        assert rig.link.owner_address == "a2"
        assert rig.peers["a2"].connections == 1


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
    async with running_link(SERVED_S) as rig:
        counters = rig.link.metrics.counters
        assert counters["link.connections_to_owners"] == 1
        assert counters["link.calls_to_nodes"] == 0
        rig.peers["a1"].state = "dark"
        await anyio.sleep(0.5)
        await rig.report("n2")
        await anyio.sleep(0.4)
        assert counters["link.owners_reported"] >= 1
        assert counters["link.owners_removed"] == 1


load_tests = make_load_tests(globals())
