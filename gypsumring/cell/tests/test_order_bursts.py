"""Bursts of orders that are more than the owner's processor sends in their time."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.order_slots import MAX_ORDERS_IN_FLIGHT, OrderSlots
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import StepSpec
from gypsumring.ports.tasks import MAX_CONCURRENT_ORDERS, ExecutorSilent
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.memory import MemoryExecutor
from stand_ins.platform.world import steady_behaviour

# Processor time of one order on a small machine.
ORDER_WORK_S = 0.002
TASKS = 600
STEPS = [
    StepSpec(task_count=100, cpu_millis=200, estimated_ms=60_000, long_running=True)
] * (TASKS // 100)


@contextmanager
def busy_processor() -> Iterator[None]:
    """Let each order take processor time of the owner, also one that is overdue."""
    processor = anyio.Lock()
    start, stop = MemoryExecutor.start, MemoryExecutor.stop

    async def work(deadline: float) -> None:
        with anyio.CancelScope(shield=True):
            async with processor:
                await anyio.sleep(ORDER_WORK_S)
        if anyio.current_time() > deadline:
            raise ExecutorSilent("no answer in time")

    async def start_slowly(client, order, fence, deadline) -> None:
        await work(deadline)
        await start(client, order, fence, deadline)

    async def stop_slowly(client, task, attempt, fence, deadline) -> None:
        await work(deadline)
        await stop(client, task, attempt, fence, deadline)

    with (
        mock.patch.object(MemoryExecutor, "start", start_slowly),
        mock.patch.object(MemoryExecutor, "stop", stop_slowly),
    ):
        yield


@asynccontextmanager
async def busy_cluster() -> AsyncIterator[MemoryCluster]:
    """Run a cluster whose owner has a busy processor and has settled."""
    with busy_processor():
        async with running_cluster(
            steady_behaviour(600.0), executors=8, cpu_millis=32_000
        ) as cluster:
            await anyio.sleep(1.0)
            yield cluster


async def wait_until_running(cluster: MemoryCluster, count: int, limit_s: float):
    """Wait until so many tasks run."""
    with anyio.fail_after(limit_s):
        while sum(len(each.runs) for each in cluster.executors.values()) < count:
            await anyio.sleep(0.05)


# After a loss of power of all machines, so many lasting tasks were started at one time
# that all their orders were overdue before they were sent, again and again.
async def test_large_burst_of_starts_is_carried_out():
    async with busy_cluster() as cluster:
        assert await cluster.submit(make_job("a" * 16, *STEPS)) is Outcome.OK
        await wait_until_running(cluster, TASKS, 2 * TASKS * ORDER_WORK_S + 1.0)
        assert cluster.metrics.counters["cell.starts.unanswered"] == 0


# The stops of a cancelled job waited behind a burst of starts.
async def test_stops_do_not_wait_behind_a_burst_of_starts():
    async with busy_cluster() as cluster:
        short = StepSpec(task_count=8, cpu_millis=200, estimated_ms=60_000)
        assert await cluster.submit(make_job("b" * 16, short)) is Outcome.OK
        await wait_until_running(cluster, 8, 1.0)
        assert await cluster.submit(make_job("a" * 16, *STEPS)) is Outcome.OK
        await anyio.sleep(0.1)
        assert await cluster.cancel("b" * 16)
        cancelled_at = anyio.current_time()
        while cluster.metrics.counters["cell.stops"] < 8:
            await anyio.sleep(0.01)
        assert anyio.current_time() - cancelled_at < 0.5


# Orders to executors that do not answer must not keep up those to all others.
async def test_slots_of_one_executor_are_few_of_all():
    slots = OrderSlots()
    held = []

    async def hold(executor_id: str) -> None:
        async with slots.reserve(executor_id):
            held.append(executor_id)
            await anyio.sleep(1.0)

    async with anyio.create_task_group() as group:
        for _ in range(2 * MAX_ORDERS_IN_FLIGHT):
            group.start_soon(hold, "i-0")
        await anyio.sleep(0.1)
        assert held == ["i-0"] * MAX_CONCURRENT_ORDERS
        group.start_soon(hold, "i-1")
        await anyio.sleep(0.1)
        assert held[-1] == "i-1"
        group.cancel_scope.cancel()


async def test_slots_are_free_again_after_cancelled_orders():
    slots = OrderSlots()
    for _ in range(MAX_ORDERS_IN_FLIGHT + 1):
        with anyio.move_on_after(0.1):
            async with slots.reserve("i-0"):
                await anyio.sleep_forever()
    with anyio.fail_after(0.1):
        async with slots.reserve("i-0"):
            pass


# Members of a gang waited behind a burst of single tasks until they were too late.
async def test_urgent_orders_get_the_next_slot():
    slots = OrderSlots()
    order: list[str] = []

    async def send(name: str, is_urgent: bool) -> None:
        async with slots.reserve(name, is_urgent, lambda: is_urgent):
            order.append(name)
            await anyio.sleep(1.0)

    async with anyio.create_task_group() as group:
        for number in range(MAX_ORDERS_IN_FLIGHT):
            group.start_soon(send, f"i-{number}", False)
        await anyio.sleep(0.1)
        group.start_soon(send, "single", False)
        await anyio.sleep(0.1)
        group.start_soon(send, "i-0", True)
    assert order[-2:] == ["i-0", "single"]


# A slot that is lost with a cancelled order would be missing for ever.
async def test_slot_of_a_cancelled_order_is_passed_on():
    slots = OrderSlots()
    scopes = [anyio.CancelScope() for _ in range(3)]
    taken: list[int] = []

    async def send(number: int) -> None:
        with scopes[number]:
            async with slots.reserve(f"w-{number}"):
                taken.append(number)

    async with anyio.create_task_group() as group:
        for _ in range(MAX_ORDERS_IN_FLIGHT):
            await slots.total.acquire(False)
        for number in range(3):
            group.start_soon(send, number)
            await anyio.sleep(0.1)
        scopes[0].cancel()
        await anyio.sleep(0.1)
        slots.total.release()
        scopes[1].cancel()
        await anyio.sleep(0.1)
    assert taken[-1] == 2, taken
    assert slots.total.free == 1


load_tests = make_load_tests(globals())
