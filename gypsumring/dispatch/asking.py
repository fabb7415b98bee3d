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
FIRST_SHARE = 0.4
SHARE_WEIGHT = 0.1
LEAST_SHARE = 0.05
# Places asked for against those that are expected to be needed.
SURPLUS = 1.6
# The executors named in one call may add this share of the call's base time. A call
# names as many as that at least, since a second call would take the base time again.
NAMED_SHARE = 0.5
LEAST_IN_CALL = 12
# The policy service takes at most so many executors in one call.
MAX_IN_CALL = 100


class AllowedShares:
    """Learn which share of the executors the policy of each queue allows."""

    __slots__ = ("shares",)

    def __init__(self):
        self.shares: dict[str, float] = {}

    def get(self, queue: str) -> float:
        """Return the share expected for a queue, 0 to 1."""
        return max(LEAST_SHARE, self.shares.get(queue, FIRST_SHARE))

    def note(self, queue: str, asked: int, allowed: int) -> None:
        """Note an answer about ``asked`` executors."""
        if asked:
            share = self.shares.get(queue, FIRST_SHARE)
            self.shares[queue] = share + SHARE_WEIGHT * (allowed / asked - share)


def choose_new(
    step: Step,
    unasked: Iterable[ExecutorState],
    places_allowed: int,
    share: float,
    call_size: int,
    source: random.Random,
) -> list[ExecutorState]:
    """Return which of the executors not asked about before the step asks about now.

    ``places_allowed`` are the places on the executors that are allowed already, room or
    not. Executors with room for the step come first: a gang takes those with most of
    it, other steps any of them, so that steps do not meet on the same ones. A gang asks
    about as many as one call names at least, room or not: they may have some later,
    and the next call would take the base time again.
    """
    missing = len(step.pending) - places_allowed / SURPLUS
    spec = step.spec
    rows = []
    for executor in unasked:
        room = executor.fit_count(spec)
        if room or missing > 0 or spec.gang:
            most = -room if spec.gang else not room
            suspect = executor.health.is_suspect()
            rows.append((suspect, most, source.random(), room, executor))
    rows.sort(key=lambda row: row[:3])
    wanted = SURPLUS * len(step.pending) / share
    chosen: list[ExecutorState] = []
    places = 0
    for _, _, _, room, executor in rows:
        if places >= wanted and len(chosen) >= call_size:
            break
        limit = spec.max_per_executor or room
        places += min(room, limit) or min(1, places_on(step, executor))
        chosen.append(executor)
    return chosen


def choose_call_size(timing: PolicyTiming) -> int:
    """Return how many executors one call names."""
    if timing.per_executor_s <= 0:
        return MAX_IN_CALL
    size = int(NAMED_SHARE * timing.base_s / timing.per_executor_s)
    return min(max(size, LEAST_IN_CALL), MAX_IN_CALL)


def split_calls(
    executors: list[ExecutorState], call_size: int, nodes: int
) -> list[list[str]]:
    """Return the executor ids of each call; ``nodes`` can call side by side."""
    ids = [executor.executor_id for executor in executors]
    calls = [ids[begin : begin + call_size] for begin in range(0, len(ids), call_size)]
    return calls[: max(1, nodes)]
