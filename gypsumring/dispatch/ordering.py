"""When the jobs of waiting steps should be completed."""

from gypsumring.pipelines.model import Queue, StepSpec
from gypsumring.pipelines.state import Job, Step

__all__ = ["job_target_s", "step_due"]


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
