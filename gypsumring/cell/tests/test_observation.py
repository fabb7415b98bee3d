"""What the owner learns from the ends and the progress of attempts.

Guards against run times that are no evidence of an executor's speed (of attempts that
an earlier owner started, of attempts that began at a checkpoint, of gangs that wait for
their members), and against neighbours that are missed since they ended earlier.
"""

import itertools
import math
import random
from types import SimpleNamespace

import anyio

from gypsumring.cell.observation import (
    RunObserver,
    find_neighbours,
    measure_knowledge,
    review_knowledge,
)
from gypsumring.dispatch.tests.fleets import make_executor, make_step
from gypsumring.fleet import FleetKnowledge
from gypsumring.fleet.interference import HALF_LIFE_S, Neighbour
from gypsumring.fleet.runtimes import Evidence
from gypsumring.metrics import Metrics
from gypsumring.pipelines import JobTable, RunState
from gypsumring.utils.testing import make_load_tests

JOB_NUMBERS = itertools.count()


def make_observer():
    """Return an observer that learns without a cell."""
    return RunObserver(SimpleNamespace(knowledge=FleetKnowledge()))


def make_own_step(**fields):
    """Return a step of a job of its own."""
    return make_step(f"{next(JOB_NUMBERS):016x}", **fields)


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
    step = make_own_step(task_count=1, estimated_ms=1000)
    run = place(step, executor)
    observer.record_listed(executor, run, 10.0, 5_000)
    await anyio.sleep(2.0)
    observer.record_listed(executor, run, 60.0, 6_000)
    observer.record_listed(executor, run, 100.0, 9_000)
    observer.record_ended(executor, run, True)
    runtimes = observer.state.knowledge.runtimes
    for evidence in (Evidence.END, Evidence.PROGRESS):
        assert abs(runtimes.window(step.kind, evidence).center - 0.693) < 0.01


async def test_partial_run_times_are_not_learned():
    observer, executor = make_observer(), make_executor("i-0")
    resumed = make_own_step(task_count=1, checkpointing=True)
    resumed.save_checkpoint(0, "half")
    inherited = make_own_step(task_count=1)
    run = place(inherited, executor)
    run.has_full_time = False
    for step, each in ((resumed, place(resumed, executor)), (inherited, run)):
        observer.record_ended(executor, each, True)
        assert count_samples(observer, step, Evidence.END) == 0


async def test_gangs_and_filling_tasks_are_not_learned():
    observer, executor = make_observer(), make_executor("i-0")
    for fields in ({"gang": True}, {"fills": True}, {"long_running": True}):
        step = make_own_step(task_count=2, **fields)
        observer.record_ended(executor, place(step, executor), True)
        assert count_samples(observer, step, Evidence.END) == 0


async def test_neighbours_count_by_the_time_that_they_ran_beside_an_attempt():
    observer, executor = make_observer(), make_executor("i-0")
    early, late = (make_own_step(task_count=1, image=image) for image in ("e", "l"))
    first = place(early, executor)
    await anyio.sleep(1.0)
    run = place(make_own_step(task_count=1), executor)
    await anyio.sleep(1.0)
    executor.remove_run(first)
    observer.record_ended(executor, first, False)
    await anyio.sleep(2.0)
    filling = place(late, executor)
    filling.pace = 50
    await anyio.sleep(1.0)
    neighbours = find_neighbours(executor, run, run.started_at, anyio.current_time())
    shares = {kind.image: neighbour.share for kind, neighbour in neighbours.items()}
    assert shares == {"e": 0.25, "l": 0.125}


async def test_tail_latency_of_serving_tasks_shows_filling_neighbours_that_disturb():
    # Pattern: filling tasks of one image double the tail of serving tasks beside them.
    observer, executors = make_observer(), [make_executor(f"i-{n}") for n in range(8)]
    knowledge = observer.state.knowledge
    source = random.Random(1)
    fields = {"long_running": True, "latency_target_ms": 100, "image": "serve"}
    runs = []
    for number, executor in enumerate(executors):
        run = place(make_own_step(task_count=1, **fields), executor)
        run.state = RunState.RUNNING
        runs.append(run)
        image = "noisy" if number % 2 else "quiet"
        place(make_own_step(task_count=1, fills=True, image=image), executor)
    for _ in range(200):
        await anyio.sleep(1.0)
        for number, (executor, run) in enumerate(zip(executors, runs, strict=True)):
            factor = 2.0 if number % 2 else 1.0
            run.load = 40 * factor * math.exp(source.gauss(0, 0.3))
            observer.record_listed(executor, run, 100.0, 0)
        knowledge.interference.review(anyio.current_time())
    effects = knowledge.interference.effects
    assert {
        (kind.image, other.image)
        for kind, others in effects.items()
        for other in others
    } == {("serve", "noisy")}
    assert all(executor.profile.slowness == 1.0 for executor in executors)


async def test_found_and_forgotten_pairs_are_counted_and_shown():
    state = SimpleNamespace(
        knowledge=FleetKnowledge(),
        metrics=Metrics(),
        fleet={"i-0": make_executor("i-0")},
    )
    slowed, neighbour = (make_own_step(image=image).kind for image in ("s", "n"))
    for number in range(80):
        beside = {neighbour: Neighbour(1.0)} if number % 2 else {}
        effect = 0.5 * (number % 2)
        state.knowledge.interference.record(slowed, effect, beside, 0.1, 0.0)
    review_knowledge(state, 1.0)
    review_knowledge(state, 1.5)
    gauges = measure_knowledge(state)
    assert gauges["cell.interference.pairs"] == 1
    assert gauges["cell.speed.min"] == gauges["cell.speed.median"] == 1.0
    for period in range(1, 13):
        review_knowledge(state, 1.0 + period * HALF_LIFE_S)
    assert measure_knowledge(state)["cell.interference.pairs"] == 0
    assert state.metrics.counters["cell.interference.found"] == 1
    assert state.metrics.counters["cell.interference.forgotten"] == 1


async def test_new_life_of_an_executor_begins_with_a_doubt():
    executor = make_executor("i-0")
    for _ in range(30):
        executor.profile.add(0.8, 20.0)
    slow = executor.profile.slowness
    executor.start_incarnation(2, 0)
    assert not executor.profile.samples
    assert 1.0 < executor.profile.slowness < slow


load_tests = make_load_tests(globals())
