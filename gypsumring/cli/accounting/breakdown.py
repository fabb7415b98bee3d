"""Find the critical path of each job and split its time into parts."""

import enum
from statistics import median

from gypsumring.cli.accounting.histories import (
    Attempt,
    Histories,
    JobHistory,
    OwnerChange,
    StepHistory,
)
from gypsumring.cli.accounting.parts import Cause, Part, Timeline, first_not_none

__all__ = ["JobResult", "ResultKind", "WorkEstimator", "break_down"]

# An end that is logged this soon after a new owner has read the cell is taken to have
# waited for the takeover.
TAKEOVER_REPORT_WINDOW_S = 1.5
# Largest difference between durations that the owner reports and those computed from
# the times of its log lines, unless a clock was stepped.
CLOCK_TOLERANCE_S = 0.25
# With fewer completed tasks in a step, the estimate is used instead of their median.
MIN_TASKS_FOR_MEDIAN = 3
MISSING_TIME = float("-inf")


class ResultKind(enum.StrEnum):
    """Final result of a job as seen in the log."""

    REFUSED = "refused"
    UNCERTAIN = "uncertain"
    IN_TIME = "in time"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNENDED = "never ended"
    # Jobs with a schedule, or with tasks that run until they are cancelled.
    SCHEDULED_OR_LONG_RUNNING = "scheduled or lasting"

    @property
    def is_charged(self) -> bool:
        """Whether the time of the job is charged to a cause."""
        return self in (ResultKind.LATE, ResultKind.FAILED, ResultKind.UNENDED)


class JobResult:
    """Result of a job: its kind, its time by part and the cause charged."""

    __slots__ = ("cause", "cause_s", "history", "kind", "seconds_by_part", "total_s")

    def __init__(self, history: JobHistory, kind: ResultKind):
        self.history = history
        self.kind = kind
        self.seconds_by_part: dict[Part, float] = {}
        self.total_s = 0.0
        # The cause that took most of the time, and its share in seconds.
        self.cause: Cause | None = None
        self.cause_s = 0.0


class WorkEstimator:
    """Expected durations of tasks.

    The expected duration of a task is the median over the completed tasks of its step.
    In steps with few completed tasks, and in gangs, whose members end together, it is
    the estimate times the median ratio of actual to estimated duration.
    """

    __slots__ = ("queues_with_policy", "duration_ratios")

    def __init__(self, histories: Histories):
        samples: dict[tuple[str, int], list[float]] = {}
        # Queues with a policy service.
        self.queues_with_policy: set[str] = set()
        for job in histories.jobs.values():
            if any(step.policy_calls for step in job.steps.values()):
                self.queues_with_policy.add(job.queue)
            for step in job.steps.values():
                estimated_s = estimate_duration_s(job, step.number)
                samples.setdefault((job.queue, step.number), []).extend(
                    duration_s / estimated_s for duration_s in list_durations_s(step)
                )
        self.duration_ratios = {
            key: median(values) for key, values in samples.items() if values
        }

    def expected_duration_s(self, job: JobHistory, step: StepHistory) -> float:
        """Return the expected duration of a task of a step."""
        durations_s = list_durations_s(step)
        if (
            step.number not in job.gang_steps
            and len(durations_s) >= MIN_TASKS_FOR_MEDIAN
        ):
            return median(durations_s)
        ratio = self.duration_ratios.get((job.queue, step.number), 1.0)
        return ratio * estimate_duration_s(job, step.number)


def list_durations_s(step: StepHistory) -> list[float]:
    """Return the durations of the attempts of a step that ended as done."""
    return [
        attempt.ended_at - attempt.started_at
        for attempt in step.attempts.values()
        if attempt.outcome == "done" and attempt.started_at is not None
    ]


def estimate_duration_s(job: JobHistory, step: int) -> float:
    """Return the estimated duration of a task, or 1 s if the job has no estimate."""
    has_estimate = step < len(job.estimates_ms) and job.estimates_ms[step] > 0
    return job.estimates_ms[step] / 1000 if has_estimate else 1.0


