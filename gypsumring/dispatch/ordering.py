"""Order in which ready steps are offered free room."""

from collections.abc import Callable

from gypsumring.pipelines.model import Queue, StepSpec
from gypsumring.pipelines.state import Job, Step

__all__ = ["job_target_s", "order_steps"]


def longest_chain_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the longest chain of estimated work of a pipeline, in seconds."""
    finish: list[float] = []
    for step in steps:
        begin = max((finish[number] for number in step.after), default=0.0)
        finish.append(begin + step.estimated_ms / 1000)
    return max(finish)


def job_target_s(job: Job, queue: Queue) -> float:
    """Return the time from acceptance in which the job should be completed."""
    return queue.stretch * longest_chain_s(job.spec.steps) + queue.latency_target_s


def order_steps(
    jobs: list[Job], find_queue: Callable[[Job], Queue], now: float
) -> list[tuple[Step, Queue]]:
    """Return the ready steps, the one to serve first in front.

    Within a priority the step whose job is due first goes first; jobs that have missed
    their target come after those that can still meet it.
    """
    rows = []
    for job in jobs:
        ready = job.ready_steps()
        if not ready:
            continue
        queue = find_queue(job)
        target_s = job_target_s(job, queue)
        for step in ready:
            since = job.accepted_at if step.opened_at is None else step.opened_at
            due = since + target_s
            rows.append((queue.priority, due < now, due, step.name, step, queue))
    rows.sort(key=lambda row: row[:4])
    return [(row[4], row[5]) for row in rows]
