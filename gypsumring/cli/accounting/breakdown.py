"""Follow the critical path of each job and split its time into parts."""

import enum
from statistics import median

from gypsumring.cli.accounting.histories import (
    Attempt,
    Histories,
    JobHistory,
    OwnerChange,
    StepHistory,
)
from gypsumring.cli.accounting.parts import Cause, Part, Timeline, first_known

__all__ = ["JobResult", "ResultKind", "UsualWork", "break_down"]

# Ends that executors list this long after a takeover have waited for it.
LISTED_AFTER_READ_S = 1.5
# Times that the owner counted itself differ from those of the lines by this at most.
CLOCK_SLACK_S = 0.25
# Tasks of a step that were done, from which on they are compared with each other.
COMPARED_TASKS = 3
NEVER = float("-inf")


class ResultKind(enum.StrEnum):
    """What became of a job."""

    REFUSED = "refused"
    UNCERTAIN = "uncertain"
    IN_TIME = "in time"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNENDED = "never ended"
    # Jobs with times of their own, or with tasks that run until they are cancelled.
    LASTING = "scheduled or lasting"

    @property
    def is_charged(self) -> bool:
        """Tell whether the job is charged to a cause."""
        return self in (ResultKind.LATE, ResultKind.FAILED, ResultKind.UNENDED)


class JobResult:
    """Hold what became of a job, its time by parts and the cause if it was late."""

    __slots__ = ("cause", "cause_s", "history", "kind", "parts", "total_s")

    def __init__(self, history: JobHistory, kind: ResultKind):
        self.history = history
        self.kind = kind
        self.parts: dict[Part, float] = {}
        self.total_s = 0.0
        # The cause that took most of the time, and how much.
        self.cause: Cause | None = None
        self.cause_s = 0.0


class UsualWork:
    """Tell how long tasks usually work.

    Tasks of a step are compared with each other; in steps of few tasks and in gangs,
    whose members end together, with the estimate and its usual error.
    """

    __slots__ = ("advised", "ratios")

    def __init__(self, histories: Histories):
        samples: dict[tuple[str, int], list[float]] = {}
        # Queues with a policy service.
        self.advised: set[str] = set()
        for job in histories.jobs.values():
            if any(step.advice for step in job.steps.values()):
                self.advised.add(job.queue)
            for step in job.steps.values():
                estimated_s = estimate_s(job, step.number)
                samples.setdefault((job.queue, step.number), []).extend(
                    worked_s / estimated_s for worked_s in list_worked_s(step)
                )
        self.ratios = {key: median(values) for key, values in samples.items() if values}

    def expected_s(self, job: JobHistory, step: StepHistory) -> float:
        """Return the usual time of work of a task of a step."""
        worked_s = list_worked_s(step)
        if step.number not in job.gangs and len(worked_s) >= COMPARED_TASKS:
            return median(worked_s)
        ratio = self.ratios.get((job.queue, step.number), 1.0)
        return ratio * estimate_s(job, step.number)


def list_worked_s(step: StepHistory) -> list[float]:
    """Return how long the attempts of a step worked that were done."""
    return [
        attempt.ended_at - attempt.started_at
        for attempt in step.attempts.values()
        if attempt.how == "done" and attempt.started_at is not None
    ]


def estimate_s(job: JobHistory, step: int) -> float:
    """Return the estimated work of a task, one second if there is none."""
    known = step < len(job.estimates_ms) and job.estimates_ms[step] > 0
    return job.estimates_ms[step] / 1000 if known else 1.0


def break_down(histories: Histories) -> list[JobResult]:
    """Return the result of each job."""
    usual = UsualWork(histories)
    return [judge(job, histories, usual) for job in histories.jobs.values()]


def judge(job: JobHistory, histories: Histories, usual: UsualWork) -> JobResult:
    """Return what became of a job and where its time went."""
    if job.accepted_at is None and not job.steps and job.ended_at is None:
        kind = ResultKind.UNCERTAIN if job.uncertain else ResultKind.REFUSED
        return JobResult(job, kind)
    if job.lasts:
        return JobResult(job, ResultKind.LASTING)
    end_at = histories.ended_at if job.ended_at is None else job.ended_at
    timeline = Timeline(job.first_seen_at, find_ownerless(job, histories.changes))
    timeline.wait_until(first_known(job.accepted_at, job.first_seen_at), Part.DOOR)
    for step in find_path(job):
        follow_step(timeline, job, step, usual, end_at)
    if job.durable_s is not None:
        # Lines of steps that were dropped leave a gap before the last end.
        timeline.wait_until(end_at - job.durable_s, Part.UNKNOWN)
    timeline.wait_until(end_at, Part.SHOWN)
    counted_s = count_total_s(job, histories.changes)
    if counted_s is not None:
        timeline.limit_total(counted_s + CLOCK_SLACK_S)
    result = JobResult(job, ResultKind.UNENDED)
    result.parts = timeline.seconds
    result.total_s = timeline.total_s()
    result.kind = find_kind(job, result.total_s)
    if result.kind.is_charged:
        result.cause, result.cause_s = timeline.find_cause()
    return result


