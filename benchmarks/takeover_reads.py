"""Measure what the read of a takeover takes on the link of a small machine.

A cell on the mock clock has served ENDED_JOBS and is serving ACTIVE_JOBS when its owner
is killed. The next one reads the records over a link of LINK_MBPS, in the wire format
of the platform's store: JSON with values in base64. Half of the tasks of each active
job are done. Nothing else uses the link.
"""

import string
from collections import Counter
from random import Random
from urllib.parse import parse_qsl, urlsplit

import anyio
import msgspec

from benchmarks.cells import bound_above
from benchmarks.figures import Figure
from gypsumring.cell.state import JOB_KEY, PROGRESS_KEY
from gypsumring.pipelines import PipelineSpec, StepSpec, parse_task
from gypsumring.platform.store import NewestReply, PlatformStore
from gypsumring.transport import HttpCall, HttpResponse
from gypsumring.transport.relayed import OnReceived
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.servers import StoreApp
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["run"]

ENDED_JOBS = 2_000
ACTIVE_JOBS = 300
EXECUTORS = 10
EXECUTOR_CPU_MILLIS = 40_000
LINK_MBPS = 10
LATENCY_S = 0.005
# As large as the store's pages of 1 MB if all records have a payload.
PAGE_RECORDS = 250
# Stated target: a takeover reads within this time on the link of the smallest machines.
READ_BOUND_S = 2.0
PAYLOAD_BYTES = 2_400
TASK = StepSpec(task_count=20, cpu_millis=100, memory_mb=1, estimated_ms=50)
SUBMIT_EVERY_S = 0.02
SETTLE_S = 4.0


class LinkClient:
    """Client of a store stand-in over a link with a rate, which counts its bytes."""

    __slots__ = ("app", "began_at", "ended_at", "job_bytes", "total_bytes")

    def __init__(self, app: StoreApp):
        self.app = app
        self.began_at: float | None = None
        self.ended_at = 0.0
        self.total_bytes = 0
        # Bytes of the records by job.
        self.job_bytes: Counter[str] = Counter()

    async def request(
        self,
        call: HttpCall,
        deadline: float,
        on_received: OnReceived | None = None,
        may_relay: bool = True,
    ) -> HttpResponse:
        """Carry out one call; the response takes the link for its time."""
        target = urlsplit(call.path)
        query = dict(parse_qsl(target.query))
        is_page = target.path == "/-/log-newest" and query["topic"] == CELL_TOPIC
        if is_page and self.began_at is None:
            self.began_at = anyio.current_time()
        status, reply = await self.app.handle(target.path, query, call.body)
        body = reply if isinstance(reply, bytes) else msgspec.json.encode(reply)
        await anyio.sleep(LATENCY_S + len(body) * 8 / (LINK_MBPS * 1_000_000))
        if is_page:
            self.ended_at = anyio.current_time()
            self.count(body)
        return HttpResponse(status, body, {}, False)

    def count(self, body: bytes) -> None:
        """Count the bytes of a page, and of its records by job."""
        self.total_bytes += len(body)
        for item in msgspec.json.decode(body, type=NewestReply).items:
            for prefix in (JOB_KEY, PROGRESS_KEY):
                if item.key.startswith(prefix):
                    job_id = item.key[len(prefix) :]
                    self.job_bytes[job_id] += len(msgspec.json.encode(item)) + 1

    async def aclose(self) -> None:
        """Close nothing."""


def make_payload_job(number: int, random_source: Random) -> PipelineSpec:
    """Return a typical job."""
    payload = "".join(random_source.choices(string.ascii_letters, k=PAYLOAD_BYTES))
    job = make_job(f"{number:016x}", TASK)
    return msgspec.structs.replace(job, payload=payload)


def choose_behaviour(task: str, attempt: int) -> TaskBehaviour:
    """Return a behaviour in which half of the tasks of the later jobs do not end."""
    job_id, _, _, index = parse_task(task)
    is_long = int(job_id, 16) >= ENDED_JOBS and index >= TASK.task_count // 2
    return TaskBehaviour(10_000.0 if is_long else 0.05)


async def serve(cluster: MemoryCluster, seed: int) -> None:
    """Serve all jobs until the former have ended and their records are written."""
    random_source = Random(seed)
    async with anyio.create_task_group() as group:
        for number in range(ENDED_JOBS + ACTIVE_JOBS):
            group.start_soon(cluster.submit, make_payload_job(number, random_source))
            await anyio.sleep(SUBMIT_EVERY_S)
    for number in range(ENDED_JOBS):
        await cluster.wait_final(f"{number:016x}")
    await anyio.sleep(SETTLE_S)


async def read_cell(seed: int) -> tuple[LinkClient, int]:
    """Return the client of a takeover and the number of broken promises."""
    world = World(choose_behaviour)
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(
            world, group, 1, EXECUTORS, cpu_millis=EXECUTOR_CPU_MILLIS, seed=seed
        )
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        await serve(cluster, seed)
        cluster.owner_node().kill()
        client = LinkClient(StoreApp(cluster.store, PAGE_RECORDS))
        node = cluster.add_node("reader")
        node.store = PlatformStore(client)
        while node.owner() is None or not node.owner().loaded:
            await anyio.sleep(0.1)
        state = node.owner().state
        if len(state.table.active) != ACTIVE_JOBS:
            raise RuntimeError(f"{len(state.table.active)} active jobs were read")
        group.cancel_scope.cancel()
    return client, len(world.violations)


def run(seed: int) -> list[Figure]:
    """Return the figures of the topic."""
    client, broken = run_on_mock_clock(read_cell, seed, seed=seed)
    ended_bytes = sum(client.job_bytes[f"{n:016x}"] for n in range(ENDED_JOBS))
    active_bytes = client.job_bytes.total() - ended_bytes
    read_s = client.ended_at - client.began_at
    return [
        Figure("takeover_reads.bytes", client.total_bytes, "bytes"),
        Figure("takeover_reads.bytes_per_ended_job", ended_bytes / ENDED_JOBS, "bytes"),
        Figure(
            "takeover_reads.bytes_per_active_job", active_bytes / ACTIVE_JOBS, "bytes"
        ),
        bound_above("takeover_reads.read", read_s, "s", READ_BOUND_S),
        bound_above("takeover_reads.violations", broken, "", 0),
    ]
