"""Stand-ins of the users' platform: store, executors and policy service."""

from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryExecutor, MemoryPolicy, MemoryStore
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import TaskBehaviour, World

__all__ = [
    "ExecutorModel",
    "Faults",
    "MemoryExecutor",
    "MemoryPolicy",
    "MemoryStore",
    "PolicyModel",
    "StoreModel",
    "TaskBehaviour",
    "World",
]
