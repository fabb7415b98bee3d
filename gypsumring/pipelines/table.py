"""Jobs of one cell owner and the state changes that ends of attempts cause."""

from gypsumring.pipelines.crashes import CrashRegister
from gypsumring.pipelines.model import JobPhase, PipelineSpec, parse_task
from gypsumring.pipelines.runs import Run, RunState
from gypsumring.pipelines.state import Job, Step, TaskState
from gypsumring.utils.clock import WallClock, unix_ms

__all__ = ["EndEffects", "JobTable"]


class EndEffects:
    """Effects of an attempt's end: a progress change to write, attempts to stop."""

    __slots__ = ("changed", "stop")

    def __init__(self, changed: bool, stop: list[Run]):
        self.changed = changed
        self.stop = stop


class JobTable:
    """Jobs of one cell owner.

    ``first_attempt`` exceeds every attempt number that an earlier owner may have used.
    """

    __slots__ = (
        "active",
        "changed_steps",
        "crashes",
        "first_attempt",
        "jobs",
        "scheduled",
        "wall_clock",
    )

    def __init__(self, wall_clock: WallClock = unix_ms, first_attempt: int = 1):
        self.wall_clock = wall_clock
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, Job] = {}
        # Active jobs with scheduled occurrences.
        self.scheduled: dict[str, Job] = {}
        self.first_attempt = first_attempt
        # Steps whose readiness may have changed since the last call of
        # ``pop_changed_steps``, in insertion order.
        self.changed_steps: dict[Step, None] = {}
        self.crashes = CrashRegister()

    def mark_changed(self, job: Job) -> None:
        """Record that the readiness of a job's steps may have changed."""
        for step in job.steps:
            self.changed_steps[step] = None

    def pop_changed_steps(self) -> list[Step]:
        """Return and clear the steps whose readiness may have changed."""
        changed_steps, self.changed_steps = self.changed_steps, {}
        return list(changed_steps)

    def add(self, spec: PipelineSpec, now: float, inherited: bool = False) -> Job:
        """Add an accepted job, ``inherited`` if an earlier owner accepted it."""
        job = Job(spec, now, inherited)
        self.jobs[spec.job_id] = job
        self.active[spec.job_id] = job
        if spec.repeats:
            self.scheduled[spec.job_id] = job
        self.mark_changed(job)
        return job

    def find_step(self, task: str, now: float) -> tuple[Step, int] | None:
        """Return the step and index of a task name, or None if the task is unknown."""
        parsed = parse_task(task)
        job = self.jobs.get(parsed[0]) if parsed else None
        if job is None:
            return None
        opened = job.opened
        job.open_due_occurrences(self.wall_clock(), now)
        job.open_through(parsed[1], now)
        if job.opened > opened:
            self.mark_changed(job)
        step = job.find_step(parsed[1], parsed[2])
        if step is None or parsed[3] >= step.spec.task_count:
            return None
        return step, parsed[3]

    def open_due_occurrences(self, now: float) -> None:
        """Open the occurrences of scheduled jobs that are due by the wall clock."""
        now_ms = self.wall_clock()
        for job in self.scheduled.values():
            if job.open_due_occurrences(now_ms, now):
                self.mark_changed(job)

    def finish(self, job: Job) -> None:
        """Remove an ended job from the active and scheduled jobs."""
        self.active.pop(job.spec.job_id, None)
        self.scheduled.pop(job.spec.job_id, None)
        self.mark_changed(job)

    def next_attempt(self, step: Step, indices: list[int]) -> int:
        """Return an attempt number above all that these tasks have used."""
        used = max(step.attempts[index] for index in indices)
        return max(used + 1, self.first_attempt)

    def place(
        self, step: Step, index: int, attempt: int, executor_id: str, now: float
    ) -> Run:
        """Record that a task is being started on an executor."""
        run = Run(step, index, attempt, executor_id, now)
        step.attempts[index] = max(step.attempts[index], attempt)
        step.runs.setdefault(index, []).append(run)
        step.pending.discard(index)
        step.withheld.discard(index)
        step.reservation_held_until = None
        self.changed_steps[step] = None
        if step.states[index] != TaskState.DONE:
            step.states[index] = TaskState.PLACED
        return run

    def mark_begun(self, run: Run) -> None:
        """Record that an executor has begun an attempt, and so the job."""
        run.has_begun = True
        job = run.step.job
        job.started = True
        if job.phase is JobPhase.QUEUED:
            job.phase = JobPhase.RUNNING
            job.durable_phase = JobPhase.RUNNING

    def adopt(
        self, task: str, attempt: int, executor_id: str, now: float, running: bool
    ) -> Run | None:
        """Record an earlier owner's attempt reported by an executor.

        Return None if the task is unknown.
        """
        found = self.find_step(task, now)
        if found is None:
            return None
        step, index = found
        run = self.place(step, index, attempt, executor_id, now)
        run.state = RunState.RUNNING
        self.mark_begun(run)
        run.ran_under_this_owner = running
        run.has_full_time = False
        if running:
            step.mark_found(index)
        run.answered_at = now
        return run

    def release(self, run: Run) -> None:
        """Discard an attempt that is certain not to be running any more."""
        runs = run.step.runs.get(run.index)
        if runs is not None and run in runs:
            runs.remove(run)
            if not runs:
                del run.step.runs[run.index]
        if run.index not in run.step.runs and not run.step.job.phase.is_final:
            run.step.mark_pending(run.index)
            self.changed_steps[run.step] = None

    def end(
        self, run: Run, outcome: str, checkpoint: str, max_attempts: int
    ) -> EndEffects:
        """Apply the end of an attempt and return its effects."""
        self.mark_begun(run)
        step = run.step
        step.save_checkpoint(run.index, checkpoint)
        if outcome == "done" and not step.spec.long_running:
            return self.end_done(run)
        effects = EndEffects(bool(checkpoint), [])
        if outcome == "failed" and not step.is_done:
            effects = self.end_failed(run, max_attempts)
        self.release(run)
        if step.spec.gang and not step.is_done:
            effects.stop = [
                other for other in step.active_runs() if other.attempt == run.attempt
            ]
        return effects

    def end_done(self, run: Run) -> EndEffects:
        """Apply the outcome ``done``, of which one completes a whole gang."""
        step = run.step
        self.release(run)
        if step.job.phase.is_final:
            return EndEffects(False, [])
        is_known_here_only = ended_under_this_owner(run)
        indices = range(step.spec.task_count) if step.spec.gang else (run.index,)
        changed = any([step.mark_done(index) for index in indices])
        # The other members of a gang end without a stop order; redundant copies of a
        # single task have to be stopped.
        stop = [] if step.spec.gang else list(step.runs.get(run.index, ()))
        if is_known_here_only:
            step.job.release_withheld_dependents(step)
        if step.is_done:
            self.mark_changed(step.job)
        step.job.close_done()
        if step.job.is_done:
            step.job.phase = JobPhase.COMPLETED
        return EndEffects(changed, stop)

    def end_failed(self, run: Run, max_attempts: int) -> EndEffects:
        """Count a failed attempt; fail the job once a task has no attempts left."""
        step = run.step
        step.avoided.setdefault(run.index, set()).add(run.executor_id)
        failed = step.failures.setdefault(step.failure_index(run.index), set())
        # Every member of a gang may report the same failed attempt, and a new owner
        # may receive the report again, so an attempt number counts once.
        if run.attempt in failed:
            return EndEffects(False, [])
        failed.add(run.attempt)
        if step.job.phase.is_final or step.spec.long_running:
            return EndEffects(True, [])
        if len(failed) < max_attempts:
            if len(failed) == max_attempts - 1:
                count = step.spec.task_count
                step.last_attempts |= (
                    set(range(count)) if step.spec.gang else {run.index}
                )
            return EndEffects(True, [])
        step.job.phase = JobPhase.FAILED
        stop = [other for other in step.job.active_runs() if other is not run]
        return EndEffects(True, stop)

    def cancel(self, job: Job) -> list[Run]:
        """Cancel a job unless it has ended; return the attempts to stop."""
        if job.phase.is_final:
            return []
        job.phase = JobPhase.CANCELLED
        return job.active_runs()

    def count_waiting(self, queue: str) -> int:
        """Return the number of unscheduled jobs of a queue that have not started."""
        return sum(
            1
            for job in self.active.values()
            if job.spec.queue == queue
            and not job.started
            and not job.phase.is_final
            and not job.spec.repeats
        )


def ended_under_this_owner(run: Run) -> bool:
    """Return whether no earlier owner can learn that a task, or its gang, is done.

    An executor that lists an attempt as running to this owner refuses earlier ones. The
    end of any member ends a gang, and that of any copy a speculative task.
    """
    step = run.step
    if not run.ran_under_this_owner or step.spec.speculative:
        return False
    if not step.spec.gang:
        return True
    return all(
        any(
            other.attempt == run.attempt and other.ran_under_this_owner
            for other in step.runs.get(index, ())
        )
        for index in range(step.spec.task_count)
        if index != run.index
    )
