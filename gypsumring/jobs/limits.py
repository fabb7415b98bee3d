"""Limits and constants that the parts of a manager share."""

from gypsumring.messages.peer import TaskReportState

__all__ = [
    "APPEND_S",
    "FINAL_STATES",
    "SETTLE_BASE_MS",
    "SETTLE_LIMIT_MS",
    "TICK_S",
]

TICK_S = 0.2
APPEND_S = 10.0
SETTLE_BASE_MS = 200
SETTLE_LIMIT_MS = 5_000
FINAL_STATES = (
    TaskReportState.SUCCEEDED,
    TaskReportState.FAILED,
    TaskReportState.LOST,
    TaskReportState.PREEMPTED,
    TaskReportState.STOPPED,
    TaskReportState.REFUSED,
)
