"""Filling tasks are slowed down for serving tasks on the same executor."""

import anyio

from gypsumring.cell.pacing import max_load, next_pace
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.dispatch.tests.fleets import make_step
from gypsumring.pipelines import JobTable, RunState, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

SERVING = StepSpec(
    task_count=1, cpu_millis=1000, long_running=True, latency_target_ms=100
)
FILLING = StepSpec(task_count=1, cpu_millis=4000, fills=True, estimated_ms=60_000)


def test_pace_halves_above_the_target_and_recovers_in_steps():
    assert [next_pace(100, 1.2), next_pace(50, 0.9), next_pace(6, 2.0)] == [50, 25, 0]
    assert [next_pace(0, 0.1), next_pace(95, 0.5), next_pace(40, 0.7)] == [10, 100, 40]


def test_only_serving_tasks_with_a_target_determine_the_load():
    table = JobTable()
    serving = table.place(
        make_step(latency_target_ms=100, long_running=True), 0, 1, "i", 0.0
    )
    other = table.place(make_step("b" * 16), 0, 1, "i", 0.0)
    for run in (serving, other):
        run.state = RunState.RUNNING
    serving.load, other.load = 80.0, 900.0
    assert max_load([serving, other]) == 0.8


async def test_filling_task_is_slowed_while_a_serving_task_exceeds_its_target():
    async with running_cluster(steady_behaviour(600.0), executors=1) as cluster:
        await cluster.submit(make_job("a" * 16, SERVING))
        await cluster.submit(make_job("b" * 16, FILLING))
        model = cluster.executors["i-0"]
        model.loads["a" * 16 + ".0.0.0"] = 150.0
        await anyio.sleep(5.0)
        assert model.paces["b" * 16 + ".0.0.0"] == 0
        model.loads["a" * 16 + ".0.0.0"] = 20.0
        await anyio.sleep(8.0)
        assert model.paces["b" * 16 + ".0.0.0"] == 100


load_tests = make_load_tests(globals())
