"""Tests of job state after ends of attempts, progress records and schedules."""

from gypsumring.pipelines import (
    Job,
    JobPhase,
    JobTable,
    PipelineSpec,
    StepSpec,
    decode_progress,
    encode,
)
from gypsumring.pipelines.state import MAX_WATCHED_TASKS
from gypsumring.utils.testing import make_load_tests

TASK = StepSpec(task_count=2, cpu_millis=1000, estimated_ms=500)
GANG = StepSpec(task_count=3, cpu_millis=1000, gang=True, after=(0,))


def make_spec(*steps: StepSpec, **fields) -> PipelineSpec:
    """Return the specification of a job with these steps."""
    return PipelineSpec(
        **{
            "job_id": "a" * 16,
            "queue": "q",
            "service": "s",
            "accepted_ms": 0,
            "payload": "",
            "steps": steps,
            **fields,
        }
    )


def end_all(table: JobTable, step, outcome: str, attempt: int = 1, limit: int = 3):
    """Start all pending tasks of a step and end them with the same outcome."""
    for index in sorted(step.pending):
        run = table.place(step, index, attempt, "i-0", 0.0)
        table.end(run, outcome, "", limit)


def test_steps_become_ready_in_order_and_complete_the_job():
    table = JobTable()
    job = table.add(make_spec(TASK, GANG), 0.0)
    assert job.ready_steps() == [job.steps[0]]
    end_all(table, job.steps[0], "done")
    assert job.ready_steps() == [job.steps[1]]
    run = table.place(job.steps[1], 2, 1, "i-0", 0.0)
    table.end(run, "done", "", 3)
    assert job.steps[1].is_done and job.phase is JobPhase.COMPLETED


def test_failed_attempt_of_a_gang_counts_once():
    table = JobTable()
    job = table.add(make_spec(StepSpec(task_count=3, gang=True)), 0.0)
    step = job.steps[0]
    runs = [table.place(step, index, 1, "i-0", 0.0) for index in range(3)]
    for run in runs:
        table.end(run, "failed", "", 2)
    assert step.failures == {0: {1}} and job.phase is JobPhase.RUNNING
    run = table.place(step, 0, 2, "i-0", 0.0)
    table.end(run, "failed", "", 2)
    assert job.phase is JobPhase.FAILED


# The scheduler keeps the last attempt of a task off executors that fail all tasks.
def test_tasks_with_one_attempt_left_are_known():
    for gang, expected in ((False, {1}), (True, {0, 1})):
        table = JobTable()
        job = table.add(make_spec(StepSpec(task_count=2, gang=gang)), 0.0)
        step = job.steps[0]
        for attempt in (1, 2):
            assert not step.last_attempts
            run = table.place(step, 1, attempt, "i-0", 0.0)
            table.end(run, "failed", "", 3)
        assert step.last_attempts == expected
    lasting = table.add(
        make_spec(StepSpec(task_count=1, long_running=True), job_id="b" * 16), 0.0
    )
    for attempt in (1, 2):
        run = table.place(lasting.steps[0], 0, attempt, "i-0", 0.0)
        table.end(run, "failed", "", 3)
    assert not lasting.steps[0].last_attempts


def test_failed_attempts_of_a_gang_count_in_any_order():
    # A new owner may receive the second failed attempt before the first one.
    table = JobTable()
    job = table.add(make_spec(StepSpec(task_count=2, gang=True)), 0.0)
    step = job.steps[0]
    for attempt in (2, 1):
        table.end(table.place(step, 0, attempt, "i-0", 0.0), "failed", "", 2)
    assert job.phase is JobPhase.FAILED


def test_stopped_and_lapsed_attempts_are_not_failures():
    table = JobTable()
    job = table.add(make_spec(TASK), 0.0)
    for attempt, outcome in enumerate(("stopped", "lapsed", "broken", "alone"), 1):
        end_all(table, job.steps[0], outcome, attempt, limit=1)
    assert job.phase is JobPhase.RUNNING and not job.steps[0].failures


