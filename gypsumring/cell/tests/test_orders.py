"""Orders whose answers are lost."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.orders import END_REPORT_DELAY_S, RETRY_PAUSE_S
from gypsumring.cell.tests.test_waiting import Scene
from gypsumring.fleet import LATE_ORDER_S
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import World, steady_behaviour

# A start whose answer is lost is confirmed again within this time, in seconds.
MAX_CONFIRMATION_DELAY_S = 0.25

ATTEMPT_KEY = ("x.0.0.0", 1)


class StopCounter:
    """Answer all stops, and count them."""

    __slots__ = ("stops",)

    def __init__(self):
        self.stops = 0

    async def stop(self, task: str, attempt: int, fence: int, deadline: float) -> None:
        """Count one stop."""
        self.stops += 1


async def returns_within(limit_s: float, function, *args) -> bool:
    """Tell whether a call ends in time; it is cancelled otherwise."""
    with anyio.move_on_after(limit_s):
        await function(*args)
        return True
    return False


async def test_unanswered_start_is_repeated_within_the_confirmation_delay():
    # Repeated after 0.4 s, one lost order in twenty made short jobs miss their target.
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


# The task went on for ever once its executor was dropped from the fleet.
async def test_stops_of_unknown_attempts_end_when_the_executor_is_evicted():
    scene = Scene()
    executor = scene.state.fleet["i-0"]
    executor.unknown_runs.add(ATTEMPT_KEY)
    stop_unknown_run = scene.scheduler.orders.stop_unknown_run
    assert not await returns_within(1.0, stop_unknown_run, executor, *ATTEMPT_KEY)
    # An executor of the same id is attended anew, with lists of its own.
    scene.add_executor("i-0", "r0")
    assert await returns_within(RETRY_PAUSE_S, stop_unknown_run, executor, *ATTEMPT_KEY)


# An attempt that went on after an answered stop was never stopped again, and its
# executor took no work for as long as it listed it.
async def test_attempt_that_is_still_listed_is_stopped_again():
    scene = Scene()
    client = scene.state.clients["i-0"] = StopCounter()
    executor = scene.state.fleet["i-0"]
    executor.unknown_runs.add(ATTEMPT_KEY)
    stop_unknown_run = scene.scheduler.orders.stop_unknown_run
    period_s = scene.state.timing.stop_s + END_REPORT_DELAY_S
    assert not await returns_within(
        period_s * 2.5, stop_unknown_run, executor, *ATTEMPT_KEY
    )
    assert client.stops == 3
    executor.unknown_runs.clear()
    assert await returns_within(RETRY_PAUSE_S, stop_unknown_run, executor, *ATTEMPT_KEY)


# The task went on for ever once its executor was dropped from the fleet. An executor
# that answers no stops took no work for as long.
async def test_late_start_is_blocked_only_while_it_can_be_executed():
    scene = Scene()
    executor = scene.state.fleet["i-0"]
    shut_out = scene.scheduler.orders.shut_out
    executor.shutting_out.add(ATTEMPT_KEY)
    assert not await returns_within(LATE_ORDER_S, shut_out, executor, *ATTEMPT_KEY)
    limit_s = LATE_ORDER_S + 2 * RETRY_PAUSE_S
    assert await returns_within(limit_s, shut_out, executor, *ATTEMPT_KEY)
    assert not executor.shutting_out


# A start of the time before may reach an executor that was dropped and is back.
async def test_late_start_is_blocked_on_an_executor_that_returned():
    scene = Scene()
    executor = scene.state.fleet.pop("i-0")
    executor.shutting_out.add(ATTEMPT_KEY)
    client = StopCounter()
    async with anyio.create_task_group() as group:
        group.start_soon(scene.scheduler.orders.shut_out, executor, *ATTEMPT_KEY)
        await anyio.sleep(LATE_ORDER_S / 2)
        assert executor.shutting_out
        scene.state.clients["i-0"] = client
    assert client.stops == 1
    assert not executor.shutting_out


load_tests = make_load_tests(globals())
