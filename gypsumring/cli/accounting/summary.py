"""Summarize the results of all jobs by queue, part, cause and step."""

from collections import Counter
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from gypsumring.cli.accounting.breakdown import JobResult, ResultKind, break_down
from gypsumring.cli.accounting.histories import (
    Attempt,
    Histories,
    JobHistory,
    OwnerChange,
    StepHistory,
    collect_histories,
)
from gypsumring.cli.accounting.lines import Log
from gypsumring.cli.accounting.parts import Cause, Part, first_not_none

__all__ = [
    "Account",
    "CauseAccount",
    "Distribution",
    "OwnerChangeAccount",
    "PartAccount",
    "QueueAccount",
    "StepAccount",
    "TOTAL",
    "summarize",
]

TOTAL = "total"
# Histograms record 1 ms to 1 h with two significant digits.
MIN_RECORDED_MS = 1
MAX_RECORDED_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
# Number of example jobs listed per cause.
MAX_EXAMPLES = 3


class Distribution(msgspec.Struct):
    """Mean and two percentiles of times in seconds, or of ratios."""

    mean_s: float = 0.0
    p50_s: float = 0.0
    p90_s: float = 0.0


class PartAccount(msgspec.Struct):
    """Time that a part takes in accepted jobs, and in jobs charged to a cause."""

    part: str
    accepted: Distribution
    charged: Distribution


class CauseAccount(msgspec.Struct):
    """Jobs charged to a cause, with their estimated core-seconds."""

    cause: str
    jobs: int = 0
    core_seconds: float = 0.0
    # Time that the cause took in these jobs.
    seconds: float = 0.0
    examples: list[str] = []


class QueueAccount(msgspec.Struct):
    """Results of the jobs of one queue.

    ``widths`` are the most common numbers of tasks per step; ``target_used`` is the
    ratio of time to target of completed jobs.
    """

    queue: str
    widths: list[int]
    seen: int
    accepted: int
    core_seconds: float
    results: dict[str, int]
    core_seconds_in_time: float
    target_used_p50: float
    target_used_p90: float
    refused_jobs: dict[str, int]
    refused_tries: dict[str, int]
    uncertain_tries: int
    parts: list[PartAccount]
    causes: list[CauseAccount]
    # Wasted attempts by outcome, with their core-seconds.
    thrown_away: dict[str, int]
    thrown_core_seconds: dict[str, float]


class StepAccount(msgspec.Struct):
    """Totals over the steps of one queue that have the same number."""

    queue: str
    step: int
    seen: int
    tasks: int
    attempts: int
    advice_calls: int
    executors_asked: int
    executors_allowed: int
    refused_starts: dict[str, int]
    ends: dict[str, int]
    stood_still: int
    # Number of owner changes during a step, summed over the steps.
    owner_changes: int


class OwnerChangeAccount(msgspec.Struct):
    """Period without an owner; ``at_s`` is its start, counted from the first line."""

    at_s: float
    node: str
    without_owner_s: float | None
    settled_after_s: float | None
    open_jobs: int


class Account(msgspec.Struct):
    """Account of a whole log."""

    lines: int
    malformed: int
    dropped: dict[str, int]
    nodes: int
    span_s: float
    queues: list[QueueAccount]
    steps: list[StepAccount]
    owner_changes: list[OwnerChangeAccount]


def summarize(log: Log) -> Account:
    """Return the account of the jobs in a log, by queue and in total."""
    histories = collect_histories(log)
    results = break_down(histories)
    by_queue: dict[str, list[JobResult]] = {}
    for result in results:
        by_queue.setdefault(result.history.queue or "?", []).append(result)
    queues = [summarize_queue(name, by_queue[name]) for name in sorted(by_queue)]
    if len(queues) > 1:
        queues.append(summarize_queue(TOTAL, results))
    begin_at = log.lines[0].logged_at if log.lines else 0.0
    return Account(
        lines=len(log.lines),
        malformed=log.malformed,
        dropped=dict(log.dropped),
        nodes=len(log.nodes()),
        span_s=histories.ended_at - begin_at,
        queues=queues,
        steps=summarize_steps(histories),
        owner_changes=[
            summarize_owner_change(change, histories, begin_at)
            for change in histories.changes
        ],
    )


