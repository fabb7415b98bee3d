"""Takeovers after the loss of more voters than a takeover may miss, for good.

The pattern: the nodes are replaced at other addresses and under other names, and an
executor that runs tasks is lost with them.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.state import BOUNDED_KEY
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.world import steady_behaviour

JOB = "a" * 16
WORK_S = 3.0
REPLACED_AFTER_S = 4.0
# The users ask for the jobs this long after the traffic has ended.
FINISH_S = 14.0
STEP = StepSpec(task_count=12, cpu_millis=2000, estimated_ms=3_000)
# Longer than the longest membership and the first votes.
SETTLE_S = 6.0


@asynccontextmanager
async def cluster_with_tasks(nodes: int, executors: int) -> AsyncIterator:
    """Run a cluster whose executors all run tasks of one job."""
    behave = steady_behaviour(WORK_S)
    async with running_cluster(
        behave, nodes=nodes, executors=executors, cpu_millis=4000
    ) as cluster:
        await anyio.sleep(SETTLE_S)
        assert await cluster.submit(make_job(JOB, STEP)) is Outcome.OK
        await anyio.sleep(0.5)
        yield cluster


async def lose_nodes(cluster: MemoryCluster, survivors: int, gap_s: float) -> None:
    """Kill nodes for good, the owner first, and start others some seconds later."""
    owner = cluster.owner_node().name
    names = [owner, *(name for name in cluster.nodes if name != owner)]
    lost = names[: len(names) - survivors]
    for name in lost:
        cluster.nodes[name].kill()
        await anyio.sleep(gap_s)
    await anyio.sleep(REPLACED_AFTER_S)
    for name in lost:
        del cluster.nodes[name]
        cluster.add_node(f"r-{name}")


def lose_executors(cluster: MemoryCluster, count: int) -> None:
    """Remove executors that run tasks for good."""
    busy = [model for model in cluster.executors.values() if model.runs]
    for model in busy[:count]:
        cluster.remove_executor(model)


# A node that took over waited for ever for voters that were lost for good, and withheld
# the tasks of the executor that was lost with them.
async def test_job_completes_after_the_loss_of_most_nodes_and_an_executor():
    for nodes, survivors, lost, gap_s in (
        (9, 1, 1, 0.0),
        (7, 1, 2, 0.0),
        (7, 2, 1, 0.0),
        (9, 1, 1, 0.1),
        (3, 1, 1, 0.0),
        # None is left.
        (9, 0, 1, 0.0),
        (1, 0, 1, 0.0),
    ):
        case = (nodes, survivors, lost, gap_s)
        async with cluster_with_tasks(nodes, executors=8) as cluster:
            lose_executors(cluster, lost)
            await lose_nodes(cluster, survivors, gap_s)
            phase = await cluster.wait_final(JOB, FINISH_S + WORK_S)
            assert phase is JobPhase.COMPLETED, case


# A new owner that waits may be lost as well, and executors may come meanwhile.
async def test_job_completes_after_the_loss_of_two_owners_in_series():
    async with cluster_with_tasks(7, executors=8) as cluster:
        lose_executors(cluster, 1)
        await lose_nodes(cluster, 1, 0.0)
        await anyio.sleep(1.0)
        await lose_nodes(cluster, 1, 0.0)
        phase = await cluster.wait_final(JOB, FINISH_S + WORK_S)
        assert phase is JobPhase.COMPLETED


# An owner of a build that relied on votes for any time may still run the tasks.
async def test_owners_of_earlier_builds_are_not_outlasted():
    async with cluster_with_tasks(9, executors=8) as cluster:
        cluster.store.append(CELL_TOPIC, 0, [(BOUNDED_KEY, b"")], None)
        lose_executors(cluster, 1)
        await lose_nodes(cluster, 1, 0.0)
        await anyio.sleep(20.0)
        authority = cluster.owner_node().owner().authority
        assert not authority.is_exclusive
        assert cluster.phase(JOB) is JobPhase.RUNNING


load_tests = make_load_tests(globals())
