"""Judge an executor by its answers to orders, and by its tasks."""

__all__ = ["ExecutorHealth"]

# An executor that fails this many tasks in a row takes no work for a while.
QUARANTINE_AFTER_FAILURES = 2
INITIAL_QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 16.0
# An executor that refuses a start takes no work for this time, after each further
# refusal for longer.
FIRST_REST_S = 1.0
MAX_REST_S = 8.0
# Weight of the newest sample in the moving average of the slowdown.
SLOWDOWN_WEIGHT = 0.3


class ExecutorHealth:
    """Track failures and speed of one executor.

    After a quarantine one task is started as a probe: the count of failures is kept,
    so that one more failure starts a longer quarantine. A rest after a refusal works
    the same way, until a start that was sent later is accepted.
    """

    __slots__ = (
        "failures",
        "next_quarantine_s",
        "quarantined_until",
        "refusals",
        "refused_at",
        "backoff_until",
        "slowdown",
    )

    def __init__(self):
        self.failures = 0
        self.next_quarantine_s = INITIAL_QUARANTINE_S
        self.quarantined_until = 0.0
        # Rests in a row after refusals, the time of the newest refusal, and the end of
        # the newest rest.
        self.refusals = 0
        self.refused_at = float("-inf")
        self.backoff_until = 0.0
        # Moving average of the run time against the estimate.
        self.slowdown = 1.0

    def note_done(self, run_s: float, expected_s: float) -> None:
        """Note a task that ended as done."""
        self.failures = 0
        self.next_quarantine_s = INITIAL_QUARANTINE_S
        if expected_s > 0:
            ratio = min(run_s / expected_s, 20.0)
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def note_failed(self, now: float) -> None:
        """Note a task that failed."""
        self.failures += 1
        if self.failures >= QUARANTINE_AFTER_FAILURES:
            self.quarantine(now)

    def quarantine(self, now: float) -> None:
        """Let the executor take no work for a while."""
        self.quarantined_until = now + self.next_quarantine_s
        self.next_quarantine_s = min(self.next_quarantine_s * 2, MAX_QUARANTINE_S)

    def note_refused(self, now: float) -> bool:
        """Note a refused start; tell whether a rest begins.

        Starts that are refused during a rest were sent before it.
        """
        self.refused_at = now
        if now < self.backoff_until:
            return False
        backoff_s = FIRST_REST_S * 2**self.refusals
        if backoff_s < MAX_REST_S:
            self.refusals += 1
        self.backoff_until = now + min(backoff_s, MAX_REST_S)
        return True

    def note_accepted(self, sent_at: float) -> None:
        """Note a start that was accepted; the rest ends if it was sent later."""
        if sent_at > self.refused_at:
            self.refusals = 0
            self.backoff_until = 0.0

    def free_at(self) -> float:
        """Return from when on the executor may take work."""
        return max(self.quarantined_until, self.backoff_until)

    def is_quarantined(self, now: float) -> bool:
        """Tell whether the executor takes no work now."""
        return now < self.free_at()

    def is_suspect(self) -> bool:
        """Tell whether the newest task failed or the newest start was refused."""
        return self.failures > 0 or self.refusals > 0
