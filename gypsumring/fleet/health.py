"""Health of an executor, derived from its responses to orders and its tasks."""

__all__ = ["ExecutorHealth"]

# Consecutive task failures that put an executor into quarantine.
QUARANTINE_AFTER_FAILURES = 2
INITIAL_QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 16.0
# A lasting task that has run for this time shows that its executor works.
PROVEN_RUN_S = 4.0
# After a quarantine, other tasks probe the executor for this time before one that its
# job cannot afford to lose.
PROBE_S = 3.0
# Back-off of an executor after a refused start. It doubles with each further refusal,
# up to the maximum.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


class ExecutorHealth:
    """Failures and refusals of one executor.

    The failure count survives a quarantine, so that the next task acts as a probe: one
    more failure starts a longer quarantine. Likewise, the refusal count survives a
    back-off until a start that was sent after the refusal is accepted.
    """

    __slots__ = (
        "backoff_until",
        "failures",
        "forbidden_until",
        "next_quarantine_s",
        "probed_from",
        "probed_until",
        "probes",
        "quarantined_until",
        "refusals",
        "refused_at",
    )

    def __init__(self):
        self.failures = 0
        self.next_quarantine_s = INITIAL_QUARANTINE_S
        self.quarantined_until = float("-inf")
        # Time up to which no success ends a quarantine.
        self.forbidden_until = float("-inf")
        # Time from which work that no other executor takes may end the quarantine.
        self.probed_from = 0.0
        # Number of tasks that probe the executor, and time up to which no other may.
        self.probes = 0
        self.probed_until = float("-inf")
        # Consecutive back-offs (up to the longest one), the time of the latest
        # refusal, and the end of the latest back-off.
        self.refusals = 0
        self.refused_at = float("-inf")
        self.backoff_until = float("-inf")

    def record_success(self) -> None:
        """Record a task that succeeded."""
        self.failures = 0
        self.next_quarantine_s = INITIAL_QUARANTINE_S
        if self.probes:
            self.probes = 0
            self.quarantined_until = min(self.quarantined_until, self.forbidden_until)

    def record_start(self, now: float) -> None:
        """Record a start, which is a probe of an executor in quarantine."""
        if self.is_quarantined(now):
            self.probes += 1
            self.probed_until = now + PROBE_S

    def record_failure(self, now: float, ran_s: float = 0.0) -> None:
        """Record a failed task; repeated failures start a quarantine.

        A task that lasts has no other end; one that has worked for a while before it
        failed shows that the executor works.
        """
        if ran_s >= PROVEN_RUN_S:
            self.record_success()
        self.failures += 1
        if self.probes and now < self.quarantined_until:
            # A probe that fails does not lengthen the quarantine.
            self.probes -= 1
            self.probed_from = max(self.probed_from, now + INITIAL_QUARANTINE_S)
            return
        if self.failures >= QUARANTINE_AFTER_FAILURES:
            self.quarantine(now)

    def quarantine(self, now: float) -> None:
        """Start a quarantine; the next one will be twice as long, up to the maximum."""
        self.probes = 0
        self.quarantined_until = max(
            self.quarantined_until, now + self.next_quarantine_s
        )
        self.probed_from = max(self.probed_from, now + INITIAL_QUARANTINE_S)
        self.next_quarantine_s = min(self.next_quarantine_s * 2, MAX_QUARANTINE_S)

    def forbid_work(self, until: float) -> None:
        """Start a quarantine that nothing may end sooner."""
        self.quarantined_until = max(self.quarantined_until, until)
        self.probed_from = max(self.probed_from, until)
        self.forbidden_until = max(self.forbidden_until, until)

    def record_refusal(self, now: float) -> bool:
        """Record a refused start; return whether a back-off begins.

        Starts that are refused during a back-off were sent before it began.
        """
        self.refused_at = now
        if now < self.backoff_until:
            return False
        backoff_s = INITIAL_BACKOFF_S * 2**self.refusals
        if backoff_s < MAX_BACKOFF_S:
            self.refusals += 1
        self.backoff_until = now + min(backoff_s, MAX_BACKOFF_S)
        return True

    def record_accepted(self, sent_at: float) -> None:
        """Record an accepted start; end the back-off if sent after the refusal."""
        if sent_at > self.refused_at:
            self.refusals = 0
            self.backoff_until = 0.0

    def available_at(self) -> float:
        """Return the time from which the executor may receive work."""
        return max(self.quarantined_until, self.backoff_until)

    def is_quarantined(self, now: float) -> bool:
        """Return whether a quarantine or back-off is in progress."""
        return now < self.available_at()

    def needs_probe(self, now: float) -> bool:
        """Return whether no task has succeeded since a recent quarantine for failures.

        After ``PROBE_S`` without a probe any task may be one.
        """
        return (
            self.failures >= QUARANTINE_AFTER_FAILURES
            and now < self.probed_from + PROBE_S
        )

    def may_be_probed(self, now: float) -> bool:
        """Return whether work that no other executor takes may start here."""
        probed_from = max(self.probed_from, self.refused_at + INITIAL_QUARANTINE_S)
        return now >= max(min(self.available_at(), probed_from), self.probed_until)

    def is_suspect(self) -> bool:
        """Return whether the latest task failed or the latest start was refused."""
        return self.failures > 0 or self.refusals > 0
