"""Placement of work that slows other work down.

Pattern: two kinds of work slow each other down on one executor. They are kept apart
where there is room; a step or a gang that only fits beside the other starts at once.
"""

from collections import Counter

from gypsumring.dispatch import place_step
from gypsumring.dispatch.tests.fleets import make_fleet, make_step
from gypsumring.pipelines import Run
from gypsumring.utils.testing import make_load_tests

VICTIM = {"job_id": "a" * 16, "image": "victim"}
CAUSE = {"job_id": "b" * 16, "image": "cause"}


def place(step, fleet, deprioritized=()):
    """Return the number of tasks placed on each executor."""
    placements = place_step(step, fleet, 3.0, 0.0, deprioritized)
    return Counter(placement.executor.executor_id for placement in placements)


def make_shared_fleet(count, effect=0.5, same_kind=False):
    """Return executors whose owner knows one pair, with a cause on the first one."""
    fleet = make_fleet(count)
    victim, cause = make_step(**VICTIM).kind, make_step(**CAUSE).kind
    knowledge = fleet[0].knowledge
    for executor in fleet:
        executor.knowledge = knowledge
    if same_kind:
        knowledge.interference.conflicts = {victim: {victim: effect}}
    else:
        knowledge.interference.conflicts = {
            victim: {cause: effect},
            cause: {victim: effect},
        }
    return fleet


def run_task(executor, **fields):
    """Add a running task to an executor."""
    step = make_step(task_count=1, **fields)
    executor.add_run(Run(step, 0, 1, executor.executor_id, 0.0))


def test_work_is_kept_from_its_neighbour_where_there_is_room():
    for fields, other in ((VICTIM, CAUSE), (CAUSE, VICTIM)):
        fleet = make_shared_fleet(2)
        # Without the pair, the executor with less free capacity would be preferred.
        run_task(fleet[0], **other)
        assert place(make_step(task_count=8, **fields), fleet)["i-1"] == 8
        fleet[0].knowledge.interference.conflicts = {}
        assert place(make_step(task_count=7, **fields), fleet) == {"i-0": 7}


def test_small_effect_is_avoided_on_an_equal_executor():
    fleet = make_shared_fleet(2, effect=0.15)
    run_task(fleet[0], **CAUSE)
    assert place(make_step(task_count=1, **VICTIM), fleet) == {"i-1": 1}


def test_work_starts_beside_its_neighbour_where_there_is_no_other_room():
    fleet = make_shared_fleet(2)
    run_task(fleet[0], **CAUSE)
    fleet[1].used_cpu = 8000
    assert place(make_step(task_count=3, **VICTIM), fleet) == {"i-0": 3}


def test_gang_is_not_kept_from_starting():
    fleet = make_shared_fleet(2)
    run_task(fleet[0], **CAUSE)
    gang = make_step(task_count=15, gang=True, **VICTIM)
    assert place(gang, fleet) == {"i-0": 7, "i-1": 8}


def test_kind_that_slows_itself_is_spread_and_then_packed():
    fleet = make_shared_fleet(3, same_kind=True)
    assert set(place(make_step(task_count=3, **VICTIM), fleet).values()) == {1}
    assert set(place(make_step(task_count=24, **VICTIM), fleet).values()) == {8}
    gang = make_step(task_count=24, gang=True, **VICTIM)
    assert sum(place(gang, fleet).values()) == 24


# Executors that are reserved for other steps must stay free for them.
def test_spread_tasks_double_up_before_they_use_a_reserved_executor():
    fleet = make_shared_fleet(2, same_kind=True)
    assert place(make_step(task_count=2, **VICTIM), fleet, {"i-1"}) == {"i-0": 2}


# An effect of a fifth is better than an executor that takes twice as long.
def test_slow_executor_is_not_used_to_avoid_a_small_effect():
    for effect, chosen in ((0.2, "i-0"), (1.5, "i-1")):
        fleet = make_shared_fleet(2, effect=effect)
        run_task(fleet[0], **CAUSE)
        for _ in range(40):
            fleet[1].profile.add(0.78, 20.0)
        assert place(make_step(task_count=1, **VICTIM), fleet) == {chosen: 1}


load_tests = make_load_tests(globals())
