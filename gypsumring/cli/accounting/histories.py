"""Build the histories of jobs and of owner changes from log lines."""

from bisect import bisect_left
from collections import Counter

from gypsumring.cli.accounting.lines import Fields, Line, Log
from gypsumring.pipelines import parse_task

__all__ = [
    "PolicyCall",
    "Attempt",
    "Histories",
    "JobHistory",
    "OwnerChange",
    "StepHistory",
    "collect_histories",
]

# A longer time between admission and acceptance means that the clocks differ.
MAX_ADMISSION_S = 30.0
# Messages that only the owner of the cell logs.
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
    """Attempt of a task; ``outcome`` is empty until a line reports its end."""

    __slots__ = ("ended_at", "executor", "outcome", "index", "number", "started_at")

    def __init__(self, index: int, number: int, executor: str):
        self.index = index
        self.number = number
        self.executor = executor
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.outcome = ""


class PolicyCall:
    """Answered call to the policy service."""

    __slots__ = ("allowed_count", "queried_count", "began_at", "ended_at")

    def __init__(
        self, began_at: float, ended_at: float, queried_count: int, allowed_count: int
    ):
        self.began_at = began_at
        self.ended_at = ended_at
        self.queried_count = queried_count
        self.allowed_count = allowed_count


class StepHistory:
    """History of one step of one occurrence of a job."""

    __slots__ = ("policy_calls", "attempts", "number", "refused_starts", "stall_count")

    def __init__(self, number: int):
        self.number = number
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.policy_calls: list[PolicyCall] = []
        self.refused_starts: Counter[str] = Counter()
        self.stall_count = 0

    def get_or_add_attempt(self, index: int, number: int, executor: str) -> Attempt:
        """Return an attempt, adding it if it is not recorded yet."""
        key = (index, number)
        if key not in self.attempts:
            self.attempts[key] = Attempt(index, number, executor)
        return self.attempts[key]

    def find_done_at(self, index: int) -> float | None:
        """Return when an attempt of a task first ended as done, or None."""
        ends = [
            attempt.ended_at
            for attempt in self.attempts.values()
            if attempt.index == index and attempt.outcome == "done"
        ]
        return min(ends, default=None)


class JobHistory:
    """History of one job; times are in seconds on the common time axis."""

    __slots__ = (
        "accepted_at",
        "predecessors",
        "cpu_millis",
        "admission_s",
        "end_to_durable_s",
        "ended_at",
        "estimates_ms",
        "first_seen_at",
        "gang_steps",
        "job_id",
        "is_scheduled_or_long_running",
        "phase",
        "queue",
        "refusals",
        "steps",
        "target_s",
        "accepted_to_end_s",
        "uncertain_count",
        "widths",
    )

    def __init__(self, job_id: str, first_seen_at: float):
        self.job_id = job_id
        self.first_seen_at = first_seen_at
        self.queue = ""
        self.refusals: Counter[str] = Counter()
        self.uncertain_count = 0
        self.accepted_at: float | None = None
        self.admission_s = 0.0
        self.widths: list[int] = []
        self.cpu_millis: list[int] = []
        self.estimates_ms: list[int] = []
        self.predecessors: list[list[int]] = []
        self.gang_steps: set[int] = set()
        self.target_s: float | None = None
        # Whether the job has a schedule, or tasks that run until they are cancelled.
        self.is_scheduled_or_long_running = False
        self.phase = ""
        # When the end became visible to callers, and two durations that the owner
        # reports: from acceptance to the last end, and from there until it was durable.
        self.ended_at: float | None = None
        self.accepted_to_end_s: float | None = None
        self.end_to_durable_s: float | None = None
        self.steps: dict[tuple[int, int], StepHistory] = {}

    def get_or_add_step(self, occurrence: int, number: int) -> StepHistory:
        """Return a step, adding it if it is not recorded yet."""
        key = (occurrence, number)
        if key not in self.steps:
            self.steps[key] = StepHistory(number)
        return self.steps[key]

    def get_task_cores(self, step: int) -> float:
        """Return the cores of a task of a step, or 0 if no line reports them."""
        return self.cpu_millis[step] / 1000 if step < len(self.cpu_millis) else 0.0

    def core_seconds(self) -> float:
        """Return the estimated core-seconds of the whole job."""
        rows = zip(self.widths, self.cpu_millis, self.estimates_ms)
        return sum(width * cpu * estimate for width, cpu, estimate in rows) / 1e6


class OwnerChange:
    """Period in which the cell had no owner that had read its state.

    ``reconciled_at`` is when the owner could again start the withheld tasks, which the
    previous owner may have started.
    """

    __slots__ = ("lost_at", "node", "read_at", "reconciled_at")

    def __init__(self, lost_at: float):
        self.lost_at = lost_at
        self.node = ""
        self.read_at: float | None = None
        self.reconciled_at: float | None = None


class Histories:
    """Jobs and owner changes of a log."""

    __slots__ = ("changes", "ended_at", "jobs")

    def __init__(self):
        self.jobs: dict[str, JobHistory] = {}
        self.changes: list[OwnerChange] = []
        # Time of the last line on the common time axis.
        self.ended_at = 0.0


def collect_histories(log: Log) -> Histories:
    """Return the jobs and owner changes that the lines of a log describe."""
    histories = Histories()
    for line in log.lines:
        apply_job_line(histories, line)
        histories.ended_at = line.logged_at
    histories.changes = collect_owner_changes(log.lines)
    return histories


