"""Reconciliation of attempts with the task lists that executors report."""

import anyio

from gypsumring.cell.failures import (
    FailureJudge,
    Verdict,
    find_last_lapse,
    is_result,
)
from gypsumring.cell.observation import RunObserver
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState
from gypsumring.fleet import MAX_ORDER_DELAY_S, ExecutorState
from gypsumring.pipelines import Job, Run, RunState
from gypsumring.ports.tasks import ListedEnd, ListedRun, TaskLists
from gypsumring.utils.logs import EventLogger

__all__ = ["TaskListReader"]

log = EventLogger("executors")

# A task without progress for this time is started on another executor, or for this
# multiple of the time that one percent takes by its estimated duration: executors
# report whole percents, may be slow, and estimates are rough.
STALL_TIMEOUT_S = 1.3
PERCENT_TIMEOUT_FACTOR = 10.0
FULL_PERCENT = 100
# A task at 100% is started on another executor after this time plus its estimated
# duration times FULL_PROGRESS_TIMEOUT_FACTOR.
FULL_PROGRESS_TIMEOUT_S = 3.0
FULL_PROGRESS_TIMEOUT_FACTOR = 2.0
# These times double with each attempt of a task that was stopped for want of progress.
MAX_STALL_DOUBLINGS = 10
# Owners notice a restart, and record it, within this time unless the store is away.
RECENT_RESTART_MS = 60_000
# An executor reports at most this many ends in one answer.
MAX_LISTED_ENDS = 500


