"""When room for a step is expected to open on an executor."""

from gypsumring.dispatch.openings import expect_end, expect_openings
from gypsumring.dispatch.tests.fleets import make_executor, make_step
from gypsumring.pipelines import Run
from gypsumring.utils.testing import make_load_tests


def run_task(executor, started_at, estimated_ms, job_id="f" * 16, **fields):
    """Let a task of another step run on an executor."""
    step = make_step(job_id, task_count=1, estimated_ms=estimated_ms, **fields)
    run = Run(step, 0, 1, executor.executor_id, started_at)
    executor.add_run(run)
    return run


def test_free_places_open_now_and_others_with_the_ends():
    executor = make_executor("i-0", cpu_millis=8_000)
    run_task(executor, 0.0, 3000, "e" * 16, cpu_millis=2000)
    run_task(executor, 0.0, 5000, "f" * 16, cpu_millis=4000)
    step = make_step(task_count=4, cpu_millis=2000)
    assert expect_openings(step, executor, 1.0) == [1.0, 3.0, 5.0, 5.0]


def test_places_beyond_what_the_executor_holds_never_open():
    executor = make_executor("i-0", cpu_millis=8_000)
    run_task(executor, 0.0, 3000, cpu_millis=8000, memory_mb=60_000)
    step = make_step(task_count=9, cpu_millis=1000, memory_mb=30_000)
    assert expect_openings(step, executor, 1.0) == [3.0, 3.0]


def test_overrun_is_expected_to_end_after_a_share_of_its_time():
    executor = make_executor("i-0")
    run = run_task(executor, 0.0, 2000)
    assert expect_end(run, 1.0, 1.0) == 2.0
    assert expect_end(run, 1.5, 1.0) == 3.0
    assert expect_end(run, 1.0, 4.0) == 5.0


load_tests = make_load_tests(globals())
