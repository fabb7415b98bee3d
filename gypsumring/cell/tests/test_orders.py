"""Repetition of unanswered orders."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.orders import END_REPORT_DELAY_S, RETRY_PAUSE_S
from gypsumring.cell.tests.test_waiting import CellFixture
from gypsumring.fleet import MAX_ORDER_DELAY_S
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import World, steady_behaviour

# An unanswered start reaches a reachable executor again within this time.
MAX_CONFIRMATION_DELAY_S = 0.25

ATTEMPT_KEY = ("x.0.0.0", 1)


class StopCounter:
    """Executor that answers all stops and counts them."""

    __slots__ = ("stops",)

    def __init__(self):
        self.stops = 0

    async def stop(self, task: str, attempt: int, fence: int, deadline: float) -> None:
        """Count one stop."""
        self.stops += 1


async def returns_within(limit_s: float, function, *args) -> bool:
    """Return whether a call returns in time; it is cancelled otherwise."""
    with anyio.move_on_after(limit_s):
        await function(*args)
        return True
    return False


async def test_unanswered_start_is_repeated_within_the_confirmation_delay():
    # When orders were repeated after 0.4 s, short jobs missed their target if one order
    # in twenty was lost.
    world = World(steady_behaviour(5.0))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, nodes=1, executors=1)
        while cluster.owner_node() is None or not cluster.owner_node().owner():
            await anyio.sleep(0.1)
        await anyio.sleep(0.5)
        node = cluster.owner_node()
        node.faults.cut_executors.add("i-0")
        assert await cluster.submit(make_job("a" * 16)) is Outcome.OK
        await anyio.sleep(0.1)
        node.faults.cut_executors.clear()
        began_at = anyio.current_time()
        while not world.starts:
            await anyio.sleep(0.01)
        assert anyio.current_time() - began_at < MAX_CONFIRMATION_DELAY_S
        group.cancel_scope.cancel()


# Regression: the background task that sends the stops never ended after its executor
# was evicted from the fleet.
async def test_stops_of_unknown_attempts_end_when_the_executor_is_evicted():
    fixture = CellFixture()
    executor = fixture.state.fleet["i-0"]
    executor.unknown_runs.add(ATTEMPT_KEY)
    stop_unknown_run = fixture.scheduler.orders.stop_unknown_run
    assert not await returns_within(1.0, stop_unknown_run, executor, *ATTEMPT_KEY)
    # A new executor with the same id has its own set of unknown attempts.
    fixture.add_executor("i-0", "r0")
    assert await returns_within(RETRY_PAUSE_S, stop_unknown_run, executor, *ATTEMPT_KEY)


# Regression: an attempt that ran on after an answered stop was never stopped again, and
# its executor got no work while it listed the attempt.
async def test_attempt_that_is_still_listed_is_stopped_again():
    fixture = CellFixture()
    client = fixture.state.clients["i-0"] = StopCounter()
    executor = fixture.state.fleet["i-0"]
    executor.unknown_runs.add(ATTEMPT_KEY)
    stop_unknown_run = fixture.scheduler.orders.stop_unknown_run
    period_s = fixture.state.timing.stop_s + END_REPORT_DELAY_S
    assert not await returns_within(
        period_s * 2.5, stop_unknown_run, executor, *ATTEMPT_KEY
    )
    assert client.stops == 3
    executor.unknown_runs.clear()
    assert await returns_within(RETRY_PAUSE_S, stop_unknown_run, executor, *ATTEMPT_KEY)


# Regression: the background task that blocks a late start never ended if its executor
# was evicted from the fleet, and an executor that answered no stops never got work.
async def test_late_start_is_blocked_only_while_it_can_be_executed():
    fixture = CellFixture()
    executor = fixture.state.fleet["i-0"]
    block_late_start = fixture.scheduler.orders.block_late_start
    executor.starts_to_block.add(ATTEMPT_KEY)
    assert not await returns_within(
        MAX_ORDER_DELAY_S, block_late_start, executor, *ATTEMPT_KEY
    )
    limit_s = MAX_ORDER_DELAY_S + 2 * RETRY_PAUSE_S
    assert await returns_within(limit_s, block_late_start, executor, *ATTEMPT_KEY)
    assert not executor.starts_to_block


# A start that was sent before an executor was evicted may reach it after its return.
async def test_late_start_is_blocked_on_an_executor_that_returned():
    fixture = CellFixture()
    executor = fixture.state.fleet.pop("i-0")
    executor.starts_to_block.add(ATTEMPT_KEY)
    client = StopCounter()
    async with anyio.create_task_group() as group:
        group.start_soon(
            fixture.scheduler.orders.block_late_start, executor, *ATTEMPT_KEY
        )
        await anyio.sleep(MAX_ORDER_DELAY_S / 2)
        assert executor.starts_to_block
        fixture.state.clients["i-0"] = client
    assert client.stops == 1
    assert not executor.starts_to_block


load_tests = make_load_tests(globals())
