"""Executors that have left get no work, also under a new owner of the cell."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import BATCH, running_cluster
from gypsumring.pipelines import JobPhase
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.memory import ENTRIES_TOPIC


async def restart_all(cluster) -> None:
    """Kill all nodes and start them again."""
    await cluster.restart_nodes(sorted(cluster.nodes), 0.0)
    while cluster.owner_node() is None:
        await anyio.sleep(0.05)


async def test_executor_that_left_while_no_node_ran_takes_no_work():
    # The cell still has a record of the executor, but its directory entry was removed.
    async with running_cluster(executors=3) as cluster:
        await anyio.sleep(1.0)
        names = sorted(cluster.nodes)
        for name in names:
            cluster.nodes[name].kill()
        cluster.store.append(ENTRIES_TOPIC, 0, [("i-0", b"")], None)
        for name in names:
            cluster.add_node(name)
        assert await cluster.submit(make_job("a" * 16, BATCH), 5.0) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert not cluster.executors["i-0"].highest
        assert cluster.executors["i-1"].highest


async def test_draining_executor_takes_no_work_after_a_restart():
    async with running_cluster(executors=2) as cluster:
        await anyio.sleep(1.0)
        cluster.register(cluster.executors["i-0"], draining=True)
        await restart_all(cluster)
        assert await cluster.submit(make_job("a" * 16, BATCH), 5.0) is Outcome.OK
        await anyio.sleep(0.6)
        assert not cluster.executors["i-0"].highest
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


load_tests = make_load_tests(globals())
