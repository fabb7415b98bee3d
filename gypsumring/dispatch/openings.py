"""Expect when room for a step opens on an executor."""

from gypsumring.dispatch.placing import places_on, room_for
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis, count_fitting
from gypsumring.pipelines.state import Run, Step

__all__ = ["estimate_end", "forecast_capacity"]

# An attempt that has run for longer than expected is expected to go on for this share
# of the time that it has run.
OVERRUN_SHARE = 0.25


def estimate_end(run: Run, slowdown: float, now: float) -> float:
    """Return when an attempt is expected to end, by its estimate.

    ``slowdown`` is the time that its executor takes against estimates.
    """
    ran_s = now - run.started_at
    expected_s = slowdown * run.step.spec.estimated_ms / 1000
    return now + max(expected_s - ran_s, OVERRUN_SHARE * ran_s)


def forecast_capacity(step: Step, executor: ExecutorState, now: float) -> list[float]:
    """Return when each place for a task of a step opens, the first one first.

    Places that are free open now. Nothing else is expected to start meanwhile, and
    tasks that last are not expected to end.
    """
    spec = step.spec
    task_capacity = room_for(step, executor)
    times = [now] * task_capacity
    max_capacity = places_on(step, executor)
    if task_capacity >= max_capacity:
        return times
    cpu = executor.free_cpu()
    memory = executor.entry.memory_mb - executor.used_memory
    accelerators = executor.entry.accelerators - executor.used_accelerators
    slowdown = executor.health.slowdown
    ends = sorted(
        (
            (estimate_end(run, slowdown, now), run)
            for run in executor.runs.values()
            if not run.step.spec.long_running
        ),
        key=lambda row: row[0],
    )
    for ends_at, run in ends:
        cpu += accounted_cpu_millis(run.step.spec)
        memory += run.step.spec.memory_mb
        accelerators += run.step.spec.accelerators
        capacity = min(max_capacity, count_fitting(spec, cpu, memory, accelerators))
        times += [ends_at] * (capacity - task_capacity)
        task_capacity = max(task_capacity, capacity)
    return times
