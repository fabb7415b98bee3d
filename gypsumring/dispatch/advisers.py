"""Spread the calls to the policy service over the nodes.

The service takes one call at a time from each node, so each node is a queue. Long calls
leave part of the nodes free, so that a short call never waits behind a long one.
"""

from gypsumring.pipelines.model import PolicyTiming

__all__ = ["Adviser", "AdviserPool"]

# Calls that take longer than this use only some of the nodes.
LONG_CALL_S = 0.06
# Share of the nodes that long calls leave free.
SHORT_SHARE = 0.34


class Adviser:
    """Track the calls that one node has in its queue."""

    __slots__ = ("busy_until", "calls", "name")

    def __init__(self, name: str):
        self.name = name
        self.calls = 0
        self.busy_until = 0.0


class AdviserPool:
    """Choose the node that calls the policy service next."""

    __slots__ = ("advisers",)

    def __init__(self):
        self.advisers: dict[str, Adviser] = {}

    def set_names(self, names: list[str]) -> None:
        """Set the nodes that can call now."""
        for name in set(self.advisers) - set(names):
            del self.advisers[name]
        for name in names:
            if name not in self.advisers:
                self.advisers[name] = Adviser(name)

    def list_open(self, timing: PolicyTiming, executors: int) -> list[Adviser]:
        """Return the nodes that a call about so many executors may use."""
        names = sorted(self.advisers)
        reserved = int(len(names) * SHORT_SHARE)
        if timing.call_s(executors) > LONG_CALL_S and reserved:
            names = names[reserved:]
        return [self.advisers[name] for name in names]

    def count_idle(self, timing: PolicyTiming, executors: int, now: float) -> int:
        """Return how many nodes could begin such a call now."""
        open_ones = self.list_open(timing, executors)
        return sum(each.busy_until <= now for each in open_ones)

    def choose(self, timing: PolicyTiming, executors: int, now: float) -> Adviser:
        """Return the node whose queue is free first, and book the call there."""
        adviser = min(
            self.list_open(timing, executors),
            key=lambda each: (max(each.busy_until, now), each.calls, each.name),
        )
        adviser.calls += 1
        call_s = timing.call_s(executors)
        adviser.busy_until = max(adviser.busy_until, now) + call_s
        return adviser

    def wait_s(self, timing: PolicyTiming, now: float) -> float:
        """Return how long a call of this kind waits before it begins, in seconds."""
        open_ones = self.list_open(timing, 1)
        return min(max(0.0, each.busy_until - now) for each in open_ones)

    def finish(self, adviser: Adviser, now: float) -> None:
        """Note the end of a call."""
        adviser.calls -= 1
        if adviser.calls <= 0:
            adviser.busy_until = now
