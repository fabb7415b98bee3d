"""Tests of the check of LIMIT while the capacity of an executor changes."""

import anyio

from gypsumring.pipelines import StepSpec
from gypsumring.ports.tasks import TaskStart
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.world import BEAT_S, CONTACT_S, World, steady_behaviour

JOB_ID = "a" * 16
GRACE_S = CONTACT_S + BEAT_S
MEMORY_MB = 65_536


def make_model() -> ExecutorModel:
    """Return an executor of 8 cores, and a job of tasks of 2 cores that runs long."""
    world = World(steady_behaviour(60.0))
    step = StepSpec(task_count=9, cpu_millis=2000, memory_mb=10_000, estimated_ms=500)
    world.jobs[JOB_ID] = make_job(JOB_ID, step)
    return ExecutorModel(world, "i-0", max_lease_s=60.0)


def start(model: ExecutorModel, index: int, sent_at: float | None = None) -> list[str]:
    """Start a task; return the violations so far."""
    order = TaskStart(f"{JOB_ID}.0.0.{index}", 1, "", model.clock_ms + 50_000, "", "")
    model.start(order, 1, sent_at)
    return model.world.violations


async def test_shrunk_capacity_counts_after_the_bound():
    model = make_model()
    assert start(model, 0) == []
    model.resize(2000, MEMORY_MB)
    await anyio.sleep(GRACE_S - 0.1)
    assert start(model, 1) == []
    await anyio.sleep(0.2)
    assert start(model, 2)[0].startswith("LIMIT")


async def test_late_order_is_checked_by_the_time_at_which_it_was_sent():
    model = make_model()
    assert start(model, 0) == []
    model.resize(2000, MEMORY_MB)
    shrunk_at = anyio.current_time()
    await anyio.sleep(2 * GRACE_S)
    assert start(model, 1, shrunk_at + GRACE_S - 0.1) == []
    assert start(model, 2, shrunk_at + GRACE_S + 0.1)[0].startswith("LIMIT")


async def test_memory_counts_and_each_capacity_by_itself():
    model = make_model()
    model.resize(8000, 10_000)
    await anyio.sleep(GRACE_S + 0.1)
    # Neither capacity holds two tasks, though the CPU of one and the memory of the
    # other would.
    model.resize(2000, MEMORY_MB)
    assert start(model, 0) == []
    assert start(model, 1)[0].startswith("LIMIT")


async def test_grown_capacity_and_a_new_incarnation_count_at_once():
    model = make_model()
    model.resize(2000, MEMORY_MB)
    model.crash()
    model.start_incarnation()
    assert start(model, 0) == []
    model.resize(4000, MEMORY_MB)
    assert start(model, 1) == []
    model.crash()
    model.cpu_millis = 2000
    model.start_incarnation()
    assert start(model, 2) == []
    assert start(model, 3)[0].startswith("LIMIT")


load_tests = make_load_tests(globals())
