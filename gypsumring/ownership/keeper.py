"""Keep the shards that this process owns."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import logbook
import msgspec
from anyio.abc import TaskGroup

from gypsumring.exceptions import PortError
from gypsumring.messages.peer import (
    Heartbeat,
    HeartbeatReply,
    RackSummary,
    pack_summary,
    unpack_summary,
)
from gypsumring.messages.records import (
    Claim,
    ControlBody,
    ControlSnapshot,
    MemberJoined,
    MemberLeft,
    MemberRemoved,
    Record,
    Release,
    Renew,
)
from gypsumring.metrics import Metrics
from gypsumring.ownership.decisions import (
    NEVER,
    Holding,
    extend_holding,
    first_time_to_act,
    may_promise,
)
from gypsumring.ownership.fold import SNAPSHOT_PREFIX, ControlFold, Member, OwnerView
from gypsumring.ownership.promises import PromiseBook
from gypsumring.ownership.relay import ControlRelay
from gypsumring.ownership.witness import VmListWitness
from gypsumring.ports import PeerClient, VmListing
from gypsumring.settings import TimingSettings
from gypsumring.streams import AppendUnconfirmed, Stream
from gypsumring.utils.hashing import rank_by_rendezvous
from gypsumring.utils.snapshots import append_snapshot, split_state

__all__ = ["KeeperHost", "OwnershipKeeper", "PeerSeen"]

log = logbook.Logger("ownership")

# Shards handed off in one renewal interval after a join; more would make many
# shards recover at the same time.
HANDOFFS_PER_ROUND = 4
# Renewals whose append has no answer yet; later ones wait for one to end.
MAX_RENEWALS_PENDING = 4
LEAVE_ROUNDS = 20
# Nine nodes write 5,000 control records in nine minutes; see also documents.store.
SNAPSHOT_EVERY_RECORDS = 2_000
SNAPSHOT_EVERY_S = 600.0
SNAPSHOT_CHECK_S = 5.0


class KeeperHost(Protocol):
    """What the keeper needs from the process that runs the shards."""

    def on_acquired(
        self, shard: str, epoch: int, inherited_state: bytes | None
    ) -> None:
        """Start serving a shard with the state that its last owner released."""

    def on_lost(self, shard: str) -> None:
        """Stop serving a shard at once."""

    async def drain_shard(self, shard: str) -> bytes | None:
        """Stop starting work, wait for calls in flight and return what to pass on."""

    def list_shards(self) -> list[str]:
        """Return the names of all shards that exist."""

    def region_of(self, shard: str) -> str | None:
        """Return the region of a shard, or None if it is unknown."""

    def config_offset(self) -> int:
        """Return the offset of the configuration in force."""

    def summarize_racks(self) -> tuple[RackSummary, ...]:
        """Return the summaries of the rack shards owned here."""

    def on_peer_seen(self, seen: "PeerSeen", racks: tuple[RackSummary, ...]) -> None:
        """Take in what a peer reported in a heartbeat."""


class PeerSeen(msgspec.Struct, frozen=True):
    """Hold the last heartbeat or reply of a peer; ``at`` is the time of receipt."""

    node: str
    incarnation: int
    peer_address: str
    control_offset: int
    config_offset: int
    at: float


class OwnershipKeeper:
    """Renew, claim, promise and hand off on behalf of one scheduler process."""

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        peer_address: str,
        region: str,
        data_centre: str,
        stream: Stream,
        peers: PeerClient,
        host: KeeperHost,
        timing: TimingSettings,
        metrics: Metrics,
        random_source: random.Random,
        clock: Callable[[], float] = anyio.current_time,
        snapshot_every_records: int = SNAPSHOT_EVERY_RECORDS,
    ):
        self.node = node
        self.incarnation = incarnation
        self.peer_address = peer_address
        self.region = region
        self.data_centre = data_centre
        self.stream = stream
        self.peers = peers
        self.host = host
        self.timing = timing
        self.metrics = metrics
        self.random_source = random_source
        self.clock = clock
        self.snapshot_every_records = snapshot_every_records
        self.lease_s = timing.lease_ms / 1000
        self.renew_s = timing.renew_ms / 1000
        self.promise_s = timing.promise_ms / 1000
        self.heartbeat_s = timing.heartbeat_ms / 1000
        self.fold = ControlFold()
        self.promises = PromiseBook(timing)
        self.witness = VmListWitness(metrics)
        self.relay = ControlRelay(
            node, stream, self.fold, peers, timing, metrics, random_source, clock
        )
        self.started_at = clock()
        self.confirmed_sent_at = NEVER
        self.renewals_pending = 0
        self.holdings: dict[str, Holding] = {}
        self.appending: set[str] = set()
        self.claimable_since: dict[str, float] = {}
        self.fresh_since: float | None = None
        self.read_at: dict[str, float] = {}
        self.seen: dict[str, PeerSeen] = {}
        # When a peer last had control records that this process lacked.
        self.ahead_at: dict[str, float] = {}
        # Draining stops claims and joins; leaving also stops renewals.
        self.draining = False
        self.leaving = False
        # Renewals of others that this process may have missed were before this time.
        self.read_floor = NEVER
        stream.subscribe(self.on_record, self.on_gap)

    # --- questions --------------------------------------------------------------

    def may_act_until(self, shard: str) -> float:
        """Return the monotonic time up to which this process may act on a shard."""
        holding = self.holdings.get(shard)
        return holding.until if holding is not None and holding.active else NEVER

    def epoch(self, shard: str) -> int:
        """Return the epoch under which a shard is held here, else by the log."""
        holding = self.holdings.get(shard)
        return holding.epoch if holding is not None else self.fold.epoch(shard)

    def owner_address(self, shard: str) -> str | None:
        """Return the peer address of a shard's owner, or None if unknown."""
        if self.may_act_until(shard) > self.clock():
            return self.peer_address
        view = self.fold.owner(shard)
        if view is None:
            return None
        holder = self.promises.find_holder(shard, self.clock())
        if holder is not None and holder != view.node:
            seen = self.seen.get(holder)
            return seen.peer_address if seen is not None else None
        return view.peer_address

    def is_fresh(self) -> bool:
        """Tell whether this process has read the end of the control stream lately."""
        return self.clock() - self.stream.fresh_at <= 2 * self.renew_s

    # --- tasks ------------------------------------------------------------------

    async def run(self) -> None:
        """Keep the shards until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.run_renewals, group)
            group.start_soon(self.run_heartbeats, group)
            group.start_soon(self.run_claims)
            group.start_soon(self.run_rebalancing)
            group.start_soon(self.run_membership)
            group.start_soon(self.run_snapshots)

    async def run_renewals(self, group: TaskGroup) -> None:
        """Renew once per interval; have a peer append when the log does not answer."""
        while True:
            sent_at = self.clock()
            if self.fold.is_member(self.node, self.incarnation) and not self.leaving:
                if self.renewals_pending < MAX_RENEWALS_PENDING:
                    group.start_soon(self.renew)
                # A confirmed renewal is one interval old at the next one.
                if sent_at - self.confirmed_sent_at > 1.5 * self.renew_s:
                    group.start_soon(self.renew_through_peer)
            await anyio.sleep_until(sent_at + self.renew_s)

    async def renew(self) -> None:
        """Append one renewal and count the lease from before its sending."""
        self.renewals_pending += 1
        try:
            receipt = await self.stream.append(
                [self.make_renewal()], 0, self.clock() + self.lease_s
            )
        except AppendUnconfirmed:
            self.metrics.count("ownership.renewals_unconfirmed")
            return
        finally:
            self.renewals_pending -= 1
        self.confirm(receipt.sent_at)

    def make_renewal(self) -> Renew:
        """Return a renewal record."""
        return Renew(self.node, self.incarnation, self.stream.next_offset)

    async def renew_through_peer(self) -> None:
        """Have the peer that reads the log and is furthest append a renewal."""
        ahead = [
            seen
            for node, seen in self.seen.items()
            if self.ahead_at.get(node, NEVER) + self.lease_s > self.clock()
        ]
        if ahead:
            peer = max(ahead, key=lambda seen: (seen.control_offset, seen.node))
            await self.relay.append_renewal(peer.peer_address, self.make_renewal())

    async def run_heartbeats(self, group: TaskGroup) -> None:
        """Run one heartbeat task for each other member."""
        scopes: dict[str, anyio.CancelScope] = {}
        while True:
            for node in sorted(self.fold.members):
                if node != self.node and node not in scopes:
                    scopes[node] = anyio.CancelScope()
                    group.start_soon(self.run_peer, node, scopes[node])
            for node in sorted(scopes):
                if node not in self.fold.members:
                    scopes.pop(node).cancel()
            await anyio.sleep(self.heartbeat_s)

    async def run_peer(self, node: str, scope: anyio.CancelScope) -> None:
        """Send heartbeats to one member and ask for promises when needed."""
        with scope:
            while True:
                sent_at = self.clock()
                member = self.fold.members.get(node)
                if member is not None:
                    await self.beat(member)
                await anyio.sleep_until(
                    max(sent_at + self.heartbeat_s, self.clock() + 0.01)
                )

    async def beat(self, member: Member) -> None:
        """Send one heartbeat and take in the reply."""
        sent_at = self.clock()
        message = self.make_heartbeat(sent_at)
        # A reply later than one promise would carry nothing usable.
        timeout_s = min(self.timing.call_ms / 1000, self.promise_s / 2)
        try:
            reply = await self.peers.call(
                member.peer_address, message, sent_at + timeout_s
            )
        except PortError:
            self.metrics.count("ownership.heartbeats_failed")
            return
        if not isinstance(reply, HeartbeatReply) or reply.node != member.node:
            self.metrics.count("ownership.heartbeats_misdirected")
            return
        seen = PeerSeen(
            reply.node,
            reply.incarnation,
            member.peer_address,
            reply.control_offset,
            reply.config_offset,
            self.clock(),
        )
        self.see_peer(seen)
        until = sent_at + min(reply.promise_ms, self.timing.promise_ms) / 1000
        self.promises.note_received(
            reply.node, reply.promised, message.owned_epochs, until
        )
        if message.promise_requested:
            self.update(self.clock())
        if reply.control_offset > self.stream.next_offset and not self.is_fresh():
            await self.relay.read_from_peer(member.peer_address)

    def see_peer(self, seen: PeerSeen, racks: tuple[RackSummary, ...] = ()) -> None:
        """Remember a peer unless an older incarnation is speaking."""
        known = self.seen.get(seen.node)
        if known is None or known.incarnation <= seen.incarnation:
            self.seen[seen.node] = seen
            if seen.control_offset > self.stream.next_offset:
                self.ahead_at[seen.node] = seen.at
            self.host.on_peer_seen(seen, racks)

    def make_heartbeat(self, now: float) -> Heartbeat:
        """Return a heartbeat that asks for promises if renewals are unconfirmed."""
        is_requested = self.needs_promises(now)
        epochs = {shard: holding.epoch for shard, holding in self.holdings.items()}
        return Heartbeat(
            self.node,
            self.incarnation,
            self.peer_address,
            self.stream.next_offset,
            self.host.config_offset(),
            is_requested,
            # Without a request the epochs would only cost bytes.
            epochs if is_requested else {},
            tuple(map(pack_summary, self.host.summarize_racks())),
        )

    def needs_promises(self, now: float) -> bool:
        """Tell whether a renewal has been unconfirmed for one interval."""
        return now - self.confirmed_sent_at > 2 * self.renew_s

    async def handle_heartbeat(self, sender: str, message: Heartbeat) -> HeartbeatReply:
        """Answer a peer's heartbeat and give the promises that may be given."""
        now = self.clock()
        known = self.seen.get(sender)
        # The transport may deliver a dead process's heartbeat late.
        outdated = known is not None and known.incarnation > message.incarnation
        promised: list[str] = []
        if not outdated:
            seen = PeerSeen(
                sender,
                message.incarnation,
                message.peer_address,
                message.control_offset,
                message.config_offset,
                now,
            )
            self.see_peer(seen, tuple(map(unpack_summary, message.racks)))
            if message.promise_requested:
                promised = self.give_promises(now, sender, message.owned_epochs)
        return HeartbeatReply(
            self.node,
            self.incarnation,
            self.stream.next_offset,
            self.host.config_offset(),
            tuple(promised),
            self.timing.promise_ms,
        )

    def give_promises(
        self, now: float, sender: str, epochs: dict[str, int]
    ) -> list[str]:
        """Promise not to act on the sender's shards; return those promised."""
        promised = []
        for shard, epoch in sorted(epochs.items()):
            view = self.fold.shards.get(shard)
            if may_promise(
                now,
                view,
                self.renewal_read_at(view),
                epoch,
                sender,
                self.node,
                self.promises.given.get(shard),
                self.holdings.get(shard),
                self.started_at,
                self.timing,
            ):
                self.promises.give(shard, sender, now)
                promised.append(shard)
                self.metrics.count("ownership.promises_given")
            else:
                self.metrics.count("ownership.promises_refused")
        return promised

    async def run_claims(self) -> None:
        """Claim shards without an owner and take over without the log."""
        tick_s = self.heartbeat_s / 5
        while True:
            now = self.clock()
            self.update(now)
            due = self.choose_claims(now)
            if due:
                await self.claim(due)
            if not self.is_fresh():
                self.start_takeovers(now)
            await anyio.sleep(tick_s)

    def update(self, now: float) -> None:
        """Extend, end and start holdings as of now."""
        if not self.is_fresh():
            self.fresh_since = None
        elif self.fresh_since is None:
            self.fresh_since = now
        for shard in sorted(self.holdings):
            self.update_holding(shard, now)

    def update_holding(self, shard: str, now: float) -> None:
        """Extend, end or start one holding."""
        holding = self.holdings.get(shard)
        if holding is None:
            return
        promise_until = NEVER
        if self.needs_promises(now) or holding.provisional:
            promise_until = self.promises.received_until(
                shard, holding.epoch, self.other_members(shard), now
            )
        lease_until = self.confirmed_sent_at + self.lease_s
        if not extend_holding(holding, now, lease_until, promise_until, self.timing):
            log.warning("lease of {} expired at epoch {}", shard, holding.epoch)
            self.metrics.count("ownership.lapsed")
            self.drop(shard)
            return
        if holding.active or now < holding.act_from or now >= holding.until:
            return
        if self.promises.find_holder(shard, now) not in (None, self.node):
            return
        holding.active = True
        log.info("acting as owner of {} at epoch {}", shard, holding.epoch)
        self.metrics.count("ownership.acquired")
        self.host.on_acquired(shard, holding.epoch, holding.inherited_state)

    def other_members(self, shard: str) -> list[Member]:
        """Return the members whose promises this node needs for a shard."""
        region = self.host.region_of(shard) or self.region
        return [
            member
            for member in self.fold.joined_in(region)
            if member.node != self.node and member.node not in self.witness.delisted
        ]

    def live_members(self, shard: str, now: float) -> list[str]:
        """Return eligible members in rendezvous order that renewed or answered."""
        region = self.host.region_of(shard)
        if region is None:
            return []
        live = []
        for member in self.fold.eligible_in(region):
            heard_at = self.read_at.get(member.node, NEVER)
            seen = self.seen.get(member.node)
            if seen is not None:
                heard_at = max(heard_at, seen.at)
            if member.node == self.node or (
                heard_at + self.lease_s > now
                and member.node not in self.witness.delisted
            ):
                live.append(member.node)
        return rank_by_rendezvous(shard, live)

    def choose_claims(self, now: float) -> dict[str, int]:
        """Return the shards to claim now with their expected epochs."""
        if (
            self.draining
            or self.fresh_since is None
            or not self.fold.is_complete
            or not self.fold.is_member(self.node, self.incarnation)
        ):
            return {}
        due = {}
        for shard in self.host.list_shards():
            if not self.is_claimable(shard, now):
                self.claimable_since.pop(shard, None)
                continue
            order = self.live_members(shard, now)
            if self.node not in order:
                continue
            since = self.claimable_since.setdefault(shard, now)
            view = self.fold.owner(shard)
            is_own = view is not None and view.node == self.node
            is_own = is_own or shard in self.holdings
            rank = 0 if is_own else order.index(self.node)
            if now >= since + rank * self.timing.claim_stagger_ms / 1000:
                due[shard] = self.fold.epoch(shard)
        return due

    def is_claimable(self, shard: str, now: float) -> bool:
        """Tell whether a shard has no owner that renews."""
        holding = self.holdings.get(shard)
        if shard in self.appending or (holding and not holding.provisional):
            return False
        if self.promises.find_holder(shard, now) not in (None, self.node):
            return False
        view = self.fold.owner(shard)
        if view is None or view.node == self.node:
            return True
        if view.node not in self.fold.members or holding is not None:
            return True
        # Renewals appended during an outage are read late, so silence counts from
        # the time at which this node's reads became fresh.
        silent_since = max(self.renewal_read_at(view), self.fresh_since or now)
        return now - silent_since >= self.lease_s

    def renewal_read_at(self, view: OwnerView | None) -> float:
        """Return when the owner's last renewal was read, at least the start time."""
        floor = max(self.started_at, self.read_floor)
        if view is None:
            return floor
        return max(floor, self.read_at.get(view.node, NEVER))

    async def claim(self, epochs: dict[str, int]) -> None:
        """Append one claim; the fold decides when it is read back."""
        self.appending.update(epochs)
        try:
            receipt = await self.stream.append(
                [Claim(self.node, self.incarnation, epochs)],
                0,
                self.clock() + self.lease_s / 2,
            )
        except AppendUnconfirmed:
            self.metrics.count("ownership.claims_unconfirmed")
        else:
            self.confirm(receipt.sent_at)
        finally:
            self.appending.difference_update(epochs)

    def start_takeovers(self, now: float) -> None:
        """Ask for promises to own rack shards of dead nodes while the log is down.

        Ledger shards are left alone: their state is only in the log.
        """
        if self.draining or not self.fold.is_complete:
            return
        for shard in self.host.list_shards():
            view = self.fold.owner(shard)
            if (
                not shard.startswith("rack/")
                or view is None
                or shard in self.holdings
                or shard in self.appending
            ):
                continue
            if view.node != self.node:
                if (
                    view.node in self.fold.members
                    and view.node not in self.witness.delisted
                ):
                    continue
                order = [n for n in self.live_members(shard, now) if n != view.node]
                if not order or order[0] != self.node:
                    continue
            elif self.region != self.host.region_of(shard):
                continue
            act_from = first_time_to_act(
                view,
                self.renewal_read_at(view),
                self.promises.given.get(shard),
                self.node,
                self.incarnation,
                self.started_at,
                self.timing,
            )
            self.holdings[shard] = Holding(
                shard, view.epoch + 1, act_from, provisional=True
            )
            self.metrics.count("ownership.takeovers_started")

    async def run_rebalancing(self) -> None:
        """Hand shards to their preferred owners, a few per renewal interval."""
        while True:
            await anyio.sleep(self.renew_s)
            now = self.clock()
            if self.draining or self.needs_promises(now) or not self.is_fresh():
                continue
            moved = 0
            for shard in sorted(self.holdings):
                order = self.live_members(shard, now)
                if (
                    not order
                    or order[0] == self.node
                    or self.may_act_until(shard) <= now
                    or self.read_at.get(order[0], NEVER) + 2 * self.renew_s < now
                ):
                    continue
                await self.hand_off(shard, order[0])
                moved += 1
                if moved == HANDOFFS_PER_ROUND:
                    break

    async def hand_off(self, shard: str, to_node: str) -> bool:
        """Drain a shard and hand it to a node; tell whether the log confirmed it."""
        holding = self.holdings.get(shard)
        if holding is None or holding.provisional or shard in self.appending:
            return False
        self.appending.add(shard)
        try:
            state = await self.host.drain_shard(shard)
            if self.holdings.get(shard) is not holding:
                return False
            # From here on this process never acts again under this epoch, whether
            # or not the record is confirmed.
            self.drop(shard)
            release = Release(
                self.node,
                self.incarnation,
                to_node,
                {shard: holding.epoch},
                {} if state is None else {shard: state},
            )
            deadline = self.clock() + self.lease_s / 2
            await self.stream.append([release], 0, deadline)
        except AppendUnconfirmed:
            self.metrics.count("ownership.releases_unconfirmed")
            return False
        finally:
            self.appending.discard(shard)
        self.metrics.count("ownership.handed_off")
        return True

    async def leave(self) -> None:
        """Hand off every shard and leave the cell."""
        self.draining = True
        for _ in range(LEAVE_ROUNDS):
            # Others may still hand shards to this node until they read its record.
            async with anyio.create_task_group() as group:
                for shard in sorted(self.holdings):
                    group.start_soon(self.give_up, shard)
            if not self.holdings and not self.appending:
                break
            await anyio.sleep(self.heartbeat_s / 5)
        self.leaving = True
        if self.holdings:
            # Only drained shards may be declared free; the rest wait for the lease.
            for shard in sorted(self.holdings):
                self.drop(shard)
            return
        try:
            await self.stream.append(
                [MemberLeft(self.node, self.incarnation)],
                0,
                self.clock() + self.lease_s / 2,
            )
        except AppendUnconfirmed:
            log.warning("the log did not confirm that {} left", self.node)

    async def give_up(self, shard: str) -> None:
        """Hand a shard to the first other live member, or to nobody."""
        holding = self.holdings[shard]
        if holding.provisional:
            # The log still names an earlier owner, so there is nothing to release.
            await self.host.drain_shard(shard)
            if self.holdings.get(shard) is holding:
                self.drop(shard)
            return
        order = self.live_members(shard, self.clock())
        others = [node for node in order if node != self.node]
        await self.hand_off(shard, others[0] if others else "")

    async def run_membership(self) -> None:
        """Join, and remove members whose VM is no longer listed."""
        while True:
            if not self.draining:
                bodies = self.choose_membership_records()
                if bodies:
                    try:
                        await self.stream.append(bodies, 0, self.clock() + self.lease_s)
                    except AppendUnconfirmed:
                        self.metrics.count("ownership.membership_unconfirmed")
            await anyio.sleep(self.heartbeat_s)

    async def run_snapshots(self) -> None:
        """Append the folded state ahead of the retention limit, on one node."""
        started_at = self.clock()
        while True:
            await anyio.sleep(SNAPSHOT_CHECK_S)
            writers = rank_by_rendezvous("control", self.fold.members)
            if writers[:1] != [self.node] or not self.fold.reader.is_due(
                started_at, self.snapshot_every_records, SNAPSHOT_EVERY_S
            ):
                continue
            snapshot_id = f"{SNAPSHOT_PREFIX}{self.random_source.getrandbits(64):016x}"
            parts = split_state(
                ControlSnapshot, snapshot_id, self.stream.next_offset, self.fold.dump()
            )
            await append_snapshot(self.stream, parts, 0, self.metrics, "ownership")

    def choose_membership_records(self) -> list[ControlBody]:
        """Return the join of this process and the removals that it can prove."""
        bodies: list[ControlBody] = []
        if not self.fold.is_member(self.node, self.incarnation):
            joined = MemberJoined(
                self.node,
                self.incarnation,
                self.peer_address,
                self.region,
                self.data_centre,
            )
            return [joined]
        for node in sorted(self.witness.delisted):
            member = self.fold.members.get(node)
            if member is not None and node != self.node:
                bodies.append(MemberRemoved(node, member.incarnation, "vm_list"))
        return bodies

    def observe_listing(self, listing: VmListing) -> None:
        """Note which members' VMs are listed and which have disappeared."""
        self.witness.observe(listing, self.fold.members.values())

    # --- records ----------------------------------------------------------------

    def on_record(self, offset: int, record: Record[ControlBody]) -> None:
        """Fold one record and act on changed ownership."""
        now = self.clock()
        body = record.body
        before = {shard: self.fold.shards.get(shard) for shard in self.touched(body)}
        self.fold.apply(offset, record)
        for shard, previous in before.items():
            view = self.fold.shards.get(shard)
            if view is not None and view != previous:
                self.change_owner(shard, previous, view, body, now)
        match body:
            case MemberJoined() | Renew() | Claim():
                self.read_at[body.node] = now
        relayed_at = self.relay.take_sent_at(record.record_id)
        if relayed_at is not None:
            self.confirm(relayed_at)

    def on_gap(self, first_offset: int) -> None:
        """Give up all shards: a missed record may have named another owner."""
        log.warning("control records before offset {} were missed", first_offset)
        for shard in sorted(self.holdings):
            self.drop(shard)
        self.read_floor = self.clock()
        self.fold.handle_gap(first_offset)

    def touched(self, body: ControlBody) -> Iterable[str]:
        """Return the shards whose owner a record may change, in a fixed order."""
        match body:
            case Claim():
                return sorted(body.expected_epochs)
            case Release():
                return sorted(body.epochs)
            case MemberLeft():
                return sorted(
                    shard
                    for shard, view in self.fold.shards.items()
                    if view.node == body.node
                )
        return ()

    def change_owner(
        self,
        shard: str,
        previous: OwnerView | None,
        view: OwnerView,
        body: ControlBody,
        now: float,
    ) -> None:
        """React to a new owner of a shard."""
        holding = self.holdings.get(shard)
        if view.node != self.node or view.incarnation != self.incarnation:
            if holding is not None:
                log.warning("{} is now owned by {}", shard, view.node or "nobody")
                self.drop(shard)
            return
        if holding is not None and holding.provisional and holding.epoch == view.epoch:
            holding.provisional = False
            return
        if holding is not None:
            self.drop(shard)
        inherited_state = None
        if isinstance(body, Release):
            # The releasing owner stopped before it appended the record.
            act_from = now
            inherited_state = body.states.get(shard)
            self.promises.forget(shard, body.node)
        else:
            act_from = first_time_to_act(
                previous,
                self.renewal_read_at(previous),
                self.promises.given.get(shard),
                self.node,
                self.incarnation,
                self.started_at,
                self.timing,
            )
        self.holdings[shard] = Holding(
            shard, view.epoch, act_from, inherited_state=inherited_state
        )
        self.update_holding(shard, now)

    def confirm(self, sent_at: float) -> None:
        """Count a renewal that was read back; ended holdings stay ended."""
        now = self.clock()
        # Ends first: this renewal must not hide that the lease ran out before.
        for shard in sorted(self.holdings):
            self.update_holding(shard, now)
        self.confirmed_sent_at = max(self.confirmed_sent_at, sent_at)
        for shard in sorted(self.holdings):
            self.update_holding(shard, now)

    def drop(self, shard: str) -> None:
        """End a holding and tell the host if it was active."""
        holding = self.holdings.pop(shard)
        if holding.active:
            self.host.on_lost(shard)
