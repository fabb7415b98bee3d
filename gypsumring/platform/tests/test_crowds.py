"""Crowds of misbehaving clients must not end or hang a node, or stop its jobs.

Guards against growth of memory and descriptors with what callers send and do not
finish, or are sent and do not read: each test lowers the limits of the machine in its
settings, which a small crowd then exceeds without limits of the node's own.
"""

import functools
import os
from collections.abc import Callable, Iterable

import anyio
import httpx

from gypsumring.platform.tests.crowds import (
    make_chunks,
    make_head,
    make_many_steps,
    read_usage,
    split_pieces,
    standing_crowd,
)
from gypsumring.platform.tests.rig import NodeProcess, ProgramRig, running_programs
from gypsumring.platform.tests.test_programs import BODY, register_job
from gypsumring.utils.addresses import split_address
from gypsumring.utils.testing import make_load_tests

MEMORY_MB = 64
DESCRIPTORS = 500
SETTINGS = {"limits": {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}}
MAX_GROWTH_MB = 32
MAX_DESCRIPTORS = 300
CROWD = 240
LARGE_CROWD = 420
BODY_BYTES = 262_144
SERVED_LIMIT_S = 40.0
QUEUE_PATH = "/batch/00112233445566ab"
NO_ROUTE = "/none/00112233445566ab"
READY_PATH = "/-/ready"
METRICS_PATH = "/-/metrics"
PATHS = (QUEUE_PATH, NO_ROUTE, READY_PATH, METRICS_PATH)
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HTTP2_UPGRADE = ("Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__")
HTTP2_SETTINGS = bytes(3) + b"\x04" + bytes(5)


def run_in_real_time(function):
    """Run an async test on asyncio in real time, with real sockets and processes."""

    @functools.wraps(function)
    def run() -> None:
        anyio.run(function, backend="asyncio")

    del run.__wrapped__
    return run


async def submit_until_served(rig: ProgramRig, node: NodeProcess, job_id: str) -> None:
    """Submit an ordinary job, again after a refusal or a closed connection."""
    with anyio.fail_after(SERVED_LIMIT_S):
        while True:
            try:
                response = await rig.call(node, "POST", job_id, BODY)
            except httpx.HTTPError:
                response = None
            if response is not None and response.status_code == 200:
                return
            await anyio.sleep(0.2)


async def check_crowds(
    pick_address: Callable[[NodeProcess], str],
    crowds: Iterable[list[list[bytes]]],
    count: int = CROWD,
) -> None:
    """Check that a node outlives crowds, each of which sends one list of contents."""
    async with running_programs(nodes=1, changes=SETTINGS) as rig:
        (node,) = rig.nodes
        pid = node.process.pid
        jobs = iter(f"{number:016x}" for number in range(1, 100))
        submitted = []

        async def submit() -> None:
            job_id = next(jobs)
            register_job(rig.world, job_id)
            await submit_until_served(rig, node, job_id)
            submitted.append(job_id)

        await submit()
        before = read_usage(pid)
        most = 0
        for contents in crowds:
            async with standing_crowd(pick_address(node), count, contents):
                await anyio.sleep(0.3)
                assert node.process.poll() is None
                most = max(most, read_usage(pid).descriptors)
                await submit()
        growth = read_usage(pid).peak_mb - before.peak_mb
        figures = f"growth {growth:.1f} MB, {most} descriptors"
        if os.environ.get("CROWD_FIGURES"):
            print(figures)
        assert growth <= MAX_GROWTH_MB, figures
        assert most <= MAX_DESCRIPTORS, figures
        for job_id in submitted:
            await rig.wait_state(node, job_id, "completed")
        assert rig.world.violations == []
        assert node.process.poll() is None


def get_caller(node: NodeProcess) -> str:
    """Return the address for callers."""
    return node.caller


def get_ready(node: NodeProcess) -> str:
    """Return the address of the readiness check."""
    return node.ready


def get_metrics(node: NodeProcess) -> str:
    """Return the address of the metrics."""
    return node.metrics


def get_peer(node: NodeProcess) -> str:
    """Return the address for other nodes."""
    return node.peer


def make_unfinished(path: str, size: int = BODY_BYTES) -> bytes:
    """Return a request whose body lacks its last byte."""
    head = make_head("POST", path, f"Content-Length: {size}")
    return head + b"x" * (size - 1)