def count_total_s(job: JobHistory, changes: list[OwnerChange]) -> float | None:
    """Return the time of a job by the steady clock of its only owner, if it had one."""
    if None in (job.accepted_at, job.ended_at, job.took_s, job.durable_s):
        return None
    for change in changes:
        if change.lost_at < job.ended_at and job.accepted_at < (
            first_known(change.read_at, job.ended_at)
        ):
            return None
    return job.door_s + job.took_s + job.durable_s


def find_kind(job: JobHistory, total_s: float) -> ResultKind:
    """Return what became of an accepted job."""
    match job.phase:
        case "completed":
            late = job.target_s is not None and total_s > job.target_s
            return ResultKind.LATE if late else ResultKind.IN_TIME
        case "failed":
            return ResultKind.FAILED
        case "cancelled":
            return ResultKind.CANCELLED
    return ResultKind.UNENDED


def find_ownerless(
    job: JobHistory, changes: list[OwnerChange]
) -> list[tuple[float, float]]:
    """Return the times in which no owner could start tasks of a job."""
    intervals = []
    for change in changes:
        if change.read_at is None:
            intervals.append((change.lost_at, float("inf")))
        elif job.accepted_at is not None and job.accepted_at < change.read_at:
            intervals.append((change.lost_at, change.settled_at))
        else:
            intervals.append((change.lost_at, change.read_at))
    return intervals


def find_path(job: JobHistory) -> list[StepHistory | int]:
    """Return the steps of the critical path of the first occurrence, in their order.

    It ends with the step that was done last, or with one that waits or runs, and goes
    back through the step that each one had to wait for. A step without lines is given
    by its number.
    """
    count = max(len(job.widths), 1 + max((each[1] for each in job.steps), default=0))
    done_at = {number: step_done_at(job, number) for number in range(count)}
    open_ones = [number for number in range(count) if done_at[number] is None]
    ready = [
        number
        for number in open_ones
        if not any(each in open_ones for each in steps_before(job, number))
    ]
    completed = job.phase == "completed"
    if ready and not completed:
        last = min(ready)
    else:
        last = max(
            done_at, key=lambda number: (first_known(done_at[number], NEVER), number)
        )
    path = [last]
    while before := steps_before(job, path[0]):
        path.insert(
            0, max(before, key=lambda number: first_known(done_at[number], NEVER))
        )
    return [job.steps.get((0, number), number) for number in path]


def steps_before(job: JobHistory, number: int) -> list[int]:
    """Return the steps that a step waits for."""
    return job.after[number] if number < len(job.after) else []


def step_done_at(job: JobHistory, number: int) -> float | None:
    """Return when the last task of a step was done, or None if one is not."""
    step = job.steps.get((0, number))
    if step is None:
        return None
    if number in job.gangs:
        ends = [each.ended_at for each in step.attempts.values() if each.how == "done"]
        return min(ends, default=None)
    ends = [step.done_at(index) for index in range(width_of(job, step))]
    known = [end for end in ends if end is not None]
    if len(known) < len(ends) and not (known and job.phase == "completed"):
        return None
    return max(known)


def width_of(job: JobHistory, step: StepHistory) -> int:
    """Return the number of tasks of a step."""
    if step.number < len(job.widths):
        return job.widths[step.number]
    return 1 + max((index for index, _ in step.attempts), default=0)


def follow_step(
    timeline: Timeline,
    job: JobHistory,
    step: StepHistory | int,
    usual: UsualWork,
    end_at: float,
) -> None:
    """Charge the time of one step of the critical path."""
    if isinstance(step, int):
        # A job that has completed has lost the lines of this step.
        if job.phase != "completed":
            timeline.wait_until(end_at, first_wait(job, usual))
        return
    attempts = find_critical(job, step)
    first_advice_at = min((call.ended_at for call in step.advice), default=None)
    started_at = attempts[0].started_at if attempts else end_at
    if started_at is None:
        ended_at = first_known(attempts[0].ended_at, end_at)
        started_at = max(timeline.at, ended_at - usual.expected_s(job, step))
    if first_advice_at is not None:
        timeline.wait_until(min(first_advice_at, started_at), Part.FIRST_ADVICE)
    elif not attempts:
        timeline.wait_until(started_at, first_wait(job, usual))
    wait_for_room(timeline, step, started_at)
    for number, attempt in enumerate(attempts):
        if number:
            timeline.wait_until(
                first_known(attempt.started_at, timeline.at), Part.BETWEEN
            )
        following = attempts[number + 1 : number + 2]
        follow_attempt(timeline, job, step, attempt, following, usual, end_at)
    open_ended = attempts and attempts[-1].how not in ("", "done")
    if open_ended and job.phase != "completed":
        timeline.wait_until(end_at, Part.BETWEEN)


