"""Test gangs while an executor, a queue or the policy service is unavailable."""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import DesiredState, JobPhase, PolicyTiming, Queue, StepSpec
from gypsumring.ports.tasks import PolicyUnavailable
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import TaskBehaviour, steady_behaviour

GANG_ID = "a" * 16
GANG = StepSpec(task_count=3, cpu_millis=4000, estimated_ms=800, gang=True)
# Executors end a member without the others of its gang after this time. A gang that was
# stopped once has to find capacity on other executors in later runs.
GANG_BOUND_S = 10.0
SMALL_BOUND_S = 2.0
FREE = Queue(
    name="free", host="h", path_prefix="/free/", service="svc", priority=1, stretch=2.0
)


# Guards against a gang that renews only the tickets of its reserved executors. Members
# that have failed on one of these can't use it, so that the gang would wait for other
# tasks to end although it fits on other executors.
async def test_gang_starts_although_its_members_avoid_a_reserved_executor():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        return TaskBehaviour({"d": 60.0, "e": 4.0}.get(task[0], 0.8))

    async with running_cluster(behave, executors=4, policy_share=1.0) as cluster:
        batch = cluster.desired.queues[0]
        cluster.desired = DesiredState(version=2, queues=(batch, FREE))

        async def query_policy_proxy(name, step, executor_ids, deadline):
            await anyio.sleep(batch.policy.call_s(len(executor_ids)))
            return [(executor_id, "ticket") for executor_id in executor_ids]

        cluster.owner_node().owner().scheduler.policy_client.query_policy_proxy = (
            query_policy_proxy
        )
        long = StepSpec(
            task_count=3, cpu_millis=4000, estimated_ms=60_000, max_per_executor=1
        )
        short = StepSpec(task_count=5, cpu_millis=4000, estimated_ms=4000)
        for letter, spec in (("d", long), ("e", short)):
            job = make_job(letter * 16, spec, queue="free")
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.2)
        assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
        owner = cluster.owner_node().owner()
        empty = [
            executor_id
            for executor_id, executor in owner.state.fleet.items()
            if not any(run.task.startswith("d") for run in executor.runs.values())
        ]
        step = owner.state.table.jobs[GANG_ID].steps[0]
        step.avoided = {0: set(empty), 1: set(empty)}
        assert await cluster.wait_final("e" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final(GANG_ID, GANG_BOUND_S) is JobPhase.COMPLETED


# Guards against gangs without tickets that reserve the whole fleet while the policy
# service is unavailable, also against work that needs no tickets.
async def test_work_without_policy_starts_while_the_policy_service_is_away():
    async with running_cluster(
        steady_behaviour(4.0), executors=8, policy_share=1.0
    ) as cluster:
        batch = cluster.desired.queues[0]
        cluster.desired = DesiredState(version=2, queues=(batch, FREE))
        away = False

        async def query_policy_proxy(name, step, executor_ids, deadline):
            await anyio.sleep(batch.policy.call_s(len(executor_ids)))
            if away:
                raise PolicyUnavailable("no answer")
            return [(executor_id, "ticket") for executor_id in executor_ids]

        cluster.owner_node().owner().scheduler.policy_client.query_policy_proxy = (
            query_policy_proxy
        )
        full = StepSpec(task_count=8, cpu_millis=8000, estimated_ms=4000)
        job = make_job("f" * 16, full, queue="free")
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(0.5)
        wide = StepSpec(task_count=2, cpu_millis=8000, estimated_ms=4000, gang=True)
        for number in range(4):
            job = make_job(f"{number:016x}", wide)
            assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(0.5)
        away = True
        # Meanwhile the tickets of the gangs expire, and then the first tasks end.
        assert await cluster.wait_final("f" * 16) is JobPhase.COMPLETED
        await anyio.sleep(0.5)
        small = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=4000)
        job = make_job("e" * 16, small, queue="free")
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(SMALL_BOUND_S)
        assert "e" * 16 + ".0.0.0" in cluster.world.starts


