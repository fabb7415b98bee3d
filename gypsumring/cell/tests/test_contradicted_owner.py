"""An owner with votes beside a later owner that the store confirms.

The votes let the earlier owner go on with what it runs. They do not show what the later
one has done on executors that it reached.
"""

from unittest import mock

import anyio

from gypsumring.cell import authority as authority_module
from gypsumring.cell.messages import Outcome
from gypsumring.cell.state import CellTiming
from gypsumring.cell.tests.test_executor_polling import ScriptedExecutor, running_poller
from gypsumring.cell.tests.test_isolated_owner import (
    cluster_with_long_tasks,
    drain_busy_executors,
    find_executor,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.peers import Partition
from stand_ins.platform.world import TaskBehaviour, steady_behaviour

JOB = "a" * 16


class RecordingExecutor(ScriptedExecutor):
    """Executor that records the ends of leases that it is asked for."""

    __slots__ = ("asked",)

    def __init__(self):
        super().__init__()
        self.asked: list[int | None] = []

    async def hold(self, fence, last_seen, lease_until_ms, wait_s, deadline):
        """Record the end of the lease."""
        self.asked.append(lease_until_ms)
        return await super().hold(fence, last_seen, lease_until_ms, wait_s, deadline)


LEASE_S = 5.0
MAX_EXTENSION_DELAY_S = 1.0


def split_nodes(cluster: MemoryCluster, cut_off: set[str], reached: set[str]) -> None:
    """Cut some nodes off from the store and the others; they reach ``reached``."""
    cluster.peers.begin(Partition(cut_off, reached))


def move_executor(cluster: MemoryCluster, name: str) -> None:
    """Let only the nodes that are cut off reach an executor from now on."""
    for partition in cluster.peers.partitions:
        partition.reached.add(name)


async def owner_on(cluster: MemoryCluster, names: set[str]):
    """Wait until one of some nodes owns the cell and return it."""
    while True:
        for name in names:
            if cluster.nodes[name].owner() is not None:
                return cluster.nodes[name]
        await anyio.sleep(0.05)


# An executor that starts again has forgotten the fence number of the next owner. The
# earlier one, with its votes, took the task for lost at once and started it again,
# although the next owner had noted its end.
async def test_restarted_executor_does_not_let_an_earlier_owner_repeat_a_done_task():
    def behave(task: str, attempt: int) -> TaskBehaviour:
        return TaskBehaviour(5.0 if attempt == 1 else 20.0)

    # Votes alone have to suffice for as long as the tasks take.
    with mock.patch.object(authority_module, "MAX_UNCONFIRMED_S", 60.0):
        async with running_cluster(
            behave, nodes=5, executors=6, cpu_millis=2000
        ) as cluster:
            await repeat_done_task(cluster)


async def repeat_done_task(cluster: MemoryCluster) -> None:
    """Let an executor restart within reach of the earlier owner after a task's end."""
    step = StepSpec(task_count=5, cpu_millis=2000, estimated_ms=5_000)
    assert await cluster.submit(make_job(JOB, step)) is Outcome.OK
    await anyio.sleep(0.5)
    await drain_busy_executors(cluster)
    old = cluster.owner_node()
    others = [name for name in cluster.nodes if name != old.name]
    cut_off = {old.name, *others[:3]}
    idle = next(n for n, m in cluster.executors.items() if not m.runs)
    busy = next(n for n, m in cluster.executors.items() if m.runs)
    split_nodes(cluster, cut_off, {idle})
    await owner_on(cluster, set(others[3:]))
    await anyio.sleep(6.0)
    assert old.owner() is not None
    assert old.owner().authority.may_extend_leases(anyio.current_time())
    assert cluster.world.done, "the next owner has noted the ends"
    cluster.executors[busy].crash()
    move_executor(cluster, busy)
    await anyio.sleep(0.2)
    cluster.executors[busy].start_incarnation()
    await anyio.sleep(3.0)


# Whether leases may be extended, and until when, were two readings of the clock: a
# process that was paused between them extended the lease by the length of the pause.
async def test_pause_between_check_and_extension_does_not_prolong_a_lease():
    client = RecordingExecutor()
    asked = client.asked
    async with running_poller(client) as state:
        await anyio.sleep(1.0)
        paused_s = 0.0
        clock = state.clock
        state.clock = lambda: clock() + paused_s
        state.authority.clock = state.clock
        may_extend_leases = type(state.authority).may_extend_leases

        class PausedAuthority:
            """Authority whose process is paused once, after a check."""

            def __getattr__(self, name):
                return getattr(authority, name)

            def may_extend_leases(self, now):
                nonlocal paused_s
                allowed = may_extend_leases(authority, now)
                if allowed and not paused_s:
                    paused_s = 10.0
                return allowed

        authority, state.authority = state.authority, PausedAuthority()
        asked.clear()
        executor = state.fleet["i-0"]
        before_ms = executor.min_clock_ms(state.clock())
        while not any(asked):
            await anyio.sleep(0.01)
        limit_ms = before_ms + (LEASE_S + MAX_EXTENSION_DELAY_S + 1.0) * 1000
        latest = max(value for value in asked if value)
        assert latest <= limit_ms, (latest, limit_ms)


# An owner whose settings changed asked for longer leases than the log said. The next
# owner waited for the shorter ones.
async def test_longer_leases_after_a_reload_are_recorded():
    async with cluster_with_long_tasks() as cluster:
        reached = find_executor(cluster, has_tasks=True)
        owner = cluster.owner_node().owner()
        owner.apply_timing(CellTiming(10.0, 0.9, 120.0, 9.0, 3.0))
        await anyio.sleep(2.0)
        rejoin = cluster.isolate(cluster.owner_node().name, {reached})
        await anyio.sleep(14.0)
        rejoin()


# Guards against withheld tasks that wait for ever because voters are lost for good
# together with an executor.
async def test_withheld_tasks_start_after_the_loss_of_most_voters():
    step = StepSpec(task_count=12, cpu_millis=2000, estimated_ms=1_000)
    for nodes, left in ((2, 1), (3, 1), (4, 2), (5, 2), (7, 2)):
        async with running_cluster(
            steady_behaviour(3.0), nodes=nodes, cpu_millis=4000
        ) as cluster:
            assert await cluster.submit(make_job(JOB, step)) is Outcome.OK
            await anyio.sleep(1.0)
            owner = cluster.owner_node()
            others = [node for node in cluster.nodes.values() if node is not owner]
            for node in [owner, *others[left:]]:
                node.kill()
            lost = next(m for m in cluster.executors.values() if m.runs)
            cluster.remove_executor(lost)
            phase = await cluster.wait_final(JOB, 120.0)
            assert phase is JobPhase.COMPLETED, nodes


load_tests = make_load_tests(globals())
