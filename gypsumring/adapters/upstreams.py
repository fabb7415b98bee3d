"""HTTP clients of workers and executors, by address."""

from collections.abc import Iterable

from gypsumring.adapters.executor import HttpExecutor
from gypsumring.adapters.http import TrafficCounter
from gypsumring.adapters.worker import HttpWorker
from gypsumring.metrics import Metrics
from gypsumring.ports import VmEntry

__all__ = ["HttpUpstreams"]


class HttpUpstreams:
    """Pool of HTTP clients of upstreams, which are reused between calls.

    ``connections_per_executor`` is the share of an executor's connections that this
    process may use.
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
        """Return the client of the worker on a VM."""
        client = self.workers.get(vm.address)
        if client is None:
            client = self.workers[vm.address] = HttpWorker(
                vm.address, self.worker_traffic
            )
        return client

    def executor(self, vm: VmEntry) -> HttpExecutor:
        """Return the client of the executor on a VM."""
        client = self.executors.get(vm.address)
        if client is None:
            client = HttpExecutor(
                vm.address, self.connections_per_executor, self.executor_traffic
            )
            self.executors[vm.address] = client
        return client

    async def close_unlisted(self, vms: Iterable[VmEntry]) -> None:
        """Close the clients of all VMs that are not in ``vms``."""
        addresses = {vm.address for vm in vms}
        for clients in (self.workers, self.executors):
            for address in [key for key in clients if key not in addresses]:
                await clients.pop(address).aclose()

    async def aclose(self) -> None:
        """Close all clients."""
        await self.close_unlisted(())
