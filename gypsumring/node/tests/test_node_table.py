"""The table of nodes is sent to nodes that have another one, and to no others."""

import anyio

from gypsumring.metrics import Metrics
from gypsumring.node.failure_detection import MIN_SERVICE_S
from gypsumring.node.node_table import RETENTION_S, NodeTable
from gypsumring.transport import LinkTraffic
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.fleet import running_fleet


def make_table(names):
    """Return a published table of some nodes."""
    table = NodeTable()
    for name in names:
        table.add(name, f"{name}:1")
    table.refresh()
    return table


async def test_equal_tables_have_the_same_version():
    assert make_table("abc").version == make_table("cab").version
    assert make_table("abc").version != make_table("ab").version
    assert make_table("").version > 0


async def test_node_that_returns_at_the_same_address_changes_nothing():
    # A follower that had left an owner for a moment and came back changed the version
    # twice, and each change was sent to all 96 nodes.
    table = make_table("abc")
    version = table.version
    table.remove("b")
    await anyio.sleep(RETENTION_S - 1)
    table.refresh()
    table.add("b", "b:1")
    await anyio.sleep(RETENTION_S + 1)
    table.refresh()
    assert table.version == version


async def test_node_that_has_left_is_dropped():
    table = make_table("abc")
    table.remove("b")
    await anyio.sleep(RETENTION_S)
    table.refresh()
    assert table.published == {"a": "a:1", "c": "c:1"}


async def test_changes_are_published_together():
    table = make_table("a")
    versions = set()
    for number in range(100):
        table.add(f"n{number}", "address")
        table.refresh()
        versions.add(table.version)
        await anyio.sleep(0.01)
    assert len(versions) <= 3


async def test_inherited_nodes_are_listed_until_they_are_known_to_have_left():
    table = NodeTable()
    table.inherit(make_table("abc").published)
    assert table.version == make_table("abc").version
    table.add("a", "a:1")
    await anyio.sleep(RETENTION_S)
    table.refresh()
    assert table.published == {"a": "a:1"}


async def test_takeover_sends_no_tables_to_nodes_that_followed_the_earlier_owner():
    # A new owner began with an empty table, and sent it to all nodes with each of them
    # that came: 0.5 MB/s on a link of 1.25 MB/s.
    async with running_fleet(38) as fleet:
        await anyio.sleep(5.0)
        owner = fleet.owner()
        fleet.clear_calls()
        owner.kill()
        owner.start()
        assert await fleet.wait_until_settled(3.0) is not None
        assert fleet.owner() is not owner
        await anyio.sleep(2 * RETENTION_S)
        tables = sum(machine.calls["table"] for machine in fleet.running())
        # The restarted node knows no table.
        assert tables <= 3, tables


# While starts waited, no answer carried a table. A node that had restarted knew no
# other node, so that its own report of the owner was that of a majority.
async def test_restarted_node_learns_the_table_while_starts_wait_for_the_link():
    async with running_fleet(8) as fleet:
        await anyio.sleep(6.0)
        owner = fleet.owner()
        traffic = owner.node.traffic = LinkTraffic(Metrics(), 10)

        async def send_starts() -> None:
            while True:
                await traffic.wait_for_room()
                traffic.reserve(2_350)

        fleet.group.start_soon(send_starts)
        await anyio.sleep(0.5)
        machine = next(each for each in fleet.running() if each is not owner)
        machine.kill()
        await anyio.sleep(0.2)
        machine.start()
        await anyio.sleep(5.0)
        assert len(machine.node.link.directory.addresses) == 8
        machine.hold_from([owner])
        await anyio.sleep(3.0)
        machine.release_from([owner])
        assert fleet.owner() is owner


# Nodes that had left were counted for 5 s, so that the others were no majority.
async def test_nodes_that_have_left_are_dropped_before_an_owner_may_be_reported():
    table = make_table("abcdef")
    table.inherit({"g": "g:1", "h": "h:1"})
    for name in "cdef":
        table.remove(name)
    await anyio.sleep(MIN_SERVICE_S)
    table.refresh()
    assert sorted(table.published) == ["a", "b"]


load_tests = make_load_tests(globals())
