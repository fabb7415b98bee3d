"""Nodes pass versions of the desired state on to nodes whose store does not answer."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from gypsumring.cell.messages import Ping, ReadVersion, VersionPiece
from gypsumring.metrics import Metrics
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.node.version_copies import PIECE_BYTES
from gypsumring.node.version_exchange import PATIENCE_S, VersionExchange
from gypsumring.platform import decode_desired_state
from gypsumring.transport import ChannelClosed, LinkTraffic
from gypsumring.transport.traffic import BYTES_PER_S_PER_MBPS
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.links import Connections, LinkModel
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

TOPIC, KEY = "keyed.op", "config"
# The operators' bound, from the confirmation of a version on.
APPLY_S = 3.0
PING_PERIOD_S = 0.15
LINK_MBPS = 5.0
# A message of this size takes a tenth of a second on the link.
MAX_MESSAGE_BYTES = 62_500


def encode_version(number: int, kilobytes: int) -> bytes:
    """Return a version of the desired state that compresses as routes do."""
    source = random.Random(number)
    routes = (b"route-%08x," % source.getrandbits(32) for _ in range(66 * kilobytes))
    return b'{"version":%d,"x":"%s"}' % (number, b"".join(routes))


class Peer:
    """Node of a fleet that shares one store; each has a link of its own."""

    __slots__ = ("channels", "exchange", "faults", "group", "link", "metrics", "watch")

    def __init__(self, store: StoreModel, group: anyio.abc.TaskGroup):
        self.group = group
        self.link = LinkModel(LINK_MBPS * BYTES_PER_S_PER_MBPS)
        self.faults = Faults(random.Random(0))
        self.metrics = Metrics()
        self.channels: list[PeerChannel] = []
        traffic = LinkTraffic(link_mbps=LINK_MBPS)
        connections = Connections(self.link, traffic, group)
        client = MemoryStore(store, self.faults, group, connections)
        self.watch = DesiredStateWatch(
            client, TOPIC, KEY, decode_desired_state, self.metrics
        )
        self.exchange = VersionExchange(self.watch, traffic, self.metrics)

    async def ping(self) -> None:
        """Exchange the newest known versions with all peers periodically."""
        while True:
            for channel in self.channels:
                self.exchange.record(channel.peer.exchange.newest_known(), channel)
            await anyio.sleep(PING_PERIOD_S)

    def start(self) -> None:
        """Run the parts of the node."""
        for run in (self.watch.run, self.exchange.run, self.ping):
            self.group.start_soon(run)


class PeerChannel:
    """Channel from one node to another; ``damage`` may change or lose an answer."""

    __slots__ = ("closed", "damage", "largest_bytes", "messages", "peer", "receiver")

    def __init__(self, receiver: Peer, peer: Peer):
        self.receiver = receiver
        self.peer = peer
        self.closed = False
        self.damage = lambda answer: answer
        self.messages = 0
        self.largest_bytes = 0

    async def call(self, request: ReadVersion, deadline: float) -> VersionPiece:
        """Return the answer of the peer over both links; raise ChannelClosed."""
        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
                answer = self.damage(await self.peer.exchange.serve(request))
                if answer is None:
                    await anyio.sleep_forever()
                size = len(getattr(answer, "data", b""))
                await self.peer.link.send(size)
                await self.receiver.link.receive(size)
        except TimeoutError as error:
            raise ChannelClosed("no reply before the deadline") from error
        self.messages += 1
        self.largest_bytes = max(self.largest_bytes, size)
        return answer


@asynccontextmanager
async def running_peers() -> AsyncIterator[tuple[StoreModel, Peer, Peer]]:
    """Run an owner and a node that have the first version."""
    store = StoreModel()
    store.append(TOPIC, 0, [(KEY, encode_version(1, 1))], None)
    async with anyio.create_task_group() as group:
        owner, node = Peer(store, group), Peer(store, group)
        node.channels.append(PeerChannel(node, owner))
        owner.channels.append(PeerChannel(owner, node))
        for peer in (owner, node):
            peer.start()
            await wait_for(peer, 1)
        yield store, owner, node
        group.cancel_scope.cancel()


async def cut_from_store(peer: Peer) -> None:
    """Cut a node off from the store, and wait until its long poll has ended."""
    peer.faults.store_away = True
    await anyio.sleep(2.0)


async def wait_for(peer: Peer, version: int) -> float:
    """Return how long it takes until a version is in force; infinity after 60 s."""
    began_at = anyio.current_time()
    while peer.watch.version() < version:
        if anyio.current_time() > began_at + 60:
            return float("inf")
        await anyio.sleep(0.01)
    return anyio.current_time() - began_at


# A node that did not reach the store had the response relayed by the owner, as one
# message: its pings were late behind it, the node left the owner, and began anew.
async def test_node_without_the_store_has_a_version_in_time_in_small_messages():
    async with running_peers() as (store, _, node):
        await cut_from_store(node)
        store.append(TOPIC, 0, [(KEY, encode_version(2, 400))], None)
        assert await wait_for(node, 2) <= APPLY_S
        (channel,) = node.channels
        assert channel.largest_bytes <= MAX_MESSAGE_BYTES
        assert channel.messages > 3


# An owner that does not reach the store has peers that do.
async def test_owner_without_the_store_has_a_version_in_time():
    async with running_peers() as (store, owner, _):
        await cut_from_store(owner)
        store.append(TOPIC, 0, [(KEY, encode_version(2, 400))], None)
        assert await wait_for(owner, 2) <= APPLY_S


# The version that a node has from another one must not be read once more.
async def test_store_is_read_from_after_the_copy():
    async with running_peers() as (store, _, node):
        await cut_from_store(node)
        store.append(TOPIC, 0, [(KEY, encode_version(2, 400))], None)
        await wait_for(node, 2)
        node.faults.store_away = False
        await anyio.sleep(5.0)
        assert node.watch.offset == 2
        received = node.watch.progress.received_bytes
        store.append(TOPIC, 0, [(KEY, encode_version(3, 1))], None)
        assert await wait_for(node, 3) <= APPLY_S
        assert node.watch.progress.received_bytes <= received + PIECE_BYTES


# A piece that is lost must not throw away the pieces before it.
async def test_pieces_that_have_arrived_are_kept_when_one_is_lost():
    async with running_peers() as (store, _, node):
        await cut_from_store(node)
        (channel,) = node.channels
        answers = []

        def lose_one(answer: VersionPiece) -> VersionPiece | None:
            answers.append(answer.number)
            return None if len(answers) == 3 else answer

        channel.damage = lose_one
        store.append(TOPIC, 0, [(KEY, encode_version(2, 400))], None)
        assert await wait_for(node, 2) <= APPLY_S
        assert answers[:4] == [0, 1, 2, 2]
        assert len(answers) == len(set(answers)) + 1


# Odd pieces must neither be applied nor end the exchange.
async def test_odd_pieces_are_ignored():
    odd_pieces = (
        Ping(),
        VersionPiece(2, 0, 3, 2, b"\x00"),
        VersionPiece(2, 5, 3, 2, b""),
        VersionPiece(2, 0, 0, 2, b""),
        VersionPiece(2, 0, 10**9, 2, b""),
    )
    async with running_peers() as (store, _, node):
        await cut_from_store(node)
        (channel,) = node.channels
        odd = list(odd_pieces)
        channel.damage = lambda answer: odd.pop() if odd else answer
        store.append(TOPIC, 0, [(KEY, encode_version(2, 100))], None)
        assert await wait_for(node, 2) < 60
        assert not odd
        assert node.metrics.counters["desired.copies.failed"] >= len(odd_pieces)


# The version that is read from a node may not be the newest any more.
async def test_newest_of_several_versions_arrives():
    async with running_peers() as (store, _, node):
        await cut_from_store(node)
        for number in range(2, 12):
            store.append(TOPIC, 0, [(KEY, encode_version(number, 200))], None)
            await anyio.sleep(0.1)
        assert await wait_for(node, 11) <= APPLY_S


# An earlier build closes a channel on which it is asked for a version. It names none.
async def test_node_that_names_no_version_is_not_asked():
    async with running_peers() as (store, owner, node):
        await cut_from_store(node)
        old = PeerChannel(node, owner)
        closed = PeerChannel(node, owner)
        closed.closed = True
        node.exchange.named = {old: 0, closed: 2}
        store.append(TOPIC, 0, [(KEY, encode_version(2, 10))], None)
        assert await wait_for(node, 2) <= APPLY_S
        assert old.messages == closed.messages == 0


# Copies are for nodes whose own read brings nothing: the owner's link is for callers.
async def test_node_whose_read_goes_on_asks_no_other():
    async with running_peers() as (store, owner, node):
        for _ in range(3):
            node.link.inward.idle_at = anyio.current_time() + PATIENCE_S / 2
            number = node.watch.version() + 1
            store.append(TOPIC, 0, [(KEY, encode_version(number, 1000))], None)
            await wait_for(node, number)
        assert owner.metrics.counters["desired.copies.pieces_sent"] == 0


load_tests = make_load_tests(globals())