def break_down(histories: Histories) -> list[JobResult]:
    """Return the result of each job."""
    estimator = WorkEstimator(histories)
    return [analyze_job(job, histories, estimator) for job in histories.jobs.values()]


def analyze_job(
    job: JobHistory, histories: Histories, estimator: WorkEstimator
) -> JobResult:
    """Return the result of a job with its time by part."""
    if job.accepted_at is None and not job.steps and job.ended_at is None:
        kind = ResultKind.UNCERTAIN if job.uncertain_count else ResultKind.REFUSED
        return JobResult(job, kind)
    if job.is_scheduled_or_long_running:
        return JobResult(job, ResultKind.SCHEDULED_OR_LONG_RUNNING)
    end_at = histories.ended_at if job.ended_at is None else job.ended_at
    timeline = Timeline(
        job.first_seen_at, list_ownerless_intervals(job, histories.changes)
    )
    timeline.charge_wait(
        first_not_none(job.accepted_at, job.first_seen_at), Part.ADMISSION
    )
    for step in find_critical_path(job):
        charge_step(timeline, job, step, estimator, end_at)
    if job.end_to_durable_s is not None:
        # A node may have dropped the lines of the last steps; the time up to the last
        # end is then unaccounted for.
        timeline.charge_wait(end_at - job.end_to_durable_s, Part.UNKNOWN)
    timeline.charge_wait(end_at, Part.END_RECORDING)
    owner_total_s = sum_owner_reported_s(job, histories.changes)
    if owner_total_s is not None:
        timeline.cap_total(owner_total_s + CLOCK_TOLERANCE_S)
    result = JobResult(job, ResultKind.UNENDED)
    result.seconds_by_part = timeline.seconds_by_part
    result.total_s = timeline.total_s()
    result.kind = classify_accepted_job(job, result.total_s)
    if result.kind.is_charged:
        result.cause, result.cause_s = timeline.find_cause()
    return result


def sum_owner_reported_s(job: JobHistory, changes: list[OwnerChange]) -> float | None:
    """Return a job's time by its owner's monotonic clock, None if the owner changed."""
    if None in (
        job.accepted_at,
        job.ended_at,
        job.accepted_to_end_s,
        job.end_to_durable_s,
    ):
        return None
    for change in changes:
        if change.lost_at < job.ended_at and job.accepted_at < (
            first_not_none(change.read_at, job.ended_at)
        ):
            return None
    return job.admission_s + job.accepted_to_end_s + job.end_to_durable_s


def classify_accepted_job(job: JobHistory, total_s: float) -> ResultKind:
    """Return the kind of result of an accepted job."""
    match job.phase:
        case "completed":
            late = job.target_s is not None and total_s > job.target_s
            return ResultKind.LATE if late else ResultKind.IN_TIME
        case "failed":
            return ResultKind.FAILED
        case "cancelled":
            return ResultKind.CANCELLED
    return ResultKind.UNENDED


def list_ownerless_intervals(
    job: JobHistory, changes: list[OwnerChange]
) -> list[tuple[float, float]]:
    """Return the intervals in which no owner could start tasks of a job."""
    intervals = []
    for change in changes:
        if change.read_at is None:
            intervals.append((change.lost_at, float("inf")))
        elif job.accepted_at is not None and job.accepted_at < change.read_at:
            intervals.append((change.lost_at, change.reconciled_at))
        else:
            intervals.append((change.lost_at, change.read_at))
    return intervals


def find_critical_path(job: JobHistory) -> list[StepHistory | int]:
    """Return the steps on the critical path of the first occurrence, in order.

    The path ends with the step that completed last, or with a step that still waits or
    runs. Each earlier step is the predecessor that completed last. A step without log
    lines is represented by its number.
    """
    count = max(len(job.widths), 1 + max((key[1] for key in job.steps), default=0))
    done_at = {number: find_step_done_at(job, number) for number in range(count)}
    unfinished = [number for number in range(count) if done_at[number] is None]
    ready = [
        number
        for number in unfinished
        if not any(
            predecessor in unfinished for predecessor in list_predecessors(job, number)
        )
    ]
    completed = job.phase == "completed"
    if ready and not completed:
        last = min(ready)
    else:
        last = max(
            done_at,
            key=lambda number: (first_not_none(done_at[number], MISSING_TIME), number),
        )
    path = [last]
    while predecessors := list_predecessors(job, path[0]):
        path.insert(
            0,
            max(
                predecessors,
                key=lambda number: first_not_none(done_at[number], MISSING_TIME),
            ),
        )
    return [job.steps.get((0, number), number) for number in path]


