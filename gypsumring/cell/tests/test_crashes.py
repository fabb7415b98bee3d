"""Tasks that crash the executors on which they run."""

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_log_lines import captured_lines, find_lines
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.cli.tracing import mentions_job
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import ExecutorModel, Trouble
from stand_ins.platform.world import deadly_behaviour, steady_behaviour

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


# Guards against a job shown as failed whose log lines don't say why: the command line
# shows the lines that name the job or one of its tasks.
async def test_log_lines_of_a_job_say_why_it_was_given_up():
    behave = deadly_behaviour(3.0, {DEADLY_TASK: 1.0})
    with captured_lines() as lines:
        async with running_cluster(behave) as cluster:
            await submit(cluster, DEADLY_JOB, SINGLE)
            assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
    crashes = find_lines(lines, "executor has crashed")
    assert len(crashes) == 2
    assert all(mentions_job(crash, DEADLY_JOB) for crash in crashes)
    (given_up,) = find_lines(lines, "job given up")
    assert mentions_job(given_up, DEADLY_JOB)
    assert given_up["task"] == DEADLY_TASK
    assert given_up["reason"] == "executors crash while the task runs"
    assert given_up["crashed"] == [crash["executor"] for crash in crashes]


# Guards against endless crashes by a task that works for a while: its starts are
# answered and its attempts are listed.
async def test_task_that_crashes_executors_after_a_while_is_given_up():
    behave = deadly_behaviour(6.0, {DEADLY_TASK: 3.0})
    async with running_cluster(behave) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert cluster.world.crashes[DEADLY_TASK] >= 2


# Guards against a job given up because a task of it ran beside the deadly one. The
# other tasks have to end, although the deadly one first starts among them.
async def test_tasks_beside_a_deadly_one_complete():
    behave = deadly_behaviour(4.0, {DEADLY_TASK: 1.5})
    async with running_cluster(behave) as cluster:
        await submit(cluster, OTHER_JOB, BATCH)
        await submit(cluster, DEADLY_JOB, SINGLE)
        await submit(cluster, "b" * 16, BATCH)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED
        assert await cluster.wait_final("b" * 16) is JobPhase.COMPLETED
        assert cluster.metrics.counters["cell.jobs.given_up"] == 1


