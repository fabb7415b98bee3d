"""HTTP clients of the platform's log, VM list, workers and executors."""

from gypsumring.adapters.executor import HttpExecutor
from gypsumring.adapters.log import HttpLog
from gypsumring.adapters.upstreams import HttpUpstreams
from gypsumring.adapters.vm_list import HttpVmList
from gypsumring.adapters.worker import HttpWorker

__all__ = ["HttpExecutor", "HttpLog", "HttpUpstreams", "HttpVmList", "HttpWorker"]
