"""Jobs whose records or steps are too many for an owner that takes them all at once."""

import anyio

from gypsumring.cell.journal import MAX_RECORD_BYTES, Journal
from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, PipelineSpec, StepSpec, decode_progress
from gypsumring.pipelines.records import encode_progress
from gypsumring.pipelines.state import MAX_OPEN_STEPS, Job
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.memory import MAX_RECORD_BYTES as STORE_RECORD_BYTES
from stand_ins.platform.world import steady_behaviour

STEP = StepSpec(task_count=1, cpu_millis=500, estimated_ms=1000)
# Once a minute for two weeks.
REPEATS = 20_160
CHECKPOINT = "00000bb87a21d9"


def make_schedule(repeats: int = REPEATS) -> PipelineSpec:
    """Return a job of which all occurrences have been due since 1970."""
    return PipelineSpec(
        job_id="a" * 16,
        queue="batch",
        service="svc",
        accepted_ms=0,
        payload="",
        steps=(STEP,),
        interval_ms=1,
        repeats=repeats,
    )


def make_large_job(step_count: int = 64) -> Job:
    """Return a job of steps of 1,000 tasks, all with a checkpoint and a failure."""
    steps = [StepSpec(task_count=1000, cpu_millis=500)] * step_count
    job = Job(make_job("b" * 16, *steps), 0.0)
    for step in job.steps:
        step.mark_done(7)
        for index in range(1000):
            step.failures[index] = {100_000 + step.number * 1000 + index}
            step.checkpoints[index] = f"{step.number:02x}{index * 7919:06x}{CHECKPOINT}"
    return job


async def submit_late_schedule(cluster: MemoryCluster) -> None:
    """Hand in a job with many due occurrences, after which the cell is busy."""
    assert await cluster.submit(make_schedule()) is Outcome.OK
    await anyio.sleep(3.0)


# The progress of all due occurrences was one record that the store refuses: its append
# was repeated for ever in front of all others, by each next owner as well.
async def test_other_jobs_run_beside_one_with_many_due_occurrences():
    async with running_cluster(steady_behaviour(0.5), executors=4) as cluster:
        await submit_late_schedule(cluster)
        assert await cluster.submit(make_job("c" * 16, STEP)) is Outcome.OK
        cluster.owner_node().kill()
        assert await cluster.wait_final("c" * 16) is JobPhase.COMPLETED
        assert sum(cluster.world.starts.values()) > 100


def test_due_occurrences_open_in_portions_that_fit_one_record():
    job = Job(make_schedule(), 0.0)
    assert job.open_due_occurrences(1_000_000, 0.0)
    assert len(job.steps) == MAX_OPEN_STEPS
    assert len(encode_progress(job.progress())) < STORE_RECORD_BYTES
    for step in job.steps[:10]:
        step.mark_done(0)
    job.close_done()
    assert job.open_due_occurrences(1_000_000, 0.0)
    assert len(job.steps) == MAX_OPEN_STEPS and job.opened == MAX_OPEN_STEPS + 10


# Each owner made the steps of all earlier occurrences again.
def test_restored_schedule_has_only_the_steps_of_open_occurrences():
    job = Job(make_schedule(), 0.0)
    for _ in range(REPEATS // MAX_OPEN_STEPS):
        job.open_due_occurrences(1_000_000, 0.0)
        for step in job.steps[: MAX_OPEN_STEPS - 1]:
            step.mark_done(0)
        job.close_done()
    restored = Job(make_schedule(), 0.0)
    restored.restore(decode_progress(encode_progress(job.progress())))
    assert restored.opened == job.opened > 19_000
    assert [step.occurrence for step in restored.steps] == [
        step.occurrence for step in job.steps
    ]


def test_progress_of_the_largest_job_fits_one_record():
    job = make_large_job()
    value = encode_progress(job.progress())
    assert len(value) < STORE_RECORD_BYTES
    progress = decode_progress(value)
    assert [step.failures for step in progress.steps] == [
        step.failures for step in job.steps
    ]
    assert all(step.done[7] and not step.done[8] for step in progress.steps)


def test_compressed_progress_keeps_checkpoints_that_fit():
    job = make_large_job(step_count=5)
    value = encode_progress(job.progress())
    assert len(value) < STORE_RECORD_BYTES
    assert [step.checkpoints for step in decode_progress(value).steps] == [
        step.checkpoints for step in job.steps
    ]


class RecordingStore:
    """Store that records the keys that are appended."""

    __slots__ = ("keys",)

    def __init__(self):
        self.keys: list[str] = []

    async def append(self, topic, partition, records, producer, deadline):
        """Return an offset."""
        self.keys.extend(key for key, _ in records)
        return 1


async def test_record_that_the_store_would_refuse_holds_up_no_other():
    store = RecordingStore()
    journal = Journal(store, "cells", 0, "cell-0", 1)
    durable = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        journal.put("p/1", bytes(MAX_RECORD_BYTES))
        journal.put("p/2", b"x", durable.set)
        with anyio.fail_after(1.0):
            await durable.wait()
        group.cancel_scope.cancel()
    assert store.keys == ["p/2"]


load_tests = make_load_tests(globals())
