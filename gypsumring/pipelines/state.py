"""State of jobs and their steps on the node that owns the cell."""

import enum

from gypsumring.pipelines.crashes import Suspect
from gypsumring.pipelines.model import (
    MAX_STEP_TASKS,
    MAX_STEPS,
    JobPhase,
    PipelineSpec,
    StepSpec,
    WorkKind,
    format_task,
)
from gypsumring.pipelines.records import Progress, StepProgress
from gypsumring.pipelines.runs import Run
from gypsumring.ports.tasks import Ticket

__all__ = ["Job", "Step", "TaskState"]


# Tasks of a job that may be open at once, as many as one occurrence may have. A
# schedule that lies in the past would otherwise fill the memory of each owner.
MAX_OPEN_TASKS = MAX_STEPS * MAX_STEP_TASKS
# The first starts of more tasks than this of one step are not recorded: each record
# holds those before it.
MAX_WATCHED_TASKS = 200
# Steps of a scheduled job that may be open at once, if one occurrence has no more: all
# are looked at in one pass, and written in one record.
MAX_OPEN_STEPS = 1_000


class TaskState(enum.IntEnum):
    """State of a task; the values are stored in a byte array."""

    PENDING = 0
    PLACED = 1
    DONE = 2


class Step:
    """State of the tasks of a step in one occurrence.

    All steps in ``predecessors`` must be done before the step can start.
    """

    __slots__ = (
        "allowed",
        "attempts",
        "avoided",
        "avoiding_since",
        "capped_since",
        "checkpoints",
        "done_count",
        "earliest_start_at",
        "exceeds_reservation_limit",
        "failed_at",
        "failures",
        "interrupted",
        "job",
        "kind",
        "last_attempts",
        "next_policy_call_at",
        "number",
        "occurrence",
        "opened_at",
        "pending",
        "policy_calls_in_flight",
        "predecessors",
        "queried",
        "reservation_expires_at",
        "reservation_held_until",
        "reservation_review_at",
        "reserved",
        "runs",
        "spec",
        "stalls",
        "states",
        "suspects",
        "tickets",
        "tickets_needed_until",
        "uncertain",
        "waiting_since",
        "watched",
        "withheld",
    )

    def __init__(
        self,
        job: "Job",
        occurrence: int,
        number: int,
        spec: StepSpec,
        predecessors: "list[Step]",
    ):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.kind = WorkKind(job.spec.queue, number, spec.image)
        self.predecessors = predecessors
        # Scheduled start of the occurrence; None for other jobs, whose waiting time
        # counts from acceptance.
        self.opened_at: float | None = None
        self.states = bytearray(spec.task_count)
        self.attempts = [0] * spec.task_count
        # Failed attempts by task index; a gang uses index 0 for all members.
        self.failures: dict[int, set[int]] = {}
        self.checkpoints: dict[int, str] = {}
        # Executors on which a task failed or stalled, by task index.
        self.avoided: dict[int, set[str]] = {}
        # Number of attempts that were stopped for want of progress, by task index.
        self.stalls: dict[int, int] = {}
        # Time of the latest failure of each of these tasks, and the tasks whose next
        # failure fails the job.
        self.failed_at: dict[int, float] = {}
        self.last_attempts: set[int] = set()
        # Time since which tasks wait although executors that they avoid have room.
        self.avoiding_since: float | None = None
        # Tasks under which executors have crashed, by task index.
        self.suspects: dict[int, Suspect] = {}
        self.pending = set(range(spec.task_count))
        # ``uncertain``: tasks that an earlier owner may have started on an executor
        # that has not responded yet. ``withheld``: tasks without an attempt that are
        # not placed until the uncertain ones are reconciled.
        self.uncertain: set[int] = set()
        self.withheld: set[int] = set()
        # Tasks under which an executor may have crashed that an earlier owner has not
        # counted: their next placement is recorded before they start.
        self.watched: set[int] = set()
        self.done_count = 0
        self.runs: dict[int, list[Run]] = {}
        # Earliest times of the next query to the policy service and the next start.
        self.next_policy_call_at = 0.0
        self.earliest_start_at = 0.0
        # Policy answers: executors queried about, executors allowed, and tickets.
        self.queried: set[str] = set()
        self.allowed: set[str] = set()
        self.tickets: dict[str, Ticket] = {}
        # Time up to which the tickets of reserved executors have to be valid, since
        # capacity is then released for the step.
        self.tickets_needed_until = 0.0
        # Number of policy service calls in flight.
        self.policy_calls_in_flight = 0
        # Time at which the cap of its account first kept the step from starting.
        self.capped_since: float | None = None
        # Time since which the step has waited for an executor with good locality.
        self.waiting_since: float | None = None
        # Executors reserved for the step; they accept no tasks of other steps until it
        # has its capacity.
        self.reserved: set[str] = set()
        # Time at which the executors reserved for a gang are chosen again, and time by
        # which a gang that has its capacity must have started; after that, other steps
        # may use the capacity.
        self.reservation_review_at = 0.0
        self.reservation_expires_at: float | None = None
        # Time up to which a step that waits for capacity holds its reserved executors;
        # then it gives way to other steps for a short time.
        self.reservation_held_until: float | None = None
        # Set if the reservation limit excludes this gang; no later gang may then
        # reserve ahead of it.
        self.exceeds_reservation_limit = False
        # Times at which tasks were stopped for other steps, until they start again.
        self.interrupted: dict[int, float] = {}

    @property
    def name(self) -> str:
        """Return the name of the step, which includes its occurrence."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == self.spec.task_count

    @property
    def is_ready(self) -> bool:
        """Return whether tasks are pending and all predecessors are done."""
        return bool(self.pending) and all(step.is_done for step in self.predecessors)

    def is_suspect(self, index: int) -> bool:
        """Return whether executors have crashed under a task."""
        suspect = self.suspects.get(index)
        return suspect is not None and bool(suspect.crashes)

    def task_name(self, index: int) -> str:
        """Return the name of the task with this index."""
        return format_task(self.job.spec.job_id, self.occurrence, self.number, index)

    def active_runs(self) -> list[Run]:
        """Return the attempts of the step that may be running."""
        return [run for runs in self.runs.values() for run in runs]

    def mark_done(self, index: int) -> bool:
        """Mark a task done; return whether it was not done before."""
        if self.states[index] == TaskState.DONE:
            return False
        self.states[index] = TaskState.DONE
        self.pending.discard(index)
        self.withheld.discard(index)
        self.uncertain.discard(index)
        self.watched.discard(index)
        self.checkpoints.pop(index, None)
        self.suspects.pop(index, None)
        self.interrupted.pop(index, None)
        self.failed_at.pop(index, None)
        self.last_attempts.discard(index)
        self.done_count += 1
        return True

    def mark_pending(self, index: int) -> None:
        """Make a task pending, or withhold it until reconciled, unless it is done."""
        if self.states[index] == TaskState.DONE:
            return
        self.states[index] = TaskState.PENDING
        if index in self.uncertain or (self.spec.gang and self.uncertain):
            self.withheld.add(index)
        else:
            self.pending.add(index)

    def withhold(self) -> None:
        """Withhold all pending tasks, as an earlier owner may have started them."""
        self.uncertain |= self.pending
        self.withheld |= self.pending
        self.pending.clear()

    def mark_found(self, index: int) -> None:
        """Record that a task's only attempt has been found on an executor."""
        self.uncertain.discard(index)

    def release_withheld(self, may_have_crashed: bool = False) -> None:
        """Make the withheld tasks pending, as no executor runs them.

        An earlier owner may have started them on an executor that has crashed.
        """
        if (
            may_have_crashed
            and len(self.uncertain) <= MAX_WATCHED_TASKS
            and all(step.is_done for step in self.predecessors)
        ):
            self.watched |= self.uncertain
        self.uncertain.clear()
        self.pending |= self.withheld
        self.withheld.clear()

    def clear_reservation(self) -> None:
        """Discard the reservations and their deadlines."""
        self.reserved = set()
        self.reservation_review_at = 0.0
        self.reservation_expires_at = None
        self.reservation_held_until = None
        self.exceeds_reservation_limit = False

    def ticket_remaining_s(self, executor_id: str, now: float) -> float:
        """Return the remaining validity of the ticket for an executor, in seconds."""
        ticket = self.tickets.get(executor_id)
        return 0.0 if ticket is None else ticket.expires_at - now

    def checkpoint_of(self, index: int) -> str:
        """Return the checkpoint from which a task resumes; gang members share one."""
        if self.spec.gang:
            return self.checkpoints.get(0, "")
        return self.checkpoints.get(index, "")

    def failure_index(self, index: int) -> int:
        """Return the index by which the failures of a task count; a gang has one."""
        return 0 if self.spec.gang else index

    def has_failed(self, index: int, attempt: int) -> bool:
        """Return whether an attempt of a task has been counted as failed."""
        return attempt in self.failures.get(self.failure_index(index), ())

    def save_checkpoint(self, index: int, checkpoint: str) -> None:
        """Store the latest checkpoint of a task or gang that is not done."""
        if checkpoint and self.states[index] != TaskState.DONE:
            self.checkpoints[0 if self.spec.gang else index] = checkpoint


