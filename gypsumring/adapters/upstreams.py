"""Clients of workers and executors, by address."""

from collections.abc import Iterable

from gypsumring.adapters.executor import HttpExecutor
from gypsumring.adapters.http import TrafficCounter
from gypsumring.adapters.worker import HttpWorker
from gypsumring.metrics import Metrics
from gypsumring.ports import VmEntry

__all__ = ["HttpUpstreams"]


class HttpUpstreams:
    """Open HTTP clients of upstreams and keep them for the next call.

    ``connections_per_executor`` is this process's part of an executor's connections.
    """

    def __init__(
        self, connections_per_executor: int = 7, metrics: Metrics | None = None
    ):
        self.connections_per_executor = connections_per_executor
        metrics = metrics or Metrics()
        self.worker_traffic = TrafficCounter(metrics, "workers")
        self.executor_traffic = TrafficCounter(metrics, "executors")
        self.workers: dict[str, HttpWorker] = {}
        self.executors: dict[str, HttpExecutor] = {}

    def worker(self, vm: VmEntry) -> HttpWorker:
        """Return a client of the worker on this VM."""
        client = self.workers.get(vm.address)
        if client is None:
            client = self.workers[vm.address] = HttpWorker(
                vm.address, self.worker_traffic
            )
        return client

    def executor(self, vm: VmEntry) -> HttpExecutor:
        """Return a client of the executor on this VM."""
        client = self.executors.get(vm.address)
        if client is None:
            client = HttpExecutor(
                vm.address, self.connections_per_executor, self.executor_traffic
            )
            self.executors[vm.address] = client
        return client

    async def close_unlisted(self, vms: Iterable[VmEntry]) -> None:
        """Close the clients of VMs that are no longer listed."""
        addresses = {vm.address for vm in vms}
        for clients in (self.workers, self.executors):
            for address in [key for key in clients if key not in addresses]:
                await clients.pop(address).aclose()

    async def aclose(self) -> None:
        """Close all clients."""
        await self.close_unlisted(())
