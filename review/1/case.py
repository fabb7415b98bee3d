"""More than 500 ends wait on one executor while all nodes are down."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.cluster import RESTART_DELAY_S, Cluster, has_trouble, route, run_case
from lib.executor import Executor, find_twice

JOBS = 12
# The widest step on the sheet of the small sites.
TASKS = 60
PAUSE_S = 0.08
WORK_S = 5.0
KILL_AFTER_S = 4.8
START_LIMIT_S = 20.0
WATCH_S = 20.0


def behave(task: str, attempt: int, executor: Executor) -> tuple[float, str]:
    """Let each task work for the same time."""
    return WORK_S, "done"


async def case(cluster: Cluster) -> list[str]:
    """Kill all nodes shortly before the tasks end, and start them again."""
    executors = [Executor(cluster.world, name) for name in ("x1", "x2")]
    await cluster.start(3, executors, [route("batch")])
    await asyncio.sleep(1.0)
    step = {"count": TASKS, "cpu": 40, "memMb": 50, "estRuntimeMs": 5000}
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for job in jobs:
        body = {"spec": "run", "pipeline": [step]}
        assert await cluster.submit(f"/batch/{job}", body), "not accepted"
        await asyncio.sleep(PAUSE_S)
    runs = cluster.world.runs
    until = time.monotonic() + START_LIMIT_S
    while len(runs) < JOBS * TASKS and time.monotonic() < until:
        await asyncio.sleep(0.05)
    began = min(run.started_at for run in runs)
    spread_s = max(run.started_at for run in runs) - began
    cluster.note(f"{len(runs)} tasks have started, within {spread_s:.2f} s")
    if has_trouble():
        await asyncio.sleep(max(0.0, began + KILL_AFTER_S - time.monotonic()))
        for node in cluster.nodes:
            node.kill()
        cluster.note("all nodes are killed")
        await asyncio.sleep(RESTART_DELAY_S)
        for node in cluster.nodes:
            node.start()
        cluster.note("all nodes are started again")
    await asyncio.sleep(WATCH_S)
    for job in jobs:
        await cluster.send("GET", f"/batch/{job}")
    for executor in executors:
        count = sum(run.executor is executor for run in runs)
        cluster.note(f"{executor.executor_id} began {count} runs")
    cluster.note(f"{len(runs)} runs of {JOBS * TASKS} tasks")
    return find_twice(cluster.world)


run_case(case, behave)
