"""Explain jobs and the state of a ledger's owner."""

from typing import TYPE_CHECKING

import anyio

from gypsumring.jobs.model import Job
from gypsumring.messages.peer import Explanation

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["explain"]


def explain(manager: "JobManager", subject: str, name: str) -> Explanation:
    """Explain a job (``team:job_id`` or ``job_id``) or the shard."""
    lines: list[tuple[str, str]] = []
    if subject == "job":
        for key in sorted(manager.jobs):
            if name in (key, manager.jobs[key].spec.job_id):
                lines += explain_job(manager, manager.jobs[key])
    elif subject == "shard":
        lines.append(
            ("owner", f"{manager.context.node}, epoch {manager.context.epoch}")
        )
        lines.append(("jobs", str(len(manager.jobs))))
        lines.append(("pending jobs", str(len(manager.pending))))
        lines.append(("unrecovered jobs", str(len(manager.unrecovered))))
        missing = [
            shard
            for shard in manager.recovery.needed_racks()
            if shard not in manager.synced_epochs
        ]
        lines.append(("racks not heard", ", ".join(missing) or "none"))
    return Explanation(tuple(lines))


def explain_job(manager: "JobManager", job: Job) -> list[tuple[str, str]]:
    """Return the state of a job, why it waits and where it has run."""
    status = job.status()
    now = anyio.current_time()
    lines = [
        ("job", job.key),
        ("owner", f"{manager.context.node}, epoch {manager.context.epoch}"),
        ("document", f"{job.spec.service} version {job.spec.document_version}"),
        ("state", f"{status.state} {status.reason}".rstrip()),
        (
            "tasks",
            f"{status.pending} pending, {status.running} running, "
            f"{status.succeeded} succeeded, {status.failed} failed, "
            f"{status.uncertain} uncertain",
        ),
    ]
    if job.key in manager.unrecovered:
        lines.append(("waits for", "racks to tell which of its tasks they run"))
    elif job.waiting:
        lines.append(("waits for", job.wait_reason or "its turn"))
    if job.delayed:
        first = job.delayed[0][0] - now
        lines.append(("retries", f"{len(job.delayed)} tasks, first in {first:.1f} s"))
    lines += [(f"{now - at:.1f} s ago", text) for at, text in job.history]
    return lines
