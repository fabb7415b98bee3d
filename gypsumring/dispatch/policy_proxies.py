"""Distribute calls to the policy service over the nodes.

The policy service accepts one call at a time from each node, so calls queue on each
node. Long calls use only some of the nodes, so that a short call never waits behind a
long one. A node whose call failed backs off exponentially before its next call.
"""

from gypsumring.pipelines.model import PolicyTiming

__all__ = ["PolicyProxy", "PolicyProxyPool"]

# Calls that are expected to take longer than this use only some of the nodes.
LONG_CALL_S = 0.06
# Share of the nodes reserved for short calls.
SHORT_CALL_NODE_SHARE = 0.34
# Back-off of a node after a failed call. It doubles with each consecutive failure, up
# to the maximum.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6


class PolicyProxy:
    """Queued and failed policy calls of one node."""

    __slots__ = (
        "backoff_until",
        "busy_until",
        "calls",
        "failures",
        "last_call_number",
        "name",
    )

    def __init__(self, name: str):
        self.name = name
        self.calls = 0
        self.busy_until = 0.0
        # Consecutive back-offs (up to the longest one), and the end of the latest.
        self.failures = 0
        self.backoff_until = 0.0
        # Number of the latest call queued on this node, counted over all nodes.
        self.last_call_number = 0


class PolicyProxyPool:
    """Nodes that can call the policy service, and the choice of one for each call."""

    __slots__ = ("call_count", "policy_proxies")

    def __init__(self):
        self.policy_proxies: dict[str, PolicyProxy] = {}
        self.call_count = 0

    def set_names(self, names: list[str]) -> None:
        """Set the names of the nodes that can call the policy service."""
        for name in set(self.policy_proxies) - set(names):
            del self.policy_proxies[name]
        for name in names:
            if name not in self.policy_proxies:
                self.policy_proxies[name] = PolicyProxy(name)

    def list_available(
        self, timing: PolicyTiming, executor_count: int, now: float
    ) -> list[PolicyProxy]:
        """Return the nodes that may carry a call about a number of executors now."""
        names = sorted(
            name
            for name, proxy in self.policy_proxies.items()
            if proxy.backoff_until <= now
        )
        reserved = int(len(names) * SHORT_CALL_NODE_SHARE)
        if timing.call_s(executor_count) > LONG_CALL_S and reserved:
            names = names[reserved:]
        return [self.policy_proxies[name] for name in names]

    def count_idle(self, timing: PolicyTiming, executor_count: int, now: float) -> int:
        """Return how many nodes could start a call about a number of executors now."""
        available = self.list_available(timing, executor_count, now)
        return sum(proxy.busy_until <= now for proxy in available)

    def earliest_call_at(self, now: float) -> float:
        """Return the earliest time at which some node is not backing off."""
        backoff_ends = (proxy.backoff_until for proxy in self.policy_proxies.values())
        return max(now, min(backoff_ends, default=now))

    def choose(
        self, timing: PolicyTiming, executor_count: int, now: float
    ) -> PolicyProxy:
        """Return the node whose queue is empty first, and add the call to its queue.

        Ties go to the node with the fewest queued calls, then to the node that was
        chosen least recently.
        """
        begins_at = self.earliest_call_at(now)
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

    def estimate_wait_s(self, timing: PolicyTiming, now: float) -> float:
        """Return how long a call about one executor would be queued, in seconds."""
        begins_at = self.earliest_call_at(now)
        available = self.list_available(timing, 1, begins_at)
        return min(max(begins_at, proxy.busy_until) - now for proxy in available)

    def finish(self, proxy: PolicyProxy, now: float) -> None:
        """Record the end of a call."""
        proxy.calls -= 1
        if proxy.calls <= 0:
            proxy.busy_until = now

    def record_answer(self, proxy: PolicyProxy) -> None:
        """Record that the policy service answered a call; end the node's back-off."""
        proxy.failures = 0
        proxy.backoff_until = 0.0

    def record_failure(self, proxy: PolicyProxy, now: float) -> None:
        """Start a back-off after a failed call, unless one is in progress.

        Queued calls that fail together thus count as one failure.
        """
        if now < proxy.backoff_until:
            return
        backoff_s = INITIAL_BACKOFF_S * 2**proxy.failures
        if backoff_s < MAX_BACKOFF_S:
            proxy.failures += 1
        proxy.backoff_until = now + min(backoff_s, MAX_BACKOFF_S)
