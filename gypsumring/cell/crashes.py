"""Crashes of executors: which tasks they count against, and which jobs are given up."""

from collections import deque
from collections.abc import Callable, Iterable

import anyio

from gypsumring.cell.state import CellState
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import Job, JobPhase, Run, RunState, Step
from gypsumring.pipelines.crashes import Suspect
from gypsumring.utils.logs import EventLogger

__all__ = ["CrashAttribution"]

log = EventLogger("crashes")

# Executors whose last responses lie within this time of each other went down together.
# Tasks are listed every 0.5 s, so the last response may be that much older.
COMMON_CAUSE_S = 1.0
# If this many executors go down together, the crash is no evidence against one task.
COMMON_CAUSE_EXECUTORS = 3
MAX_REMEMBERED_CRASHES = 1_000
# A task that has run for this time without a crash is no suspect any more. Otherwise
# unrelated crashes would add up over the months that a long-running task runs.
CLEARED_AFTER_S = 300.0
REASON = "executors crash while the task runs"


class CrashAttribution:
    """Recorder of crashes against the tasks that may have run on the executor.

    A suspect is started only once its crashes and its placement are durable, so that
    they outlive the owner.
    """

    __slots__ = ("recent", "state", "stop_all")

    def __init__(self, state: CellState, stop_all: Callable[[list[Run]], None]):
        self.state = state
        self.stop_all = stop_all
        # Executors that have crashed, with the times of their last responses.
        self.recent: deque[tuple[str, float]] = deque(maxlen=MAX_REMEMBERED_CRASHES)

    def record_restart(
        self, executor: ExecutorState, listed_keys: Iterable[tuple[str, int]]
    ) -> None:
        """Count the crash of an incarnation that another one has replaced.

        Attempts that the new incarnation lists have not run on the crashed one.
        """
        listed = set(listed_keys)
        runs = [run for key, run in executor.runs.items() if key not in listed]
        self.record(executor, runs, True)
        self.note_crash(executor)
        # A start that was not answered must not reach the new incarnation.
        self.stop_all([run for run in runs if run.was_sent and not run.answered_at])

    def record_loss(self, executor: ExecutorState) -> None:
        """Count an executor whose attempts have ended because it does not answer.

        Without a directory entry it has crashed. Otherwise it may only be cut off,
        which its next answer shows.
        """
        confirmed = not executor.listed
        self.record(executor, list(executor.runs.values()), confirmed)
        self.record_inherited_loss(executor, confirmed)

    def record_inherited_loss(self, executor: ExecutorState, confirmed: bool) -> None:
        """Count the same against suspects that an earlier owner has placed there.

        Their next start replaces the placement.
        """
        if executor.is_leaving:
            return
        changed = []
        for step, index, suspect in self.state.table.crashes.list_suspects():
            if suspect.placed_on == executor.executor_id and not step.runs.get(index):
                suspect.add_inherited_crash(confirmed)
                changed.append((step, index))
                log.warning(
                    "executor may have crashed before the takeover",
                    job=step.job.spec.job_id,
                    task=step.task_name(index),
                    executor=executor.executor_id,
                )
        self.apply(changed)

    def record(self, executor: ExecutorState, runs: list[Run], confirmed: bool) -> None:
        """Count a crash against the attempts that may have run on an executor.

        An executor that was draining may have left as announced.
        """
        if executor.is_leaving:
            return
        runs = [run for run in runs if run.was_sent or run.has_begun]
        is_isolated = self.is_isolated(executor)
        counted = self.state.table.crashes.record_crash(
            executor.executor_id, executor.born_ms, runs, confirmed, is_isolated
        )
        self.state.metrics.count("cell.tasks.suspected", len(counted))
        if runs:
            log.warning(
                "executor has crashed" if confirmed else "executor may have crashed",
                executor=executor.executor_id,
                born=executor.born_ms,
                isolated=is_isolated,
                tasks=[run.task for run in runs],
            )
        self.apply(counted)

    def note_crash(self, executor: ExecutorState) -> None:
        """Remember that an executor has crashed, unless it left as announced."""
        if not executor.is_leaving:
            self.recent.append((executor.executor_id, executor.last_response_at))
            self.state.metrics.count("cell.executors.crashed")

    def is_isolated(self, executor: ExecutorState) -> bool:
        """Return whether few other executors went down at the same time."""
        down_at = dict(self.recent)
        for other in self.state.fleet.values():
            if other.is_unresponsive and other.first_response_at is not None:
                down_at[other.executor_id] = other.last_response_at
        down_at[executor.executor_id] = executor.last_response_at
        together = [
            at
            for at in down_at.values()
            if abs(at - executor.last_response_at) <= COMMON_CAUSE_S
        ]
        return len(together) < COMMON_CAUSE_EXECUTORS

    def resolve(self, executor: ExecutorState) -> None:
        """Apply the incarnation that answers to the crashes that were not confirmed.

        Suspects that an earlier owner has placed on another incarnation ran there when
        it crashed. The attempts that the executor lists have been applied before.
        """
        executor_id, born_ms = executor.executor_id, executor.born_ms
        changed = []
        for step, index, suspect in self.state.table.crashes.list_suspects():
            if suspect.resolve(executor_id, born_ms):
                changed.append((step, index))
            discard_if_unused(step, index)
        self.apply(changed)
        self.record_inherited(executor_id, born_ms)

    def record_departure(self, executor: ExecutorState) -> None:
        """Confirm the crashes of an executor that no incarnation has followed."""
        if executor.is_leaving:
            return
        self.note_crash(executor)
        changed = [
            (step, index)
            for step, index, suspect in self.state.table.crashes.list_suspects()
            if suspect.confirm(executor.executor_id)
        ]
        self.apply(changed)
        self.record_inherited(executor.executor_id, None)

    def record_inherited(self, executor_id: str, born_ms: int | None) -> None:
        """Count a crash against suspects that an earlier owner has placed.

        What else ran there is not known, so the crash names none of them.
        """
        changed = []
        for step, index, suspect in self.state.table.crashes.list_suspects():
            if suspect.placed_on != executor_id or step.runs.get(index):
                continue
            if suspect.placed_born_ms == born_ms:
                # The attempt has ended there.
                suspect.placed_on = ""
                discard_if_unused(step, index)
                changed.append((step, index))
            else:
                log.warning(
                    "executor has crashed before the takeover",
                    job=step.job.spec.job_id,
                    task=step.task_name(index),
                    executor=executor_id,
                    born=suspect.placed_born_ms,
                )
                suspect.add_inherited_crash()
                changed.append((step, index))
        self.apply(changed)

    def apply(self, counted: list[tuple[Step, int]]) -> None:
        """Store the counts of tasks, and give up the jobs of those to blame."""
        jobs: dict[Job, list[tuple[Step, int]]] = {}
        for step, index in counted:
            jobs.setdefault(step.job, []).append((step, index))
        for job, tasks in jobs.items():
            for step, index in tasks:
                self.give_up_if_certain(step, index)
            self.state.write_progress(job)

    def give_up_if_certain(self, step: Step, index: int) -> None:
        """Fail a job if one of its tasks crashes executors, or may not start again."""
        suspect = step.suspects.get(index)
        job = step.job
        if suspect is None or job.phase.is_final:
            return
        is_active = bool(step.runs.get(index)) and not suspect.is_culprit
        if is_active or not (suspect.is_culprit or suspect.is_exhausted):
            return
        log.warning(
            "job given up",
            job=job.spec.job_id,
            task=step.task_name(index),
            reason=REASON,
            crashed=[crash.executor_id for crash in suspect.crashes],
            sole=sum(crash.sole for crash in suspect.crashes),
            alone=sum(crash.alone for crash in suspect.crashes),
            final_starts=suspect.final_starts,
        )
        self.state.metrics.count("cell.jobs.given_up")
        job.phase = JobPhase.FAILED
        self.stop_all(job.active_runs())

    def record_start(self, run: Run, start: Callable[[], None]) -> None:
        """Send the start of a task; that of a suspect once its placement is durable.

        So is that of a task that an earlier owner may have started on an executor that
        has crashed. The other members of its gang wait as well, as all have to start
        together.
        """
        step = run.step
        if run.index in step.watched:
            self.state.table.crashes.watch(step, run.index)
            self.state.metrics.count("cell.starts.watched")
        suspect = step.suspects.get(run.index)
        if suspect is not None:
            self.record_placement(run, suspect)
        elif not step.spec.gang or not step.suspects:
            start()
            return
        self.state.write_progress(step.job, start, urgent=True)

    def record_placement(self, run: Run, suspect: Suspect) -> None:
        """Record where a suspect, or a task that is watched, is about to start."""
        executor = self.state.fleet[run.executor_id]
        suspect.record_start(run.executor_id, executor.born_ms)
        if suspect.crashes:
            log.info(
                "suspect is started",
                **run.log_fields(),
                crashed=[crash.executor_id for crash in suspect.crashes],
                beside=len(executor.runs) - 1,
                final_starts=suspect.final_starts,
            )

    def record_refusal(self, run: Run) -> None:
        """Discount a start of a suspect that the executor has refused."""
        suspect = run.step.suspects.get(run.index)
        if suspect is not None and not run.unanswered_orders:
            suspect.withdraw_start()

    def record_end(self, run: Run) -> None:
        """Store that the attempt of a suspect has ended or cannot run any more."""
        suspect = run.step.suspects.get(run.index)
        job = run.step.job
        if suspect is None or job.phase.is_final or run.step.runs.get(run.index):
            return
        suspect.placed_on = ""
        discard_if_unused(run.step, run.index)
        self.give_up_if_certain(run.step, run.index)
        self.state.write_progress(job)

    def review_suspects(self) -> None:
        """Clear the suspects that have run for long without a crash.

        Jobs are given up whose suspects an earlier owner has started too often.
        """
        now = anyio.current_time()
        for step, index, suspect in self.state.table.crashes.list_suspects():
            if suspect.is_exhausted and index in step.pending:
                self.give_up_if_certain(step, index)
                self.state.write_progress(step.job)
                continue
            runs = step.runs.get(index, ())
            if any(
                run.state is RunState.RUNNING and now - run.started_at > CLEARED_AFTER_S
                for run in runs
            ):
                del step.suspects[index]
                if suspect.crashes:
                    log.info(
                        "suspect is cleared",
                        job=step.job.spec.job_id,
                        task=step.task_name(index),
                    )
                self.state.write_progress(step.job)


def discard_if_unused(step: Step, index: int) -> None:
    """Discard the record of a task without crashes that is not placed any more."""
    suspect = step.suspects[index]
    if not suspect.crashes and not suspect.placed_on:
        del step.suspects[index]
