"""Apply what the lists of executors say about attempts."""

import anyio

from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState
from gypsumring.fleet import LATE_ORDER_S, ExecutorState
from gypsumring.pipelines import Job, Run, RunState
from gypsumring.ports.tasks import ListedEnd, ListedRun, TaskLists
from gypsumring.utils.logs import EventLogger

__all__ = ["ListReader"]

log = EventLogger("executors")

# A task whose progress stands still for this long is started elsewhere.
STALL_S = 1.3
FULL_PERCENT = 100
# A task at 100% is started elsewhere after this time and a multiple of its estimate.
OVERDUE_S = 3.0
OVERDUE_FACTOR = 2.0
# An executor returns at most this many ends at once.
MAX_LISTED_ENDS = 500


class ListReader:
    """Update jobs and executors from the lists of one answer."""

    __slots__ = ("orders", "state")

    def __init__(self, state: CellState, orders: Orders):
        self.state = state
        self.orders = orders

    def lose_all(self, executor: ExecutorState, reason: str) -> None:
        """Release everything that was accounted on an executor."""
        runs = list(executor.runs.values())
        if runs:
            log.warning(
                "attempts lost",
                executor=executor.executor_id,
                reason=reason,
                tasks=[run.task for run in runs],
                silent_s=round(self.state.clock() - executor.last_contact_at, 3),
            )
            self.state.metrics.count("cell.attempts.lost", len(runs))
        executor.was_lost = True
        for run in runs:
            self.orders.release(run)
            self.break_gang(run, reason)
        self.settle(executor)

    def settle(self, executor: ExecutorState) -> None:
        """Note that nothing unknown runs on an executor any more."""
        if executor.executor_id in self.state.unsettled:
            self.state.unsettled.discard(executor.executor_id)
            self.state.settle_jobs()

    def break_gang(self, run: Run, reason: str) -> None:
        """Stop the other members of a gang that has lost one."""
        if run.step.spec.gang and not run.step.is_done:
            self.orders.stop_gang(run, reason)

    def apply(
        self, executor: ExecutorState, lists: TaskLists, requested_at: float
    ) -> None:
        """Apply the running and ended attempts that an executor lists."""
        first = executor.first_contact_at is None
        longest_ms = int(self.state.timing.longest_lease_s * 1000)
        reborn = bool(lists.born_ms) and lists.born_ms != executor.born_ms
        if reborn and not first:
            log.warning("executor has started again", executor=executor.executor_id)
            self.state.metrics.count("cell.executors.reborn")
            executor.start_life(lists.born_ms, lists.clock_ms + longest_ms)
            self.rest_after_rebirth(executor)
        executor.born_ms = lists.born_ms or executor.born_ms
        was_lost = executor.was_lost
        executor.was_lost = False
        executor.note_clock(lists.clock_ms, self.state.clock())
        if first and executor.executor_id in self.state.unsettled:
            # The owner before may have extended the lease just now.
            inherited_ms = int(self.state.inherited_lease_s * 1000)
            executor.lease_until_ms = lists.clock_ms + inherited_ms
        inherits = first and executor.executor_id in self.state.unsettled
        if reborn or was_lost:
            self.shut_out(executor)
        listed = {(each.task, each.attempt) for each in lists.running}
        self.apply_running(executor, lists.running, inherits, requested_at)
        changed = self.apply_ended(executor, lists.ended, inherits)
        if len(lists.ended) < MAX_LISTED_ENDS:
            self.release_absent(executor, listed, requested_at)
        executor.unknown_runs &= listed
        if len(lists.ended) < MAX_LISTED_ENDS:
            self.settle(executor)
        self.acknowledge(executor, changed)
        if changed or lists.ended or first:
            self.state.wake()

    def rest_after_rebirth(self, executor: ExecutorState) -> None:
        """Give a new incarnation no work while an old hold may still reach it.

        Such a hold would let it forget ends that nobody has seen. Starts under way are
        taken back.
        """
        until = executor.unanswered_hold_at + LATE_ORDER_S
        if until <= self.state.clock():
            return
        health = executor.health
        health.quarantined_until = max(health.quarantined_until, until)
        for run in list(executor.runs.values()):
            if run.answered_at is None:
                self.orders.stop(run)

    def shut_out(self, executor: ExecutorState) -> None:
        """Shut out starts without an answer that may still be carried out."""
        for key in executor.take_unconfirmed(anyio.current_time()):
            executor.shutting_out.add(key)
            self.state.group.start_soon(self.orders.shut_out, executor, *key)

    def apply_running(
        self,
        executor: ExecutorState,
        running: list[ListedRun],
        inherits: bool,
        requested_at: float,
    ) -> None:
        """Update the attempts that run; stop those that nobody accounts for.

        The lists may have waited for this process, so an attempt stands still only if
        it did when they were requested.
        """
        now = anyio.current_time()
        for listed in running:
            key = (listed.task, listed.attempt)
            run = executor.runs.get(key)
            if run is None and inherits:
                run = self.adopt(executor, listed.task, listed.attempt, True)
            if run is None:
                if key not in executor.unknown_runs:
                    log.warning(
                        "stopping an unknown attempt",
                        task=listed.task,
                        attempt=listed.attempt,
                        executor=executor.executor_id,
                    )
                    executor.unknown_runs.add(key)
                    self.state.group.start_soon(self.orders.stop_listed, executor, *key)
                continue
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.answered_at = now
                executor.health.note_accepted(self.state.clock())
            if listed.percent > run.percent:
                run.percent = listed.percent
                run.progress_at = now
            elif requested_at - run.progress_at > stall_limit_s(run):
                self.stop_stalled(executor, run)
            run.load = listed.load
            run.step.save_checkpoint(run.index, listed.checkpoint)

    def stop_stalled(self, executor: ExecutorState, run: Run) -> None:
        """Stop an attempt that stands still, and let its executor rest."""
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
        executor.health.quarantine(self.state.clock())
        run.step.avoided.setdefault(run.index, set()).add(run.executor_id)
        self.orders.stop(run)

    def adopt(
        self, executor: ExecutorState, task: str, attempt: int, running: bool
    ) -> Run | None:
        """Take over an attempt of an earlier owner."""
        run = self.state.table.adopt(
            task, attempt, executor.executor_id, anyio.current_time(), running
        )
        if run is None:
            return None
        executor.add_run(run)
        others = [other for other in run.step.runs[run.index] if other is not run]
        copies = bool(others) and not run.step.spec.speculative
        if copies or run.step.job.phase.is_final or run.step.is_done:
            self.orders.stop(run)
        return run

    def apply_ended(
        self, executor: ExecutorState, ended: list[ListedEnd], inherits: bool
    ) -> set[Job]:
        """Apply the ends that are new; return the jobs to write."""
        changed: set[Job] = set()
        for end in ended:
            if end.number <= executor.seen_end:
                continue
            executor.seen_end = end.number
            run = executor.runs.get((end.task, end.attempt))
            if run is None and inherits:
                run = self.adopt(executor, end.task, end.attempt, False)
            if run is None:
                continue
            self.state.free_room(executor, run)
            self.judge(executor, run, end.how)
            job = run.step.job
            was_final = job.phase.is_final
            outcome = self.state.table.end(
                run, end.how, end.checkpoint, self.state.find_queue(job).max_attempts
            )
            self.state.metrics.count(f"cell.ends.{end.how}")
            log.info("attempt ended", **run.log_fields(), how=end.how, end=end.number)
            self.orders.stop_all(outcome.stop)
            if outcome.changed and not was_final:
                changed.add(job)
        return changed

    def judge(self, executor: ExecutorState, run: Run, how: str) -> None:
        """Let an end count for or against the executor."""
        now = anyio.current_time()
        if how == "done":
            expected = run.step.spec.estimated_ms / 1000
            executor.health.note_done(now - run.started_at, expected)
        elif how == "failed":
            clock = self.state.clock()
            executor.health.note_failed(clock)
            if executor.health.is_quarantined(clock):
                log.info(
                    "executor rests",
                    executor=executor.executor_id,
                    reason="tasks failed",
                    failures=executor.health.failures,
                    rests_s=round(executor.health.free_at() - clock, 3),
                )

    def release_absent(
        self,
        executor: ExecutorState,
        listed: set[tuple[str, int]],
        requested_at: float,
    ) -> None:
        """Release attempts that are not listed and that cannot run any more."""
        for key, run in list(executor.runs.items()):
            if key in listed or not is_surely_absent(run, requested_at):
                continue
            answered_s = None
            if run.answered_at is not None:
                answered_s = round(requested_at - run.answered_at, 3)
            log.warning(
                "attempt is not listed",
                **run.log_fields(),
                state=run.state.value,
                answered_s=answered_s,
                unanswered=run.unanswered,
            )
            self.state.metrics.count("cell.attempts.absent")
            self.orders.release(run)
            self.break_gang(run, "a member is not listed")

    def acknowledge(self, executor: ExecutorState, changed: set[Job]) -> None:
        """Let the executor forget its ends once what follows from them is durable."""
        number = executor.seen_end
        life = executor.born_ms

        def forget() -> None:
            if executor.born_ms == life:
                executor.note_durable(number)

        if not changed:
            if executor.durable_end < number:
                self.state.journal.after_all(forget)
            return
        jobs = list(changed)
        for job in jobs[:-1]:
            self.state.write_progress(job)
        self.state.write_progress(jobs[-1], forget)


def is_surely_absent(run: Run, requested_at: float) -> bool:
    """Tell whether an attempt that is missing in lists does not run and will not.

    The lists have to be requested after the answer to its order. Without an answer no
    copy of the start may be left that is carried out later, and none may be sent.
    """
    if run.answered_at is not None:
        return run.answered_at < requested_at
    if run.state is not RunState.STOPPING:
        return False
    return run.start_sent_by + LATE_ORDER_S < requested_at


def stall_limit_s(run: Run) -> float:
    """Return for how long an attempt may show no progress, in seconds.

    Executors take the progress from the estimate, so that a task with a low estimate
    stays at 100% for a while.
    """
    if run.percent < FULL_PERCENT:
        return STALL_S
    return OVERDUE_S + OVERDUE_FACTOR * run.step.spec.estimated_ms / 1000
