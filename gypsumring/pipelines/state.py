"""State of jobs, steps and attempts on the node that owns them."""

import enum

from gypsumring.pipelines.model import JobPhase, PipelineSpec, StepSpec, format_task
from gypsumring.pipelines.records import Progress, StepProgress
from gypsumring.ports.tasks import Ticket

__all__ = ["Job", "Run", "RunState", "Step", "TaskState"]


class TaskState(enum.IntEnum):
    """State of one task; the values are stored in a byte array."""

    PENDING = 0
    PLACED = 1
    DONE = 2


class RunState(enum.Enum):
    """State of one attempt on an executor."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """Track one attempt from its order until the executor lists its end.

    ``answered_at`` is set once the executor has answered the start or stop; lists
    requested later contain the attempt if it exists. ``start_sent_by`` is the time by
    which the newest copy of the start was sent, infinite while one is under way.
    """

    __slots__ = (
        "answered_at",
        "attempt",
        "executor_id",
        "index",
        "load",
        "pace",
        "percent",
        "progress_at",
        "rack",
        "ran_under_this_owner",
        "start_sent_by",
        "started_at",
        "state",
        "step",
        "task",
        "unanswered",
    )

    def __init__(
        self, step: "Step", index: int, attempt: int, executor_id: str, now: float
    ):
        self.step = step
        self.index = index
        self.attempt = attempt
        self.executor_id = executor_id
        self.task = step.task_name(index)
        self.state = RunState.STARTING
        self.started_at = now
        self.start_sent_by = now
        self.answered_at: float | None = None
        self.unanswered = 0
        # It ran under this owner, so that no earlier owner knows of its end.
        self.ran_under_this_owner = True
        self.percent = 0.0
        self.rack = ""
        # Tail latency in milliseconds of a serving task, else the cpu in use.
        self.load = 0.0
        # The share at which a filling task may work, in percent.
        self.pace = 100
        self.progress_at = now

    def log_fields(self) -> dict[str, object]:
        """Return what names this attempt in a log line."""
        return {
            "job": self.step.job.spec.job_id,
            "task": self.task,
            "attempt": self.attempt,
            "executor": self.executor_id,
        }


class Step:
    """Track the tasks of one step of one occurrence.

    ``before`` are the steps that must be done first.
    """

    __slots__ = (
        "allowed",
        "asked",
        "asking",
        "attempts",
        "avoided",
        "before",
        "checkpoints",
        "done_count",
        "failures",
        "held_back_until",
        "job",
        "left_out",
        "number",
        "occurrence",
        "opened_at",
        "pending",
        "replan_at",
        "reserved",
        "runs",
        "spec",
        "start_after",
        "start_by",
        "states",
        "tickets",
        "uncertain",
        "waiting_since",
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
        self.before = predecessors
        # When a scheduled occurrence was opened; other jobs count from acceptance.
        self.opened_at: float | None = None
        self.states = bytearray(spec.task_count)
        self.attempts = [0] * spec.task_count
        # Attempts that failed, by task index; index 0 stands for all of a gang.
        self.failures: dict[int, set[int]] = {}
        self.checkpoints: dict[int, str] = {}
        # Executors on which a task failed or stood still, by task index.
        self.avoided: dict[int, set[str]] = {}
        self.pending = set(range(spec.task_count))
        # Tasks of an earlier owner that may run on an executor not yet heard, and those
        # of them that wait to be placed.
        self.uncertain: set[int] = set()
        self.withheld: set[int] = set()
        self.done_count = 0
        self.runs: dict[int, list[Run]] = {}
        # No call for advice and no start before these times.
        self.held_back_until = 0.0
        self.start_after = 0.0
        # What the policy service said: executors asked about and allowed, tickets.
        self.asked: set[str] = set()
        self.allowed: set[str] = set()
        self.tickets: dict[str, Ticket] = {}
        # Calls to the policy service that are under way.
        self.asking = 0
        # Since when the step has waited for a good place.
        self.waiting_since: float | None = None
        # Executors that take no work of other steps until this one has its room.
        self.reserved: set[str] = set()
        # When the executors kept for a gang are chosen again, and when a gang that has
        # its room must have started, or others may use it.
        self.replan_at = 0.0
        self.start_by: float | None = None
        # The limit of what is kept has left this gang out; no later one goes before it.
        self.left_out = False

    @property
    def name(self) -> str:
        """Return the name of the step of an occurrence."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return self.done_count == self.spec.task_count

    @property
    def is_ready(self) -> bool:
        """Tell whether tasks wait to be placed, and the steps before are done."""
        return bool(self.pending) and all(step.is_done for step in self.before)

    def task_name(self, index: int) -> str:
        """Return the name of one task."""
        return format_task(self.job.spec.job_id, self.occurrence, self.number, index)

    def active_runs(self) -> list[Run]:
        """Return all attempts that may be running."""
        return [run for runs in self.runs.values() for run in runs]

    def mark_done(self, index: int) -> bool:
        """Note the end of a task; tell whether it is new."""
        if self.states[index] == TaskState.DONE:
            return False
        self.states[index] = TaskState.DONE
        self.pending.discard(index)
        self.withheld.discard(index)
        self.uncertain.discard(index)
        self.checkpoints.pop(index, None)
        self.done_count += 1
        return True

    def mark_pending(self, index: int) -> None:
        """Let a task be placed again."""
        if self.states[index] == TaskState.DONE:
            return
        self.states[index] = TaskState.PENDING
        if index in self.uncertain or (self.spec.gang and self.uncertain):
            self.withheld.add(index)
        else:
            self.pending.add(index)

    def withhold(self) -> None:
        """Place no task that is not done, since an earlier owner may have."""
        self.uncertain |= self.pending
        self.withheld |= self.pending
        self.pending.clear()

    def mark_found(self, index: int) -> None:
        """Note that the only attempt of a task has been found."""
        self.uncertain.discard(index)

    def settle(self) -> None:
        """Let the withheld tasks be placed: they run nowhere."""
        self.uncertain.clear()
        self.pending |= self.withheld
        self.withheld.clear()

    def forget_room(self) -> None:
        """Keep no executors any more."""
        self.reserved = set()
        self.replan_at = 0.0
        self.start_by = None
        self.left_out = False

    def ticket_left_s(self, executor_id: str, now: float) -> float:
        """Return how long the step may still be started on an executor, in seconds."""
        ticket = self.tickets.get(executor_id)
        return 0.0 if ticket is None else ticket.expires_at - now

    def checkpoint_of(self, index: int) -> str:
        """Return the checkpoint from which a task resumes; a gang has one for all."""
        if self.spec.gang:
            return self.checkpoints.get(0, "")
        return self.checkpoints.get(index, "")

    def save_checkpoint(self, index: int, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task or a gang."""
        if checkpoint and self.states[index] != TaskState.DONE:
            self.checkpoints[0 if self.spec.gang else index] = checkpoint


class Job:
    """Track one job; ``steps`` holds those of the occurrences that are under way."""

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
        # The phase that callers may be told: a final one only once it is durable.
        self.durable_phase = JobPhase.QUEUED
        self.started = False
        # A job of an earlier owner; its tasks may run on executors not yet heard.
        self.inherited = inherited
        self.ended_at: float | None = None
        self.final_since_ms = 0
        self.steps: list[Step] = []
        # Number of occurrences that have been opened.
        self.opened = 0
        if not spec.repeats:
            self.open_next()

    def open_next(self) -> list[Step]:
        """Begin the next occurrence and return its steps."""
        steps: list[Step] = []
        for number, spec in enumerate(self.spec.steps):
            predecessors = [steps[earlier] for earlier in spec.after]
            steps.append(Step(self, self.opened, number, spec, predecessors))
            if self.inherited:
                steps[-1].withhold()
        self.opened += 1
        self.steps.extend(steps)
        return steps

    def settle(self) -> None:
        """Note that all tasks of earlier owners have been found or have ended."""
        self.inherited = False
        for step in self.steps:
            step.settle()

    def release_withheld_dependents(self, step: Step) -> None:
        """Note that no earlier owner can have started what depends on a step."""
        for dependent in self.steps:
            if step in dependent.before:
                dependent.settle()

    def open_due(self, now_ms: int, now: float) -> bool:
        """Begin the occurrences that are due by Unix time; tell if there are any."""
        opened = self.opened
        while self.opened < self.spec.repeats:
            due_ms = self.spec.start_at_ms + self.opened * self.spec.interval_ms
            if due_ms > now_ms:
                break
            for step in self.open_next():
                step.opened_at = now - (now_ms - due_ms) / 1000
        return self.opened > opened

    def close_done(self) -> None:
        """Drop the steps of scheduled occurrences that are done."""
        if not self.spec.repeats:
            return
        open_occurrences = {step.occurrence for step in self.steps if not step.is_done}
        self.steps = [
            step for step in self.steps if step.occurrence in open_occurrences
        ]

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks of all occurrences have ended as done."""
        if self.opened < self.spec.repeats:
            return False
        return all(step.is_done for step in self.steps)

    def find_step(self, occurrence: int, number: int) -> Step | None:
        """Return a step of an occurrence that is under way."""
        for step in self.steps:
            if step.occurrence == occurrence and step.number == number:
                return step
        return None

    def ready_steps(self) -> list[Step]:
        """Return the steps with tasks to place, all steps before them being done."""
        return [step for step in self.steps if step.is_ready]

    def active_runs(self) -> list[Run]:
        """Return all attempts that may be running."""
        return [run for step in self.steps for run in step.active_runs()]

    def progress(self) -> Progress:
        """Return the durable part of the state."""
        steps = [
            StepProgress(
                step.number,
                bytes(state == TaskState.DONE for state in step.states),
                step.occurrence,
                step.failures,
                step.checkpoints,
            )
            for step in self.steps
        ]
        return Progress(self.phase, steps, self.final_since_ms, self.opened)

    def restore(self, progress: Progress) -> None:
        """Apply a progress record of an earlier owner."""
        self.phase = progress.phase
        self.durable_phase = progress.phase
        self.started = progress.phase is not JobPhase.QUEUED
        self.final_since_ms = progress.ended_ms
        while self.opened < progress.opened:
            self.open_next()
        saved_steps = {
            (saved.occurrence, saved.number): saved for saved in progress.steps
        }
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
        self.close_done()
