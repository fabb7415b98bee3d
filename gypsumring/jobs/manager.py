"""The owner of a ledger: accepts jobs and sees that their tasks run."""

import heapq
import time
from collections.abc import Callable, Iterable
from contextlib import suppress

import anyio
import anyio.abc
import logbook

from gypsumring.exceptions import InvariantViolation
from gypsumring.jobs.explaining import explain
from gypsumring.jobs.gangs import GangStarter
from gypsumring.jobs.ledger import SNAPSHOT_PREFIX, JobLedger
from gypsumring.jobs.model import (
    ATTEMPTS_PER_EPOCH,
    JOB_ID_PATTERN,
    Attempt,
    AttemptState,
    Job,
    make_job_key,
    split_task_id,
)
from gypsumring.jobs.pending import PendingQueue
from gypsumring.jobs.racks import Rack, RackBook
from gypsumring.jobs.replicas import ReplicaKeeper
from gypsumring.jobs.stops import StopSender
from gypsumring.jobs.usage import RunTimes, TeamUsage
from gypsumring.messages.peer import (
    Acknowledged,
    CancelJobs,
    Explanation,
    JobReply,
    JobStatus,
    PeerMessage,
    PeerReply,
    QueryJob,
    RackTasks,
    ReportTasks,
    StartTasks,
    StartTasksReply,
    SubmitJob,
    TaskReport,
    TaskReportState,
    TasksOfLedger,
)
from gypsumring.messages.records import (
    EpochStarted,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LedgerBody,
    LedgerSnapshot,
    Record,
    TaskEnded,
    TaskIntended,
)
from gypsumring.messages.work import (
    GangWork,
    JobSpec,
    JobState,
    Priority,
    Resources,
    ServiceWork,
)
from gypsumring.metrics import RefusalReason, RetryReason
from gypsumring.ports import (
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
    VmRole,
)
from gypsumring.shards import ShardContext
from gypsumring.streams import AppendTooLarge, AppendUnconfirmed, Stream
from gypsumring.utils.backoff import backoff_s
from gypsumring.utils.hashing import choose_ledger
from gypsumring.utils.snapshots import append_snapshot, split_state

__all__ = ["JobManager"]

logger = logbook.Logger("jobs")

MAX_TASKS_PER_JOB = 100_000
# One StartTasks call carries at most this many tasks; an urgent task waits for at most
# the handling of one such batch by the rack owner.
MAX_TASKS_PER_CALL = 64
# Calls in flight to one rack; the last one is kept for urgent tasks.
MAX_CALLS_PER_RACK = 4
# Tasks assigned in one pass before other work of the event loop gets its turn.
MAX_ASSIGNED_PER_PASS = 512
# Queued jobs of one team that a pass tries, so that a long queue of jobs that fit
# nowhere costs a bounded time.
MAX_TRIED_PER_TEAM = 64
# Cancellations, stops and results handled in one step.
CHUNK = 256
DISPATCH_INTERVAL_S = 0.25
DISPATCH_PAUSE_S = 0.002
TICK_S = 0.2
APPEND_S = 10.0
SETTLE_BASE_MS = 200
SETTLE_LIMIT_MS = 5_000
FAILURE_BASE_MS = 500
FAILURE_LIMIT_MS = 60_000
# Part of the time to a deadline that the receiver of a call may use; a rack owner
# answers at its deadline at the latest.
ANSWER_SHARE = 0.8
# A replica that ran this long is no part of a crash loop.
STABLE_RUN_S = 60.0
ENDED_KEPT_S = 3_600.0
# See SNAPSHOT_EVERY_RECORDS in documents.store; ledgers write many more records.
SNAPSHOT_EVERY_RECORDS = 5_000
SNAPSHOT_EVERY_S = 600.0

FINAL_STATES = (
    TaskReportState.SUCCEEDED,
    TaskReportState.FAILED,
    TaskReportState.LOST,
    TaskReportState.PREEMPTED,
    TaskReportState.STOPPED,
    TaskReportState.REFUSED,
)
RETRY_REASONS = {
    TaskReportState.SUCCEEDED: RetryReason.TASK_FAILED,
    TaskReportState.FAILED: RetryReason.TASK_FAILED,
    TaskReportState.LOST: RetryReason.TASK_LOST,
    TaskReportState.PREEMPTED: RetryReason.TASK_PREEMPTED,
    TaskReportState.STOPPED: RetryReason.TASK_PREEMPTED,
    TaskReportState.REFUSED: RetryReason.RACK_REFUSED,
}