def first_wait(job: JobHistory, usual: UsualWork) -> Part:
    """Return what a step without any line waits for."""
    return Part.FIRST_ADVICE if job.queue in usual.advised else Part.ROOM


def wait_for_room(timeline: Timeline, step: StepHistory, until: float) -> None:
    """Charge a wait to the calls for advice under way in it, else to room."""
    for call in sorted(step.advice, key=lambda call: call.began_at):
        timeline.wait_until(min(call.began_at, until), Part.ROOM)
        timeline.wait_until(min(call.ended_at, until), Part.MORE_ADVICE)
    timeline.wait_until(until, Part.ROOM)


def find_critical(job: JobHistory, step: StepHistory) -> list[Attempt]:
    """Return the attempts of the task that was done last, or that is not done yet.

    A gang counts as one task, which begins with its last member.
    """
    if step.number in job.gangs:
        return merge_gang(step)
    by_index: dict[int, list[Attempt]] = {
        index: [] for index in range(width_of(job, step))
    }
    for (index, _), attempt in sorted(step.attempts.items()):
        by_index.setdefault(index, []).append(attempt)
    completed = job.phase == "completed"

    def lateness(attempts: list[Attempt]) -> tuple[int, float]:
        ends = [each.ended_at for each in attempts if each.how == "done"]
        if ends:
            return 0, min(ends)
        last_start = max(
            (first_known(each.started_at, NEVER) for each in attempts), default=NEVER
        )
        if completed:
            return 0, last_start
        if job.phase == "failed":
            return 1 + sum(each.how == "failed" for each in attempts), last_start
        return 1 if attempts else 2, last_start

    attempts = max(by_index.values(), key=lateness, default=[])
    return cut_after_done(attempts)


def merge_gang(step: StepHistory) -> list[Attempt]:
    """Return one attempt for each run of a gang."""
    merged: dict[int, Attempt] = {}
    for (_, number), member in sorted(step.attempts.items()):
        whole = merged.setdefault(number, Attempt(0, number, member.executor))
        if member.started_at is not None:
            whole.started_at = max(
                first_known(whole.started_at, NEVER), member.started_at
            )
        if member.ended_at is None:
            continue
        if member.how == "done" and whole.how == "done":
            whole.ended_at = min(whole.ended_at, member.ended_at)
        elif member.how == "done" or whole.how != "done":
            whole.how = member.how
            whole.ended_at = member.ended_at
    return cut_after_done([merged[number] for number in sorted(merged)])


def cut_after_done(attempts: list[Attempt]) -> list[Attempt]:
    """Return attempts up to the first that was done."""
    for number, attempt in enumerate(attempts):
        if attempt.how == "done":
            return attempts[: number + 1]
    return attempts


def follow_attempt(
    timeline: Timeline,
    job: JobHistory,
    step: StepHistory,
    attempt: Attempt,
    following: list[Attempt],
    usual: UsualWork,
    end_at: float,
) -> None:
    """Charge the time of one attempt to work, or to what was thrown away."""
    ended_at = attempt.ended_at
    if ended_at is None and following:
        ended_at = following[0].started_at
    if following or attempt.how not in ("", "done"):
        timeline.spend_until(first_known(ended_at, timeline.at), Part.THROWN_AWAY)
        return
    began_at = timeline.at
    expected_s = usual.expected_s(job, step)
    if ended_at is None:
        # The line of the end of a job that has completed was dropped.
        completed = job.phase == "completed"
        ended_at = began_at + expected_s if completed else end_at
    ended_at = min(ended_at, end_at)
    timeline.spend_until(min(ended_at, began_at + expected_s), Part.WORK)
    late_s = timeline.ownerless_s(ended_at)
    if late_s == 0.0 and timeline.ownerless:
        late_s = listed_late_s(timeline, ended_at)
    timeline.spend_until(timeline.at + min(late_s, ended_at - timeline.at), Part.OWNER)
    timeline.spend_until(ended_at, Part.SLOW_WORK)


def listed_late_s(timeline: Timeline, ended_at: float) -> float:
    """Return for how long an end may have waited for an owner that has just read."""
    for lost_at, read_at in timeline.ownerless:
        if read_at <= ended_at <= read_at + LISTED_AFTER_READ_S:
            return ended_at - max(timeline.at, lost_at)
    return 0.0
