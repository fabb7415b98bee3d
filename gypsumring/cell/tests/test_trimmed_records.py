"""Records of ended jobs, which lose what only active jobs need."""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.owner import EVICTION_PERIOD_S
from gypsumring.cell.state import JOB_KEY, PROGRESS_KEY
from gypsumring.cell.tests import test_recovery as recovery
from gypsumring.cell.trimming import (
    MAX_TRIMMED_RECORDS,
    TRIM_PERIOD_S,
    RecordTrimmer,
)
from gypsumring.pipelines import (
    Job,
    JobPhase,
    JobTable,
    PipelineSpec,
    StepSpec,
    decode_progress,
    decode_spec,
    encode,
    encode_progress,
)
from gypsumring.pipelines.crashes import Suspect
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.world import steady_behaviour

PAYLOAD = "x" * 2_400
TASKS = StepSpec(task_count=4, cpu_millis=500, estimated_ms=300)
# The time by which the record of an ended job has been written again.
TRIMMED_AFTER_S = 2 * TRIM_PERIOD_S


def make_payload_job(number: int, *steps: StepSpec) -> PipelineSpec:
    """Return a job with a payload."""
    return msgspec.structs.replace(
        make_job(f"{number:016x}", *(steps or (TASKS,))), payload=PAYLOAD
    )


def read_newest(cluster: MemoryCluster) -> dict[str, bytes]:
    """Return the newest record of each key of the cell."""
    records, _ = cluster.store.newest(CELL_TOPIC, 0)
    return {record.key: record.value for record in records}


async def kill_owner(cluster: MemoryCluster) -> None:
    """Kill the owner and wait for the next one."""
    killed = cluster.owner_node()
    killed.kill()
    while cluster.owner_node() in (None, killed):
        await anyio.sleep(0.1)


def running_cluster(task_s: float = 0.3, **options):
    """Return a cluster whose tasks take a time, in seconds."""
    return recovery.running_cluster(steady_behaviour(task_s), **options)


async def test_ended_job_loses_its_payload_and_is_answered_for_by_later_owners():
    # A takeover read the payloads of all jobs of the day.
    async with running_cluster(nodes=3) as cluster:
        job = make_payload_job(1)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED
        await anyio.sleep(TRIMMED_AFTER_S)
        newest = read_newest(cluster)
        stored = decode_spec(newest[JOB_KEY + job.job_id])
        assert stored == job.trim() and stored.steps == job.steps
        assert len(newest[JOB_KEY + job.job_id]) < 300
        assert len(newest[PROGRESS_KEY + job.job_id]) < 60
        await kill_owner(cluster)
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(3)
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_record_without_payload_is_never_durable_before_the_end_of_the_job():
    # A later owner would start tasks with an empty payload.
    async with running_cluster(nodes=3) as cluster:
        for number in range(40):
            assert await cluster.submit(make_payload_job(number)) is Outcome.OK
            if number % 10 == 9:
                await kill_owner(cluster)
                cluster.add_node(f"later-{number}")
        for number in range(40):
            await cluster.wait_final(f"{number:016x}")
        await anyio.sleep(TRIMMED_AFTER_S)
        ended, trimmed = set(), set()
        for record in cluster.store.partition(CELL_TOPIC, 0).records:
            job_id = record.key[len(JOB_KEY) :]
            if record.key.startswith(PROGRESS_KEY):
                if decode_progress(record.value).phase.is_final:
                    ended.add(job_id)
                else:
                    assert job_id not in ended
            elif record.key.startswith(JOB_KEY):
                spec = decode_spec(record.value)
                assert spec.payload == PAYLOAD or job_id in ended, job_id
                if spec.trimmed:
                    trimmed.add(job_id)
        assert len(trimmed) == 40


async def test_evicted_job_does_not_come_back_by_a_late_trimming():
    async with running_cluster(nodes=1) as cluster:
        job = make_payload_job(1)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED
        state = cluster.owner_node().owner().state
        # The record is due to be trimmed while its deletion is under way.
        state.untrimmed.append(state.table.jobs.pop(job.job_id))
        state.journal.put(JOB_KEY + job.job_id, b"")
        state.journal.put(PROGRESS_KEY + job.job_id, b"")
        RecordTrimmer(state).trim()
        await anyio.sleep(TRIMMED_AFTER_S)
        assert JOB_KEY + job.job_id not in read_newest(cluster)


async def test_progress_of_an_evicted_job_is_not_deleted_before_its_record():
    # The deletion took the place of a queued record, ahead of that of the job. Builds
    # that don't know trimmed records would start the job without its payload.
    async with running_cluster(nodes=1) as cluster:
        job = make_payload_job(1)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED
        await anyio.sleep(TRIMMED_AFTER_S)
        (node,) = cluster.nodes.values()
        state = node.owner().state
        ended_job = state.table.jobs[job.job_id]
        node.faults.store_away = True
        state.journal.put("first", b"record in flight")
        await anyio.sleep(0.01)
        state.write_progress(ended_job)
        ended_job.ended_at = float("-inf")
        await anyio.sleep(EVICTION_PERIOD_S + 1.0)
        node.faults.store_away = False
        await anyio.sleep(EVICTION_PERIOD_S + 1.0)
        deleted = [
            record.key
            for record in cluster.store.partition(CELL_TOPIC, 0).records
            if not record.value
        ]
        assert deleted == [JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id]


