"""Monotonic and wall clocks; the monotonic clock includes time in suspend."""

import time
from collections.abc import Callable

__all__ = ["Clock", "WallClock", "suspend_aware_time", "unix_ms"]

Clock = Callable[[], float]
# Returns the Unix time in milliseconds.
WallClock = Callable[[], int]


def suspend_aware_time() -> float:
    """Return monotonic time in seconds, including time the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
