"""Collect what became of each job, and when the cell had no owner."""

from bisect import bisect_left
from collections import Counter

from gypsumring.cli.accounting.lines import Fields, Line, Log
from gypsumring.pipelines import parse_task

__all__ = [
    "AdviceCall",
    "Attempt",
    "Histories",
    "JobHistory",
    "OwnerChange",
    "StepHistory",
    "collect_histories",
]

# A time from the door to acceptance above this comes from clocks that differ.
MAX_DOOR_S = 30.0
# Lines that only an owner of the cell writes.
OWNER_MESSAGES = frozenset(
    {
        "advice received",
        "attempt ended",
        "attempt started",
        "cell lost",
        "cell released",
        "job accepted",
        "job ended",
    }
)


class Attempt:
    """Hold one attempt of a task; ``how`` is empty while no line tells its end."""

    __slots__ = ("ended_at", "executor", "how", "index", "number", "started_at")

    def __init__(self, index: int, number: int, executor: str):
        self.index = index
        self.number = number
        self.executor = executor
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.how = ""


class AdviceCall:
    """Hold one answered call to the policy service."""

    __slots__ = ("allowed", "asked", "began_at", "ended_at")

    def __init__(self, began_at: float, ended_at: float, asked: int, allowed: int):
        self.began_at = began_at
        self.ended_at = ended_at
        self.asked = asked
        self.allowed = allowed


class StepHistory:
    """Hold what the lines say about one step of one occurrence."""

    __slots__ = ("advice", "attempts", "number", "refused_starts", "stood_still")

    def __init__(self, number: int):
        self.number = number
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.advice: list[AdviceCall] = []
        self.refused_starts: Counter[str] = Counter()
        self.stood_still = 0

    def find_attempt(self, index: int, number: int, executor: str) -> Attempt:
        """Return an attempt, which is new if no line has named it before."""
        key = (index, number)
        if key not in self.attempts:
            self.attempts[key] = Attempt(index, number, executor)
        return self.attempts[key]

    def done_at(self, index: int) -> float | None:
        """Return when a task has ended as done first."""
        ends = [
            each.ended_at
            for each in self.attempts.values()
            if each.index == index and each.how == "done"
        ]
        return min(ends, default=None)


class JobHistory:
    """Hold what the lines say about one job; times are on the common axis."""

    __slots__ = (
        "accepted_at",
        "after",
        "cpu_millis",
        "door_s",
        "durable_s",
        "ended_at",
        "estimates_ms",
        "first_seen_at",
        "gangs",
        "job_id",
        "lasts",
        "phase",
        "queue",
        "refusals",
        "steps",
        "target_s",
        "took_s",
        "uncertain",
        "widths",
    )

    def __init__(self, job_id: str, first_seen_at: float):
        self.job_id = job_id
        self.first_seen_at = first_seen_at
        self.queue = ""
        self.refusals: Counter[str] = Counter()
        self.uncertain = 0
        self.accepted_at: float | None = None
        self.door_s = 0.0
        self.widths: list[int] = []
        self.cpu_millis: list[int] = []
        self.estimates_ms: list[int] = []
        self.after: list[list[int]] = []
        self.gangs: set[int] = set()
        self.target_s: float | None = None
        # Whether it has times of its own, or tasks that run until they are cancelled.
        self.lasts = False
        self.phase = ""
        # When callers could be told the end, and the owner's own count of the time from
        # acceptance to the last end and from there until it was durable.
        self.ended_at: float | None = None
        self.took_s: float | None = None
        self.durable_s: float | None = None
        self.steps: dict[tuple[int, int], StepHistory] = {}

    def find_step(self, occurrence: int, number: int) -> StepHistory:
        """Return a step, which is new if no line has named it before."""
        key = (occurrence, number)
        if key not in self.steps:
            self.steps[key] = StepHistory(number)
        return self.steps[key]

    def cpu_of(self, step: int) -> float:
        """Return the cores of a task of a step, 0 if they are not known."""
        return self.cpu_millis[step] / 1000 if step < len(self.cpu_millis) else 0.0

    def core_seconds(self) -> float:
        """Return the estimated work of the whole job."""
        rows = zip(self.widths, self.cpu_millis, self.estimates_ms)
        return sum(width * cpu * estimate for width, cpu, estimate in rows) / 1e6


class OwnerChange:
    """Hold a time in which the cell had no owner that had read it.

    ``settled_at`` is when tasks that the owner before may have started could be
    started again.
    """

    __slots__ = ("lost_at", "node", "read_at", "settled_at")

    def __init__(self, lost_at: float):
        self.lost_at = lost_at
        self.node = ""
        self.read_at: float | None = None
        self.settled_at: float | None = None


class Histories:
    """Hold the jobs and owner changes of a log."""

    __slots__ = ("changes", "ended_at", "jobs")

    def __init__(self):
        self.jobs: dict[str, JobHistory] = {}
        self.changes: list[OwnerChange] = []
        # The time of the last line.
        self.ended_at = 0.0


def collect_histories(log: Log) -> Histories:
    """Return the jobs and owner changes that the lines of a log describe."""
    histories = Histories()
    for line in log.lines:
        apply_job_line(histories, line)
        histories.ended_at = line.at
    histories.changes = collect_changes(log.lines)
    return histories


