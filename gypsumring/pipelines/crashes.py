"""Attribution of executor crashes to the tasks that ran there.

All tasks that may have run on an executor when it crashed are suspects. Placement keeps
suspects apart, so that a further crash names one of them.
"""

from typing import TYPE_CHECKING

from gypsumring.pipelines.records import CrashRecord, SuspectRecord

if TYPE_CHECKING:
    from gypsumring.pipelines.runs import Run
    from gypsumring.pipelines.state import Job, Step

__all__ = ["CrashRegister", "Suspect"]

# A job is given up once a task was the only suspect in this many crashes of different
# executors, and ran alone in one of them. A suspect may have had an unknown deadly task
# beside it, so crashes with other tasks beside it alone are not sufficient.
MIN_SOLE_CRASHES = 2
# An executor may have crashed just before an unanswered start reached it, so more
# crashes are needed if fewer than MIN_SOLE_CRASHES starts are known to have begun.
MIN_UNANSWERED_SOLE_CRASHES = 3
# From this many crashes on, a suspect runs alone on its executor if possible.
ALONE_AFTER_CRASHES = 2
# After this many crashes a task is started at most MAX_FINAL_STARTS times, and not
# again after a further crash, whatever the evidence: each start may cost an executor,
# and a crash that its owner did not outlive may not have been counted.
MAX_CRASHES = 3
MAX_FINAL_STARTS = 2


class Suspect:
    """Crashes of executors under one task, and its latest placement.

    Without any crash the placement alone is recorded, for the next owner.
    ``separate_until`` is the time until which the task waits for an executor of its
    own, None while no wait has begun.
    """

    __slots__ = (
        "crashes",
        "final_starts",
        "placed_born_ms",
        "placed_on",
        "separate_until",
    )

    def __init__(self, record: SuspectRecord | None = None):
        self.crashes = list(record.crashes) if record else []
        # Starts after MAX_CRASHES.
        self.final_starts = record.final_starts if record else 0
        # Incarnation of the executor on which the latest attempt may be running.
        self.placed_on = record.placed_on if record else ""
        self.placed_born_ms = record.placed_born_ms if record else 0
        self.separate_until: float | None = None

    def record(self) -> SuspectRecord:
        """Return the durable state of the suspect."""
        return SuspectRecord(
            self.crashes, self.final_starts, self.placed_on, self.placed_born_ms
        )

    @property
    def must_run_alone(self) -> bool:
        """Return whether the task should have an executor to itself."""
        return len(self.crashes) >= ALONE_AFTER_CRASHES

    @property
    def is_culprit(self) -> bool:
        """Return whether it is certain enough that the task crashes executors."""
        confirmed = [crash for crash in self.crashes if crash.confirmed]
        sole = [crash for crash in confirmed if crash.sole]
        executor_ids = {crash.executor_id for crash in sole}
        if len(executor_ids) < MIN_SOLE_CRASHES:
            return False
        if not any(crash.alone for crash in sole):
            return False
        begun = sum(crash.begun for crash in confirmed)
        return begun >= MIN_SOLE_CRASHES or len(sole) >= MIN_UNANSWERED_SOLE_CRASHES

    @property
    def is_exhausted(self) -> bool:
        """Return whether the task may not be started again."""
        confirmed = sum(crash.confirmed for crash in self.crashes)
        if confirmed < MIN_SOLE_CRASHES or not self.final_starts:
            return False
        return self.final_starts >= MAX_FINAL_STARTS or len(self.crashes) > MAX_CRASHES

    def has_crashed(self, executor_id: str) -> bool:
        """Return whether an executor has crashed under the task."""
        return any(crash.executor_id == executor_id for crash in self.crashes)

    def add_crash(self, crash: CrashRecord) -> bool:
        """Add a crash; return whether this incarnation had not been counted."""
        for number, known in enumerate(self.crashes):
            same_executor = known.executor_id == crash.executor_id
            if same_executor and known.born_ms == crash.born_ms:
                if known.confirmed or not crash.confirmed:
                    return False
                self.crashes[number] = crash
                return True
        self.crashes.append(crash)
        return True

    def resolve(self, executor_id: str, born_ms: int) -> bool:
        """Apply the incarnation that an executor reports; return whether this matters.

        An incarnation that is still there has not crashed; any other one has.
        """
        resolved = []
        for crash in self.crashes:
            if crash.executor_id != executor_id:
                resolved.append(crash)
            elif crash.born_ms != born_ms:
                resolved.append(crash.confirm())
        changed = resolved != self.crashes
        self.crashes = resolved
        return changed

    def confirm(self, executor_id: str) -> bool:
        """Confirm the crashes of an executor that has left; return whether any was."""
        confirmed = [
            crash.confirm() if crash.executor_id == executor_id else crash
            for crash in self.crashes
        ]
        changed = confirmed != self.crashes
        self.crashes = confirmed
        return changed

    def add_inherited_crash(self, confirmed: bool = True) -> None:
        """Count the crash of the executor on which an earlier owner placed the task.

        One that is not ``confirmed`` is resolved once the executor answers.
        """
        self.add_crash(
            CrashRecord(self.placed_on, self.placed_born_ms, confirmed=confirmed)
        )
        self.placed_on = ""

    def record_start(self, executor_id: str, born_ms: int) -> None:
        """Record that the task is about to be started on an executor."""
        self.separate_until = None
        self.placed_on = executor_id
        self.placed_born_ms = born_ms
        if len(self.crashes) >= MAX_CRASHES:
            self.final_starts += 1

    def withdraw_start(self) -> None:
        """Discount the latest start, which the executor has refused."""
        self.placed_on = ""
        if self.final_starts:
            self.final_starts -= 1


