"""Port that provides clients of upstreams."""

from typing import Protocol

from gypsumring.ports.executor import Executor
from gypsumring.ports.vm_list import VmEntry
from gypsumring.ports.worker import Worker

__all__ = ["Upstreams"]


class Upstreams(Protocol):
    """Factory of clients of workers and executors."""

    def worker(self, vm: VmEntry) -> Worker:
        """Return a client of the worker on this VM."""

    def executor(self, vm: VmEntry) -> Executor:
        """Return a client of the executor on this VM."""