def summarize_queue(name: str, results: list[JobResult]) -> QueueAccount:
    """Return the account of the jobs of one queue."""
    jobs = [result.history for result in results]
    accepted = [result for result in results if result.seconds_by_part]
    widths = Counter(tuple(job.widths) for job in jobs if job.widths)
    common_widths = widths.most_common(1)
    refused = [result.history for result in results if result.kind is REFUSED]
    target_shares = [
        result.total_s / result.history.target_s
        for result in accepted
        if result.history.phase == "completed" and result.history.target_s
    ]
    target_used = summarize_values(target_shares)
    wasted_attempts = list_wasted_attempts(jobs)
    in_time = [result.history for result in results if result.kind is IN_TIME]
    return QueueAccount(
        queue=name,
        widths=list(common_widths[0][0]) if common_widths and name != TOTAL else [],
        seen=len(jobs),
        accepted=len(accepted),
        core_seconds=sum(job.core_seconds() for job in jobs),
        results=Counter(str(result.kind) for result in results),
        core_seconds_in_time=sum(job.core_seconds() for job in in_time),
        target_used_p50=target_used.p50_s,
        target_used_p90=target_used.p90_s,
        refused_jobs=Counter(last_reason(job) for job in refused),
        refused_tries=sum((job.refusals for job in jobs), Counter()),
        uncertain_tries=sum(job.uncertain_count for job in jobs),
        parts=[summarize_part(part, accepted) for part in Part],
        causes=summarize_causes(accepted),
        thrown_away=Counter(outcome for outcome, _ in wasted_attempts),
        thrown_core_seconds=sum_by_name(wasted_attempts),
    )


REFUSED = ResultKind.REFUSED
IN_TIME = ResultKind.IN_TIME


def last_reason(job: JobHistory) -> str:
    """Return the reason of the last refusal of a job."""
    return next(reversed(job.refusals), "?")


def summarize_values(values: Iterable[float]) -> Distribution:
    """Return the mean and percentiles of times in seconds or of ratios."""
    values = list(values)
    if not values:
        return Distribution()
    histogram = HdrHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(min(max(round(value * 1000), 0), MAX_RECORDED_MS))
    return Distribution(
        sum(values) / len(values),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(90) / 1000,
    )


def summarize_part(part: Part, accepted: list[JobResult]) -> PartAccount:
    """Return the distribution of the time that accepted jobs spent in one part."""
    charged = [result for result in accepted if result.kind.is_charged]
    return PartAccount(
        str(part),
        summarize_values(result.seconds_by_part[part] for result in accepted),
        summarize_values(result.seconds_by_part[part] for result in charged),
    )


def summarize_causes(accepted: list[JobResult]) -> list[CauseAccount]:
    """Return the jobs charged to each cause."""
    causes = {cause: CauseAccount(str(cause), examples=[]) for cause in Cause}
    for result in sorted(accepted, key=lambda result: -result.total_s):
        if result.cause is None:
            continue
        account = causes[result.cause]
        account.jobs += 1
        account.core_seconds += result.history.core_seconds()
        account.seconds += result.cause_s
        if len(account.examples) < MAX_EXAMPLES:
            account.examples.append(result.history.job_id)
    return list(causes.values())


def list_wasted_attempts(jobs: list[JobHistory]) -> list[tuple[str, float]]:
    """Return the outcomes and core-seconds of attempts whose work was wasted."""
    rows = []
    for job in jobs:
        for step in job.steps.values():
            cpu = job.get_task_cores(step.number)
            for attempt in step.attempts.values():
                end = find_wasted_end(job, step, attempt)
                if end is not None:
                    outcome, ended_at = end
                    began_at = first_not_none(attempt.started_at, ended_at)
                    rows.append((outcome, cpu * max(0.0, ended_at - began_at)))
    return rows