class CrashRegister:
    """Steps that have suspects."""

    __slots__ = ("steps",)

    def __init__(self):
        self.steps: dict[Step, None] = {}

    def add_job(self, job: "Job") -> None:
        """Add the suspects of a job that has been restored."""
        self.steps.update((step, None) for step in job.steps if step.suspects)

    def watch(self, step: "Step", index: int) -> None:
        """Record the next placement of a task, so that the next owner knows it."""
        step.watched.discard(index)
        self.steps[step] = None
        step.suspects.setdefault(index, Suspect())

    def count_suspects(self) -> int:
        """Return how many tasks of active jobs have crashes."""
        return sum(bool(suspect.crashes) for _, _, suspect in self.list_suspects())

    def list_suspects(self) -> "list[tuple[Step, int, Suspect]]":
        """Return the step, index and state of all suspects of active jobs."""
        if not self.steps:
            return []
        self.steps = {
            step: None
            for step in self.steps
            if step.suspects and not step.job.phase.is_final
        }
        return [
            (step, index, suspect)
            for step in self.steps
            for index, suspect in step.suspects.items()
        ]

    def find_occupied(self) -> "dict[str, list[Run]]":
        """Return the attempts of suspects by the executors on which they may run."""
        occupied: dict[str, list[Run]] = {}
        for step, index, suspect in self.list_suspects():
            for run in step.runs.get(index, ()) if suspect.crashes else ():
                occupied.setdefault(run.executor_id, []).append(run)
        return occupied

    def record_crash(
        self,
        executor_id: str,
        born_ms: int,
        runs: "list[Run]",
        confirmed: bool,
        is_isolated: bool,
    ) -> "list[tuple[Step, int]]":
        """Count a crash against the tasks that may have run; return those.

        A crash that is not ``is_isolated`` came with crashes of other executors, so a
        common cause is more likely than a task. A crash that is not ``confirmed`` is
        resolved once the executor answers or has left.
        """
        earlier = [run for run in runs if run.step.is_suspect(run.index)]
        counted = []
        for run in runs:
            step = run.step
            if step.job.phase.is_final:
                continue
            alone = is_isolated and len(runs) == 1
            sole = alone or (is_isolated and earlier == [run])
            crash = CrashRecord(
                executor_id, born_ms, sole, alone, run.has_begun, confirmed
            )
            if step.suspects.setdefault(run.index, Suspect()).add_crash(crash):
                counted.append((step, run.index))
            self.steps[step] = None
        return counted
