"""Place the tasks of a step on executors."""

import bisect
from collections.abc import Callable, Collection, Iterable

from gypsumring.dispatch.isolation import Isolation
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis, count_fitting
from gypsumring.pipelines.runs import RunState
from gypsumring.pipelines.state import Step

__all__ = [
    "Packing",
    "Placement",
    "count_fitting_eventually",
    "count_fitting_when_empty",
    "has_capacity",
    "has_label",
    "may_return_to_avoided",
    "pack_tasks",
    "place_step",
    "record_avoiding",
]

# Tasks wait for this time for other executors than those on which they failed, while
# these have room.
MAX_AVOIDING_S = 2.0
# A task does not return to an executor on which it failed sooner than this.
RETURN_DELAY_S = 2.0


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


def count_startable_on(step: Step, executor: ExecutorState) -> int:
    """Return how many tasks of a step may start on an executor now.

    An executor in quarantine gets one task as a probe.
    """
    capacity = count_fitting_on(step, executor)
    return min(capacity, 1) if executor.is_probed() else capacity


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
    may_return = may_return_to_avoided(step, now)
    packing = Packing(step, deprioritized, isolation, may_return, now)
    if spec.data_rack:
        near_data = [
            executor for executor in candidates if executor.rack == spec.data_rack
        ]
        placements = pack_tasks(packing, near_data)
        if placements or (may_wait and near_data):
            return placements
    if spec.same_rack:
        placements = pack_one_rack(packing, candidates)
        if placements or may_wait:
            return placements
    return pack_tasks(packing, candidates)


def may_return_to_avoided(step: Step, now: float) -> bool:
    """Return whether tasks have avoided free executors for long enough."""
    since = step.avoiding_since
    return since is not None and now - since >= MAX_AVOIDING_S


def record_avoiding(step: Step, candidates: list[ExecutorState], now: float) -> None:
    """Record since when tasks wait although executors that they avoid have room."""
    if not has_room_where_avoided(step, candidates):
        step.avoiding_since = None
    elif step.avoiding_since is None:
        step.avoiding_since = now


def has_room_where_avoided(step: Step, candidates: list[ExecutorState]) -> bool:
    """Return whether more tasks could start on executors that they avoid."""
    if not step.avoided:
        return False
    placements = pack_tasks(Packing(step), candidates)
    if len(placements) == len(step.pending):
        return False
    packing = Packing(step, may_return=True)
    return len(pack_tasks(packing, candidates)) > len(placements)


def waits_for_locality(step: Step, spread_factor: float, now: float) -> bool:
    """Return whether a step still waits for capacity near its data or on one rack."""
    if step.waiting_since is None:
        step.waiting_since = now
    extra_s = (spread_factor - 1) * step.spec.estimated_ms / 1000
    return now - step.waiting_since < extra_s


class Packing:
    """Step to place, and what restricts its placement.

    ``may_return`` tells that tasks may use executors that they avoid, once no other one
    has room. Without ``now``, they may do so right after a failure.
    """

    __slots__ = ("deprioritized", "isolation", "may_return", "now", "step")

    def __init__(
        self,
        step: Step,
        deprioritized: Collection[str] = (),
        isolation: Isolation | None = None,
        may_return: bool = False,
        now: float | None = None,
    ):
        self.step = step
        self.deprioritized = deprioritized
        self.isolation = isolation
        self.may_return = may_return
        self.now = now

    def list_resting(self) -> dict[int, set[str]]:
        """Return the avoided executors of tasks that have failed just now."""
        if self.now is None:
            return {}
        return {
            index: self.step.avoided[index]
            for index, failed_at in self.step.failed_at.items()
            if index in self.step.avoided and self.now - failed_at < RETURN_DELAY_S
        }

    def protect_last_attempts(
        self, avoided_by: dict[int, set[str]], candidates: list[ExecutorState]
    ) -> dict[int, set[str]]:
        """Return what tasks avoid, with executors that need a probe for last attempts.

        Such an executor has failed several tasks in a row. A job fails with the last
        attempt of one of its tasks.
        """
        last_attempts = self.step.last_attempts & self.step.pending
        if not last_attempts:
            return avoided_by
        # The newest response is a recent time of the clock of an executor's health.
        unproven = {
            executor.executor_id
            for executor in candidates
            if executor.health.needs_probe(executor.last_response_at)
        }
        if not unproven:
            return avoided_by
        protected = dict(avoided_by)
        for index in last_attempts:
            protected[index] = avoided_by.get(index, set()) | unproven
        return protected


