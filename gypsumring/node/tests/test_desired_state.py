"""Reads of large desired states over slow links."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.node.desired import DesiredStateWatch
from gypsumring.platform import decode_desired_state
from gypsumring.transport import LinkTraffic
from gypsumring.transport.traffic import BYTES_PER_S_PER_MBPS
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.links import Connections, LinkModel
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

TOPIC, KEY = "keyed.op", "config"
LINK_MBPS = 1.0
# As large as with two thousand accounts; the link takes 1.6 s, and 2.2 s in base64.
STATE_BYTES = 200_000
# The stated target: after a failure or a load the cell serves again within this time.
RECOVERY_S = 15.0


def encode_version(number: int) -> bytes:
    """Return a large version of the desired state."""
    return b'{"version":%d,"x":"%s"}' % (number, b"x" * STATE_BYTES)


@asynccontextmanager
async def running_watch(store: StoreModel) -> AsyncIterator[DesiredStateWatch]:
    """Run the watch of a node with a slow link."""
    async with anyio.create_task_group() as group:
        traffic = LinkTraffic(link_mbps=LINK_MBPS)
        link = LinkModel(LINK_MBPS * BYTES_PER_S_PER_MBPS)
        client = MemoryStore(
            store, Faults(random.Random(0)), group, Connections(link, traffic, group)
        )
        watch = DesiredStateWatch(client, TOPIC, KEY, decode_desired_state)
        group.start_soon(watch.run)
        yield watch
        group.cancel_scope.cancel()


async def assert_in_force(watch: DesiredStateWatch, version: int) -> None:
    """Assert that a version is in force within the stated time."""
    deadline = anyio.current_time() + RECOVERY_S
    while watch.get() is None or watch.get().version != version:
        assert anyio.current_time() < deadline, version
        await anyio.sleep(0.05)


# The first read had 1 s. A node whose link takes longer read the same version again and
# again, over the whole of its link, and never became ready.
async def test_node_with_a_slow_link_reads_a_large_desired_state():
    store = StoreModel()
    store.append(TOPIC, 0, [(KEY, encode_version(1))], None)
    async with running_watch(store) as watch:
        await assert_in_force(watch, 1)


# A change had 0.4 s after the wait for it, and 1.4 s if it was there already.
async def test_node_with_a_slow_link_reads_a_large_change():
    store = StoreModel()
    store.append(TOPIC, 0, [(KEY, b'{"version":1}')], None)
    async with running_watch(store) as watch:
        await assert_in_force(watch, 1)
        store.append(TOPIC, 0, [(KEY, encode_version(2))], None)
        await assert_in_force(watch, 2)


load_tests = make_load_tests(globals())
