"""Learn speeds and interference from the attempts that executors run."""

import math

import anyio

from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis
from gypsumring.fleet.interference import Neighbour
from gypsumring.fleet.profiles import center_profiles
from gypsumring.fleet.runtimes import Evidence, bounded_log
from gypsumring.pipelines import Run, RunState, WorkKind
from gypsumring.utils.logs import EventLogger

__all__ = ["RunObserver", "find_neighbours", "measure_knowledge", "review_knowledge"]

log = EventLogger("interference")

# Progress that a sample of it needs, in percent of the estimated work, and the progress
# that executors report at most.
MIN_PROGRESS = 20
FULL_PERCENT = 99
# Period of the samples of a serving task's tail latency, and the weight of one: they
# follow the load of the last seconds, and are not independent.
TAIL_PERIOD_S = 1.0
TAIL_WEIGHT = 0.2


class RunObserver:
    """Learner from the reports about attempts, which never changes an attempt."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    def record_listed(
        self, executor: ExecutorState, run: Run, percent: float, clock_ms: int
    ) -> None:
        """Record the progress of an attempt, by the executor's clock."""
        if run.step.spec.latency_target_ms:
            self.record_tail(executor, run)
        if percent >= FULL_PERCENT:
            return
        if run.progress_began is None or percent < run.progress_began[0]:
            run.progress_began = (percent, clock_ms)
        run.progress_latest = (percent, clock_ms)

    def record_tail(self, executor: ExecutorState, run: Run) -> None:
        """Learn from the tail latency of a serving task."""
        now = anyio.current_time()
        if now < run.next_tail_at or run.load <= 0 or run.state is not RunState.RUNNING:
            return
        run.next_tail_at = now + TAIL_PERIOD_S
        log_ratio = bounded_log(run.load / run.step.spec.latency_target_ms)
        neighbours = find_neighbours(executor, run, now - TAIL_PERIOD_S, now)
        self.state.knowledge.learn(
            executor.profile,
            run.step.kind,
            {Evidence.TAIL: log_ratio},
            neighbours,
            neighbour_load(executor, neighbours),
            now,
            TAIL_WEIGHT,
        )

    def record_ended(self, executor: ExecutorState, run: Run, is_done: bool) -> None:
        """Learn from an attempt that has ended."""
        now = anyio.current_time()
        if is_done and is_comparable(run):
            log_ratios = self.measure(run, now)
            neighbours = find_neighbours(executor, run, run.started_at, now)
            self.state.knowledge.learn(
                executor.profile,
                run.step.kind,
                log_ratios,
                neighbours,
                neighbour_load(executor, neighbours),
                now,
            )
        executor.recent_runs.append((run, now))

    def measure(self, run: Run, now: float) -> dict[Evidence, float]:
        """Return the log ratios of times to estimates that an attempt shows."""
        estimated_ms = run.step.spec.estimated_ms
        ratios = {}
        if run.has_full_time:
            ran_ms = (now - run.started_at) * 1000
            ratios[Evidence.END] = bounded_log(ran_ms / estimated_ms)
        if run.progress_began is not None:
            percent, clock_ms = run.progress_began
            latest_percent, latest_clock_ms = run.progress_latest
            gained_ms = estimated_ms * (latest_percent - percent) / 100
            took_ms = latest_clock_ms - clock_ms
            if latest_percent - percent >= MIN_PROGRESS and took_ms > 0:
                ratios[Evidence.PROGRESS] = bounded_log(took_ms / gained_ms)
        return ratios


def is_comparable(run: Run) -> bool:
    """Return whether the time that an attempt takes shows the speed of its executor.

    Members of a gang wait for each other, and filling tasks take what others leave.
    """
    spec = run.step.spec
    return (
        spec.estimated_ms > 0
        and not spec.long_running
        and not spec.fills
        and not (spec.gang and spec.task_count > 1)
    )


def find_neighbours(
    executor: ExecutorState, run: Run, since: float, until: float
) -> dict[WorkKind, Neighbour]:
    """Return the kinds of work that ran beside an attempt in a period.

    A task that is paced down counts for the share that it may work.
    """
    neighbours: dict[WorkKind, Neighbour] = {}
    period_s = until - since
    if period_s <= 0:
        return neighbours
    rows = [(other, until) for other in executor.runs.values() if other is not run]
    rows += [row for row in executor.recent_runs if row[1] > since]
    for other, ended_at in rows:
        beside_s = min(ended_at, until) - max(other.started_at, since)
        if beside_s <= 0:
            continue
        neighbour = neighbours.setdefault(other.step.kind, Neighbour())
        share = beside_s / period_s * other.pace / 100
        neighbour.share = min(1.0, neighbour.share + share)
        neighbour.cpu_millis += share * accounted_cpu_millis(other.step.spec)
    return neighbours


def neighbour_load(
    executor: ExecutorState, neighbours: dict[WorkKind, Neighbour]
) -> float:
    """Return the share of an executor's CPU that neighbours used."""
    cpu_millis = sum(neighbour.cpu_millis for neighbour in neighbours.values())
    return cpu_millis / executor.entry.cpu_millis if executor.entry.cpu_millis else 0.0


def review_knowledge(state: CellState, now: float) -> None:
    """Judge the pairs of kinds of work, and log what was found or forgotten."""
    interference = state.knowledge.interference
    if not interference.is_review_due(now):
        return
    center_profiles(executor.profile for executor in state.fleet.values())
    for change in interference.review(now):
        fields = {
            "slowed": change.kind,
            "neighbour": change.neighbour,
            "factor": round(change.factor, 2),
            "samples": round(change.samples, 1),
            "errors": round(change.errors, 1),
        }
        if change.is_found:
            state.metrics.count("cell.interference.found")
            log.info("work slows other work down", **fields)
        else:
            state.metrics.count("cell.interference.forgotten")
            log.info("work no longer slows other work down", **fields)


def measure_knowledge(state: CellState) -> dict[str, float]:
    """Return the gauges of the learned speeds and pairs."""
    speeds = sorted(
        math.exp(-executor.profile.log_slowness) for executor in state.fleet.values()
    )
    return {
        "cell.interference.pairs": state.knowledge.interference.count_pairs(),
        "cell.speed.min": round(speeds[0], 2) if speeds else 1.0,
        "cell.speed.median": round(speeds[len(speeds) // 2], 2) if speeds else 1.0,
    }
