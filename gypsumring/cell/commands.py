"""Execution of callers' commands by the owner of a cell."""

import anyio

from gypsumring.cell.gang_starts import can_carry_gangs
from gypsumring.cell.messages import (
    Command,
    CountWaiting,
    JobAnswer,
    Outcome,
    SubmitJob,
)
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import JOB_KEY, CellState
from gypsumring.dispatch.ordering import job_target_s
from gypsumring.pipelines import Job, JobPhase, PipelineSpec, Queue, encode
from gypsumring.utils.logs import EventLogger

__all__ = ["Commands"]

log = EventLogger("jobs")

# Part of the caller's time limit that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.1
# The store counts as unavailable if it has not answered an append for this time.
STORE_UNAVAILABLE_S = 0.5
STORE_RETRY_AFTER_S = 1.0
MIN_LINK_RETRY_AFTER_S = 1.0
# A gang that this owner can never start is accepted by another owner at best.
GANG_RETRY_AFTER_S = 10.0
# Share of a caller's time for which a submission waits for a store that is unavailable.
# The rest is left for retries.
STORE_WAIT_SHARE = 0.45


class PendingSubmission:
    """Job whose record is being stored, or was withdrawn before it was sent."""

    __slots__ = ("settled", "spec", "withdrawn")

    def __init__(self, spec: PipelineSpec):
        self.spec = spec
        self.withdrawn = False
        # Set once the record is durable or has been withdrawn.
        self.settled = anyio.Event()


