"""Speed of an executor, by comparison with others that ran the same kinds of work."""

import math
import statistics
from collections import deque
from collections.abc import Iterable

__all__ = ["ExecutorProfile", "center_profiles"]

# Samples kept for one executor.
MAX_SAMPLES = 64
# A sample counts as a factor of e at most, so that one task that takes many times as
# long says no more than that the machine may be slow.
MAX_LOG_SLOWNESS = 1.0
# Comparisons that the expected slowness counts for in the median.
EXPECTED_SAMPLES = 2
# Spread of the log speeds of machines of which nothing is known.
PRIOR_SPREAD = 0.3
# Efficiency of a median against a mean for normally distributed samples.
MEDIAN_EFFICIENCY = 2 / math.pi
# Share of its log slowness that a machine is expected to keep in its next life.
KEPT_SHARE = 0.5
# Width of the speed classes of placement, as log slowness.
CLASS_WIDTH = 0.5
# The usual machine is adjusted from this difference on, by at most this much at a time.
MIN_SHIFT = 0.04
# Machines that the median needs.
MIN_COMPARED = 3


class ExecutorProfile:
    """Slowness of one life of an executor: 1 is a usual machine, 2 takes twice as long.

    The estimate is the weighted median of comparisons, drawn towards what is expected
    without any by the weight of their number and spread. Failures and refusals are part
    of the health of the executor and do not count here.
    """

    __slots__ = ("expected", "log_slowness", "samples", "slowness", "speed_class")

    def __init__(self, expected: float = 0.0):
        # Log slowness that is expected before there are samples.
        self.expected = expected
        # Comparisons as log slowness and weight.
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.update()

    def add(self, log_slowness: float, weight: float) -> None:
        """Add a comparison, whose weight is the inverse of its variance."""
        bounded = min(max(log_slowness, -MAX_LOG_SLOWNESS), MAX_LOG_SLOWNESS)
        self.samples.append((bounded, weight))
        self.update()

    def update(self) -> None:
        """Compute the slowness and the speed class from the samples."""
        self.log_slowness = self.expected
        if self.samples:
            total = sum(weight for _, weight in self.samples)
            weight = MEDIAN_EFFICIENCY * total
            share = weight / (weight + 1 / PRIOR_SPREAD**2)
            assumed = (self.expected, EXPECTED_SAMPLES * total / len(self.samples))
            median = weighted_median(sorted([*self.samples, assumed]))
            self.log_slowness += share * (median - self.expected)
        self.slowness = math.exp(self.log_slowness)
        # Class 0 holds usual machines; slower ones have higher numbers.
        self.speed_class = self.class_with(0.0)

    def class_with(self, effect: float) -> int:
        """Return the speed class of work that takes longer by a log factor."""
        return round((self.log_slowness + effect) / CLASS_WIDTH)

    def shift(self, log_slowness: float) -> None:
        """Express all comparisons against a machine that is slower by a log factor."""
        self.samples = deque(
            ((value - log_slowness, weight) for value, weight in self.samples),
            maxlen=MAX_SAMPLES,
        )
        self.update()

    def next_life(self) -> "ExecutorProfile":
        """Return the profile with which the next life of the executor begins.

        The machine may have become another one, so that only a doubt remains.
        """
        return ExecutorProfile(KEPT_SHARE * self.log_slowness)


def center_profiles(profiles: Iterable[ExecutorProfile]) -> None:
    """Let the median of the compared machines be the usual machine, in small steps.

    Comparisons are relative, so that the slowness of all machines may drift together.
    """
    compared = [profile for profile in profiles if profile.samples]
    if len(compared) < MIN_COMPARED:
        return
    median = statistics.median(profile.log_slowness for profile in compared)
    if abs(median) < MIN_SHIFT:
        return
    for profile in compared:
        profile.shift(math.copysign(MIN_SHIFT, median))


def weighted_median(samples: list[tuple[float, float]]) -> float:
    """Return the median of sorted values, each with a positive weight."""
    half = sum(weight for _, weight in samples) / 2
    passed = 0.0
    for number, (value, weight) in enumerate(samples):
        passed += weight
        if math.isclose(passed, half) and number + 1 < len(samples):
            return (value + samples[number + 1][0]) / 2
        if passed > half:
            break
    return value