def find_wasted_end(
    job: JobHistory, step: StepHistory, attempt: Attempt
) -> tuple[str, float] | None:
    """Return the outcome and end of a wasted attempt, or None if it was not wasted."""
    if attempt.outcome not in ("", "done"):
        return attempt.outcome, attempt.ended_at
    if attempt.outcome == "done":
        is_repeat = attempt.ended_at != step.find_done_at(attempt.index)
        is_member = step.number in job.gang_steps
        return ("done twice", attempt.ended_at) if is_repeat and not is_member else None
    later_starts = [
        other.started_at
        for other in step.attempts.values()
        if other.index == attempt.index
        and other.number > attempt.number
        and other.started_at is not None
    ]
    return ("no end seen", min(later_starts)) if later_starts else None


def sum_by_name(rows: list[tuple[str, float]]) -> dict[str, float]:
    """Return the sum of the values of each name."""
    sums: dict[str, float] = {}
    for name, value in rows:
        sums[name] = sums.get(name, 0.0) + value
    return sums


def summarize_steps(histories: Histories) -> list[StepAccount]:
    """Return the accounts of the steps by queue and step number."""
    accounts: dict[tuple[str, int], StepAccount] = {}
    for job in histories.jobs.values():
        for step in job.steps.values():
            key = (job.queue or "?", step.number)
            if key not in accounts:
                accounts[key] = StepAccount(*key, 0, 0, 0, 0, 0, 0, {}, {}, 0, 0)
            add_step(accounts[key], job, step, histories.changes)
    return [accounts[key] for key in sorted(accounts)]


def add_step(
    account: StepAccount,
    job: JobHistory,
    step: StepHistory,
    changes: list[OwnerChange],
) -> None:
    """Add one step to the account of its queue and number."""
    has_width = step.number < len(job.widths)
    tasks = {index for index, _ in step.attempts}
    account.seen += 1
    account.tasks += job.widths[step.number] if has_width else len(tasks)
    account.attempts += len(step.attempts)
    account.advice_calls += len(step.policy_calls)
    account.executors_asked += sum(call.queried_count for call in step.policy_calls)
    account.executors_allowed += sum(call.allowed_count for call in step.policy_calls)
    account.refused_starts = Counter(account.refused_starts) + step.refused_starts
    ends = Counter(attempt.outcome or "no end" for attempt in step.attempts.values())
    account.ends = Counter(account.ends) + ends
    account.stood_still += step.stall_count
    account.owner_changes += count_changes(step, changes)


def count_changes(step: StepHistory, changes: list[OwnerChange]) -> int:
    """Return how many owner changes fell between the first and last line of a step."""
    times = [call.began_at for call in step.policy_calls]
    times += [call.ended_at for call in step.policy_calls]
    for attempt in step.attempts.values():
        times += [
            time for time in (attempt.started_at, attempt.ended_at) if time is not None
        ]
    if not times:
        return 0
    begin_at, end_at = min(times), max(times)
    return sum(
        change.lost_at <= end_at
        and begin_at <= first_not_none(change.read_at, float("inf"))
        for change in changes
    )


def summarize_owner_change(
    change: OwnerChange, histories: Histories, begin_at: float
) -> OwnerChangeAccount:
    """Return the account of one owner change."""
    open_jobs = sum(
        job.first_seen_at <= change.lost_at
        and (job.ended_at is None or job.ended_at > change.lost_at)
        for job in histories.jobs.values()
    )
    if change.read_at is None:
        return OwnerChangeAccount(
            change.lost_at - begin_at, change.node, None, None, open_jobs
        )
    return OwnerChangeAccount(
        change.lost_at - begin_at,
        change.node,
        change.read_at - change.lost_at,
        change.reconciled_at - change.lost_at,
        open_jobs,
    )