def pack_one_rack(packing: Packing, candidates: list[ExecutorState]) -> list[Placement]:
    """Return placements on the rack that holds the most tasks.

    A step with active runs is placed only on their racks.
    """
    racks: dict[str, list[ExecutorState]] = {}
    for executor in candidates:
        racks.setdefault(executor.rack, []).append(executor)
    used = {run.rack for run in packing.step.active_runs()}
    if used:
        racks = {rack: racks[rack] for rack in used if rack in racks}
    options = [pack_tasks(packing, executors) for _, executors in sorted(racks.items())]
    return max(options, key=len, default=[])


def pack_tasks(packing: Packing, candidates: list[ExecutorState]) -> list[Placement]:
    """Return placements on the candidates in order of preference.

    A task avoids executors on which it failed, unless the others cannot hold the step
    once all tasks that end have ended, or have had no room for a while.
    """
    step, isolation = packing.step, packing.isolation
    capacity = {
        executor.executor_id: count_startable_on(step, executor)
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
        return sort_key(step, executor, packing.deprioritized, occupied, has_same_kind)

    def move_back(executors: list[ExecutorState], executor: ExecutorState) -> None:
        receivers.add(executor.executor_id)
        executors.remove(executor)
        bisect.insort(executors, executor, key=rank)

    on_assigned = move_back if slows_itself(step, candidates) else None
    ordered = sorted(with_capacity, key=rank)
    avoided_by = packing.protect_last_attempts(step.avoided, candidates)
    placements = assign(step, ordered, capacity, avoided_by, isolation, on_assigned)
    if len(placements) == len(step.pending) or not step.avoided:
        return placements
    if not placements:
        receivers.clear()
    ordered = sorted(candidates, key=rank)
    if not packing.may_return and can_avoid_eventually(step, ordered):
        return placements
    resting = packing.protect_last_attempts(packing.list_resting(), candidates)
    return assign(step, ordered, capacity, resting, isolation, on_assigned, placements)


def can_avoid_eventually(step: Step, candidates: list[ExecutorState]) -> bool:
    """Return whether the tasks of a step will fit where they have not failed."""
    capacity = {
        executor.executor_id: count_fitting_eventually(step, executor)
        for executor in candidates
    }
    return len(assign(step, candidates, capacity, step.avoided)) == len(step.pending)


def assign(
    step: Step,
    ordered: list[ExecutorState],
    capacity: dict[str, int],
    avoided_by: dict[int, set[str]],
    isolation: Isolation | None = None,
    on_assigned: Callable[[list[ExecutorState], ExecutorState], None] | None = None,
    earlier: Collection[Placement] = (),
) -> list[Placement]:
    """Assign each pending task to the first executor with capacity.

    A gang is placed completely or not at all. ``capacity`` is updated unless the step
    is a gang. ``on_assigned`` may reorder the executors after one has received a task.
    The tasks of ``earlier`` placements keep these.
    """
    placements = list(earlier)
    placed = {placement.index for placement in earlier}
    free = dict(capacity) if step.spec.gang else capacity
    no_executors: set[str] = set()
    ordered = list(ordered)
    for index in list_placeable(step):
        if index in placed:
            continue
        while ordered and free[ordered[0].executor_id] <= 0:
            del ordered[0]
        avoided = avoided_by.get(index, no_executors)
        suspect = None
        if isolation is not None and step.is_suspect(index):
            suspect = step.suspects[index]
        if suspect is None:
            executor = find_first(ordered, free, avoided)
        else:
            possible = [
                executor
                for executor in ordered
                if free[executor.executor_id] > 0
                and executor.executor_id not in avoided
            ]
            assigned = {placement.executor.executor_id for placement in placements}
            executor = isolation.choose(step, suspect, possible, assigned)
        if executor is not None:
            free[executor.executor_id] -= 1
            if suspect and suspect.must_run_alone and not step.spec.gang:
                free[executor.executor_id] = 0
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
