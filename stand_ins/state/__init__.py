"""State of the platform stand-ins; callers pass the current time."""

from stand_ins.state.executor import ExecutorFaults, ExecutorRun, ExecutorState
from stand_ins.state.log import LogFaults, LogState
from stand_ins.state.vm_list import VmListState
from stand_ins.state.worker import TaskRun, TaskRuns, WorkerFaults, WorkerState

__all__ = [
    "ExecutorFaults",
    "ExecutorRun",
    "ExecutorState",
    "LogFaults",
    "LogState",
    "TaskRun",
    "TaskRuns",
    "VmListState",
    "WorkerFaults",
    "WorkerState",
]
