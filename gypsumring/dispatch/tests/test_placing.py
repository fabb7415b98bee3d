"""Tests of placement: capacity, gangs, racks, limits and executor health."""

from collections import Counter

import msgspec

from gypsumring.dispatch import place_step
from gypsumring.dispatch.placing import (
    MAX_AVOIDING_S,
    RETURN_DELAY_S,
    has_label,
    record_avoiding,
)
from gypsumring.dispatch.tests.fleets import make_executor, make_fleet, make_step
from gypsumring.fleet.health import PROBE_S
from gypsumring.fleet.runtimes import Evidence
from gypsumring.pipelines import Run
from gypsumring.utils.testing import make_load_tests


def place(step, fleet, now=0.0, factor=3.0):
    """Return the number of tasks placed on each executor."""
    placements = place_step(step, fleet, factor, now)
    return Counter(placement.executor.executor_id for placement in placements)


def test_no_executor_exceeds_its_free_capacity():
    counts = place(make_step(task_count=40, cpu_millis=3000), make_fleet(3))
    assert counts == {"i-0": 2, "i-1": 2, "i-2": 2}


def test_gang_is_placed_completely_or_not_at_all():
    gang = make_step(task_count=7, cpu_millis=3000, gang=True)
    assert place(gang, make_fleet(3)) == {}
    assert sum(place(gang, make_fleet(4)).values()) == 7


def test_limit_per_executor_is_respected():
    step = make_step(task_count=9, max_per_executor=2)
    assert set(place(step, make_fleet(3)).values()) == {2}


def test_filling_tasks_use_no_cpu_capacity():
    step = make_step(task_count=3, cpu_millis=9000, fills=True)
    assert sum(place(step, make_fleet(1)).values()) == 3


def test_gang_returns_to_an_avoided_executor_that_it_needs():
    # The gang waited forever because three members avoided one of two executors.
    fleet = make_fleet(2)
    gang = make_step(task_count=4, cpu_millis=3000, gang=True)
    gang.avoided = {index: {"i-0"} for index in range(3)}
    assert place(gang, fleet) == {"i-0": 2, "i-1": 2}
    # If a third executor can hold the members, the gang waits for its capacity.
    fleet = make_fleet(3)
    fleet[2].used_cpu = 8000
    assert place(gang, fleet) == {}
    fleet[2].used_cpu = 0
    assert sum(place(gang, fleet).values()) == 4


def test_task_returns_to_the_only_executor_that_can_hold_it():
    fleet = [make_executor("i-0", 8_000), make_executor("i-1", 1_000)]
    step = make_step(task_count=1, cpu_millis=3000)
    step.avoided = {0: {"i-0"}}
    assert place(step, fleet) == {"i-0": 1}


def test_retry_avoids_the_executor_on_which_the_task_failed():
    step = make_step(task_count=1)
    fleet = make_fleet(2)
    (first,) = place(step, fleet)
    step.avoided[0] = {first}
    (second,) = place(step, fleet)
    assert second != first
    # If the task has failed on all executors, it is retried on one of them.
    step.avoided[0] = {"i-0", "i-1"}
    assert sum(place(step, fleet).values()) == 1


# A task avoided the executor on which it had failed for ever, since another one, which
# lasting tasks fill, would have held it empty.
def test_task_returns_if_lasting_tasks_fill_the_other_executors():
    for is_gang in (False, True):
        for is_lasting in (False, True):
            fleet = make_fleet(2)
            other = make_step(
                "b" * 16, task_count=1, cpu_millis=8000, long_running=is_lasting
            )
            fleet[1].add_run(Run(other, 0, 1, "i-1", 0.0))
            step = make_step(task_count=1, gang=is_gang)
            step.avoided = {0: {"i-0"}}
            assert place(step, fleet) == ({"i-0": 1} if is_lasting else {})


def avoid_for(step, fleet, seconds: float) -> Counter:
    """Let a step wait from 10 s on; return what is placed after some seconds."""
    for round_number in range(round(seconds / 0.1) + 1):
        now = 10.0 + 0.1 * round_number
        record_avoiding(step, fleet, now)
        placements = place_step(step, fleet, 3.0, now)
    return Counter(placement.executor.executor_id for placement in placements)


# Other executors may stay full for any time.
def test_task_returns_after_a_while_if_only_avoided_executors_have_room():
    for is_gang in (False, True):
        fleet = make_fleet(2)
        fleet[1].used_cpu = 8000
        step = make_step(task_count=2, gang=is_gang)
        step.avoided = {0: {"i-0"}, 1: {"i-0"}}
        assert avoid_for(step, fleet, MAX_AVOIDING_S - 0.2) == {}
        assert avoid_for(step, fleet, MAX_AVOIDING_S + 0.2) == {"i-0": 2}
        # Room elsewhere is preferred all the same.
        fleet[1].used_cpu = 0
        assert place(step, fleet, now=20.0) == {"i-1": 2}