# Guards against renewal of the tickets of the first reserved executors before the last
# executors are queried, so that a wide gang never has tickets for all of them.
async def test_wide_gang_gets_all_tickets_through_one_node():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        return TaskBehaviour(6.0 if task.startswith("e") else 0.8)

    width = 75
    async with running_cluster(behave, executors=width, policy_share=1.0) as cluster:
        # Five calls about fifteen executors each take 2.25 s; the first tickets expire
        # 2 s after the first call, which takes 0.45 s.
        timing = PolicyTiming(0.3, 0.01, 2.0)
        cluster.policy.base_s = timing.base_s
        cluster.policy.per_executor_s = timing.per_executor_s
        batch = msgspec.structs.replace(cluster.desired.queues[0], policy=timing)
        cluster.desired = DesiredState(version=2, queues=(batch, FREE))
        full = StepSpec(task_count=width, cpu_millis=8000, estimated_ms=6000)
        job = make_job("e" * 16, full, queue="free")
        assert await cluster.submit(job) is Outcome.OK
        await anyio.sleep(0.5)
        wide = StepSpec(task_count=width, cpu_millis=8000, estimated_ms=800, gang=True)
        assert await cluster.submit(make_job(GANG_ID, wide)) is Outcome.OK
        assert await cluster.wait_final("e" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final(GANG_ID, GANG_BOUND_S) is JobPhase.COMPLETED


# Guards against a new owner without a record of a dropped queue, which allowed its jobs
# a single attempt.
async def test_jobs_of_a_dropped_queue_keep_their_attempts_after_a_takeover():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        first = cluster.world.failed_runs.get(task, 0) == 0
        return TaskBehaviour(3.0 if first else 0.5, "failed" if first else "done")

    async with running_cluster(lambda *args: behave(*args)) as cluster:
        assert await cluster.submit(make_job(GANG_ID)) is Outcome.OK
        await anyio.sleep(0.5)
        cluster.desired = DesiredState(version=2, queues=(FREE,))
        cluster.owner_node().kill()
        assert await cluster.wait_final(GANG_ID) is JobPhase.COMPLETED


# Guards against a new owner without a record of a dropped queue, which started its
# tasks without a ticket.
async def test_jobs_of_a_dropped_queue_need_tickets_after_a_takeover():
    # Only one task fits at a time, so that some tasks start after the takeover.
    async with running_cluster(
        steady_behaviour(2.0), executors=1, cpu_millis=2000, policy_share=1.0
    ) as cluster:
        spec = StepSpec(task_count=3, cpu_millis=2000, estimated_ms=2000)
        assert await cluster.submit(make_job(GANG_ID, spec)) is Outcome.OK
        await anyio.sleep(0.5)
        cluster.desired = DesiredState(version=2, queues=(FREE,))
        cluster.owner_node().kill()
        assert await cluster.wait_final(GANG_ID) is JobPhase.COMPLETED


# Guards against starvation of gangs in queues without policy: nothing was reserved for
# them, so that small tasks used all released capacity.
async def test_gang_without_policy_starts_beside_a_stream_of_small_tasks():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        return TaskBehaviour(0.8 if task.startswith("a") else 1.5)

    async with running_cluster(behave, executors=6) as cluster:
        async with anyio.create_task_group() as load:

            async def submit_small_jobs() -> None:
                number = 0
                while True:
                    number += 1
                    spec = StepSpec(task_count=2, cpu_millis=3000, estimated_ms=1500)
                    job = make_job(f"b{number:015x}", spec)
                    cluster.group.start_soon(cluster.submit, job)
                    await anyio.sleep(0.32)

            load.start_soon(submit_small_jobs)
            await anyio.sleep(5.0)
            spec = StepSpec(task_count=4, cpu_millis=8000, estimated_ms=800, gang=True)
            assert await cluster.submit(make_job(GANG_ID, spec)) is Outcome.OK
            await anyio.sleep(GANG_BOUND_S)
            assert f"{GANG_ID}.0.0.0" in cluster.world.starts
            load.cancel_scope.cancel()


load_tests = make_load_tests(globals())
