"""The owner of a ledger: accepts jobs and sees that their tasks run."""

import heapq
import time
from collections.abc import Callable

import anyio
import anyio.abc
import logbook

from gypsumring.exceptions import InvariantViolation
from gypsumring.jobs.attempts import AttemptBook
from gypsumring.jobs.dispatching import Dispatcher
from gypsumring.jobs.explaining import explain
from gypsumring.jobs.gangs import GangStarter
from gypsumring.jobs.ledger import SNAPSHOT_PREFIX, JobLedger
from gypsumring.jobs.limits import APPEND_S, FINAL_STATES, TICK_S
from gypsumring.jobs.model import (
    JOB_ID_PATTERN,
    Attempt,
    Job,
    make_job_key,
    split_task_id,
)
from gypsumring.jobs.pending import PendingQueue
from gypsumring.jobs.racks import RackBook
from gypsumring.jobs.recovery import LedgerRecovery
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
    ReportTasks,
    SubmitJob,
    TaskReport,
)
from gypsumring.messages.records import (
    JobAccepted,
    JobCancelled,
    JobEnded,
    LedgerBody,
    LedgerSnapshot,
    Record,
    TaskEnded,
)
from gypsumring.messages.work import (
    GangWork,
    JobSpec,
    JobState,
    Resources,
    ServiceWork,
)
from gypsumring.metrics import RefusalReason, RetryReason
from gypsumring.ports import (
    PeerRejected,
    VmRole,
)
from gypsumring.shards import ShardContext
from gypsumring.streams import AppendTooLarge, AppendUnconfirmed, Stream
from gypsumring.utils.hashing import choose_ledger
from gypsumring.utils.snapshots import append_snapshot, split_state

__all__ = ["JobManager"]

logger = logbook.Logger("jobs")

MAX_TASKS_PER_JOB = 100_000
# Cancellations, stops and results handled in one step.
CHUNK = 256
ENDED_KEPT_S = 3_600.0
# See SNAPSHOT_EVERY_RECORDS in documents.store; ledgers write many more records.
SNAPSHOT_EVERY_RECORDS = 5_000
SNAPSHOT_EVERY_S = 600.0


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
        self.dispatcher = Dispatcher(self)
        self.attempts = AttemptBook(self)
        self.recovery = LedgerRecovery(self)
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

    # --- running ----------------------------------------------------------------------

    async def run(self) -> None:
        """Recover unless done, then serve the ledger until cancelled."""
        if not self.log_is_recovered:
            await self.recovery.recover()
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.dispatcher.run_dispatch)
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
                self.recovery.sync_due_racks()
                self.recovery.check_recovered()
                self.stops.send_due_stops()
                self.dispatcher.settle_uncertain()
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
            self.attempts.apply_report(message.shard, report, message.shard_epoch)
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

    # --- dispatch ---------------------------------------------------------------------

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
