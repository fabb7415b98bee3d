"""Executors kept for large tasks under a stream of small ones."""

from gypsumring.dispatch import Backlog, place_step, reserve_executors
from gypsumring.dispatch.placing import room_for
from gypsumring.dispatch.reserving import REPLAN_S
from gypsumring.dispatch.tests.fleets import make_fleet, make_step
from gypsumring.pipelines import Queue, Run
from gypsumring.utils.testing import make_load_tests

BULK = Queue(name="bulk", host="", path_prefix="", service="svc", priority=1)
FILLER = Queue(name="filler", host="", path_prefix="", service="svc", priority=2)
URGENT = Queue(name="urgent", host="", path_prefix="", service="svc", priority=0)
ROUND_S = 0.1
RUN_ROUNDS = 20


def make_waiting(fleet, **fields):
    """Return a step of large tasks that is allowed everywhere and has waited."""
    step = make_step(cpu_millis=5000, **fields)
    step.allowed = {executor.executor_id for executor in fleet}
    step.waiting_since = 0.0
    return step


def play(rounds: int, with_reservations: bool) -> int | None:
    """Play a stream of small tasks that takes all room as soon as it is free.

    Return the round in which a large task has found room, if it has.
    """
    fleet = make_fleet(4)
    large = make_waiting(fleet, job_id="b" * 16, task_count=1)
    running = []
    number = 0
    for now in range(rounds):
        for ends_at, executor in list(running):
            if ends_at <= now:
                running.remove((ends_at, executor))
                executor.used_cpu -= 1000
        for executor in fleet:
            executor.note_clock(1000 + now * 100, now * ROUND_S)
        reserved = {}
        if with_reservations:
            steps = [(large, BULK)]
            time = 1.0 + now * ROUND_S
            reserved = reserve_executors(steps, fleet, time, time)
        if now > RUN_ROUNDS and place_step(large, fleet, 3.0, now):
            return now
        number += 1
        small = make_step(job_id=f"{number:016x}", task_count=2)
        open_ones = [
            executor
            for executor in fleet
            if executor.executor_id not in reserved
            or reserved[executor.executor_id].admits(small, FILLER.priority)
        ]
        for each in place_step(small, open_ones, 3.0, now):
            each.executor.used_cpu += 1000
            running.append((now + RUN_ROUNDS, each.executor))
    return None


def test_large_task_waits_forever_behind_a_stream_of_small_ones():
    assert play(200, with_reservations=False) is None


def test_reserved_executor_gathers_room_for_a_large_task():
    assert play(200, with_reservations=True) is not None


def test_urgent_work_may_use_reserved_executors_but_takes_them_last():
    fleet = make_fleet(4)
    large = make_waiting(fleet, job_id="b" * 16, task_count=1)
    reserved = reserve_executors([(large, BULK)], fleet, 1.0, 1.0)
    (kept,) = reserved
    urgent = make_step(task_count=32)
    assert reserved[kept].admits(urgent, URGENT.priority)
    assert not reserved[kept].admits(urgent, FILLER.priority)
    placements = place_step(urgent, fleet, 3.0, 0.0, reserved)
    assert [each.executor.executor_id for each in placements[-8:]] == [kept] * 8


def test_gang_keeps_as_many_executors_as_its_members_need():
    fleet = make_fleet(8)
    gang = make_waiting(fleet, task_count=2, gang=True)
    assert len(reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)) == 2


def test_gang_that_can_never_fit_reserves_nothing():
    # It kept an executor for good, from which all others were shut out.
    fleet = make_fleet(8)
    gang = make_waiting(fleet, task_count=2, gang=True)
    gang.allowed = {"i-0"}
    assert reserve_executors([(gang, BULK)], fleet, 1.0, 1.0) == {}


def test_reservations_stay_and_end_with_the_wait():
    fleet = make_fleet(4)
    large = make_waiting(fleet, task_count=1)
    first = set(reserve_executors([(large, BULK)], fleet, 1.0, 1.0))
    other = next(each for each in fleet if each.executor_id not in first)
    for executor in fleet:
        executor.used_cpu = 4000 if executor is other else 6000
    assert set(reserve_executors([(large, BULK)], fleet, 1.1, 1.1)) == first
    large.pending.clear()
    assert reserve_executors([(large, BULK)], fleet, 1.2, 1.2) == {}


