"""Hold slot permits at a gateway and route requests over them."""

import random
import statistics
from collections.abc import Callable, Iterable

import anyio
import logbook
import msgspec

from gypsumring.exceptions import PortError
from gypsumring.messages.peer import (
    ExecutorSample,
    HeldSlot,
    RenewSlots,
    SlotGrants,
)
from gypsumring.metrics import Metrics, RefusalReason, RetryReason
from gypsumring.ports import (
    Executor,
    PeerClient,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
    Upstreams,
    VmEntry,
    VmRole,
    VmState,
)
from gypsumring.requests.routing import (
    RandomRouting,
    Routing,
    choose_executor,
)
from gypsumring.settings import TimingSettings
from gypsumring.utils.backoff import backoff_s

__all__ = ["HeldExecutor", "Permit", "SlotHolder"]

log = logbook.Logger("slots")

# Weight of the newest answer in the mean latency of an executor.
LATENCY_WEIGHT = 0.2
# Failures in a row that eject an executor from routing.
EJECT_FAILURES = 3
# An executor is slow when its mean latency exceeds the median by this factor.
SLOW_FACTOR = 3.0
# Answers before the mean latency of an executor is compared with the others'.
SLOW_SAMPLES = 5
# A probe follows an ejection after 1 s, then twice as late each time up to 30 s.
PROBE_BASE_MS = 1_000
PROBE_LIMIT_MS = 30_000
# Shortest time between two renewals when demand is unmet or an owner moved.
EARLY_RENEW_S = 0.2
# Time between two reads of the status of an executor whose answer is missing.
STATUS_POLL_S = 0.25


class HeldExecutor:
    """Hold one executor's permits and what was measured of it.

    ``busy`` counts the slots whose request the executor may still be running.
    """

    __slots__ = (
        "answered",
        "busy",
        "client",
        "ejected_until",
        "ejections",
        "expires_at",
        "failed",
        "failures_in_row",
        "latency_s",
        "probing",
        "revoked",
        "sample_s",
        "samples",
        "slots",
        "vm",
    )

    def __init__(self, vm: VmEntry, client: Executor):
        self.vm = vm
        self.client = client
        self.slots = 0
        self.busy = 0
        self.expires_at = 0.0
        self.revoked = False
        self.latency_s = 0.0
        self.samples = 0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.probing = False
        self.answered = 0
        self.failed = 0
        self.sample_s = 0.0

    @property
    def leaving(self) -> bool:
        """Tell whether the executor must get no new work."""
        return self.revoked or self.vm.state is VmState.LEAVING

    def free_slots(self, now: float) -> int:
        """Return the permits that can carry a request now."""
        if self.leaving or now >= self.expires_at:
            return 0
        return max(0, self.slots - self.busy)


class Permit:
    """Allow one request on one executor; released exactly once."""

    __slots__ = ("executor", "expires_at", "is_probe", "released", "taken_at")

    def __init__(self, executor: HeldExecutor, is_probe: bool, taken_at: float):
        self.executor = executor
        self.expires_at = executor.expires_at
        self.is_probe = is_probe
        self.released = False
        self.taken_at = taken_at


