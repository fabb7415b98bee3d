"""Tasks that crash the executors on which they run."""

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import deadly_behaviour

DEADLY_JOB = "d" * 16
OTHER_JOB = "a" * 16
DEADLY_TASK = f"{DEADLY_JOB}.0.0.0"
SINGLE = StepSpec(task_count=1, cpu_millis=1000, estimated_ms=1000)
BATCH = StepSpec(task_count=8, cpu_millis=1000, estimated_ms=1000)


async def submit(cluster: MemoryCluster, job_id: str, *steps: StepSpec) -> None:
    """Submit a job that is accepted."""
    assert await cluster.submit(make_job(job_id, *steps)) is Outcome.OK


# Guards against a task that crashes one executor after the other for ever: its start is
# never answered, so that no attempt of it ends as failed.
async def test_task_that_crashes_executors_at_its_start_is_given_up():
    behave = deadly_behaviour(1.0, {DEADLY_TASK: 0.0})
    async with running_cluster(behave) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert cluster.world.crashes[DEADLY_TASK] >= 2


# Guards against the same with a task that works for a while, so that its starts are
# answered and its attempts are listed.
async def test_task_that_crashes_executors_after_a_while_is_given_up():
    behave = deadly_behaviour(6.0, {DEADLY_TASK: 3.0})
    async with running_cluster(behave) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert cluster.world.crashes[DEADLY_TASK] >= 2


load_tests = make_load_tests(globals())