def test_small_and_patient_steps_reserve_nothing():
    fleet = make_fleet(4)
    small = make_waiting(fleet, task_count=1)
    small.spec = make_step(task_count=1, cpu_millis=500).spec
    assert reserve_executors([(small, BULK)], fleet, 1.0, 1.0) == {}
    fresh = make_waiting(fleet, task_count=1)
    fresh.waiting_since = 0.9
    assert reserve_executors([(fresh, BULK)], fleet, 1.0, 1.0) == {}


def test_patience_does_not_depend_on_suspended_time():
    # The executors' clock ran on while the machine was suspended.
    suspended_s = 500.0
    fleet = make_fleet(4, now=suspended_s)
    large = make_waiting(fleet, task_count=1)
    large.waiting_since = 0.9
    assert reserve_executors([(large, BULK)], fleet, 1.0, suspended_s + 1.0) == {}
    assert reserve_executors([(large, BULK)], fleet, 1.4, suspended_s + 1.4) != {}


def test_most_executors_stay_open_to_all():
    fleet = make_fleet(10)
    steps = [
        (make_waiting(fleet, job_id=f"{number:016x}", task_count=9), BULK)
        for number in range(6)
    ]
    assert len(reserve_executors(steps, fleet, 1.0, 1.0)) == 3


def occupy(fleet, cpu_millis):
    """Let a task of another step run on each executor."""
    for number, executor in enumerate(fleet):
        other = make_step(f"{number:016x}", task_count=1, cpu_millis=cpu_millis)
        executor.add_run(Run(other, 0, 1, executor.executor_id, 0.0))


def make_gang(fleet, cpu_millis=4000, **fields):
    """Return a gang that is allowed everywhere and has waited for a second."""
    gang = make_step(cpu_millis=cpu_millis, gang=True, **fields)
    gang.allowed = {executor.executor_id for executor in fleet}
    gang.waiting_since = 0.0
    return gang


# Room that a gang had found went to small tasks before its tickets were renewed.
def test_gang_keeps_the_free_room_that_it_fits_into():
    fleet = make_fleet(8)
    occupy(fleet, 4000)
    gang = make_gang(fleet, task_count=6)
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    kept = [each for each in fleet if each.executor_id in reserved]
    assert sum(room_for(gang, executor) for executor in kept) >= 6


# Gangs kept a part of the executors that they needed, which helped nobody.
def test_gang_keeps_all_executors_that_it_needs_or_none():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    gangs = [
        make_gang(fleet, 8000, job_id=f"{number:016x}", task_count=5)
        for number in range(3)
    ]
    reserve_executors([(gang, BULK) for gang in gangs], fleet, 1.0, 1.0)
    assert [len(gang.reserved) for gang in gangs] == [5, 0, 0]


# A gang lost the executors on which it had gathered room at the moment at which it
# missed its target, and was overtaken by newer ones from then on.
def test_gang_keeps_its_executors_when_it_misses_its_target():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    older = make_gang(fleet, 8000, job_id="a" * 16, task_count=3)
    newer = make_gang(fleet, 8000, job_id="b" * 16, task_count=3, accepted_at=2.0)
    queue = Queue(
        name="bulk",
        host="",
        path_prefix="",
        service="svc",
        priority=1,
        stretch=2.0,
        latency_target_s=0.0,
    )
    backlog = Backlog(lambda job: queue)
    backlog.refresh([older, newer], 1.0)
    for now in (1.0, 3.0):
        for executor in fleet:
            executor.note_clock(1000, now)
        steps = backlog.order([older, newer], now)
        reserve_executors(steps, fleet, now, now)
        assert len(older.reserved) == 3, now


def test_gang_keeps_those_that_are_expected_to_open_first():
    fleet = make_fleet(6)
    occupy(fleet, 6000)
    for number, executor in enumerate(fleet):
        for run in executor.runs.values():
            run.started_at = -0.05 * number
    gang = make_gang(fleet, 8000, task_count=2)
    assert set(reserve_executors([(gang, BULK)], fleet, 0.5, 0.5)) == {"i-4", "i-5"}


