"""A node stands still while a route is dropped, and a job waits there meanwhile."""

import asyncio
import json
import signal
from pathlib import Path

import http_server
from deployment import HEADERS, ROUTE, run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 5
FROZEN_S = 2.3
# How long the accepted job has, of 1 s of work, with idle executors.
FINISH_S = 30.0
JOB = "00000000000000a1"
PIPELINE = [{"count": 4, "cpu": 4_000, "memMb": 1_000, "estRuntimeMs": 1_000}]
# A queue with advice, as all queues of the small sites have it.
SECOND = {
    **ROUTE,
    "name": "second",
    "pathPrefix": "/second/",
    "advice": {"decideMs": 20, "periodMs": 1, "validMs": 2000},
}


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS)
    await deployment.start(NODES)
    deployment.write_desired_state(3, [ROUTE, SECOND])
    await asyncio.sleep(5.0)
    owner = deployment.owner()
    node = next(each for each in deployment.nodes if each is not owner)
    began = http_server.now_s()
    if has_trouble:
        node.process.send_signal(signal.SIGSTOP)
        world.record(f"{node.name} stands still")
    await asyncio.sleep(0.3)
    world.jobs[JOB] = PIPELINE
    world.advised.add(JOB)
    body = json.dumps({"spec": "work=1000", "pipeline": PIPELINE}).encode()
    world.record(f"POST {JOB} is sent to {node.name}")
    post = asyncio.create_task(
        http_server.call(node.front, "POST", f"/second/{JOB}", body, HEADERS, 3.0)
    )
    await asyncio.sleep(0.3)
    deployment.write_desired_state(5, [ROUTE])
    await asyncio.sleep(began + FROZEN_S - http_server.now_s())
    if has_trouble:
        node.process.send_signal(signal.SIGCONT)
        world.record(f"{node.name} goes on")
    status, answer = await post
    world.record(f"POST {JOB} at {node.name}: {status} {answer}")
    tasks = {f"{JOB}.0.0.{index}" for index in range(PIPELINE[0]["count"])}
    until = http_server.now_s() + FINISH_S
    while not tasks <= world.done and http_server.now_s() < until:
        await asyncio.sleep(0.1)
    missing = sorted(tasks - world.done)
    if status == 200 and missing:
        world.breaks(
            "LOST",
            f"{JOB} was accepted; {FINISH_S:.0f} s later {missing} have not been done "
            "on idle executors",
        )


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