def make_unfinished_chunks(path: str) -> bytes:
    """Return a request with a body in chunks of one byte, without its end."""
    head = make_head("POST", path, "Transfer-Encoding: chunked")
    return head + make_chunks(BODY_BYTES // 4)


@run_in_real_time
async def test_bodies_short_of_their_end_in_one_piece():
    await check_crowds(get_caller, [[[make_unfinished(QUEUE_PATH)]]])


@run_in_real_time
async def test_bodies_short_of_their_end_in_small_pieces():
    await check_crowds(get_caller, [[split_pieces(make_unfinished(QUEUE_PATH))]])


@run_in_real_time
async def test_bodies_in_chunks_of_one_byte():
    await check_crowds(get_caller, [[[make_unfinished_chunks(QUEUE_PATH)]]])


@run_in_real_time
async def test_bodies_on_paths_that_read_none():
    content = [
        kind
        for path in PATHS[1:]
        for kind in (
            [make_unfinished(path)],
            split_pieces(make_unfinished(path)),
            [make_unfinished_chunks(path)],
        )
    ]
    await check_crowds(get_caller, [content])


@run_in_real_time
async def test_bodies_on_readiness_and_metrics_addresses():
    content = [
        kind
        for path in PATHS
        for kind in ([make_unfinished(path)], split_pieces(make_unfinished(path)))
    ]
    await check_crowds(get_ready, [content])
    await check_crowds(get_metrics, [content])


@run_in_real_time
async def test_bodies_far_over_the_limit():
    content = [
        [make_unfinished(path, 16 * BODY_BYTES)] for path in (QUEUE_PATH, NO_ROUTE)
    ]
    await check_crowds(get_caller, [content])


@run_in_real_time
async def test_legal_bodies_of_very_many_steps():
    body = make_many_steps(BODY_BYTES)
    head = make_head("POST", QUEUE_PATH, f"Content-Length: {len(body)}")
    await check_crowds(get_caller, [[[head + body]]])


@run_in_real_time
async def test_heads_of_very_many_fields():
    fields = [f"a{number}:" for number in range(2_000)]
    content = [[make_head("GET", path, *fields)[:-2]] for path in PATHS]
    await check_crowds(get_caller, [content])


@run_in_real_time
async def test_requests_sent_ahead_without_reading_the_answers():
    ahead = [
        [make_head("GET", path) * 6_000] for path in (READY_PATH, NO_ROUTE, "/batch/")
    ]
    await check_crowds(get_caller, [ahead])
    await check_crowds(get_ready, [ahead])
    await check_crowds(get_metrics, [[[make_head("GET", METRICS_PATH) * 3_000]]])


@run_in_real_time
async def test_more_connections_than_descriptors():
    kinds = [
        [b""],
        [b"POST /batch/0"],
        split_pieces(make_head("GET", QUEUE_PATH)[:-1]),
        [make_head("POST", QUEUE_PATH, "Content-Length: 100")],
    ]
    await check_crowds(get_caller, [[kind] for kind in kinds], LARGE_CROWD)
    await check_crowds(get_ready, [kinds], LARGE_CROWD)


@run_in_real_time
async def test_http2_with_prior_knowledge():
    opening = HTTP2_PREFACE + HTTP2_SETTINGS
    ping = b"\x00\x00\x08\x06" + bytes(5) + b"01234567"
    upgrade = make_head(
        "GET", READY_PATH, "Connection: Upgrade, HTTP2-Settings", *HTTP2_UPGRADE
    )
    kinds = [[opening], [opening + ping * 15_000], split_pieces(opening), [upgrade]]
    await check_crowds(get_caller, [[kind] for kind in kinds])


@run_in_real_time
async def test_frames_short_of_their_end_on_the_peers_port():
    frame = (4 * 1024 * 1024).to_bytes(4, "big") + bytes(BODY_BYTES)
    await check_crowds(get_peer, [[[frame]]])
    await check_crowds(get_peer, [[[b"\x00"]]], LARGE_CROWD)


@run_in_real_time
async def test_largest_and_slowest_legal_requests_are_served():
    # The limits must not refuse a single client within the pages' limits.
    async with running_programs(nodes=1, changes=SETTINGS) as rig:
        (node,) = rig.nodes
        body = BODY + b" " * (BODY_BYTES - len(BODY))
        register_job(rig.world, "00000000000000a1")
        response = await rig.call(node, "POST", "00000000000000a1", body)
        assert response.status_code == 200
        register_job(rig.world, "00000000000000a2")
        path = "/batch/00000000000000a2"
        head = make_head("POST", path, f"Content-Length: {len(BODY)}")
        host, port = split_address(node.caller)
        async with await anyio.connect_tcp(host, port) as stream:
            for piece in split_pieces(head + BODY):
                await stream.send(piece)
                await anyio.sleep(0.1)
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        for job_id in ("00000000000000a1", "00000000000000a2"):
            await rig.wait_state(node, job_id, "completed")


load_tests = make_load_tests(globals())
