"""When the jobs of waiting steps should be completed."""

from gypsumring.pipelines.model import Queue, StepSpec
from gypsumring.pipelines.state import Job, Step

__all__ = ["job_target_s", "step_due"]


def critical_path_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the longest chain of estimated work of a pipeline, in seconds."""
    finish_s: list[float] = []
    for step in steps:
        start_s = max((finish_s[index] for index in step.after), default=0.0)
        finish_s.append(start_s + step.estimated_ms / 1000)
    return max(finish_s)


def job_target_s(job: Job, queue: Queue) -> float:
    """Return the time from acceptance in which the job should be completed."""
    return queue.stretch * critical_path_s(job.spec.steps) + queue.latency_target_s


def step_due(step: Step, queue: Queue) -> float:
    """Return the time by which the job of a step should be completed."""
    job = step.job
    began_at = job.accepted_at if step.opened_at is None else step.opened_at
    return began_at + job_target_s(job, queue)