# The executors kept for a gang changed with each rough estimate, and their room went to
# others just as it opened.
def test_gang_does_not_change_its_executors_for_a_little():
    fleet = make_fleet(6)
    occupy(fleet, 6000)
    gang = make_gang(fleet, 8000, task_count=2)
    first = set(reserve_executors([(gang, BULK)], fleet, 0.5, 0.5))
    for executor in fleet:
        for run in executor.runs.values():
            run.started_at = 0.0 if executor.executor_id in first else -0.3
    assert set(reserve_executors([(gang, BULK)], fleet, 0.6, 0.6)) == first


def test_first_gang_may_keep_more_than_the_usual_share():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    gang = make_gang(fleet, 8000, task_count=9)
    assert len(reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)) == 9


# Newer steps went before one that had missed its target, for as long as they came.
def test_oldest_starving_step_goes_first_if_it_can_get_its_room():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    newer = make_gang(fleet, 8000, job_id="b" * 16, task_count=8)
    hopeless = make_gang(fleet, 8000, job_id="c" * 16, task_count=11)
    older = make_gang(fleet, 8000, job_id="d" * 16, task_count=7)
    steps = [(newer, BULK), (hopeless, BULK), (older, BULK)]
    reserve_executors(steps, fleet, 1.0, 1.0)
    assert newer.reserved and not older.reserved
    starving = [(hopeless, BULK), (older, BULK)]
    later = 1.0 + REPLAN_S
    reserve_executors(steps, fleet, later, later, starving)
    assert len(older.reserved) == 7
    assert not newer.reserved


def choose_from(executors, ids):
    """Return the executors of the given ids."""
    return [executor for executor in executors if executor.executor_id in ids]


# Room was kept on executors on which members of the gang had failed. Only tickets of
# kept executors are renewed, so that the gang waited although it fitted elsewhere.
def test_kept_room_takes_the_members_that_avoid_an_executor():
    fleet = make_fleet(4)
    occupy(fleet[1:], 4000)
    gang = make_gang(fleet, task_count=3)
    gang.avoided = {0: {"i-0"}, 1: {"i-0"}}
    assert len(place_step(gang, fleet, 3.0, 1.0)) == 3
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    assert len(place_step(gang, choose_from(fleet, reserved), 3.0, 1.0)) == 3


# Room was kept over all racks for a gang that waits for room on one of them.
def test_kept_room_of_a_gang_on_one_rack_is_on_one_rack():
    fleet = make_fleet(8)
    occupy(fleet[1::2], 4000)
    occupy(fleet[2::2], 8000)
    gang = make_gang(fleet, task_count=4, same_rack=True, estimated_ms=4000)
    assert len(place_step(gang, fleet, 3.0, 1.0)) == 4
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    assert len(place_step(gang, choose_from(fleet, reserved), 3.0, 1.0)) == 4


# A starving step of a lower priority kept the executors on which an urgent gang would
# have gathered its room.
def test_starving_step_leaves_urgent_gangs_their_executors():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    urgent = make_gang(fleet, 8000, job_id="b" * 16, task_count=6)
    starving = make_gang(fleet, 8000, job_id="c" * 16, task_count=6)
    steps = [(urgent, URGENT), (starving, BULK)]
    reserve_executors(steps, fleet, 1.0, 1.0, [(starving, BULK)])
    assert len(urgent.reserved) == 6


# Executors were kept for a gang until tasks that last would end.
def test_gang_keeps_nothing_that_only_the_end_of_lasting_tasks_would_open():
    fleet = make_fleet(4)
    for number, executor in enumerate(fleet):
        lasting = make_step(
            f"{number:016x}", task_count=1, cpu_millis=4000, long_running=True
        )
        executor.add_run(Run(lasting, 0, 1, executor.executor_id, 0.0))
    gang = make_gang(fleet, 8000, task_count=3)
    assert reserve_executors([(gang, BULK)], fleet, 1.0, 1.0) == {}


load_tests = make_load_tests(globals())
