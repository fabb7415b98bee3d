"""Time limits that follow the response times of a peer, as in RFC 6298."""

__all__ = ["ResponseTimes"]

# Weights of a new sample in the averages.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


class ResponseTimes:
    """Mean and mean deviation of recent response times, in seconds."""

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self):
        self.mean_s: float | None = None
        self.deviation_s = 0.0

    def record(self, seconds: float) -> None:
        """Record the time that one answer took."""
        if self.mean_s is None:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        error_s = abs(seconds - self.mean_s)
        self.deviation_s += DEVIATION_WEIGHT * (error_s - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)

    def timeout_s(self, shortest_s: float, longest_s: float) -> float:
        """Return after which time an answer is overdue, within the given limits."""
        if self.mean_s is None:
            return shortest_s
        expected_s = self.mean_s + DEVIATIONS * self.deviation_s
        return min(max(shortest_s, expected_s), longest_s)
