"""Choose the executors about which the policy service is queried.

The policy service decides on which executors a step may run. On a large fleet, a call
about all executors would take longer than the work itself, and calls about the same few
executors would concentrate the work there. Each step therefore queries its own random
selection of executors with free capacity. Its size follows from the capacity that the
step needs and from the share of executors that the policy has allowed so far.
"""

import random
from collections.abc import Iterable

from gypsumring.dispatch.placing import count_fitting_eventually, count_fitting_on
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import PolicyTiming
from gypsumring.pipelines.state import Step

__all__ = [
    "AllowedShares",
    "choose_call_size",
    "choose_unqueried",
    "may_complete_gang",
    "split_calls",
]

# Assumed share of executors that a queue's policy allows before its first answer.
INITIAL_SHARE = 0.4
SHARE_WEIGHT = 0.1
MIN_SHARE = 0.05
# Ratio of the capacity queried to the capacity expected to be needed.
SURPLUS_FACTOR = 1.6
# Maximum time that the executors of one call add to it, as a share of its base time. A
# call is filled up to this size, because a second call would take the base time again.
MAX_EXECUTOR_TIME_SHARE = 0.5
MIN_CALL_SIZE = 12
# Limit of the policy service on the executors in one call.
MAX_CALL_SIZE = 100


class AllowedShares:
    """Moving averages of the share of executors that each queue's policy allows."""

    __slots__ = ("shares",)

    def __init__(self):
        self.shares: dict[str, float] = {}

    def get(self, queue: str) -> float:
        """Return the expected share for a queue, at least the minimum and at most 1."""
        return max(MIN_SHARE, self.shares.get(queue, INITIAL_SHARE))

    def record_answer(self, queue: str, queried: int, allowed: int) -> None:
        """Record a policy answer that allowed some of the ``queried`` executors."""
        if queried:
            share = self.shares.get(queue, INITIAL_SHARE)
            self.shares[queue] = share + SHARE_WEIGHT * (allowed / queried - share)


def choose_unqueried(
    step: Step,
    unqueried: Iterable[ExecutorState],
    allowed_capacity: int,
    share: float,
    call_size: int,
    rng: random.Random,
) -> list[ExecutorState]:
    """Choose the executors to query for a step among those not queried before.

    ``allowed_capacity`` is the number of tasks that the executors already allowed hold
    once all tasks that end have ended. Healthy executors come first, then those with
    free capacity: a gang prefers those with the most, other steps choose at random, so
    that steps do not select the same executors. A gang queries at least one full call,
    regardless of free capacity: the executors may have capacity later, and another call
    would take the base time again.
    """
    missing_capacity = len(step.pending) - allowed_capacity / SURPLUS_FACTOR
    spec = step.spec
    rows = []
    for executor in unqueried:
        capacity = executor.count_fitting_tasks(spec)
        if capacity or missing_capacity > 0 or spec.gang:
            capacity_rank = -capacity if spec.gang else not capacity
            suspect = executor.health.is_suspect()
            rows.append((suspect, capacity_rank, rng.random(), capacity, executor))
    rows.sort(key=lambda row: row[:3])
    wanted_capacity = SURPLUS_FACTOR * len(step.pending) / share
    chosen: list[ExecutorState] = []
    task_capacity = 0
    for _, _, _, capacity, executor in rows:
        if task_capacity >= wanted_capacity and len(chosen) >= call_size:
            break
        limit = spec.max_per_executor or capacity
        task_capacity += min(capacity, limit) or min(
            1, count_fitting_eventually(step, executor)
        )
        chosen.append(executor)
    return chosen


def may_complete_gang(
    step: Step,
    allowed: list[ExecutorState],
    allowed_capacity: int,
    candidates: list[ExecutorState],
    share: float,
) -> bool:
    """Return whether a query about candidates may let a gang start at once.

    A gang that is allowed on enough executors waits for capacity there. Further
    executors are of use to it only if the missing members are expected to fit on those
    that the policy allows. ``allowed_capacity`` is as in ``choose_unqueried``.
    """
    needed = len(step.pending)
    if allowed_capacity < SURPLUS_FACTOR * needed:
        return True
    free_capacity = sum(count_fitting_on(step, executor) for executor in allowed)
    candidate_capacity = sum(
        count_fitting_on(step, executor) for executor in candidates
    )
    return free_capacity + share * candidate_capacity >= needed


def choose_call_size(timing: PolicyTiming) -> int:
    """Return the number of executors in one call."""
    if timing.per_executor_s <= 0:
        return MAX_CALL_SIZE
    size = int(MAX_EXECUTOR_TIME_SHARE * timing.base_s / timing.per_executor_s)
    return min(max(size, MIN_CALL_SIZE), MAX_CALL_SIZE)


def split_calls(
    executors: list[ExecutorState], call_size: int, nodes: int
) -> list[list[str]]:
    """Return the executor ids of each call, for at most ``nodes`` parallel calls."""
    ids = [executor.executor_id for executor in executors]
    calls = [ids[start : start + call_size] for start in range(0, len(ids), call_size)]
    return calls[: max(1, nodes)]
