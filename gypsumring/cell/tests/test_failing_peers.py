"""Gangs start although an executor or a node fails their orders and calls."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.fleet import LATE_ORDER_S
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.ports.tasks import ExecutorSilent, PolicyUnavailable, StartRefused
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryExecutor, carry_out_late

GANG_ID = "a" * 16
GANG = StepSpec(task_count=3, cpu_millis=4000, estimated_ms=800, gang=True)
# Executors end a lone member by themselves after some time; a gang that has stopped one
# run has to find its room elsewhere in the next ones.
GANG_BOUND_S = 10.0
# A start that is carried out this late still has its lease.
LATE_START_S = 4.0


@contextmanager
def failing_orders(
    executor_id: str,
    starts: Exception | None = None,
    stops: Exception | None = None,
) -> Iterator[None]:
    """Let orders to one executor fail with the errors that are given; holds succeed."""
    original_start, original_stop = MemoryExecutor.start, MemoryExecutor.stop

    async def start(self, order, fence, deadline):
        if starts is not None and self.model.executor_id == executor_id:
            await fail(starts, deadline)
        await original_start(self, order, fence, deadline)

    async def stop(self, task, attempt, fence, deadline):
        if stops is not None and self.model.executor_id == executor_id:
            await fail(stops, deadline)
        await original_stop(self, task, attempt, fence, deadline)

    MemoryExecutor.start, MemoryExecutor.stop = start, stop
    try:
        yield
    finally:
        MemoryExecutor.start, MemoryExecutor.stop = original_start, original_stop


@contextmanager
def late_starts(executor_id: str, late_s: float) -> Iterator[None]:
    """Let one executor carry out each copy of a start so many seconds late as well."""
    original = MemoryExecutor.start

    async def start(self, order, fence, deadline):
        if self.model.executor_id == executor_id:
            faults = Faults(random.Random(0))
            faults.late_s = (late_s, late_s)
            act = partial(self.model.start, order, fence)
            self.group.start_soon(carry_out_late, faults, act)
        await original(self, order, fence, deadline)

    MemoryExecutor.start = start
    try:
        yield
    finally:
        MemoryExecutor.start = original


async def fail(error: Exception, deadline: float) -> None:
    """Raise an error, without an answer only at the deadline."""
    if isinstance(error, ExecutorSilent):
        await anyio.sleep(max(0.0, deadline - anyio.current_time()))
    raise error


async def completes(cluster: MemoryCluster, limit_s: float) -> bool:
    """Submit a gang; tell whether it is completed in time."""
    assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
    return await cluster.wait_final(GANG_ID, limit_s) is JobPhase.COMPLETED


# All calls for advice went through the first idle node by name, also when each of them
# failed there at once.
async def test_step_is_advised_through_a_node_that_reaches_the_policy_service():
    async with running_cluster(executors=5, policy_share=1.0) as cluster:
        node = cluster.owner_node()
        desk = node.owner().scheduler.desk
        desk.list_peers = lambda: ["n0", "n1", "n2", "n3"]

        async def ask_peer(name, step, executor_ids, deadline):
            if name == "n0":
                raise PolicyUnavailable("connection refused")
            return await node.policy.advise(step, executor_ids, deadline)

        desk.ask_peer = ask_peer
        assert await completes(cluster, GANG_BOUND_S)


# Members whose orders are not answered may start until LATE_ORDER_S after the last copy
# of the start. Released before that, the gang would run twice.
async def test_gang_waits_while_starts_without_an_answer_may_be_carried_out():
    silent = ExecutorSilent("i-0")
    with (
        failing_orders("i-0", starts=silent, stops=silent),
        late_starts("i-0", LATE_START_S),
    ):
        async with running_cluster(executors=5) as cluster:
            assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
            await anyio.sleep(LATE_ORDER_S + GANG_BOUND_S)
            assert cluster.world.starts[f"{GANG_ID}.0.0.0"] > 0


# An executor that refuses all work stays empty, so that each gang came back to it once
# its rest was over.
async def test_gang_starts_beside_an_executor_that_refuses_as_unhealthy():
    with failing_orders("i-0", starts=StartRefused("unhealthy")):
        async with running_cluster(executors=5, policy_share=1.0) as cluster:
            assert await completes(cluster, GANG_BOUND_S)


load_tests = make_load_tests(globals())
