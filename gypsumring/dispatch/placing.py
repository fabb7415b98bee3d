"""Choose executors for the tasks of a step."""

from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.state import Step

__all__ = ["Placement", "eligible_executors", "place_step"]


class Placement:
    """Assign one task to an executor."""

    __slots__ = ("executor", "index")

    def __init__(self, index: int, executor: ExecutorState):
        self.index = index
        self.executor = executor


def eligible_executors(
    step: Step, service: str, fleet: list[ExecutorState], now: float
) -> list[ExecutorState]:
    """Return the executors on which the step may start, apart from policy and room."""
    label = step.spec.required_label
    return [
        executor
        for executor in fleet
        if executor.takes_work(service, now)
        and (not label or label in executor.entry.labels)
    ]


def room_for(step: Step, executor: ExecutorState) -> int:
    """Return how many more tasks of the step the executor may take."""
    room = executor.fit_count(step.spec)
    limit = step.spec.max_per_executor
    if limit:
        here = sum(1 for run in executor.runs.values() if run.step is step)
        room = min(room, limit - here)
    return max(0, room)


def sort_key(step: Step, executor: ExecutorState) -> tuple:
    """Return the preference of an executor for a step; the smallest goes first."""
    near = step.spec.data_rack
    free = executor.entry.cpu_millis - executor.used_cpu
    return (
        executor.health.is_suspect(),
        bool(near) and near not in executor.entry.labels,
        round(executor.health.slowdown * 4),
        free,
        executor.executor_id,
    )


def place_step(step: Step, candidates: list[ExecutorState]) -> list[Placement]:
    """Return places for the pending tasks of a step; a gang gets all or none."""
    ordered = sorted(candidates, key=lambda executor: sort_key(step, executor))
    room = {executor.executor_id: room_for(step, executor) for executor in ordered}
    if step.spec.gang and sum(room.values()) < len(step.pending):
        return []
    placements = []
    known = set(room)
    for index in sorted(step.pending):
        avoided = step.avoided.get(index, set())
        if known <= avoided:
            avoided = set()
        for executor in ordered:
            if room[executor.executor_id] > 0 and executor.executor_id not in avoided:
                room[executor.executor_id] -= 1
                placements.append(Placement(index, executor))
                break
        else:
            if step.spec.gang:
                return []
    return placements
