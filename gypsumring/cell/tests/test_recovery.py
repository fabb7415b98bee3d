"""Jobs of a cell during failures of nodes, executors and the store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import TaskBehaviour, World, steady_behaviour

BATCH = StepSpec(task_count=6, cpu_millis=2000, estimated_ms=800)
DEPENDENT = StepSpec(task_count=3, cpu_millis=2000, estimated_ms=800, after=(0,))
GANG = StepSpec(task_count=5, cpu_millis=3000, estimated_ms=800, gang=True)


@asynccontextmanager
async def running_cluster(behave=None, **options) -> AsyncIterator[MemoryCluster]:
    """Run a cluster and assert that its checks found no violation."""
    world = World(behave or steady_behaviour(0.8))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, **options)
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        yield cluster
        assert world.violations == [], world.violations
        group.cancel_scope.cancel()


async def test_dependent_steps_and_gangs_complete():
    async with running_cluster() as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        assert await cluster.submit(make_job("b" * 16, GANG)) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED


async def test_repeated_submission_is_the_same_job():
    async with running_cluster() as cluster:
        job = make_job("a" * 16, BATCH)
        assert await cluster.submit(job) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(3)
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_policy_tickets_are_requested_and_renewed():
    # With capacity for one task per executor, later starts need new tickets.
    async with running_cluster(
        steady_behaviour(2.5), cpu_millis=2000, policy_share=0.5
    ) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert cluster.policy.calls >= 2


async def test_killed_owner_is_replaced_within_the_stated_time():
    async with running_cluster(steady_behaviour(3.0), nodes=3) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        await anyio.sleep(0.5)
        killed_at = anyio.current_time()
        cluster.owner_node().kill()
        assert await cluster.submit(make_job("b" * 16)) is Outcome.OK
        while "b" * 16 + ".0.0.0" not in cluster.world.starts:
            await anyio.sleep(0.01)
        assert anyio.current_time() - killed_at < 2.5
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        # The attempts of the killed owner were adopted, not repeated.
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_takeover_keeps_executors_that_are_not_listed_yet():
    # The task lists arrive before the directory entries. The executors must not be
    # evicted, since their leases have not expired.
    async with running_cluster(steady_behaviour(6.0), nodes=3) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        for node in cluster.nodes.values():
            node.store.entries_delay_s = 0.5
        cluster.owner_node().kill()
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_accepted_jobs_survive_the_loss_of_all_nodes():
    async with running_cluster(nodes=3) as cluster:
        for number in range(8):
            job = make_job(f"{number:016x}", BATCH, DEPENDENT)
            assert await cluster.submit(job) is Outcome.OK
        await cluster.restart_nodes(list(cluster.nodes), 1.5)
        for number in range(8):
            assert await cluster.wait_final(f"{number:016x}") is JobPhase.COMPLETED


async def test_unresponsive_idle_executor_does_not_delay_dependent_steps():
    # Regression: steps that depend on adopted tasks waited for the lease of an idle
    # executor to expire.
    async with running_cluster(steady_behaviour(3.0), nodes=3) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        await anyio.sleep(0.3)
        fleet = cluster.owner_node().owner().state.fleet
        idle = next(name for name, executor in fleet.items() if not executor.runs)
        cluster.executors[idle].crash()
        killed_at = anyio.current_time()
        cluster.owner_node().kill()
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert anyio.current_time() - killed_at < 8.0


async def test_tasks_that_may_run_on_an_unresponsive_executor_wait_for_its_lease():
    async with running_cluster(
        steady_behaviour(2.0), nodes=3, cpu_millis=2000
    ) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(1.0)
        cluster.executors["i-0"].crash()
        killed_at = anyio.current_time()
        cluster.owner_node().kill()
        count = len(cluster.world.starts)
        while len(cluster.world.starts) == count:
            await anyio.sleep(0.01)
        # Owners request leases of 5 s, although executors grant up to 10 s.
        assert 5.0 < anyio.current_time() - killed_at < 8.0
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


async def test_tasks_of_an_unresponsive_executor_are_released_after_its_lease():
    async with running_cluster(steady_behaviour(4.0)) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(1.0)
        cluster.owner_node().faults.cut_executors.add("i-0")
        # The executor keeps running while it is cut off. Its tasks start on other
        # executors after its lease has expired, and the job completes.
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.COMPLETED
        cluster.owner_node().faults.cut_executors.clear()
        await anyio.sleep(5.0)


async def test_retries_do_not_extend_the_lease_of_an_unresponsive_executor():
    async with running_cluster(steady_behaviour(60.0)) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(1.0)
        cluster.executors["i-0"].crash()
        state = cluster.owner_node().owner().state
        await anyio.sleep(8.0)
        assert not state.fleet["i-0"].runs


async def test_restarted_executor_has_no_tasks():
    async with running_cluster(steady_behaviour(3.0)) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(1.0)
        model = cluster.executors["i-0"]
        model.crash()
        await anyio.sleep(0.3)
        model.start_incarnation()
        cluster.register(model)
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.COMPLETED


async def test_lost_and_late_answers_start_no_task_twice():
    behave = steady_behaviour(1.0)
    async with running_cluster(behave, nodes=3, executors=6, seed=5) as cluster:
        for node in cluster.nodes.values():
            node.faults.lost_share = 0.15
            node.faults.late_share = 0.15
        for number in range(6):
            await cluster.submit(make_job(f"{number:016x}", BATCH, DEPENDENT), 8.0)
        await anyio.sleep(10)
        for node in cluster.nodes.values():
            node.faults.lost_share = node.faults.late_share = 0.0
        for number in range(6):
            assert await cluster.wait_final(f"{number:016x}") is JobPhase.COMPLETED


async def test_accepted_work_goes_on_while_the_store_is_away():
    async with running_cluster(cpu_millis=2000) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        for node in cluster.nodes.values():
            node.faults.store_away = True
        await anyio.sleep(4.0)
        assert len(cluster.world.starts) > 4
        answer = await cluster.submit(make_job("b" * 16), 2.0)
        assert answer in (Outcome.REFUSED, Outcome.UNCERTAIN)
        for node in cluster.nodes.values():
            node.faults.store_away = False
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


async def test_cancellation_is_durable_and_stops_all_tasks():
    async with running_cluster(steady_behaviour(30.0)) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        assert await cluster.cancel("a" * 16)
        cluster.owner_node().kill()
        await anyio.sleep(4.0)
        assert cluster.phase("a" * 16) is JobPhase.CANCELLED
        assert not any(model.runs for model in cluster.executors.values())


async def test_job_fails_after_the_attempts_of_a_task_are_used_up():
    async with running_cluster(
        lambda task, attempt: TaskBehaviour(0.3, "failed"), executors=6
    ) as cluster:
        assert await cluster.submit(make_job("a" * 16)) is Outcome.OK
        assert await cluster.wait_final("a" * 16, 90) is JobPhase.FAILED
        assert list(cluster.world.starts.values()) == [3]


async def test_cell_moves_when_the_group_is_rebalanced():
    async with running_cluster(nodes=3) as cluster:
        await anyio.sleep(2.0)
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        first_owner = cluster.owner_node().name
        cluster.store.group("cells").deal(shift=1)
        await anyio.sleep(2.0)
        assert cluster.owner_node().name != first_owner
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


load_tests = make_load_tests(globals())
