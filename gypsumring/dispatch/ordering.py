"""Order in which ready steps are offered free room."""

from collections.abc import Callable, Iterable

from gypsumring.pipelines.model import Queue, StepSpec
from gypsumring.pipelines.state import Job, Step

__all__ = ["job_target_s", "order_steps", "step_due"]


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


def step_due(step: Step, queue: Queue) -> float:
    """Return the time by which the job of a step should be completed."""
    job = step.job
    since = job.accepted_at if step.opened_at is None else step.opened_at
    return since + job_target_s(job, queue)


def order_steps(
    steps: Iterable[Step], find_queue: Callable[[Job], Queue], now: float
) -> list[tuple[Step, Queue]]:
    """Return steps with their queues, the one to serve first in front.

    Within a priority the step whose job is due first goes first; jobs that have missed
    their target come after those that can still meet it.
    """
    rows = []
    for step in steps:
        queue = find_queue(step.job)
        due = step_due(step, queue)
        rows.append((queue.priority, due < now, due, step.name, step, queue))
    rows.sort(key=lambda row: row[:4])
    return [(row[4], row[5]) for row in rows]
