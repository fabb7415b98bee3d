"""Jobs keep their queue after it was removed from the desired state."""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.owner import EVICTION_PERIOD_S
from gypsumring.cell.tests.test_departed import restart_all
from gypsumring.cell.tests.test_recovery import BATCH, DEPENDENT, GANG, running_cluster
from gypsumring.pipelines import DesiredState, JobPhase
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import TaskBehaviour, steady_behaviour

NO_QUEUES = DesiredState(version=2)


# Regression: a new owner had no record of the policy of a removed queue. It sent starts
# without a ticket, thousands per second, all of which were refused.
async def test_job_of_a_removed_queue_continues_under_a_new_owner():
    async with running_cluster(steady_behaviour(0.8), policy_share=1.0) as cluster:
        for model in cluster.executors.values():
            # Starts without a ticket are refused.
            model.tickets = {}
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        assert await cluster.submit(make_job("b" * 16, GANG)) is Outcome.OK
        cluster.desired = NO_QUEUES
        await restart_all(cluster)
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED


# Regression: a new owner allowed tasks of a removed queue a single attempt.
async def test_task_of_a_removed_queue_keeps_its_max_attempts():
    def behave(task, attempt):
        return TaskBehaviour(0.5, "failed" if attempt % 1000 == 1 else "done")

    async with running_cluster(behave) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        cluster.desired = NO_QUEUES
        await restart_all(cluster)
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


# Regression: starts with a ticket that the executor refuses were repeated without a
# pause.
async def test_refused_starts_are_not_repeated_at_once():
    async with running_cluster(steady_behaviour(0.5), policy_share=1.0) as cluster:
        cluster.policy.valid_s = -1.0
        assert await cluster.submit(make_job("b" * 16, GANG)) is Outcome.OK
        duration_s = 5.0
        await anyio.sleep(duration_s)
        refused = cluster.metrics.counters["cell.starts.refused.ticket"]
        assert 0 < refused <= duration_s * 10 * GANG.task_count


async def test_records_of_removed_queues_are_deleted_after_their_jobs():
    async with running_cluster() as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        queues = cluster.owner_node().owner().state.queues
        assert list(queues.recorded) == ["batch"]
        cluster.desired = NO_QUEUES
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        await anyio.sleep(200)
        assert not queues.recorded
        assert not queues.queues


# Regression: a queue that the owner received after the first job was not stored and was
# discarded although the job had not ended. Its starts were sent without tickets.
async def test_job_accepted_before_its_queue_is_configured_keeps_the_queue():
    async with running_cluster(steady_behaviour(0.8), policy_share=1.0) as cluster:
        for model in cluster.executors.values():
            model.tickets = {}
        initial_state, cluster.desired = cluster.desired, NO_QUEUES
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        cluster.desired = initial_state
        await anyio.sleep(0.3)
        cluster.desired = DesiredState(version=3)
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


# Regression: the record of a removed queue was deleted while the record of one of its
# jobs was being stored. The job was accepted and had no policy.
async def test_queue_of_a_job_being_accepted_is_kept():
    async with running_cluster() as cluster:
        owner = cluster.owner_node().owner()
        owner.commands.accept(make_job("a" * 16, BATCH))
        cluster.desired = NO_QUEUES
        for node in cluster.nodes.values():
            node.faults.store_away = True
        owner.state.queues.refresh()
        await anyio.sleep(EVICTION_PERIOD_S + 1.0)
        assert list(owner.state.queues.recorded) == ["batch"]


# A job whose queue was removed between its submission and its acceptance never ran: the
# owner had no form of the queue, and sent its starts without tickets.
async def test_job_of_a_queue_that_is_removed_before_its_acceptance_runs():
    async with running_cluster(steady_behaviour(0.8), policy_share=1.0) as cluster:
        for model in cluster.executors.values():
            model.tickets = {}
        queue = cluster.desired.queues[0]
        cluster.desired = NO_QUEUES
        await anyio.sleep(0.5)
        spec = cluster.world.jobs["a" * 16] = make_job("a" * 16, BATCH, DEPENDENT)
        commands = cluster.owner_node().owner().commands
        answer = await commands.submit(spec, 3.0, queue)
        assert answer.outcome is Outcome.OK
        await restart_all(cluster)
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


async def test_queue_that_the_owner_knows_is_not_replaced_by_a_received_one():
    async with running_cluster() as cluster:
        queues = cluster.owner_node().owner().state.queues
        known = cluster.desired.queues[0]
        received = msgspec.structs.replace(known, priority=known.priority + 1)
        queues.start_accepting(known.name, received)
        assert queues.queues[known.name] == known
        queues.start_accepting("other", received)
        assert "other" not in queues.queues


load_tests = make_load_tests(globals())
