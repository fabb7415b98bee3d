"""What the owner learns from the ends and the progress of attempts.

Guards against run times that are no evidence of an executor's speed: of attempts that
an earlier owner started, of attempts that began at a checkpoint, of gangs that wait for
their members.
"""

from types import SimpleNamespace

import anyio

from gypsumring.cell.observation import RunObserver
from gypsumring.dispatch.tests.fleets import make_executor, make_step
from gypsumring.fleet import FleetKnowledge
from gypsumring.fleet.runtimes import Evidence
from gypsumring.pipelines import JobTable
from gypsumring.utils.testing import make_load_tests


def make_observer():
    """Return an observer that learns without a cell."""
    return RunObserver(SimpleNamespace(knowledge=FleetKnowledge()))


def place(step, executor):
    """Place the first task of a step now."""
    run = JobTable().place(step, 0, 1, executor.executor_id, anyio.current_time())
    executor.add_run(run)
    return run


def count_samples(observer, step, evidence):
    """Return the number of samples of a step's kind of work."""
    window = observer.state.knowledge.runtimes.window(step.kind, evidence)
    return len(window.samples)


async def test_end_and_progress_are_learned():
    observer, executor = make_observer(), make_executor("i-0")
    step = make_step(task_count=1, estimated_ms=1000)
    run = place(step, executor)
    observer.record_progress(run, 10.0, 5_000)
    await anyio.sleep(2.0)
    observer.record_progress(run, 60.0, 6_000)
    observer.record_progress(run, 100.0, 9_000)
    observer.record_done(executor, run)
    runtimes = observer.state.knowledge.runtimes
    for evidence in (Evidence.END, Evidence.PROGRESS):
        assert abs(runtimes.window(step.kind, evidence).center - 0.693) < 0.01


async def test_partial_run_times_are_not_learned():
    observer, executor = make_observer(), make_executor("i-0")
    resumed = make_step(task_count=1, checkpointing=True)
    resumed.save_checkpoint(0, "half")
    inherited = make_step(task_count=1)
    run = place(inherited, executor)
    run.has_full_time = False
    for step, each in ((resumed, place(resumed, executor)), (inherited, run)):
        observer.record_done(executor, each)
        assert count_samples(observer, step, Evidence.END) == 0


async def test_gangs_and_filling_tasks_are_not_learned():
    observer, executor = make_observer(), make_executor("i-0")
    for fields in ({"gang": True}, {"fills": True}, {"long_running": True}):
        step = make_step(task_count=2, **fields)
        observer.record_done(executor, place(step, executor))
        assert count_samples(observer, step, Evidence.END) == 0


load_tests = make_load_tests(globals())
