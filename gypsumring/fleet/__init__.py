"""Executors as their owner sees them: room, leases, clocks and health."""

from gypsumring.fleet.executor import (
    CONTACT_S,
    LATE_ORDER_S,
    ExecutorEntry,
    ExecutorState,
)
from gypsumring.fleet.health import ExecutorHealth

__all__ = [
    "CONTACT_S",
    "ExecutorEntry",
    "ExecutorHealth",
    "ExecutorState",
    "LATE_ORDER_S",
]
