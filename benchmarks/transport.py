"""Measure the processor time of one call between processes."""

import random
import time

import anyio

from gypsumring.adapters import HttpLog
from gypsumring.messages.peer import Acknowledged, QueryJob
from gypsumring.metrics import Metrics
from gypsumring.peers import NngPeerClient, PeerServer
from stand_ins.servers import LogApp, serve_apps
from stand_ins.state import LogState

__all__ = ["measure_http_call_us", "measure_peer_call_us"]

CALLS = 500
WARM_UP_CALLS = 20
CALL_LIMIT_S = 30.0
US_PER_S = 1_000_000


async def time_calls(call) -> float:
    """Return the processor time of one call in microseconds, both sides together."""
    for _ in range(WARM_UP_CALLS):
        await call()
    began = time.process_time()
    for _ in range(CALLS):
        await call()
    return (time.process_time() - began) / CALLS * US_PER_S


async def time_peer_calls() -> float:
    """Return the processor time of one peer call over TCP on loopback."""

    async def handle(sender, message):
        return Acknowledged()

    server = PeerServer("127.0.0.1:0", handle, incarnation=1, metrics=Metrics())
    server.listen()
    client = NngPeerClient("n2")

    async def call() -> None:
        deadline = anyio.current_time() + CALL_LIMIT_S
        await client.call(server.address, QueryJob("l", "t", "j"), deadline)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        result = await time_calls(call)
        tasks.cancel_scope.cancel()
    client.close()
    return result


async def time_http_calls() -> float:
    """Return the processor time of one read of an empty stream over HTTP."""
    app = LogApp(LogState(1_000, 3_600, 400), random.Random(1))
    async with serve_apps({"log": app}) as addresses:
        log = HttpLog(f"http://{addresses['log']}", "n1")

        async def call() -> None:
            await log.read("control", 0, 64, 0)

        result = await time_calls(call)
        await log.aclose()
    return result


def measure_peer_call_us() -> float:
    """Return the processor time of one side of a peer call, in microseconds."""
    return anyio.run(time_peer_calls) / 2


def measure_http_call_us() -> float:
    """Return the processor time of one side of an HTTP call, in microseconds."""
    return anyio.run(time_http_calls) / 2
