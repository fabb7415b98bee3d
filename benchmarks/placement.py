"""Benchmark of placement: decision rate and time by cell size, and packing."""

import math
import random
import statistics
import time

from benchmarks.figures import Figure, print_figures
from gypsumring.messages.work import Priority, Resources
from gypsumring.placement import (
    BestFitScan,
    Demand,
    FirstFit,
    NoFit,
    Pack,
    PlacementEngine,
    Policy,
    RandomFit,
)

__all__ = ["run"]

CELL_SIZES = (24, 240, 2_400, 5_300)
TASKS_AT_LARGEST = 100_000
LARGEST_CELL = CELL_SIZES[-1]
# Targets of the design page at 5,300 workers and 100,000 running tasks.
PLACEMENTS_PER_S = 4_500.0
DECISION_P99_MS = 5.0
DECISIONS = 20_000
REFUSED_DECISIONS = 2_000
PREEMPTION_DECISIONS = 500

# Uneven workers; a quarter holds 8 accelerators, 10,600 in the largest cell.
WORKERS = (
    Resources(32_000, 131_072, 0),
    Resources(64_000, 131_072, 0),
    Resources(64_000, 131_072, 0),
    Resources(48_000, 196_608, 8),
)
CPU_SIZES = (500, 1_000, 2_000, 2_000, 4_000, 5_000)
MEMORY_SIZES = (1_024, 2_048, 4_096, 4_096, 8_192, 16_384)

CLYDE_WORKERS = 24
CLYDE_CORES = 64_000
CLYDE_MEMORY = 131_072
CLYDE_RUNS = 40
PACKING_POLICIES: tuple[tuple[str, Policy], ...] = (
    ("gypsumring", Pack()),
    ("first-fit", FirstFit()),
    ("best-fit", BestFitScan()),
    ("random", RandomFit()),
)


def make_demand(number: int, source: random.Random) -> Demand:
    """Return a random task: a fifth are spread services, 5% need accelerators."""
    accelerators = source.choice((1, 2)) if source.random() < 0.05 else 0
    is_service = source.random() < 0.2
    return Demand(
        key=(f"t{number}", 1),
        service=f"s{source.randrange(400)}",
        resources=Resources(
            source.choice(CPU_SIZES), source.choice(MEMORY_SIZES), accelerators
        ),
        priority=Priority.NORMAL if is_service else Priority(source.randrange(3)),
        spread=is_service,
    )


def fill_cell(workers: int, source: random.Random) -> PlacementEngine:
    """Return a cell with its running tasks placed."""
    engine = PlacementEngine(0.5, source)
    for number in range(workers):
        engine.add_worker(
            f"vm-{number}",
            WORKERS[number % len(WORKERS)],
            f"dc-{number * 12 // workers}",
            f"rack-{number // 8}",
        )
    number = 0
    while len(engine.tasks) < TASKS_AT_LARGEST * workers // LARGEST_CELL:
        try:
            engine.place(make_demand(number, source), 0.0)
        except NoFit:
            pass
        number += 1
        if number > 2 * TASKS_AT_LARGEST:
            raise RuntimeError(f"{workers} workers hold too little for the benchmark")
    return engine


def replace_tasks(
    engine: PlacementEngine,
    count: int,
    source: random.Random,
    policy: Policy | None = None,
) -> tuple[float, list[float]]:
    """Let random tasks end and place new ones.

    Return the placements a second, with the ends included in the time, and the
    sorted times of the decisions in seconds.
    """
    keys = list(engine.tasks)
    demands = [make_demand(10**9 + n, source) for n in range(count)]
    times = []
    placed = 0
    began = time.perf_counter()
    for demand in demands:
        index = source.randrange(len(keys))
        ended = keys[index]
        start = time.perf_counter()
        try:
            engine.place(demand, 0.0, policy)
        except NoFit:
            times.append(time.perf_counter() - start)
            continue
        times.append(time.perf_counter() - start)
        placed += 1
        engine.release(ended)
        keys[index] = demand.key
    return placed / (time.perf_counter() - began), sorted(times)