class TaskListReader:
    """Updater of jobs and executors from the task lists in an executor's answer."""

    __slots__ = ("failures", "observer", "orders", "state")

    def __init__(self, state: CellState, orders: Orders):
        self.state = state
        self.orders = orders
        self.observer = RunObserver(state)
        self.failures = FailureJudge(state)

    def release_all(self, executor: ExecutorState, reason: str) -> None:
        """Release all attempts that are recorded on an executor."""
        runs = list(executor.runs.values())
        if runs:
            log.warning(
                "attempts lost",
                executor=executor.executor_id,
                reason=reason,
                tasks=[run.task for run in runs],
                silent_s=round(self.state.clock() - executor.last_response_at, 3),
            )
            self.state.metrics.count("cell.attempts.lost", len(runs))
        executor.runs_were_released = True
        executor.record_expiry()
        if executor.executor_id in self.state.unreconciled:
            self.state.may_have_lost_attempts = True
        self.orders.crashes.record_loss(executor)
        for run in runs:
            self.orders.release(run)
            self.stop_remaining_members(run, reason)
        self.mark_reconciled(executor)

    def note_restart_before_takeover(
        self, executor: ExecutorState, born_ms: int
    ) -> None:
        """Note that the earlier owner may not have counted a crash of an executor.

        Its record may be of an incarnation of long ago.
        """
        is_recent = self.state.wall_clock() - born_ms < RECENT_RESTART_MS
        if is_recent and executor.executor_id in self.state.unreconciled:
            self.state.may_have_lost_attempts = True

    def mark_reconciled(self, executor: ExecutorState) -> None:
        """Mark an inherited executor as reconciled; this may release withheld tasks."""
        if executor.executor_id in self.state.unreconciled:
            self.state.unreconciled.discard(executor.executor_id)
            self.state.release_withheld_tasks()

    def stop_remaining_members(self, run: Run, reason: str) -> None:
        """Stop the other members of a gang of which one member was lost."""
        if run.step.spec.gang and not run.step.is_done:
            self.orders.stop_gang(run, reason)

    def apply(
        self, executor: ExecutorState, task_lists: TaskLists, requested_at: float
    ) -> None:
        """Apply the running and ended attempts that an executor reports."""
        is_first_response = executor.first_response_at is None
        max_lease_ms = int(self.state.timing.max_lease_s * 1000)
        has_restarted = (
            bool(task_lists.born_ms) and task_lists.born_ms != executor.born_ms
        )
        if has_restarted and not is_first_response:
            log.warning("executor has restarted", executor=executor.executor_id)
            self.state.metrics.count("cell.executors.reborn")
            self.orders.crashes.record_restart(
                executor, [(run.task, run.attempt) for run in task_lists.running]
            )
            executor.start_incarnation(
                task_lists.born_ms, task_lists.clock_ms + max_lease_ms
            )
            self.back_off_after_restart(executor)
        if has_restarted and is_first_response:
            self.note_restart_before_takeover(executor, task_lists.born_ms)
        executor.born_ms = task_lists.born_ms or executor.born_ms
        runs_were_released = executor.runs_were_released
        executor.runs_were_released = False
        executor.record_clock(task_lists.clock_ms, self.state.clock())
        if is_first_response and executor.executor_id in self.state.unreconciled:
            # The previous owner may have extended the lease just before the takeover.
            inherited_ms = int(self.state.inherited_lease_s * 1000)
            executor.lease_until_ms = task_lists.clock_ms + inherited_ms
            self.failures.record_first_answer(executor, task_lists)
        # The ends of an earlier owner may take several answers.
        may_adopt = executor.executor_id in self.state.unreconciled
        if is_first_response or has_restarted or runs_were_released:
            self.block_late_start(executor)
        listed_keys = {(run.task, run.attempt) for run in task_lists.running}
        self.apply_running(executor, task_lists.running, may_adopt, requested_at)
        changed_jobs = self.apply_ended(executor, task_lists.ended, may_adopt)
        lists_all_ends = len(task_lists.ended) < MAX_LISTED_ENDS
        if is_first_response or has_restarted:
            self.confirm_incarnation(
                executor, listed_keys, requested_at, lists_all_ends
            )
        if lists_all_ends and not executor.is_unconfirmed:
            self.release_absent(executor, listed_keys, requested_at)
        if is_first_response or has_restarted or runs_were_released:
            self.orders.crashes.resolve(executor)
        executor.unknown_runs &= listed_keys
        if lists_all_ends:
            self.failures.record_all_listed(executor)
            if not executor.is_unconfirmed:
                self.mark_reconciled(executor)
        self.acknowledge(executor, changed_jobs)
        if changed_jobs or task_lists.ended or is_first_response:
            self.state.wake()

    def confirm_incarnation(
        self,
        executor: ExecutorState,
        listed_keys: set[tuple[str, int]],
        requested_at: float,
        lists_all_ends: bool,
    ) -> None:
        """Let the store confirm the owner before it relies on what is not listed."""
        incarnation = executor.born_ms
        executor.is_unconfirmed = True

        def apply_confirmation() -> None:
            if executor.born_ms != incarnation:
                return
            executor.is_unconfirmed = False
            if lists_all_ends:
                self.release_absent(executor, listed_keys, requested_at)
                self.mark_reconciled(executor)
            self.state.wake()

        self.state.authority.confirm(apply_confirmation)

    def back_off_after_restart(self, executor: ExecutorState) -> None:
        """Assign no work to a new incarnation while an old long poll may reach it.

        Such a long poll would make it discard ends that the owner has not received.
        Starts that are in flight are cancelled.
        """
        back_off_until = executor.unanswered_poll_at + MAX_ORDER_DELAY_S
        if back_off_until <= self.state.clock():
            return
        executor.health.forbid_work(back_off_until)
        for run in list(executor.runs.values()):
            if run.answered_at is None:
                self.orders.stop(run)

    def block_late_start(self, executor: ExecutorState) -> None:
        """Block unanswered starts that may still be executed."""
        for key in executor.list_late_starts(anyio.current_time()):
            executor.starts_to_block.add(key)
            self.state.group.start_soon(self.orders.block_late_start, executor, *key)

    def apply_running(
        self,
        executor: ExecutorState,
        running: list[ListedRun],
        may_adopt: bool,
        requested_at: float,
    ) -> None:
        """Update the running attempts and stop those that the cell has no record of.

        If this process was paused, the answer may have waited in a socket buffer, so
        the time without progress is measured up to the request of the task lists.
        """
        now = anyio.current_time()
        for listed in running:
            key = (listed.task, listed.attempt)
            run = executor.runs.get(key)
            if run is None and may_adopt:
                run = self.adopt(executor, listed.task, listed.attempt, True)
            if run is None:
                if key not in executor.unknown_runs:
                    log.warning(
                        "stopping an attempt that the cell has no record of",
                        task=listed.task,
                        attempt=listed.attempt,
                        executor=executor.executor_id,
                    )
                    executor.unknown_runs.add(key)
                    self.state.group.start_soon(
                        self.orders.stop_unknown_run, executor, *key
                    )
                continue
            self.state.table.mark_begun(run)
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.answered_at = run.progress_at = now
                executor.health.record_accepted(self.state.clock())
            if listed.percent > run.percent:
                run.percent = listed.percent
                run.progress_at = now
            elif has_stalled(run, requested_at):
                self.stop_stalled(executor, run)
            run.load = listed.load
            if listed.checkpoint and listed.checkpoint != run.step.checkpoint_of(
                run.index
            ):
                run.checkpoint_at = now
            self.observer.record_listed(
                executor, run, listed.percent, executor.clock_ms
            )
            run.step.save_checkpoint(run.index, listed.checkpoint)

    def stop_stalled(self, executor: ExecutorState, run: Run) -> None:
        """Stop an attempt without progress, and quarantine its executor.

        If earlier attempts of the task stood still elsewhere, the task is the cause and
        the executor is not quarantined.
        """
        spec = run.step.spec
        if run.state is not RunState.RUNNING or spec.long_running or run.pace < 100:
            return
        log.warning(
            "attempt stands still",
            **run.log_fields(),
            percent=run.percent,
            still_s=round(anyio.current_time() - run.progress_at, 3),
        )
        self.state.metrics.count("cell.attempts.stalled")
        stalls = run.step.stalls.get(run.index, 0)
        run.step.stalls[run.index] = stalls + 1
        if not stalls:
            executor.health.quarantine(self.state.clock())
        run.step.avoided.setdefault(run.index, set()).add(run.executor_id)
        self.orders.stop(run)

    def adopt(
        self, executor: ExecutorState, task: str, attempt: int, running: bool
    ) -> Run | None:
        """Adopt an attempt of an earlier owner; stop it if it is not needed."""
        run = self.state.table.adopt(
            task, attempt, executor.executor_id, anyio.current_time(), running
        )
        if run is None:
            return None
        executor.add_run(run)
        other_runs = [other for other in run.step.runs[run.index] if other is not run]
        is_duplicate = bool(other_runs) and not run.step.spec.speculative
        if is_duplicate or run.step.job.phase.is_final or run.step.is_done:
            self.orders.stop(run)
        return run

    def apply_ended(
        self, executor: ExecutorState, ended: list[ListedEnd], may_adopt: bool
    ) -> set[Job]:
        """Apply the new ends and return the jobs whose progress is to be stored.

        The executor discards an end once it is acknowledged, so that a result is also
        applied if the cell has no record of the attempt. A failure that does not count
        is applied as an end by an expired lease.
        """
        changed_jobs: set[Job] = set()
        last_lapse = find_last_lapse(ended)
        for end in ended:
            if end.number <= executor.last_seen_end:
                continue
            executor.last_seen_end = end.number
            run = executor.runs.get((end.task, end.attempt))
            if run is None and (may_adopt or is_result(executor, end)):
                run = self.adopt(executor, end.task, end.attempt, False)
            if run is None:
                continue
            self.state.release_capacity(executor, run)
            how = self.outcome_of(executor, run, end, last_lapse)
            self.update_health(executor, run, how)
            job = run.step.job
            was_final = job.phase.is_final
            outcome = self.state.table.end(
                run, how, end.checkpoint, self.state.find_queue(job).max_attempts
            )
            if how == "failed":
                run.step.failed_at[run.index] = anyio.current_time()
            self.orders.crashes.record_end(run)
            self.state.metrics.count(f"cell.ends.{how}")
            log.info("attempt ended", **run.log_fields(), how=how, end=end.number)
            self.orders.stop_all(outcome.stop)
            if outcome.changed and not was_final:
                changed_jobs.add(job)
        return changed_jobs

    def outcome_of(
        self, executor: ExecutorState, run: Run, end: ListedEnd, last_lapse: int
    ) -> str:
        """Return how an attempt has ended, with a failure only if it counts."""
        if end.how != "failed":
            return end.how
        verdict = self.failures.judge(executor, run, end, last_lapse)
        if verdict is Verdict.COUNTS:
            return end.how
        self.state.metrics.count(f"cell.failures.{verdict.value}")
        if verdict is Verdict.UNPROVEN:
            self.failures.withhold(executor, end)
        return "lapsed"

    def update_health(self, executor: ExecutorState, run: Run, outcome: str) -> None:
        """Update the health of an executor after the end of an attempt."""
        self.observer.record_ended(executor, run, outcome == "done")
        if outcome == "done":
            executor.health.record_success()
        elif outcome == "failed":
            clock = self.state.clock()
            has_answered = run.step.spec.long_running and run.answered_at is not None
            ran_s = anyio.current_time() - run.answered_at if has_answered else 0.0
            executor.health.record_failure(clock, ran_s)
            if executor.health.is_quarantined(clock):
                log.info(
                    "executor backs off",
                    executor=executor.executor_id,
                    reason="tasks failed",
                    failures=executor.health.failures,
                    rests_s=round(executor.health.available_at() - clock, 3),
                )

    def release_absent(
        self,
        executor: ExecutorState,
        listed_keys: set[tuple[str, int]],
        requested_at: float,
    ) -> None:
        """Release attempts that the executor does not list and that cannot run.

        The answer to a long poll may be older than the takeover by another owner, which
        has received the end. The store therefore has to confirm the owner first.
        """
        absent = [
            run
            for key, run in executor.runs.items()
            if key not in listed_keys
            and is_confirmed_absent(run, requested_at)
            and not run.is_release_pending
        ]
        if not absent:
            return
        for run in absent:
            run.is_release_pending = True
        self.state.authority.confirm(
            lambda: self.release_runs(executor, absent, requested_at)
        )

    def release_runs(
        self, executor: ExecutorState, absent: list[Run], requested_at: float
    ) -> None:
        """Release attempts that were not listed at a time, unless they have ended."""
        for run in absent:
            if executor.runs.get((run.task, run.attempt)) is not run:
                continue
            answered_s = None
            if run.answered_at is not None:
                answered_s = round(requested_at - run.answered_at, 3)
            log.warning(
                "attempt is not listed",
                **run.log_fields(),
                state=run.state.value,
                answered_s=answered_s,
                unanswered=run.unanswered_orders,
            )
            self.state.metrics.count("cell.attempts.absent")
            self.orders.release(run)
            self.stop_remaining_members(run, "a member is not listed")

    def acknowledge(self, executor: ExecutorState, changed_jobs: set[Job]) -> None:
        """Acknowledge ends to the executor once their consequences are durable."""
        number = executor.last_seen_end
        incarnation = executor.born_ms

        def mark_durable() -> None:
            if executor.born_ms == incarnation:
                executor.mark_ends_durable(number)

        if not changed_jobs:
            if executor.last_durable_end < number:
                self.state.journal.call_when_all_durable(mark_durable)
            return
        jobs = list(changed_jobs)
        for job in jobs[:-1]:
            self.state.write_progress(job)
        self.state.write_progress(jobs[-1], mark_durable)


