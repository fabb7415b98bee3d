"""Gateway process: streams, VM list, pools of requests, health and drain."""

import functools
import random
import time
from collections.abc import Callable

import anyio
import logbook

from gypsumring.documents import DocumentError, DocumentStore
from gypsumring.exceptions import PortError
from gypsumring.gateway.app import GatewayApp
from gypsumring.messages.codec import (
    DecodeError,
)
from gypsumring.messages.peer import (
    ConfigTail,
    ControlTail,
    LogTail,
    ReadPeerLog,
)
from gypsumring.metrics import Metrics, RefusalReason
from gypsumring.ownership import ControlFold
from gypsumring.ports import (
    Log,
    PeerClient,
    Upstreams,
    VmEntry,
    VmList,
    VmListUnavailable,
    VmRole,
)
from gypsumring.requests import (
    KeyClient,
    OwnerCaller,
    RequestPool,
    SlotHolder,
    parse_routing,
)
from gypsumring.settings import GatewaySettings
from gypsumring.streams import Stream, open_config_stream, open_control_stream

__all__ = ["GatewayNode"]

log = logbook.Logger("gateway")

# Members asked for their configuration when the log gives no answer: one may be cut
# off itself, and three bound the messages of an outage.
PEERS_ASKED = 3
PEER_RECORDS = 1_000
# Outcomes of keys that are still unreported at the end of a drain become unknown;
# waiting longer for the log would block the replacement of the VM.
REPORT_DRAIN_S = 20.0
DRAIN_POLL_S = 0.05