def apply_job_line(histories: Histories, line: Line) -> None:
    """Apply a line to the jobs that it names."""
    fields = line.fields
    if fields.message == "attempts lost":
        for task in fields.tasks:
            note_lost(histories, str(task), fields.executor, "lost", line.at)
        return
    if fields.message == "attempt is not listed":
        note_lost(histories, fields.task, fields.executor, "absent", line.at)
        return
    job_id = fields.job or fields.step.partition(".")[0]
    if not job_id:
        return
    job = histories.jobs.setdefault(job_id, JobHistory(job_id, line.at))
    job.queue = job.queue or fields.queue
    match fields.message:
        case "job refused":
            job.refusals[fields.reason] += 1
        case "job uncertain":
            job.uncertain += 1
        case "job accepted":
            note_accepted(job, fields, line.at)
        case "job ended":
            note_ended(job, fields, line.at)
        case "advice received":
            note_advice(job, fields, line.at)
        case "attempt started" | "attempt ended" | "start refused":
            note_attempt(job, fields, line.at)
        case "attempt stands still":
            note_attempt(job, fields, line.at)


def note_accepted(job: JobHistory, fields: Fields, at: float) -> None:
    """Note the form of a job, and how long it took from the door to acceptance."""
    door_s = fields.door_ms / 1000
    if not 0.0 <= door_s <= MAX_DOOR_S:
        door_s = fields.store_ms / 1000
    job.accepted_at = at
    job.first_seen_at = min(job.first_seen_at, at - door_s)
    job.door_s = at - job.first_seen_at
    job.widths = [width for width in fields.tasks if isinstance(width, int)]
    job.cpu_millis = fields.cpu_millis
    job.estimates_ms = fields.estimates_ms
    job.after = fields.after
    job.gangs = set(fields.gangs)
    job.lasts = fields.lasts
    if fields.target_ms is not None:
        job.target_s = fields.target_ms / 1000


def note_ended(job: JobHistory, fields: Fields, at: float) -> None:
    """Note the end of a job; owners may tell it twice around a takeover."""
    if job.ended_at is not None:
        return
    job.ended_at = at
    job.phase = fields.phase
    if fields.took_ms is not None:
        job.took_s = fields.took_ms / 1000
    if fields.durable_ms is not None:
        job.durable_s = fields.durable_ms / 1000


def note_advice(job: JobHistory, fields: Fields, at: float) -> None:
    """Note an answer of the policy service."""
    parts = fields.step.split(".")
    if len(parts) == 3 and parts[1].isdecimal() and parts[2].isdecimal():
        step = job.find_step(int(parts[1]), int(parts[2]))
        began_at = at - (fields.took_ms or 0.0) / 1000
        step.advice.append(AdviceCall(began_at, at, fields.asked, fields.allowed))


def note_attempt(job: JobHistory, fields: Fields, at: float) -> None:
    """Note a start, a refused start, an end or a stop of an attempt."""
    parsed = parse_task(fields.task)
    if parsed is None:
        return
    step = job.find_step(parsed[1], parsed[2])
    if fields.message == "start refused":
        step.refused_starts[fields.reason] += 1
        return
    attempt = step.find_attempt(parsed[3], fields.attempt, fields.executor)
    if fields.message == "attempt started" and attempt.started_at is None:
        attempt.started_at = at
    elif fields.message == "attempt stands still":
        step.stood_still += 1
    elif fields.message == "attempt ended" and attempt.how in ("", "lost", "absent"):
        attempt.ended_at = at
        attempt.how = fields.how


def note_lost(
    histories: Histories, task: str, executor: str, how: str, at: float
) -> None:
    """Note that the owner has given up the attempt of a task on an executor."""
    parsed = parse_task(task)
    job = histories.jobs.get(parsed[0]) if parsed else None
    if job is None:
        return
    step = job.find_step(parsed[1], parsed[2])
    for attempt in step.attempts.values():
        if (attempt.index, attempt.executor, attempt.how) == (parsed[3], executor, ""):
            attempt.ended_at = at
            attempt.how = how


def collect_changes(lines: list[Line]) -> list[OwnerChange]:
    """Return the times without an owner that had read the cell."""
    owner_times: dict[str, list[float]] = {}
    for line in lines:
        if line.fields.message in OWNER_MESSAGES:
            owner_times.setdefault(line.node, []).append(line.at)
    changes: list[OwnerChange] = []
    owner = ""
    for line in lines:
        match line.fields.message:
            case "taking over the cell":
                if not changes or changes[-1].read_at is not None:
                    lost_at = last_before(owner_times.get(owner, []), line.at)
                    changes.append(OwnerChange(lost_at))
            case "cell read":
                owner = line.node
                if changes and changes[-1].read_at is None:
                    changes[-1].read_at = changes[-1].settled_at = line.at
                    changes[-1].node = line.node
            case "withheld tasks released":
                if changes and line.node == owner:
                    changes[-1].settled_at = line.at
    return changes


def last_before(times: list[float], at: float) -> float:
    """Return the last of ascending times that is not later than another."""
    number = bisect_left(times, at)
    return times[number - 1] if number else at
