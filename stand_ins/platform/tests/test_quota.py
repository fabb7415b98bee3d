"""The check of caps finds starts above them, and no others.

Guards against a check that passes whatever an account has running.
"""

import msgspec

from gypsumring.accounts import Resources
from gypsumring.pipelines import StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.executor import ExecutorModel, TaskRun
from stand_ins.platform.world import World, steady_behaviour

JOB = "a" * 16


def make_world(cpu_millis):
    """Return a world and an executor with a job of account ``a`` and its cap."""
    world = World(steady_behaviour(5.0))
    step = StepSpec(task_count=9, cpu_millis=1000)
    spec = make_job(JOB, step)
    world.jobs[JOB] = msgspec.structs.replace(spec, account="a")
    world.set_cap("a", Resources(cpu_millis=cpu_millis))
    return world, ExecutorModel(world, "i-0", cpu_millis=64_000)


def start(world, model, index):
    """Start a task of the job on an executor."""
    run = TaskRun(f"{JOB}.0.0.{index}", 1, 0.0)
    run.ends_at = 100.0
    model.lease_until_ms = 100_000
    model.runs[(run.task, 1)] = run
    world.check_start(model, run, 0.0)


async def test_start_above_cap_overshoot_and_one_task_is_found():
    world, model = make_world(4000)
    for index in range(5):
        start(world, model, index)
    assert not world.violations
    start(world, model, 5)
    assert [text.split()[0] for text in world.violations] == ["QUOTA"]
    assert world.account_peaks["a"] == Resources(cpu_millis=6000)


async def test_highest_cap_that_may_be_in_force_counts():
    world, model = make_world(8000)
    world.set_cap("a", Resources(cpu_millis=2000), settle_s=3.0)
    for index in range(6):
        start(world, model, index)
    assert not world.violations
    world.set_cap("a", Resources(cpu_millis=2000), settle_s=-1.0)
    start(world, model, 6)
    assert len(world.violations) == 1


async def test_cap_of_zero_is_no_limit():
    world, model = make_world(0)
    for index in range(9):
        start(world, model, index)
    assert not world.violations


load_tests = make_load_tests(globals())
