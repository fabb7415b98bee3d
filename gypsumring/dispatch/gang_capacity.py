"""Choose the executors that are reserved for a gang.

A gang needs capacity and tickets on many executors at the same time. It reserves free
capacity that holds the whole gang, or else all executors on which sufficient capacity
is expected to be released first. Capacity for part of a gang is of no use to it.
"""

from collections.abc import Collection

from gypsumring.dispatch.openings import forecast_capacity
from gypsumring.dispatch.placing import count_fitting_eventually, place_step
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.runs import Run
from gypsumring.pipelines.state import Step

__all__ = ["choose_free_capacity", "choose_earliest_capacity"]

# A gang changes its reserved executors only if this reduces its remaining wait by more
# than this share, and by more than this many seconds.
MIN_GAIN_SHARE = 0.5
MIN_GAIN_S = 0.5

Forecasts = list[tuple[list[float], ExecutorState]]


def choose_free_capacity(
    step: Step, candidates: list[ExecutorState], spread_factor: float, now: float
) -> list[ExecutorState]:
    """Return executors whose free capacity holds a gang, or an empty list.

    Executors that the step has already reserved are preferred.
    """
    if not may_fit(step, candidates):
        return []
    deprioritized = set()
    if step.reserved:
        deprioritized = {
            executor.executor_id for executor in candidates
        } - step.reserved
    placements = place_step(step, candidates, spread_factor, now, deprioritized)
    chosen = {
        placement.executor.executor_id: placement.executor for placement in placements
    }
    return list(chosen.values())


def may_fit(step: Step, candidates: list[ExecutorState]) -> bool:
    """Return whether the free CPU could hold a gang, as a cheap first test."""
    cpu = step.spec.cpu_millis
    if not cpu or step.spec.fills:
        return True
    needed = len(step.pending)
    task_capacity = 0
    for executor in candidates:
        task_capacity += max(0, executor.free_cpu_millis()) // cpu
        if task_capacity >= needed:
            return True
    return False


def choose_earliest_capacity(
    step: Step,
    candidates: list[ExecutorState],
    now: float,
    yielding: Collection[Run] = (),
) -> list[ExecutorState]:
    """Return the executors on which a gang is expected to fit first.

    The ``yielding`` attempts can be stopped for it as soon as all its members fit.

    The reserved executors are retained unless the gang is expected to fit on others
    much earlier: estimates are rough, and a change loses the accumulated capacity.
    """
    candidates = drop_avoided(step, candidates)
    if not can_hold(step, candidates):
        # The gang can never fit, so other steps must not wait for it either.
        return []
    forecasts = [
        (forecast_capacity(step, executor, now, yielding), executor)
        for executor in candidates
    ]
    reserved = [row for row in forecasts if row[1].executor_id in step.reserved]
    if step.spec.same_rack:
        forecasts = select_earliest_rack(step, forecasts)
    fits_at = find_fit_time(step, forecasts)
    if fits_at is None:
        return []
    reserved_fits_at = find_fit_time(step, reserved)
    if reserved_fits_at is not None:
        sooner_s = reserved_fits_at - fits_at
        if sooner_s <= max(MIN_GAIN_S, MIN_GAIN_SHARE * (reserved_fits_at - now)):
            forecasts, fits_at = reserved, reserved_fits_at
    return choose_sufficient(step, forecasts, fits_at)


def drop_avoided(step: Step, candidates: list[ExecutorState]) -> list[ExecutorState]:
    """Exclude executors that a member avoids, if the others can hold the gang."""
    avoided = {
        executor_id
        for index in step.pending
        for executor_id in get_avoided(step, index)
    }
    others = [
        executor for executor in candidates if executor.executor_id not in avoided
    ]
    return others if can_hold(step, others) else candidates


def get_avoided(step: Step, index: int) -> set[str]:
    """Return the executors on which a task has failed or made no progress."""
    return step.avoided.get(index, set())


def can_hold(step: Step, executors: list[ExecutorState]) -> bool:
    """Return whether the executors can hold a gang once all tasks that end have."""
    return sum(
        count_fitting_eventually(step, executor) for executor in executors
    ) >= len(step.pending)


def select_earliest_rack(step: Step, forecasts: Forecasts) -> Forecasts:
    """Return the forecasts of the rack that fits a gang first, or all if none does."""
    racks: dict[str, Forecasts] = {}
    for row in forecasts:
        racks.setdefault(row[1].rack, []).append(row)
    times = {rack: find_fit_time(step, rows) for rack, rows in racks.items()}
    feasible = [
        (fits_at, rack) for rack, fits_at in times.items() if fits_at is not None
    ]
    return racks[min(feasible)[1]] if feasible else forecasts


def find_fit_time(step: Step, forecasts: Forecasts) -> float | None:
    """Return when all members of a gang are expected to fit, or None if never."""
    fit_times = sorted(time for times, _ in forecasts for time in times)
    needed = len(step.pending)
    return fit_times[needed - 1] if len(fit_times) >= needed else None


def choose_sufficient(
    step: Step, forecasts: Forecasts, fits_at: float
) -> list[ExecutorState]:
    """Return executors that are expected to hold all members by a time."""
    rows = [
        (sum(time <= fits_at for time in times), executor)
        for times, executor in forecasts
    ]
    rows.sort(
        key=lambda row: (
            row[1].executor_id not in step.reserved,
            -row[0],
            row[1].executor_id,
        )
    )
    chosen = []
    task_capacity = 0
    for capacity, executor in rows:
        if task_capacity >= len(step.pending):
            break
        if capacity:
            task_capacity += capacity
            chosen.append(executor)
    return chosen
