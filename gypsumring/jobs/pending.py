"""Queue of jobs that have tasks to start."""

from collections.abc import Iterator

from sortedcontainers import SortedList

from gypsumring.jobs.model import Job
from gypsumring.messages.work import Priority

__all__ = ["PendingQueue"]


class PendingQueue:
    """Order jobs by priority class, team and latest start.

    The order of teams depends on their usage and is chosen by the caller.
    """

    __slots__ = ("jobs", "queues")

    def __init__(self):
        self.queues: dict[Priority, dict[str, SortedList]] = {
            priority: {} for priority in Priority
        }
        self.jobs: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self.jobs)

    def add(self, job: Job, latest_start: float) -> None:
        """Add a job unless it is queued."""
        if job.queue_entry is not None:
            return
        job.queue_entry = (latest_start, job.sequence, job.key)
        self.jobs[job.key] = job
        teams = self.queues[job.spec.priority]
        teams.setdefault(job.spec.team, SortedList()).add(job.queue_entry)

    def discard(self, job: Job) -> None:
        """Remove a job if it is queued."""
        if job.queue_entry is None:
            return
        teams = self.queues[job.spec.priority]
        entries = teams[job.spec.team]
        entries.remove(job.queue_entry)
        if not entries:
            del teams[job.spec.team]
        del self.jobs[job.key]
        job.queue_entry = None

    def teams(self, priority: Priority) -> list[str]:
        """Return the teams that have queued jobs of a class, by name."""
        return sorted(self.queues[priority])

    def list_jobs(self, priority: Priority, team: str, limit: int) -> Iterator[Job]:
        """Return the first jobs of a team, the earliest latest start first."""
        entries = self.queues[priority].get(team, ())
        for entry in list(entries[:limit]) if entries else ():
            job = self.jobs.get(entry[2])
            if job is not None and job.queue_entry == entry:
                yield job