class Commands:
    """Handler of the commands to submit, query, count and cancel jobs."""

    __slots__ = ("accepting", "orders", "state")

    def __init__(self, state: CellState, orders: Orders):
        self.state = state
        self.orders = orders
        # Jobs whose records are being stored, by id.
        self.accepting: dict[str, PendingSubmission] = {}

    async def submit(
        self, spec: PipelineSpec, time_limit_s: float, queue: Queue | None = None
    ) -> JobAnswer:
        """Accept a job once and answer when its record is durable.

        ``queue`` is the job's queue as the node knows it that has received the job.

        While the store is unavailable, a job whose record has not been sent waits for
        a share of the caller's time. It is then withdrawn and refused, so that the
        caller may submit it again.
        """
        job_id = spec.job_id
        began_at = anyio.current_time()
        time_left_s = max(0.0, time_limit_s - ANSWER_MARGIN_S)
        known = self.find_spec(job_id)
        if known is not None and not self.may_access(known, spec.account):
            self.state.metrics.count("cell.jobs.refused.other_account")
            log.info("job refused", job=job_id, reason="id of another account")
            return JobAnswer(Outcome.OTHER_ACCOUNT)
        if job_id in self.state.table.jobs:
            return JobAnswer(Outcome.OK)
        submission = self.accepting.get(job_id)
        if submission is None:
            known_queue = queue or self.state.queues.find(spec)
            if not can_carry_gangs(self.state, spec):
                return self.refuse_gang(spec)
            excess_s = self.state.start_demand.excess_s(known_queue)
            if excess_s:
                return self.refuse_for_link(spec, excess_s)
            self.state.start_demand.begin_accepting(spec, known_queue.priority)
            submission = self.accept(spec, queue)
        await wait_until(submission.settled, began_at + STORE_WAIT_SHARE * time_left_s)
        if not submission.settled.is_set() and self.is_store_unavailable():
            self.withdraw(submission)
        await wait_until(submission.settled, began_at + time_left_s)
        if submission.withdrawn:
            return JobAnswer(Outcome.REFUSED, retry_after_s=STORE_RETRY_AFTER_S)
        if submission.settled.is_set():
            return JobAnswer(Outcome.OK)
        self.state.metrics.count("cell.jobs.uncertain")
        log.warning(
            "job uncertain",
            job=job_id,
            queue=spec.queue,
            reason="the store did not answer in time",
        )
        return JobAnswer(Outcome.UNCERTAIN)

    def refuse_for_link(self, spec: PipelineSpec, excess_s: float) -> JobAnswer:
        """Refuse a job whose starts the link of this machine cannot carry in time."""
        self.state.metrics.count("cell.jobs.refused.link_full")
        log.info(
            "job refused",
            job=spec.job_id,
            queue=spec.queue,
            reason="the link of the owner is full",
            excess_s=round(excess_s, 3),
        )
        return JobAnswer(
            Outcome.REFUSED, retry_after_s=max(MIN_LINK_RETRY_AFTER_S, excess_s)
        )

    def refuse_gang(self, spec: PipelineSpec) -> JobAnswer:
        """Refuse a job with a gang that the link of this machine can never start.

        An owner on another machine may accept it.
        """
        self.state.metrics.count("cell.jobs.refused.gang_beyond_link")
        log.info(
            "job refused",
            job=spec.job_id,
            queue=spec.queue,
            reason="the link of the owner does not carry the starts of a gang in time",
        )
        return JobAnswer(Outcome.REFUSED, retry_after_s=GANG_RETRY_AFTER_S)

    def is_store_unavailable(self) -> bool:
        """Return whether the store has left an append unanswered for too long."""
        return self.state.journal.unanswered_s() > STORE_UNAVAILABLE_S

    def accept(
        self, spec: PipelineSpec, queue: Queue | None = None
    ) -> PendingSubmission:
        """Queue the record of a new job; the job is added once it is durable."""
        if spec.account:
            spec = self.state.accounts.mark_rate(spec, self.state.wall_clock())
            if spec.beyond_rate:
                self.state.metrics.count("cell.jobs.beyond_rate")
        submission = PendingSubmission(spec)
        self.accepting[spec.job_id] = submission
        queued_at = anyio.current_time()

        def add_job() -> None:
            del self.accepting[spec.job_id]
            job = self.state.table.add(spec, anyio.current_time())
            self.finish_accepting(spec)
            self.state.metrics.count("cell.jobs.accepted")
            self.log_accepted(job, anyio.current_time() - queued_at)
            submission.settled.set()
            self.state.wake()

        self.state.queues.start_accepting(spec.queue, queue)
        if spec.account:
            self.state.accounts.start_accepting(spec.account)
        self.state.journal.put(JOB_KEY + spec.job_id, encode(spec), add_job)
        return submission

    def finish_accepting(self, spec: PipelineSpec) -> None:
        """Record that a job is in the job table or has been withdrawn."""
        self.state.start_demand.end_accepting(spec)
        self.state.queues.finish_accepting(spec.queue)
        if spec.account:
            self.state.accounts.finish_accepting(spec.account)

    def withdraw(self, submission: PendingSubmission) -> None:
        """Withdraw a job unless its record was sent, so that it never runs."""
        spec = submission.spec
        if not self.state.journal.withdraw(JOB_KEY + spec.job_id):
            return
        del self.accepting[spec.job_id]
        self.finish_accepting(spec)
        if spec.account and not spec.beyond_rate:
            self.state.accounts.meter.withdraw(spec.account)
        submission.withdrawn = True
        submission.settled.set()
        self.state.metrics.count("cell.jobs.refused.store_away")
        log.info(
            "job refused",
            job=spec.job_id,
            queue=spec.queue,
            reason="the store does not answer",
            unanswered_s=round(self.state.journal.unanswered_s(), 3),
        )

    def log_accepted(self, job: Job, store_s: float) -> None:
        """Log the properties of a job that later log lines refer to."""
        spec = job.spec
        target_s = job_target_s(job, self.state.find_queue(job))
        log.info(
            "job accepted",
            job=spec.job_id,
            queue=spec.queue,
            account=spec.account,
            beyond_rate=spec.beyond_rate,
            tasks=[step.task_count for step in spec.steps],
            fence=self.state.fence,
            cpu_millis=[step.cpu_millis for step in spec.steps],
            estimates_ms=[step.estimated_ms for step in spec.steps],
            after=[step.after for step in spec.steps],
            gangs=[number for number, step in enumerate(spec.steps) if step.gang],
            lasts=bool(spec.repeats) or any(step.long_running for step in spec.steps),
            target_ms=round(target_s * 1000),
            door_ms=self.state.wall_clock() - spec.accepted_ms,
            store_ms=round(store_s * 1000),
        )

    def check_version(self, command: Command) -> Outcome:
        """Return whether a command stands by a newer version than that of its node.

        A job that has been accepted is not refused to a caller who submits it again.
        """
        desired = self.state.desired_state()
        if desired is None or not 0 < command.version < desired.version:
            return Outcome.OK
        if isinstance(command, SubmitJob) and self.find_spec(command.job_id):
            return Outcome.OK
        if desired.find_queue(command.queue_name) is None:
            return Outcome.NO_QUEUE
        account = "" if isinstance(command, CountWaiting) else command.account
        if account and account not in desired.account_names:
            return Outcome.NO_ACCOUNT
        return Outcome.OK

    def find_spec(self, job_id: str) -> PipelineSpec | None:
        """Return the specification of a job that is accepted or being stored."""
        job = self.state.table.jobs.get(job_id)
        if job is not None:
            return job.spec
        submission = self.accepting.get(job_id)
        return None if submission is None else submission.spec

    def may_access(self, spec: PipelineSpec, account: str | None) -> bool:
        """Return whether a caller of an account may see and cancel a job.

        ``account`` is None where the deployment has no accounts. Jobs of public queues,
        and those that were accepted before it had any accounts, are open to all.
        """
        if account is None or spec.account in ("", account):
            return True
        return self.state.queues.find(spec).public

    def query(
        self, job_id: str, is_fresh: bool, account: str | None = None
    ) -> JobAnswer:
        """Return the state of a job, which is unknown to other accounts.

        A missing job is reported as unknown only if the ownership ``is_fresh``, since
        another node may own the cell otherwise.
        """
        spec = self.find_spec(job_id)
        if spec is not None and not self.may_access(spec, account):
            return JobAnswer(Outcome.UNKNOWN_JOB)
        job = self.state.table.jobs.get(job_id)
        if job is not None:
            return JobAnswer(Outcome.OK, job.durable_phase)
        if job_id in self.accepting:
            return JobAnswer(Outcome.OK, JobPhase.QUEUED)
        return JobAnswer(Outcome.UNKNOWN_JOB if is_fresh else Outcome.NOT_OWNER)

    async def cancel(
        self,
        job_id: str,
        time_limit_s: float,
        is_fresh: bool,
        account: str | None = None,
    ) -> JobAnswer:
        """Cancel a job of an account and answer once the cancellation is durable."""
        spec = self.find_spec(job_id)
        if spec is not None and not self.may_access(spec, account):
            return JobAnswer(Outcome.UNKNOWN_JOB)
        deadline = anyio.current_time() + time_limit_s - ANSWER_MARGIN_S
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            submission = self.accepting.get(job_id)
            if submission is not None:
                await submission.settled.wait()
            job = self.state.table.jobs.get(job_id)
            if job is None:
                return self.query(job_id, is_fresh)
            durable = anyio.Event()
            if job.phase.is_final:
                self.state.journal.call_when_all_durable(durable.set)
            else:
                runs = self.state.table.cancel(job)
                self.orders.stop_all(runs)
                self.state.write_progress(job, durable.set)
                log.info("job cancelled", job=job_id, attempts_stopped=len(runs))
            await durable.wait()
            return JobAnswer(Outcome.OK)
        return JobAnswer(Outcome.UNCERTAIN)

    def count_waiting(self, queue: str) -> JobAnswer:
        """Return the number of jobs of a queue that have not started."""
        return JobAnswer(Outcome.OK, count=self.state.table.count_waiting(queue))


async def wait_until(event: anyio.Event, deadline: float) -> None:
    """Wait for an event until a deadline on the clock of ``anyio.current_time``."""
    with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
        await event.wait()
