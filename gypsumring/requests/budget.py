"""Bound retries as a share of requests."""

__all__ = ["RetryBudget"]

# Retries that a service may make before its first requests have filled the bucket,
# and the most it may save up: enough for single failures, too few for a storm.
BURST = 10.0


class RetryBudget:
    """Count retry tokens; each request earns a fraction of one."""

    __slots__ = ("fraction", "tokens")

    def __init__(self, percent: int):
        self.fraction = percent / 100
        self.tokens = BURST if percent else 0.0

    def earn(self) -> None:
        """Add the share of one first attempt."""
        self.tokens = min(BURST, self.tokens + self.fraction)

    def spend(self) -> bool:
        """Take one retry from the budget; return False when it is empty."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
