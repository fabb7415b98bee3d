"""Streams that every process of a cell reads."""

import random

from gypsumring.messages.codec import decode_config_batch, decode_control_batch
from gypsumring.metrics import Metrics
from gypsumring.ports import Log
from gypsumring.settings import TimingSettings
from gypsumring.streams.stream import Stream

__all__ = ["open_config_stream", "open_control_stream"]


def open_control_stream(
    log: Log,
    node: str,
    metrics: Metrics,
    random_source: random.Random,
    timing: TimingSettings,
) -> Stream:
    """Return the stream of membership and ownership, whose reads gather records."""
    return Stream(
        log,
        "control",
        decode_control_batch,
        node,
        metrics,
        random_source,
        timing,
        read_pause_ms=timing.control_pause_ms,
    )


def open_config_stream(
    log: Log,
    node: str,
    metrics: Metrics,
    random_source: random.Random,
    timing: TimingSettings,
) -> Stream:
    """Return the stream of documents, which the log may hold for the idle time."""
    return Stream(
        log,
        "config",
        decode_config_batch,
        node,
        metrics,
        random_source,
        timing,
        poll_wait_ms=timing.idle_poll_ms,
    )
