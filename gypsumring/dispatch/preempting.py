"""Choose tasks with checkpoints that are stopped for a waiting step of smaller rank.

A stopped task resumes from its checkpoint, so that only the work since then and the
time of the restore are lost. Free capacity, and capacity that is about to be released,
is preferred.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator

from gypsumring.dispatch.gang_capacity import drop_avoided, get_avoided
from gypsumring.dispatch.openings import estimate_end
from gypsumring.dispatch.placing import waits_for_locality
from gypsumring.fleet import ExecutorState
from gypsumring.fleet.executor import accounted_cpu_millis, count_fitting
from gypsumring.pipelines.runs import Run, RunState
from gypsumring.pipelines.state import Step

__all__ = [
    "Candidate",
    "PreemptionPlan",
    "Rank",
    "YieldingRun",
    "choose_victims",
    "find_yielding_runs",
    "list_ending",
    "is_preemption_due",
    "may_be_preempted",
]

Rank = tuple[int, bool, bool]

# Time that a gang and a step of single tasks wait for capacity before a stop.
GANG_DELAY_S = 0.4
TASK_DELAY_S = 0.2
# A task is a victim only if its checkpoint was seen to change within this time.
MAX_CHECKPOINT_AGE_S = 3.0
# Time that a task needs to resume from a checkpoint.
RESTORE_S = 0.25
# Ratio of the tasks that could be placed on the executors compared to those needed. A
# comparison of all executors would take most of the time of a scheduling pass.
SURPLUS_FACTOR = 3
# A task that ends within this time after a stop would free its capacity is not stopped.
ENDING_MARGIN_S = 0.3


class YieldingRun:
    """Attempt that may be stopped for steps of a smaller rank."""

    __slots__ = ("lost_core_s", "rank", "run")

    def __init__(self, run: Run, rank: Rank, lost_core_s: float):
        self.run = run
        self.rank = rank
        # Work that a stop throws away.
        self.lost_core_s = lost_core_s


class Candidate:
    """Executor that may run the tasks of a step, and what its attempts yield.

    ``stopping`` are attempts that are already being stopped for the step, ``ending``
    those that are expected to end about when a stop would release capacity.
    """

    __slots__ = ("ending", "executor", "limit", "spec", "stopping", "yielding")

    def __init__(
        self,
        step: Step,
        executor: ExecutorState,
        yielding: list[YieldingRun],
        stopping: Iterable[Run] = (),
        ending: Iterable[Run] = (),
    ):
        self.executor = executor
        self.spec = step.spec
        self.yielding = yielding
        self.stopping = list(stopping)
        self.ending = [run for run in ending if run not in self.stopping]
        self.limit = self.spec.task_count
        if self.spec.max_per_executor:
            running_here = sum(run.step is step for run in executor.runs.values())
            self.limit = max(0, self.spec.max_per_executor - running_here)

    def count_tasks(self, stopped: Iterable[Run]) -> int:
        """Return how many tasks fit once the given attempts have been stopped."""
        executor = self.executor
        cpu, memory = executor.free_cpu_millis(), executor.entry.memory_mb
        memory -= executor.used_memory
        accelerators = executor.entry.accelerators - executor.used_accelerators
        for runs in (self.stopping, stopped):
            for run in runs:
                cpu += accounted_cpu_millis(run.step.spec)
                memory += run.step.spec.memory_mb
                accelerators += run.step.spec.accelerators
        return min(self.limit, count_fitting(self.spec, cpu, memory, accelerators))

    def count_tasks_without(self, rank: Rank) -> int:
        """Return how many tasks fit once all that yields to a rank is stopped."""
        return self.count_tasks(row.run for row in self.yielding if row.rank > rank)

    def list_options(self, rank: Rank) -> "Iterator[Option]":
        """Yield the cheapest victims found for each larger number of tasks.

        Only attempts that yield to ``rank`` are chosen.
        """
        ordered = [row for row in self.yielding if row.rank > rank]
        ordered.sort(key=loss_per_core)
        task_capacity = self.count_tasks(())
        most = self.count_tasks(row.run for row in ordered)
        while task_capacity < most:
            chosen: list[YieldingRun] = []
            for row in ordered:
                chosen.append(row)
                if self.count_tasks(row.run for row in chosen) > task_capacity:
                    break
            chosen = self.drop_unneeded(chosen, task_capacity + 1)
            task_capacity = self.count_tasks(row.run for row in chosen)
            yield Option(task_capacity, chosen)

    def drop_unneeded(
        self, chosen: list[YieldingRun], task_capacity: int
    ) -> list[YieldingRun]:
        """Return the victims without those that a number of tasks does not need."""
        for row in sorted(chosen, key=lambda row: -row.lost_core_s):
            others = [other for other in chosen if other is not row]
            if self.count_tasks(other.run for other in others) >= task_capacity:
                chosen = others
        return chosen


class Option:
    """Victims on one executor, and the number of tasks that fit without them."""

    __slots__ = ("lost_core_s", "task_capacity", "victims")

    def __init__(self, task_capacity: int, victims: list[YieldingRun]):
        self.task_capacity = task_capacity
        self.victims = victims
        self.lost_core_s = sum(row.lost_core_s for row in victims)


class PreemptionPlan:
    """Executors for a waiting step, and the attempts to stop there."""

    __slots__ = ("executors", "lost_core_s", "task_capacity", "victims")

    def __init__(
        self,
        executors: list[ExecutorState],
        victims: list[YieldingRun],
        task_capacity: int,
    ):
        self.executors = executors
        self.victims = victims
        self.task_capacity = task_capacity
        self.lost_core_s = sum(row.lost_core_s for row in victims)


def loss_per_core(row: YieldingRun) -> tuple[float, int]:
    """Return the sort key of a victim on one executor, the cheapest first."""
    spec = row.run.step.spec
    return row.lost_core_s / max(1, spec.cpu_millis), -spec.memory_mb


def is_preemption_due(step: Step, now: float) -> bool:
    """Return whether a step has waited so long that others may be stopped for it."""
    spec = step.spec
    delay_s = GANG_DELAY_S if spec.gang else TASK_DELAY_S
    if step.waiting_since is None or now - step.waiting_since < delay_s:
        return False
    if spec.fills or step.suspects or (spec.gang and step.runs):
        return False
    return step.is_ready


def may_be_preempted(run: Run, now: float) -> bool:
    """Return whether an attempt runs and has a recent checkpoint to resume from."""
    if run.checkpoint_at is None or run.state is not RunState.RUNNING:
        return False
    spec = run.step.spec
    return (
        spec.checkpointing
        and not (spec.gang or spec.long_running or spec.fills)
        and not spec.disruption_budget
        and now - run.checkpoint_at <= MAX_CHECKPOINT_AGE_S
    )


def find_yielding_runs(
    executor: ExecutorState,
    rank: Callable[[Run], Rank],
    may_stop: Callable[[Run], bool],
    now: float,
    stop_s: float,
) -> list[YieldingRun]:
    """Return the attempts of an executor that may be stopped.

    ``stop_s`` is the time until a stop has released the capacity. An attempt that is
    expected to end about then goes on.
    """
    found = []
    for run in executor.runs.values():
        if may_be_preempted(run, now) and may_stop(run):
            ends_at = estimate_end(run, executor.expected_run_s(run.step), now)
            if ends_at > now + stop_s + ENDING_MARGIN_S:
                lost_s = now - run.checkpoint_at + RESTORE_S
                lost_core_s = lost_s * run.step.spec.cpu_millis / 1000
                found.append(YieldingRun(run, rank(run), lost_core_s))
    return found


def choose_victims(
    step: Step,
    candidates: list[Candidate],
    rank: Rank,
    now: float,
    spread_factor: float = 1.0,
    max_victims: int = 1_000_000,
    max_tasks: int = 1_000_000,
) -> PreemptionPlan | None:
    """Return the victims with the least lost work that let a step start.

    A gang gets all its members or none, a step of single tasks at most ``max_tasks``.
    A plan without victims means that what is free or already being stopped for the step
    suffices. None means that nothing is to be stopped: no choice suffices, or the
    capacity is about to be released anyway.
    """
    needed = min(len(step.pending), max_tasks)
    if needed <= 0 or (step.spec.gang and needed < len(step.pending)):
        return None
    candidates = exclude_avoided(step, candidates)
    may_wait = waits_for_locality(step, spread_factor, now)
    if step.spec.data_rack:
        near_data = [row for row in candidates if is_near_data(step, row)]
        plan = choose_among(step, near_data, rank, max_victims, needed)
        if plan is not None or (may_wait and near_data):
            return plan
    if step.spec.same_rack:
        plan = choose_on_one_rack(step, candidates, rank, max_victims, needed)
        if plan is not None or may_wait:
            return plan
    return choose_among(step, candidates, rank, max_victims, needed)


def is_near_data(step: Step, candidate: Candidate) -> bool:
    """Return whether an executor is on the rack of the data of a step."""
    return candidate.executor.rack == step.spec.data_rack


def exclude_avoided(step: Step, candidates: list[Candidate]) -> list[Candidate]:
    """Exclude executors on which tasks of a step failed; a gang may need them."""
    executors = [candidate.executor for candidate in candidates]
    if step.spec.gang:
        kept = {executor.executor_id for executor in drop_avoided(step, executors)}
        return [row for row in candidates if row.executor.executor_id in kept]
    avoided = {name for index in step.pending for name in get_avoided(step, index)}
    return [row for row in candidates if row.executor.executor_id not in avoided]


def choose_on_one_rack(
    step: Step,
    candidates: list[Candidate],
    rank: Rank,
    max_victims: int,
    needed: int,
) -> PreemptionPlan | None:
    """Return the plan with the least lost work among those of single racks.

    A step with active runs is placed only on their racks.
    """
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.executor.rack, []).append(candidate)
    used = {run.rack for run in step.active_runs()}
    plans = [
        choose_among(step, rows, rank, max_victims, needed)
        for rack, rows in sorted(racks.items())
        if not used or rack in used
    ]
    return min(
        (plan for plan in plans if plan is not None),
        key=lambda plan: (-plan.task_capacity, plan.lost_core_s),
        default=None,
    )


def choose_among(
    step: Step,
    candidates: list[Candidate],
    rank: Rank,
    max_victims: int,
    needed: int,
) -> PreemptionPlan | None:
    """Return the victims on the given executors, see ``choose_victims``."""
    available = {row: row.count_tasks(()) for row in candidates}
    missing = needed - sum(available.values())
    if missing <= 0:
        return PreemptionPlan(list_used(step, available, needed), [], needed)
    if missing <= sum(
        row.count_tasks(row.ending) - available[row] for row in candidates
    ):
        return None
    gains = {row: row.count_tasks_without(rank) - available[row] for row in candidates}
    if step.spec.gang and missing > sum(gains.values()):
        return None
    largest = choose_largest(gains, SURPLUS_FACTOR * missing)
    chosen = choose_options(largest, available, rank, missing, max_victims)
    gained = sum(
        option.task_capacity - available[row] for row, option in chosen.items()
    )
    if not gained or (step.spec.gang and gained < missing):
        return None
    victims = prune(chosen, available, min(gained, missing))
    capacity = {
        row: row.count_tasks(victim.run for victim in victims.get(row, ()))
        for row in candidates
    }
    with_victims = {row for row, runs in victims.items() if runs}
    return PreemptionPlan(
        list_used(step, capacity, needed, with_victims),
        [victim for row in with_victims for victim in victims[row]],
        min(needed, sum(capacity.values())),
    )


def choose_largest(gains: dict[Candidate, int], wanted: int) -> list[Candidate]:
    """Return the executors that gain the most tasks, enough for a number of them."""
    chosen = []
    gained = 0
    for row in sorted(gains, key=gains.get, reverse=True):
        if gained >= wanted or not gains[row]:
            break
        gained += gains[row]
        chosen.append(row)
    return chosen


def list_ending(executor: ExecutorState, now: float, stop_s: float) -> list[Run]:
    """Return the attempts expected to end about when a stop would release capacity."""
    return [
        run
        for run in executor.runs.values()
        if not run.step.spec.long_running
        and (
            run.state is RunState.STOPPING
            or estimate_end(run, executor.expected_run_s(run.step), now)
            <= now + stop_s + ENDING_MARGIN_S
        )
    ]


def choose_options(
    candidates: list[Candidate],
    available: dict[Candidate, int],
    rank: Rank,
    missing: int,
    max_victims: int,
) -> dict[Candidate, Option]:
    """Choose victims executor by executor, by the lost work for each further task."""
    heap: list[tuple[float, int, Option, Candidate, Iterator[Option]]] = []

    def push(
        number: int, row: Candidate, before: Option, options: Iterator[Option]
    ) -> None:
        """Add the next option of an executor, if it has one."""
        option = next(options, None)
        if option is not None:
            added = option.task_capacity - before.task_capacity
            cost = (option.lost_core_s - before.lost_core_s) / added
            heapq.heappush(heap, (cost, number, option, row, options))

    for number, candidate in enumerate(candidates):
        nothing = Option(available[candidate], [])
        push(number, candidate, nothing, candidate.list_options(rank))
    chosen: dict[Candidate, Option] = {}
    victim_count = gained = 0
    while heap and gained < missing:
        _, number, option, row, options = heapq.heappop(heap)
        before = chosen.get(row)
        added = len(option.victims) - (len(before.victims) if before else 0)
        if victim_count + added > max_victims:
            continue
        victim_count += added
        gained += option.task_capacity
        gained -= before.task_capacity if before else available[row]
        chosen[row] = option
        push(number, row, option, options)
    return chosen


def prune(
    chosen: dict[Candidate, Option], available: dict[Candidate, int], missing: int
) -> dict[Candidate, list[YieldingRun]]:
    """Drop the victims without which the missing tasks fit as well."""
    victims = {row: list(option.victims) for row, option in chosen.items()}
    surplus = -missing + sum(
        option.task_capacity - available[row] for row, option in chosen.items()
    )
    rows = [(victim, row) for row, runs in victims.items() for victim in runs]
    rows.sort(key=lambda pair: -pair[0].lost_core_s)
    for victim, row in rows:
        others = [other for other in victims[row] if other is not victim]
        before = row.count_tasks(other.run for other in victims[row])
        lost = before - row.count_tasks(other.run for other in others)
        if lost <= surplus:
            surplus -= lost
            victims[row] = others
    return victims


def list_used(
    step: Step,
    capacity: dict[Candidate, int],
    needed: int,
    with_victims: Iterable[Candidate] = (),
) -> list[ExecutorState]:
    """Return the executors that the step needs, those with victims first."""
    first = set(with_victims)
    rows = sorted(
        capacity.items(),
        key=lambda pair: (
            pair[0] not in first,
            not pair[0].stopping,
            pair[0].executor.executor_id not in step.reserved,
            -pair[1],
            pair[0].executor.executor_id,
        ),
    )
    used, task_capacity = [], 0
    for candidate, count in rows:
        if count and task_capacity < needed:
            task_capacity += count
            used.append(candidate.executor)
    return used