def test_end_of_a_cancelled_job_changes_nothing():
    table = JobTable()
    job = table.add(make_spec(TASK), 0.0)
    run = table.place(job.steps[0], 0, 1, "i-0", 0.0)
    assert table.cancel(job) == [run]
    table.end(run, "done", "", 3)
    assert job.phase is JobPhase.CANCELLED and not job.active_runs()


def test_long_running_tasks_start_again_however_they_end():
    table = JobTable()
    job = table.add(make_spec(StepSpec(task_count=1, long_running=True)), 0.0)
    for attempt, outcome in enumerate(("failed", "done", "failed", "stopped"), 1):
        end_all(table, job.steps[0], outcome, attempt, limit=1)
        assert job.phase is JobPhase.RUNNING
        assert job.ready_steps() == job.steps


def test_progress_survives_a_new_owner():
    table = JobTable()
    job = table.add(make_spec(TASK, GANG), 0.0)
    step = job.steps[0]
    table.end(table.place(step, 0, 1, "i-0", 0.0), "done", "", 3)
    table.end(table.place(step, 1, 1, "i-0", 0.0), "failed", "c1", 3)
    restored = Job(job.spec, 0.0)
    restored.restore(decode_progress(encode(job.progress())))
    assert restored.steps[0].pending == {1}
    assert restored.steps[0].failures == {1: {1}}
    # The executor reports the same end to the new owner; it still counts once.
    run = table.place(restored.steps[0], 1, 1, "i-0", 0.0)
    table.end(run, "failed", "", 2)
    assert restored.phase is not JobPhase.FAILED
    assert restored.steps[0].checkpoint_of(1) == "c1"
    assert not restored.steps[1].is_ready


def test_checkpoint_of_one_member_serves_the_whole_gang():
    job = Job(make_spec(StepSpec(task_count=3, gang=True, checkpointing=True)), 0.0)
    job.steps[0].save_checkpoint(2, "c7")
    assert [job.steps[0].checkpoint_of(index) for index in range(3)] == ["c7"] * 3


def test_scheduled_occurrences_open_when_they_are_due():
    now_ms = [0]
    table = JobTable(lambda: now_ms[0])
    spec = make_spec(TASK, start_at_ms=1000, interval_ms=500, repeats=3)
    job = table.add(spec, 0.0)
    table.open_due_occurrences(0.0)
    assert not job.steps and table.count_waiting("q") == 0
    now_ms[0] = 1600
    table.open_due_occurrences(1.6)
    assert [step.occurrence for step in job.steps] == [0, 1]
    assert abs(job.steps[1].opened_at - 1.5) < 1e-9
    for step in list(job.steps):
        end_all(table, step, "done")
    assert job.phase is JobPhase.RUNNING and not job.steps
    restored = Job(spec, 0.0)
    restored.restore(decode_progress(encode(job.progress())))
    assert restored.opened == 2 and not restored.steps
    now_ms[0] = 2000
    table.open_due_occurrences(2.0)
    end_all(table, job.steps[0], "done")
    assert job.phase is JobPhase.COMPLETED


# An owner whose clock is behind that of the owner before it dropped the end of a task
# that was not due yet, and ran the task again when it was.
def test_end_of_an_occurrence_that_is_not_due_yet_is_applied():
    table = JobTable(lambda: 900)
    spec = make_spec(
        StepSpec(task_count=1), start_at_ms=1000, interval_ms=500, repeats=3
    )
    job = table.add(spec, 0.0, inherited=True)
    run = table.adopt(f"{spec.job_id}.0.0.0", 1, "i-0", 0.0, False)
    assert table.end(run, "done", "", 3).changed
    assert job.opened == 1 and run.step.is_done
    assert table.adopt(f"{spec.job_id}.3.0.0", 1, "i-0", 0.0, False) is None
    assert job.opened == 1


def test_progress_of_another_version_can_be_read():
    # A record with unknown or missing fields must not make the job unreadable.
    step = {"n": 0, "d": b"\1\0", "later": 5}
    value = encode({"phase": "running", "steps": [step], "later": "x"})
    job = Job(make_spec(TASK), 0.0)
    job.restore(decode_progress(value))
    assert job.steps[0].pending == {1}


