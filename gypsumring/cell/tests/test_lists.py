"""Task lists that the owner receives late."""

import functools
from collections.abc import Callable

import anyio

from gypsumring.cell import CellOwner
from gypsumring.cell.lists import MAX_LISTED_ENDS, is_confirmed_absent
from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.dispatch.tests.fleets import make_step
from gypsumring.fleet import MAX_ORDER_DELAY_S
from gypsumring.pipelines import JobPhase, JobTable, Run, RunState, StepSpec
from gypsumring.ports.tasks import ListedEnd, ListedRun, TaskLists
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import RESTART_S, make_job
from stand_ins.platform.world import TaskBehaviour, steady_behaviour

LONG_STEP = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=60_000)


async def test_lists_received_after_an_owner_pause_do_not_indicate_a_stall():
    # Regression: an owner that was paused for three seconds found old answers of
    # executors in its socket buffers, with the percentages from before the pause. It
    # took all running attempts for stalled and stopped them.
    async with running_cluster(steady_behaviour(60.0), executors=1) as cluster:
        await anyio.sleep(0.5)
        assert await cluster.submit(make_job("a" * 16, LONG_STEP)) is Outcome.OK
        await anyio.sleep(4.0)
        owner = cluster.owner_node().owner()
        executor = owner.state.fleet["i-0"]
        ((key, run),) = executor.runs.items()
        requested_at = anyio.current_time() - 3.0
        run.progress_at = requested_at - 0.1
        clock_ms = executor.min_clock_ms(requested_at)
        listed = ListedRun(*key, "", run.percent, 0.0)
        task_lists = TaskLists(clock_ms, executor.born_ms, [listed], [])
        owner.executor_poller.list_reader.apply(executor, task_lists, requested_at)
        await anyio.sleep(0.3)
        assert cluster.metrics.counters["cell.attempts.stalled"] == 0
        assert key in executor.runs


def make_stopping_run() -> Run:
    """Return an unanswered attempt whose last start was sent by 5.0."""
    run = JobTable().place(make_step(), 0, 1, "i-0", 0.0)
    run.state = RunState.STOPPING
    run.start_sent_by = 5.0
    return run


# An unanswered start may be executed until ``MAX_ORDER_DELAY_S`` later. If the attempt
# were released earlier, the task could run twice.
def test_unanswered_attempt_is_kept_while_a_start_may_be_executed():
    run = make_stopping_run()
    assert not is_confirmed_absent(run, 5.0 + MAX_ORDER_DELAY_S)
    assert is_confirmed_absent(run, 5.1 + MAX_ORDER_DELAY_S)


# If this process is paused, a copy that is in flight may be sent late.
def test_attempt_is_kept_while_a_copy_of_its_start_is_in_flight():
    run = make_stopping_run()
    run.start_sent_by = float("inf")
    assert not is_confirmed_absent(run, 1000.0)


# Copies of a start are sent until the attempt is stopped.
def test_starting_attempt_is_kept_until_its_order_is_answered():
    run = make_stopping_run()
    run.state = RunState.STARTING
    assert not is_confirmed_absent(run, 1000.0)
    run.answered_at = 1000.0
    assert not is_confirmed_absent(run, 1000.0)
    assert is_confirmed_absent(run, 1000.1)


# An end was acknowledged and not applied if it arrived after the lease of its executor
# had expired: work that was done ran again.
async def test_work_that_was_done_before_the_lease_expired_is_not_done_again():
    step = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=2_000)
    async with running_cluster(steady_behaviour(2.0), executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, step)) is Outcome.OK
        await anyio.sleep(1.0)
        cluster.owner_node().faults.cut_executors.add("i-0")
        await anyio.sleep(8.0)
        assert not cluster.owner_node().owner().state.fleet["i-0"].runs
        cluster.owner_node().faults.cut_executors.clear()
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.COMPLETED
        assert sum(cluster.world.starts.values()) == 1


# Such a failure may not fail a job: no more than the ends that were listed under the
# lease count as attempts.
async def test_failure_that_is_listed_after_the_lease_does_not_count():
    step = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=2_000)
    behave = functools.partial(lambda result, *_: result, TaskBehaviour(2.0, "failed"))
    async with running_cluster(behave, executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, step)) is Outcome.OK
        await anyio.sleep(1.0)
        cluster.owner_node().faults.cut_executors.add("i-0")
        await anyio.sleep(8.0)
        cluster.owner_node().faults.cut_executors.clear()
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.FAILED
        assert sum(cluster.world.starts.values()) == 4


