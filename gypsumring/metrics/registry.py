"""Registry of the counters, gauges and histograms of one process."""

import enum
from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "RefusalReason", "RetryReason"]

# Histograms cover 1 microsecond to 1 hour with two significant digits.
MIN_RECORDED_US = 1
MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class RefusalReason(enum.StrEnum):
    """Reason for which work was refused; refused work has not run."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CONCURRENCY_LIMIT = "concurrency_limit"
    DEADLINE_TOO_LONG = "deadline_too_long"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DRAINING = "draining"
    KEY_CONFLICT = "key_conflict"
    KEY_REQUIRED = "key_required"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_CAPACITY = "no_capacity"
    NO_EXECUTOR = "no_executor"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    OLD_EPOCH = "old_epoch"
    OLD_INCARNATION = "old_incarnation"
    QUEUE_FULL = "queue_full"
    QUOTA_EXCEEDED = "quota_exceeded"
    RECOVERING = "recovering"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    STALE_CONFIG = "stale_config"
    TEAM_SHARE = "team_share"
    TOKEN_INVALID = "token_invalid"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_CONFLICT = "version_conflict"


class RetryReason(enum.StrEnum):
    """Reason for which an operation was retried."""

    APPEND_UNCONFIRMED = "append_unconfirmed"
    ANSWER_MISMATCHED = "answer_mismatched"
    ANSWER_TRUNCATED = "answer_truncated"
    EXECUTOR_TIMEOUT = "executor_timeout"
    EXECUTOR_UNREACHABLE = "executor_unreachable"
    OWNER_MOVED = "owner_moved"
    PEER_TIMEOUT = "peer_timeout"
    PEER_UNREACHABLE = "peer_unreachable"
    RACK_REFUSED = "rack_refused"
    TASK_FAILED = "task_failed"
    TASK_LOST = "task_lost"
    TASK_PREEMPTED = "task_preempted"
    TASK_UNCERTAIN = "task_uncertain"
    WORKER_LEAVING = "worker_leaving"


class Metrics:
    """Counters, gauges and latency histograms by name."""

    __slots__ = ("counters", "gauges", "histograms")

    def __init__(self):
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counters[name] += amount

    def refuse(self, part: str, reason: RefusalReason) -> None:
        """Count a refusal by a component."""
        self.counters[f"{part}.refused.{reason}"] += 1

    def retry(self, part: str, reason: RetryReason) -> None:
        """Count a retry by a component."""
        self.counters[f"{part}.retried.{reason}"] += 1

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def discard_gauges(self, prefix: str) -> None:
        """Discard the gauges whose names begin with a prefix."""
        for name in [name for name in self.gauges if name.startswith(prefix)]:
            del self.gauges[name]

    def record_seconds(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, clamped to the range of the histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS
            )
            self.histograms[name] = histogram
        value = min(max(int(seconds * US_PER_S), MIN_RECORDED_US), MAX_RECORDED_US)
        histogram.record_value(value)

    def quantile_seconds(self, name: str, percent: float) -> float:
        """Return a percentile of a histogram in seconds, or 0 without any value."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / US_PER_S

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format.

        Durations are in seconds.
        """
        lines = []
        for name, value in sorted(self.counters.items()):
            lines.append(f"{metric_name(name)}_total {value}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"{metric_name(name)} {value}")
        for name in sorted(self.histograms):
            base = f"{metric_name(name)}_seconds"
            for percent in (50, 90, 99, 99.9):
                value = self.quantile_seconds(name, percent)
                lines.append(f'{base}{{quantile="{percent / 100}"}} {value}')
            count = self.histograms[name].get_total_count()
            lines.append(f"{base}_count {count}")
        return "\n".join(lines) + "\n"

    def snapshot(self) -> dict[str, object]:
        """Return all metrics as JSON-compatible data; durations are in seconds."""
        histograms = {}
        for name in sorted(self.histograms):
            histogram = self.histograms[name]
            histograms[name] = {
                "count": histogram.get_total_count(),
                "p50": self.quantile_seconds(name, 50),
                "p99": self.quantile_seconds(name, 99),
                "p99_9": self.quantile_seconds(name, 99.9),
                "max": histogram.get_max_value() / US_PER_S,
            }
        return {
            "counters": dict(sorted(self.counters.items())),
            "gauges": dict(sorted(self.gauges.items())),
            "histograms": histograms,
        }


def metric_name(name: str) -> str:
    """Return the exported name of a metric, with the characters that are allowed."""
    return "gypsumring_" + "".join(char if char.isalnum() else "_" for char in name)
