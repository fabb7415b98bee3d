"""Pace filling tasks so that serving tasks beside them stay under their target."""

import anyio

from gypsumring.cell.exceptions import Deposed
from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Run, RunState
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    StartRefused,
)
from gypsumring.utils.logs import EventLogger

__all__ = ["Pacer", "next_pace"]

log = EventLogger("pacing")

ADJUSTMENT_PERIOD_S = 0.4
CALL_TIMEOUT_S = 0.4
FULL_PACE = 100
# Above this share of the target the filling tasks are slowed down, below the lower one
# they are let go on step by step.
HIGH_LOAD = 0.85
LOW_LOAD = 0.6
SLOWDOWN_FACTOR = 0.5
SPEEDUP_STEP = 10
# A pace below this share is no work at all.
MIN_PACE = 5


def next_pace(pace: int, max_load: float) -> int:
    """Return the next pace of the filling tasks of an executor, in percent.

    ``worst_load`` is the highest tail latency of its serving tasks against their
    target. The pace falls by half and rises in small steps, so that a disturbance that
    changes within seconds is met at once.
    """
    if max_load > HIGH_LOAD:
        slower = int(pace * SLOWDOWN_FACTOR)
        return slower if slower >= MIN_PACE else 0
    if max_load < LOW_LOAD:
        return min(FULL_PACE, pace + SPEEDUP_STEP)
    return pace


def max_load(runs: list[Run]) -> float:
    """Return the highest load of serving tasks against their target."""
    loads = [
        run.load / run.step.spec.latency_target_ms
        for run in runs
        if run.step.spec.latency_target_ms and run.state is RunState.RUNNING
    ]
    return max(loads, default=0.0)


class Pacer:
    """Adjust the pace of all filling tasks now and then."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    async def run(self) -> None:
        """Adjust until cancelled."""
        while True:
            await anyio.sleep(ADJUSTMENT_PERIOD_S)
            for executor in list(self.state.fleet.values()):
                await self.adjust(executor)

    async def adjust(self, executor: ExecutorState) -> None:
        """Send a new pace to the filling tasks of an executor, if it changes."""
        runs = list(executor.runs.values())
        filling_runs = [
            run for run in runs if run.step.spec.fills and run.state is RunState.RUNNING
        ]
        if not filling_runs or executor.is_silent:
            return
        load = max_load(runs)
        for run in filling_runs:
            pace = next_pace(run.pace, load)
            if pace != run.pace:
                await self.send_pace(executor, run, pace, load)

    async def send_pace(
        self, executor: ExecutorState, run: Run, pace: int, load: float
    ) -> None:
        """Send the pace of one task; it is sent again next time if that fails."""
        client = self.state.clients[executor.executor_id]
        deadline = anyio.current_time() + CALL_TIMEOUT_S
        try:
            await client.pace(run.task, run.attempt, pace, self.state.fence, deadline)
        except FenceRefused as error:
            raise Deposed(f"executor {executor.executor_id} has a new owner") from error
        except (ExecutorSilent, ExecutorGone, StartRefused):
            self.state.metrics.count("cell.paces.unanswered")
            return
        log.info("pace changed", **run.log_fields(), pace=pace, load=round(load, 2))
        self.state.metrics.count("cell.paces")
        run.pace = pace
