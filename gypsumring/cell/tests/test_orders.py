"""Orders whose answers are lost."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import World, steady_behaviour

# A start whose answer is lost is confirmed again within this time, in seconds.
REPEATED_S = 0.25


async def test_start_without_an_answer_is_repeated_before_a_short_task_is_late():
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
        began = anyio.current_time()
        while not world.starts:
            await anyio.sleep(0.01)
        assert anyio.current_time() - began < REPEATED_S
        group.cancel_scope.cancel()


load_tests = make_load_tests(globals())
