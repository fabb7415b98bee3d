"""A steady clock that also counts the time in which the machine is suspended."""

import time
from collections.abc import Callable

__all__ = ["Clock", "WallClock", "suspend_aware_time", "unix_ms"]

Clock = Callable[[], float]
# Returns the time of day in milliseconds since 1970.
WallClock = Callable[[], int]


def suspend_aware_time() -> float:
    """Return seconds of a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
