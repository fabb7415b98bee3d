"""Tests of the forecast of capacity on an executor."""

from gypsumring.dispatch.openings import estimate_end, forecast_capacity
from gypsumring.dispatch.tests.fleets import (
    change_capacity,
    make_executor,
    make_step,
)
from gypsumring.pipelines import Run
from gypsumring.utils.testing import make_load_tests


def run_task(executor, started_at, estimated_ms, job_id="f" * 16, **fields):
    """Add a running task of another step to an executor."""
    step = make_step(job_id, task_count=1, estimated_ms=estimated_ms, **fields)
    run = Run(step, 0, 1, executor.executor_id, started_at)
    executor.add_run(run)
    return run


def test_free_capacity_is_available_now_and_the_rest_as_tasks_end():
    executor = make_executor("i-0", cpu_millis=8_000)
    run_task(executor, 0.0, 3000, "e" * 16, cpu_millis=2000)
    run_task(executor, 0.0, 5000, "f" * 16, cpu_millis=4000)
    step = make_step(task_count=4, cpu_millis=2000)
    assert forecast_capacity(step, executor, 1.0) == [1.0, 3.0, 5.0, 5.0]


def test_forecast_is_limited_to_what_the_executor_holds():
    executor = make_executor("i-0", cpu_millis=8_000)
    run_task(executor, 0.0, 3000, cpu_millis=8000, memory_mb=60_000)
    step = make_step(task_count=9, cpu_millis=1000, memory_mb=30_000)
    assert forecast_capacity(step, executor, 1.0) == [3.0, 3.0]


# Guards against a forecast that counts the capacity of an ending task as free although
# the executor's capacity has shrunk below what runs there.
def test_overfull_executor_has_capacity_only_once_it_fits_again():
    executor = make_executor("i-0", cpu_millis=8_000)
    run_task(executor, 0.0, 3000, "d" * 16, cpu_millis=2000)
    run_task(executor, 0.0, 5000, "e" * 16, cpu_millis=2000)
    run_task(executor, 0.0, 7000, "f" * 16, cpu_millis=4000)
    change_capacity(executor, cpu_millis=5_000)
    step = make_step(task_count=4, cpu_millis=1000)
    assert forecast_capacity(step, executor, 1.0) == [5.0, 7.0, 7.0, 7.0]


def test_overrunning_attempt_is_expected_to_run_for_a_share_of_its_time():
    executor = make_executor("i-0")
    run = run_task(executor, 0.0, 2000)
    assert estimate_end(run, 2.0, 1.0) == 2.0
    assert estimate_end(run, 3.0, 1.0) == 3.0
    assert estimate_end(run, 2.0, 4.0) == 5.0


load_tests = make_load_tests(globals())
