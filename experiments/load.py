"""Load model: three kinds of jobs with different demands on the same executors."""

import random

import msgspec

from gypsumring.pipelines import PolicyTiming, Queue, StepSpec

__all__ = ["KINDS", "Kind", "draw_steps", "draw_work_s", "make_queues"]

# Maximum relative deviation of a task's duration from its estimate.
MAX_ESTIMATE_ERROR = 0.5
# Standard deviation of the logarithm of the task count.
SIZE_SIGMA = 0.6
# Task counts are capped at this multiple of their mean.
MAX_SIZE_FACTOR = 4.0


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of job; ``tasks`` is a mean, ``rate`` is in jobs per second."""

    name: str
    priority: int
    rate: float
    tasks: float
    cpu_millis: int
    work_s: float
    steps: int
    gang_share: float
    stretch: float
    latency_target_s: float
    # Value of one job that completes within its target.
    worth: float
    policy: PolicyTiming


# Few large batch jobs, two-step runs of small tasks, and many short checks.
KINDS = (
    Kind(
        name="batch",
        priority=1,
        rate=0.25,
        tasks=7,
        cpu_millis=9_000,
        work_s=5.0,
        steps=1,
        gang_share=0.6,
        stretch=2.2,
        latency_target_s=1.0,
        worth=15.0,
        policy=PolicyTiming(0.5, 0.008, 2.0),
    ),
    Kind(
        name="runs",
        priority=2,
        rate=0.75,
        tasks=10,
        cpu_millis=2_000,
        work_s=3.4,
        steps=2,
        gang_share=0.0,
        stretch=4.0,
        latency_target_s=3.0,
        worth=3.0,
        policy=PolicyTiming(0.08, 0.001, 2.0),
    ),
    Kind(
        name="checks",
        priority=0,
        rate=8.0,
        tasks=2,
        cpu_millis=2_800,
        work_s=0.64,
        steps=1,
        gang_share=0.2,
        stretch=1.5,
        latency_target_s=0.25,
        worth=0.4,
        policy=PolicyTiming(0.008, 0.0001, 2.0),
    ),
)


def make_queues(max_attempts: int) -> tuple[Queue, ...]:
    """Return one queue for each kind of job."""
    return tuple(
        Queue(
            name=kind.name,
            host="h",
            path_prefix=f"/{kind.name}/",
            service="svc",
            priority=kind.priority,
            max_attempts=max_attempts,
            stretch=kind.stretch,
            latency_target_s=kind.latency_target_s,
            policy=kind.policy,
        )
        for kind in KINDS
    )


def draw_size(mean: float, random_source: random.Random) -> float:
    """Draw a size from a log-normal distribution with the given mean, capped."""
    size = mean * random_source.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
    return min(size, mean * MAX_SIZE_FACTOR)


def draw_steps(kind: Kind, random_source: random.Random) -> list[StepSpec]:
    """Draw the steps of a new job."""
    gang = random_source.random() < kind.gang_share
    return [
        StepSpec(
            task_count=max(1, round(draw_size(kind.tasks, random_source))),
            cpu_millis=kind.cpu_millis,
            memory_mb=256,
            estimated_ms=round(kind.work_s * 1000),
            after=(number - 1,) if number else (),
            gang=gang,
        )
        for number in range(kind.steps)
    ]


def draw_work_s(kind: Kind, random_source: random.Random) -> float:
    """Draw the actual duration of a task, in seconds."""
    duration_factor = random_source.uniform(
        1 - MAX_ESTIMATE_ERROR, 1 + MAX_ESTIMATE_ERROR
    )
    return kind.work_s * duration_factor
