"""Spread the calls to the policy service over the nodes.

The service takes one call at a time from each node, so each node is a queue. Long calls
leave part of the nodes free, so that a short call never waits behind a long one. A node
whose call failed waits before its next one, longer each time.
"""

from gypsumring.pipelines.model import PolicyTiming

__all__ = ["Adviser", "AdviserPool"]

# Calls that take longer than this use only some of the nodes.
LONG_CALL_S = 0.06
# Share of the nodes that long calls leave free.
SHORT_SHARE = 0.34
# A node waits this long after its first failed call, and at most the longest wait
# after several in a row.
FIRST_WAIT_S = 0.1
LONGEST_WAIT_S = 1.6


class Adviser:
    """Track the calls that one node has in its queue, and those that failed."""

    __slots__ = ("busy_until", "calls", "failures", "name", "turn", "waits_until")

    def __init__(self, name: str):
        self.name = name
        self.calls = 0
        self.busy_until = 0.0
        # Calls that have failed in a row, and until when the node is left out.
        self.failures = 0
        self.waits_until = 0.0
        # Number of the newest call that was booked here, over all nodes.
        self.turn = 0


class AdviserPool:
    """Choose the node that calls the policy service next."""

    __slots__ = ("advisers", "turn")

    def __init__(self):
        self.advisers: dict[str, Adviser] = {}
        self.turn = 0

    def set_names(self, names: list[str]) -> None:
        """Set the nodes that can call now."""
        for name in set(self.advisers) - set(names):
            del self.advisers[name]
        for name in names:
            if name not in self.advisers:
                self.advisers[name] = Adviser(name)

    def list_open(
        self, timing: PolicyTiming, executors: int, now: float
    ) -> list[Adviser]:
        """Return the nodes that a call about so many executors may use now."""
        names = sorted(
            name for name, each in self.advisers.items() if each.waits_until <= now
        )
        reserved = int(len(names) * SHORT_SHARE)
        if timing.call_s(executors) > LONG_CALL_S and reserved:
            names = names[reserved:]
        return [self.advisers[name] for name in names]

    def count_idle(self, timing: PolicyTiming, executors: int, now: float) -> int:
        """Return how many nodes could begin such a call now."""
        open_ones = self.list_open(timing, executors, now)
        return sum(each.busy_until <= now for each in open_ones)

    def open_at(self, now: float) -> float:
        """Return when a node may call next, apart from calls in its queue."""
        waits = (each.waits_until for each in self.advisers.values())
        return max(now, min(waits, default=now))

    def choose(self, timing: PolicyTiming, executors: int, now: float) -> Adviser:
        """Return the node whose queue is free first, and book the call there.

        Of several free nodes the one that has not been chosen for longest is taken.
        """
        begins_at = self.open_at(now)
        adviser = min(
            self.list_open(timing, executors, begins_at),
            key=lambda each: (
                max(each.busy_until, begins_at),
                each.calls,
                each.turn,
                each.name,
            ),
        )
        self.turn += 1
        adviser.turn = self.turn
        adviser.calls += 1
        call_s = timing.call_s(executors)
        adviser.busy_until = max(adviser.busy_until, now) + call_s
        return adviser

    def wait_s(self, timing: PolicyTiming, now: float) -> float:
        """Return how long a call of this kind waits before it begins, in seconds."""
        begins_at = self.open_at(now)
        open_ones = self.list_open(timing, 1, begins_at)
        return min(max(begins_at, each.busy_until) - now for each in open_ones)

    def finish(self, adviser: Adviser, now: float) -> None:
        """Note the end of a call."""
        adviser.calls -= 1
        if adviser.calls <= 0:
            adviser.busy_until = now

    def note_answer(self, adviser: Adviser) -> None:
        """Note that the service answered a call of a node."""
        adviser.failures = 0
        adviser.waits_until = 0.0

    def note_failure(self, adviser: Adviser, now: float) -> None:
        """Let a node wait whose call failed; calls that fail together count once."""
        if now < adviser.waits_until:
            return
        wait_s = FIRST_WAIT_S * 2**adviser.failures
        if wait_s < LONGEST_WAIT_S:
            adviser.failures += 1
        adviser.waits_until = now + min(wait_s, LONGEST_WAIT_S)
