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
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6


class Adviser:
    """Track the calls that one node has in its queue, and those that failed."""

    __slots__ = (
        "busy_until",
        "calls",
        "failures",
        "name",
        "last_call_number",
        "waits_until",
    )

    def __init__(self, name: str):
        self.name = name
        self.calls = 0
        self.busy_until = 0.0
        # Calls that have failed in a row, and until when the node is left out.
        self.failures = 0
        self.waits_until = 0.0
        # Number of the newest call that was booked here, over all nodes.
        self.last_call_number = 0


class AdviserPool:
    """Choose the node that calls the policy service next."""

    __slots__ = ("advisers", "call_count")

    def __init__(self):
        self.advisers: dict[str, Adviser] = {}
        self.call_count = 0

    def set_names(self, names: list[str]) -> None:
        """Set the nodes that can call now."""
        for name in set(self.advisers) - set(names):
            del self.advisers[name]
        for name in names:
            if name not in self.advisers:
                self.advisers[name] = Adviser(name)

    def list_available(
        self, timing: PolicyTiming, executor_count: int, now: float
    ) -> list[Adviser]:
        """Return the nodes that a call about so many executors may use now."""
        names = sorted(
            name for name, proxy in self.advisers.items() if proxy.waits_until <= now
        )
        reserved = int(len(names) * SHORT_SHARE)
        if timing.call_s(executor_count) > LONG_CALL_S and reserved:
            names = names[reserved:]
        return [self.advisers[name] for name in names]

    def count_idle(self, timing: PolicyTiming, executor_count: int, now: float) -> int:
        """Return how many nodes could begin such a call now."""
        available = self.list_available(timing, executor_count, now)
        return sum(proxy.busy_until <= now for proxy in available)

    def open_at(self, now: float) -> float:
        """Return when a node may call next, apart from calls in its queue."""
        backoff_ends = (proxy.waits_until for proxy in self.advisers.values())
        return max(now, min(backoff_ends, default=now))

    def choose(self, timing: PolicyTiming, executor_count: int, now: float) -> Adviser:
        """Return the node whose queue is free first, and book the call there.

        Of several free nodes the one that has not been chosen for longest is taken.
        """
        begins_at = self.open_at(now)
        proxy = min(
            self.list_available(timing, executor_count, begins_at),
            key=lambda proxy: (
                max(proxy.busy_until, begins_at),
                proxy.calls,
                proxy.last_call_number,
                proxy.name,
            ),
        )
        self.call_count += 1
        proxy.last_call_number = self.call_count
        proxy.calls += 1
        call_s = timing.call_s(executor_count)
        proxy.busy_until = max(proxy.busy_until, now) + call_s
        return proxy

    def wait_s(self, timing: PolicyTiming, now: float) -> float:
        """Return how long a call of this kind waits before it begins, in seconds."""
        begins_at = self.open_at(now)
        available = self.list_available(timing, 1, begins_at)
        return min(max(begins_at, proxy.busy_until) - now for proxy in available)

    def finish(self, proxy: Adviser, now: float) -> None:
        """Note the end of a call."""
        proxy.calls -= 1
        if proxy.calls <= 0:
            proxy.busy_until = now

    def note_answer(self, proxy: Adviser) -> None:
        """Note that the service answered a call of a node."""
        proxy.failures = 0
        proxy.waits_until = 0.0

    def note_failure(self, proxy: Adviser, now: float) -> None:
        """Let a node wait whose call failed; calls that fail together count once."""
        if now < proxy.waits_until:
            return
        wait_s = INITIAL_BACKOFF_S * 2**proxy.failures
        if wait_s < MAX_BACKOFF_S:
            proxy.failures += 1
        proxy.waits_until = now + min(wait_s, MAX_BACKOFF_S)
