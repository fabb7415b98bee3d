"""Reads of the cell's records at a takeover, over the wire format of the store."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import parse_qsl, urlsplit

import anyio
import msgspec

from gypsumring.cell import CellOwner
from gypsumring.cell.owner import PAGE_TIMEOUT_S
from gypsumring.cell.state import JOB_KEY, PROGRESS_KEY
from gypsumring.pipelines import JobPhase, encode, encode_progress
from gypsumring.pipelines.records import Progress, StepProgress
from gypsumring.platform.store import PlatformStore
from gypsumring.transport import HttpCall, HttpResponse, LinkTraffic, NoResponse
from gypsumring.transport.relayed import OnReceived
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.servers import StoreApp
from stand_ins.platform.world import World, steady_behaviour

# Two records each, and so as many pages as jobs, and one for the owner's own record.
JOBS = 20


class PageClient:
    """Client of a store stand-in; pages of the cell take time and may be lost."""

    __slots__ = ("app", "failing_period", "page_s", "requests")

    def __init__(self, app: StoreApp, page_s: float, failing_period: int = 0):
        self.app = app
        self.page_s = page_s
        # One of so many pages gets no answer; 0 if none is lost.
        self.failing_period = failing_period
        # Number of requests by the key after which a page begins.
        self.requests: Counter[str] = Counter()

    async def request(
        self,
        call: HttpCall,
        deadline: float,
        on_received: OnReceived | None = None,
        may_relay: bool = True,
    ) -> HttpResponse:
        """Carry out one call; raise NoResponse if a page takes too long or is lost."""
        target = urlsplit(call.path)
        query = dict(parse_qsl(target.query))
        if target.path == "/-/log-newest" and query["topic"] == CELL_TOPIC:
            await self.carry_page(query.get("dependsOn", ""), deadline)
        status, reply = await self.app.handle(target.path, query, call.body)
        body = reply if isinstance(reply, bytes) else msgspec.json.encode(reply)
        return HttpResponse(status, body, {}, False)

    async def carry_page(self, after_key: str, deadline: float) -> None:
        """Wait for one page, at most until the deadline."""
        self.requests[after_key] += 1
        number = self.requests.total()
        is_lost = self.failing_period and number % self.failing_period == 0
        arrives_at = anyio.current_time() + self.page_s
        if is_lost or arrives_at > deadline:
            await anyio.sleep_until(deadline)
            raise NoResponse("no answer")
        await anyio.sleep_until(arrives_at)

    async def aclose(self) -> None:
        """Close nothing."""


@asynccontextmanager
async def takeover(
    page_s: float, failing_period: int = 0, link_mbps: float | None = None
) -> AsyncIterator[PageClient]:
    """Run a node that takes over a cell with ended jobs, and wait until it serves."""

    def make_owner(fence: int) -> CellOwner:
        owner = node.make_owner(fence)
        owner.state.traffic = LinkTraffic(link_mbps=link_mbps)
        return owner

    world = World(steady_behaviour(0.8))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, nodes=1, executors=0)
        records = []
        for number in range(JOBS):
            job = make_job(f"{number:016x}")
            progress = Progress(JobPhase.COMPLETED, [StepProgress(0, b"\1")], 1)
            records.append((JOB_KEY + job.job_id, encode(job)))
            records.append((PROGRESS_KEY + job.job_id, encode_progress(progress)))
        cluster.store.append(CELL_TOPIC, 0, records, None)
        client = PageClient(StoreApp(cluster.store), page_s, failing_period)
        (node,) = cluster.nodes.values()
        node.store = PlatformStore(client)
        node.membership.make_owner = make_owner
        with anyio.fail_after(900):
            while node.owner() is None or not node.owner().loaded:
                await anyio.sleep(0.1)
        assert len(node.owner().state.table.jobs) == JOBS
        yield client
        assert world.violations == [], world.violations
        group.cancel_scope.cancel()


async def test_pages_that_were_read_are_kept_when_the_next_one_is_lost():
    # All pages were read again after each failure, and the read never ended.
    async with takeover(0.01, failing_period=2) as client:
        assert len(client.requests) > JOBS
        assert max(client.requests.values()) <= 2, client.requests


async def test_read_has_a_time_limit_for_each_page_and_not_for_all_of_them():
    # The call of 5 s ran out on a link that carries all pages in 8 s, and began again.
    async with takeover(0.4) as client:
        assert len(client.requests) * client.page_s > PAGE_TIMEOUT_S
        assert set(client.requests.values()) == {1}, client.requests


async def test_time_limit_of_a_page_follows_the_time_that_pages_take():
    # Only the first page is too late for the first limit.
    async with takeover(1.5 * PAGE_TIMEOUT_S) as client:
        assert client.requests.pop("") == 2
        assert set(client.requests.values()) == {1}, client.requests


async def test_time_limit_of_a_page_allows_for_the_rate_of_the_link():
    # A page of 1 MB takes 4 s at 2 Mbit/s, and longer beside other messages. The first
    # 5 s were lost, and the next request waited behind what was still on its way.
    async with takeover(1.5 * PAGE_TIMEOUT_S, link_mbps=2) as client:
        assert set(client.requests.values()) == {1}, client.requests


load_tests = make_load_tests(globals())
