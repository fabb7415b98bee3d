"""Executors and steps for tests of scheduling decisions."""

import msgspec

from gypsumring.fleet import ExecutorEntry, ExecutorState
from gypsumring.pipelines import Job, PipelineSpec, Step, StepSpec

__all__ = ["change_capacity", "make_executor", "make_fleet", "make_step"]


def make_executor(
    name: str, cpu_millis: int = 8_000, rack: str = "r1", now: float = 0.0
) -> ExecutorState:
    """Return an executor that has just responded."""
    entry = ExecutorEntry(
        executor_id=name,
        address="",
        service="svc",
        cpu_millis=cpu_millis,
        memory_mb=65_536,
        labels=("a", rack),
    )
    executor = ExecutorState(entry, now)
    executor.record_clock(1000, now)
    return executor


def change_capacity(executor: ExecutorState, **fields: int) -> None:
    """Replace the capacity of an executor, as a new entry of it does."""
    executor.entry = msgspec.structs.replace(executor.entry, **fields)


def make_fleet(count: int, **options) -> list[ExecutorState]:
    """Return executors that alternate between two racks."""
    return [
        make_executor(f"i-{number}", rack=f"r{number % 2}", **options)
        for number in range(count)
    ]


def make_step(
    job_id: str = "a" * 16,
    accepted_at: float = 0.0,
    account: str = "",
    beyond_rate: bool = False,
    **fields,
) -> Step:
    """Return the only step of a job."""
    fields = {"task_count": 4, "cpu_millis": 1000, "estimated_ms": 1000, **fields}
    spec = PipelineSpec(
        job_id=job_id,
        queue="q",
        service="svc",
        accepted_ms=0,
        payload="",
        steps=(StepSpec(**fields),),
        account=account,
        beyond_rate=beyond_rate,
    )
    return Job(spec, accepted_at).steps[0]
