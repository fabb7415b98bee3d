"""Choose the executors about which the policy service is asked.

The service names the executors on which a step may run. On a large fleet a call about
all of them would take longer than the work, and calls about the same few executors
would send all work there. So each step asks about executors of its own that have room,
as many as it needs by the share that the service has allowed so far.
"""

import random
from collections.abc import Iterable

from gypsumring.dispatch.placing import places_on
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import PolicyTiming
from gypsumring.pipelines.state import Step

__all__ = ["AllowedShares", "choose_call_size", "choose_new", "split_calls"]

# Share of executors that a queue's policy allows, before it has answered.
INITIAL_SHARE = 0.4
SHARE_WEIGHT = 0.1
MIN_SHARE = 0.05
# Places asked for against those that are expected to be needed.
SURPLUS_FACTOR = 1.6
# The executors named in one call may add this share of the call's base time. A call
# names as many as that at least, since a second call would take the base time again.
MAX_EXECUTOR_TIME_SHARE = 0.5
MIN_CALL_SIZE = 12
# The policy service takes at most so many executors in one call.
MAX_CALL_SIZE = 100


class AllowedShares:
    """Learn which share of the executors the policy of each queue allows."""

    __slots__ = ("shares",)

    def __init__(self):
        self.shares: dict[str, float] = {}

    def get(self, queue: str) -> float:
        """Return the share expected for a queue, 0 to 1."""
        return max(MIN_SHARE, self.shares.get(queue, INITIAL_SHARE))

    def note(self, queue: str, queried: int, allowed: int) -> None:
        """Note an answer about ``asked`` executors."""
        if queried:
            share = self.shares.get(queue, INITIAL_SHARE)
            self.shares[queue] = share + SHARE_WEIGHT * (allowed / queried - share)


def choose_new(
    step: Step,
    unasked: Iterable[ExecutorState],
    allowed_capacity: int,
    share: float,
    call_size: int,
    rng: random.Random,
) -> list[ExecutorState]:
    """Return which of the executors not asked about before the step asks about now.

    ``places_allowed`` are the places on the executors that are allowed already, room or
    not. Executors with room for the step come first: a gang takes those with most of
    it, other steps any of them, so that steps do not meet on the same ones. A gang asks
    about as many as one call names at least, room or not: they may have some later,
    and the next call would take the base time again.
    """
    missing_capacity = len(step.pending) - allowed_capacity / SURPLUS_FACTOR
    spec = step.spec
    rows = []
    for executor in unasked:
        capacity = executor.fit_count(spec)
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
        task_capacity += min(capacity, limit) or min(1, places_on(step, executor))
        chosen.append(executor)
    return chosen


def choose_call_size(timing: PolicyTiming) -> int:
    """Return how many executors one call names."""
    if timing.per_executor_s <= 0:
        return MAX_CALL_SIZE
    size = int(MAX_EXECUTOR_TIME_SHARE * timing.base_s / timing.per_executor_s)
    return min(max(size, MIN_CALL_SIZE), MAX_CALL_SIZE)


def split_calls(
    executors: list[ExecutorState], call_size: int, nodes: int
) -> list[list[str]]:
    """Return the executor ids of each call; ``nodes`` can call side by side."""
    ids = [executor.executor_id for executor in executors]
    calls = [ids[start : start + call_size] for start in range(0, len(ids), call_size)]
    return calls[: max(1, nodes)]
