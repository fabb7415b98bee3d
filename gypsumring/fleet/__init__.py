"""State of executors recorded by their owner: capacity, leases, clocks, health."""

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
