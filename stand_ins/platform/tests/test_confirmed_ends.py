"""Tests of the check that a task does not run again after an end that counts."""

import anyio

from gypsumring.pipelines import StepSpec
from gypsumring.ports.tasks import TaskStart
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.world import World, steady_behaviour

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
WORK_S = 1.0
LEASE_MS = 5_000


def make_world(**fields) -> tuple[World, ExecutorModel, ExecutorModel]:
    """Return a world with one job and two executors."""
    world = World(steady_behaviour(WORK_S))
    step = StepSpec(task_count=1, cpu_millis=1000, **fields)
    world.jobs[JOB] = make_job(JOB, step)
    return world, ExecutorModel(world, "i-0"), ExecutorModel(world, "i-1")


async def run_again_before_confirmation(
    first: ExecutorModel, second: ExecutorModel, lease_ms: int
) -> None:
    """Start a task a second time after its end, which is then confirmed."""
    first.start(TaskStart(TASK, 1, "", lease_ms, "", ""), 1)
    await anyio.sleep(WORK_S + 0.5)
    lease_until_ms = second.clock_ms + LEASE_MS
    second.start(TaskStart(TASK, 2, "", lease_until_ms, "", ""), 1)
    await anyio.sleep(0.5)
    first.hold(1, 1, None)


# Only a start after the confirmation was found. An end that an owner confirms after
# another one has started the task again broke the rule unnoticed.
async def test_start_before_the_end_is_confirmed_is_found():
    world, first, second = make_world()
    await run_again_before_confirmation(first, second, LEASE_MS)
    assert [text.partition(" ")[0] for text in world.violations] == ["TWICE"]


async def test_end_does_not_count_once_the_lease_has_expired():
    world, first, second = make_world()
    await run_again_before_confirmation(first, second, 1_800)
    assert world.violations == []


async def test_speculative_task_may_start_again():
    world, first, second = make_world(speculative=True)
    await run_again_before_confirmation(first, second, LEASE_MS)
    assert world.violations == []


load_tests = make_load_tests(globals())