class JobManager:
    """Own the jobs of one ledger.

    The stream must run; the constructor subscribes to it. ``unix_time`` is the clock
    of ``finish_by`` and of the times in records.
    """

    def __init__(
        self,
        context: ShardContext,
        stream: Stream,
        unix_time: Callable[[], float] = time.time,
        snapshot_every_records: int = SNAPSHOT_EVERY_RECORDS,
        snapshot_every_s: float = SNAPSHOT_EVERY_S,
    ):
        self.context = context
        self.stream = stream
        self.unix_time = unix_time
        self.snapshot_every_records = snapshot_every_records
        self.snapshot_every_s = snapshot_every_s
        self.metrics = context.metrics
        self.random_source = context.random_source
        self.timing = context.timing
        self.ledger = JobLedger(context.metrics, self.follow_fold)
        self.pending = PendingQueue()
        self.usage = TeamUsage(context.cell)
        self.run_times = RunTimes()
        self.book = RackBook(context.cell.packing_weight, context.random_source)
        self.unrecovered: dict[str, Job] = {}
        self.delayed_jobs: dict[str, Job] = {}
        self.dirty: dict[str, Job] = {}
        self.synced_epochs: dict[str, int] = {}
        self.next_sync_at: dict[str, float] = {}
        self.syncing: set[str] = set()
        # Racks to ask again although their owner has told its tasks before.
        self.sync_wanted: set[str] = set()
        self.stops = StopSender(self)
        self.gangs = GangStarter(self)
        self.replicas = ReplicaKeeper(self)
        self.uncertain: dict[tuple[str, int], Attempt] = {}
        self.served_racks: set[str] = set()
        self.work_changed = anyio.Event()
        self.results_wanted = anyio.Event()
        self.results_appended = anyio.Event()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.log_is_recovered = False
        self.all_racks_heard = False
        self.is_draining = False
        self.calls_in_flight = 0
        stream.subscribe(self.apply, self.handle_gap)

    @property
    def jobs(self) -> dict[str, Job]:
        """Return all known jobs by key."""
        return self.ledger.jobs

    # --- fold and recovery ------------------------------------------------------------

    def apply(self, offset: int, record: Record) -> None:
        """Fold one record of the ledger stream."""
        self.ledger.apply(offset, record)

    def handle_gap(self, first_offset: int) -> None:
        """Wait for a snapshot after records were dropped from the log.

        An owner that has folded its ledger has lost nothing that it needs, as only it
        writes the records; it goes on from its own state.
        """
        if not self.log_is_recovered:
            self.ledger.reader.start_gap(first_offset)

    def snapshot(self) -> bytes:
        """Return the encoded durable state."""
        return self.ledger.dump()

    def restore(self, covers_offset: int, state: bytes) -> None:
        """Replace the durable state before recovery; raise SnapshotError."""
        if self.log_is_recovered:
            raise InvariantViolation("a serving ledger would go back to a snapshot")
        self.ledger.load(covers_offset, state)

    async def recover(self) -> None:
        """Fold the ledger to its end and fence the records of previous owners."""
        while True:
            await self.stream.wait_caught_up()
            if not self.ledger.reader.waits_for_snapshot:
                if self.ledger.epoch >= self.context.epoch:
                    break
                started = EpochStarted(self.context.node, self.context.epoch)
                with suppress(AppendUnconfirmed):
                    await self.append([started], anyio.current_time() + APPEND_S)
            else:
                await anyio.sleep(TICK_S)
        now = anyio.current_time()
        for key in sorted(self.jobs):
            job = self.jobs[key]
            if job.state is None:
                self.unrecovered[key] = job
                job.note(now, f"recovered from the ledger at epoch {self.ledger.epoch}")
        self.log_is_recovered = True
        self.replicas.follow_documents()
        self.count_possible_usage()
        self.check_recovered()

    def count_possible_usage(self) -> None:
        """Bound what tasks of the previous owner may still use."""
        possible: dict[str, Resources] = {}
        for job in self.unrecovered.values():
            hidden = job.spec.task_count - job.finished_count() - len(job.live)
            possible[job.spec.team] = possible.get(
                job.spec.team, Resources()
            ) + job.spec.task_resources.scale(max(0, hidden))
        self.usage.possible = possible

    def needed_racks(self) -> list[str]:
        """Return all rack shards that have an owner or workers that may run tasks."""
        shards = {
            shard
            for shard in self.book.racks
            if self.context.owner_address(shard) is not None
        }
        for vm in self.context.list_vms():
            if vm.role is VmRole.WORKER:
                shards.add(vm.shard)
        shards.update(vm.shard for vm in self.context.list_unlisted_workers())
        return sorted(shards)

    def check_recovered(self) -> None:
        """Place recovered tasks again once every rack has told what it runs."""
        if self.all_racks_heard:
            return
        needed = self.needed_racks()
        if not needed or any(shard not in self.synced_epochs for shard in needed):
            return
        self.all_racks_heard = True
        recovered, self.unrecovered = self.unrecovered, {}
        self.usage.possible = {}
        for job in recovered.values():
            job.is_recovered = True
            for index in job.intended:
                if index not in job.live and not job.is_finished(index):
                    self.set_result(job, index, "unknown")
            if job.is_gang:
                self.gangs.recover_gang(job)
            self.refill(job)
            self.check_job(job)

    async def sync_rack(self, shard: str) -> None:
        """Ask a rack for all tasks of this ledger and settle what it does not list."""
        rack = self.book.get(shard)
        self.sync_wanted.discard(shard)
        asked = [
            attempt
            for job in self.jobs.values()
            for attempt in job.live.values()
            if attempt.shard == shard
            and attempt.state in (AttemptState.RUNNING, AttemptState.UNCERTAIN)
        ]
        message = TasksOfLedger(
            shard, self.context.shard, self.context.epoch, self.context.peer_address
        )
        try:
            reply = await self.call_rack(shard, message)
            if not isinstance(reply, RackTasks):
                raise PeerRejected("unexpected reply")
        except (PeerTimeout, PeerUnreachable, PeerRejected):
            self.metrics.retry("jobs", RetryReason.PEER_UNREACHABLE)
            self.sync_wanted.add(shard)
            self.next_sync_at[shard] = anyio.current_time() + backoff_s(
                1, SETTLE_BASE_MS * 4, SETTLE_LIMIT_MS, self.random_source
            )
            return
        finally:
            self.syncing.discard(shard)
        rack.take_summary(reply.summary)
        listed = set()
        for report in reply.reports:
            listed.add((report.task_id, report.attempt))
            self.apply_report(shard, report, reply.shard_epoch)
        if reply.complete_in_ms > 0:
            self.sync_wanted.add(shard)
            wait_s = min(1.0, reply.complete_in_ms / 1000)
            self.next_sync_at[shard] = anyio.current_time() + wait_s
            return
        for attempt in asked:
            is_live = attempt.job.live.get(attempt.index) is attempt
            if not is_live or (attempt.task_id, attempt.number) in listed:
                continue
            # A delayed start may yet reach the owner to whom it was sent, which answers
            # a repeated one. Any later owner refuses it, and has heard each worker
            # after all starts of earlier owners had lost their effect.
            is_uncertain = attempt.state is AttemptState.UNCERTAIN
            if not is_uncertain or attempt.rack_epoch < reply.shard_epoch:
                self.end_attempt(attempt, TaskReportState.LOST, "not known to the rack")
        if not self.context.documents.is_fresh():
            # Replicas of documents that are not loaded yet were passed over.
            self.next_sync_at[shard] = anyio.current_time() + 1.0
            return
        self.synced_epochs[shard] = reply.shard_epoch
        self.count_possible_usage()
        self.check_recovered()
        self.wake()

    def sync_due_racks(self) -> None:
        """Ask racks that are new or have a new owner for their tasks."""
        now = anyio.current_time()
        for shard in self.needed_racks():
            summary = self.book.get(shard).last_gossip
            synced = self.synced_epochs.get(shard)
            is_current = (
                synced is not None
                and (summary is None or summary.epoch <= synced)
                and shard not in self.sync_wanted
            )
            if (
                is_current
                or shard in self.syncing
                or self.next_sync_at.get(shard, 0.0) > now
            ):
                continue
            self.syncing.add(shard)
            self.spawn(self.sync_rack, shard)

    # --- running ----------------------------------------------------------------------

    async def run(self) -> None:
        """Recover unless done, then serve the ledger until cancelled."""
        if not self.log_is_recovered:
            await self.recover()
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.run_dispatch)
            tasks.start_soon(self.run_results)
            tasks.start_soon(self.run_ticks)
            tasks.start_soon(self.run_snapshots)

    def spawn(self, function: Callable, *args: object) -> None:
        """Start a task of this manager."""
        if self.tasks is not None:
            self.tasks.start_soon(function, *args)

    def wake(self) -> None:
        """Let the dispatcher look at the pending jobs."""
        self.work_changed.set()

    async def run_ticks(self) -> None:
        """Do periodic work: documents, racks to ask, stops, uncertain attempts."""
        while True:
            self.replicas.follow_documents()
            self.refresh_racks()
            if self.context.may_act():
                self.sync_due_racks()
                self.check_recovered()
                self.stops.send_due_stops()
                self.settle_uncertain()
            self.forget_ended()
            await anyio.sleep(TICK_S)

    async def run_snapshots(self) -> None:
        """Append snapshots ahead of the retention limit."""
        started_at = anyio.current_time()
        while True:
            await anyio.sleep(5.0)
            if self.ledger.reader.is_due(
                started_at, self.snapshot_every_records, self.snapshot_every_s
            ):
                await self.append_snapshot()

    async def append_snapshot(self) -> bool:
        """Append the durable state in parts; tell whether all were read back."""
        snapshot_id = f"{SNAPSHOT_PREFIX}{self.random_source.getrandbits(64):016x}"
        parts = split_state(
            LedgerSnapshot, snapshot_id, self.stream.next_offset, self.snapshot()
        )
        return await append_snapshot(
            self.stream, parts, self.context.epoch, self.metrics, "jobs"
        )

    async def append(self, bodies: list[LedgerBody], deadline: float) -> None:
        """Append records at this epoch; raise AppendUnconfirmed or AppendTooLarge."""
        await self.stream.append(bodies, self.context.epoch, deadline)

    def refresh_racks(self) -> None:
        """Take in the summaries that rack owners gossip."""
        self.book.update(self.context.list_racks())

    # --- messages ---------------------------------------------------------------------

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message; raise PeerRejected.

        The reason ``append_unconfirmed`` means that the change may still take effect;
        all other reasons mean that it surely does not.
        """
        if not self.context.may_act():
            raise self.refuse(RefusalReason.NOT_OWNER)
        if not self.log_is_recovered or self.tasks is None:
            raise self.refuse(RefusalReason.RECOVERING)
        match message:
            case SubmitJob():
                deadline = anyio.current_time() + message.left_ms / 1000
                return JobReply((await self.submit(message.spec, deadline),))
            case CancelJobs():
                return await self.cancel_jobs(message)
            case QueryJob():
                job = self.jobs.get(make_job_key(message.team, message.job_id))
                return JobReply(() if job is None else (job.status(),))
            case ReportTasks():
                return await self.take_reports(message)
        raise self.refuse(RefusalReason.BAD_REQUEST)

    def refuse(self, reason: RefusalReason) -> PeerRejected:
        """Count a refusal and return the error to raise."""
        self.metrics.refuse("jobs", reason)
        return PeerRejected(reason)

    async def submit(self, spec: JobSpec, deadline: float) -> JobStatus:
        """Accept a job, or tell that it can never run; raise PeerRejected."""
        if self.is_draining:
            raise self.refuse(RefusalReason.DRAINING)
        if choose_ledger(spec.team, self.context.cell.ledgers) != self.context.shard:
            raise self.refuse(RefusalReason.NOT_OWNER)
        size = spec.task_resources
        if (
            JOB_ID_PATTERN.fullmatch(spec.job_id) is None
            or isinstance(spec.work, ServiceWork)
            or not 1 <= spec.task_count <= MAX_TASKS_PER_JOB
            or len(spec.task_args) not in (0, spec.task_count)
            or size.is_negative()
            or size == Resources()
            or spec.max_attempts < 1
        ):
            raise self.refuse(RefusalReason.BAD_REQUEST)
        key = make_job_key(spec.team, spec.job_id)
        if key not in self.jobs:
            reason = self.find_impossible(spec)
            if reason:
                self.metrics.count("jobs.impossible")
                return JobStatus(
                    job_id=spec.job_id,
                    state=JobState.IMPOSSIBLE,
                    reason=reason,
                    pending=0,
                    running=0,
                    succeeded=0,
                    failed=0,
                    uncertain=0,
                )
            await self.wait_for_log(deadline)
            await self.append_or_reject([JobAccepted(spec, self.unix_time())], deadline)
        job = self.jobs.get(key)
        if job is None:
            # The record was read back after a newer epoch had started.
            raise self.refuse(RefusalReason.OLD_EPOCH)
        if job.spec != spec:
            raise self.refuse(RefusalReason.KEY_CONFLICT)
        return job.status()

    async def wait_for_log(self, deadline: float) -> None:
        """Wait until the log answers, so that nothing is sent in an outage."""
        limit_s = self.timing.lease_ms / 1000
        while anyio.current_time() - self.stream.fresh_at > limit_s:
            if anyio.current_time() >= deadline:
                raise self.refuse(RefusalReason.LOG_UNAVAILABLE)
            await anyio.sleep(0.1)

    async def append_or_reject(self, bodies: list[LedgerBody], deadline: float) -> None:
        """Append records for a caller; raise PeerRejected if that is not confirmed."""
        try:
            await self.append(bodies, deadline)
        except AppendTooLarge as error:
            raise self.refuse(RefusalReason.BODY_TOO_LARGE) from error
        except AppendUnconfirmed as error:
            if not error.sent:
                raise self.refuse(RefusalReason.LOG_UNAVAILABLE) from error
            self.metrics.retry("jobs", RetryReason.APPEND_UNCONFIRMED)
            raise PeerRejected(RetryReason.APPEND_UNCONFIRMED) from error

    def find_impossible(self, spec: JobSpec) -> str:
        """Return why a job can never run, or an empty text."""
        size = spec.task_resources
        quota = self.usage.quota(spec.team)
        is_gang = isinstance(spec.work, GangWork)
        needed = size.scale(spec.task_count) if is_gang else size
        if not needed.fits_in(quota):
            what = "all tasks together" if is_gang else "one task"
            return f"{what} need {needed}, above the team's quota of {quota}"
        sizes = [
            Resources(vm.cpu_millis, vm.memory_mb, vm.accelerators)
            for vm in self.context.list_vms()
            if vm.role is VmRole.WORKER
        ]
        sizes += [
            rack.summary.largest_worker
            for rack in self.book.racks.values()
            if rack.summary is not None
        ]
        if sizes and not any(size.fits_in(worker) for worker in sizes):
            return f"a task needs {size}, which is larger than any worker"
        return ""

    async def cancel_jobs(self, message: CancelJobs) -> JobReply:
        """Accept cancellations in chunks; raise PeerRejected at the deadline."""
        deadline = anyio.current_time() + message.left_ms / 1000
        statuses: list[JobStatus] = []
        for start in range(0, len(message.job_ids), CHUNK):
            chunk = [
                self.jobs[key]
                for job_id in message.job_ids[start : start + CHUNK]
                if (key := make_job_key(message.team, job_id)) in self.jobs
            ]
            bodies = [
                JobCancelled(job.key, message.requested_by)
                for job in chunk
                if job.state is None and job.cancelled_by is None
            ]
            if bodies:
                await self.wait_for_log(deadline)
                await self.append_or_reject(bodies, deadline)
            statuses += [job.status() for job in chunk]
            await anyio.sleep(0)
        return JobReply(tuple(statuses))

    async def take_reports(self, message: ReportTasks) -> Acknowledged:
        """Apply reports and name those whose outcome is durable."""
        for report in message.reports:
            self.apply_report(message.shard, report, message.shard_epoch)
        final = [report for report in message.reports if report.state in FINAL_STATES]
        # Waiting for the append saves the rack owner one more report of each task.
        with anyio.move_on_after(self.timing.call_ms / 2000):
            while not all(self.is_settled(report) for report in final):
                await self.results_appended.wait()
        return Acknowledged(
            tuple(
                (report.task_id, report.attempt)
                for report in final
                if self.is_settled(report)
            )
        )

    def is_settled(self, report: TaskReport) -> bool:
        """Tell whether a final report needs no further append."""
        key, index = split_task_id(report.task_id)
        job = self.jobs.get(key)
        if job is None or job.is_durably_finished(index):
            return True
        return index not in job.results and index not in job.early

    # --- changes of jobs --------------------------------------------------------------

    def follow_fold(self, job: Job, body: LedgerBody) -> None:
        """Act on a record that changed a job, once this owner serves the ledger."""
        if not self.log_is_recovered:
            return
        now = anyio.current_time()
        match body:
            case JobAccepted():
                job.is_recovered = True
                job.queued_at = now
                job.note(now, f"accepted at epoch {self.context.epoch}")
                self.metrics.count("jobs.accepted")
                self.refill(job)
            case JobCancelled():
                job.note(now, f"cancelled by {job.cancelled_by}")
                self.stop_job(job)
            case TaskEnded():
                for index in list(job.results):
                    if job.is_durably_finished(index):
                        del job.results[index]
                self.announce_results()
                self.check_job(job)
            case JobEnded():
                job.note(now, f"ended: {job.state} {job.reason}")
                self.pending.discard(job)
                self.dirty.pop(job.key, None)
                self.delayed_jobs.pop(job.key, None)
                self.metrics.count(f"jobs.ended.{job.state}")
                job.results.clear()
                self.announce_results()

    def announce_results(self) -> None:
        """Wake the reports that wait for results to become durable."""
        self.results_appended.set()
        self.results_appended = anyio.Event()

    def refill(self, job: Job) -> None:
        """Queue the tasks of a job that neither run nor have ended."""
        if (
            job.state is not None
            or job.cancelled_by is not None
            or job.aborting
            or not job.is_recovered
        ):
            return
        delayed = {index for _, index in job.delayed}
        job.waiting.clear()
        job.waiting.extend(
            index
            for index in range(job.wanted_count)
            if index not in job.live
            and index not in delayed
            and not job.is_finished(index)
        )
        self.queue_job(job)

    def queue_job(self, job: Job) -> None:
        """Put a job with waiting tasks into the pending queue."""
        if not job.is_recovered:
            return
        if not job.waiting or job.state is not None or job.cancelled_by is not None:
            self.pending.discard(job)
            return
        run_s = self.run_times.estimate_s(job.spec.service, job.spec.declared_run_ms)
        latest_start = job.finish_by - run_s if job.finish_by else float("inf")
        self.pending.add(job, latest_start)
        self.wake()

    def delay_task(self, job: Job, index: int, delay_s: float) -> None:
        """Queue a task again after a delay."""
        heapq.heappush(job.delayed, (anyio.current_time() + delay_s, index))
        self.delayed_jobs[job.key] = job

    def release_delayed(self) -> None:
        """Queue tasks whose delay has passed."""
        now = anyio.current_time()
        for key in list(self.delayed_jobs):
            job = self.delayed_jobs[key]
            if not job.is_recovered:
                continue
            if not job.delayed or job.delayed[0][0] > now:
                continue
            while job.delayed and job.delayed[0][0] <= now:
                _, index = heapq.heappop(job.delayed)
                if (
                    index < job.wanted_count
                    and index not in job.live
                    and not job.is_finished(index)
                ):
                    job.waiting.append(index)
            if not job.delayed:
                del self.delayed_jobs[key]
            self.queue_job(job)

    def stop_job(self, job: Job) -> None:
        """Stop all tasks of a cancelled job."""
        self.pending.discard(job)
        job.waiting.clear()
        job.delayed.clear()
        self.delayed_jobs.pop(job.key, None)
        for attempt in list(job.live.values()):
            self.request_stop(attempt)
        self.check_job(job)

    def request_stop(self, attempt: Attempt) -> None:
        """Stop an attempt wherever it is."""
        if attempt.stop_requested:
            return
        attempt.stop_requested = True
        if attempt.may_run:
            self.stops.queue_stop(attempt.shard, attempt.task_id, attempt.number)

    def find_attempt(self, task_id: str, number: int) -> Attempt | None:
        """Return a live attempt."""
        key, index = split_task_id(task_id)
        job = self.jobs.get(key)
        attempt = None if job is None else job.live.get(index)
        return attempt if attempt is not None and attempt.number == number else None

    def set_result(self, job: Job, index: int, result: str) -> None:
        """Keep the final result of a task until it is in the ledger."""
        if not job.is_finished(index):
            job.results[index] = result
            self.mark_dirty(job)

    def mark_dirty(self, job: Job) -> None:
        """Let the result task look at a job."""
        self.dirty[job.key] = job
        self.results_wanted.set()

    def check_job(self, job: Job) -> None:
        """End a job that has nothing left to do."""
        if job.state is not None or job.live:
            return
        if job.is_service:
            services = self.replicas.services
            if job.cancelled_by is not None and services.get(job.key) is job:
                del services[job.key], self.jobs[job.key]
                self.unrecovered.pop(job.key, None)
            return
        if job.key in self.unrecovered:
            return
        if job.cancelled_by is not None or job.finished_count() >= job.spec.task_count:
            self.mark_dirty(job)

    def describe_end(self, job: Job) -> JobEnded | None:
        """Return the record that ends a job, if all its tasks have ended."""
        if job.state is not None or job.live or job.key in self.unrecovered:
            return None
        count = job.spec.task_count
        results = list(job.results.values())
        succeeded = len(job.succeeded) + results.count("succeeded")
        if succeeded >= count:
            state, reason = JobState.SUCCEEDED, ""
        elif job.cancelled_by is not None:
            state, reason = JobState.CANCELLED, f"cancelled by {job.cancelled_by}"
        elif job.finished_count() >= count:
            unknown = len(job.unknown) + results.count("unknown")
            state = JobState.FAILED
            reason = (
                f"{count - succeeded - unknown} tasks failed, "
                f"the outcome of {unknown} is unknown"
            )
        else:
            return None
        return JobEnded(job.key, state, reason, self.unix_time())

    async def run_results(self) -> None:
        """Append results of tasks and ends of jobs in batches."""
        while True:
            await self.results_wanted.wait()
            self.results_wanted = anyio.Event()
            # Results of a few milliseconds share one append.
            await anyio.sleep(0.01)
            while self.dirty:
                await self.append_results()

    async def append_results(self) -> None:
        """Append the results of a bounded number of jobs."""
        jobs = [self.dirty.pop(key) for key in list(self.dirty)[:CHUNK]]
        bodies: list[LedgerBody] = []
        for job in jobs:
            by_result: dict[str, list[int]] = {
                "succeeded": [],
                "failed": [],
                "unknown": [],
            }
            for index in sorted(job.results):
                by_result[job.results[index]].append(index)
            if job.results:
                bodies.append(
                    TaskEnded(
                        job.key, **{name: tuple(by_result[name]) for name in by_result}
                    )
                )
            ended = self.describe_end(job)
            if ended is not None:
                bodies.append(ended)
        if not bodies:
            return
        try:
            await self.append(bodies, anyio.current_time() + APPEND_S)
        except AppendUnconfirmed:
            # A second record of the same results has no effect.
            self.metrics.retry("jobs", RetryReason.APPEND_UNCONFIRMED)
            for job in jobs:
                if job.state is None:
                    self.dirty.setdefault(job.key, job)
            await anyio.sleep(TICK_S)

    def forget_ended(self) -> None:
        """Drop jobs that ended long ago."""
        now = self.unix_time()
        for key in list(self.jobs):
            job = self.jobs[key]
            if job.state is not None and job.ended_at + ENDED_KEPT_S < now:
                del self.jobs[key]

    # --- attempts ---------------------------------------------------------------------

    def create_attempt(self, job: Job, index: int, shard: str) -> Attempt:
        """Count and return a new attempt; raise InvariantViolation."""
        if index in job.live:
            raise InvariantViolation(
                f"task {index} of job {job.key!r} would have two live attempts"
            )
        if not job.is_recovered:
            raise InvariantViolation(f"job {job.key!r} would start before recovery")
        self.usage.add(job.spec.team, job.spec.task_resources)
        attempt = job.make_attempt(index, self.context.epoch, shard)
        job.live[index] = attempt
        return attempt

    def remove_attempt(self, attempt: Attempt) -> None:
        """Take an attempt out of the live ones and out of the team's usage."""
        job = attempt.job
        if job.live.get(attempt.index) is not attempt:
            raise InvariantViolation(f"attempt of {attempt.task_id!r} ended twice")
        del job.live[attempt.index]
        job.last_ended[attempt.index] = attempt.number
        self.usage.remove(job.spec.team, attempt.resources)
        self.stops.forget(attempt)
        self.wake()

    def drop_attempt(self, attempt: Attempt, delay_s: float = 0.0) -> None:
        """End an attempt that surely never ran and queue its task again."""
        job = attempt.job
        self.remove_attempt(attempt)
        if job.starts_together:
            self.gangs.abort_gang(job, counts_as_failure=False)
        elif job.state is None and job.cancelled_by is None:
            if delay_s:
                self.delay_task(job, attempt.index, delay_s)
            elif attempt.index < job.wanted_count:
                job.waiting.appendleft(attempt.index)
                self.queue_job(job)
        self.check_job(job)

    def end_attempt(
        self, attempt: Attempt, state: TaskReportState, reason: str
    ) -> None:
        """Decide what follows the end of an attempt."""
        job = attempt.job
        now = anyio.current_time()
        index = attempt.index
        self.remove_attempt(attempt)
        job.note(
            now,
            f"task {index} attempt {attempt.number} on {attempt.shard} "
            f"{attempt.worker}: {state} {reason}".rstrip(),
        )
        ran_s = 0.0 if attempt.running_since is None else now - attempt.running_since
        if state is TaskReportState.SUCCEEDED and not job.is_service:
            if attempt.running_since is not None:
                self.run_times.learn(job.spec.service, ran_s)
            if job.starts_together and not job.aborting:
                job.early.add(index)
                self.gangs.note_gang_running(job)
            elif not job.starts_together or job.spec.task_runs_at_most_once:
                self.set_result(job, index, "succeeded")
        elif job.starts_together and job.is_recovered:
            if job.spec.task_runs_at_most_once:
                self.retry_task(job, index, state, attempt.stop_requested, ran_s)
            failed = state in (TaskReportState.FAILED, TaskReportState.LOST)
            self.gangs.abort_gang(job, failed and not attempt.stop_requested)
        elif job.cancelled_by is None:
            self.retry_task(job, index, state, attempt.stop_requested, ran_s)
        if job.aborting:
            self.gangs.abort_gang(job, counts_as_failure=False)
        self.check_job(job)

    def retry_task(
        self,
        job: Job,
        index: int,
        state: TaskReportState,
        was_stopped: bool,
        ran_s: float,
    ) -> None:
        """Queue a task again after an attempt without success, or end it."""
        spec = job.spec
        if spec.task_runs_at_most_once and state is not TaskReportState.REFUSED:
            failed = state is TaskReportState.FAILED
            self.set_result(job, index, "failed" if failed else "unknown")
            return
        self.metrics.retry("jobs", RETRY_REASONS[state])
        if index >= job.wanted_count:
            return
        if state is TaskReportState.REFUSED or (
            state is TaskReportState.STOPPED and was_stopped
        ):
            job.waiting.appendleft(index)
            self.queue_job(job)
            return
        if state is TaskReportState.PREEMPTED:
            failures = 1
        else:
            failures = job.failures.get(index, 0) + 1
            if job.is_service and ran_s >= STABLE_RUN_S:
                failures = 1
            job.failures[index] = failures
        if not job.is_service and job.failures.get(index, 0) >= spec.max_attempts:
            self.set_result(job, index, "failed")
            return
        self.delay_task(
            job,
            index,
            backoff_s(failures, FAILURE_BASE_MS, FAILURE_LIMIT_MS, self.random_source),
        )

    def apply_report(self, shard: str, report: TaskReport, shard_epoch: int) -> None:
        """Apply what a rack owner tells about one attempt."""
        key, index = split_task_id(report.task_id)
        job = self.jobs.get(key)
        attempt = None if job is None else job.live.get(index)
        is_final = report.state in FINAL_STATES
        if attempt is not None and attempt.number == report.attempt:
            if is_final:
                self.end_attempt(attempt, report.state, report.reason)
            else:
                self.note_running(attempt, report)
            return
        if job is None and not self.context.documents.is_fresh():
            # It may be a replica of a document that is not loaded yet.
            return
        if job is not None and attempt is None and not job.is_finished(index):
            if report.attempt <= job.last_ended.get(index, 0):
                # A report that was overtaken by the end of its attempt.
                return
            is_inherited = report.attempt // ATTEMPTS_PER_EPOCH < self.context.epoch
            is_known = job.state is None and 0 <= index < job.spec.task_count
            if is_inherited and is_known:
                self.adopt(job, index, shard, report, shard_epoch)
                if is_final:
                    self.end_attempt(job.live[index], report.state, report.reason)
                return
        if not is_final:
            logger.warning(
                "Stopping attempt {} of {}, which is no longer wanted.",
                report.attempt,
                report.task_id,
            )
            self.metrics.count("jobs.unwanted_attempts")
            self.stops.queue_stop(shard, report.task_id, report.attempt)

    def adopt(
        self, job: Job, index: int, shard: str, report: TaskReport, shard_epoch: int
    ) -> None:
        """Take over an attempt that a previous owner started."""
        attempt = Attempt(job, index, report.attempt, report.task_id, shard)
        attempt.may_run = True
        attempt.rack_epoch = shard_epoch
        job.live[index] = attempt
        with suppress(ValueError):
            job.waiting.remove(index)
        self.usage.adopt(job.spec.team, attempt.resources)
        self.metrics.count("jobs.adopted")
        if report.state in FINAL_STATES:
            return
        self.note_running(attempt, report)
        if job.cancelled_by is not None:
            self.request_stop(attempt)

    def note_running(self, attempt: Attempt, report: TaskReport) -> None:
        """Note that an attempt runs, or that its rack owner does not know yet."""
        now = anyio.current_time()
        job = attempt.job
        attempt.may_run = True
        attempt.worker = report.worker or attempt.worker
        if report.state is TaskReportState.UNCERTAIN:
            self.mark_uncertain(attempt)
            return
        if attempt.state is not AttemptState.RUNNING:
            attempt.state = AttemptState.RUNNING
            attempt.running_since = now
            job.note(
                now,
                f"task {attempt.index} attempt {attempt.number} runs on "
                f"{attempt.shard} {attempt.worker}, document version "
                f"{job.spec.document_version}",
            )
            if job.first_run_at is None:
                job.first_run_at = now
                job.wait_reason = ""
                if job.queued_at is not None:
                    self.metrics.record_seconds(
                        f"jobs.wait.{job.spec.priority.name.lower()}",
                        now - job.queued_at,
                    )
            if job.starts_together and job.is_recovered:
                self.gangs.note_gang_running(job)

    def mark_uncertain(self, attempt: Attempt) -> None:
        """Ask the same rack again after a delay; no other rack is tried before."""
        attempt.state = AttemptState.UNCERTAIN
        attempt.settle_count += 1
        attempt.next_settle_at = anyio.current_time() + backoff_s(
            attempt.settle_count, SETTLE_BASE_MS, SETTLE_LIMIT_MS, self.random_source
        )
        self.uncertain[(attempt.task_id, attempt.number)] = attempt

    # --- dispatch ---------------------------------------------------------------------

    async def run_dispatch(self) -> None:
        """Assign pending tasks to racks whenever something has changed."""
        while True:
            with anyio.move_on_after(DISPATCH_INTERVAL_S):
                await self.work_changed.wait()
            self.work_changed = anyio.Event()
            if self.context.may_act() and not self.is_draining:
                started_at = anyio.current_time()
                self.refresh_racks()
                self.release_delayed()
                self.dispatch()
                self.metrics.record_seconds(
                    "jobs.dispatch", anyio.current_time() - started_at
                )
            # Changes within a few milliseconds share one pass.
            await anyio.sleep(DISPATCH_PAUSE_S)

    def dispatch(self) -> None:
        """Assign a bounded number of tasks, the highest class first."""
        budget = MAX_ASSIGNED_PER_PASS
        capacity = self.book.capacity()
        for priority in sorted(Priority, reverse=True):
            heap = [
                (self.usage.weigh(team, capacity), team)
                for team in self.pending.teams(priority)
            ]
            heapq.heapify(heap)
            # Sizes that no rack takes in this pass.
            too_large: list[Resources] = []
            while heap and budget > 0:
                _, team = heapq.heappop(heap)
                assigned = self.assign_for_team(team, priority, budget, too_large)
                budget -= assigned
                if assigned:
                    heapq.heappush(heap, (self.usage.weigh(team, capacity), team))
        if budget <= 0:
            self.wake()

    def assign_for_team(
        self, team: str, priority: Priority, budget: int, too_large: list[Resources]
    ) -> int:
        """Assign tasks of the team's first job that can start; return how many."""
        now = anyio.current_time()
        for job in self.pending.list_jobs(priority, team, MAX_TRIED_PER_TEAM):
            size = job.spec.task_resources
            if now < job.next_try_at:
                continue
            if job.starts_together:
                count = self.gangs.try_gang(job)
                if count:
                    return count
                continue
            allowed = self.usage.count_allowed(
                team, size, min(len(job.waiting), budget, MAX_TASKS_PER_CALL)
            )
            if allowed == 0:
                job.wait_reason = "the team's quota is in use"
                continue
            if any(other.fits_in(size) for other in too_large):
                job.wait_reason = "no rack has room"
                continue
            choice = self.book.choose(job, allowed)
            if choice is None:
                job.wait_reason = "no rack has room"
                too_large.append(size)
                continue
            rack, count = choice
            self.assign(job, rack, [job.waiting.popleft() for _ in range(count)])
            if not job.waiting:
                self.pending.discard(job)
            return count
        return 0

    def assign(self, job: Job, rack: Rack, indexes: list[int]) -> None:
        """Create attempts on a rack and send them, after their intent if needed."""
        attempts = [self.create_attempt(job, index, rack.shard) for index in indexes]
        if job.spec.task_runs_at_most_once:
            self.spawn(self.append_intent, job, rack, attempts)
        else:
            self.enqueue(rack, attempts)

    def enqueue(self, rack: Rack, attempts: Iterable[Attempt]) -> None:
        """Pass attempts to the rack's task."""
        if rack.shard not in self.served_racks:
            self.served_racks.add(rack.shard)
            self.spawn(self.serve_rack, rack)
        for attempt in attempts:
            rack.enqueue(attempt)

    async def intend(self, job: Job, attempts: list[Attempt], deadline: float) -> bool:
        """Record that at-most-once tasks may run from now on; tell if it is durable."""
        number = max(attempt.number for attempt in attempts)
        indexes = tuple(attempt.index for attempt in attempts)
        self.calls_in_flight += 1
        try:
            await self.append([TaskIntended(job.key, indexes, number)], deadline)
        except AppendUnconfirmed:
            # Nothing is sent to the rack. If the record appears, a later owner takes
            # the tasks for possibly run, which is safe.
            self.metrics.retry("jobs", RetryReason.APPEND_UNCONFIRMED)
            return False
        finally:
            self.calls_in_flight -= 1
        # The record is ignored if the job has ended or the epoch is over.
        return all(job.intended.get(index, 0) >= number for index in indexes)

    async def append_intent(
        self, job: Job, rack: Rack, attempts: list[Attempt]
    ) -> None:
        """Record the intent of at-most-once tasks, then send them."""
        if await self.intend(job, attempts, anyio.current_time() + APPEND_S):
            self.enqueue(rack, attempts)
            return
        for attempt in attempts:
            self.drop_attempt(attempt, delay_s=1.0)

    async def serve_rack(self, rack: Rack) -> None:
        """Send queued attempts to one rack, urgent ones first."""
        while True:
            await rack.work_arrived.wait()
            rack.work_arrived = anyio.Event()
            while rack.calls_in_flight < MAX_CALLS_PER_RACK:
                attempts = rack.take_queued(True, MAX_TASKS_PER_CALL)
                if not attempts and rack.calls_in_flight < MAX_CALLS_PER_RACK - 1:
                    attempts = rack.take_queued(False, MAX_TASKS_PER_CALL)
                if not attempts:
                    break
                rack.calls_in_flight += 1
                self.spawn(self.send_queued, rack, attempts)

    async def send_queued(self, rack: Rack, attempts: list[Attempt]) -> None:
        """Send one batch of new attempts."""
        try:
            wanted = [attempt for attempt in attempts if not attempt.stop_requested]
            for attempt in attempts:
                if attempt.stop_requested:
                    self.drop_attempt(attempt)
            if wanted:
                await self.send_starts(rack, wanted)
        finally:
            rack.answered(attempts)
            rack.calls_in_flight -= 1
            rack.work_arrived.set()
            self.wake()

    async def send_starts(
        self, rack: Rack, attempts: list[Attempt], reservation_id: str = ""
    ) -> None:
        """Send starts and apply the answer; ends with each attempt in a known state.

        All attempts have the same rack epoch, which is the known one for new attempts
        and never changes after the first send.
        """
        for attempt in attempts:
            if attempt.state is AttemptState.QUEUED:
                attempt.state = AttemptState.SENT
                attempt.rack_epoch = attempt.rack_epoch or rack.epoch
        deadline = self.call_deadline()
        message = StartTasks(
            shard=rack.shard,
            ledger=self.context.shard,
            ledger_epoch=self.context.epoch,
            rack_epoch=attempts[0].rack_epoch,
            reply_address=self.context.peer_address,
            tasks=tuple(attempt.to_start() for attempt in attempts),
            reservation_id=reservation_id,
            left_ms=self.left_ms(deadline),
        )
        try:
            reply = await self.call_rack(rack.shard, message)
        except (PeerUnreachable, PeerRejected) as error:
            self.note_failed_call(rack, error)
            for attempt in self.still_live(attempts):
                if attempt.may_run:
                    self.mark_uncertain(attempt)
                else:
                    attempt.job.wait_reason = f"{rack.shard}: {error}"
                    self.drop_attempt(attempt)
            return
        except PeerTimeout:
            self.metrics.retry("jobs", RetryReason.PEER_TIMEOUT)
            rack.note_unreachable(self.random_source)
            for attempt in self.still_live(attempts):
                self.leave_uncertain(attempt)
            return
        if not isinstance(reply, StartTasksReply):
            for attempt in self.still_live(attempts):
                self.leave_uncertain(attempt)
            return
        self.apply_start_reply(rack, attempts, reply)

    def note_failed_call(self, rack: Rack, error: Exception) -> None:
        """Count a call that a rack did not take; ask a new owner for its tasks."""
        reason = error.reason if isinstance(error, PeerRejected) else ""
        if reason == RefusalReason.OLD_EPOCH:
            self.metrics.retry("jobs", RetryReason.OWNER_MOVED)
            self.sync_wanted.add(rack.shard)
        else:
            self.metrics.retry("jobs", RetryReason.PEER_UNREACHABLE)
        rack.note_unreachable(self.random_source)

    def still_live(self, attempts: list[Attempt]) -> list[Attempt]:
        """Return the attempts that no report has ended meanwhile."""
        return [
            attempt
            for attempt in attempts
            if attempt.job.live.get(attempt.index) is attempt
        ]

    def leave_uncertain(self, attempt: Attempt) -> None:
        """Note that a start may have taken effect."""
        attempt.may_run = True
        self.metrics.retry("jobs", RetryReason.TASK_UNCERTAIN)
        # A report may have arrived before the answer was given up.
        if attempt.state is not AttemptState.RUNNING:
            self.mark_uncertain(attempt)
        if attempt.stop_requested:
            self.stops.queue_stop(attempt.shard, attempt.task_id, attempt.number)

    def apply_start_reply(
        self, rack: Rack, attempts: list[Attempt], reply: StartTasksReply
    ) -> None:
        """Apply the reports of a start call."""
        reports = {(report.task_id, report.attempt): report for report in reply.reports}
        started = False
        for attempt in self.still_live(attempts):
            report = reports.get((attempt.task_id, attempt.number))
            if report is None:
                self.leave_uncertain(attempt)
                continue
            if report.state is TaskReportState.REFUSED:
                rack.note_refusal(attempt.resources, self.random_source)
                attempt.job.wait_reason = f"{rack.shard} refused: {report.reason}"
            else:
                started = True
            self.apply_report(rack.shard, report, attempt.rack_epoch)
            if report.state not in FINAL_STATES and attempt.stop_requested:
                self.stops.queue_stop(attempt.shard, attempt.task_id, attempt.number)
        rack.take_summary(reply.summary)
        rack.note_success(started)

    def settle_uncertain(self) -> None:
        """Repeat the starts of uncertain attempts with the same rack."""
        now = anyio.current_time()
        due: dict[str, list[Attempt]] = {}
        for entry, attempt in list(self.uncertain.items()):
            is_live = attempt.job.live.get(attempt.index) is attempt
            if not is_live or attempt.state is not AttemptState.UNCERTAIN:
                del self.uncertain[entry]
            elif not attempt.stop_requested and attempt.next_settle_at <= now:
                due.setdefault(attempt.shard, []).append(attempt)
        for shard in sorted(due):
            rack = self.book.get(shard)
            if not rack.is_settling:
                rack.is_settling = True
                self.spawn(self.settle, rack, due[shard][:MAX_TASKS_PER_CALL])

    async def settle(self, rack: Rack, attempts: list[Attempt]) -> None:
        """Repeat one batch of starts with the same attempt numbers.

        Starts that were sent to an earlier owner are settled by the tasks that the new
        owner lists: it cannot tell whether they ran on a worker that is silent.
        """
        try:
            by_epoch: dict[int, list[Attempt]] = {}
            for attempt in self.still_live(attempts):
                by_epoch.setdefault(attempt.rack_epoch, []).append(attempt)
            for epoch in sorted(by_epoch):
                if epoch >= rack.epoch:
                    await self.send_starts(rack, by_epoch[epoch])
                    continue
                self.sync_wanted.add(rack.shard)
                for attempt in by_epoch[epoch]:
                    self.mark_uncertain(attempt)
        finally:
            rack.is_settling = False

    def left_ms(self, deadline: float) -> int:
        """Return the time left for a receiver, so that its answer arrives in time."""
        return int(max(0.0, deadline - anyio.current_time()) * 1000 * ANSWER_SHARE)

    def call_deadline(self) -> float:
        """Return the deadline of a call, which never outlasts the ownership."""
        return min(
            anyio.current_time() + self.timing.call_ms / 1000,
            self.context.may_act_until(),
        )

    async def call_rack(self, shard: str, message: PeerMessage) -> PeerReply:
        """Call the owner of a rack; raise the errors of the peer port."""
        address = self.context.owner_address(shard)
        if address is None:
            raise PeerUnreachable(f"{shard} has no owner")
        if not self.context.may_act():
            raise PeerUnreachable("the ownership of this ledger has ended")
        self.calls_in_flight += 1
        try:
            return await self.context.peers.call(address, message, self.call_deadline())
        finally:
            self.calls_in_flight -= 1

    async def drain(self) -> None:
        """Stop starting work and wait for calls in flight, before a handoff."""
        self.is_draining = True
        # In an outage of the log the next owner learns the results from the racks.
        with anyio.move_on_after(self.timing.lease_ms / 1000):
            while self.calls_in_flight or self.dirty:
                await anyio.sleep(0.01)

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain a job (``team:job_id`` or ``job_id``) or the shard."""
        return explain(self, subject, name)
