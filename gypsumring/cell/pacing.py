"""Throttling of filling tasks that delay serving tasks on the same executor."""

import anyio

from gypsumring.cell.exceptions import OwnershipLost
from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Run, RunState
from gypsumring.ports.tasks import (
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    StartRefused,
)
from gypsumring.transport import Purpose, sending_for
from gypsumring.utils.logs import EventLogger

__all__ = ["Pacer", "next_pace"]

log = EventLogger("pacing")

ADJUSTMENT_PERIOD_S = 0.4
CALL_TIMEOUT_S = 0.4
FULL_PACE = 100
# Filling tasks are slowed down while the load exceeds HIGH_LOAD, and sped up in steps
# while it is below LOW_LOAD; both are shares of the latency target.
HIGH_LOAD = 0.85
LOW_LOAD = 0.6
SLOWDOWN_FACTOR = 0.5
SPEEDUP_STEP = 10
# A lower pace, in percent, is rounded down to 0.
MIN_PACE = 5


def next_pace(pace: int, max_load: float) -> int:
    """Return the next pace of the filling tasks of an executor, in percent.

    ``max_load`` is the highest ratio of tail latency to target among its serving tasks.
    The pace is halved under high load and raised in small steps, so that it follows a
    load that changes within seconds.
    """
    if max_load > HIGH_LOAD:
        slower = int(pace * SLOWDOWN_FACTOR)
        return slower if slower >= MIN_PACE else 0
    if max_load < LOW_LOAD:
        return min(FULL_PACE, pace + SPEEDUP_STEP)
    return pace


def max_load(runs: list[Run]) -> float:
    """Return the highest ratio of tail latency to target among serving tasks."""
    loads = [
        run.load / run.step.spec.latency_target_ms
        for run in runs
        if run.step.spec.latency_target_ms and run.state is RunState.RUNNING
    ]
    return max(loads, default=0.0)


class Pacer:
    """Controller that adjusts the pace of all filling tasks periodically."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    async def run(self) -> None:
        """Adjust the pace of filling tasks until cancelled."""
        while True:
            await anyio.sleep(ADJUSTMENT_PERIOD_S)
            for executor in list(self.state.fleet.values()):
                await self.adjust(executor)

    async def adjust(self, executor: ExecutorState) -> None:
        """Send a new pace to the filling tasks of an executor for which it changed."""
        runs = list(executor.runs.values())
        filling_runs = [
            run for run in runs if run.step.spec.fills and run.state is RunState.RUNNING
        ]
        if not filling_runs or executor.is_unresponsive:
            return
        load = max_load(runs)
        for run in filling_runs:
            pace = next_pace(run.pace, load)
            if pace != run.pace:
                await self.send_pace(executor, run, pace, load)

    async def send_pace(
        self, executor: ExecutorState, run: Run, pace: int, load: float
    ) -> None:
        """Send the pace of one task; the next adjustment repeats a failed call."""
        client = self.state.clients[executor.executor_id]
        deadline = anyio.current_time() + CALL_TIMEOUT_S
        bound = executor.bound_clock(self.state.clock())
        try:
            with sending_for(Purpose.STOPS):
                clock_ms = await client.pace(
                    run.task, run.attempt, pace, self.state.fence, deadline
                )
        except FenceRefused as error:
            raise OwnershipLost(
                f"executor {executor.executor_id} has accepted a higher fence number"
            ) from error
        except (ExecutorSilent, ExecutorGone, StartRefused):
            self.state.metrics.count("cell.paces.unanswered")
            return
        self.state.check_incarnation(executor, bound, clock_ms)
        log.info("pace changed", **run.log_fields(), pace=pace, load=round(load, 2))
        self.state.metrics.count("cell.paces")
        run.pace = pace
