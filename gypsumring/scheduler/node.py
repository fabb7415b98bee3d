"""Scheduler process: streams, membership and the services of its shards."""

import random
import time
from collections.abc import Callable

import anyio
import logbook
from anyio.abc import TaskGroup

from gypsumring.documents import DocumentError, DocumentStore
from gypsumring.exceptions import PortError
from gypsumring.messages.codec import (
    DecodeError,
    decode_control_batch,
)
from gypsumring.messages.peer import (
    AbandonKey,
    Acknowledged,
    AppendForPeer,
    CancelJobs,
    ClaimKey,
    CompleteKey,
    ConfigTail,
    Explain,
    Explanation,
    Heartbeat,
    LogTail,
    PeerMessage,
    PeerReply,
    QueryJob,
    RackSummary,
    ReadPeerLog,
    ReportTasks,
    SubmitJob,
)
from gypsumring.metrics import Metrics, RefusalReason
from gypsumring.ownership import OwnershipKeeper, PeerSeen
from gypsumring.ports import (
    Log,
    LogUnavailable,
    PeerClient,
    PeerRejected,
    Upstreams,
    VmList,
    VmListing,
    VmListUnavailable,
    VmRole,
)
from gypsumring.scheduler.services import make_service
from gypsumring.scheduler.vm_watch import VmWatch
from gypsumring.settings import SchedulerSettings
from gypsumring.shards import ShardContext, ShardService
from gypsumring.streams import open_config_stream, open_control_stream
from gypsumring.utils.backoff import backoff_s
from gypsumring.utils.hashing import rank_by_rendezvous

__all__ = ["SchedulerNode"]

logger = logbook.Logger("scheduler")

RESTART_BASE_MS = 100
RESTART_LIMIT_MS = 5_000
# A relayed append carries one renewal; anything larger is not from a keeper.
MAX_RELAYED_BYTES = 4_096
RELAY_LIMIT = 1_000
# Entry VMs asked for records at a start without the log.
PEERS_ASKED = 8


class RunningShard:
    """Hold the service of one owned shard and the scope that it runs in.

    ``inherited_state`` is None when grants of an earlier owner may be outstanding
    that nobody passed on.
    """

    __slots__ = ("epoch", "inherited_state", "restarts", "scope", "service", "shard")

    def __init__(self, shard: str, epoch: int, inherited_state: bytes | None):
        self.shard = shard
        self.epoch = epoch
        self.inherited_state = inherited_state
        self.scope = anyio.CancelScope()
        self.service: ShardService | None = None
        self.restarts = 0


