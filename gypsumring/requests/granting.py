"""Grant slot permits of one rack's executors to gateways."""

import math
import statistics

import anyio
import logbook
import msgspec

from gypsumring.documents import RequestHandling
from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.peer import (
    ExecutorSample,
    Explanation,
    GrantedSlot,
    HeldSlot,
    PeerMessage,
    PeerReply,
    RackSummary,
    RenewSlots,
    SlotGrants,
)
from gypsumring.metrics import RefusalReason
from gypsumring.ports import PeerRejected, VmEntry, VmRole, VmState
from gypsumring.shards import ShardContext

__all__ = ["SlotGranter", "share_max_min"]

log = logbook.Logger("slots")

# No document may state a longer deadline (documents.model), so no permit of an
# earlier owner lasts longer than this plus slot_extra_ms, whatever documents that
# owner had read.
LONGEST_DEADLINE_MS = 60_000
# An executor is failing when at least this share of its recent answers failed.
FAILING_SHARE = 0.5
# Samples before the share of failures counts, so that one failure does not.
FAILING_SAMPLES = 8
# An executor is slow when its answers take this much longer than the pool's median.
SLOW_FACTOR = 3.0
# A gateway that missed this many renewals no longer counts in the fair shares.
SILENT_RENEWALS = 3

Holder = tuple[str, int]


class ExportedHolding(msgspec.Struct, frozen=True, array_like=True):
    """Pass on one gateway's slots; the time left is in ms at the export."""

    gateway: str
    incarnation: int
    slots: int
    left_ms: int


class ExportedSlots(msgspec.Struct, frozen=True, array_like=True):
    """Pass on the slots of one executor."""

    unaccounted: int
    holdings: tuple[ExportedHolding, ...]


class ExportedGrants(msgspec.Struct, frozen=True, array_like=True):
    """Pass on all permits of a rack that may be outstanding."""

    recovering_ms: int
    executors: dict[str, ExportedSlots]


grants_decoder = msgspec.msgpack.Decoder(ExportedGrants)


class Holding(msgspec.Struct):
    """Count the slots that one gateway process may be using on one executor."""

    slots: int
    expires_at: float


class ExecutorSlots(msgspec.Struct):
    """Account for the slots of one executor.

    ``unaccounted`` slots may be held under permits of an earlier owner.
    """

    vm: VmEntry
    unaccounted: int
    listed: bool = True
    holdings: dict[Holder, Holding] = {}
    answered: float = 0.0
    failed: float = 0.0
    answers_ms: float = 0.0
    is_slow: bool = False

    @property
    def granted(self) -> int:
        """Return the slots held by all gateways."""
        return sum(holding.slots for holding in self.holdings.values())

    @property
    def leaving(self) -> bool:
        """Tell whether the executor must get no new work."""
        return not self.listed or self.vm.state is VmState.LEAVING

    @property
    def failing(self) -> bool:
        """Tell whether most recent answers of the executor failed."""
        total = self.answered + self.failed
        return total >= FAILING_SAMPLES and self.failed >= FAILING_SHARE * total

    @property
    def mean_ms(self) -> float:
        """Return the mean time of recent answers, 0 when there are too few."""
        total = self.answered + self.failed
        return self.answers_ms / total if total >= FAILING_SAMPLES else 0.0

    @property
    def suspect(self) -> bool:
        """Tell whether each gateway gets only one slot, which serves for probes.

        More slots on an executor that gateways avoid would count against the shares
        that they can use.
        """
        return self.failing or self.is_slow

    def note(self, sample: ExecutorSample) -> None:
        """Add a gateway's sample, halving the weight of older ones."""
        count = sample.answered + sample.failed
        if count > 0:
            self.answered = self.answered / 2 + sample.answered
            self.failed = self.failed / 2 + sample.failed
            self.answers_ms = self.answers_ms / 2 + sample.mean_ms * count


class GatewayDemand(msgspec.Struct):
    """Hold the last renewal of one gateway process for one pool."""

    sequence: int
    wanted: int
    seen_at: float
    reply: SlotGrants