def refuse_tasks(
    engine: PlacementEngine, source: random.Random, policy: Policy | None = None
) -> list[float]:
    """Fill the cell up, then return the sorted times of decisions that find no room."""
    number = 2 * 10**9
    times: list[float] = []
    while len(times) < REFUSED_DECISIONS:
        number += 1
        demand = make_demand(number, source)
        start = time.perf_counter()
        try:
            engine.place(demand, 0.0, policy)
        except NoFit:
            times.append(time.perf_counter() - start)
    return sorted(times)


def choose_victims(engine: PlacementEngine, source: random.Random) -> list[float]:
    """Return the sorted times of preemption decisions in a full cell.

    Every second one asks for a whole worker, which hardly any can make free.
    """
    times = []
    for number in range(PREEMPTION_DECISIONS):
        resources = make_demand(0, source).resources
        if number % 2:
            resources = Resources(64_000, 131_072)
        demand = Demand(
            key=("urgent", number),
            service="urgent",
            resources=resources,
            priority=Priority.URGENT,
        )
        start = time.perf_counter()
        engine.choose_victims(demand)
        times.append(time.perf_counter() - start)
    return sorted(times)


def read_p99_ms(times: list[float]) -> float:
    """Return the 99th percentile of sorted times, in milliseconds."""
    return times[math.ceil(len(times) * 0.99) - 1] * 1_000


def measure_decisions(seed: int) -> list[Figure]:
    """Measure decision rate and time at each cell size, with a scan as baseline."""
    figures = []
    means: dict[str, list[tuple[float, float]]] = {"index": [], "first-fit scan": []}
    for workers in CELL_SIZES:
        source = random.Random(seed)
        engine = fill_cell(workers, source)
        tasks = len(engine.tasks)
        at = f"at {workers} workers, {tasks} tasks"
        scanned = fill_cell(workers, random.Random(seed))
        scan_rate, scan_times = replace_tasks(scanned, DECISIONS, source, FirstFit())
        rate, times = replace_tasks(engine, DECISIONS, source)
        means["index"].append((workers, statistics.fmean(times)))
        means["first-fit scan"].append((workers, statistics.fmean(scan_times)))
        p99 = read_p99_ms(times)
        largest = workers == LARGEST_CELL
        figures += [
            Figure(
                f"placements {at}",
                rate,
                "1/s",
                PLACEMENTS_PER_S if largest else None,
                not largest or rate >= PLACEMENTS_PER_S,
            ),
            Figure(
                f"decision p99 {at}",
                p99,
                "ms",
                DECISION_P99_MS if largest else None,
                not largest or p99 <= DECISION_P99_MS,
            ),
            Figure(f"placements by first-fit scan {at}", scan_rate, "1/s"),
            Figure(
                f"decision p99 by first-fit scan {at}", read_p99_ms(scan_times), "ms"
            ),
        ]
        refused_p99 = read_p99_ms(refuse_tasks(engine, source))
        victims_p99 = read_p99_ms(choose_victims(engine, source))
        refused_scan = refuse_tasks(scanned, source, FirstFit())
        figures += [
            Figure(
                f"decision p99 without room at {workers} workers",
                refused_p99,
                "ms",
                DECISION_P99_MS if largest else None,
                not largest or refused_p99 <= DECISION_P99_MS,
            ),
            Figure(
                f"preemption decision p99 at {workers} workers",
                victims_p99,
                "ms",
                DECISION_P99_MS if largest else None,
                not largest or victims_p99 <= DECISION_P99_MS,
            ),
            Figure(
                f"decision p99 without room by first-fit scan at {workers} workers",
                read_p99_ms(refused_scan),
                "ms",
            ),
        ]
    for name, points in means.items():
        figures.append(
            Figure(f"slope of decision time, {name}", fit_slope(points), "log/log")
        )
    return figures


def fit_slope(points: list[tuple[float, float]]) -> float:
    """Return the exponent of the growth of y with x by least squares."""
    xs = [math.log(x) for x, _ in points]
    ys = [math.log(y) for _, y in points]
    return statistics.linear_regression(xs, ys).slope


