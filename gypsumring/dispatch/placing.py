"""Place the tasks of a step on executors."""

import bisect
from collections.abc import Callable, Collection, Iterable

from gypsumring.dispatch.isolation import Isolation
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis, count_fitting
from gypsumring.pipelines.state import RunState, Step

__all__ = [
    "Placement",
    "count_fitting_eventually",
    "count_fitting_when_empty",
    "has_capacity",
    "has_label",
    "place_step",
]


class Placement:
    """Assignment of one task to an executor."""

    __slots__ = ("executor", "index")

    def __init__(self, index: int, executor: ExecutorState):
        self.index = index
        self.executor = executor


def has_label(step: Step, executor: ExecutorState) -> bool:
    """Return whether an executor has the label that a step requires, if any."""
    label = step.spec.required_label
    return not label or label in executor.entry.labels


def has_capacity(step: Step, executors: Iterable[ExecutorState]) -> bool:
    """Return whether a task of a step fits on one of its allowed executors."""
    return any(
        executor.executor_id in step.allowed and executor.count_fitting_tasks(step.spec)
        for executor in executors
    )


def count_fitting_on(step: Step, executor: ExecutorState) -> int:
    """Return how many more tasks of a step an executor may run."""
    capacity = executor.count_fitting_tasks(step.spec)
    limit = step.spec.max_per_executor
    if limit:
        running_here = sum(1 for run in executor.runs.values() if run.step is step)
        capacity = min(capacity, limit - running_here)
    return max(0, capacity)


def count_fitting_when_empty(step: Step, executor: ExecutorState) -> int:
    """Return how many tasks of a step an executor holds when it is empty."""
    spec = step.spec
    entry = executor.entry
    task_capacity = count_fitting(
        spec, entry.cpu_millis, entry.memory_mb, entry.accelerators
    )
    if spec.max_per_executor:
        task_capacity = min(task_capacity, spec.max_per_executor)
    return task_capacity


def count_fitting_eventually(step: Step, executor: ExecutorState) -> int:
    """Return how many tasks of a step fit once all tasks that end have ended.

    Tasks that last keep their capacity.
    """
    spec = step.spec
    cpu, memory, accelerators = executor.entry.capacity
    running_here = 0
    for run in executor.lasting_runs.values():
        if run.state is not RunState.STOPPING:
            cpu -= accounted_cpu_millis(run.step.spec)
            memory -= run.step.spec.memory_mb
            accelerators -= run.step.spec.accelerators
            running_here += run.step is step
    task_capacity = count_fitting(spec, cpu, memory, accelerators)
    if spec.max_per_executor:
        task_capacity = min(task_capacity, spec.max_per_executor - running_here)
    return max(0, task_capacity)


def sort_key(
    step: Step,
    executor: ExecutorState,
    deprioritized: Collection[str],
    occupied: Collection[str] = (),
    has_same_kind: bool = False,
) -> tuple:
    """Return the sort key of an executor for a step, most preferred first.

    Executors on which work of the step and its neighbours are known to slow each other
    down follow those of the same class of speed without such neighbours, or of a slower
    class if the effect exceeds the difference. ``has_same_kind`` tells that a task of
    the step's kind is about to start on the executor.
    """
    data_rack = step.spec.data_rack
    effect = find_conflict(step, executor, has_same_kind)
    profile = executor.profile
    return (
        executor.executor_id in deprioritized,
        executor.executor_id in occupied,
        executor.health.is_suspect(),
        bool(data_rack) and data_rack not in executor.entry.labels,
        profile.class_with(effect) if effect else profile.speed_class,
        bool(effect),
        executor.free_cpu_millis(),
        executor.executor_id,
    )


def find_conflict(
    step: Step, executor: ExecutorState, has_same_kind: bool = False
) -> float:
    """Return the log factors by which a step and its neighbours slow each other down.

    Several neighbours of one kind count once.
    """
    conflicts = executor.knowledge.interference.conflicts.get(step.kind)
    if not conflicts:
        return 0.0
    kinds = {run.step.kind for run in executor.runs.values()}
    if has_same_kind:
        kinds.add(step.kind)
    return sum(conflicts[kind] for kind in kinds if kind in conflicts)


def slows_itself(step: Step, candidates: list[ExecutorState]) -> bool:
    """Return whether tasks of a step's kind slow each other down."""
    if not candidates:
        return False
    conflicts = candidates[0].knowledge.interference.conflicts.get(step.kind)
    return bool(conflicts) and step.kind in conflicts


def place_step(
    step: Step,
    candidates: list[ExecutorState],
    spread_factor: float,
    now: float,
    deprioritized: Collection[str] = (),
    isolation: Isolation | None = None,
) -> list[Placement]:
    """Return placements for the pending tasks of a step; a gang is placed completely.

    Executors in ``deprioritized`` are used last. Without ``isolation``, suspects of
    crashes are placed as other tasks are. Tasks that run away from their data,
    or are spread over racks although they prefer one, take ``spread_factor`` times as
    long. A step therefore waits for a better placement for the extra time of the worse
    one.
    """
    spec = step.spec
    may_wait = waits_for_locality(step, spread_factor, now)
    if spec.data_rack:
        near_data = [
            executor for executor in candidates if executor.rack == spec.data_rack
        ]
        placements = pack_tasks(step, near_data, deprioritized, isolation)
        if placements or (may_wait and near_data):
            return placements
    if spec.same_rack:
        placements = pack_one_rack(step, candidates, deprioritized, isolation)
        if placements or may_wait:
            return placements
    return pack_tasks(step, candidates, deprioritized, isolation)


