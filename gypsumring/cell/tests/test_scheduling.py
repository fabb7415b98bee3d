"""Test that the scheduler evaluates waiting steps until they start."""

from unittest import mock

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.scheduling import CellScheduler
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


async def test_long_queue_is_evaluated_in_several_passes():
    # A pass over 400 steps kept the owner from answering pings for 0.45 s, so that a
    # majority of the nodes reported it, and it was replaced.
    evaluation_s, step_count = 0.01, 100
    evaluated = []
    async with running_cluster(
        steady_behaviour(0.5), executors=1, cpu_millis=1000
    ) as cluster:
        await anyio.sleep(1.0)
        scheduler = cluster.owner_node().owner().scheduler
        large = StepSpec(task_count=1, cpu_millis=5000)
        for number in range(step_count):
            job = make_job(f"{number:016x}", large)
            assert await cluster.submit(job) is Outcome.OK
        real_time = anyio.current_time

        def evaluate(self, step, queue, now):
            evaluated.append(step)
            self.backlog.reschedule(step, now)

        def current_time():
            return real_time() + evaluation_s * len(evaluated)

        with (
            mock.patch.object(CellScheduler, "evaluate_step", evaluate),
            mock.patch.object(anyio, "current_time", current_time),
        ):
            for step in scheduler.backlog.waiting:
                scheduler.backlog.schedule(step, real_time())
            scheduler.schedule()
            assert len(evaluated) * evaluation_s <= 0.1
            passes = 1
            while len(set(evaluated)) < step_count and passes < 2 * step_count:
                scheduler.schedule()
                passes += 1
            assert len(set(evaluated)) == step_count, passes


load_tests = make_load_tests(globals())
