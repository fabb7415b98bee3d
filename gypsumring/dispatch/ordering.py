"""Target completion times of the jobs of waiting steps."""

from gypsumring.pipelines.model import Queue, StepSpec
from gypsumring.pipelines.state import Job, Step

__all__ = ["job_target_s", "step_due_at"]


def critical_path_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the length of the critical path of a pipeline by estimate, in seconds."""
    finish_s: list[float] = []
    for step in steps:
        start_s = max((finish_s[index] for index in step.after), default=0.0)
        finish_s.append(start_s + step.estimated_ms / 1000)
    return max(finish_s)


def job_target_s(job: Job, queue: Queue) -> float:
    """Return the target time from acceptance to completion of a job, in seconds."""
    return queue.stretch * critical_path_s(job.spec.steps) + queue.latency_target_s


def step_due_at(step: Step, queue: Queue) -> float:
    """Return the target completion time of the job of a step."""
    job = step.job
    began_at = job.accepted_at if step.opened_at is None else step.opened_at
    return began_at + job_target_s(job, queue)
