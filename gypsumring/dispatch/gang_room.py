"""Choose the executors that are kept for a gang.

A gang needs room and permission on many executors at the same time. It keeps the free
room that it fits into, or all executors on which its places are expected to open first;
room for a part of a gang is of no use to it.
"""

from gypsumring.dispatch.openings import expect_openings
from gypsumring.dispatch.placing import place_step, places_on
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.state import Step

__all__ = ["choose_free_room", "choose_openings"]

# A gang changes the executors that are kept for it if it gains this share of the time
# that it would still wait, and at least this many seconds.
LEAST_GAIN = 0.5
LEAST_GAIN_S = 0.5

Openings = list[tuple[list[float], ExecutorState]]


def choose_free_room(
    step: Step, candidates: list[ExecutorState], spread_factor: float, now: float
) -> list[ExecutorState]:
    """Return executors whose free room holds a gang, or none.

    Those that the step has already come first.
    """
    if not may_fit(step, candidates):
        return []
    shunned = set()
    if step.reserved:
        shunned = {each.executor_id for each in candidates} - step.reserved
    placements = place_step(step, candidates, spread_factor, now, shunned)
    chosen = {each.executor.executor_id: each.executor for each in placements}
    return list(chosen.values())


def may_fit(step: Step, candidates: list[ExecutorState]) -> bool:
    """Tell whether the free processors could hold a gang; a cheap test."""
    cpu = step.spec.cpu_millis
    if not cpu or step.spec.fills:
        return True
    needed = len(step.pending)
    places = 0
    for executor in candidates:
        places += (executor.entry.cpu_millis - executor.used_cpu) // cpu
        if places >= needed:
            return True
    return False


def choose_openings(
    step: Step, candidates: list[ExecutorState], now: float
) -> list[ExecutorState]:
    """Return the executors on which a gang is expected to find its room first.

    Those that it has stay, unless others are expected much sooner: estimates are rough,
    and room that was gathered is lost by a change.
    """
    candidates = drop_avoided(step, candidates)
    if not holds(step, candidates):
        # No wait makes room for it; others must not wait for it either.
        return []
    openings = [
        (expect_openings(step, executor, now), executor) for executor in candidates
    ]
    if step.spec.same_rack:
        openings = keep_first_rack(step, openings)
    enough_at = find_enough_at(step, openings)
    if enough_at is None:
        return []
    own = [row for row in openings if row[1].executor_id in step.reserved]
    own_at = find_enough_at(step, own)
    if own_at is not None:
        sooner_s = own_at - enough_at
        if sooner_s <= max(LEAST_GAIN_S, LEAST_GAIN * (own_at - now)):
            openings, enough_at = own, own_at
    return choose_enough(step, openings, enough_at)


def drop_avoided(step: Step, candidates: list[ExecutorState]) -> list[ExecutorState]:
    """Leave out executors on which a member failed, if the others can hold the gang."""
    avoided = {
        executor_id for index in step.pending for executor_id in avoids(step, index)
    }
    others = [each for each in candidates if each.executor_id not in avoided]
    return others if holds(step, others) else candidates


def avoids(step: Step, index: int) -> set[str]:
    """Return the executors on which a task has failed or stood still."""
    return step.avoided.get(index, set())


def holds(step: Step, executors: list[ExecutorState]) -> bool:
    """Tell whether executors can hold a gang when they are empty."""
    return sum(places_on(step, each) for each in executors) >= len(step.pending)


def keep_first_rack(step: Step, openings: Openings) -> Openings:
    """Return the openings of the rack that holds a gang first, or all if none does."""
    racks: dict[str, Openings] = {}
    for row in openings:
        racks.setdefault(row[1].rack, []).append(row)
    times = {rack: find_enough_at(step, rows) for rack, rows in racks.items()}
    able = [(at, rack) for rack, at in times.items() if at is not None]
    return racks[min(able)[1]] if able else openings


def find_enough_at(step: Step, openings: Openings) -> float | None:
    """Return when all members of a gang have a place, or None if they never have."""
    times = sorted(time for each, _ in openings for time in each)
    needed = len(step.pending)
    return times[needed - 1] if len(times) >= needed else None


def choose_enough(
    step: Step, openings: Openings, enough_at: float
) -> list[ExecutorState]:
    """Return executors that give a place to all members by a time."""
    rows = [
        (sum(time <= enough_at for time in each), executor)
        for each, executor in openings
    ]
    rows.sort(
        key=lambda row: (
            row[1].executor_id not in step.reserved,
            -row[0],
            row[1].executor_id,
        )
    )
    chosen = []
    places = 0
    for room, executor in rows:
        if places >= len(step.pending):
            break
        if room:
            places += room
            chosen.append(executor)
    return chosen
