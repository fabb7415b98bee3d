"""Executors whose capacity shrinks and grows while they run."""

from collections.abc import Callable

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.cell.tests.test_waiting import CellFixture
from gypsumring.cell.waiting import WaitReason, explain_wait
from gypsumring.fleet import ExecutorEntry
from gypsumring.pipelines import JobPhase, PipelineSpec, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import Trouble
from stand_ins.platform.world import TaskBehaviour, steady_behaviour

JOB_ID = "a" * 16
# Entries are read every 0.25 s, and the store and the executors answer within 0.05 s.
ENTRY_DELAY_S = 0.3


def make_entry(executor_id: str, cpu_millis: int) -> ExecutorEntry:
    """Return an entry of an executor of the fixture with another capacity."""
    return ExecutorEntry(
        executor_id=executor_id,
        address="",
        service="svc",
        cpu_millis=cpu_millis,
        memory_mb=65_536,
        labels=("a", "r0"),
    )


def resize(cluster: MemoryCluster, executor_id: str, cpu_millis: int) -> None:
    """Change the capacity of an executor and its entry in the store."""
    model = cluster.executors[executor_id]
    model.cpu_millis = cpu_millis
    cluster.register(model)


async def wait_until(condition: Callable[[], bool], limit_s: float = 5.0) -> None:
    """Wait until a condition holds; fail after the limit."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


# Guards against steps that fit nowhere for a while and use a capacity that has grown
# only at their next periodic evaluation, which comes after 2 s in a long backlog.
async def test_grown_capacity_is_used_at_once():
    fixture = CellFixture(executors=1)
    poller = ExecutorPoller(fixture.state, fixture.scheduler.orders, None)
    poller.update(make_entry("i-0", 2000))
    step = fixture.add_step(task_count=2, cpu_millis=4000)
    fixture.allow(step, "i-0")
    fixture.scheduler.backlog.index_allowed(step)
    fixture.scheduler.schedule()
    assert not step.active_runs()
    await anyio.sleep(0.05)
    # Not due yet: only released capacity is used by this pass.
    fixture.scheduler.backlog.schedule(step, anyio.current_time() + 2.0)
    fixture.state.changed = anyio.Event()
    poller.update(make_entry("i-0", 2000))
    assert not fixture.state.changed.is_set()
    fixture.state.entries_read_at = anyio.current_time()
    poller.update(make_entry("i-0", 8000))
    assert fixture.state.changed.is_set()
    fixture.scheduler.schedule()
    assert len(step.active_runs()) == 2


# Guards against a start that was not answered and is repeated after its executor has
# shrunk: the repeated copy brings the executor over its capacity.
async def test_unanswered_start_is_not_repeated_on_a_shrunk_executor():
    async with running_cluster(
        steady_behaviour(2.0), nodes=1, executors=2, cpu_millis=4000
    ) as cluster:
        resize(cluster, "i-1", 0)
        await anyio.sleep(ENTRY_DELAY_S)
        node = cluster.owner_node()
        # The orders do not arrive, and long polls are answered.
        cluster.executors["i-0"].trouble = Trouble.ORDERS
        node.faults.late_s = (30.0, 30.0)
        step = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=2000)
        assert await cluster.submit(make_job(JOB_ID, step)) is Outcome.OK
        fleet = node.owner().state.fleet
        await wait_until(lambda: len(fleet["i-0"].unconfirmed_starts) == 2)
        resize(cluster, "i-0", 1000)
        resize(cluster, "i-1", 4000)
        await anyio.sleep(ENTRY_DELAY_S)
        cluster.executors["i-0"].trouble = Trouble.NONE
        assert await cluster.wait_final(JOB_ID) is JobPhase.COMPLETED
        assert cluster.executors["i-0"].done_here == set()


# Guards against a withdrawn member of a gang that leaves the others to wait alone.
async def test_gang_moves_when_the_executor_of_an_unanswered_member_shrinks():
    async with running_cluster(
        steady_behaviour(2.0), nodes=1, executors=3, cpu_millis=4000
    ) as cluster:
        resize(cluster, "i-2", 0)
        await anyio.sleep(ENTRY_DELAY_S)
        node = cluster.owner_node()
        cluster.executors["i-1"].trouble = Trouble.ORDERS
        node.faults.late_s = (30.0, 30.0)
        gang = StepSpec(task_count=2, cpu_millis=4000, estimated_ms=2000, gang=True)
        assert await cluster.submit(make_job(JOB_ID, gang)) is Outcome.OK
        fleet = node.owner().state.fleet
        await wait_until(lambda: bool(fleet["i-1"].unconfirmed_starts))
        resize(cluster, "i-1", 2000)
        resize(cluster, "i-2", 4000)
        await anyio.sleep(ENTRY_DELAY_S)
        cluster.executors["i-1"].trouble = Trouble.NONE
        assert await cluster.wait_final(JOB_ID) is JobPhase.COMPLETED
        assert cluster.executors["i-1"].done_here == set()
        ended = [end.how for model in cluster.executors.values() for end in model.ended]
        assert "alone" not in ended


# Guards against starts by the capacity of an earlier incarnation: the task lists of a
# restarted executor may arrive before its new entry.
async def test_restarted_executor_gets_no_work_before_its_new_entry():
    async with running_cluster(steady_behaviour(0.5), nodes=1, executors=1) as cluster:
        await anyio.sleep(ENTRY_DELAY_S)
        model = cluster.executors["i-0"]
        model.crash()
        await anyio.sleep(1.0)
        model.cpu_millis = 2000
        model.start_incarnation()
        # An owner gives a new incarnation no work for 13 s after an unanswered poll.
        executor = cluster.owner_node().owner().state.fleet["i-0"]
        await wait_until(lambda: executor.born_ms == model.born_ms)
        executor.health.quarantined_until = 0.0
        step = StepSpec(task_count=4, cpu_millis=2000, estimated_ms=500)
        assert await cluster.submit(make_job(JOB_ID, step)) is Outcome.OK
        await anyio.sleep(0.5)
        assert cluster.world.starts == {}
        cluster.register(model)
        assert await cluster.wait_final(JOB_ID) is JobPhase.COMPLETED


def make_filling_job(job_id: str, count: int) -> PipelineSpec:
    """Return a job of tasks of 4 cores that run for a minute."""
    return make_job(
        job_id, StepSpec(task_count=count, cpu_millis=4000, estimated_ms=60_000)
    )


# Guards against steps and gangs that are refused, or forgotten, because they fit
# nowhere while capacities are small.
async def test_steps_that_fit_nowhere_for_a_while_wait_and_start():
    for policy_share in (None, 1.0):
        async with running_cluster(
            steady_behaviour(1.0), executors=3, policy_share=policy_share
        ) as cluster:
            for executor_id in cluster.executors:
                resize(cluster, executor_id, 500)
            await anyio.sleep(ENTRY_DELAY_S)
            single = StepSpec(task_count=2, cpu_millis=4000, estimated_ms=1000)
            gang = StepSpec(task_count=4, cpu_millis=3000, estimated_ms=1000, gang=True)
            assert await cluster.submit(make_job("a" * 16, single)) is Outcome.OK
            assert await cluster.submit(make_job("b" * 16, gang)) is Outcome.OK
            # Longer than tickets are valid, and than reservations are reviewed.
            await anyio.sleep(10.0)
            assert cluster.world.starts == {}
            assert cluster.phase("a" * 16) is JobPhase.QUEUED
            assert cluster.phase("b" * 16) is JobPhase.QUEUED
            for executor_id in cluster.executors:
                resize(cluster, executor_id, 8000)
            grown_at = anyio.current_time()
            for job_id in ("a" * 16, "b" * 16):
                assert await cluster.wait_final(job_id) is JobPhase.COMPLETED
            assert anyio.current_time() - grown_at < 4.0
            assert set(cluster.world.starts.values()) == {1}


# Guards against gauges that show a cell as full because one executor is over-full.
async def test_gauges_show_the_free_capacity_beside_an_overfull_executor():
    async with running_cluster(steady_behaviour(4.0), nodes=1, executors=2) as cluster:
        resize(cluster, "i-1", 0)
        await anyio.sleep(ENTRY_DELAY_S)
        assert await cluster.submit(make_filling_job("a" * 16, 2)) is Outcome.OK
        await wait_until(lambda: len(cluster.executors["i-0"].runs) == 2)
        resize(cluster, "i-0", 1000)
        resize(cluster, "i-1", 7000)
        await anyio.sleep(ENTRY_DELAY_S)
        gauges = cluster.owner_node().owner().measure()
        assert gauges["cell.used_cpu_millis"] == gauges["cell.room_cpu_millis"] == 8000
        assert gauges["cell.free_cpu_millis"] == 7000
        assert gauges["cell.executors.over_capacity"] == 1


# Guards against an executor that stops what runs there, or starts more, while it is
# over-full.
async def test_tasks_on_a_shrunk_executor_go_on_and_nothing_starts_there():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        return TaskBehaviour(4.0 if task.startswith("a") else 0.5)

    async with running_cluster(behave, executors=1) as cluster:
        model = cluster.executors["i-0"]
        assert await cluster.submit(make_filling_job("a" * 16, 2)) is Outcome.OK
        await wait_until(lambda: len(model.runs) == 2)
        resize(cluster, "i-0", 5000)
        await anyio.sleep(ENTRY_DELAY_S)
        assert await cluster.submit(make_job("b" * 16)) is Outcome.OK
        await anyio.sleep(2.0)
        assert len(model.runs) == 2
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert set(cluster.world.starts.values()) == {1}


# Guards against a gang that keeps executors reserved that cannot hold it any more.
async def test_gang_leaves_a_reserved_executor_that_has_shrunk():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        long = task.startswith("a") and task.endswith((".0", ".1"))
        return TaskBehaviour(60.0 if long else 3.0)

    async with running_cluster(behave, executors=4, policy_share=1.0) as cluster:
        assert await cluster.submit(make_filling_job("a" * 16, 8)) is Outcome.OK
        await wait_until(lambda: len(cluster.world.starts) == 8)
        gang = StepSpec(task_count=2, cpu_millis=8000, estimated_ms=500, gang=True)
        assert await cluster.submit(make_job("b" * 16, gang)) is Outcome.OK
        state = cluster.owner_node().owner().state
        step = state.table.jobs["b" * 16].steps[0]
        await wait_until(lambda: bool(step.reserved))
        shrunk = min(step.reserved)
        resize(cluster, shrunk, 7000)
        await wait_until(lambda: shrunk not in step.reserved, 1.5)
        assert await cluster.wait_final("b" * 16, 15.0) is JobPhase.COMPLETED
        assert f"{'b' * 16}.0.0" not in cluster.executors[shrunk].done_here


# Guards against a new owner that starts tasks by the capacity in the cell's records,
# which is that of the executor's first entry.
async def test_new_owner_starts_nothing_by_the_recorded_capacity():
    async with running_cluster(steady_behaviour(2.0), nodes=3, executors=2) as cluster:
        await anyio.sleep(1.0)
        resize(cluster, "i-0", 2000)
        resize(cluster, "i-1", 0)
        await anyio.sleep(ENTRY_DELAY_S)
        step = StepSpec(task_count=6, cpu_millis=2000, estimated_ms=2000)
        assert await cluster.submit(make_job(JOB_ID, step)) is Outcome.OK
        await wait_until(lambda: len(cluster.world.starts) == 1)
        # The new owner gets the task lists 0.8 s before the entries.
        for node in cluster.nodes.values():
            node.store.entries_delay_s = 0.8
        cluster.owner_node().kill()
        await wait_until(lambda: cluster.owner_node() is not None)
        fleet = cluster.owner_node().owner().state.fleet
        # The record is older than the entry.
        assert fleet["i-0"].entry.cpu_millis == 8000
        await wait_until(lambda: fleet["i-0"].first_response_at is not None)
        await anyio.sleep(0.2)
        assert len(cluster.world.starts) == 1
        await wait_until(
            lambda: {each.entry.cpu_millis for each in fleet.values()} == {2000, 0}
        )
        assert await cluster.wait_final(JOB_ID) is JobPhase.COMPLETED


# Guards against starts by old capacities after an outage of the store in which an
# executor has shrunk (soak.capacity, seed 19). Without changes of capacity accepted
# work goes on, which test_recovery.py tests.
async def test_nothing_starts_by_capacities_that_could_not_be_read_for_long():
    async with running_cluster(steady_behaviour(0.5), executors=1) as cluster:
        model = cluster.executors["i-0"]
        resize(cluster, "i-0", 4000)
        await anyio.sleep(ENTRY_DELAY_S)
        resize(cluster, "i-0", 8000)
        await anyio.sleep(ENTRY_DELAY_S)
        step = StepSpec(task_count=200, cpu_millis=2000, estimated_ms=500)
        assert await cluster.submit(make_job(JOB_ID, step)) is Outcome.OK
        for node in cluster.nodes.values():
            node.faults.store_away = True
        began_at = anyio.current_time()
        model.resize(4000, model.memory_mb)
        cluster.register(model)
        await anyio.sleep(2.0)
        # The capacity that has shrunk does not count yet, and may be unknown.
        starts = len(cluster.world.starts)
        await wait_until(lambda: len(cluster.world.starts) > starts)
        await anyio.sleep(began_at + 8.0 - anyio.current_time())
        scheduler = cluster.owner_node().owner().scheduler
        waiting = scheduler.state.table.jobs[JOB_ID].steps[0]
        queue = cluster.desired.queues[0]
        report = explain_wait(waiting, queue, scheduler, 0.0, anyio.current_time())
        assert cluster.world.violations == []
        assert report.reason is WaitReason.ENTRIES_UNREAD
        for node in cluster.nodes.values():
            node.faults.store_away = False
        assert await cluster.wait_final(JOB_ID) is JobPhase.COMPLETED


load_tests = make_load_tests(globals())
