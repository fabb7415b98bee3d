"""Ratios of actual to estimated run times by kind of work."""

import enum
import math
import statistics
from collections import deque

from gypsumring.fleet.profiles import ExecutorProfile
from gypsumring.pipelines.model import WorkKind

__all__ = ["Evidence", "RatioWindow", "Runtimes"]

# Samples kept for one kind of work, and kinds kept at most.
WINDOW_SAMPLES = 128
MAX_WINDOWS = 512
# Samples after which a full window is evaluated anew; a new one is evaluated at once.
UPDATE_SAMPLES = 8
# Samples on other machines that a comparison needs.
MIN_OTHER_SAMPLES = 4
# Spread of the log ratios that is assumed before there are samples, the number of
# samples that the assumption counts for, and the least spread.
ASSUMED_SPREAD = 0.5
ASSUMED_SAMPLES = 4
MIN_SPREAD = 0.1
# Standard deviation of normally distributed values, as a multiple of their median
# absolute deviation.
DEVIATION_FACTOR = 1.4826
# Samples that an unknown ratio of 1 counts for.
PRIOR_SAMPLES = 3
# Ratios beyond this factor count as this factor.
MAX_RATIO = 20.0


class Evidence(enum.Enum):
    """Origin of a ratio; ratios of different origin are not compared."""

    # Run time of a task that is done, against its estimate.
    END = "end"
    # Time for which a running task made progress, against the estimate for it.
    PROGRESS = "progress"
    # Tail latency of a serving task, against its target.
    TAIL = "tail"


class RatioWindow:
    """Latest log ratios of one kind of work, with the machines they were seen on.

    The ratios are corrected by what is known of the machines now, so that a kind of
    work that runs on slow machines only does not count as slow itself.
    """

    __slots__ = ("center", "ratio", "samples", "spread", "unread")

    def __init__(self):
        self.samples: deque[tuple[float, ExecutorProfile]] = deque(
            maxlen=WINDOW_SAMPLES
        )
        # Median log ratio on a usual machine, and spread around it.
        self.center = 0.0
        self.spread = ASSUMED_SPREAD
        # Expected ratio of run time to estimate on a usual machine.
        self.ratio = 1.0
        # Samples that the values above do not include yet.
        self.unread = 0

    def add(self, log_ratio: float, profile: ExecutorProfile) -> None:
        """Add a sample, and update the median and the spread after some of them."""
        self.samples.append((log_ratio, profile))
        self.unread += 1
        if self.unread >= min(UPDATE_SAMPLES, len(self.samples) // UPDATE_SAMPLES):
            self.update()

    def update(self) -> None:
        """Compute the median, the spread and the expected ratio."""
        self.unread = 0
        values = [value - machine.log_slowness for value, machine in self.samples]
        self.center = statistics.median(values)
        deviation = statistics.median(abs(value - self.center) for value in values)
        self.spread = pool_spread(DEVIATION_FACTOR * deviation, len(values))
        share = len(values) / (len(values) + PRIOR_SAMPLES)
        self.ratio = math.exp(share * self.center)

    def compare(
        self, log_ratio: float, profile: ExecutorProfile
    ) -> tuple[float, float] | None:
        """Return the log slowness that a sample shows against other machines.

        The second value is its weight, the inverse of its variance. Return None if
        there are too few samples on other machines.
        """
        others = [
            value - machine.log_slowness
            for value, machine in self.samples
            if machine is not profile
        ]
        if len(others) < MIN_OTHER_SAMPLES:
            return None
        variance = self.spread**2 * (1 + math.pi / 2 / len(others))
        return log_ratio - statistics.median(others), 1 / variance


class Runtimes:
    """Windows of ratios by kind of work and origin, those used last are kept."""

    __slots__ = ("windows",)

    def __init__(self):
        self.windows: dict[tuple[WorkKind, Evidence], RatioWindow] = {}

    def window(self, kind: WorkKind, evidence: Evidence) -> RatioWindow:
        """Return the window of a kind of work, as the one used last."""
        key = (kind, evidence)
        window = self.windows.pop(key, None)
        if window is None:
            window = RatioWindow()
            if len(self.windows) >= MAX_WINDOWS:
                del self.windows[next(iter(self.windows))]
        self.windows[key] = window
        return window

    def expected_ratio(self, kind: WorkKind) -> float:
        """Return the expected ratio of run time to estimate on a usual machine."""
        window = self.windows.get((kind, Evidence.END))
        return 1.0 if window is None else window.ratio


def pool_spread(measured: float, samples: int) -> float:
    """Return the spread of some samples together with the assumed spread."""
    variance = (samples * measured**2 + ASSUMED_SAMPLES * ASSUMED_SPREAD**2) / (
        samples + ASSUMED_SAMPLES
    )
    return max(MIN_SPREAD, math.sqrt(variance))


def bounded_log(ratio: float) -> float:
    """Return the logarithm of a ratio, bounded in both directions."""
    return math.log(min(max(ratio, 1 / MAX_RATIO), MAX_RATIO))
