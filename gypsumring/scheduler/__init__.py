"""Scheduler process that owns shards."""

from gypsumring.utils.lazy import import_on_use

__all__ = ["LedgerService", "RackService", "SchedulerNode"]

__getattr__ = import_on_use(
    __name__,
    {"LedgerService": "services", "RackService": "services", "SchedulerNode": "node"},
)
