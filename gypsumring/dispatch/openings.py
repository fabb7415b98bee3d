"""Forecast when capacity for a step is available on an executor."""

from collections.abc import Collection

from gypsumring.dispatch.placing import count_fitting_on, count_fitting_when_empty
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis, count_fitting
from gypsumring.pipelines.runs import Run
from gypsumring.pipelines.state import Step

__all__ = ["estimate_end", "forecast_capacity"]

# Remaining run time of an attempt that has exceeded its estimate, as a share of its run
# time so far.
OVERRUN_SHARE = 0.25
# Time from a stop of an attempt until its capacity is released.
RELEASE_S = 0.3


def estimate_end(run: Run, expected_s: float, now: float) -> float:
    """Return the expected end of an attempt with an expected run time."""
    ran_s = now - run.started_at
    return now + max(expected_s - ran_s, OVERRUN_SHARE * ran_s)


def forecast_capacity(
    step: Step,
    executor: ExecutorState,
    now: float,
    yielding: Collection[Run] = (),
) -> list[float]:
    """Return when capacity for each further task is available, in ascending order.

    Free capacity is available now. The forecast assumes that no other task starts in
    the meantime, that long-running tasks do not end, and that the ``yielding`` attempts
    are stopped.
    """
    spec = step.spec
    task_capacity = count_fitting_on(step, executor)
    times = [now] * task_capacity
    max_capacity = count_fitting_when_empty(step, executor)
    if task_capacity >= max_capacity:
        return times
    cpu = executor.free_cpu_millis()
    memory = executor.entry.memory_mb - executor.used_memory
    accelerators = executor.entry.accelerators - executor.used_accelerators
    ends = sorted(
        (
            (
                now + RELEASE_S
                if run in yielding
                else estimate_end(run, executor.expected_run_s(run.step), now),
                run,
            )
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
