"""Executors that start again under their id at another address."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.state import EXECUTOR_KEY
from gypsumring.cell.tests.test_executor_polling import (
    ScriptedExecutor,
    running_poller,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.ports.tasks import ExecutorGone
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.world import steady_behaviour

LONG_STEP = StepSpec(task_count=8, cpu_millis=2000, estimated_ms=10_000)
OTHER_ADDRESS = "memory:2"
# By then a restarted executor takes as much work as the others.
SETTLE_S = 15.0


async def move(cluster: MemoryCluster, *executor_ids: str) -> None:
    """Restart executors at another address."""
    for executor_id in executor_ids:
        cluster.executors[executor_id].crash()
    await anyio.sleep(2.0)
    for executor_id in executor_ids:
        cluster.addresses[executor_id] = OTHER_ADDRESS
        cluster.executors[executor_id].start_incarnation()
        cluster.register(cluster.executors[executor_id])


def count_copies(cluster: MemoryCluster) -> int:
    """Return the number of starts beyond the first one of each task."""
    return sum(count - 1 for count in cluster.world.starts.values())


# A new owner polled the recorded address of an executor that had moved, took the answer
# of another one there for the end of its tasks and started them again: TWICE.
async def test_tasks_of_a_moved_executor_are_not_repeated_after_a_takeover():
    async with running_cluster(steady_behaviour(10.0), nodes=3, executors=4) as cluster:
        await anyio.sleep(1.0)
        await move(cluster, "i-0", "i-1")
        await anyio.sleep(SETTLE_S)
        assert await cluster.submit(make_job("a" * 16, LONG_STEP)) is Outcome.OK
        await anyio.sleep(2.0)
        assert cluster.executors["i-0"].runs and cluster.executors["i-1"].runs
        cluster.owner_node().kill()
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert count_copies(cluster) == 0


# The directory may lack the entry of an executor that runs on, so that the record of
# its address is all that the next owner knows.
async def test_moved_executor_takes_work_only_once_its_address_is_recorded():
    async with running_cluster(steady_behaviour(10.0), nodes=2, executors=1) as cluster:
        await anyio.sleep(1.0)
        node = cluster.owner_node()
        await move(cluster, "i-0")
        await anyio.sleep(SETTLE_S)
        assert await cluster.submit(make_job("a" * 16, LONG_STEP)) is Outcome.OK
        await anyio.sleep(2.0)
        assert cluster.executors["i-0"].runs
        records, _ = cluster.store.newest(CELL_TOPIC, node.membership.cell)
        (value,) = [
            record.value for record in records if record.key == EXECUTOR_KEY + "i-0"
        ]
        assert OTHER_ADDRESS.encode() in value


class GoneExecutor(ScriptedExecutor):
    """Executor in whose place another one answers long polls, after a time."""

    __slots__ = ()

    async def hold(self, fence, last_seen, lease_until_ms, wait_s, deadline):
        """Raise ExecutorGone."""
        await anyio.sleep(self.answer_s)
        raise ExecutorGone("i-0")


# An answer that was on its way while the owner learned the new address says nothing
# about the tasks that it has started there since.
async def test_late_answer_from_the_former_address_does_not_end_tasks_at_the_new_one():
    former = GoneExecutor()
    former.answer_s = 1.0
    async with running_poller(former) as state:
        state.entries_read_at = anyio.current_time()
        executor = state.fleet["i-0"]
        await anyio.sleep(0.2)
        # The poll of the former address is in flight.
        state.clients["i-0"] = ScriptedExecutor()
        await anyio.sleep(1.0)
        assert not executor.runs_were_released


# Records of earlier builds may name an address that the executor has left.
async def test_answer_of_another_executor_counts_only_once_the_entries_are_read():
    async with running_poller(GoneExecutor()) as state:
        executor = state.fleet["i-0"]
        await anyio.sleep(2.0)
        assert not executor.runs_were_released
        state.entries_read_at = anyio.current_time()
        await anyio.sleep(1.0)
        assert executor.runs_were_released


load_tests = make_load_tests(globals())