def apply_job_line(histories: Histories, line: Line) -> None:
    """Apply a line to the histories of the jobs that it names."""
    fields = line.fields
    if fields.message == "attempts lost":
        for task in fields.tasks:
            record_loss(histories, str(task), fields.executor, "lost", line.logged_at)
        return
    if fields.message == "attempt is not listed":
        record_loss(histories, fields.task, fields.executor, "absent", line.logged_at)
        return
    job_id = fields.job or fields.step.partition(".")[0]
    if not job_id:
        return
    job = histories.jobs.setdefault(job_id, JobHistory(job_id, line.logged_at))
    job.queue = job.queue or fields.queue
    match fields.message:
        case "job refused":
            job.refusals[fields.reason] += 1
        case "job uncertain":
            job.uncertain_count += 1
        case "job accepted":
            record_acceptance(job, fields, line.logged_at)
        case "job ended":
            record_job_end(job, fields, line.logged_at)
        case "advice received":
            record_policy_call(job, fields, line.logged_at)
        case "attempt started" | "attempt ended" | "start refused":
            record_attempt(job, fields, line.logged_at)
        case "attempt stands still":
            record_attempt(job, fields, line.logged_at)


def record_acceptance(job: JobHistory, fields: Fields, logged_at: float) -> None:
    """Record the shape of a job and the time from admission to acceptance."""
    admission_s = fields.door_ms / 1000
    if not 0.0 <= admission_s <= MAX_ADMISSION_S:
        admission_s = fields.store_ms / 1000
    job.accepted_at = logged_at
    job.first_seen_at = min(job.first_seen_at, logged_at - admission_s)
    job.admission_s = logged_at - job.first_seen_at
    job.widths = [width for width in fields.tasks if isinstance(width, int)]
    job.cpu_millis = fields.cpu_millis
    job.estimates_ms = fields.estimates_ms
    job.predecessors = fields.after
    job.gang_steps = set(fields.gangs)
    job.is_scheduled_or_long_running = fields.lasts
    if fields.target_ms is not None:
        job.target_s = fields.target_ms / 1000


def record_job_end(job: JobHistory, fields: Fields, logged_at: float) -> None:
    """Record the first end of a job; two owners may log it around a takeover."""
    if job.ended_at is not None:
        return
    job.ended_at = logged_at
    job.phase = fields.phase
    if fields.took_ms is not None:
        job.accepted_to_end_s = fields.took_ms / 1000
    if fields.durable_ms is not None:
        job.end_to_durable_s = fields.durable_ms / 1000


def record_policy_call(job: JobHistory, fields: Fields, logged_at: float) -> None:
    """Record an answer of the policy service."""
    parts = fields.step.split(".")
    if len(parts) == 3 and parts[1].isdecimal() and parts[2].isdecimal():
        step = job.get_or_add_step(int(parts[1]), int(parts[2]))
        began_at = logged_at - (fields.took_ms or 0.0) / 1000
        step.policy_calls.append(
            PolicyCall(began_at, logged_at, fields.asked, fields.allowed)
        )


def record_attempt(job: JobHistory, fields: Fields, logged_at: float) -> None:
    """Record a start, a refused start, a stall or an end of an attempt."""
    parsed = parse_task(fields.task)
    if parsed is None:
        return
    step = job.get_or_add_step(parsed[1], parsed[2])
    if fields.message == "start refused":
        step.refused_starts[fields.reason] += 1
        return
    attempt = step.get_or_add_attempt(parsed[3], fields.attempt, fields.executor)
    if fields.message == "attempt started" and attempt.started_at is None:
        attempt.started_at = logged_at
    elif fields.message == "attempt stands still":
        step.stall_count += 1
    elif fields.message == "attempt ended" and attempt.outcome in (
        "",
        "lost",
        "absent",
    ):
        attempt.ended_at = logged_at
        attempt.outcome = fields.how


def record_loss(
    histories: Histories, task: str, executor: str, outcome: str, logged_at: float
) -> None:
    """Record that the owner has abandoned the attempt of a task on an executor."""
    parsed = parse_task(task)
    job = histories.jobs.get(parsed[0]) if parsed else None
    if job is None:
        return
    step = job.get_or_add_step(parsed[1], parsed[2])
    for attempt in step.attempts.values():
        if (attempt.index, attempt.executor, attempt.outcome) == (
            parsed[3],
            executor,
            "",
        ):
            attempt.ended_at = logged_at
            attempt.outcome = outcome


def collect_owner_changes(lines: list[Line]) -> list[OwnerChange]:
    """Return the periods in which the cell had no owner that had read its state."""
    owner_times: dict[str, list[float]] = {}
    for line in lines:
        if line.fields.message in OWNER_MESSAGES:
            owner_times.setdefault(line.node, []).append(line.logged_at)
    changes: list[OwnerChange] = []
    owner = ""
    for line in lines:
        match line.fields.message:
            case "taking over the cell":
                if not changes or changes[-1].read_at is not None:
                    lost_at = find_last_before(
                        owner_times.get(owner, []), line.logged_at
                    )
                    changes.append(OwnerChange(lost_at))
            case "cell read":
                owner = line.node
                if changes and changes[-1].read_at is None:
                    changes[-1].read_at = changes[-1].reconciled_at = line.logged_at
                    changes[-1].node = line.node
            case "withheld tasks released":
                if changes and line.node == owner:
                    changes[-1].reconciled_at = line.logged_at
    return changes


def find_last_before(times: list[float], limit: float) -> float:
    """Return the last of ascending times before a limit, or the limit if none is."""
    number = bisect_left(times, limit)
    return times[number - 1] if number else limit