class SlotHolder:
    """Hold the slot permits of one pool for a gateway process.

    ``on_change`` is called when a permit may have become free. ``count_queued``
    returns the requests that wait for a permit.
    """

    __slots__ = (
        "connections",
        "count_queued",
        "executors",
        "gateway",
        "incarnation",
        "metrics",
        "on_change",
        "owner_address",
        "peers",
        "pool",
        "random_source",
        "returning",
        "routing",
        "sequence",
        "shards",
        "shard_tasks",
        "task_group",
        "timing",
        "unowned",
        "upstreams",
        "wake_ups",
    )

    def __init__(
        self,
        *,
        pool: str,
        gateway: str,
        incarnation: int,
        timing: TimingSettings,
        routing: Routing,
        peers: PeerClient,
        upstreams: Upstreams,
        owner_address: Callable[[str], str | None],
        count_queued: Callable[[], int],
        on_change: Callable[[], None],
        metrics: Metrics,
        random_source: random.Random,
    ):
        self.pool = pool
        self.gateway = gateway
        self.incarnation = incarnation
        self.timing = timing
        self.routing = routing
        self.peers = peers
        self.upstreams = upstreams
        self.owner_address = owner_address
        self.count_queued = count_queued
        self.on_change = on_change
        self.metrics = metrics
        self.random_source = random_source
        self.executors: dict[str, HeldExecutor] = {}
        self.shard_tasks: dict[str, anyio.CancelScope] = {}
        self.wake_ups: dict[str, anyio.Event] = {}
        self.unowned: set[str] = set()
        self.task_group: anyio.abc.TaskGroup | None = None
        self.sequence = 0
        self.returning = False
        self.connections = 0

    async def run(self) -> None:
        """Renew the permits on each rack shard until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            self.start_shard_tasks()
            try:
                await anyio.sleep_forever()
            finally:
                self.task_group = None
                self.shard_tasks.clear()

    def update_vms(self, vms: Iterable[VmEntry]) -> None:
        """Apply the VM list; executors that left it get no new work."""
        listed = {
            vm.name: vm
            for vm in vms
            if vm.role is VmRole.EXECUTOR and vm.pool == self.pool
        }
        for name, vm in sorted(listed.items()):
            executor = self.executors.get(name)
            if executor is None or executor.vm.address != vm.address:
                if executor is not None and executor.busy:
                    continue
                try:
                    client = self.upstreams.executor(vm)
                except PortError as error:
                    log.warning("executor {} cannot be opened: {}", name, error)
                    continue
                self.executors[name] = HeldExecutor(vm, client)
            else:
                executor.vm = vm
        for name, executor in list(self.executors.items()):
            if name not in listed:
                executor.vm = msgspec.structs.replace(
                    executor.vm, state=VmState.LEAVING
                )
                if executor.busy == 0:
                    del self.executors[name]
        self.start_shard_tasks()
        self.on_change()

    def start_shard_tasks(self) -> None:
        """Run one renewal task for each rack shard with executors of the pool."""
        if self.task_group is None:
            return
        needed = {executor.vm.shard for executor in self.executors.values()}
        for shard in sorted(needed - self.shard_tasks.keys()):
            scope = self.shard_tasks[shard] = anyio.CancelScope()
            self.wake_ups[shard] = anyio.Event()
            self.task_group.start_soon(self.renew_shard, shard, scope)
        for shard in sorted(self.shard_tasks.keys() - needed):
            self.shard_tasks.pop(shard).cancel()

    async def renew_shard(self, shard: str, scope: anyio.CancelScope) -> None:
        """Renew the permits on one shard, early when demand is unmet."""
        with scope:
            while True:
                started_at = anyio.current_time()
                renewed = await self.renew_once(shard)
                if not renewed:
                    await anyio.sleep_until(started_at + EARLY_RENEW_S)
                    continue
                event = self.wake_ups[shard] = anyio.Event()
                with anyio.move_on_after(self.timing.slot_renew_ms / 1000):
                    await event.wait()
                await anyio.sleep_until(started_at + EARLY_RENEW_S)

    async def renew_once(self, shard: str) -> bool:
        """Send one renewal and apply its answer; tell whether it was answered."""
        address = self.owner_address(shard)
        if address is None:
            self.unowned.add(shard)
            return False
        message = self.describe(shard)
        sent_at = anyio.current_time()
        deadline = sent_at + self.timing.call_ms / 1000
        try:
            with anyio.fail_after(self.timing.call_ms / 1000):
                reply = await self.peers.call(address, message, deadline)
        except PeerRejected:
            self.note_retry(shard, RetryReason.OWNER_MOVED)
            return False
        except PeerUnreachable:
            self.note_retry(shard, RetryReason.PEER_UNREACHABLE)
            return False
        except (PeerTimeout, TimeoutError):
            self.note_retry(shard, RetryReason.PEER_TIMEOUT)
            return False
        if not isinstance(reply, SlotGrants):
            self.note_retry(shard, RetryReason.RACK_REFUSED)
            return False
        self.unowned.discard(shard)
        self.apply_grants(shard, reply, sent_at)
        return True

    def note_retry(self, shard: str, reason: RetryReason) -> None:
        """Count a failed renewal."""
        self.unowned.add(shard)
        self.metrics.retry("slots", reason)

    def on_shard(self, shard: str) -> list[HeldExecutor]:
        """Return the executors of a shard in the order of their names."""
        return [
            executor
            for _, executor in sorted(self.executors.items())
            if executor.vm.shard == shard
        ]

    def describe(self, shard: str) -> RenewSlots:
        """Return the renewal that states what is held and wanted on a shard."""
        now = anyio.current_time()
        executors = self.on_shard(shard)
        held, samples = [], []
        for executor in executors:
            slots = executor.slots if now < executor.expires_at else 0
            if self.returning or executor.leaving:
                slots = executor.slots = 0
            slots = max(slots, executor.busy)
            if slots:
                left_ms = max(0, int((executor.expires_at - now) * 1000))
                held.append(HeldSlot(executor.vm.name, slots, executor.busy, left_ms))
            answers = executor.answered + executor.failed
            if answers:
                mean_ms = executor.sample_s / answers * 1000
                samples.append(
                    ExecutorSample(
                        executor.vm.name, executor.answered, executor.failed, mean_ms
                    )
                )
                executor.answered = executor.failed = 0
                executor.sample_s = 0.0
        busy = sum(executor.busy for executor in executors)
        here = sum(executor.vm.slots for executor in executors)
        everywhere = sum(e.vm.slots for e in self.executors.values())
        # The queue is spread over the shards by their slots, rounded up; one more
        # slot serves the next request without waiting for a renewal.
        queued = -(-self.count_queued() * here // max(everywhere, 1))
        self.sequence += 1
        return RenewSlots(
            self.gateway,
            self.incarnation,
            shard,
            self.pool,
            0 if self.returning else busy + queued + 1,
            tuple(held),
            tuple(samples),
            self.sequence,
        )

    def apply_grants(self, shard: str, reply: SlotGrants, sent_at: float) -> None:
        """Replace the holding on a shard; times count from before the renewal."""
        granted = {grant.executor: grant for grant in reply.grants}
        self.connections = reply.connections
        returned_some = False
        for executor in self.on_shard(shard):
            grant = granted.get(executor.vm.name)
            before = executor.slots
            if grant is None or self.returning:
                executor.slots = 0
                executor.revoked = False
            else:
                executor.slots = grant.slots
                executor.expires_at = sent_at + grant.left_ms / 1000
                executor.revoked = grant.revoked
            returned_some = returned_some or executor.slots < before
        self.on_change()
        if returned_some:
            # The owner may grant returned slots to others once it reads the report.
            self.request_renewal(shard)

    def request_renewal(self, shard: str | None = None) -> None:
        """Renew early on one shard or on all."""
        for name in [shard] if shard is not None else sorted(self.wake_ups):
            event = self.wake_ups.get(name)
            if event is not None:
                event.set()

    async def return_all(self) -> None:
        """Return all idle permits to the owners, once, without retry."""
        self.returning = True
        for scope in self.shard_tasks.values():
            scope.cancel()
        shards = {executor.vm.shard for executor in self.executors.values()}
        async with anyio.create_task_group() as task_group:
            for shard in sorted(shards):
                task_group.start_soon(self.renew_once, shard)

    def shortage_reason(self) -> RefusalReason:
        """Tell why there is no permit for a request."""
        if not self.executors:
            return RefusalReason.NO_EXECUTOR
        now = anyio.current_time()
        if any(
            executor.slots and now < executor.expires_at and not executor.leaving
            for executor in self.executors.values()
        ):
            return RefusalReason.NO_CAPACITY
        if self.unowned or not self.shard_tasks:
            return RefusalReason.NO_OWNER
        return RefusalReason.NO_CAPACITY

    def usable_slots(self) -> int:
        """Return the permits that could carry requests, in use or not."""
        now = anyio.current_time()
        return sum(
            max(executor.slots, executor.busy)
            for executor in self.executors.values()
            if now < executor.expires_at
            and not executor.leaving
            and executor.ejected_until is None
        )

    def acquire(
        self, deadline: float, avoid: frozenset[str], repeatable: bool
    ) -> Permit | None:
        """Take a permit that outlasts the deadline, or return None.

        An executor that was ejected gets one repeatable request as a probe when its
        interval has passed. Executors in ``avoid`` are used only if no other is free.
        """
        now = anyio.current_time()
        free = [
            executor
            for executor in self.executors.values()
            if executor.free_slots(now) > 0 and deadline <= executor.expires_at
        ]
        if not free:
            return None
        if repeatable and not avoid:
            for executor in free:
                due = executor.ejected_until
                if due is not None and now >= due and not executor.probing:
                    executor.probing = True
                    return self.take(executor, True, now)
        healthy = [executor for executor in free if executor.ejected_until is None]
        if not healthy:
            if any(e.ejected_until is None for e in self.executors.values()):
                return None
            # With every executor ejected, the fault is hardly theirs.
            healthy = free
        preferred = [e for e in healthy if e.vm.name not in avoid]
        chosen = choose_executor(self.routing, preferred or healthy, self.random_source)
        return self.take(chosen, False, now)

    def take(self, executor: HeldExecutor, is_probe: bool, now: float) -> Permit:
        """Mark one slot of an executor as in use."""
        executor.busy += 1
        return Permit(executor, is_probe, now)

    def release(self, permit: Permit) -> None:
        """Give the slot of a permit back for the next request."""
        if permit.released:
            return
        permit.released = True
        permit.executor.busy -= 1
        if permit.is_probe:
            permit.executor.probing = False
        self.on_change()

    def note_answer(self, permit: Permit, seconds: float) -> None:
        """Record a good answer and restore an executor that passed its probe."""
        executor = permit.executor
        executor.answered += 1
        executor.sample_s += seconds
        executor.failures_in_row = 0
        weight = LATENCY_WEIGHT if executor.samples else 1.0
        executor.samples += 1
        executor.latency_s += weight * (seconds - executor.latency_s)
        if permit.is_probe:
            executor.latency_s = seconds
            if self.is_slow(executor):
                self.eject(executor, "slow")
            else:
                self.restore(executor)
        elif executor.samples >= SLOW_SAMPLES and self.is_slow(executor):
            self.eject(executor, "slow")

    def note_failure(self, permit: Permit, seconds: float) -> None:
        """Record a failed answer and eject an executor after several."""
        executor = permit.executor
        executor.failed += 1
        executor.sample_s += seconds
        executor.failures_in_row += 1
        if permit.is_probe or executor.failures_in_row >= EJECT_FAILURES:
            self.eject(executor, "failing")

    def is_slow(self, executor: HeldExecutor) -> bool:
        """Tell whether an executor is far slower than the median of the pool."""
        measured = [e.latency_s for e in self.executors.values() if e.samples]
        if len(measured) < 3:
            return False
        return executor.latency_s > SLOW_FACTOR * statistics.median(measured)

    def eject(self, executor: HeldExecutor, why: str) -> None:
        """Route no requests but probes to an executor for a growing interval."""
        now = anyio.current_time()
        if executor.ejected_until is not None and now < executor.ejected_until:
            return
        match self.routing:
            case RandomRouting(ejects=False):
                return
        ejected = [
            e
            for e in self.executors.values()
            if e.ejected_until is not None and e is not executor
        ]
        if 2 * (len(ejected) + 1) > len(self.executors):
            # Ejecting most executors would overload the others.
            self.metrics.count("routing.ejection_skipped")
            return
        executor.ejections += 1
        executor.ejected_until = now + backoff_s(
            executor.ejections, PROBE_BASE_MS, PROBE_LIMIT_MS, self.random_source
        )
        self.metrics.count(f"routing.ejected.{why}")
        log.warning("executor {} is {}; ejected from routing", executor.vm.name, why)

    def restore(self, executor: HeldExecutor) -> None:
        """Route requests to an executor again."""
        executor.ejected_until = None
        executor.ejections = 0
        self.metrics.count("routing.restored")
        log.info("executor {} answers again; restored to routing", executor.vm.name)

    async def wait_until_finished(self, permit: Permit, request_id: str) -> None:
        """Keep the slot of a request without answer until it surely is free.

        The executor's status no longer listing the request ends the wait, and so
        does the expiry of the permit. An executor that still lists the request keeps
        its slot in use for as long as the owner renews the permit.
        """
        executor = permit.executor
        is_listed = False
        while True:
            now = anyio.current_time()
            ends_at = executor.expires_at if is_listed else permit.expires_at
            if now >= ends_at:
                return
            try:
                status = await executor.client.status(now + self.timing.call_ms / 1000)
            except PortError:
                pass
            else:
                is_listed = request_id in status.in_flight
                if not is_listed:
                    return
            await anyio.sleep(STATUS_POLL_S)
