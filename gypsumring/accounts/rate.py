"""Rates at which client accounts submit jobs."""

from gypsumring.accounts.model import ClientAccount

__all__ = ["RateMeter"]

# An account may submit the jobs of this time at once.
BURST_S = 1.0


class TokenBucket:
    """Jobs that an account may still submit within its rate, at a time in seconds."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float, updated_at: float):
        self.tokens = tokens
        self.updated_at = updated_at


class RateMeter:
    """Meter of the jobs that accounts submit, against their weight in jobs a second.

    Times are Unix milliseconds, so that a new owner counts the jobs that earlier owners
    have accepted.
    """

    __slots__ = ("buckets",)

    def __init__(self):
        self.buckets: dict[str, TokenBucket] = {}

    def record(self, account: ClientAccount, now_ms: int) -> bool:
        """Count a job; return whether it is beyond the rate of its account.

        A job beyond the rate uses none of it.
        """
        limit = max(1.0, account.weight * BURST_S)
        now = now_ms / 1000
        bucket = self.buckets.get(account.name)
        if bucket is None:
            bucket = self.buckets[account.name] = TokenBucket(limit, now)
        elapsed_s = max(0.0, now - bucket.updated_at)
        bucket.tokens = min(limit, bucket.tokens + elapsed_s * account.weight)
        bucket.updated_at = max(bucket.updated_at, now)
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False

    def withdraw(self, account: str) -> None:
        """Give back what a job within the rate has used that was not accepted.

        The bucket may be full by then; the next job finds no more than the burst.
        """
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.tokens += 1.0