def test_occurrences_that_are_all_due_open_in_portions():
    # A job of a million occurrences that start in 1970 opened all at once: the owner
    # stood still and ran out of memory, and so did each later one.
    spec = make_spec(StepSpec(task_count=1_000), repeats=200, interval_ms=1)
    job = Job(spec, 0.0)
    assert job.open_due_occurrences(1_000, 0.0)
    assert sum(step.spec.task_count for step in job.steps) == 64_000
    assert not job.open_due_occurrences(1_000, 0.0)
    for step in job.steps[:10]:
        for index in range(1_000):
            step.mark_done(index)
    job.close_done()
    assert job.open_due_occurrences(1_000, 0.0)
    assert job.opened == 74


# A job counted as begun once a start was decided: jobs whose starts were refused, one
# after the other, were missing from the number of waiting jobs.
def test_job_waits_until_an_executor_has_begun_a_task():
    table = JobTable()
    job = table.add(make_spec(TASK), 0.0)
    run = table.place(job.steps[0], 0, 1, "i-0", 0.0)
    assert table.count_waiting("q") == 1 and job.phase is JobPhase.QUEUED
    table.release(run)
    assert table.count_waiting("q") == 1
    run = table.place(job.steps[0], 0, 2, "i-0", 0.0)
    table.mark_begun(run)
    assert table.count_waiting("q") == 0 and job.phase is JobPhase.RUNNING
    table.release(run)
    assert table.count_waiting("q") == 0


def test_job_has_begun_if_only_the_end_of_a_task_is_reported():
    table = JobTable()
    job = table.add(make_spec(StepSpec(task_count=2)), 0.0)
    table.end(table.place(job.steps[0], 0, 1, "i-0", 0.0), "failed", "", 3)
    assert table.count_waiting("q") == 0 and job.phase is JobPhase.RUNNING


def is_next_step_withheld(first: StepSpec, members: dict[int, bool]) -> bool:
    """Return whether an end of the first step leaves the next one withheld.

    ``members`` says which tasks have been found, and whether they were running.
    """
    table = JobTable()
    after = StepSpec(task_count=2, cpu_millis=1000, after=(0,))
    job = table.add(make_spec(first, after), 0.0, inherited=True)
    runs = [
        table.adopt(f"{'a' * 16}.0.0.{index}", 1, f"i-{index}", 0.0, running)
        for index, running in members.items()
    ]
    table.end(runs[0], "done", "", 3)
    assert job.steps[0].is_done
    return bool(job.steps[1].withheld)


# Guards against a step that an earlier owner starts as well, since it can learn the end
# of the step before it on an executor that this owner has not reached.
def test_next_step_waits_while_an_earlier_owner_can_learn_the_end():
    single = StepSpec(task_count=1, cpu_millis=1000)
    assert not is_next_step_withheld(single, {0: True})
    assert is_next_step_withheld(single, {0: False})
    speculative = StepSpec(task_count=1, cpu_millis=1000, speculative=True)
    assert is_next_step_withheld(speculative, {0: True})
    gang = StepSpec(task_count=3, cpu_millis=1000, gang=True)
    assert not is_next_step_withheld(gang, {0: True, 1: True, 2: True})
    assert is_next_step_withheld(gang, {0: True, 1: True, 2: False})
    assert is_next_step_withheld(gang, {0: True, 2: True})


# The record of each start held all those before it, so that the starts of one step of
# 1,000 tasks after a takeover kept the owner busy for half a second.
def test_starts_of_very_wide_steps_are_not_recorded():
    for count, watched in ((MAX_WATCHED_TASKS, MAX_WATCHED_TASKS), (1_000, 0)):
        spec = make_spec(StepSpec(task_count=count))
        (step,) = JobTable().add(spec, 0.0).steps
        step.withhold()
        step.release_withheld(may_have_crashed=True)
        assert len(step.watched) == watched
        assert len(step.pending) == count


load_tests = make_load_tests(globals())
