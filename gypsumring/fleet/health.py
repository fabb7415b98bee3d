"""Judge an executor by the ends and the progress of its tasks."""

__all__ = ["ExecutorHealth"]

# An executor that fails this many tasks in a row takes no work for a while.
FAILURES_IN_A_ROW = 2
QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 16.0
# Weight of the newest sample in the moving average of the slowdown.
SLOWDOWN_WEIGHT = 0.3


class ExecutorHealth:
    """Track failures and speed of one executor.

    After a quarantine one task is started as a probe: the count of failures is kept,
    so that one more failure starts a longer quarantine.
    """

    __slots__ = ("failures", "quarantine_s", "quarantined_until", "slowdown")

    def __init__(self):
        self.failures = 0
        self.quarantine_s = QUARANTINE_S
        self.quarantined_until = 0.0
        # Moving average of the run time against the estimate.
        self.slowdown = 1.0

    def note_done(self, run_s: float, expected_s: float) -> None:
        """Note a task that ended as done."""
        self.failures = 0
        self.quarantine_s = QUARANTINE_S
        if expected_s > 0:
            ratio = min(run_s / expected_s, 20.0)
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def note_failed(self, now: float) -> None:
        """Note a task that failed."""
        self.failures += 1
        if self.failures >= FAILURES_IN_A_ROW:
            self.quarantine(now)

    def quarantine(self, now: float) -> None:
        """Let the executor take no work for a while."""
        self.quarantined_until = now + self.quarantine_s
        self.quarantine_s = min(self.quarantine_s * 2, MAX_QUARANTINE_S)

    def is_quarantined(self, now: float) -> bool:
        """Tell whether the executor takes no work now."""
        return now < self.quarantined_until

    def is_suspect(self) -> bool:
        """Tell whether the newest task failed."""
        return self.failures > 0
