"""Learn the real size of tasks from lagging usage reports."""

from gypsumring.messages.work import Resources

__all__ = ["UsageLearner", "decay_peak", "larger_of"]

# A peak falls by 2% a report, so that at a report every 8 s half of an old peak is
# kept for about 5 minutes; sizes change slowly and an early decay overcommits.
DECAY_PERCENT = 2


def larger_of(first: Resources, second: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def decay_peak(peak: Resources, used: Resources) -> Resources:
    """Return a peak that rises at once and falls as a moving average."""
    return Resources(
        *(
            now if now >= old else old - (old - now) * DECAY_PERCENT // 100
            for old, now in zip(
                (peak.cpu_millis, peak.memory_mb, peak.accelerators),
                (used.cpu_millis, used.memory_mb, used.accelerators),
            )
        )
    )


class UsageLearner:
    """Keep the peak use of one task of each service."""

    __slots__ = ("peaks",)

    def __init__(self):
        self.peaks: dict[str, Resources] = {}

    def observe(self, service: str, used: Resources) -> None:
        """Take in the largest use among the service's tasks in one report."""
        peak = self.peaks.get(service)
        self.peaks[service] = used if peak is None else decay_peak(peak, used)

    def predict(self, service: str, declared: Resources) -> Resources:
        """Return the size to reserve for a new task."""
        peak = self.peaks.get(service)
        return declared if peak is None else larger_of(declared, peak)
