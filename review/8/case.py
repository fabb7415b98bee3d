"""A job that can never be done reserves executors that others could use."""

import asyncio
from pathlib import Path

import http_server
from deployment import run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 5
LABELLED = (0, 8)
FINISH_S = 40.0
AGENTS, HOPELESS, SMALL = (f"00000000000000a{number}" for number in (1, 2, 3))
STEP = {"memMb": 1_000, "requiredLabel": "g"}
PIPELINES = {
    # One lasting task on each of the two executors with the label.
    AGENTS: [
        {**STEP, "count": 2, "cpu": 1_000, "longRunning": True, "antiAffinity": 1}
    ],
    # It needs a whole executor, so that it can never be done beside the lasting tasks.
    HOPELESS: [{**STEP, "count": 2, "cpu": 32_000, "estRuntimeMs": 3_000}],
    SMALL: [{**STEP, "count": 1, "cpu": 4_000, "estRuntimeMs": 1_000}],
}


async def submit(deployment, job):
    """Hand a job in."""
    if await deployment.submit(job, PIPELINES[job], "work=1000") != 200:
        raise RuntimeError(f"{job} was not accepted")


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS, special=LABELLED)
    labelled = [world.executors[number] for number in LABELLED]
    await deployment.start(NODES)
    await asyncio.sleep(3.0)
    await submit(deployment, AGENTS)
    await asyncio.sleep(2.0)
    if len(world.running(AGENTS)) < len(LABELLED):
        raise RuntimeError("the lasting tasks do not run")
    if has_trouble:
        await submit(deployment, HOPELESS)
    await asyncio.sleep(2.0)
    await submit(deployment, SMALL)
    began = http_server.now_s()
    state = await deployment.wait_state(SMALL, ("completed", "failed"), FINISH_S)
    if f"{SMALL}.0.0.0" not in world.starts:
        rooms = {
            each.name: f"{sorted(each.runs)} of 1,000 each, {each.cpu} in all"
            for each in labelled
        }
        world.breaks(
            "LOST",
            f"{SMALL} is shown as {state} and has not been started "
            f"{http_server.now_s() - began:.1f} s after it was accepted; processor in "
            f"use on the executors with its label: {rooms}",
        )


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
