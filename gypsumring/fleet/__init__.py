"""Executors as their owner sees them: room, leases, clocks and health."""

from gypsumring.fleet.executor import LATE_ORDER_S, ExecutorEntry, ExecutorState
from gypsumring.fleet.health import ExecutorHealth

__all__ = ["ExecutorEntry", "ExecutorHealth", "ExecutorState", "LATE_ORDER_S"]