def test_only_tasks_that_fit_nowhere_else_return():
    fleet = make_fleet(2)
    fleet[1].used_cpu = 7000
    step = make_step(task_count=2)
    step.avoided = {0: {"i-0"}, 1: {"i-0"}}
    step.avoiding_since = 0.0
    assert place(step, fleet, now=10.0) == {"i-0": 1, "i-1": 1}


# A busy fleet is no reason to return: the task has lost nothing by avoiding an executor
# without room.
def test_time_without_room_on_avoided_executors_does_not_count():
    fleet = make_fleet(2)
    step = make_step(task_count=1)
    step.avoided = {0: {"i-0"}}
    for executor in fleet:
        executor.used_cpu = 8000
    assert avoid_for(step, fleet, 10.0) == {}
    fleet[0].used_cpu = 0
    assert avoid_for(step, fleet, MAX_AVOIDING_S - 0.2) == {}


# A task that only one executor can hold used up its attempts there within a second.
def test_task_does_not_return_right_after_a_failure():
    fleet = [make_executor("i-0", 8_000), make_executor("i-1", 1_000)]
    step = make_step(task_count=2, cpu_millis=3000)
    step.avoided = {0: {"i-0"}}
    step.failed_at = {0: 10.0}
    placements = place_step(step, fleet, 3.0, 10.0 + RETURN_DELAY_S / 2)
    assert [placement.index for placement in placements] == [1]
    assert place(step, fleet, now=10.0 + RETURN_DELAY_S) == {"i-0": 2}


# The last attempt of a task, with which its job fails, was the first one on an executor
# that had just failed everything.
def test_last_attempt_is_no_probe_of_an_executor_that_fails_tasks():
    fleet = make_fleet(1)
    health = fleet[0].health
    for _ in range(2):
        health.record_failure(0.0)
    step = make_step(task_count=2)
    step.last_attempts = {0}
    for now, expected in (
        (health.quarantined_until, [1]),
        (health.quarantined_until + PROBE_S - 0.1, [1]),
        # Nothing else may probe the executor.
        (health.quarantined_until + PROBE_S, [0, 1]),
    ):
        fleet[0].record_clock(1000, now)
        placements = place_step(step, fleet, 3.0, now)
        assert [placement.index for placement in placements] == expected
    fleet[0].record_clock(1000, health.quarantined_until)
    health.record_success()
    assert sum(place(step, fleet, now=health.quarantined_until).values()) == 2


def test_executor_that_is_probed_gets_one_task():
    fleet = make_fleet(2)
    fleet[0].health.quarantine(0.0)
    assert place(make_step(task_count=20), fleet) == {"i-0": 1, "i-1": 8}


def test_step_waits_for_its_data_rack_as_long_as_remote_work_would_cost():
    step = make_step(task_count=1, data_rack="r1", estimated_ms=1000)
    near, away = make_executor("near", rack="r1"), make_executor("away", rack="r0")
    assert place(step, [away, near]) == {"near": 1}
    near.used_cpu = near.entry.cpu_millis
    assert place(step, [away, near], now=1.0) == {}
    assert place(step, [away, near], now=2.5) == {"away": 1}


def test_gang_of_one_rack_stays_together():
    step = make_step(task_count=6, cpu_millis=4000, gang=True, same_rack=True)
    fleet = make_fleet(8)
    counts = place(step, fleet)
    assert len({name[-1] in "02468" for name in counts}) == 1


def test_silent_draining_and_resting_executors_take_no_work():
    fleet = make_fleet(5)
    fleet[0].last_response_at = -10.0
    fleet[1].health.quarantine(0.0)
    fleet[2].starts_to_block.add(("t", 1))
    fleet[4].entry = msgspec.structs.replace(fleet[4].entry, draining=True)
    names = [
        executor.executor_id for executor in fleet if executor.accepts_work("svc", 0.5)
    ]
    assert names == ["i-3"]
    assert not any(
        has_label(make_step(required_label="x"), executor) for executor in fleet
    )


def test_stopped_tasks_are_placed_first():
    step = make_step(task_count=4, cpu_millis=8_000)
    step.interrupted[2] = 0.0
    placements = place_step(step, make_fleet(2), 1.0, 0.0)
    assert [placement.index for placement in placements] == [2, 0]


def make_slow(executor):
    """Let comparisons show that an executor takes twice as long as others."""
    for _ in range(30):
        executor.profile.add(0.7, 20.0)


def test_slow_executor_is_used_last_and_not_left_idle():
    fleet = make_fleet(2)
    make_slow(fleet[0])
    assert place(make_step(task_count=1), fleet) == {"i-1": 1}
    fleet[1].used_cpu = 8000
    assert place(make_step(task_count=1), fleet) == {"i-0": 1}


# A kind of work with low estimates made each executor that ran it look slow, and the
# next steps avoided it.
def test_low_estimates_do_not_change_the_order_of_equal_executors():
    fleet = make_fleet(2)
    step = make_step(task_count=1)
    for _ in range(30):
        fleet[0].knowledge.learn(
            fleet[0].profile, step.kind, {Evidence.END: 1.0}, {}, 0.0, 0.0
        )
    fleet[0].used_cpu = 1000
    assert place(step, fleet) == {"i-0": 1}


load_tests = make_load_tests(globals())