async def test_withdrawn_resubmission_of_an_evicted_job_leaves_its_deletion():
    # The submission took the place of the queued deletion, and the withdrawal removed
    # both: the record of the ended job stayed without its progress. Builds that don't
    # know trimmed records would start the job, which callers were told never runs.
    async with running_cluster(nodes=1) as cluster:
        job = make_payload_job(1)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED
        await anyio.sleep(TRIMMED_AFTER_S)
        (node,) = cluster.nodes.values()
        state = node.owner().state
        node.faults.store_away = True
        state.journal.put("first", b"record in flight")
        state.table.jobs[job.job_id].ended_at = float("-inf")
        await anyio.sleep(EVICTION_PERIOD_S + 1.0)
        assert job.job_id not in state.table.jobs
        assert await cluster.submit(job) is Outcome.REFUSED
        node.faults.store_away = False
        await anyio.sleep(3.0)
        deleted = [
            record.key
            for record in cluster.store.partition(CELL_TOPIC, 0).records
            if not record.value
        ]
        assert deleted == [JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id], deleted
        assert not any(key.endswith(job.job_id) for key in read_newest(cluster))
        assert set(cluster.world.starts.values()) == {1}


async def test_records_of_an_earlier_build_are_trimmed_in_small_batches():
    # Thousands of records at once would delay the submissions behind them.
    async with running_cluster(nodes=2) as cluster:
        records = []
        for number in range(2 * MAX_TRIMMED_RECORDS + 1):
            job = Job(make_payload_job(number), 0.0)
            job.phase, job.final_since_ms = JobPhase.CANCELLED, 1
            records.append((JOB_KEY + job.spec.job_id, encode(job.spec)))
            records.append((PROGRESS_KEY + job.spec.job_id, encode(job.progress())))
        cluster.store.append(CELL_TOPIC, 0, records, None)
        await kill_owner(cluster)
        journal = cluster.owner_node().owner().state.journal
        longest = 0
        with anyio.move_on_after(3 * TRIM_PERIOD_S + 1.0):
            while True:
                longest = max(longest, len(journal.queue), len(journal.in_flight))
                await anyio.sleep(0.001)
        assert MAX_TRIMMED_RECORDS <= longest < 1.2 * MAX_TRIMMED_RECORDS, longest
        for key, value in read_newest(cluster).items():
            assert not key.startswith(JOB_KEY) or decode_spec(value).trimmed


async def test_trimmed_record_without_a_final_progress_is_never_started():
    # The deletion of the progress may be durable when that of the job is not.
    async with running_cluster(nodes=2) as cluster:
        job = make_payload_job(1)
        cluster.store.append(
            CELL_TOPIC, 0, [(JOB_KEY + job.job_id, encode(job.trim()))], None
        )
        await kill_owner(cluster)
        await anyio.sleep(TRIMMED_AFTER_S)
        assert not cluster.world.starts
        assert JOB_KEY + job.job_id not in read_newest(cluster)
        # The id may be used again, as after any other eviction.
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final(job.job_id) is JobPhase.COMPLETED


def make_cancelled_job() -> Job:
    """Return a cancelled job with a done task, a suspect, checkpoints and failures."""
    table = JobTable()
    job = table.add(make_payload_job(1), 0.0)
    (step,) = job.steps
    step.mark_done(0)
    step.suspects[1] = Suspect()
    step.checkpoints = {index: "c" * 100 for index in (1, 2)}
    step.failures = {2: {1, 2}}
    table.cancel(job)
    job.final_since_ms = 1
    return job


def test_final_progress_has_only_what_attempts_that_may_run_need():
    progress = decode_progress(encode_progress(make_cancelled_job().progress()))
    (step,) = progress.steps
    assert step.done == b"\1\0\0\0" and list(step.suspects) == [1]
    assert not step.checkpoints and not step.failures


def test_attempts_of_a_trimmed_job_are_adopted_and_count_for_its_account():
    # They may still run, and have to be stopped by the later owner.
    job = make_cancelled_job()
    table = JobTable(first_attempt=1_000)
    restored = table.add(decode_spec(encode(job.spec.trim())), 0.0, inherited=True)
    restored.restore(decode_progress(encode_progress(job.progress())))
    table.finish(restored)
    (step,) = restored.steps
    assert step.uncertain == {1, 2, 3}
    run = table.adopt(step.task_name(2), 7, "i-0", 0.0, True)
    assert run.step.spec == TASKS and restored.phase is JobPhase.CANCELLED
    table.release(run)
    assert not restored.ready_steps()


load_tests = make_load_tests(globals())