class SchedulerNode:
    """Run the shards that this process owns and answer its peers."""

    def __init__(
        self,
        settings: SchedulerSettings,
        log: Log,
        vm_list: VmList,
        upstreams: Upstreams,
        peers: PeerClient,
        metrics: Metrics,
        random_source: random.Random,
        unix_time: Callable[[], float] = time.time,
        make_service: Callable[[ShardContext], ShardService] = make_service,
    ):
        self.settings = settings
        self.log = log
        self.vm_list = vm_list
        self.upstreams = upstreams
        self.peers = peers
        self.metrics = metrics
        self.random_source = random_source
        self.make_service = make_service
        # A later process of this node has a larger incarnation.
        self.incarnation = int(unix_time() * 1000)
        self.unix_time = unix_time
        timing = settings.timing
        self.timing = timing
        self.control_stream = open_control_stream(
            log, settings.node, metrics, random_source, timing
        )
        self.config_stream = open_config_stream(
            log, settings.node, metrics, random_source, timing
        )
        self.documents = DocumentStore(
            self.config_stream,
            metrics,
            timing,
            random_source,
            self.is_snapshot_writer,
        )
        self.keeper = OwnershipKeeper(
            node=settings.node,
            incarnation=self.incarnation,
            peer_address=settings.peer_address,
            region=settings.region,
            data_centre=settings.data_centre,
            stream=self.control_stream,
            peers=peers,
            host=self,
            timing=timing,
            metrics=metrics,
            random_source=random_source,
        )
        self.shards: dict[str, RunningShard] = {}
        self.racks: dict[str, tuple[float, RackSummary]] = {}
        self.shard_names: list[str] = list(settings.cell.ledgers)
        self.rack_regions: dict[str, str] = {}
        self.vm_watch = VmWatch(timing, metrics)
        self.is_draining = False
        self.group: TaskGroup | None = None

    # --- tasks ------------------------------------------------------------------

    async def run(self) -> None:
        """Run until ``stop`` has handed off every shard, or until cancelled."""
        self.note_listening()
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.control_stream.run)
            group.start_soon(self.config_stream.run)
            group.start_soon(self.documents.run)
            group.start_soon(self.poll_vm_list)
            await self.catch_up()
            group.start_soon(self.keeper.run)
            group.start_soon(self.confirm_configuration)

    def note_listening(self) -> None:
        """Note that the peer address is bound, so that no predecessor is running."""
        self.keeper.started_at = anyio.current_time()

    async def stop(self) -> None:
        """Drain and hand off every shard, leave the cell and end ``run``."""
        if self.is_draining:
            return
        self.is_draining = True
        logger.info("draining {} shards", len(self.shards))
        await self.keeper.leave()
        logger.info("left the cell")
        if self.group is not None:
            self.group.cancel_scope.cancel()

    async def catch_up(self) -> None:
        """Read the control stream, from a peer if the log does not answer."""
        call_s = self.timing.call_ms / 1000
        while True:
            with anyio.move_on_after(call_s):
                await self.control_stream.wait_caught_up()
                return
            self.metrics.count("scheduler.starts_without_log")
            if await self.read_from_entry_vms():
                return

    async def read_from_entry_vms(self) -> bool:
        """Take in the records of listed entry VMs; tell whether one had any."""
        addresses = sorted(
            vm.address
            for vm in self.vm_watch.vms
            if vm.role == VmRole.ENTRY and vm.address != self.settings.peer_address
        )
        chosen = self.random_source.sample(addresses, min(PEERS_ASKED, len(addresses)))
        for address in chosen:
            if await self.keeper.relay.read_from_peer(address):
                await self.read_config_from(address)
        return self.control_stream.next_offset > 0

    async def confirm_configuration(self) -> None:
        """Read the configuration from members while the log gives no answer."""
        while True:
            await anyio.sleep(self.timing.renew_ms / 1000)
            if self.documents.log_answered_within(self.timing.staleness_ms / 2000):
                continue
            ahead = [
                seen
                for seen in self.keeper.seen.values()
                if seen.config_offset > self.documents.offset_in_force
            ]
            if ahead:
                peer = max(ahead, key=lambda seen: (seen.config_offset, seen.node))
                await self.read_config_from(peer.peer_address)

    async def read_config_from(self, address: str) -> None:
        """Take in the configuration of a peer."""
        message = ReadPeerLog("config", self.documents.offset_in_force + 1, RELAY_LIMIT)
        deadline = anyio.current_time() + self.timing.call_ms / 1000
        try:
            reply = await self.peers.call(address, message, deadline)
            match reply:
                case LogTail(records):
                    self.config_stream.ingest(records)
                case ConfigTail(covers_offset, state):
                    self.documents.import_state(covers_offset, state)
        except (PortError, DocumentError):
            self.metrics.count("scheduler.config_reads_failed")

    async def poll_vm_list(self) -> None:
        """Follow the VM list."""
        while True:
            try:
                with anyio.fail_after(self.timing.call_ms / 1000):
                    self.apply_listing(await self.vm_list.list_vms())
            except (VmListUnavailable, TimeoutError):
                self.metrics.count("scheduler.vm_list_unavailable")
            await anyio.sleep(self.timing.vm_list_poll_ms / 1000)

    def apply_listing(self, listing: VmListing) -> None:
        """Take in a listing; an older one than the last is ignored."""
        if listing.version < self.vm_watch.version:
            return
        self.keeper.observe_listing(listing)
        now = anyio.current_time()
        if not self.vm_watch.apply(listing, now):
            return
        racks = set()
        for vm in (*listing.vms, *self.vm_watch.list_unlisted_workers(now)):
            if vm.role in (VmRole.WORKER, VmRole.EXECUTOR):
                racks.add(vm.shard)
                self.rack_regions[vm.shard] = vm.region
        self.shard_names = [*self.settings.cell.ledgers, *sorted(racks)]

    # --- host of the keeper -------------------------------------------------------

    def on_acquired(
        self, shard: str, epoch: int, inherited_state: bytes | None
    ) -> None:
        """Start the service of a shard."""
        if epoch == 1:
            # Nobody has owned the shard before.
            inherited_state = b""
        running = RunningShard(shard, epoch, inherited_state)
        self.shards[shard] = running
        if self.group is not None:
            self.group.start_soon(self.run_shard, running)

    def on_lost(self, shard: str) -> None:
        """Cancel the service of a shard."""
        running = self.shards.pop(shard, None)
        if running is not None:
            running.scope.cancel()

    async def drain_shard(self, shard: str) -> bytes | None:
        """Stop starting work, wait for calls in flight and return what to pass on."""
        running = self.shards.get(shard)
        if running is None or running.service is None:
            return None
        await running.service.drain()
        return running.service.export_state()

    def list_shards(self) -> list[str]:
        """Return all ledgers and the racks with a worker or an executor."""
        return self.shard_names

    def region_of(self, shard: str) -> str | None:
        """Return the region of a shard."""
        if shard.startswith("ledger/"):
            return shard.split("/")[1]
        return self.rack_regions.get(shard)

    def config_offset(self) -> int:
        """Return the config offset in force."""
        return self.documents.offset_in_force

    def summarize_racks(self) -> tuple[RackSummary, ...]:
        """Return the summaries of the racks that may be acted on here."""
        now = anyio.current_time()
        summaries = []
        for shard in sorted(self.shards):
            service = self.shards[shard].service
            if service is None or self.keeper.may_act_until(shard) <= now:
                continue
            summary = service.summarize()
            if summary is not None:
                summaries.append(summary)
        return tuple(summaries)

    def on_peer_seen(self, seen: PeerSeen, racks: tuple[RackSummary, ...]) -> None:
        """Remember the summaries and the config offset of a peer."""
        self.documents.note_peer_offset(seen.node, seen.config_offset)
        for summary in racks:
            known = self.racks.get(summary.shard)
            if known is None or known[1].epoch <= summary.epoch:
                self.racks[summary.shard] = (seen.at, summary)

    def list_racks(self) -> list[RackSummary]:
        """Return the latest summaries, without those that are no longer repeated."""
        own = {summary.shard: summary for summary in self.summarize_racks()}
        oldest = anyio.current_time() - self.timing.staleness_ms / 1000
        self.racks = {s: known for s, known in self.racks.items() if known[0] > oldest}
        summaries = {shard: known[1] for shard, known in self.racks.items()} | own
        return [summaries[shard] for shard in sorted(summaries)]

    def is_snapshot_writer(self) -> bool:
        """Tell whether this node writes the snapshots of the configuration."""
        members = rank_by_rendezvous("config", self.keeper.fold.members)
        return members[:1] == [self.settings.node]

    # --- services -----------------------------------------------------------------

    async def run_shard(self, running: RunningShard) -> None:
        """Run a shard's service, again after an unexpected error, until it is lost."""
        with running.scope:
            while True:
                context = self.make_context(running)
                try:
                    running.service = self.make_service(context)
                    await running.service.run()
                    logger.error("the service of {} ended", running.shard)
                except Exception:
                    logger.exception("the service of {} failed", running.shard)
                running.service = None
                # The failed service may have granted more than it inherited.
                running.inherited_state = None
                running.restarts += 1
                self.metrics.count("scheduler.service_restarts")
                await anyio.sleep(
                    backoff_s(
                        running.restarts,
                        RESTART_BASE_MS,
                        RESTART_LIMIT_MS,
                        self.random_source,
                    )
                )

    def make_context(self, running: RunningShard) -> ShardContext:
        """Return the context of a shard at one epoch."""
        shard = running.shard
        epoch = running.epoch

        def may_act_until() -> float:
            # A shard that was lost and acquired again has a service of its own.
            current = self.shards.get(shard)
            if current is None or current.epoch != epoch:
                return float("-inf")
            return self.keeper.may_act_until(shard)

        return ShardContext(
            shard=shard,
            epoch=epoch,
            inherited_state=running.inherited_state,
            list_unlisted_workers=lambda: self.vm_watch.list_unlisted_workers(
                anyio.current_time()
            ),
            list_trusted_at=lambda: self.vm_watch.trusted_at,
            restarts=running.restarts,
            node=self.settings.node,
            peer_address=self.settings.peer_address,
            cell=self.settings.cell,
            timing=self.timing,
            may_act_until=may_act_until,
            owner_address=self.keeper.owner_address,
            list_racks=self.list_racks,
            list_vms=lambda: list(self.vm_watch.vms),
            documents=self.documents,
            log=self.log,
            peers=self.peers,
            upstreams=self.upstreams,
            metrics=self.metrics,
            random_source=self.random_source,
            unix_time=self.unix_time,
        )

    # --- peer messages ------------------------------------------------------------

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message; raise PeerRejected."""
        match message:
            case Heartbeat():
                return await self.keeper.handle_heartbeat(sender, message)
            case AppendForPeer():
                return await self.append_for_peer(message)
            case ReadPeerLog():
                return self.read_log_for_peer(message)
            case Explain():
                return self.explain(message)
        shard = target_shard(message)
        running = self.shards.get(shard)
        if running is None or self.keeper.may_act_until(shard) <= anyio.current_time():
            self.metrics.refuse("scheduler", RefusalReason.NOT_OWNER)
            raise PeerRejected(RefusalReason.NOT_OWNER)
        if running.service is None:
            self.metrics.refuse("scheduler", RefusalReason.RECOVERING)
            raise PeerRejected(RefusalReason.RECOVERING)
        return await running.service.handle(sender, message)

    async def append_for_peer(self, message: AppendForPeer) -> Acknowledged:
        """Append a renewal for a peer that cannot reach the log."""
        if message.stream != "control" or len(message.payload) > MAX_RELAYED_BYTES:
            raise PeerRejected(RefusalReason.BAD_REQUEST)
        try:
            decode_control_batch(message.payload)
            with anyio.fail_after(self.timing.call_ms / 1000):
                await self.log.append(message.stream, message.payload)
        except DecodeError as error:
            raise PeerRejected(RefusalReason.BAD_REQUEST) from error
        except (LogUnavailable, TimeoutError) as error:
            raise PeerRejected(RefusalReason.LOG_UNAVAILABLE) from error
        return Acknowledged()

    def read_log_for_peer(self, message: ReadPeerLog) -> PeerReply:
        """Return records or the state that this node has read."""
        if message.stream == "control":
            return self.keeper.relay.read_log_for_peer(message)
        if message.stream != "config":
            raise PeerRejected(RefusalReason.BAD_REQUEST)
        stream = self.config_stream
        if message.start_offset < stream.first_recent_offset:
            return ConfigTail(*self.documents.export_state())
        records = stream.recent(message.start_offset, min(message.limit, RELAY_LIMIT))
        return LogTail(records, stream.first_recent_offset)

    def explain(self, message: Explain) -> Explanation:
        """Explain who owns a shard, and ask its service if it is owned here."""
        view = self.keeper.fold.owner(message.shard)
        owner = f"{view.node} at epoch {view.epoch}" if view is not None else "nobody"
        lines = [
            ("answered by", self.settings.node),
            ("owner by the log", owner),
        ]
        left_s = self.keeper.may_act_until(message.shard) - anyio.current_time()
        if left_s > 0:
            lines.append(("lease", f"{left_s:.1f} s left"))
        running = self.shards.get(message.shard)
        if running is None:
            return Explanation(tuple(lines))
        lines.append(("epoch", str(running.epoch)))
        if running.service is None:
            lines.append(("service", f"restarting, {running.restarts} restarts"))
            return Explanation(tuple(lines))
        explanation = running.service.explain(message.subject, message.name)
        return Explanation((*lines, *explanation.lines))

    # --- views --------------------------------------------------------------------

    def unready_reason(self) -> RefusalReason | None:
        """Return why this node is not healthy, if so."""
        if self.is_draining:
            return RefusalReason.DRAINING
        if not self.documents.is_fresh():
            return RefusalReason.STALE_CONFIG
        return None

    def describe(self) -> dict[str, object]:
        """Return the state of this node as plain data."""
        now = anyio.current_time()
        return {
            "node": self.settings.node,
            "incarnation": self.incarnation,
            "draining": self.is_draining,
            "config_offset": self.documents.offset_in_force,
            "control_offset": self.control_stream.next_offset,
            "vm_list_version": self.vm_watch.version,
            "members": sorted(self.keeper.fold.members),
            "shards": {
                shard: {
                    "epoch": self.shards[shard].epoch,
                    "lease_s": round(self.keeper.may_act_until(shard) - now, 3),
                    "restarts": self.shards[shard].restarts,
                }
                for shard in sorted(self.shards)
            },
        }


def target_shard(message: PeerMessage) -> str:
    """Return the shard that a message is for."""
    match message:
        # A report comes from a rack and names it, but goes to the ledger.
        case ReportTasks() | ClaimKey() | CompleteKey() | AbandonKey():
            return message.ledger
        case SubmitJob() | CancelJobs() | QueryJob():
            return message.ledger
    return message.shard
