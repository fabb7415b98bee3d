"""Services of the two kinds of shard."""

import anyio
import msgspec

from gypsumring.jobs import JobManager
from gypsumring.messages.codec import decode_ledger_batch
from gypsumring.messages.peer import (
    AbandonKey,
    ClaimKey,
    CompleteKey,
    Explanation,
    PeerMessage,
    PeerReply,
    RackSummary,
    RenewSlots,
)
from gypsumring.messages.records import LedgerSnapshot
from gypsumring.placement import RackManager
from gypsumring.requests import KeyLedger, SlotGranter
from gypsumring.shards import ShardContext
from gypsumring.streams import Stream
from gypsumring.utils.snapshots import SnapshotReader, append_snapshot, split_state

__all__ = ["LedgerService", "RackService", "make_service"]

KEY_SNAPSHOT_PREFIX = "keys-"
# See SNAPSHOT_EVERY_RECORDS in jobs.manager: both share the stream's retention.
SNAPSHOT_EVERY_RECORDS = 5_000
SNAPSHOT_EVERY_S = 600.0
SNAPSHOT_CHECK_S = 5.0


class RackState(msgspec.Struct, frozen=True, array_like=True):
    """Pass on what the services of a rack know; see their export methods."""

    slots: bytes
    workers: tuple[str, ...] | None


rack_state_decoder = msgspec.msgpack.Decoder(RackState)


def split_rack_state(context: ShardContext) -> None:
    """Give each service of a rack its part of the inherited state."""
    if context.inherited_state is None:
        return
    if not context.inherited_state:
        # Nobody has owned the rack before.
        context.inherited_workers = ()
        return
    state = rack_state_decoder.decode(context.inherited_state)
    context.inherited_state = state.slots
    context.inherited_workers = state.workers


class RackService:
    """Serve one rack: tasks on its workers and slots of its executors."""

    def __init__(self, context: ShardContext):
        split_rack_state(context)
        self.context = context
        self.tasks = RackManager(context)
        self.slots = SlotGranter(context)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.tasks.run)
            group.start_soon(self.slots.run)

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message; raise PeerRejected."""
        part = self.slots if isinstance(message, RenewSlots) else self.tasks
        return await part.handle(sender, message)

    async def drain(self) -> None:
        """Stop starting and granting, and wait for calls in flight."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.tasks.drain)
            group.start_soon(self.slots.drain)

    def export_state(self) -> bytes:
        """Return the outstanding slot permits and the names of the workers.

        The workers themselves hold the state of the tasks.
        """
        return msgspec.msgpack.encode(
            RackState(self.slots.export_state(), self.tasks.export_workers())
        )

    def summarize(self) -> RackSummary | None:
        """Return the summary of the rack."""
        return self.tasks.summarize()

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain the rack's tasks and slots."""
        tasks = self.tasks.explain(subject, name)
        if subject == "job":
            return tasks
        return Explanation(tasks.lines + self.slots.explain(subject, name).lines)


class LedgerService:
    """Serve one ledger: its stream, jobs and idempotency keys."""

    def __init__(self, context: ShardContext):
        self.context = context
        self.stream = Stream(
            context.log,
            context.shard.replace("/", "."),
            decode_ledger_batch,
            context.node,
            context.metrics,
            context.random_source,
            context.timing,
            poll_wait_ms=context.timing.idle_poll_ms,
        )
        self.jobs = JobManager(context, self.stream, context.unix_time)
        self.keys = KeyLedger(context, self.stream, context.unix_time)
        self.key_reader = SnapshotReader(
            KEY_SNAPSHOT_PREFIX,
            lambda covers_offset, state: self.keys.restore(state),
            self.keys.apply,
        )
        self.stream.subscribe(self.key_reader.feed, self.handle_gap)

    def handle_gap(self, first_offset: int) -> None:
        """Wait for a snapshot of the keys, unless all records had been folded."""
        if not self.keys.is_recovered:
            self.key_reader.start_gap(first_offset)

    async def run(self) -> None:
        """Recover jobs and keys from the stream, then serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.stream.run)
            # The epoch record of the jobs fences the keys of earlier owners as well.
            await self.jobs.recovery.recover()
            while self.key_reader.waits_for_snapshot:
                await anyio.sleep(SNAPSHOT_CHECK_S / 10)
            await self.keys.recover()
            group.start_soon(self.jobs.run)
            group.start_soon(self.keys.run)
            group.start_soon(self.run_key_snapshots)

    async def run_key_snapshots(self) -> None:
        """Append snapshots of the keys ahead of the retention limit."""
        context = self.context
        started_at = anyio.current_time()
        while True:
            await anyio.sleep(SNAPSHOT_CHECK_S)
            if not self.key_reader.is_due(
                started_at, SNAPSHOT_EVERY_RECORDS, SNAPSHOT_EVERY_S
            ):
                continue
            snapshot_id = (
                f"{KEY_SNAPSHOT_PREFIX}{context.random_source.getrandbits(64):016x}"
            )
            parts = split_state(
                LedgerSnapshot,
                snapshot_id,
                self.stream.next_offset,
                self.keys.snapshot(),
            )
            await append_snapshot(
                self.stream, parts, context.epoch, context.metrics, "keys"
            )

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message; raise PeerRejected."""
        match message:
            case ClaimKey() | CompleteKey() | AbandonKey():
                return await self.keys.handle(sender, message)
        return await self.jobs.handle(sender, message)

    async def drain(self) -> None:
        """Accept no more work and wait for calls in flight."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.jobs.drain)
            group.start_soon(self.keys.drain)

    def export_state(self) -> bytes:
        """Return nothing: the state is in the ledger's stream."""
        return b""

    def summarize(self) -> RackSummary | None:
        """Return None: a ledger has no workers."""
        return None

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain a job, a request key or the ledger."""
        match subject:
            case "job":
                return self.jobs.explain(subject, name)
            case "request":
                return self.keys.explain(subject, name)
        jobs = self.jobs.explain(subject, name)
        return Explanation(jobs.lines + self.keys.explain(subject, name).lines)


def make_service(context: ShardContext) -> RackService | LedgerService:
    """Return the service of a shard by the kind in its name."""
    if context.shard.startswith("rack/"):
        return RackService(context)
    return LedgerService(context)