async def test_end_of_an_earlier_owner_is_applied_after_the_lease_has_expired():
    step = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=2_000)
    async with running_cluster(steady_behaviour(2.0), nodes=2, executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, step)) is Outcome.OK
        await anyio.sleep(1.0)
        for node in cluster.nodes.values():
            node.faults.cut_executors.add("i-0")
        cluster.owner_node().kill()
        await anyio.sleep(10.0)
        for node in cluster.nodes.values():
            node.faults.cut_executors.clear()
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.COMPLETED
        assert sum(cluster.world.starts.values()) == 1


# A new owner applied the ends of its predecessor only from the first answer of an
# executor, which lists 500, and acknowledged the others: work that was done ran again.
async def test_done_work_beyond_the_first_listed_ends_is_not_done_again():
    step = StepSpec(task_count=MAX_LISTED_ENDS + 200, cpu_millis=1, estimated_ms=5_000)
    async with running_cluster(steady_behaviour(5.0), executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, step)) is Outcome.OK
        await anyio.sleep(4.5)
        await cluster.restart_nodes(list(cluster.nodes), RESTART_S)
        assert await cluster.wait_final("a" * 16, 30) is JobPhase.COMPLETED
        assert set(cluster.world.starts.values()) == {1}


# Failures beyond the first answer were dropped likewise, and their tasks had more
# attempts than the queue permits.
async def test_failures_beyond_the_first_listed_ends_count():
    step = StepSpec(task_count=1, cpu_millis=1, estimated_ms=5_000)
    behave = functools.partial(lambda result, *_: result, TaskBehaviour(5.0, "failed"))
    async with running_cluster(behave, executors=1) as cluster:
        job_ids = [f"{number:016x}" for number in range(MAX_LISTED_ENDS + 100)]
        async with anyio.create_task_group() as group:
            for job_id in job_ids:
                group.start_soon(cluster.submit, make_job(job_id, step), 10.0)
        runs = cluster.executors["i-0"].runs
        while len(runs) < len(job_ids):
            await anyio.sleep(0.1)
        last_start_at = max(run.started_at for run in runs.values())
        await anyio.sleep_until(last_start_at + 4.0)
        await cluster.restart_nodes(list(cluster.nodes), RESTART_S)
        for job_id in job_ids:
            assert await cluster.wait_final(job_id, 60) is JobPhase.FAILED
        assert set(cluster.world.starts.values()) == {cluster.world.max_attempts}


def refuse_start(owner: CellOwner, run: Run) -> None:
    """Release an attempt because its executor has refused the start."""
    executor = owner.state.fleet[run.executor_id]
    owner.orders.handle_refusal(run, executor, "room")


def withdraw_start(owner: CellOwner, run: Run) -> None:
    """Release an attempt because its executor has shrunk."""
    owner.orders.withdraw_start(run, owner.state.fleet[run.executor_id])


def omit_from_list(owner: CellOwner, run: Run) -> None:
    """Release an attempt because its executor does not list it."""
    reader = owner.executor_poller.list_reader
    executor = owner.state.fleet[run.executor_id]
    reader.release_runs(executor, [run], anyio.current_time() + 1.0)


# An attempt whose start was refused or withdrawn, or that was not listed, may have run
# all the same: a copy of the order may have been carried out. Its result was dropped.
async def test_result_of_a_released_attempt_is_applied():
    for release in (refuse_start, withdraw_start, omit_from_list):
        for how in ("done", "failed"):
            await check_result_of_released_attempt(release, how)


async def check_result_of_released_attempt(
    release: Callable[[CellOwner, Run], None], how: str
) -> None:
    """Release an attempt and check that a result which is listed later is applied."""
    async with running_cluster(steady_behaviour(60.0), executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, LONG_STEP)) is Outcome.OK
        await anyio.sleep(1.0)
        owner = cluster.owner_node().owner()
        executor = owner.state.fleet["i-0"]
        ((key, run),) = executor.runs.items()
        release(owner, run)
        assert key not in executor.runs
        now = anyio.current_time()
        end = ListedEnd(executor.last_seen_end + 1, *key, how, "")
        lists = TaskLists(executor.min_clock_ms(now), executor.born_ms, [], [end])
        owner.executor_poller.list_reader.apply(executor, lists, now)
        if how == "done":
            assert run.step.is_done
        else:
            assert run.step.failures == {0: {run.attempt}}


load_tests = make_load_tests(globals())
