"""Executors as witnesses of who owns the cell.

An executor that has answered an owner refuses earlier ones from then on, unless it
starts again. An earlier owner uses another incarnation only once the store has
confirmed it, so that two owners never both have the answers of a majority of the
recorded executors. The majority counts over what the log may name: a record may be
written or deleted by an append whose answer is missing.
"""

from collections import Counter
from collections.abc import Iterable

__all__ = ["MAX_ANSWER_AGE_S", "FleetQuorum"]

# The answer of an executor counts for this time from the sending of the request.
MAX_ANSWER_AGE_S = 3.0


class FleetQuorum:
    """Recorded executors and their answers to this owner.

    Times are in seconds of the owner's clock.
    """

    __slots__ = ("accepted_at", "changing", "inherited", "reached_at", "recorded")

    def __init__(self):
        # Executors that the log named when this owner read it.
        self.inherited: frozenset[str] = frozenset()
        # Executors whose record is durable, and numbers of unanswered changes of it.
        self.recorded: set[str] = set()
        self.changing: Counter[str] = Counter()
        # When each executor answered first.
        self.reached_at: dict[str, float] = {}
        # Send time of the newest request that each executor has answered.
        self.accepted_at: dict[str, float] = {}

    def restore(self, executor_ids: Iterable[str]) -> None:
        """Set the executors that the log names."""
        self.inherited = frozenset(executor_ids)
        self.recorded = set(self.inherited)

    def begin_change(self, executor_id: str) -> None:
        """Note that a record is being written or deleted."""
        self.changing[executor_id] += 1

    def end_change(self, executor_id: str, is_recorded: bool) -> None:
        """Note that a record has been written or deleted."""
        self.changing -= Counter([executor_id])
        if is_recorded:
            self.recorded.add(executor_id)
        else:
            self.recorded.discard(executor_id)
            self.accepted_at.pop(executor_id, None)

    def may_be_recorded(self, executor_id: str) -> bool:
        """Return whether the log may name an executor."""
        return executor_id in self.recorded or executor_id in self.changing

    def record_answer(
        self, executor_id: str, sent_at: float, now: float, is_confirmed: bool
    ) -> None:
        """Record that an executor has answered a request.

        The answer of an incarnation counts for this owner only once the store has
        confirmed the owner after it.
        """
        self.reached_at.setdefault(executor_id, now)
        if is_confirmed:
            self.accepted_at[executor_id] = max(
                sent_at, self.accepted_at.get(executor_id, sent_at)
            )

    def has_majority(self, now: float) -> bool:
        """Return whether no other owner can have half of the recorded executors."""
        candidates = self.recorded | self.changing.keys()
        missing = sum(
            now - self.accepted_at.get(name, float("-inf")) > MAX_ANSWER_AGE_S
            for name in candidates
        )
        surely_recorded = len(self.recorded - self.changing.keys())
        return missing == 0 or missing < count_half(surely_recorded)

    def turned_at(self) -> float:
        """Return since when half of the inherited executors refuse earlier owners.

        Return infinity if they do not, or if there are none.
        """
        times = sorted(
            self.reached_at[name] for name in self.inherited if name in self.reached_at
        )
        needed = max(1, count_half(len(self.inherited)))
        return times[needed - 1] if len(times) >= needed else float("inf")


def count_half(count: int) -> int:
    """Return the smallest number that is half of ``count`` or more."""
    return (count + 1) // 2