def list_predecessors(job: JobHistory, number: int) -> list[int]:
    """Return the numbers of the steps that a step depends on."""
    return job.predecessors[number] if number < len(job.predecessors) else []


def find_step_done_at(job: JobHistory, number: int) -> float | None:
    """Return when the last task of a step was done, or None if a task is not."""
    step = job.steps.get((0, number))
    if step is None:
        return None
    if number in job.gang_steps:
        ends = [
            attempt.ended_at
            for attempt in step.attempts.values()
            if attempt.outcome == "done"
        ]
        return min(ends, default=None)
    ends = [step.find_done_at(index) for index in range(count_tasks(job, step))]
    recorded_ends = [end for end in ends if end is not None]
    if len(recorded_ends) < len(ends) and not (
        recorded_ends and job.phase == "completed"
    ):
        return None
    return max(recorded_ends)


def count_tasks(job: JobHistory, step: StepHistory) -> int:
    """Return the number of tasks of a step."""
    if step.number < len(job.widths):
        return job.widths[step.number]
    return 1 + max((index for index, _ in step.attempts), default=0)


def charge_step(
    timeline: Timeline,
    job: JobHistory,
    step: StepHistory | int,
    estimator: WorkEstimator,
    end_at: float,
) -> None:
    """Charge the time of one step of the critical path."""
    if isinstance(step, int):
        # If the job has completed, the step did run but its lines were dropped.
        if job.phase != "completed":
            timeline.charge_wait(end_at, find_initial_wait(job, estimator))
        return
    attempts = find_critical_attempts(job, step)
    first_answer_at = min((call.ended_at for call in step.policy_calls), default=None)
    started_at = attempts[0].started_at if attempts else end_at
    if started_at is None:
        ended_at = first_not_none(attempts[0].ended_at, end_at)
        started_at = max(
            timeline.accounted_until,
            ended_at - estimator.expected_duration_s(job, step),
        )
    if first_answer_at is not None:
        timeline.charge_wait(min(first_answer_at, started_at), Part.FIRST_POLICY_ANSWER)
    elif not attempts:
        timeline.charge_wait(started_at, find_initial_wait(job, estimator))
    charge_start_wait(timeline, step, started_at)
    for number, attempt in enumerate(attempts):
        if number:
            timeline.charge_wait(
                first_not_none(attempt.started_at, timeline.accounted_until),
                Part.BETWEEN_ATTEMPTS,
            )
        following = attempts[number + 1 : number + 2]
        charge_attempt(timeline, job, step, attempt, following, estimator, end_at)
    was_unsuccessful = attempts and attempts[-1].outcome not in ("", "done")
    if was_unsuccessful and job.phase != "completed":
        timeline.charge_wait(end_at, Part.BETWEEN_ATTEMPTS)


def find_initial_wait(job: JobHistory, estimator: WorkEstimator) -> Part:
    """Return the part that a step without log lines waits in."""
    return (
        Part.FIRST_POLICY_ANSWER
        if job.queue in estimator.queues_with_policy
        else Part.CAPACITY_OR_TICKET
    )


def charge_start_wait(timeline: Timeline, step: StepHistory, until: float) -> None:
    """Charge a wait to the policy calls made during it, and the rest to capacity."""
    for call in sorted(step.policy_calls, key=lambda call: call.began_at):
        timeline.charge_wait(min(call.began_at, until), Part.CAPACITY_OR_TICKET)
        timeline.charge_wait(min(call.ended_at, until), Part.FURTHER_POLICY_ANSWERS)
    timeline.charge_wait(until, Part.CAPACITY_OR_TICKET)


