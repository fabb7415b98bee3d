"""Tasks start although an executor fails orders or a node fails policy calls."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

import anyio

from gypsumring.cell.gang_starts import GANG_START_TIMEOUT_S
from gypsumring.cell.messages import Outcome
from gypsumring.cell.orders import (
    MAX_UNANSWERED_ORDERS,
    ORDER_TIMEOUT_S,
    RETRY_PAUSE_S,
    START_TIMEOUT_S,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.fleet import MAX_ORDER_DELAY_S
from gypsumring.fleet.health import INITIAL_BACKOFF_S
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.ports.tasks import ExecutorSilent, PolicyUnavailable, StartRefused
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryExecutor, carry_out_late
from stand_ins.platform.world import steady_behaviour

GANG_ID = "a" * 16
GANG = StepSpec(task_count=3, cpu_millis=4000, estimated_ms=800, gang=True)
SINGLE = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=800)
# An unanswered order is sent again after this time.
RESEND_PERIOD_S = ORDER_TIMEOUT_S + RETRY_PAUSE_S
# Executors end a member that runs alone after some time; a gang that was stopped has to
# be placed on other executors in its next attempts.
GANG_TIMEOUT_S = 10.0
# The lease of a start that is executed after this delay has not expired.
START_DELAY_S = 4.0


@contextmanager
def failing_orders(
    executor_id: str,
    starts: Exception | None = None,
    stops: Exception | None = None,
) -> Iterator[None]:
    """Fail orders to one executor with the given errors; long polls succeed."""
    original_start, original_stop = MemoryExecutor.start, MemoryExecutor.stop

    async def start(self, order, fence, deadline):
        if starts is not None and self.model.executor_id == executor_id:
            await fail_order(starts, deadline)
        await original_start(self, order, fence, deadline)

    async def stop(self, task, attempt, fence, deadline):
        if stops is not None and self.model.executor_id == executor_id:
            await fail_order(stops, deadline)
        await original_stop(self, task, attempt, fence, deadline)

    MemoryExecutor.start, MemoryExecutor.stop = start, stop
    try:
        yield
    finally:
        MemoryExecutor.start, MemoryExecutor.stop = original_start, original_stop


@contextmanager
def delayed_start_copies(executor_id: str, delay_s: float) -> Iterator[None]:
    """Let one executor execute each copy of a start a second time after a delay."""
    original = MemoryExecutor.start

    async def start(self, order, fence, deadline):
        if self.model.executor_id == executor_id:
            faults = Faults(random.Random(0))
            faults.late_s = (delay_s, delay_s)
            act = partial(self.model.start, order, fence)
            self.group.start_soon(carry_out_late, faults, act)
        await original(self, order, fence, deadline)

    MemoryExecutor.start = start
    try:
        yield
    finally:
        MemoryExecutor.start = original


@contextmanager
def lost_start_answers(executor_id: str) -> Iterator[None]:
    """Let one executor execute starts whose answers never arrive."""
    original = MemoryExecutor.start

    async def start(self, order, fence, deadline):
        await original(self, order, fence, deadline)
        if self.model.executor_id == executor_id:
            await fail_order(ExecutorSilent(executor_id), deadline)

    MemoryExecutor.start = start
    try:
        yield
    finally:
        MemoryExecutor.start = original


async def fail_order(error: Exception, deadline: float) -> None:
    """Raise an error; a missing answer is raised at the deadline."""
    if isinstance(error, ExecutorSilent):
        await anyio.sleep(max(0.0, deadline - anyio.current_time()))
    raise error


async def gang_completes(cluster: MemoryCluster, limit_s: float) -> bool:
    """Submit a gang and return whether it completes in time."""
    assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
    return await cluster.wait_final(GANG_ID, limit_s) is JobPhase.COMPLETED


# Regression: all policy queries went through the idle node with the lowest name, even
# if each of them failed there at once.
async def test_policy_is_queried_through_a_node_that_reaches_the_service():
    async with running_cluster(executors=5, policy_share=1.0) as cluster:
        node = cluster.owner_node()
        policy_client = node.owner().scheduler.policy_client
        policy_client.list_policy_proxies = lambda: ["n0", "n1", "n2", "n3"]

        async def query_policy_proxy(name, step, executor_ids, deadline):
            if name == "n0":
                raise PolicyUnavailable("connection refused")
            return await node.policy.advise(step, executor_ids, deadline)

        policy_client.query_policy_proxy = query_policy_proxy
        assert await gang_completes(cluster, GANG_TIMEOUT_S)


# Members whose orders are unanswered may start until ``MAX_ORDER_DELAY_S`` after the
# last copy of the start. If they were released earlier, the gang could run twice.
async def test_gang_waits_while_unanswered_starts_may_be_executed():
    no_answer = ExecutorSilent("i-0")
    with (
        failing_orders("i-0", starts=no_answer, stops=no_answer),
        delayed_start_copies("i-0", START_DELAY_S),
    ):
        async with running_cluster(executors=5) as cluster:
            assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
            await anyio.sleep(MAX_ORDER_DELAY_S + GANG_TIMEOUT_S)
            assert cluster.world.starts[f"{GANG_ID}.0.0.0"] > 0


# Regression: an executor that refuses all work remains empty, so that each gang was
# placed there again once its back-off had ended.
async def test_gang_starts_despite_an_executor_that_refuses_as_unhealthy():
    with failing_orders("i-0", starts=StartRefused("unhealthy")):
        async with running_cluster(executors=5, policy_share=1.0) as cluster:
            assert await gang_completes(cluster, GANG_TIMEOUT_S)


# Regression: unanswered starts did not count against an executor, so that the gang was
# placed there again.
async def test_gang_starts_despite_an_executor_that_answers_no_starts():
    with failing_orders("i-0", starts=ExecutorSilent("i-0")):
        async with running_cluster(executors=5, policy_share=1.0) as cluster:
            assert await gang_completes(cluster, GANG_TIMEOUT_S)


# Regression: a member whose stop was unanswered remained recorded while the executor
# answered long polls, and its gang waited for it.
async def test_gang_starts_despite_an_executor_that_answers_only_long_polls():
    no_answer = ExecutorSilent("i-0")
    with failing_orders("i-0", starts=no_answer, stops=no_answer):
        async with running_cluster(executors=5, policy_share=1.0) as cluster:
            limit_s = MAX_ORDER_DELAY_S + 2 * GANG_START_TIMEOUT_S + GANG_TIMEOUT_S
            assert await gang_completes(cluster, limit_s)


# Regression: single tasks were placed one after the other on an executor that does not
# answer starts.
async def test_single_tasks_start_despite_an_executor_that_answers_no_starts():
    with failing_orders("i-0", starts=ExecutorSilent("i-0")):
        async with running_cluster(executors=2) as cluster:
            assert await cluster.submit(make_job("b" * 16, SINGLE)) is Outcome.OK
            # After five copies of the start the executor has begun to back off.
            await anyio.sleep((MAX_UNANSWERED_ORDERS + 1) * RESEND_PERIOD_S)
            executor = cluster.owner_node().owner().state.fleet["i-0"]
            placed = set(executor.runs)
            assert placed
            for number in range(4):
                job = make_job(f"{number:016x}", SINGLE)
                assert await cluster.submit(job) is Outcome.OK
                assert await cluster.wait_final(f"{number:016x}") is JobPhase.COMPLETED
            assert set(executor.runs) == placed


# Regression: the start of a single task was repeated for as long as the executor
# answered long polls but no orders.
async def test_unanswered_start_of_a_single_task_is_abandoned():
    no_answer = ExecutorSilent("i-0")
    with failing_orders("i-0", starts=no_answer, stops=no_answer):
        async with running_cluster(executors=2) as cluster:
            fleet = cluster.owner_node().owner().state.fleet
            fleet["i-1"].health.quarantined_until = anyio.current_time() + 1.0
            assert await cluster.submit(make_job("b" * 16, SINGLE)) is Outcome.OK
            await anyio.sleep(0.5)
            assert fleet["i-0"].runs
            limit_s = START_TIMEOUT_S + MAX_ORDER_DELAY_S + GANG_TIMEOUT_S
            assert await cluster.wait_final("b" * 16, limit_s) is JobPhase.COMPLETED


# A back-off must not stop running tasks, since the VM may only be slow to answer.
async def test_running_tasks_continue_while_an_executor_backs_off():
    async with running_cluster(steady_behaviour(12.0), executors=1) as cluster:
        long = StepSpec(task_count=1, cpu_millis=2000, estimated_ms=12_000)
        assert await cluster.submit(make_job("b" * 16, long)) is Outcome.OK
        await anyio.sleep(0.5)
        state = cluster.owner_node().owner().state
        no_answer = ExecutorSilent("i-0")
        with failing_orders("i-0", starts=no_answer, stops=no_answer):
            assert await cluster.submit(make_job("c" * 16, SINGLE)) is Outcome.OK
            await anyio.sleep(5.0)
            assert state.fleet["i-0"].health.is_quarantined(state.clock())
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED
        assert await cluster.wait_final("c" * 16) is JobPhase.COMPLETED
        assert cluster.world.starts["b" * 16 + ".0.0.0"] == 1
        assert cluster.world.starts["c" * 16 + ".0.0.0"] == 1


# Four unanswered orders before the executor became unresponsive, and their repetition
# once it answers again, must not cause a long back-off.
async def test_first_answered_start_ends_the_back_off():
    async with running_cluster(executors=1) as cluster:
        with failing_orders("i-0", starts=ExecutorSilent("i-0")):
            assert await cluster.submit(make_job("b" * 16, SINGLE)) is Outcome.OK
            await anyio.sleep(8.0)
            executor = cluster.owner_node().owner().state.fleet["i-0"]
            assert executor.health.refusals > 1
        await anyio.sleep(2 * RESEND_PERIOD_S)
        assert not executor.health.is_suspect()
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED
        assert cluster.world.starts["b" * 16 + ".0.0.0"] == 1


# Regression: a task that runs on after its stop occupies capacity, and the remaining
# capacity was given to tasks that could not be stopped either.
async def test_executor_that_answers_no_stops_backs_off():
    no_answer = ExecutorSilent("i-0")
    with failing_orders("i-0", stops=no_answer):
        async with running_cluster(steady_behaviour(20.0), executors=1) as cluster:
            state = cluster.owner_node().owner().state
            assert await cluster.submit(make_job("b" * 16, SINGLE)) is Outcome.OK
            await anyio.sleep(0.5)
            assert await cluster.cancel("b" * 16)
            # Four stops and half of the first back-off.
            await anyio.sleep(
                MAX_UNANSWERED_ORDERS * RESEND_PERIOD_S + INITIAL_BACKOFF_S / 2
            )
            assert state.fleet["i-0"].health.is_quarantined(state.clock())


# Otherwise an executor whose answers to starts are lost or slow would back off after
# each start that it has executed.
async def test_listed_start_ends_the_back_off():
    with lost_start_answers("i-0"):
        async with running_cluster(steady_behaviour(5.0), executors=1) as cluster:
            await anyio.sleep(1.0)
            state = cluster.owner_node().owner().state
            health = state.fleet["i-0"].health
            assert await cluster.submit(make_job("b" * 16, SINGLE)) is Outcome.OK
            await anyio.sleep(0.1)
            assert state.fleet["i-0"].runs
            health.record_refusal(state.clock())
            # An idle executor delays its answer to a long poll by at most one second.
            await anyio.sleep(1.0 + RESEND_PERIOD_S)
            assert not health.is_suspect()
            assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED


load_tests = make_load_tests(globals())
