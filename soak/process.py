"""Simulated processes of scheduler and gateway nodes."""

import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import trio

from gypsumring.gateway import GatewayNode
from gypsumring.metrics import Metrics
from gypsumring.peers import InMemoryPeers
from gypsumring.scheduler import SchedulerNode
from gypsumring.scheduler.services import LedgerService, make_service
from gypsumring.settings import (
    CellSettings,
    GatewaySettings,
    PlatformSettings,
    SchedulerSettings,
)
from gypsumring.shards import ShardContext, ShardService
from soak.platform import DATA_CENTRES, REGION, Platform
from stand_ins.freezing import Freezer
from stand_ins.memory import MemoryLog, MemoryUpstreams, MemoryVmList

__all__ = ["SNAPSHOT_EVERY_S", "NodeProcess", "unix_time"]

UNIX_EPOCH = 1_700_000_000.0
# Short retention needs snapshots more often than the ten minutes of production.
SNAPSHOT_EVERY_S = 10.0


def unix_time() -> float:
    """Return Unix seconds on the mock clock."""
    return UNIX_EPOCH + anyio.current_time()


class OutsidePort:
    """Run the calls of a port outside of the process that makes them.

    A call that was sent goes on while its sender is frozen, as a packet would.
    """

    def __init__(self, port: Any, process: "NodeProcess"):
        self.port = port
        self.process = process

    def __getattr__(self, name: str) -> Any:
        return functools.partial(self.process.call_outside, getattr(self.port, name))


class OutsideUpstreams:
    """Open clients whose calls run outside of the process."""

    def __init__(self, upstreams: MemoryUpstreams, process: "NodeProcess"):
        self.upstreams = upstreams
        self.process = process

    def worker(self, vm) -> OutsidePort:
        """Return a client of the worker on this VM."""
        return OutsidePort(self.upstreams.worker(vm), self.process)

    def executor(self, vm) -> OutsidePort:
        """Return a client of the executor on this VM."""
        return OutsidePort(self.upstreams.executor(vm), self.process)


def make_soak_service(context: ShardContext) -> ShardService:
    """Return the real service of a shard with frequent snapshots."""
    service = make_service(context)
    if isinstance(service, LedgerService):
        service.jobs.snapshot_every_s = SNAPSHOT_EVERY_S
    return service


class NodeProcess:
    """Hold one run of a node's program, from its start to its end.

    ``closed`` is set when its connections break: at its end or when it is killed.
    """

    def __init__(
        self,
        name: str,
        address: str,
        number: int,
        cell: CellSettings,
        platform: Platform,
        peers: InMemoryPeers,
        freezer: Freezer,
        outside: anyio.abc.TaskGroup,
        random_source: random.Random,
        on_crash: Callable[[str], None],
    ):
        self.name = name
        self.address = address
        self.number = number
        self.peers = peers
        self.freezer = freezer
        self.outside = outside
        self.on_crash = on_crash
        self.is_gateway = name.startswith("gw")
        self.root: trio.lowlevel.Task | None = None
        self.group: anyio.abc.TaskGroup | None = None
        self.links: dict[int, anyio.CancelScope] = {}
        self.link_count = 0
        self.started_at = anyio.current_time()
        self.drain_at: float | None = None
        self.is_paused = False
        self.is_killed = False
        self.closed = anyio.Event()
        self.metrics = Metrics()
        source = random.Random(random_source.getrandbits(64))
        common = (
            OutsidePort(MemoryLog(platform.log, source, name), self),
            OutsidePort(MemoryVmList(platform.vm_list, source), self),
            OutsideUpstreams(
                MemoryUpstreams(
                    platform.workers, platform.executors, source, client=name
                ),
                self,
            ),
            peers.client(name),
            self.metrics,
            source,
            unix_time,
        )
        settings = {
            "node": name,
            "region": REGION,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "http_address": address,
            "cell": cell,
            "platform": PlatformSettings("", ""),
        }
        if self.is_gateway:
            self.node = GatewayNode(GatewaySettings(**settings), *common)
        else:
            self.node = SchedulerNode(
                SchedulerSettings(peer_address=address, **settings),
                *common,
                make_service=make_soak_service,
            )
        self.node.documents.snapshot_every_s = SNAPSHOT_EVERY_S

    @property
    def is_alive(self) -> bool:
        """Tell whether the process has not ended, though it may be paused."""
        return not self.closed.is_set()

    async def run(self) -> None:
        """Run the node until it ends by itself or the run is over."""
        self.root = self.freezer.add_root()
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                if not self.is_gateway:
                    server = self.peers.server(
                        self.address, self.name, self.node.handle
                    )
                    group.start_soon(server.run)
                await self.node.run()
                group.cancel_scope.cancel()
        except Exception as error:
            if not self.is_killed:
                self.on_crash(f"{self.name} ended with {error!r}")
        self.close()

    async def call_outside(
        self, function: Callable[..., Awaitable[Any]], *args: Any, **options: Any
    ) -> Any:
        """Await a call that runs in a task outside of this process."""
        scope = anyio.CancelScope()
        finished = anyio.Event()
        results: list[tuple[Any, Exception | None]] = []
        self.link_count += 1
        link = self.link_count

        async def run() -> None:
            with scope:
                try:
                    results.append((await function(*args, **options), None))
                except Exception as error:
                    results.append((None, error))
            self.links.pop(link, None)
            finished.set()

        self.links[link] = scope
        self.outside.start_soon(run)
        try:
            await finished.wait()
        finally:
            scope.cancel()
        if not results:
            # The process was closed meanwhile.
            await anyio.sleep_forever()
        result, error = results[0]
        if error is not None:
            raise error
        return result

    def pause(self) -> None:
        """Freeze all tasks of the process."""
        self.is_paused = True
        self.freezer.freeze(self.root)

    def resume(self) -> None:
        """Let the tasks go on."""
        self.is_paused = False
        self.freezer.thaw(self.root)

    def kill(self) -> None:
        """End the process at once: it is frozen for ever and its connections break."""
        self.is_killed = True
        self.freezer.freeze(self.root)
        self.close()

    def close(self) -> None:
        """Break all connections."""
        server = self.peers.servers.get(self.address)
        if server is not None and server.handler == self.node.handle:
            del self.peers.servers[self.address]
        for scope in list(self.links.values()):
            scope.cancel()
        self.closed.set()

    def stop(self) -> None:
        """Drain gracefully, as on SIGTERM."""
        self.drain_at = anyio.current_time()
        self.group.start_soon(self.node.stop)
