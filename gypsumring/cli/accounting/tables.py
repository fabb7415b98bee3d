"""Render an account as text tables."""

from collections.abc import Iterable

from gypsumring.cli.accounting.breakdown import ResultKind
from gypsumring.cli.accounting.summary import TOTAL, Account, QueueAccount, StepAccount

__all__ = ["render_account"]

# Parts with a smaller mean are omitted.
MIN_SHOWN_MEAN_S = 0.005

Cell = str | int | float | None


def render_account(account: Account) -> str:
    """Return the tables of an account as text."""
    tables = [
        render_source(account),
        render_jobs(account.queues),
        render_refusals(account.queues),
        render_causes(account.queues),
        render_parts(account.queues),
        render_wasted_attempts(account.queues),
        render_steps(account.steps),
        render_owner_changes(account),
    ]
    return "\n\n".join(table for table in tables if table)


def render_source(account: Account) -> str:
    """Return the numbers of lines read, malformed and dropped."""
    text = (
        f"{account.lines} lines of {account.nodes} nodes over {account.span_s:.1f} s, "
        f"{account.malformed} malformed"
    )
    if account.dropped:
        text += "\nlines dropped by the nodes: " + render_counts(account.dropped)
    return text


def render_jobs(queues: list[QueueAccount]) -> str:
    """Return the table of job results by queue."""
    header = ["queue", "tasks", "seen", "accepted", *map(str, ResultKind)]
    header += ["core-s", "core-s in time %", "target used p50", "p90"]
    rows: list[list[Cell]] = []
    for queue in queues:
        share = 100 * queue.core_seconds_in_time / (queue.core_seconds or 1.0)
        rows.append(
            [
                queue.queue,
                "+".join(map(str, queue.widths)),
                queue.seen,
                queue.accepted,
                *(queue.results.get(str(kind), 0) for kind in ResultKind),
                round(queue.core_seconds),
                share,
                queue.target_used_p50,
                queue.target_used_p90,
            ]
        )
    return render_table("Jobs", header, rows)


def render_refusals(queues: list[QueueAccount]) -> str:
    """Return the table of refused and uncertain submissions by reason."""
    rows: list[list[Cell]] = []
    for queue in queues:
        for reason, tries in sorted(queue.refused_tries.items()):
            rows.append([queue.queue, reason, queue.refused_jobs.get(reason, 0), tries])
        if queue.uncertain_tries:
            uncertain = queue.results.get(str(ResultKind.UNCERTAIN), 0)
            rows.append([queue.queue, "uncertain", uncertain, queue.uncertain_tries])
    return render_table(
        "Refused and uncertain submissions",
        ["queue", "reason", "jobs never accepted", "submissions"],
        rows,
    )


def render_causes(queues: list[QueueAccount]) -> str:
    """Return the table of late, failed and unended jobs by cause."""
    rows: list[list[Cell]] = []
    for queue in queues:
        for cause in queue.causes:
            if cause.jobs:
                mean_s = cause.seconds / cause.jobs
                rows.append(
                    [
                        queue.queue,
                        cause.cause,
                        cause.jobs,
                        round(cause.core_seconds),
                        mean_s,
                        " ".join(cause.examples),
                    ]
                )
    return render_table(
        "Late, failed and unended jobs by the cause that took most of their time",
        ["queue", "cause", "jobs", "core-s", "mean s", "examples"],
        rows,
    )


def render_parts(queues: list[QueueAccount]) -> str:
    """Return the table of the time of accepted jobs by part."""
    rows: list[list[Cell]] = []
    for queue in queues:
        for part in queue.parts:
            if max(part.accepted.mean_s, part.charged.mean_s) >= MIN_SHOWN_MEAN_S:
                rows.append([queue.queue, part.part])
                for times in (part.accepted, part.charged):
                    rows[-1] += [times.mean_s, times.p50_s, times.p90_s]
    header = ["queue", "part", "all: mean", "p50", "p90", "late: mean", "p50", "p90"]
    title = (
        "Seconds on the critical path of accepted jobs; late: those in the table above"
    )
    return render_table(title, header, rows)


def render_wasted_attempts(queues: list[QueueAccount]) -> str:
    """Return the table of wasted attempts by outcome."""
    rows: list[list[Cell]] = [
        [
            queue.queue,
            outcome,
            count,
            round(queue.thrown_core_seconds.get(outcome, 0.0), 1),
        ]
        for queue in queues
        for outcome, count in sorted(queue.thrown_away.items())
    ]
    return render_table(
        "Attempts thrown away", ["queue", "end", "attempts", "core-s"], rows
    )


def render_steps(steps: list[StepAccount]) -> str:
    """Return the table of steps by queue."""
    rows: list[list[Cell]] = []
    for step in steps:
        ends = {
            outcome: count for outcome, count in step.ends.items() if outcome != "done"
        }
        rows.append(
            [
                f"{step.queue} {step.step}",
                step.seen,
                step.tasks / step.seen,
                step.attempts / max(1, step.tasks),
                step.advice_calls / step.seen,
                step.executors_asked / step.seen,
                100 * step.executors_allowed / max(1, step.executors_asked),
                step.stood_still,
                step.owner_changes / step.seen,
                render_counts(step.refused_starts),
                render_counts(ends),
            ]
        )
    header = ["queue, step", "seen", "tasks", "attempts a task", "calls", "asked"]
    header += ["allowed %", "stood still", "owner changes", "starts refused"]
    header += ["other ends"]
    return render_table("Steps", header, rows)


def render_owner_changes(account: Account) -> str:
    """Return the table of owner changes."""
    rows: list[list[Cell]] = [
        [
            change.at_s,
            change.node or "-",
            change.without_owner_s,
            change.settled_after_s,
            change.open_jobs,
        ]
        for change in account.owner_changes
    ]
    header = ["from s", "new owner", "until read s", "until settled s", "open jobs"]
    return render_table("Owner changes", header, rows)


def render_counts(counts: dict[str, int]) -> str:
    """Return counts with their names, the largest first."""
    ordered = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return ", ".join(f"{name} {count}" for name, count in ordered)


def render_table(title: str, header: list[str], rows: Iterable[list[Cell]]) -> str:
    """Return a table with a title, or an empty string if there are no rows.

    A blank line precedes the rows of the total. Columns of numbers are aligned to the
    right, all others to the left.
    """
    rows = list(rows)
    if not rows:
        return ""
    texts = [[render_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(header, *texts)]
    numeric = [
        all(not isinstance(cell, str) for cell in column) for column in zip(*rows)
    ]
    lines = [title, align(header, widths, numeric)]
    lines.append("  ".join("-" * width for width in widths))
    for number, text in enumerate(texts):
        if text[0] == TOTAL and number and texts[number - 1][0] != TOTAL:
            lines.append("")
        lines.append(align(text, widths, numeric))
    return "\n".join(line.rstrip() for line in lines)


def render_cell(cell: Cell) -> str:
    """Return the text of one cell."""
    match cell:
        case None:
            return "-"
        case float():
            return f"{cell:.2f}"
    return str(cell)


def align(texts: list[str], widths: list[int], numeric: list[bool]) -> str:
    """Return one table line, padded to the column widths."""
    return "  ".join(
        text.rjust(width) if right else text.ljust(width)
        for text, width, right in zip(texts, widths, numeric)
    )
