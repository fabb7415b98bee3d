"""Measure how much accepted work starts while the log is down for ten minutes.

A cell of 3 schedulers, a gateway and 3 racks on the mock clock works through jobs that
were accepted before the outage and that keep all workers busy, so that a task is due
whenever another one ends. The share compares the starts a second during the outage
with those before it. Variants: no fault beside the outage; a scheduler that crashes and
restarts on its address; the baseline, whose owners take no promises into account and so
stop at the end of their leases.
"""

import time
from unittest import mock

import anyio
import msgspec

from benchmarks.cells import BenchCell, bound_above, run_in_cell
from benchmarks.figures import Figure, print_figures
from gypsumring.ownership import promises
from gypsumring.ownership.decisions import NEVER

__all__ = ["Outage", "measure_outage", "run"]

OUTAGE_S = 600.0
# The baseline stops within one lease, so a shorter outage shows it as well.
BASELINE_OUTAGE_S = 120.0
HEALTHY_S = 60.0
SETTLE_S = 20.0
CRASH_AFTER_S = 60.0
RESTART_AFTER_S = 3.0
TASK_MS = 10_000
JOBS = 8
TASKS_PER_JOB = 500
# Stated target: all work that is due starts although the log is down. Less than 1 by
# more than the variation of 1 second's starts in the healthy minute is a miss.
SHARE_BOUND = 0.95
DOCUMENT = {
    "name": "marea-history",
    "team": "marea",
    "work": {
        "type": "batch",
        "priority": 0,
        "task": {"cpu_millis": 2_000, "memory_mb": 2_000},
    },
}


class Outage(msgspec.Struct, frozen=True):
    """Hold the outcome of one run; rates are starts a second."""

    healthy_rate: float
    outage_rate: float
    double_starts: int
    violations: int

    @property
    def share(self) -> float:
        """Return the rate in the outage as a share of the healthy one."""
        return self.outage_rate / self.healthy_rate if self.healthy_rate else 0.0


def count_starts(bench: BenchCell, since: float, until: float) -> int:
    """Return how many tasks started within an interval."""
    times = [at for starts in bench.started_at().values() for at in starts]
    return sum(since <= at < until for at in times)


async def crash_and_restart(bench: BenchCell) -> None:
    """Kill one scheduler and start its successor on the same address."""
    process = bench.cell.schedulers[0]
    process.kill()
    bench.cell.forget(process)
    await anyio.sleep(RESTART_AFTER_S)
    bench.cell.start(process.name, process.address, process.number)


async def measure_one(bench: BenchCell, has_crash: bool, outage_s: float) -> Outage:
    """Run one outage in a warm cell."""
    await bench.publish({DOCUMENT["name"]: DOCUMENT})
    for _ in range(JOBS):
        args = [{"run_ms": TASK_MS}] * TASKS_PER_JOB
        job = await bench.submit(DOCUMENT["name"], args)
        if job.accepted_at is None:
            raise AssertionError("a job was not accepted by a healthy cell")
    await anyio.sleep(SETTLE_S)
    healthy_from = anyio.current_time()
    await anyio.sleep(HEALTHY_S)
    outage_from = anyio.current_time()
    bench.platform.log.faults.down = True
    if has_crash:
        await anyio.sleep(CRASH_AFTER_S)
        await crash_and_restart(bench)
    await anyio.sleep(outage_from + outage_s - anyio.current_time())
    outage_to = anyio.current_time()
    bench.platform.log.faults.down = False
    await anyio.sleep(SETTLE_S)
    return Outage(
        count_starts(bench, healthy_from, outage_from) / HEALTHY_S,
        count_starts(bench, outage_from, outage_to) / outage_s,
        bench.count_double_starts(),
        len(bench.violations),
    )


def measure_outage(seed: int, has_crash: bool, outage_s: float = OUTAGE_S) -> Outage:
    """Run one outage on the mock clock."""
    return run_in_cell(
        measure_one,
        has_crash,
        outage_s,
        seed=seed,
        schedulers=3,
        gateways=1,
        prepare=BenchCell.remove_executors,
    )


def run(seed: int) -> list[Figure]:
    """Return all figures of outages."""
    calm = measure_outage(seed, False)
    crash = measure_outage(seed, True)
    with mock.patch.object(
        promises.PromiseBook, "received_until", lambda *arguments: NEVER
    ):
        stopped = measure_outage(seed, False, BASELINE_OUTAGE_S)
    share = round(calm.share, 3)
    both = (calm, crash)
    return [
        Figure("outage.healthy_rate", round(calm.healthy_rate, 2), "starts/s"),
        Figure("outage.share", share, "ratio", SHARE_BOUND, share >= SHARE_BOUND),
        Figure("outage.share_with_crash", round(crash.share, 3), "ratio"),
        Figure("outage.share_without_promises", round(stopped.share, 3), "ratio"),
        bound_above(
            "outage.double_starts", sum(o.double_starts for o in both), "starts", 0
        ),
        bound_above("outage.violations", sum(o.violations for o in both), "", 0),
    ]


if __name__ == "__main__":
    began = time.perf_counter()
    print_figures(run(7))
    print(f"{time.perf_counter() - began:.1f} s")
