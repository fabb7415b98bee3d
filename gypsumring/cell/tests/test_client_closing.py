"""Owners close the connections to executors that they do not need any more."""

import anyio
import msgspec

from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.memory import ENTRIES_TOPIC

# An owner that had lost the cell left its connections to all executors open, and those
# to executors that had left or moved: executors accept a limited number of them.


async def test_owner_that_loses_the_cell_closes_its_connections():
    async with running_cluster(executors=3) as cluster:
        await anyio.sleep(1.0)
        node = cluster.owner_node()
        clients = list(node.membership.owner.state.clients.values())
        assert len(clients) == 3
        await node.membership.stop_owner("assigned to another node")
        await anyio.sleep(0.1)
        assert all(client.closed for client in clients)


async def test_connections_to_an_executor_that_has_left_are_closed():
    async with running_cluster(executors=2) as cluster:
        await anyio.sleep(1.0)
        client = cluster.owner_node().membership.owner.state.clients["i-0"]
        cluster.executors["i-0"].is_up = False
        cluster.store.append(ENTRIES_TOPIC, 0, [("i-0", b"")], None)
        await anyio.sleep(10.0)
        assert client.closed


async def test_connections_to_the_former_address_of_an_executor_are_closed():
    async with running_cluster(executors=2) as cluster:
        await anyio.sleep(1.0)
        owner = cluster.owner_node().membership.owner
        client = owner.state.clients["i-0"]
        entry = owner.state.fleet["i-0"].entry
        owner.executor_poller.update(msgspec.structs.replace(entry, address="memory:2"))
        await anyio.sleep(0.1)
        assert client.closed
        assert not owner.state.clients["i-0"].closed


load_tests = make_load_tests(globals())
