"""Starts that the network delivers late, to another incarnation of the executor."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.ports.tasks import ExecutorSilent, StartRefused, TaskStart
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.memory import ENTRIES_TOPIC, MemoryExecutor
from stand_ins.platform.world import TaskBehaviour

SHORT_JOB, LONG_JOB = "a" * 16, "b" * 16
SHORT_TASK = f"{SHORT_JOB}.0.0.0"
SINGLE = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=400)
# A late copy arrives so long after the first call that an incarnation has accepted.
LATE_S = 0.05


class DelayedStart:
    """First copy of the start of the short task, which is not answered."""

    __slots__ = ("fence", "model", "order")

    def __init__(self):
        self.order: TaskStart | None = None
        self.model: ExecutorModel | None = None
        self.fence = 0

    async def arrive(self) -> None:
        """Carry the copy out soon after an incarnation has accepted its first call."""
        while not self.model.fence:
            await anyio.sleep(0.001)
        await anyio.sleep(LATE_S)
        try:
            self.model.start(self.order, self.fence)
        except StartRefused:
            pass


def behave(task: str, attempt: int) -> TaskBehaviour:
    """Return short work for one job and long work for the other."""
    return TaskBehaviour(0.4 if task == SHORT_TASK else 30.0)


@contextmanager
def delayed_first_start() -> Iterator[DelayedStart]:
    """Keep the first copy of the start of the short task back."""
    delayed = DelayedStart()
    original = MemoryExecutor.start

    async def start(self, order, fence, deadline):
        if order.task == SHORT_TASK and delayed.order is None:
            delayed.order, delayed.fence = order, fence
            delayed.model = self.model
            await anyio.sleep(deadline - anyio.current_time())
            raise ExecutorSilent(self.model.executor_id)
        return await original(self, order, fence, deadline)

    MemoryExecutor.start = start
    try:
        yield delayed
    finally:
        MemoryExecutor.start = original


async def complete_short_task(cluster: MemoryCluster) -> None:
    """Run the short task to its end, with a long one beside it."""
    assert await cluster.submit(make_job(LONG_JOB, SINGLE)) is Outcome.OK
    await anyio.sleep(0.2)
    assert await cluster.submit(make_job(SHORT_JOB, SINGLE)) is Outcome.OK
    assert await cluster.wait_final(SHORT_JOB, 5.0) is JobPhase.COMPLETED
    assert cluster.world.starts[SHORT_TASK] == 1


# Guards against a second run of a task that is done. Only polls told which incarnation
# answers: after a crash, stops were answered by the next one up to 1.8 s before it was
# noticed, and a late copy of a start was blocked only then.
async def test_order_answered_by_the_next_incarnation_shows_that_it_has_started():
    for down_s in (2.0, 2.4, 2.8, 3.2, 3.6):
        with delayed_first_start() as delayed:
            async with running_cluster(behave, nodes=1, executors=1) as cluster:
                await complete_short_task(cluster)
                model = delayed.model
                model.crash()
                # The stops of the long task are repeated from now on.
                assert await cluster.cancel(LONG_JOB)
                await anyio.sleep(down_s)
                model.start_incarnation()
                await delayed.arrive()
                assert cluster.world.starts[SHORT_TASK] == 1, cluster.world.violations
                assert cluster.metrics.counters["cell.orders.answered_by_another"] <= 1


# Guards against a second run of a task that is done. A start that may still arrive was
# blocked at the next incarnation only, and not at the one after it.
async def test_late_start_is_blocked_at_each_incarnation():
    with delayed_first_start() as delayed:
        async with running_cluster(behave, nodes=1, executors=1) as cluster:
            await complete_short_task(cluster)
            model = delayed.model
            for _ in range(3):
                model.crash()
                await anyio.sleep(0.5)
                model.start_incarnation()
                cluster.register(model)
                await anyio.sleep(1.0)
            model.crash()
            await anyio.sleep(0.5)
            model.start_incarnation()
            await delayed.arrive()
            assert cluster.world.starts[SHORT_TASK] == 1, cluster.world.violations


# Guards against a second run of a task that is done: what may still arrive was
# forgotten once the entry of an executor had expired, and the executor returned.
async def test_late_start_is_blocked_at_an_executor_that_returns():
    with delayed_first_start() as delayed:
        async with running_cluster(behave, nodes=1, executors=2) as cluster:
            await complete_short_task(cluster)
            model = delayed.model
            state = cluster.owner_node().owner().state
            model.crash()
            cluster.store.append(ENTRIES_TOPIC, 0, [(model.executor_id, b"")], None)
            with anyio.fail_after(10.0):
                while model.executor_id in state.fleet:
                    await anyio.sleep(0.1)
            assert list(state.late_starts) == [model.executor_id]
            model.start_incarnation()
            cluster.register(model)
            await delayed.arrive()
            assert cluster.world.starts[SHORT_TASK] == 1, cluster.world.violations
            assert not state.late_starts


load_tests = make_load_tests(globals())
