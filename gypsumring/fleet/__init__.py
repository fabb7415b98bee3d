"""State of executors recorded by their owner: capacity, leases, clocks, health."""

from gypsumring.fleet.exceptions import InvalidEntry
from gypsumring.fleet.executor import (
    CONTACT_TIMEOUT_S,
    MAX_ORDER_DELAY_S,
    ExecutorEntry,
    ExecutorState,
)
from gypsumring.fleet.health import ExecutorHealth

__all__ = [
    "CONTACT_TIMEOUT_S",
    "ExecutorEntry",
    "ExecutorHealth",
    "ExecutorState",
    "InvalidEntry",
    "MAX_ORDER_DELAY_S",
]