class Job:
    """State of a job; ``steps`` holds the steps of the open occurrences."""

    __slots__ = (
        "accepted_at",
        "durable_phase",
        "ended_at",
        "final_since_ms",
        "inherited",
        "opened",
        "phase",
        "spec",
        "started",
        "steps",
    )

    def __init__(self, spec: PipelineSpec, accepted_at: float, inherited: bool = False):
        self.spec = spec
        self.accepted_at = accepted_at
        self.phase = JobPhase.QUEUED
        # Phase reported to callers; a final phase is reported only once it is durable.
        self.durable_phase = JobPhase.QUEUED
        self.started = False
        # Accepted by an earlier owner: its tasks may run on executors that have not
        # responded to this owner yet.
        self.inherited = inherited
        self.ended_at: float | None = None
        self.final_since_ms = 0
        self.steps: list[Step] = []
        # Number of occurrences begun so far.
        self.opened = 0
        if not spec.repeats:
            self.open_next()

    def open_next(self) -> list[Step]:
        """Open the next occurrence and return its steps."""
        steps: list[Step] = []
        for number, spec in enumerate(self.spec.steps):
            predecessors = [steps[earlier] for earlier in spec.after]
            steps.append(Step(self, self.opened, number, spec, predecessors))
            if self.inherited:
                steps[-1].withhold()
        self.opened += 1
        self.steps.extend(steps)
        return steps

    def release_withheld(self, may_have_crashed: bool = False) -> None:
        """Release all withheld tasks, as earlier owners' attempts are reconciled."""
        self.inherited = False
        for step in self.steps:
            step.release_withheld(may_have_crashed)

    def release_withheld_dependents(self, step: Step) -> None:
        """Release withheld tasks that no earlier owner can have started.

        ``step`` was finished under this owner, so its dependents are new.
        """
        for dependent in self.steps:
            if step in dependent.predecessors:
                dependent.release_withheld()

    def open_due_occurrences(self, now_ms: int, now: float) -> bool:
        """Open the occurrences due by a Unix time; return whether there were any.

        Those that would exceed ``MAX_OPEN_TASKS`` or ``MAX_OPEN_STEPS`` open once
        earlier ones are done.
        """
        opened = self.opened
        step_count = len(self.spec.steps)
        occurrence_tasks = sum(step.task_count for step in self.spec.steps)
        open_tasks: int | None = None
        while self.opened < self.spec.repeats:
            due_ms = self.spec.start_at_ms + self.opened * self.spec.interval_ms
            if due_ms > now_ms:
                break
            if open_tasks is None:
                open_tasks = sum(step.spec.task_count for step in self.steps)
            open_tasks += occurrence_tasks
            if open_tasks > MAX_OPEN_TASKS:
                break
            if self.steps and len(self.steps) + step_count > MAX_OPEN_STEPS:
                break
            for step in self.open_next():
                step.opened_at = now - (now_ms - due_ms) / 1000
        return self.opened > opened

    def open_through(self, occurrence: int, now: float) -> None:
        """Open the occurrences up to one that an earlier owner has started.

        The clock of that owner may have been ahead of this one's. Nothing is opened if
        the job has no such occurrence, or if ``MAX_OPEN_TASKS`` do not reach up to it.
        """
        if not self.opened <= occurrence < self.spec.repeats:
            return
        missing = occurrence + 1 - self.opened
        occurrence_tasks = sum(step.task_count for step in self.spec.steps)
        if missing * occurrence_tasks > MAX_OPEN_TASKS:
            return
        for _ in range(missing):
            for step in self.open_next():
                step.opened_at = now

    def close_done(self) -> None:
        """Discard the steps of scheduled occurrences that are done."""
        if not self.spec.repeats:
            return
        open_occurrences = {step.occurrence for step in self.steps if not step.is_done}
        self.steps = [
            step for step in self.steps if step.occurrence in open_occurrences
        ]

    @property
    def is_done(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        if self.opened < self.spec.repeats:
            return False
        return all(step.is_done for step in self.steps)

    def find_step(self, occurrence: int, number: int) -> Step | None:
        """Return a step of an open occurrence, or None."""
        for step in self.steps:
            if step.occurrence == occurrence and step.number == number:
                return step
        return None

    def ready_steps(self) -> list[Step]:
        """Return the steps with pending tasks whose predecessors are all done."""
        return [step for step in self.steps if step.is_ready]

    def active_runs(self) -> list[Run]:
        """Return the attempts of the job that may be running."""
        return [run for step in self.steps for run in step.active_runs()]

    def progress(self) -> Progress:
        """Return the durable state of the job.

        After the end, only what later owners need of attempts that may still run: which
        tasks were not done, and which are suspects.
        """
        is_final = self.phase.is_final
        steps = [
            StepProgress(
                step.number,
                bytes(state == TaskState.DONE for state in step.states),
                step.occurrence,
                {} if is_final else step.failures,
                {} if is_final else step.checkpoints,
                {index: suspect.record() for index, suspect in step.suspects.items()},
            )
            for step in self.steps
            if self.phase is not JobPhase.COMPLETED
        ]
        return Progress(self.phase, steps, self.final_since_ms, self.opened)

    def restore(self, progress: Progress) -> None:
        """Apply a progress record that an earlier owner wrote."""
        self.phase = progress.phase
        self.durable_phase = progress.phase
        self.started = progress.phase is not JobPhase.QUEUED
        self.final_since_ms = progress.ended_ms
        saved_steps = {
            (saved.occurrence, saved.number): saved for saved in progress.steps
        }
        saved_occurrences = {saved.occurrence for saved in progress.steps}
        while self.opened < progress.opened:
            if self.opened in saved_occurrences:
                self.open_next()
            else:
                # All its steps are done.
                self.opened += 1
        for step in self.steps:
            saved = saved_steps.get((step.occurrence, step.number))
            if saved is None:
                for index in range(step.spec.task_count):
                    step.mark_done(index)
                continue
            for index, done in enumerate(saved.done[: step.spec.task_count]):
                if done:
                    step.mark_done(index)
            step.failures = {
                key: set(attempts) for key, attempts in saved.failures.items()
            }
            step.checkpoints = dict(saved.checkpoints)
            step.suspects = {
                index: Suspect(record)
                for index, record in saved.suspects.items()
                if index < step.spec.task_count and step.states[index] != TaskState.DONE
            }
        self.close_done()