def find_critical_attempts(job: JobHistory, step: StepHistory) -> list[Attempt]:
    """Return the attempts of the task that was done last or is not done yet.

    A gang counts as one task, which begins when its last member starts.
    """
    if step.number in job.gang_steps:
        return merge_gang(step)
    by_index: dict[int, list[Attempt]] = {
        index: [] for index in range(count_tasks(job, step))
    }
    for (index, _), attempt in sorted(step.attempts.items()):
        by_index.setdefault(index, []).append(attempt)
    completed = job.phase == "completed"

    def lateness(attempts: list[Attempt]) -> tuple[int, float]:
        ends = [attempt.ended_at for attempt in attempts if attempt.outcome == "done"]
        if ends:
            return 0, min(ends)
        last_start = max(
            (first_not_none(attempt.started_at, MISSING_TIME) for attempt in attempts),
            default=MISSING_TIME,
        )
        if completed:
            return 0, last_start
        if job.phase == "failed":
            return 1 + sum(
                attempt.outcome == "failed" for attempt in attempts
            ), last_start
        return 1 if attempts else 2, last_start

    attempts = max(by_index.values(), key=lateness, default=[])
    return truncate_after_done(attempts)


def merge_gang(step: StepHistory) -> list[Attempt]:
    """Return one merged attempt per attempt number of a gang."""
    merged: dict[int, Attempt] = {}
    for (_, number), member in sorted(step.attempts.items()):
        gang_attempt = merged.setdefault(number, Attempt(0, number, member.executor))
        if member.started_at is not None:
            gang_attempt.started_at = max(
                first_not_none(gang_attempt.started_at, MISSING_TIME), member.started_at
            )
        if member.ended_at is None:
            continue
        if member.outcome == "done" and gang_attempt.outcome == "done":
            gang_attempt.ended_at = min(gang_attempt.ended_at, member.ended_at)
        elif member.outcome == "done" or gang_attempt.outcome != "done":
            gang_attempt.outcome = member.outcome
            gang_attempt.ended_at = member.ended_at
    return truncate_after_done([merged[number] for number in sorted(merged)])


def truncate_after_done(attempts: list[Attempt]) -> list[Attempt]:
    """Return the attempts up to and including the first that was done."""
    for number, attempt in enumerate(attempts):
        if attempt.outcome == "done":
            return attempts[: number + 1]
    return attempts


def charge_attempt(
    timeline: Timeline,
    job: JobHistory,
    step: StepHistory,
    attempt: Attempt,
    following: list[Attempt],
    estimator: WorkEstimator,
    end_at: float,
) -> None:
    """Charge the time of one attempt to work, or to wasted work if it was of no use."""
    ended_at = attempt.ended_at
    if ended_at is None and following:
        ended_at = following[0].started_at
    if following or attempt.outcome not in ("", "done"):
        timeline.charge(
            first_not_none(ended_at, timeline.accounted_until), Part.WASTED_WORK
        )
        return
    began_at = timeline.accounted_until
    expected_duration_s = estimator.expected_duration_s(job, step)
    if ended_at is None:
        # If the job has completed, the line with the end of the attempt was dropped.
        completed = job.phase == "completed"
        ended_at = began_at + expected_duration_s if completed else end_at
    ended_at = min(ended_at, end_at)
    timeline.charge(min(ended_at, began_at + expected_duration_s), Part.USUAL_WORK)
    owner_wait_s = timeline.measure_ownerless_s(ended_at)
    if owner_wait_s == 0.0 and timeline.ownerless_intervals:
        owner_wait_s = estimate_takeover_delay_s(timeline, ended_at)
    timeline.charge(
        timeline.accounted_until
        + min(owner_wait_s, ended_at - timeline.accounted_until),
        Part.OWNER_CHANGE,
    )
    timeline.charge(ended_at, Part.SLOW_WORK)


def estimate_takeover_delay_s(timeline: Timeline, ended_at: float) -> float:
    """Return how long an end may have waited for the new owner to read the cell."""
    for lost_at, read_at in timeline.ownerless_intervals:
        if read_at <= ended_at <= read_at + TAKEOVER_REPORT_WINDOW_S:
            return ended_at - max(timeline.accounted_until, lost_at)
    return 0.0
