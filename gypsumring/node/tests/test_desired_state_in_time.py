"""Large desired states are in force in time, whatever else the link carries."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from gypsumring.node.desired import DesiredStateWatch
from gypsumring.platform import decode_desired_state
from gypsumring.transport import LinkTraffic
from gypsumring.transport.traffic import BYTES_PER_S_PER_MBPS
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.links import PIECE_BYTES, Connections, LinkModel
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

TOPIC, KEY = "keyed.op", "config"
# The operators' bound, from the confirmation of a version on.
APPLY_S = 3.0
# Where the link does not carry a version within the bound, it may take this much longer
# than the link needs.
ALLOWANCE_S = 0.5
KB = 1000


def encode_version(number: int, kilobytes: float) -> bytes:
    """Return a version of the desired state of a size."""
    filler = b"x" * int(kilobytes * KB - 30)
    return b'{"version":%d,"x":"%s"}' % (number, filler)


class Site:
    """Node that watches the desired state over a link that also carries other traffic.

    ``other_share`` of the link is taken inward, whatever waits at it.
    """

    __slots__ = ("group", "link", "link_mbps", "other_share", "store", "watch")

    def __init__(
        self, link_mbps: float, other_share: float, group: anyio.abc.TaskGroup
    ):
        self.link_mbps = link_mbps
        self.other_share = other_share
        self.group = group
        self.store = StoreModel()
        self.link = LinkModel(link_mbps * BYTES_PER_S_PER_MBPS)
        traffic = LinkTraffic(link_mbps=link_mbps)
        client = MemoryStore(
            self.store,
            Faults(random.Random(0)),
            group,
            Connections(self.link, traffic, group),
        )
        self.watch = DesiredStateWatch(client, TOPIC, KEY, decode_desired_state)

    def publish(self, number: int, kilobytes: float) -> None:
        """Publish a version."""
        record = (KEY, encode_version(number, kilobytes))
        self.store.append(TOPIC, 0, [record], None)

    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        current = self.watch.get()
        return 0 if current is None else current.version

    def transfer_s(self, kilobytes: float) -> float:
        """Return the time that what is left of the link needs for a version."""
        rate = self.link_mbps * BYTES_PER_S_PER_MBPS * (1 - self.other_share)
        return kilobytes * KB / rate

    async def carry_other_traffic(self) -> None:
        """Take a share of the link until cancelled."""
        if not self.other_share:
            return
        piece_s = PIECE_BYTES / self.link.inward.bytes_per_s / self.other_share
        while True:
            self.group.start_soon(self.link.receive, PIECE_BYTES)
            await anyio.sleep(piece_s)

    async def wait_for(self, number: int) -> float:
        """Return how long it takes until a version is in force; infinity after 60 s."""
        began_at = anyio.current_time()
        while self.version() < number:
            if anyio.current_time() > began_at + 60:
                return float("inf")
            await anyio.sleep(0.01)
        return anyio.current_time() - began_at


@asynccontextmanager
async def running_site(link_mbps: float, other_share: float) -> AsyncIterator[Site]:
    """Run a node that has the first version, which is small."""
    async with anyio.create_task_group() as group:
        site = Site(link_mbps, other_share, group)
        site.publish(1, 0.1)
        group.start_soon(site.watch.run)
        await site.wait_for(1)
        group.start_soon(site.carry_other_traffic)
        yield site
        group.cancel_scope.cancel()


# Each read was given up after a time that did not follow the size of the version, and
# began again with its first byte: the version was never in force.
async def test_version_is_in_force_in_time_whatever_else_the_link_carries():
    for link_mbps, kilobytes, other_share in (
        (5, 352, 0.0),
        (5, 352, 0.5),
        (5, 352, 0.7),
        (5, 352, 0.8),
        (5, 1_000, 0.0),
        (5, 1_000, 0.5),
        (5, 1_600, 0.0),
        (2, 352, 0.5),
        (1, 352, 0.3),
        (1, 600, 0.0),
    ):
        async with running_site(link_mbps, other_share) as site:
            site.publish(2, kilobytes)
            took_s = await site.wait_for(2)
            bound_s = max(APPLY_S, site.transfer_s(kilobytes) + ALLOWANCE_S)
            row = link_mbps, kilobytes, other_share
            assert took_s <= bound_s, (row, took_s, bound_s)


# A node that was behind read each version since the last one that it had. While it read
# them more were published, so that a read only became larger.
async def test_newest_of_several_versions_is_in_force_in_time():
    for link_mbps, kilobytes, versions, other_share in (
        (5, 352, 4, 0.0),
        (5, 352, 4, 0.5),
        (5, 352, 6, 0.0),
        (5, 352, 20, 0.0),
        (5, 1_000, 6, 0.0),
        (2, 352, 6, 0.0),
    ):
        async with running_site(link_mbps, other_share) as site:
            for number in range(versions):
                site.publish(2 + number, kilobytes)
                await anyio.sleep(0.1)
            took_s = await site.wait_for(1 + versions)
            # The version that is being read when the newest one is published, too.
            needed_s = 2 * site.transfer_s(kilobytes)
            bound_s = max(APPLY_S, needed_s + ALLOWANCE_S)
            row = link_mbps, kilobytes, versions, other_share
            assert took_s <= bound_s, (row, took_s, bound_s)


# Versions that follow each other faster than the link carries them must not keep all of
# them from being in force.
async def test_node_follows_versions_that_come_without_a_pause():
    async with running_site(1, 0.0) as site:
        published = []
        oldest_s = 0.0
        for number in range(2, 102):
            site.publish(number, 200)
            published.append(anyio.current_time())
            await anyio.sleep(0.2)
            # The time since the first version was published that is not in force.
            behind = site.version() - 1
            if behind < len(published):
                age_s = anyio.current_time() - published[behind]
                oldest_s = max(oldest_s, age_s)
        bound_s = 2 * site.transfer_s(200) + ALLOWANCE_S
        assert oldest_s <= bound_s, (oldest_s, bound_s)


load_tests = make_load_tests(globals())
