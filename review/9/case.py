"""Two of three executors with a label fail their tasks for a while."""

import asyncio
from pathlib import Path

import http_server
from deployment import run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 5
LABELLED = (0, 8, 16)
FAILING_S = 6.5
FINISH_S = 40.0
SERVICE, BATCH, LASTING = (f"00000000000000a{number}" for number in (1, 2, 3))
STEP = {"count": 1, "memMb": 1_000, "requiredLabel": "g"}
PIPELINES = {
    # It fills one of the three executors for as long as it lasts.
    SERVICE: [{**STEP, "cpu": 32_000, "estRuntimeMs": 60_000, "longRunning": True}],
    BATCH: [{**STEP, "cpu": 4_000, "estRuntimeMs": 3_000}],
    LASTING: [{**STEP, "cpu": 4_000, "estRuntimeMs": 60_000, "longRunning": True}],
}


async def submit(deployment, job):
    """Hand a job in."""
    if await deployment.submit(job, PIPELINES[job], "work=3000") != 200:
        raise RuntimeError(f"{job} was not accepted")


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS, special=LABELLED)
    labelled = [world.executors[number] for number in LABELLED]
    await deployment.start(NODES)
    await asyncio.sleep(3.0)
    await submit(deployment, SERVICE)
    await asyncio.sleep(2.0)
    others = [each for each in labelled if not each.runs]
    for executor in others:
        executor.fails = has_trouble
    await submit(deployment, BATCH)
    await submit(deployment, LASTING)
    await asyncio.sleep(FAILING_S)
    for executor in others:
        executor.fails = False
    world.record("no executor fails its tasks any more")
    await deployment.wait_state(BATCH, ("completed", "failed"), FINISH_S)
    if world.running(LASTING) and f"{BATCH}.0.0.0" in world.done:
        return
    idle_since = dict.fromkeys((BATCH, LASTING), http_server.now_s())
    until = http_server.now_s() + 8.0
    while http_server.now_s() < until:
        for job in idle_since:
            if world.running(job) or f"{job}.0.0.0" in world.done:
                idle_since[job] = http_server.now_s()
        await asyncio.sleep(0.1)
    for job, since in idle_since.items():
        idle_s = http_server.now_s() - since
        _, answer = await deployment.query(job)
        if idle_s > 7.0:
            rooms = {each.name: sorted(each.runs) for each in labelled}
            world.breaks(
                "LOST",
                f"{job} is shown as {answer.get('state')}; for {idle_s:.1f} s nothing "
                f"of it runs; what runs on the executors with its label: {rooms}",
            )


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
