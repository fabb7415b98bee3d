"""Test that the scheduler evaluates waiting steps until they start."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

SMALL = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=500)


async def test_step_with_refused_tickets_queries_the_policy_again():
    # Guards against a step that discards the executors with a refused ticket and then
    # waits for ever.
    async with running_cluster(steady_behaviour(0.5), policy_share=0.5) as cluster:
        cluster.policy.valid_s = -1.0
        assert await cluster.submit(make_job("a" * 16, SMALL)) is Outcome.OK
        await anyio.sleep(1.0)
        assert cluster.policy.calls >= 2
        assert not cluster.world.starts
        cluster.policy.valid_s = 2.0
        assert await cluster.wait_final("a" * 16, 10.0) is JobPhase.COMPLETED


async def test_released_capacity_is_given_to_a_waiting_step_at_once():
    # Waiting for the next evaluation of the whole queue would delay each task by 50 ms.
    async with running_cluster(
        steady_behaviour(0.5), executors=1, cpu_millis=2000
    ) as cluster:
        for number in range(8):
            job = make_job(f"{number:016x}", StepSpec(task_count=1, cpu_millis=2000))
            assert await cluster.submit(job) is Outcome.OK
        began = anyio.current_time()
        for number in range(8):
            assert await cluster.wait_final(f"{number:016x}") is JobPhase.COMPLETED
        assert anyio.current_time() - began < 8 * 0.5 + 1.0


load_tests = make_load_tests(globals())