# Guards against the same with two deadly tasks, each beside the other at first: a crash
# with two suspects on the executor names neither.
async def test_two_deadly_tasks_are_told_apart_from_the_others():
    tasks = {DEADLY_TASK: 1.5, f"{'e' * 16}.0.0.0": 0.5}
    async with running_cluster(deadly_behaviour(3.0, tasks)) as cluster:
        await submit(cluster, OTHER_JOB, BATCH)
        await submit(cluster, DEADLY_JOB, SINGLE)
        await submit(cluster, "e" * 16, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert await cluster.wait_final("e" * 16) is JobPhase.FAILED
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED
        assert cluster.metrics.counters["cell.jobs.given_up"] == 2


# Guards against crashes that are counted for a job and not for its task.
async def test_job_with_one_deadly_task_of_several_is_given_up():
    behave = deadly_behaviour(2.0, {f"{DEADLY_JOB}.0.0.5": 0.3})
    async with running_cluster(behave) as cluster:
        await submit(cluster, DEADLY_JOB, BATCH)
        await submit(cluster, OTHER_JOB, BATCH)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED


# Guards against a crash that is counted against all members of a gang: only those on
# the executor can have caused it.
async def test_crash_counts_against_the_gang_members_on_the_executor():
    behave = deadly_behaviour(4.0, {f"{DEADLY_JOB}.0.0.2": 1.0})
    gang = StepSpec(task_count=4, cpu_millis=5000, estimated_ms=4000, gang=True)
    async with running_cluster(behave, executors=6) as cluster:
        await submit(cluster, DEADLY_JOB, gang)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        (step,) = cluster.owner_node().owner().state.table.jobs[DEADLY_JOB].steps
        assert set(step.suspects) == {2}


# Guards against a count that is lost when the owner's machine dies with the executor.
# The next owner can't know what ran there in the first crash; later it can.
async def test_crashes_are_counted_when_the_owner_dies_with_the_executor():
    behave = deadly_behaviour(3.0, {DEADLY_TASK: 1.0})
    async with running_cluster(behave, nodes=3) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        while cluster.world.starts.get(DEADLY_TASK, 0) < 2:
            await anyio.sleep(0.02)
        seen = 1
        with anyio.fail_after(120.0):
            while cluster.phase(DEADLY_JOB) is not JobPhase.FAILED:
                await anyio.sleep(0.02)
                crashes = cluster.world.crashes.get(DEADLY_TASK, 0)
                if crashes > seen:
                    seen = crashes
                    await replace_owner(cluster)
        assert 2 <= cluster.world.crashes[DEADLY_TASK] <= 5


# Guards against a task that crashes executors for ever, since no owner outlives its
# crashes. The first one leaves no trace; later starts are recorded for the next owner.
async def test_task_is_given_up_though_no_owner_outlives_its_crashes():
    behave = deadly_behaviour(3.0, {DEADLY_TASK: 1.0})
    async with running_cluster(behave, nodes=3) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        seen = 0
        with anyio.fail_after(120.0):
            while cluster.phase(DEADLY_JOB) is not JobPhase.FAILED:
                await anyio.sleep(0.02)
                crashes = cluster.world.crashes.get(DEADLY_TASK, 0)
                if crashes > seen:
                    seen = crashes
                    await replace_owner(cluster)
        assert 2 <= cluster.world.crashes[DEADLY_TASK] <= 5
        assert cluster.metrics.counters["cell.starts.watched"] >= 1


# Guards against records for each start after each takeover: they would delay all work
# that waits, and take the link.
async def test_starts_after_a_calm_takeover_are_not_recorded():
    async with running_cluster(steady_behaviour(1.0), nodes=3) as cluster:
        wide = StepSpec(task_count=16, cpu_millis=8000, estimated_ms=1000)
        await submit(cluster, OTHER_JOB, wide)
        await anyio.sleep(1.5)
        await replace_owner(cluster)
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED
        assert cluster.metrics.counters["cell.starts.watched"] == 0
        assert cluster.metrics.counters["cell.tasks.suspected"] == 0


async def replace_owner(cluster: MemoryCluster) -> None:
    """Kill the owner's node and start it again."""
    node = cluster.owner_node()
    if node is not None:
        node.kill()
        cluster.add_node(node.name)
    while cluster.owner_node() is None:
        await anyio.sleep(0.02)


# Guards against a crash that no owner counts: the owner that has started a suspect
# dies, the executor does not answer the next one, and the next start replaced the
# placement.
async def test_suspect_on_an_executor_that_is_silent_after_the_takeover_may_crash_it():
    behave = deadly_behaviour(3.0, {DEADLY_TASK: 1.0})
    async with running_cluster(behave, nodes=3) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        await wait_for_starts(cluster, 2)
        cluster.restart_s = 60.0
        while cluster.world.crashes[DEADLY_TASK] < 2:
            await anyio.sleep(0.02)
        (silent,) = [name for name, each in cluster.executors.items() if not each.is_up]
        await replace_owner(cluster)
        await wait_for_starts(cluster, 3)
        assert silent in list_crashed(cluster)


# Guards against an executor that is taken for a crashed one for good: it has only not
# answered since the takeover.
async def test_suspect_on_an_executor_that_answers_late_has_not_crashed_it():
    async with running_cluster(steady_behaviour(20.0), nodes=3) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        await anyio.sleep(0.5)
        await crash_and_return(cluster, find_busy(cluster))
        await wait_for_starts(cluster, 2)
        silent = find_busy(cluster)
        silent.trouble = Trouble.SILENT
        await replace_owner(cluster)
        await wait_for_starts(cluster, 3)
        assert silent.executor_id in list_crashed(cluster)
        silent.trouble = Trouble.NONE
        await anyio.sleep(3.0)
        assert silent.executor_id not in list_crashed(cluster)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.COMPLETED


async def wait_for_starts(cluster: MemoryCluster, count: int) -> None:
    """Wait until the deadly task has been started so many times."""
    with anyio.fail_after(60.0):
        while cluster.world.starts.get(DEADLY_TASK, 0) < count:
            await anyio.sleep(0.02)


def find_busy(cluster: MemoryCluster) -> ExecutorModel:
    """Return the executor that runs the only task."""
    (model,) = [model for model in cluster.executors.values() if model.runs]
    return model


async def crash_and_return(cluster: MemoryCluster, model: ExecutorModel) -> None:
    """Crash an executor, which starts again."""
    model.crash()
    await anyio.sleep(1.0)
    model.start_incarnation()
    cluster.register(model)


def list_crashed(cluster: MemoryCluster) -> list[str]:
    """Return the executors whose crashes count for the deadly task."""
    table = cluster.owner_node().owner().state.table
    (suspect,) = [suspect for _, _, suspect in table.crashes.list_suspects()]
    return [crash.executor_id for crash in suspect.crashes]


# Guards against a crash that is forgotten when the owner dies later.
async def test_counts_outlive_the_owner():
    behave = deadly_behaviour(3.0, {DEADLY_TASK: 1.0})
    async with running_cluster(behave, nodes=3) as cluster:
        await submit(cluster, DEADLY_JOB, SINGLE)
        while DEADLY_JOB not in list_suspect_jobs(cluster):
            await anyio.sleep(0.05)
        await anyio.sleep(0.3)
        await replace_owner(cluster)
        assert DEADLY_JOB in list_suspect_jobs(cluster)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED


def list_suspect_jobs(cluster: MemoryCluster) -> set[str]:
    """Return the jobs with a task under which an executor has crashed."""
    table = cluster.owner_node().owner().state.table
    return {step.job.spec.job_id for step, _, _ in table.crashes.list_suspects()}


# Guards against an executor that does not answer and is taken for a crashed one: it is
# the same incarnation when it answers again.
async def test_executor_that_is_cut_off_has_not_crashed():
    async with running_cluster(steady_behaviour(15.0)) as cluster:
        await submit(cluster, OTHER_JOB, SINGLE)
        await anyio.sleep(1.0)
        (name,) = [name for name, each in cluster.executors.items() if each.runs]
        for _ in range(3):
            cluster.owner_node().faults.cut_executors.add(name)
            await anyio.sleep(7.0)
            cluster.owner_node().faults.cut_executors.discard(name)
            await anyio.sleep(2.0)
        assert list_suspect_jobs(cluster) == set()
        assert cluster.metrics.counters["cell.executors.crashed"] == 0
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED


# Guards against a job given up because two executors in turn do not answer while its
# task runs there.
async def test_task_of_executors_that_are_cut_off_is_not_given_up():
    async with running_cluster(steady_behaviour(9.0)) as cluster:
        await submit(cluster, OTHER_JOB, SINGLE)
        for count in (1, 2, 3):
            with anyio.fail_after(30.0):
                while cluster.world.starts.get(f"{OTHER_JOB}.0.0.0", 0) < count:
                    await anyio.sleep(0.1)
            (name,) = [name for name, each in cluster.executors.items() if each.runs]
            cluster.owner_node().faults.cut_executors.add(name)
            await anyio.sleep(7.0)
        assert cluster.phase(OTHER_JOB) is JobPhase.RUNNING
        cluster.owner_node().faults.cut_executors.clear()
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED


# Guards against an unanswered start that is sent again to the next incarnation of the
# executor: each copy crashes it again, without a new attempt.
async def test_unanswered_start_is_not_sent_to_the_next_incarnation():
    behave = deadly_behaviour(1.0, {DEADLY_TASK: 0.0})
    async with running_cluster(behave) as cluster:
        cluster.restart_s = 0.8
        await submit(cluster, DEADLY_JOB, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert cluster.world.crashes[DEADLY_TASK] <= 3


# Guards against a planned shutdown that is taken for a crash.
async def test_executor_that_drains_and_leaves_has_not_crashed():
    async with running_cluster(steady_behaviour(8.0)) as cluster:
        await submit(cluster, OTHER_JOB, SINGLE)
        await anyio.sleep(1.0)
        (model,) = [each for each in cluster.executors.values() if each.runs]
        cluster.register(model, draining=True)
        await anyio.sleep(1.0)
        cluster.remove_executor(model)
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED
        assert cluster.metrics.counters["cell.tasks.suspected"] == 0


# Guards against crashes that are counted only when the executor comes back.
async def test_executor_that_is_gone_for_good_has_crashed():
    behave = deadly_behaviour(1.0, {DEADLY_TASK: 0.0})
    async with running_cluster(behave, executors=8) as cluster:
        cluster.world.schedule_crash = lambda model, run, after_s: (
            cluster.remove_executor(model)
        )
        await submit(cluster, DEADLY_JOB, SINGLE)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED
        assert cluster.world.crashes[DEADLY_TASK] <= 3


# Guards against a start before the crash is in the store: an owner that dies then would
# leave no trace of it.
async def test_task_is_not_started_again_before_its_crash_is_durable():
    async with running_cluster(steady_behaviour(5.0), nodes=1) as cluster:
        await submit(cluster, OTHER_JOB, SINGLE)
        await anyio.sleep(1.0)
        (model,) = [each for each in cluster.executors.values() if each.runs]
        cluster.owner_node().faults.store_away = True
        model.crash()
        await anyio.sleep(1.0)
        model.start_incarnation()
        await anyio.sleep(4.0)
        assert cluster.metrics.counters["cell.tasks.suspected"] == 1
        assert cluster.world.starts[f"{OTHER_JOB}.0.0.0"] == 1
        cluster.owner_node().faults.store_away = False
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED


# Guards against jobs given up after two losses of a rack, in which each task ran alone
# on its executor.
async def test_crashes_of_many_executors_at_once_give_up_no_job():
    async with running_cluster(steady_behaviour(9.0), executors=6) as cluster:
        wide = StepSpec(task_count=6, cpu_millis=8000, estimated_ms=9000)
        await submit(cluster, OTHER_JOB, wide)
        for _ in range(2):
            while not all(model.runs for model in cluster.executors.values()):
                await anyio.sleep(0.1)
            await anyio.sleep(2.0)
            for model in cluster.executors.values():
                model.crash()
            await anyio.sleep(2.0)
            for model in cluster.executors.values():
                model.start_incarnation()
                cluster.register(model)
        assert await cluster.wait_final(OTHER_JOB) is JobPhase.COMPLETED
        assert set(cluster.world.crashes.values()) == {2}


# Guards against tasks that last: they have no limit of failures, but crash executors
# like others.
async def test_deadly_task_that_lasts_is_given_up():
    behave = deadly_behaviour(float("inf"), {DEADLY_TASK: 2.0})
    async with running_cluster(behave) as cluster:
        lasting = StepSpec(task_count=1, cpu_millis=1000, long_running=True)
        await submit(cluster, DEADLY_JOB, lasting)
        assert await cluster.wait_final(DEADLY_JOB) is JobPhase.FAILED


load_tests = make_load_tests(globals())
