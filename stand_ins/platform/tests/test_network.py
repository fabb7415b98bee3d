"""Tests of the network that can be cut for one node."""

import socket
from contextlib import suppress

import anyio

from gypsumring.utils.addresses import split_address
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.network import Network, ViewedStoreApp
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World, steady_behaviour

STORED = "127.0.0.1:10001"
SEEN = "127.0.0.1:20002"


def make_network() -> Network:
    """Return the network of three nodes and two executors."""
    world = World(steady_behaviour(1.0))
    models = [ExecutorModel(world, f"i-{number}") for number in range(2)]
    network = Network(["n0", "n1", "n2"], StoreModel(), models)
    network.add_links({name: f"127.0.0.1:3000{name[1]}" for name in network.store_cuts})
    for link in network.links.values():
        link.reserved.close()
    return network


async def read_newest(app: ViewedStoreApp) -> bytes:
    """Return the value of the only record that a node reads."""
    reply = await app.handle("/-/log-newest", {"topic": "t", "part": "0"}, b"")
    return reply[1]["items"][0]["value"]


async def test_nodes_see_addresses_of_their_own():
    store = StoreModel()
    store.append("t", 0, [("k", f"at {STORED}".encode())], None)
    app, other = ViewedStoreApp(store), ViewedStoreApp(store)
    app.seen[STORED] = SEEN
    assert await read_newest(app) != await read_newest(other)
    body = b'{"group": "g", "member": "n1@' + SEEN.encode() + b'/1/0"}'
    store.join("g", f"n1@{STORED}/1/0", 1.0, 0)
    await app.handle("/-/log-leave", {}, body)
    assert not store.group("g").members


# Guards against a cut that leaves the owner a path on which it would be refused.
async def test_executors_are_reached_on_one_side_of_a_partition_only():
    network = make_network()
    for cut in network.find_cuts({"n1"}, {"i-0"}):
        cut.begin()
    reached = {pair for pair, cut in network.executor_cuts.items() if not cut.count}
    assert reached == {("n1", "i-0"), ("n0", "i-1"), ("n2", "i-1")}
    assert [name for name, cut in network.store_cuts.items() if cut.count] == ["n1"]


# Guards against a partition that leaves the owner a path to or from another node.
async def test_each_direction_between_two_nodes_is_cut_on_its_own():
    network = make_network()
    for cut in network.find_paths({"n1"}, {"n0", "n2"}):
        cut.begin()
    pairs = {pair for pair, path in network.paths.items() if path.count}
    assert pairs == {("n1", "n0"), ("n1", "n2")}


# Guards against addresses in messages that lead past the links of the receiver.
async def test_receivers_read_addresses_of_their_own():
    links = make_network().links
    link = links["n0", "n1"]
    assert link.incoming == {
        link.address: "127.0.0.1:30001",
        "127.0.0.1:30000": links["n1", "n0"].address,
        links["n0", "n2"].address: links["n1", "n2"].address,
    }
    assert link.outgoing == {far: near for near, far in link.incoming.items()}


# Guards against a link whose port another connection takes before it listens.
async def test_port_of_a_link_is_kept():
    network = Network(["n0", "n1"], StoreModel(), [])
    network.add_links({"n0": STORED, "n1": SEEN})
    for link in network.links.values():
        host, port = split_address(link.address)
        with link.reserved, socket.socket() as other:
            assert link.reserved.getsockname() == (host, port)
            with suppress(OSError):
                other.bind((host, port))
                raise AssertionError("the port is free")


async def test_overlapping_cuts_end_one_after_the_other():
    cut = make_network().paths["n0", "n1"]
    cut.begin()
    cut.begin()
    cut.end()
    with anyio.move_on_after(1.0) as scope:
        await cut.wait_until_open()
    assert scope.cancelled_caught
    cut.end()
    await cut.wait_until_open()


load_tests = make_load_tests(globals())
