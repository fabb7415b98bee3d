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

    def choose(self, timing: PolicyTiming, executors: int, now: float) -> Adviser:
        """Return the node whose queue is free first, and book the call there."""
        call_s = timing.call_s(executors)
        names = sorted(self.advisers)
        reserved = int(len(names) * SHORT_SHARE)
        if call_s > LONG_CALL_S and reserved:
            names = names[reserved:]
        adviser = min(
            (self.advisers[name] for name in names),
            key=lambda each: (max(each.busy_until, now), each.calls, each.name),
        )
        adviser.calls += 1
        adviser.busy_until = max(adviser.busy_until, now) + call_s
        return adviser

    def wait_s(self, timing: PolicyTiming, now: float) -> float:
        """Return how long a call of this kind waits before it begins, in seconds."""
        names = sorted(self.advisers)
        reserved = int(len(names) * SHORT_SHARE)
        if timing.call_s(1) > LONG_CALL_S and reserved:
            names = names[reserved:]
        return min(max(0.0, self.advisers[name].busy_until - now) for name in names)

    def finish(self, adviser: Adviser, now: float) -> None:
        """Note the end of a call."""
        adviser.calls -= 1
        if adviser.calls <= 0:
            adviser.busy_until = now
