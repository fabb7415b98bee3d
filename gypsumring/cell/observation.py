"""Learn the speeds of executors from the attempts that they run."""

import anyio

from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.runtimes import Evidence, bounded_log
from gypsumring.pipelines import Run

__all__ = ["RunObserver"]

# Progress that a sample of it needs, in percent of the estimated work, and the progress
# that executors report at most.
MIN_PROGRESS = 20
FULL_PERCENT = 99


class RunObserver:
    """Learner from the reports about attempts, which never changes an attempt."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    def record_progress(self, run: Run, percent: float, clock_ms: int) -> None:
        """Record the progress that an executor reports, by the executor's clock."""
        if percent >= FULL_PERCENT:
            return
        if run.progress_began is None or percent < run.progress_began[0]:
            run.progress_began = (percent, clock_ms)
        run.progress_latest = (percent, clock_ms)

    def record_done(self, executor: ExecutorState, run: Run) -> None:
        """Learn from an attempt that is done."""
        if not is_comparable(run):
            return
        for evidence, log_ratio in self.measure(run):
            self.state.knowledge.learn(
                executor.profile, run.step.kind, evidence, log_ratio
            )

    def measure(self, run: Run) -> list[tuple[Evidence, float]]:
        """Return the log ratios of times to estimates that an attempt shows."""
        estimated_ms = run.step.spec.estimated_ms
        ratios = []
        if run.has_full_time:
            ran_ms = (anyio.current_time() - run.started_at) * 1000
            ratios.append((Evidence.END, bounded_log(ran_ms / estimated_ms)))
        if run.progress_began is not None:
            percent, clock_ms = run.progress_began
            latest_percent, latest_clock_ms = run.progress_latest
            gained_ms = estimated_ms * (latest_percent - percent) / 100
            took_ms = latest_clock_ms - clock_ms
            if latest_percent - percent >= MIN_PROGRESS and took_ms > 0:
                ratios.append((Evidence.PROGRESS, bounded_log(took_ms / gained_ms)))
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
