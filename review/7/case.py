"""All machines but one are lost for good at one time, and an executor with them."""

import asyncio
from pathlib import Path

import http_server
from deployment import run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 9
REPLACED_AFTER_S = 4.0
# Jobs have this long after the disruptions: recoveryS (12) and finish_s (14), and the
# work of a task (5 s) twice.
FINISH_S = 36.0
RUNNING, WAITING = "00000000000000a1", "00000000000000a2"
STEP = {"cpu": 14_000, "memMb": 1_000, "estRuntimeMs": 5_000}
PIPELINES = {
    RUNNING: [{**STEP, "count": 46}],
    # Its task does not fit beside the others, so that it waits for a while.
    WAITING: [{**STEP, "count": 1, "cpu": 30_000}],
}


async def check_progress(deployment, jobs):
    """Report a job that has nothing running for over 3 s although there is room."""
    world = deployment.world
    idle_since = dict.fromkeys(jobs, http_server.now_s())
    until = http_server.now_s() + 4.0
    while http_server.now_s() < until:
        for job in jobs:
            used = sum(len(each.runs) for each in world.executors if each.is_up)
            if world.running(job) or used > EXECUTORS / 2:
                idle_since[job] = http_server.now_s()
        await asyncio.sleep(0.1)
    for job in jobs:
        idle_s = http_server.now_s() - idle_since[job]
        status, answer = await deployment.query(job)
        if idle_s > 3.0 and answer.get("state") != "completed":
            missing = [
                f"{job}.0.0.{index}"
                for index in range(PIPELINES[job][0]["count"])
                if f"{job}.0.0.{index}" not in world.done
            ]
            world.breaks(
                "LOST",
                f"{job} is answered {status} {answer}; for {idle_s:.1f} s nothing of "
                f"it runs on idle executors; not done: {missing}",
            )


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS)
    await deployment.start(NODES)
    await asyncio.sleep(6.0)
    for job, pipeline in PIPELINES.items():
        if await deployment.submit(job, pipeline, "work=5000") != 200:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2.0)
    if has_trouble:
        owner = deployment.owner()
        others = [node for node in deployment.nodes if node is not owner]
        for node in [owner, *others[1:]]:
            node.kill()
        lost = next(each for each in world.executors if each.runs)
        lost.crash()
        await asyncio.sleep(REPLACED_AFTER_S)
        # The platform removes an entry after three intervals of silence.
        for number in range(NODES, 2 * NODES - 1):
            deployment.add_node(f"n{number}")
        await asyncio.sleep(1.0)
        world.store.put("keyed.servers", lost.name, b"")
    until = http_server.now_s() + FINISH_S
    for job in PIPELINES:
        await deployment.wait_state(
            job, ("completed", "failed"), until - http_server.now_s()
        )
    await check_progress(deployment, list(PIPELINES))


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
