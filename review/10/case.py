"""A machine that is stopping gets SIGHUP and cuts off a request in flight."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit3"))

from rig import CannotRun, Case, call, make_route, run_case  # noqa: E402

GAP_S = 1.0
# The request is sent on a machine that was told to stop 2.1 s before.
REQUEST_AT_S = 2.1
HUP_AT_S = 2.9
LIMIT_S = 3.0
LOSS_SLACK_S = 0.2


async def run(case: Case) -> str:
    """Stop three machines in turn, the owner last, and send SIGHUP to the first."""
    await case.start(3, 4, [make_route("certs")])
    owner = case.find_owner()
    first, second = [node for node in case.nodes if node is not owner]
    begin = time.monotonic()
    answers = []

    async def submit() -> None:
        job_id = f"{random.getrandbits(64):016x}"
        body = {
            "spec": json.dumps({"work_s": 0.5}),
            "pipeline": [{"count": 1, "cpu": 500, "estRuntimeMs": 500}],
        }
        sent_at = time.monotonic()
        status, _ = await call(
            first.front, "POST", f"/certs/{job_id}", "certs.example", body, LIMIT_S
        )
        took_s = time.monotonic() - sent_at
        case.note(f"POST at {first.name}: status {status} after {took_s:.2f} s")
        answers.append((status, took_s))

    async def at(seconds: float) -> None:
        await asyncio.sleep(begin + seconds - time.monotonic())

    for number, node in enumerate((first, second, owner)):
        await at(number * GAP_S)
        case.note(f"SIGTERM to {node.name}{' (owner)' if node is owner else ''}")
        node.kill(signal.SIGTERM)
    await at(REQUEST_AT_S)
    request = asyncio.create_task(submit())
    await at(HUP_AT_S)
    if case.trouble:
        if first.process.poll() is not None:
            raise CannotRun("the process had ended before")
        case.note(f"SIGHUP to {first.name}")
        first.kill(signal.SIGHUP)
    await request
    await at(7.0)
    case.note(f"{first.name} ended with {first.process.poll()}")
    status, took_s = answers[0]
    if status or not LOSS_SLACK_S < took_s < LIMIT_S - 0.1:
        return ""
    return f"LOST: a request was cut off after {took_s:.2f} s during a graceful stop"


if __name__ == "__main__":
    run_case(run, __file__)
