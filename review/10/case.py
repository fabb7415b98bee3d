"""Executors refuse starts for a while; the jobs that wait for them are counted."""

import asyncio
from pathlib import Path

import http_server
from deployment import run_case
from executors import start_fleet

EXECUTORS = 24
NODES = 5
LABELLED = (0, 8)
UNHEALTHY_S = 6.5
# A job counts from visible_ms (3 s) and 2 s after it was accepted.
COUNTED_AFTER_S = 5.0
JOBS = 6
PIPELINE = [
    {
        "count": 1,
        "cpu": 4_000,
        "memMb": 1_000,
        "estRuntimeMs": 2_000,
        "requiredLabel": "g",
    }
]


async def play(deployment, has_trouble):
    """Play the case."""
    world = deployment.world
    await start_fleet(world, EXECUTORS, special=LABELLED)
    await deployment.start(NODES)
    await asyncio.sleep(5.0)
    labelled = [world.executors[number] for number in LABELLED]
    for executor in labelled:
        executor.refuses = has_trouble
    unhealthy_until = http_server.now_s() + UNHEALTHY_S
    accepted_at = {}
    for number in range(JOBS):
        job = f"00000000000000b{number}"
        if await deployment.submit(job, PIPELINE, "work=2000") != 200:
            raise RuntimeError(f"{job} was not accepted")
        accepted_at[job] = http_server.now_s()
    await asyncio.sleep(
        max(accepted_at.values()) + COUNTED_AFTER_S - http_server.now_s()
    )
    await asyncio.sleep(0.2)
    for node in deployment.running_nodes():
        _, answer = await deployment.query("", node)
        waiting = [
            job
            for job, at in accepted_at.items()
            if http_server.now_s() - at > COUNTED_AFTER_S
            and not any(task.startswith(job) for task in world.starts)
        ]
        pending = answer.get("pending")
        if pending is not None and pending < len(waiting) / 2:
            world.breaks(
                "MIXED",
                f"{node.name} gives {pending} as pending; {len(waiting)} jobs accepted "
                f"over {COUNTED_AFTER_S} s before have not begun",
            )
    await asyncio.sleep(max(0.0, unhealthy_until - http_server.now_s()))
    for executor in labelled:
        executor.refuses = False
    world.record("no executor refuses starts any more")
    for job in accepted_at:
        state = await deployment.wait_state(job, ("completed", "failed"), 40.0)
        if state != "completed":
            world.breaks("LOST", f"{job} is shown as {state}")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
