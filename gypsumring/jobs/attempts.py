"""Attempts of tasks: creation, reports, ends and retries."""

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import logbook

from gypsumring.exceptions import InvariantViolation
from gypsumring.jobs.limits import FINAL_STATES, SETTLE_BASE_MS, SETTLE_LIMIT_MS
from gypsumring.jobs.model import (
    ATTEMPTS_PER_EPOCH,
    Attempt,
    AttemptState,
    Job,
    split_task_id,
)
from gypsumring.messages.peer import TaskReport, TaskReportState
from gypsumring.metrics import RetryReason
from gypsumring.utils.backoff import backoff_s

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["AttemptBook"]

logger = logbook.Logger("jobs")

FAILURE_BASE_MS = 500
FAILURE_LIMIT_MS = 60_000
# A replica that ran this long is no part of a crash loop.
STABLE_RUN_S = 60.0
RETRY_REASONS = {
    TaskReportState.SUCCEEDED: RetryReason.TASK_FAILED,
    TaskReportState.FAILED: RetryReason.TASK_FAILED,
    TaskReportState.LOST: RetryReason.TASK_LOST,
    TaskReportState.PREEMPTED: RetryReason.TASK_PREEMPTED,
    TaskReportState.STOPPED: RetryReason.TASK_PREEMPTED,
    TaskReportState.REFUSED: RetryReason.RACK_REFUSED,
}


class AttemptBook:
    """Create, follow and end attempts, and decide on retries."""

    __slots__ = ("manager",)

    def __init__(self, manager: "JobManager"):
        self.manager = manager

    def create_attempt(self, job: Job, index: int, shard: str) -> Attempt:
        """Count and return a new attempt; raise InvariantViolation."""
        if index in job.live:
            raise InvariantViolation(
                f"task {index} of job {job.key!r} would have two live attempts"
            )
        if not job.is_recovered:
            raise InvariantViolation(f"job {job.key!r} would start before recovery")
        self.manager.usage.add(job.spec.team, job.spec.task_resources)
        attempt = job.make_attempt(index, self.manager.context.epoch, shard)
        job.live[index] = attempt
        return attempt

    def remove_attempt(self, attempt: Attempt) -> None:
        """Take an attempt out of the live ones and out of the team's usage."""
        job = attempt.job
        if job.live.get(attempt.index) is not attempt:
            raise InvariantViolation(f"attempt of {attempt.task_id!r} ended twice")
        del job.live[attempt.index]
        job.last_ended[attempt.index] = attempt.number
        self.manager.usage.remove(job.spec.team, attempt.resources)
        self.manager.stops.forget(attempt)
        self.manager.wake()

    def drop_attempt(self, attempt: Attempt, delay_s: float = 0.0) -> None:
        """End an attempt that surely never ran and queue its task again."""
        job = attempt.job
        self.remove_attempt(attempt)
        if job.starts_together:
            self.manager.gangs.abort_gang(job, counts_as_failure=False)
        elif job.state is None and job.cancelled_by is None:
            if delay_s:
                self.manager.delay_task(job, attempt.index, delay_s)
            elif attempt.index < job.wanted_count:
                job.waiting.appendleft(attempt.index)
                self.manager.queue_job(job)
        self.manager.check_job(job)

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
                self.manager.run_times.learn(job.spec.service, ran_s)
            if job.starts_together and not job.aborting:
                job.early.add(index)
                self.manager.gangs.note_gang_running(job)
            elif not job.starts_together or job.spec.task_runs_at_most_once:
                self.manager.set_result(job, index, "succeeded")
        elif job.starts_together and job.is_recovered:
            if job.spec.task_runs_at_most_once:
                self.retry_task(job, index, state, attempt.stop_requested, ran_s)
            failed = state in (TaskReportState.FAILED, TaskReportState.LOST)
            self.manager.gangs.abort_gang(job, failed and not attempt.stop_requested)
        elif job.cancelled_by is None:
            self.retry_task(job, index, state, attempt.stop_requested, ran_s)
        if job.aborting:
            self.manager.gangs.abort_gang(job, counts_as_failure=False)
        self.manager.check_job(job)

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
            self.manager.set_result(job, index, "failed" if failed else "unknown")
            return
        self.manager.metrics.retry("jobs", RETRY_REASONS[state])
        if index >= job.wanted_count:
            return
        if state is TaskReportState.REFUSED or (
            state is TaskReportState.STOPPED and was_stopped
        ):
            job.waiting.appendleft(index)
            self.manager.queue_job(job)
            return
        if state is TaskReportState.PREEMPTED:
            failures = 1
        else:
            failures = job.failures.get(index, 0) + 1
            if job.is_service and ran_s >= STABLE_RUN_S:
                failures = 1
            job.failures[index] = failures
        if not job.is_service and job.failures.get(index, 0) >= spec.max_attempts:
            self.manager.set_result(job, index, "failed")
            return
        self.manager.delay_task(
            job,
            index,
            backoff_s(
                failures, FAILURE_BASE_MS, FAILURE_LIMIT_MS, self.manager.random_source
            ),
        )

    def apply_report(self, shard: str, report: TaskReport, shard_epoch: int) -> None:
        """Apply what a rack owner tells about one attempt."""
        key, index = split_task_id(report.task_id)
        job = self.manager.jobs.get(key)
        attempt = None if job is None else job.live.get(index)
        is_final = report.state in FINAL_STATES
        if attempt is not None and attempt.number == report.attempt:
            if is_final:
                self.end_attempt(attempt, report.state, report.reason)
            else:
                self.note_running(attempt, report)
            return
        if job is None and not self.manager.context.documents.is_fresh():
            # It may be a replica of a document that is not loaded yet.
            return
        if job is not None and attempt is None and not job.is_finished(index):
            if report.attempt <= job.last_ended.get(index, 0):
                # A report that was overtaken by the end of its attempt.
                return
            is_inherited = (
                report.attempt // ATTEMPTS_PER_EPOCH < self.manager.context.epoch
            )
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
            self.manager.metrics.count("jobs.unwanted_attempts")
            self.manager.stops.queue_stop(shard, report.task_id, report.attempt)

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
        self.manager.usage.adopt(job.spec.team, attempt.resources)
        self.manager.metrics.count("jobs.adopted")
        if report.state in FINAL_STATES:
            return
        self.note_running(attempt, report)
        if job.cancelled_by is not None:
            self.manager.request_stop(attempt)

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
                    self.manager.metrics.record_seconds(
                        f"jobs.wait.{job.spec.priority.name.lower()}",
                        now - job.queued_at,
                    )
            if job.starts_together and job.is_recovered:
                self.manager.gangs.note_gang_running(job)

    def mark_uncertain(self, attempt: Attempt) -> None:
        """Ask the same rack again after a delay; no other rack is tried before."""
        attempt.state = AttemptState.UNCERTAIN
        attempt.settle_count += 1
        attempt.next_settle_at = anyio.current_time() + backoff_s(
            attempt.settle_count,
            SETTLE_BASE_MS,
            SETTLE_LIMIT_MS,
            self.manager.random_source,
        )
        self.manager.uncertain[(attempt.task_id, attempt.number)] = attempt
