"""Exponential backoff with jitter."""

import random

__all__ = ["backoff_s"]


def backoff_s(
    attempt: int, base_ms: int, limit_ms: int, random_source: random.Random
) -> float:
    """Return the delay in seconds before a retry; ``attempt`` counts from 1.

    The delay is drawn from the upper half of the exponential interval, so that
    clients that fail at the same time do not retry at the same time.
    """
    ceiling_ms = min(limit_ms, base_ms * 2 ** min(attempt - 1, 30))
    return random_source.uniform(ceiling_ms / 2, ceiling_ms) / 1000