class GatewayNode:
    """Serve callers from one gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        log: Log,
        vm_list: VmList,
        upstreams: Upstreams,
        peers: PeerClient,
        metrics: Metrics,
        random_source: random.Random,
        unix_time: Callable[[], float] = time.time,
        control: ControlFold | None = None,
    ):
        self.settings = settings
        self.vm_list = vm_list
        self.upstreams = upstreams
        self.peers = peers
        self.metrics = metrics
        self.random_source = random_source
        self.unix_time = unix_time
        # A later process of this node has a larger incarnation.
        self.incarnation = int(unix_time() * 1000)
        timing = settings.timing
        self.control_stream = open_control_stream(
            log, settings.node, metrics, random_source, timing
        )
        self.config_stream = open_config_stream(
            log, settings.node, metrics, random_source, timing
        )
        self.control = control if control is not None else ControlFold()
        self.control_stream.subscribe(self.control.apply, self.control.handle_gap)
        self.documents = DocumentStore(
            self.config_stream, metrics, timing, random_source
        )
        self.caller = OwnerCaller(
            "gateway", peers, self.owner_address, timing, metrics, random_source
        )
        self.keys = KeyClient(settings.node, settings.cell.ledgers, self.caller)
        self.routing = parse_routing(settings.routing)
        self.pools: dict[str, RequestPool] = {}
        self.vms: tuple[VmEntry, ...] = ()
        self.vm_list_version = 0
        self.is_draining = False
        self.refuses_new = False
        self.task_group: anyio.abc.TaskGroup | None = None
        self.app = GatewayApp(self)

    async def run(self) -> None:
        """Run until ``stop`` has drained the node."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            task_group.start_soon(self.control_stream.run)
            task_group.start_soon(self.config_stream.run)
            task_group.start_soon(self.documents.run)
            task_group.start_soon(self.keys.run)
            task_group.start_soon(self.poll_vm_list)
            task_group.start_soon(self.follow_members)
            for pool in self.pools.values():
                task_group.start_soon(pool.run)

    async def stop(self) -> None:
        """Drain: leave the balancer, finish requests in flight, return permits."""
        if self.is_draining:
            return
        self.is_draining = True
        log.info("draining")
        await anyio.sleep(self.settings.timing.drain_notice_ms / 1000)
        self.refuses_new = True
        while self.app.active or any(pool.in_flight for pool in self.pools.values()):
            await anyio.sleep(DRAIN_POLL_S)
        with anyio.move_on_after(REPORT_DRAIN_S):
            while self.keys.reporting:
                await anyio.sleep(DRAIN_POLL_S)
        with anyio.move_on_after(self.settings.timing.call_ms / 1000):
            async with anyio.create_task_group() as task_group:
                for _, pool in sorted(self.pools.items()):
                    task_group.start_soon(pool.holder.return_all)
        log.info("drained")
        if self.task_group is not None:
            self.task_group.cancel_scope.cancel()

    # --- views ----------------------------------------------------------------------

    def owner_address(self, shard: str) -> str | None:
        """Return the peer address of a shard's owner."""
        owner = self.control.owner(shard)
        return owner.peer_address if owner is not None else None

    def describe_owner(self, shard: str) -> dict[str, object] | None:
        """Return the owner of a shard as plain data."""
        owner = self.control.owner(shard)
        if owner is None:
            return None
        return {"node": owner.node, "epoch": owner.epoch}

    def unready_reason(self) -> RefusalReason | None:
        """Return why the balancer should send no requests here, if so."""
        if self.is_draining:
            return RefusalReason.DRAINING
        has_read = self.config_stream.fresh_at > float("-inf")
        if not has_read and self.documents.offset_in_force < 0:
            # A new process knows no service until it has read the log or a peer.
            return RefusalReason.STALE_CONFIG
        if not self.documents.is_fresh():
            return RefusalReason.STALE_CONFIG
        return None

    def describe(self) -> dict[str, object]:
        """Return the state of this node as plain data."""
        return {
            "node": self.settings.node,
            "incarnation": self.incarnation,
            "ready": self.unready_reason() is None,
            "draining": self.is_draining,
            "config_offset": self.documents.offset_in_force,
            "control_offset": self.control_stream.next_offset,
            "vm_list_version": self.vm_list_version,
            "active": self.app.active,
            "pools": {
                name: {
                    "queued": pool.queue.length,
                    "in_flight": pool.in_flight,
                    "executors": {
                        executor_name: {
                            "slots": executor.slots,
                            "busy": executor.busy,
                            "leaving": executor.leaving,
                            "ejected": executor.ejected_until is not None,
                            "latency_s": executor.latency_s,
                        }
                        for executor_name, executor in sorted(
                            pool.holder.executors.items()
                        )
                    },
                }
                for name, pool in sorted(self.pools.items())
            },
        }

    def snapshot_metrics(self) -> dict[str, object]:
        """Return all metrics with current gauges."""
        self.metrics.set_gauge("gateway.active", self.app.active)
        self.metrics.set_gauge("keys.reporting", self.keys.reporting)
        for name, pool in self.pools.items():
            self.metrics.set_gauge(f"requests.queued.{name}", pool.queue.length)
            self.metrics.set_gauge(f"requests.in_flight.{name}", pool.in_flight)
        return self.metrics.snapshot()

    def make_request_id(self) -> str:
        """Return a new random request id."""
        return f"{self.random_source.getrandbits(128):032x}"

    def pool(self, name: str) -> RequestPool:
        """Return the request pool of a name, started on first use."""
        pool = self.pools.get(name)
        if pool is None:
            settings = self.settings
            make_holder = functools.partial(
                SlotHolder,
                pool=name,
                gateway=settings.node,
                incarnation=self.incarnation,
                timing=settings.timing,
                routing=self.routing,
                peers=self.peers,
                upstreams=self.upstreams,
                owner_address=self.owner_address,
                metrics=self.metrics,
                random_source=self.random_source,
            )
            shares = {team: s.share for team, s in settings.cell.teams.items()}
            pool = RequestPool(make_holder, settings.queue_limit, shares, self.metrics)
            self.pools[name] = pool
            pool.update_vms(self.vms)
            if self.task_group is not None:
                self.task_group.start_soon(pool.run)
        return pool

    # --- tasks ----------------------------------------------------------------------

    async def poll_vm_list(self) -> None:
        """Read the VM list and hold permits for each listed pool."""
        while True:
            try:
                with anyio.move_on_after(self.settings.timing.call_ms / 1000):
                    listing = await self.vm_list.list_vms()
                    if listing.version >= self.vm_list_version:
                        self.apply_listing(listing.version, listing.vms)
            except VmListUnavailable:
                self.metrics.count("gateway.vm_list_unavailable")
            await anyio.sleep(self.settings.timing.vm_list_poll_ms / 1000)

    def apply_listing(self, version: int, vms: tuple[VmEntry, ...]) -> None:
        """Apply one listing to all pools."""
        self.vm_list_version = version
        self.vms = vms
        for name in sorted({vm.pool for vm in vms if vm.pool}):
            self.pool(name)
        for pool in list(self.pools.values()):
            pool.update_vms(vms)

    async def follow_members(self) -> None:
        """Read both streams from members while the log gives no answer."""
        while True:
            await anyio.sleep(self.settings.timing.renew_ms / 1000)
            silent_s = self.settings.timing.staleness_ms / 2000
            for stream in (self.config_stream, self.control_stream):
                if anyio.current_time() - stream.fresh_at > silent_s:
                    await self.ask_members(stream)

    def peer_addresses(self) -> dict[str, str]:
        """Return addresses of members, or of all entry VMs while none is known."""
        members = {name: m.peer_address for name, m in self.control.members.items()}
        listed = {vm.name: vm.address for vm in self.vms if vm.role is VmRole.ENTRY}
        return members or listed

    async def ask_members(self, stream: Stream) -> None:
        """Ask some members for records that this node lacks."""
        addresses = self.peer_addresses()
        chosen = self.random_source.sample(
            sorted(addresses), min(PEERS_ASKED, len(addresses))
        )
        deadline = anyio.current_time() + self.settings.timing.call_ms / 1000
        for node in chosen:
            message = ReadPeerLog(stream.name, stream.next_offset, PEER_RECORDS)
            try:
                with anyio.fail_at(deadline):
                    reply = await self.peers.call(addresses[node], message, deadline)
            except (PortError, TimeoutError):
                continue
            match reply:
                case LogTail(records) if records:
                    stream.ingest(records)
                    if stream is self.config_stream:
                        self.documents.note_peer_offset(node, records[-1][0])
                case ConfigTail(covers_offset, state):
                    self.documents.note_peer_offset(node, covers_offset - 1)
                    self.import_state(self.documents, stream, covers_offset, state)
                case ControlTail(covers_offset, state):
                    self.import_state(self.control, stream, covers_offset, state)

    def import_state(
        self,
        fold: DocumentStore | ControlFold,
        stream: Stream,
        covers_offset: int,
        state: bytes,
    ) -> None:
        """Go on from a peer's state where its records no longer reach back to ours."""
        if covers_offset <= stream.next_offset:
            return
        try:
            fold.import_state(covers_offset, state)
        except (DecodeError, DocumentError) as error:
            self.metrics.count("gateway.peer_state_malformed")
            log.warning("the state of a peer is malformed: {}", error)
        else:
            stream.restart_after_gap(covers_offset)
