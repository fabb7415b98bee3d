"""State of executors recorded by their owner: capacity, leases, clocks, health."""

from gypsumring.fleet.exceptions import InvalidEntry
from gypsumring.fleet.executor import (
    CONTACT_TIMEOUT_S,
    MAX_ORDER_DELAY_S,
    ClockBound,
    ExecutorEntry,
    ExecutorState,
    LeaseEvidence,
)
from gypsumring.fleet.health import ExecutorHealth
from gypsumring.fleet.knowledge import FleetKnowledge
from gypsumring.fleet.profiles import ExecutorProfile

__all__ = [
    "CONTACT_TIMEOUT_S",
    "ClockBound",
    "ExecutorEntry",
    "ExecutorHealth",
    "ExecutorProfile",
    "ExecutorState",
    "FleetKnowledge",
    "InvalidEntry",
    "LeaseEvidence",
    "MAX_ORDER_DELAY_S",
]
