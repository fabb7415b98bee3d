"""Ownership of a cell, from its takeover until another node takes over."""

import functools
from collections.abc import Callable
from typing import Annotated

import anyio
import msgspec

from gypsumring.cell.account_metrics import measure_accounts
from gypsumring.cell.accounts import ACCOUNT_KEY, AccountRecord, check_record
from gypsumring.cell.authority import (
    MAX_EXTENSION_DELAY_S,
    OWNER_KEY,
    VOTERS_KEY,
    Authority,
    Peers,
)
from gypsumring.cell.commands import Commands
from gypsumring.cell.discovery import DecodeEntry, ExecutorDirectory
from gypsumring.cell.exceptions import OwnershipLost
from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.journal import Journal
from gypsumring.cell.observation import measure_knowledge
from gypsumring.cell.orders import Orders
from gypsumring.cell.pacing import Pacer
from gypsumring.cell.queues import QUEUE_KEY
from gypsumring.cell.scheduling import CellScheduler, QueryPolicyProxy
from gypsumring.cell.state import (
    ATTEMPTS_PER_TERM,
    BOUNDED_KEY,
    EXECUTOR_KEY,
    JOB_KEY,
    LEASE_KEY,
    PROGRESS_KEY,
    TERM_KEY,
    CellState,
    CellTiming,
)
from gypsumring.cell.trimming import RecordTrimmer
from gypsumring.cell.voters import Electorate
from gypsumring.cell.wait_monitor import WaitMonitor
from gypsumring.fleet import ExecutorEntry
from gypsumring.metrics import Metrics
from gypsumring.pipelines import (
    DesiredState,
    JobTable,
    PipelineError,
    Queue,
    check_pipeline,
    decode_progress,
    decode_spec,
)
from gypsumring.ports.store import (
    PAGE_BYTES,
    KeyedRecord,
    Store,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.ports.tasks import TaskExecutor
from gypsumring.transport import LinkTraffic, Purpose, sending_for
from gypsumring.utils.clock import Clock, WallClock
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.ranges import MAX_NUMBER, MAX_QUANTITY, Quantity, clamp
from gypsumring.utils.supervision import describe_error

__all__ = ["CellOwner"]

log = EventLogger("cell")

# Time limit of one page of the records, beside the time that the link takes for the
# largest page, twice as it carries other messages too. The limit is doubled after each
# failure; the next page has at least twice the time that the one before it took.
PAGE_TIMEOUT_S = 5.0
PAGE_TRANSFERS = 2
MAX_PAGE_TIMEOUT_S = 80.0
# The store counts as slow if appends take longer than this.
SLOW_APPEND_S = 0.1
RETRY_PAUSE_S = 0.1
# Records of ended jobs are retained for this time after callers may query them.
RETENTION_MARGIN_S = 60.0
EVICTION_PERIOD_S = 5.0

decode_account = msgspec.msgpack.Decoder(AccountRecord).decode
decode_queue = msgspec.msgpack.Decoder(Queue).decode
decode_entry = msgspec.msgpack.Decoder(ExecutorEntry).decode
decode_electorate = msgspec.json.Decoder(Electorate).decode
decode_lease = msgspec.json.Decoder(Quantity).decode
decode_term = msgspec.json.Decoder(
    Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER // ATTEMPTS_PER_TERM)]
).decode


class CellOwner:
    """Owner of one cell under one fence number."""

    __slots__ = (
        "authority",
        "executor_poller",
        "commands",
        "directory",
        "fence",
        "loaded",
        "orders",
        "scheduler",
        "state",
        "store",
        "stopped",
        "topic",
        "partition",
        "wait_monitor",
    )

    def __init__(
        self,
        store: Store,
        topic: str,
        partition: int,
        fence: int,
        timing: CellTiming,
        desired_state: Callable[[], DesiredState | None],
        connect: Callable[[str, str], TaskExecutor],
        executors_topic: str,
        decode: DecodeEntry,
        list_policy_proxies: Callable[[], list[str]],
        query_policy_proxy: QueryPolicyProxy,
        metrics: Metrics,
        clock: Clock,
        wall_clock: WallClock,
        peers: Peers,
        traffic: LinkTraffic | None = None,
    ):
        traffic = traffic or LinkTraffic(metrics)
        self.store = store
        self.topic = topic
        self.partition = partition
        self.fence = fence
        journal = Journal(
            store, topic, partition, f"cell-{partition}", fence, clock, traffic
        )
        self.authority = Authority(fence, journal, peers, clock)
        self.state = CellState(
            fence,
            journal,
            desired_state,
            timing,
            metrics,
            clock,
            wall_clock,
            self.authority,
            traffic,
        )
        self.orders = Orders(self.state)
        self.executor_poller = ExecutorPoller(self.state, self.orders, connect)
        self.commands = Commands(self.state, self.orders)
        self.directory = ExecutorDirectory(
            self.state, self.executor_poller, store, executors_topic, decode
        )
        self.scheduler = CellScheduler(
            self.state, self.orders, list_policy_proxies, query_policy_proxy
        )
        self.wait_monitor = WaitMonitor(self.scheduler)
        self.loaded = False
        self.stopped = anyio.Event()

    async def run(self) -> None:
        """Take over and own the cell until cancelled or fenced by another owner."""
        log.info("taking over the cell", cell=self.partition, fence=self.fence)
        try:
            async with anyio.create_task_group() as group:
                self.state.group = group
                await self.load()
                self.loaded = True
                group.start_soon(self.state.journal.run)
                group.start_soon(self.authority.run)
                group.start_soon(self.directory.run)
                group.start_soon(self.scheduler.run)
                group.start_soon(self.evict_ended_jobs)
                group.start_soon(RecordTrimmer(self.state).run)
                group.start_soon(self.wait_monitor.run)
                group.start_soon(Pacer(self.state).run)
        except* OwnershipLost as errors:
            log.warning(
                "cell lost",
                cell=self.partition,
                fence=self.fence,
                reason=str(errors.exceptions[0]),
            )
        except* Exception as errors:
            # The node takes over the cell again under a higher fence number.
            self.state.metrics.count("cell.failed")
            log.error("cell failed", fence=self.fence, **describe_error(errors))
        finally:
            self.loaded = False
            self.stopped.set()
            log.info("cell released", cell=self.partition, fence=self.fence)
            with anyio.CancelScope(shield=True):
                await self.close_clients()

    async def close_clients(self) -> None:
        """Close the connections to all executors, which accept a limited number."""
        while self.state.clients:
            _, client = self.state.clients.popitem()
            await client.aclose()

    def is_store_slow(self) -> bool:
        """Return whether the store answers appends slowly or not at all."""
        journal = self.state.journal
        latency_s = max(journal.average_latency_s, journal.unanswered_s())
        return latency_s > SLOW_APPEND_S

    def measure(self) -> dict[str, float]:
        """Return the gauges of the cell."""
        state = self.state
        fleet = state.fleet.values()
        now = state.clock()
        return {
            "cell.fence": self.fence,
            "cell.jobs.active": len(state.table.active),
            "cell.jobs.known": len(state.table.jobs),
            "cell.executors": len(fleet),
            "cell.tasks.suspects": state.table.crashes.count_suspects(),
            "cell.executors.resting": sum(
                executor.health.is_quarantined(now) for executor in fleet
            ),
            "cell.executors.silent": sum(
                executor.is_unresponsive for executor in fleet
            ),
            "cell.attempts": sum(len(executor.runs) for executor in fleet),
            "cell.used_cpu_millis": sum(executor.used_cpu for executor in fleet),
            "cell.room_cpu_millis": sum(
                executor.entry.cpu_millis for executor in fleet
            ),
            "cell.free_cpu_millis": sum(
                executor.free_capacity()[0] for executor in fleet
            ),
            "cell.executors.over_capacity": sum(
                executor.is_overfull() for executor in fleet
            ),
            "cell.journal.waiting": len(state.journal.queue),
            "cell.records.bytes": state.journal.stored_bytes,
            "cell.records.read_s": state.journal.read_s(),
            "cell.journal.unanswered_s": state.journal.unanswered_s(),
            **measure_knowledge(state),
            **self.wait_monitor.measure(),
            **measure_accounts(
                state, self.scheduler.caps, self.scheduler.backlog.waiting
            ),
        }

    async def load(self) -> None:
        """Fence the previous owner and read the records that it has written."""
        started_at = anyio.current_time()
        await self.state.journal.open(OWNER_KEY, msgspec.json.encode(self.fence))
        fenced_at = anyio.current_time()
        records = await self.read_records()
        read_at = anyio.current_time()
        by_key = {record.key: record.value for record in records if record.value}
        for key, value in by_key.items():
            self.state.journal.record_stored(key, value)
        term = self.read_term(by_key.get(TERM_KEY))
        is_bounded = term == self.read_bounded_terms(by_key.get(BOUNDED_KEY))
        self.state.table = JobTable(self.state.wall_clock, term * ATTEMPTS_PER_TERM + 1)
        self.state.journal.put(TERM_KEY, msgspec.json.encode(term + 1))
        if is_bounded:
            self.record_bounded_terms(term + 1)
        self.restore_lease(by_key.get(LEASE_KEY))
        self.authority.on_exclusive = functools.partial(
            self.begin_exclusive, None if is_bounded else term + 1
        )
        self.restore_voters(by_key, is_bounded)
        for key, value in by_key.items():
            if key.startswith(JOB_KEY):
                self.restore_job(key[len(JOB_KEY) :], value, by_key)
            elif key.startswith(EXECUTOR_KEY):
                self.restore_executor(key, value)
            elif key.startswith(QUEUE_KEY):
                self.restore_queue(key, value)
            elif key.startswith(ACCOUNT_KEY):
                self.restore_account(key, value)
        self.state.accounts.recount(
            [job.spec for job in self.state.table.jobs.values()],
            self.state.wall_clock(),
        )
        self.state.release_withheld_tasks()
        self.state.owned_since = anyio.current_time()
        log.info(
            "cell read",
            cell=self.partition,
            jobs=len(self.state.table.jobs),
            active=len(self.state.table.active),
            executors=len(self.state.fleet),
            term=term + 1,
            records=len(records),
            fence_ms=round((fenced_at - started_at) * 1000),
            read_ms=round((read_at - fenced_at) * 1000),
            took_ms=round((anyio.current_time() - started_at) * 1000),
        )

    async def read_records(self) -> list[KeyedRecord]:
        """Read the newest record of each key, retrying until the store answers.

        The pages that were read are kept when the next one fails. They are consistent,
        as nobody but this owner appends once the log is fenced.
        """
        records: list[KeyedRecord] = []
        next_key: str | None = ""
        transfer_s = self.state.traffic.transfer_s(PAGE_BYTES)
        least_timeout_s = PAGE_TIMEOUT_S + PAGE_TRANSFERS * transfer_s
        timeout_s = least_timeout_s
        while next_key is not None:
            sent_at = anyio.current_time()
            try:
                with sending_for(Purpose.TAKEOVER):
                    page = await self.store.read_newest_page(
                        self.topic, self.partition, next_key, sent_at + timeout_s
                    )
            except (StoreUnavailable, StoreRefused) as error:
                log.warning(
                    "reading the cell's records failed",
                    cell=self.partition,
                    records=len(records),
                    error=str(error),
                )
                timeout_s = min(2 * timeout_s, MAX_PAGE_TIMEOUT_S)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            records += page.records
            next_key = page.next_key
            took_s = anyio.current_time() - sent_at
            timeout_s = min(max(least_timeout_s, 2 * took_s), MAX_PAGE_TIMEOUT_S)
        return records

    def restore_lease(self, value: bytes | None) -> None:
        """Set the longest lease that earlier owners may have requested."""
        timing = self.state.timing
        own_ms = int(timing.lease_s * 1000)
        max_lease_ms = int(timing.max_lease_s * 1000)
        recorded_ms = max_lease_ms
        if value is not None:
            try:
                recorded_ms = decode_lease(value)
            except DECODE_ERRORS as error:
                self.skip_record("lease", LEASE_KEY, error)
        inherited_ms = min(max(recorded_ms, own_ms), max_lease_ms)
        self.state.inherited_lease_s = inherited_ms / 1000 + MAX_EXTENSION_DELAY_S
        self.state.longest_durable_lease_ms = recorded_ms
        if value is None:
            self.state.journal.put(LEASE_KEY, msgspec.json.encode(own_ms))
            self.state.longest_durable_lease_ms = own_ms
        self.state.record_lease()

    def confirm(self) -> None:
        """Let the store confirm that no later owner has fenced the log."""
        self.authority.confirm()

    def apply_timing(self, timing: CellTiming) -> None:
        """Use changed time limits; a longer lease once it is durable."""
        self.state.timing = timing
        self.state.record_lease()

    def restore_voters(self, by_key: dict[str, bytes], is_bounded: bool) -> None:
        """Set the voters of earlier owners and the executors that they have recorded.

        Without a record of voters, earlier owners have had no votes.
        """
        electorate = None
        value = by_key.get(VOTERS_KEY)
        if value is not None:
            try:
                electorate = decode_electorate(value)
            except DECODE_ERRORS as error:
                self.skip_record("voters", VOTERS_KEY, error)
        has_voters = electorate is not None and electorate.voters
        self.authority.restore(
            electorate if has_voters else None,
            [
                key[len(EXECUTOR_KEY) :]
                for key in by_key
                if key.startswith(EXECUTOR_KEY)
            ],
            is_bounded,
        )

    def begin_exclusive(self, unbounded_terms: int | None) -> None:
        """Use new executors, now that no earlier owner acts any more.

        ``unbounded_terms`` is the number of terms up to this one if some owner of them
        may have acted without the store for longer than this build allows.
        """
        self.executor_poller.enroll_all()
        if unbounded_terms is not None:
            self.record_bounded_terms(unbounded_terms)

    def record_bounded_terms(self, terms: int) -> None:
        """Record that the owners of so many terms act without the store for a time."""
        self.state.journal.put(BOUNDED_KEY, msgspec.json.encode(terms))

    def read_bounded_terms(self, value: bytes | None) -> int:
        """Return the number of terms whose owners act without the store for a time."""
        if value is None:
            return 0
        try:
            return decode_term(value)
        except DECODE_ERRORS as error:
            self.skip_record("bounded terms", BOUNDED_KEY, error)
            return 0

    def read_term(self, value: bytes | None) -> int:
        """Return the number of earlier terms.

        Each takeover raises the term by one and the fence number by one or more. A
        term that cannot be decoded is therefore replaced by the fence number.
        """
        if value is None:
            return 0
        try:
            return decode_term(value)
        except DECODE_ERRORS as error:
            self.skip_record("term", TERM_KEY, error)
            return self.fence

    def skip_record(self, kind: str, key: str, error: Exception) -> None:
        """Count and log a stored record that cannot be used."""
        self.state.metrics.count("cell.records.unreadable")
        log.error(
            "stored record cannot be decoded", kind=kind, key=key, error=str(error)
        )

    def restore_job(self, job_id: str, value: bytes, by_key: dict[str, bytes]) -> None:
        """Restore a job of an earlier owner from its records."""
        try:
            spec = decode_spec(value)
            if spec.job_id != job_id:
                raise PipelineError(f"record of job {spec.job_id}")
            # Fields of an odd record would end the owner where the job is restored.
            check_pipeline(spec.steps)
            progress_value = by_key.get(PROGRESS_KEY + job_id)
            progress = decode_progress(progress_value) if progress_value else None
        except PipelineError as error:
            self.state.metrics.count("cell.records.unreadable")
            log.error("job record cannot be decoded", job=job_id, error=str(error))
            return
        if spec.trimmed and (progress is None or not progress.phase.is_final):
            log.warning("record of an evicted job deleted", job=job_id)
            self.state.journal.put(JOB_KEY + job_id, b"")
            self.state.journal.put(PROGRESS_KEY + job_id, b"")
            return
        waited_s = max(0.0, (self.state.wall_clock() - spec.accepted_ms) / 1000)
        job = self.state.table.add(
            spec, anyio.current_time() - waited_s, inherited=True
        )
        if progress is not None:
            opened = min(progress.opened, max(1, spec.repeats))
            job.restore(msgspec.structs.replace(progress, opened=opened))
            self.state.table.crashes.add_job(job)
            self.state.table.mark_changed(job)
        if job.phase.is_final:
            job.ended_at = anyio.current_time()
            self.state.table.finish(job)
            if not spec.trimmed:
                self.state.untrimmed.append(job)

    def restore_executor(self, key: str, value: bytes) -> None:
        """Start polling an executor that an earlier owner has used."""
        try:
            entry = limit_entry(decode_entry(value))
        except DECODE_ERRORS as error:
            self.state.metrics.count("cell.records.unreadable")
            log.error("executor record cannot be decoded", key=key, error=str(error))
            return
        if key != EXECUTOR_KEY + entry.executor_id:
            self.skip_record("executor", key, ValueError(f"of {entry.executor_id}"))
            return
        self.executor_poller.add(entry, inherited=True)

    def restore_queue(self, key: str, value: bytes) -> None:
        """Restore the last version of a queue, which may have been removed since."""
        try:
            self.state.queues.restore(decode_queue(value))
        except DECODE_ERRORS as error:
            self.state.metrics.count("cell.records.unreadable")
            log.error("queue record cannot be decoded", key=key, error=str(error))

    def restore_account(self, key: str, value: bytes) -> None:
        """Restore the last form of an account, which may have been removed since."""
        try:
            record = decode_account(value)
            check_record(record)
            if key != ACCOUNT_KEY + record.name:
                raise ValueError(f"of {record.name}")
        except (*DECODE_ERRORS, ValueError) as error:
            self.skip_record("account", key, error)
            return
        self.state.accounts.restore(record)

    async def evict_ended_jobs(self) -> None:
        """Delete the records of jobs that callers may not query any more."""
        retention_s = self.state.timing.status_s + RETENTION_MARGIN_S
        while True:
            await anyio.sleep(EVICTION_PERIOD_S)
            now = anyio.current_time()
            ended = [
                job_id
                for job_id, job in self.state.table.jobs.items()
                if job.ended_at is not None
                and now - job.ended_at > retention_s
                # Its deletion would take the earlier place of a queued record, before
                # the deletion of the job's record, which is never without a progress.
                and PROGRESS_KEY + job_id not in self.state.journal.queue
            ]
            for job_id in ended:
                del self.state.table.jobs[job_id]
                self.state.journal.put(JOB_KEY + job_id, b"")
                self.state.journal.put(PROGRESS_KEY + job_id, b"")
            self.state.queues.delete_unused()
            self.state.accounts.delete_unused()


def limit_entry(entry: ExecutorEntry) -> ExecutorEntry:
    """Return the entry with its numbers in range.

    Earlier versions stored any number of up to 64 bits. The executor may run tasks, so
    that its record is not skipped; it takes work only with a new entry.
    """
    return msgspec.structs.replace(
        entry,
        remaining_ms=clamp(entry.remaining_ms, MAX_QUANTITY),
        born_ms=clamp(entry.born_ms, MAX_NUMBER),
        cpu_millis=clamp(entry.cpu_millis, MAX_QUANTITY),
        memory_mb=clamp(entry.memory_mb, MAX_QUANTITY),
        accelerators=clamp(entry.accelerators, MAX_QUANTITY),
    )