def waits_for_locality(step: Step, spread_factor: float, now: float) -> bool:
    """Return whether a step still waits for capacity near its data or on one rack."""
    if step.waiting_since is None:
        step.waiting_since = now
    extra_s = (spread_factor - 1) * step.spec.estimated_ms / 1000
    return now - step.waiting_since < extra_s


def pack_one_rack(
    step: Step,
    candidates: list[ExecutorState],
    deprioritized: Collection[str],
    isolation: Isolation | None = None,
) -> list[Placement]:
    """Return placements on the rack that holds the most tasks.

    A step with active runs is placed only on their racks.
    """
    racks: dict[str, list[ExecutorState]] = {}
    for executor in candidates:
        racks.setdefault(executor.rack, []).append(executor)
    used = {run.rack for run in step.active_runs()}
    if used:
        racks = {rack: racks[rack] for rack in used if rack in racks}
    options = [
        pack_tasks(step, executors, deprioritized, isolation)
        for _, executors in sorted(racks.items())
    ]
    return max(options, key=len, default=[])


def pack_tasks(
    step: Step,
    candidates: list[ExecutorState],
    deprioritized: Collection[str],
    isolation: Isolation | None = None,
) -> list[Placement]:
    """Return placements on the candidates in order of preference.

    A task avoids executors on which it failed, unless the other executors could not
    hold the step even if they were empty.
    """
    capacity = {
        executor.executor_id: count_fitting_on(step, executor)
        for executor in candidates
    }
    task_capacity = sum(capacity.values())
    if not task_capacity or (step.spec.gang and task_capacity < len(step.pending)):
        return []
    with_capacity = [
        executor for executor in candidates if capacity[executor.executor_id]
    ]
    occupied = isolation.occupied if isolation is not None else ()
    receivers: set[str] = set()

    def rank(executor: ExecutorState) -> tuple:
        has_same_kind = executor.executor_id in receivers
        return sort_key(step, executor, deprioritized, occupied, has_same_kind)

    def move_back(executors: list[ExecutorState], executor: ExecutorState) -> None:
        receivers.add(executor.executor_id)
        executors.remove(executor)
        bisect.insort(executors, executor, key=rank)

    on_assigned = move_back if slows_itself(step, candidates) else None
    ordered = sorted(with_capacity, key=rank)
    placements = assign(
        step, ordered, dict(capacity), step.avoided, isolation, on_assigned
    )
    if len(placements) == len(step.pending) or not step.avoided:
        return placements
    receivers.clear()
    ordered = sorted(candidates, key=rank)
    empty_capacity = {
        executor.executor_id: count_fitting_when_empty(step, executor)
        for executor in ordered
    }
    if len(assign(step, ordered, empty_capacity, step.avoided)) == len(step.pending):
        return placements
    return assign(step, ordered, capacity, {}, isolation, on_assigned)


def assign(
    step: Step,
    ordered: list[ExecutorState],
    capacity: dict[str, int],
    avoided_by: dict[int, set[str]],
    isolation: Isolation | None = None,
    on_assigned: Callable[[list[ExecutorState], ExecutorState], None] | None = None,
) -> list[Placement]:
    """Assign each pending task to the first executor with capacity.

    A gang is placed completely or not at all. ``capacity`` is updated. ``on_assigned``
    may reorder the executors after one has received a task.
    """
    placements = []
    no_executors: set[str] = set()
    ordered = list(ordered)
    for index in list_placeable(step):
        while ordered and capacity[ordered[0].executor_id] <= 0:
            del ordered[0]
        avoided = avoided_by.get(index, no_executors)
        suspect = step.suspects.get(index) if isolation is not None else None
        if suspect is None:
            executor = find_first(ordered, capacity, avoided)
        else:
            possible = [
                executor
                for executor in ordered
                if capacity[executor.executor_id] > 0
                and executor.executor_id not in avoided
            ]
            assigned = {placement.executor.executor_id for placement in placements}
            executor = isolation.choose(step, suspect, possible, assigned)
        if executor is not None:
            capacity[executor.executor_id] -= 1
            if suspect and suspect.must_run_alone and not step.spec.gang:
                capacity[executor.executor_id] = 0
            placements.append(Placement(index, executor))
            if on_assigned is not None:
                on_assigned(ordered, executor)
        elif step.spec.gang:
            return []
    return placements


def list_placeable(step: Step) -> list[int]:
    """Return the pending tasks that may be started, suspects of crashes first.

    Tasks that were stopped for other steps come next.
    """
    if not step.suspects and not step.interrupted:
        return sorted(step.pending)
    exhausted = {
        index for index, suspect in step.suspects.items() if suspect.is_exhausted
    }
    if step.spec.gang and exhausted:
        return []
    return sorted(
        step.pending - exhausted,
        key=lambda index: (
            index not in step.suspects,
            index not in step.interrupted,
            index,
        ),
    )


def find_first(
    ordered: list[ExecutorState], capacity: dict[str, int], avoided: set[str]
) -> ExecutorState | None:
    """Return the first executor with capacity that is not avoided."""
    for executor in ordered:
        executor_id = executor.executor_id
        if capacity[executor_id] > 0 and executor_id not in avoided:
            return executor
    return None
