"""Counters, gauges and latency histograms of a process."""

from gypsumring.metrics.registry import Metrics, RefusalReason, RetryReason

__all__ = ["Metrics", "RefusalReason", "RetryReason"]