class SlotGranter:
    """Account for the slots of one rack's executors and grant them to gateways.

    A gateway's slots count as granted until the gateway reports that it holds fewer,
    or until its permit has expired. Permits of an earlier incarnation of a gateway
    count until they expire because its requests may still be running.
    """

    __slots__ = (
        "context",
        "demands",
        "draining",
        "executors",
        "inherited",
        "recovering_until",
    )

    def __init__(self, context: ShardContext):
        self.context = context
        self.executors: dict[str, ExecutorSlots] = {}
        self.demands: dict[tuple[str, Holder], GatewayDemand] = {}
        self.draining = False
        self.inherited: dict[str, ExportedSlots] = {}
        self.recovering_until = anyio.current_time()
        if context.inherited_state is None:
            timing = context.timing
            longest_ms = LONGEST_DEADLINE_MS + timing.slot_extra_ms + timing.margin_ms
            self.recovering_until += longest_ms / 1000
        elif context.inherited_state:
            self.import_state(context.inherited_state)

    async def run(self) -> None:
        """Follow the VM list and drop expired permits until cancelled."""
        while True:
            self.refresh(anyio.current_time())
            await anyio.sleep(self.context.timing.vm_list_poll_ms / 1000)

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer RenewSlots; raise PeerRejected."""
        if not isinstance(message, RenewSlots):
            raise PeerRejected(RefusalReason.BAD_REQUEST)
        if self.draining or not self.context.may_act():
            self.context.metrics.refuse("slots", RefusalReason.NOT_OWNER)
            raise PeerRejected(RefusalReason.NOT_OWNER)
        return self.renew(message)

    async def drain(self) -> None:
        """Grant nothing from now on; grants are answered without waiting."""
        self.draining = True

    def export_state(self) -> bytes:
        """Return all permits that may be outstanding."""
        now = anyio.current_time()
        self.refresh(now)
        executors = {
            name: ExportedSlots(
                executor.unaccounted,
                tuple(
                    ExportedHolding(
                        gateway,
                        incarnation,
                        holding.slots,
                        milliseconds_until(holding.expires_at, now),
                    )
                    for (gateway, incarnation), holding in executor.holdings.items()
                ),
            )
            for name, executor in self.executors.items()
        }
        recovering_ms = milliseconds_until(self.recovering_until, now)
        # An executor that this owner has not listed yet stays as it was inherited.
        return msgspec.msgpack.encode(
            ExportedGrants(recovering_ms, self.inherited | executors)
        )

    def import_state(self, state: bytes) -> None:
        """Take over the permits of the previous owner.

        The time left is counted from the import, which is later than the export, so
        that no permit is taken for expired while its gateway may use it.
        """
        exported = grants_decoder.decode(state)
        now = anyio.current_time()
        self.recovering_until = now + exported.recovering_ms / 1000
        self.inherited = dict(exported.executors)

    def adopt_inherited(self, executor: ExecutorSlots, now: float) -> None:
        """Account for the inherited permits of an executor once it is listed."""
        exported = self.inherited.pop(executor.vm.name, None)
        if exported is None:
            return
        executor.unaccounted = exported.unaccounted
        for holding in exported.holdings:
            executor.holdings[holding.gateway, holding.incarnation] = Holding(
                holding.slots, now + holding.left_ms / 1000
            )

    def summarize(self) -> RackSummary | None:
        """Return None: the rack is summarised by its placement."""
        return None

    def explain(self, subject: str, name: str) -> Explanation:
        """List the slots of each executor and who holds them."""
        lines = []
        wait_s = self.recovering_until - anyio.current_time()
        if wait_s > 0:
            lines.append(("recovering", f"unknown permits expire in {wait_s:.1f} s"))
        for executor_name, executor in sorted(self.executors.items()):
            holders = ", ".join(
                f"{gateway}: {holding.slots}"
                for (gateway, _), holding in sorted(executor.holdings.items())
                if holding.slots
            )
            state = "leaving" if executor.leaving else "live"
            if executor.failing:
                state += ", failing"
            if executor.is_slow:
                state += ", slow"
            text = f"{state}; {executor.granted} of {executor.vm.slots} slots granted"
            lines.append((executor_name, f"{text}; {holders or 'no holders'}"))
        return Explanation(tuple(lines))

    def refresh(self, now: float) -> None:
        """Apply the VM list and drop expired permits."""
        listed = {
            vm.name: vm
            for vm in self.context.list_vms()
            if vm.role is VmRole.EXECUTOR and vm.shard == self.context.shard
        }
        for name, vm in listed.items():
            executor = self.executors.get(name)
            if executor is None:
                unaccounted = vm.slots if now < self.recovering_until else 0
                self.executors[name] = ExecutorSlots(vm, unaccounted)
                self.adopt_inherited(self.executors[name], now)
            else:
                executor.vm = vm
                executor.listed = True
        for name, executor in list(self.executors.items()):
            executor.listed = name in listed
            if now >= self.recovering_until:
                executor.unaccounted = 0
            for holder, holding in list(executor.holdings.items()):
                if now >= holding.expires_at:
                    if holding.slots:
                        self.context.metrics.count("slots.expired", holding.slots)
                    del executor.holdings[holder]
            if not executor.listed and not executor.holdings:
                del self.executors[name]
        silent_s = SILENT_RENEWALS * self.context.timing.slot_renew_ms / 1000
        longest_s = (LONGEST_DEADLINE_MS + self.context.timing.slot_extra_ms) / 1000
        for key, demand in list(self.demands.items()):
            if now >= demand.seen_at + silent_s:
                demand.wanted = 0
            if now >= demand.seen_at + longest_s:
                del self.demands[key]

    def renew(self, message: RenewSlots) -> SlotGrants:
        """Record what a gateway holds, then grant its share."""
        now = anyio.current_time()
        self.refresh(now)
        holder = (message.gateway, message.incarnation)
        demand = self.demands.get((message.pool, holder))
        if demand is not None and message.sequence <= demand.sequence:
            # A repeated or overtaken message describes holdings of the past.
            if message.sequence == demand.sequence:
                return demand.reply
            raise PeerRejected(RefusalReason.BAD_REQUEST)
        pool = {
            name: executor
            for name, executor in sorted(self.executors.items())
            if executor.vm.pool == message.pool
        }
        held = {slot.executor: slot for slot in message.held}
        for sample in message.samples:
            if sample.executor in pool:
                pool[sample.executor].note(sample)
        mark_slow(pool)
        for name, executor in pool.items():
            self.record_held(executor, holder, held.get(name), now)
        lifetime_s = self.permit_lifetime_ms(message.pool) / 1000
        reply = SlotGrants(self.context.shard, self.context.epoch, message.pool, (), 0)
        self.demands[message.pool, holder] = GatewayDemand(
            message.sequence, message.wanted, now, reply
        )
        target = self.fair_target(message.pool, holder, pool)
        chosen = self.choose_slots(pool, holder, held, target)
        grants = []
        for name, executor in pool.items():
            slots = chosen[name]
            reported = held[name].slots if name in held else 0
            self.commit(executor, holder, max(slots, reported), now + lifetime_s)
            if slots or reported:
                grants.append(
                    GrantedSlot(
                        name,
                        executor.vm.address,
                        slots,
                        int(lifetime_s * 1000),
                        executor.leaving,
                    )
                )
        share = min((self.connection_share(e) for e in pool.values()), default=0)
        reply = SlotGrants(
            self.context.shard, self.context.epoch, message.pool, tuple(grants), share
        )
        self.demands[message.pool, holder].reply = reply
        return reply

    def record_held(
        self,
        executor: ExecutorSlots,
        holder: Holder,
        held: HeldSlot | None,
        now: float,
    ) -> None:
        """Account for what a gateway reports to hold on one executor."""
        reported = held.slots if held is not None else 0
        known = executor.holdings.get(holder)
        if known is not None and reported <= known.slots:
            known.slots = reported
            if reported == 0:
                del executor.holdings[holder]
            return
        if held is None or reported <= 0:
            return
        # More than this owner granted: permits of an earlier owner. Their slots move
        # from the unaccounted ones to the gateway that reported them.
        extra = reported - (known.slots if known is not None else 0)
        room = executor.vm.slots - executor.granted
        if extra > room:
            self.context.metrics.count("slots.held_over_capacity", extra - room)
            log.error(
                "{} reports {} slots on {}, of which {} exceed its capacity",
                holder[0],
                reported,
                executor.vm.name,
                extra - room,
            )
        executor.unaccounted = max(0, executor.unaccounted - extra)
        left_s = (held.left_ms + self.context.timing.margin_ms) / 1000
        executor.holdings[holder] = Holding(reported, now + left_s)

    def permit_lifetime_ms(self, pool: str) -> int:
        """Return how long a permit lasts, so that each request fits within it."""
        deadlines_ms = [
            in_force.document.work.deadline_ms
            for in_force in self.context.documents.list_documents()
            if isinstance(in_force.document.work, RequestHandling)
            and in_force.document.work.pool == pool
        ]
        longest_ms = min(max(deadlines_ms, default=0), LONGEST_DEADLINE_MS)
        return longest_ms + self.context.timing.slot_extra_ms

    def connection_share(self, executor: ExecutorSlots) -> int:
        """Return the connections that each gateway may open to an executor."""
        return executor.vm.connections // self.context.cell.gateway_limit

    def fair_target(
        self, pool_name: str, holder: Holder, pool: dict[str, ExecutorSlots]
    ) -> int:
        """Return the slots that a gateway should hold in the pool.

        Slots that nobody asked for are spread as well, less one share that stays
        free for a gateway whose demand rises: a burst then waits for no renewal, and
        a new owner learns of nearly all slots from the gateways' reports.
        """
        wanted = {
            key_holder: demand.wanted
            for (key_pool, key_holder), demand in self.demands.items()
            if key_pool == pool_name and demand.wanted > 0
        }
        if holder not in wanted:
            return 0
        capacity = sum(
            min(len(wanted), e.vm.slots) if e.suspect else e.vm.slots
            for e in pool.values()
            if not e.leaving
        )
        shares = share_max_min(wanted, capacity)
        spare = (capacity - sum(shares.values())) // (len(wanted) + 1)
        return shares[holder] + spare

    def choose_slots(
        self,
        pool: dict[str, ExecutorSlots],
        holder: Holder,
        held: dict[str, HeldSlot],
        target: int,
    ) -> dict[str, int]:
        """Choose slots on each executor, keeping those in use where possible."""
        chosen = {}
        for name, executor in pool.items():
            slot = held.get(name)
            slots = slot.slots if slot is not None else 0
            busy = min(slot.busy, slots) if slot is not None else 0
            if executor.leaving:
                slots = busy
            elif executor.suspect:
                slots = max(busy, min(slots, 1))
            chosen[name] = slots
        while sum(chosen.values()) > target:
            name = max(chosen, key=lambda n: chosen[n] - busy_slots(held, n))
            if chosen[name] <= busy_slots(held, name):
                break
            chosen[name] -= 1
        while sum(chosen.values()) < target:
            room = {
                name: self.room(executor, holder, chosen[name])
                for name, executor in pool.items()
            }
            name = max(room, key=lambda n: (room[n], -chosen[n]), default=None)
            if name is None or room[name] <= 0:
                break
            chosen[name] += 1
        return chosen

    def room(self, executor: ExecutorSlots, holder: Holder, slots: int) -> int:
        """Return how many more slots may be granted to a gateway on an executor."""
        if executor.leaving or (executor.suspect and slots >= 1):
            return 0
        others = {h for h, holding in executor.holdings.items() if h != holder}
        if len(others) >= self.context.cell.gateway_limit:
            return 0
        of_others = sum(executor.holdings[h].slots for h in others)
        own = executor.holdings.get(holder)
        counted = max(slots, own.slots if own is not None else 0)
        free = executor.vm.slots - of_others - executor.unaccounted - counted
        if counted > slots and free >= 0:
            # Slots that the gateway still holds may be granted to it again.
            free += counted - slots
        return min(free, self.connection_share(executor) - slots)

    def commit(
        self, executor: ExecutorSlots, holder: Holder, slots: int, expires_at: float
    ) -> None:
        """Account for a grant; raise InvariantViolation if it exceeds the slots."""
        known = executor.holdings.get(holder)
        before = known.slots if known is not None else 0
        if slots == 0:
            executor.holdings.pop(holder, None)
            return
        if slots > before:
            granted = executor.granted - before + slots + executor.unaccounted
            if granted > executor.vm.slots:
                raise InvariantViolation(
                    f"{granted} slots granted on {executor.vm.name}, "
                    f"which has {executor.vm.slots}"
                )
            holders = len(executor.holdings.keys() | {holder})
            connections = holders * self.connection_share(executor)
            if connections > executor.vm.connections:
                raise InvariantViolation(
                    f"{connections} connections to {executor.vm.name}, "
                    f"which takes {executor.vm.connections}"
                )
            self.context.metrics.count("slots.granted", slots - before)
        margin_s = self.context.timing.margin_ms / 1000
        executor.holdings[holder] = Holding(slots, expires_at + margin_s)


def milliseconds_until(deadline: float, now: float) -> int:
    """Return the time left, rounded up, 0 if the deadline has passed."""
    return max(0, math.ceil((deadline - now) * 1000))


def busy_slots(held: dict[str, HeldSlot], name: str) -> int:
    """Return the slots in use that a gateway reports on an executor."""
    slot = held.get(name)
    return slot.busy if slot is not None else 0


def mark_slow(pool: dict[str, ExecutorSlots]) -> None:
    """Mark the executors whose answers take far longer than the median."""
    means_ms = [executor.mean_ms for executor in pool.values() if executor.mean_ms]
    if len(means_ms) < 3:
        return
    limit_ms = SLOW_FACTOR * statistics.median(means_ms)
    for executor in pool.values():
        if executor.mean_ms:
            executor.is_slow = executor.mean_ms > limit_ms


def share_max_min(wanted: dict[Holder, int], capacity: int) -> dict[Holder, int]:
    """Divide a capacity so that the smallest shares are as large as they can be."""
    shares = {}
    left = capacity
    in_order = sorted(wanted, key=lambda holder: (wanted[holder], holder))
    for position, holder in enumerate(in_order):
        fair = left // (len(in_order) - position)
        shares[holder] = min(wanted[holder], fair)
        left -= shares[holder]
    return shares
