"""All jobs of one owner, and the rules by which ends of attempts change them."""

from gypsumring.pipelines.model import JobPhase, PipelineSpec, parse_task
from gypsumring.pipelines.state import Job, Run, RunState, Step, TaskState
from gypsumring.utils.clock import WallClock, unix_ms

__all__ = ["EndEffects", "JobTable"]


class EndEffects:
    """Tell what an end changed: attempts to stop, and whether to write progress."""

    __slots__ = ("changed", "stop")

    def __init__(self, changed: bool, stop: list[Run]):
        self.changed = changed
        self.stop = stop


class JobTable:
    """Hold the jobs of one owner.

    ``first_attempt`` is above each attempt number that an earlier owner may have used.
    """

    __slots__ = (
        "active",
        "first_attempt",
        "jobs",
        "scheduled",
        "touched",
        "wall_clock",
    )

    def __init__(self, wall_clock: WallClock = unix_ms, first_attempt: int = 1):
        self.wall_clock = wall_clock
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, Job] = {}
        # Jobs with occurrences to come or under way.
        self.scheduled: dict[str, Job] = {}
        self.first_attempt = first_attempt
        # Steps that may have become ready, or are no longer, since the last look.
        self.touched: dict[Step, None] = {}

    def touch(self, job: Job) -> None:
        """Note that the readiness of a job's steps may have changed."""
        for step in job.steps:
            self.touched[step] = None

    def take_touched(self) -> list[Step]:
        """Return the steps that were touched, and forget them."""
        touched, self.touched = self.touched, {}
        return list(touched)

    def add(self, spec: PipelineSpec, now: float, inherited: bool = False) -> Job:
        """Add an accepted job."""
        job = Job(spec, now, inherited)
        self.jobs[spec.job_id] = job
        self.active[spec.job_id] = job
        if spec.repeats:
            self.scheduled[spec.job_id] = job
        self.touch(job)
        return job

    def find_step(self, task: str, now: float) -> tuple[Step, int] | None:
        """Return the step and index of a task name, or None if it is unknown."""
        parsed = parse_task(task)
        job = self.jobs.get(parsed[0]) if parsed else None
        if job is None:
            return None
        if job.open_due(self.wall_clock(), now):
            self.touch(job)
        step = job.find_step(parsed[1], parsed[2])
        if step is None or parsed[3] >= step.spec.task_count:
            return None
        return step, parsed[3]

    def open_due(self, now: float) -> None:
        """Begin the occurrences of scheduled jobs that are due by the time of day."""
        now_ms = self.wall_clock()
        for job in self.scheduled.values():
            if job.open_due(now_ms, now):
                self.touch(job)

    def finish(self, job: Job) -> None:
        """Take a job that has ended out of the active ones."""
        self.active.pop(job.spec.job_id, None)
        self.scheduled.pop(job.spec.job_id, None)
        self.touch(job)

    def next_attempt(self, step: Step, indices: list[int]) -> int:
        """Return an attempt number above all earlier ones of these tasks."""
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
        self.touched[step] = None
        if step.states[index] != TaskState.DONE:
            step.states[index] = TaskState.PLACED
        step.job.started = True
        if step.job.phase is JobPhase.QUEUED:
            step.job.phase = JobPhase.RUNNING
            step.job.durable_phase = JobPhase.RUNNING
        return run

    def adopt(
        self, task: str, attempt: int, executor_id: str, now: float, running: bool
    ) -> Run | None:
        """Record an attempt of an earlier owner that an executor lists."""
        found = self.find_step(task, now)
        if found is None:
            return None
        step, index = found
        run = self.place(step, index, attempt, executor_id, now)
        run.state = RunState.RUNNING
        run.ran_under_this_owner = running
        if running:
            step.mark_found(index)
        run.answered_at = now
        return run

    def release(self, run: Run) -> None:
        """Forget an attempt that surely does not run any more."""
        runs = run.step.runs.get(run.index)
        if runs is not None and run in runs:
            runs.remove(run)
            if not runs:
                del run.step.runs[run.index]
        if run.index not in run.step.runs and not run.step.job.phase.is_final:
            run.step.mark_pending(run.index)
            self.touched[run.step] = None

    def end(
        self, run: Run, outcome: str, checkpoint: str, max_attempts: int
    ) -> EndEffects:
        """Apply the end of an attempt and return what follows from it."""
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
        """Apply the end ``done``; a gang is done with the first such end."""
        step = run.step
        self.release(run)
        if step.job.phase.is_final:
            return EndEffects(False, [])
        indices = range(step.spec.task_count) if step.spec.gang else (run.index,)
        changed = any([step.mark_done(index) for index in indices])
        # Members of a gang end by themselves; other copies of a task are stopped.
        stop = [] if step.spec.gang else list(step.runs.get(run.index, ()))
        if run.ran_under_this_owner:
            step.job.release_withheld_dependents(step)
        if step.is_done:
            self.touch(step.job)
        step.job.close_done()
        if step.job.is_done:
            step.job.phase = JobPhase.COMPLETED
        return EndEffects(changed, stop)

    def end_failed(self, run: Run, max_attempts: int) -> EndEffects:
        """Count a failed attempt; fail the job when a task has used them all."""
        step = run.step
        step.avoided.setdefault(run.index, set()).add(run.executor_id)
        failed = step.failures.setdefault(0 if step.spec.gang else run.index, set())
        # Each member of a gang may list the failure, and each owner may see it again.
        if run.attempt in failed:
            return EndEffects(False, [])
        failed.add(run.attempt)
        if step.job.phase.is_final or step.spec.long_running:
            return EndEffects(True, [])
        if len(failed) < max_attempts:
            return EndEffects(True, [])
        step.job.phase = JobPhase.FAILED
        stop = [other for other in step.job.active_runs() if other is not run]
        return EndEffects(True, stop)

    def cancel(self, job: Job) -> list[Run]:
        """Cancel a job and return the attempts to stop."""
        if job.phase.is_final:
            return []
        job.phase = JobPhase.CANCELLED
        return job.active_runs()

    def waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        return sum(
            1
            for job in self.active.values()
            if job.spec.queue == queue
            and not job.started
            and not job.phase.is_final
            and not job.spec.repeats
        )
