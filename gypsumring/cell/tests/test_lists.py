"""Lists of executors that reach the owner late."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import StepSpec
from gypsumring.ports.tasks import ListedRun, TaskLists
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

LONG = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=60_000)


async def test_list_that_waited_for_a_paused_owner_is_no_sign_of_standing_still():
    # The owner froze for three seconds with answers of executors in its sockets. Their
    # percentages were those of before, and it stopped everything that ran.
    async with running_cluster(steady_behaviour(60.0), executors=1) as cluster:
        await anyio.sleep(0.5)
        assert await cluster.submit(make_job("a" * 16, LONG)) is Outcome.OK
        await anyio.sleep(4.0)
        owner = cluster.owner_node().owner()
        executor = owner.state.fleet["i-0"]
        ((key, run),) = executor.runs.items()
        requested_at = anyio.current_time() - 3.0
        run.progress_at = requested_at - 0.1
        clock_ms = executor.clock_at_least_ms(requested_at)
        listed = ListedRun(*key, "", run.percent, 0.0)
        lists = TaskLists(clock_ms, executor.born_ms, [listed], [])
        owner.attendant.lists.apply(executor, lists, requested_at)
        await anyio.sleep(0.3)
        assert cluster.metrics.counters["cell.attempts.stalled"] == 0
        assert key in executor.runs


load_tests = make_load_tests(globals())