def make_clyde_cell(source: random.Random) -> PlacementEngine:
    """Return Clyde Basin's workers, empty."""
    engine = PlacementEngine(1.0, source)
    for number in range(CLYDE_WORKERS):
        engine.add_worker(
            f"vm-{number}",
            Resources(CLYDE_CORES, CLYDE_MEMORY),
            f"dc-{number // 6}",
            f"rack-{number // 6}",
        )
    return engine


def make_overnight_demand(number: int, source: random.Random) -> Demand:
    """Return one overnight task: planning is heavy on cores, certificates on memory."""
    if source.random() < 0.5:
        resources = Resources(
            source.randint(2, 12) * 1_000, source.randint(1, 8) * 1_024
        )
    else:
        resources = Resources(
            source.randint(1, 4) * 1_000, source.randint(4, 24) * 1_024
        )
    return Demand(
        key=(f"n{number}", 1), service="n", resources=resources, priority=Priority.BATCH
    )


def hold_until_gang_fails(policy: Policy, seed: int) -> float:
    """Return the share of cores and memory held when the next gang does not fit.

    Single tasks and gangs of 12 tasks of 16 cores and 24 GiB arrive mixed; single
    tasks that do not fit are passed over, as they can wait.
    """
    source = random.Random(seed)
    engine = make_clyde_cell(source)
    number = 0
    while True:
        number += 1
        if source.random() >= 0.1:
            try:
                engine.place(make_overnight_demand(number, source), 0.0, policy)
            except NoFit:
                pass
            continue
        gang = [
            Demand(
                key=(f"g{number}/{task}", 1),
                service="g",
                resources=Resources(16_000, 24_576),
            )
            for task in range(12)
        ]
        try:
            for demand in gang:
                engine.place(demand, 0.0, policy)
        except NoFit:
            for demand in gang:
                engine.release(demand.key)
            return measure_held_share(engine)


def measure_held_share(engine: PlacementEngine) -> float:
    """Return the mean of the held shares of cores and memory, per VM."""
    held = Resources()
    for task in engine.tasks.values():
        held += task.reserved
    return (
        held.cpu_millis / (CLYDE_WORKERS * CLYDE_CORES)
        + held.memory_mb / (CLYDE_WORKERS * CLYDE_MEMORY)
    ) / 2


def leave_overnight(policy: Policy, seed: int) -> float:
    """Return the mean share of VMs without tasks at 40% load with random ends."""
    source = random.Random(seed)
    engine = make_clyde_cell(source)
    shares = []
    for number in range(4_000):
        if measure_load(engine) < 0.4:
            engine.place(make_overnight_demand(number, source), 0.0, policy)
        else:
            engine.release(source.choice(list(engine.tasks)))
        if number >= 1_000:
            empty = sum(not room.tasks for room in engine.workers.values())
            shares.append(empty / CLYDE_WORKERS)
    return statistics.fmean(shares)


def measure_load(engine: PlacementEngine) -> float:
    """Return the held share of cores."""
    free = sum(room.cpu for room in engine.workers.values())
    return 1 - free / (CLYDE_WORKERS * CLYDE_CORES)


def measure_packing(seed: int) -> list[Figure]:
    """Compare policies on Clyde Basin's VMs; no bound is stated for these."""
    figures = []
    for name, policy in PACKING_POLICIES:
        held = [
            hold_until_gang_fails(policy, seed * 1_000 + n) for n in range(CLYDE_RUNS)
        ]
        empty = [leave_overnight(policy, seed * 1_000 + n) for n in range(5)]
        figures += [
            Figure(
                f"work held per VM when a gang no longer fits, {name}",
                statistics.fmean(held) * 100,
                "%",
            ),
            Figure(
                f"VMs left empty overnight, {name}", statistics.fmean(empty) * 100, "%"
            ),
        ]
    return figures


def run(seed: int) -> list[Figure]:
    """Measure and return all figures."""
    return measure_decisions(seed) + measure_packing(seed)


if __name__ == "__main__":
    print_figures(run(7))
