"""Single executors crash and come back, one after the other, under a lasting job."""

import asyncio
from pathlib import Path

import http_server
from deployment import run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 5
CRASHES = 14
DOWN_S = 4.5
GAP_S = 0.8
JOB = "00000000000000a1"
# Each task takes more than half of an executor, so that each runs alone.
PIPELINE = [
    {
        "count": 20,
        "cpu": 20_000,
        "memMb": 1_000,
        "estRuntimeMs": 60_000,
        "longRunning": True,
    }
]


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS)
    await deployment.start(NODES)
    await asyncio.sleep(3.0)
    if await deployment.submit(JOB, PIPELINE) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4.0)
    state = ""
    for _ in range(CRASHES):
        executor = deployment.random.choice(world.executors)
        if has_trouble:
            executor.crash()
        await asyncio.sleep(DOWN_S)
        if has_trouble:
            await executor.start()
        await asyncio.sleep(GAP_S)
        state = (await deployment.query(JOB))[1].get("state", "")
        if state == "failed":
            break
    if state == "failed":
        world.breaks(
            "LOST",
            f"{JOB} is shown as failed; no task of it has ended as failed, and nobody "
            "has cancelled it",
        )
        return
    # All tasks are to run again some seconds after the last crash.
    until = http_server.now_s() + 10.0
    while len(world.running(JOB)) < 20 and http_server.now_s() < until:
        await asyncio.sleep(0.2)
    count = len(world.running(JOB))
    if count < 20:
        world.breaks("LOST", f"{count} of 20 lasting tasks run, with room for more")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
