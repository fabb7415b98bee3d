"""Measure how soon a rack places urgent tasks again after a fault of its owner.

Each trial is a cell of 3 schedulers, a gateway and 3 racks on the mock clock. Only the
workers of one rack have accelerators, so that urgent tasks that need one can start on
that rack alone. The owner of the rack is killed, paused for three lease times, or cut
off from peers, log and workers; one urgent task is submitted every 0.25 s. The time
counts from the fault to the first start of a task submitted after it, and so includes
the takeover of the team's ledger where both shards had the same owner.
"""

import time
from concurrent.futures import ProcessPoolExecutor

import anyio
import msgspec

from benchmarks.cells import BenchCell, bound_above, quantile, run_in_cell
from benchmarks.figures import Figure, print_figures
from gypsumring.settings import TimingSettings
from soak.platform import DATA_CENTRES

__all__ = ["FAULTS", "Trial", "measure_recovery", "run"]

FAULTS = ("kill", "pause", "cut")
TRIALS = 20
PARALLEL_TRIALS = 4
SUBMIT_EVERY_S = 0.25
# A rack learns of the end of a task within about 2 s, so that 8 are in use at once.
ACCELERATORS = 4
SCHEDULERS = 3
DATA_CENTRE = DATA_CENTRES[0]
GATEWAYS = 1
# Three lease times, as stated for the pause; the cut lasts as long.
FAULT_S = 3 * TimingSettings().lease_ms / 1000
AFTER_S = 1.0
# Accepted tasks may wait for the end of a task lease of 30 s and its margin.
FINAL_LIMIT_S = 60.0
# Stated targets of the design.
RECOVERY_BOUND_S = 9.6
URGENT_DOCUMENT = {
    "name": "marea-urgent",
    "team": "marea",
    "work": {
        "type": "batch",
        "priority": 2,
        "task": {"cpu_millis": 500, "memory_mb": 800, "accelerators": 1},
    },
}


class Trial(msgspec.Struct, frozen=True):
    """Hold the outcome of one trial."""

    recovery_s: float
    double_starts: int
    lost_jobs: int
    violations: tuple[str, ...]


async def disturb(bench: BenchCell, fault: str, shard: str) -> float:
    """Apply a fault to the owner of a shard and end it; return when it began."""
    owner = bench.find_owner(shard)
    if owner is None:
        raise AssertionError(f"{shard} has no owner after the warm-up")
    began_at = anyio.current_time()
    match fault:
        case "kill":
            owner.kill()
            bench.cell.forget(owner)
        case "pause":
            owner.pause()
        case "cut":
            bench.cut_from_network(owner, True)
    await anyio.sleep(RECOVERY_BOUND_S if fault == "kill" else FAULT_S)
    match fault:
        case "pause":
            owner.resume()
        case "cut":
            bench.cut_from_network(owner, False)
    return began_at


async def submit_urgent(bench: BenchCell) -> None:
    """Submit urgent tasks until cancelled."""
    async with anyio.create_task_group() as group:
        while True:
            args = [{"run_ms": 100}]
            group.start_soon(bench.submit, URGENT_DOCUMENT["name"], args)
            await anyio.sleep(SUBMIT_EVERY_S)


def prepare(bench: BenchCell) -> None:
    """Leave accelerators to one rack and take the executors away."""
    bench.remove_executors()
    bench.put_accelerators(DATA_CENTRE, ACCELERATORS)


async def try_fault(bench: BenchCell, fault: str) -> Trial:
    """Run one trial."""
    await bench.publish({URGENT_DOCUMENT["name"]: URGENT_DOCUMENT})
    async with anyio.create_task_group() as load:
        load.start_soon(submit_urgent, bench)
        await anyio.sleep(1 + bench.random_source.uniform(0, 1))
        began_at = await disturb(bench, fault, f"rack/{DATA_CENTRE}/r1")
        await anyio.sleep(AFTER_S)
        load.cancel_scope.cancel()
    lost = await bench.count_lost_jobs(FINAL_LIMIT_S)
    started = [
        min(times)
        for job_id, times in bench.started_at().items()
        if bench.submitted_at[job_id] >= began_at
    ]
    return Trial(
        min(started, default=float("inf")) - began_at,
        bench.count_double_starts(),
        lost,
        tuple(bench.violations),
    )


def measure_recovery(fault: str, seed: int) -> Trial:
    """Run one trial on the mock clock."""
    return run_in_cell(
        try_fault,
        fault,
        seed=seed,
        schedulers=SCHEDULERS,
        gateways=GATEWAYS,
        prepare=prepare,
    )


def run(seed: int) -> list[Figure]:
    """Return all figures of recovery."""
    figures = []
    for number, fault in enumerate(FAULTS):
        first = seed * 1000 + number * TRIALS
        seeds = range(first, first + TRIALS)
        # Each trial depends on its seed alone, so trials may run side by side.
        with ProcessPoolExecutor(PARALLEL_TRIALS) as pool:
            trials = list(pool.map(measure_recovery, [fault] * TRIALS, seeds))
        times = [trial.recovery_s for trial in trials]
        name = f"recovery.{fault}"
        figures += [
            Figure(f"{name}.p50", round(quantile(times, 50), 3), "s"),
            bound_above(f"{name}.max", max(times), "s", RECOVERY_BOUND_S),
        ]
        for what, count in (
            ("double_starts", sum(t.double_starts for t in trials)),
            ("lost_jobs", sum(t.lost_jobs for t in trials)),
            ("violations", sum(len(t.violations) for t in trials)),
        ):
            figures.append(bound_above(f"{name}.{what}", count, what, 0))
    return figures


if __name__ == "__main__":
    began = time.perf_counter()
    print_figures(run(7))
    print(f"{time.perf_counter() - began:.1f} s")
