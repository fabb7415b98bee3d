"""Unexpected errors in a cell affect only the executor or step in question."""

from unittest import mock

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.scheduling import CellScheduler
from gypsumring.cell.tests.test_recovery import BATCH, running_cluster
from gypsumring.pipelines import JobPhase
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job


async def test_error_on_one_executor_does_not_affect_others():
    # The lease of this executor is not extended any more; once it has expired, the
    # tasks start on other executors.
    async with running_cluster(executors=3) as cluster:
        await anyio.sleep(1.0)
        owner = cluster.owner_node().owner()
        apply = owner.executor_poller.list_reader.apply

        def fail_for_one(executor, task_lists, requested_at):
            if executor.executor_id == "i-0":
                raise TypeError("unexpected row")
            apply(executor, task_lists, requested_at)

        with mock.patch.object(
            type(owner.executor_poller.list_reader), "apply", new=mock.Mock()
        ):
            owner.executor_poller.list_reader.apply.side_effect = fail_for_one
            assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
            assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
            assert cluster.owner_node().owner() is owner


async def test_error_on_one_step_does_not_affect_others():
    async with running_cluster() as cluster:
        evaluate_step = CellScheduler.evaluate_step

        def fail_for_one(self, step, queue, now):
            if step.job.spec.job_id.startswith("b"):
                raise ZeroDivisionError("unexpected size")
            evaluate_step(self, step, queue, now)

        with mock.patch.object(CellScheduler, "evaluate_step", fail_for_one):
            assert await cluster.submit(make_job("b" * 16, BATCH)) is Outcome.OK
            assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
            assert await cluster.wait_final("a" * 16, 10.0) is JobPhase.COMPLETED
        # The scheduler evaluates the step again.
        assert await cluster.wait_final("b" * 16, 10.0) is JobPhase.COMPLETED


async def test_failed_cell_is_taken_over_again():
    async with running_cluster() as cluster:
        owner = cluster.owner_node().owner()

        async def fail() -> None:
            raise RuntimeError("unexpected")

        owner.state.group.start_soon(fail)
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        assert await cluster.wait_final("a" * 16, 10.0) is JobPhase.COMPLETED
        assert cluster.owner_node().owner().fence > owner.fence


load_tests = make_load_tests(globals())