def is_confirmed_absent(run: Run, requested_at: float) -> bool:
    """Return whether an attempt that is not listed neither runs nor can start later.

    The lists must have been requested after the answer to the attempt's order. If the
    order is unanswered, no copy of the start may be in flight or be sent later.
    """
    if run.answered_at is not None:
        return run.answered_at < requested_at
    if run.state is not RunState.STOPPING:
        return False
    return run.start_sent_by + MAX_ORDER_DELAY_S < requested_at


def has_stalled(run: Run, requested_at: float) -> bool:
    """Return whether an attempt that is listed has reported no progress for too long.

    Members of a gang make no progress until all of them run.
    """
    timeout_s = stall_timeout_s(run)
    if requested_at - run.progress_at <= timeout_s:
        return False
    if not run.step.spec.gang:
        return True
    complete_at = gang_complete_at(run)
    return complete_at is not None and requested_at - complete_at > timeout_s


def gang_complete_at(run: Run) -> float | None:
    """Return since when all members of a gang's attempt run, None if one does not."""
    if run.step.pending:
        return None
    latest = float("-inf")
    for member in run.step.active_runs():
        if member.attempt == run.attempt:
            if member.state is not RunState.RUNNING:
                return None
            latest = max(latest, member.answered_at or member.started_at)
    return latest


def stall_timeout_s(run: Run) -> float:
    """Return how long an attempt may report no progress, in seconds.

    Executors compute the progress from the estimated duration, so a task whose estimate
    is too low stays at 100% for a while.
    """
    estimated_s = run.step.spec.estimated_ms / 1000
    if run.percent < FULL_PERCENT:
        percent_s = estimated_s / FULL_PERCENT
        timeout_s = max(STALL_TIMEOUT_S, PERCENT_TIMEOUT_FACTOR * percent_s)
    else:
        timeout_s = FULL_PROGRESS_TIMEOUT_S + FULL_PROGRESS_TIMEOUT_FACTOR * estimated_s
    return timeout_s * 2 ** min(run.step.stalls.get(run.index, 0), MAX_STALL_DOUBLINGS)
