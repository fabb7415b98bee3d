"""Tests of reservations for gangs and large tasks under a stream of small ones."""

from contextlib import contextmanager

from gypsumring.dispatch import Backlog, gang_capacity, place_step, reserve_executors
from gypsumring.dispatch.placing import count_fitting_on
from gypsumring.dispatch.reserving import (
    GIVE_WAY_AFTER_S,
    MAX_HOLD_S,
    REVIEW_PERIOD_S,
)
from gypsumring.dispatch.tests.fleets import change_capacity, make_fleet, make_step
from gypsumring.pipelines import Queue, Run
from gypsumring.utils.testing import make_load_tests

BULK = Queue(name="bulk", host="", path_prefix="", service="svc", priority=1)
FILLER = Queue(name="filler", host="", path_prefix="", service="svc", priority=2)
URGENT = Queue(name="urgent", host="", path_prefix="", service="svc", priority=0)
ROUND_S = 0.1
TASK_ROUNDS = 20


def make_waiting_step(fleet, **fields):
    """Return a step of large tasks that is allowed everywhere and has waited."""
    step = make_step(cpu_millis=5000, **fields)
    step.allowed = {executor.executor_id for executor in fleet}
    step.waiting_since = 0.0
    return step


def simulate(rounds: int, with_reservations: bool) -> int | None:
    """Simulate a stream of small tasks that use all released capacity immediately.

    Return the round in which a large task is placed, or None.
    """
    fleet = make_fleet(4)
    large = make_waiting_step(fleet, job_id="b" * 16, task_count=1)
    running = []
    number = 0
    for round_number in range(rounds):
        for ends_at, executor in list(running):
            if ends_at <= round_number:
                running.remove((ends_at, executor))
                executor.used_cpu -= 1000
        for executor in fleet:
            executor.record_clock(1000 + round_number * 100, round_number * ROUND_S)
        reserved = {}
        if with_reservations:
            steps = [(large, BULK)]
            now_s = 1.0 + round_number * ROUND_S
            reserved = reserve_executors(steps, fleet, now_s, now_s)
        if round_number > TASK_ROUNDS and place_step(large, fleet, 3.0, round_number):
            return round_number
        number += 1
        small = make_step(job_id=f"{number:016x}", task_count=2)
        admitted = [
            executor
            for executor in fleet
            if executor.executor_id not in reserved
            or reserved[executor.executor_id].admits(small, FILLER.priority)
        ]
        for placement in place_step(small, admitted, 3.0, round_number):
            placement.executor.used_cpu += 1000
            running.append((round_number + TASK_ROUNDS, placement.executor))
    return None


def test_large_task_starves_without_reservations():
    assert simulate(200, with_reservations=False) is None


def test_reserved_executor_accumulates_capacity_for_a_large_task():
    assert simulate(200, with_reservations=True) is not None


def test_urgent_step_uses_reserved_executors_last():
    fleet = make_fleet(4)
    large = make_waiting_step(fleet, job_id="b" * 16, task_count=1)
    reserved = reserve_executors([(large, BULK)], fleet, 1.0, 1.0)
    (reserved_id,) = reserved
    urgent = make_step(task_count=32)
    assert reserved[reserved_id].admits(urgent, URGENT.priority)
    assert not reserved[reserved_id].admits(urgent, FILLER.priority)
    placements = place_step(urgent, fleet, 3.0, 0.0, reserved)
    assert [placement.executor.executor_id for placement in placements[-8:]] == [
        reserved_id
    ] * 8


def test_work_beyond_the_rate_does_not_use_reserved_executors():
    # A stopped task of such work would take back the capacity released for a gang.
    fleet = make_fleet(4)
    large = make_waiting_step(fleet, job_id="b" * 16, task_count=1)
    reserved = reserve_executors([(large, BULK)], fleet, 1.0, 1.0)
    (reservation,) = reserved.values()
    assert not reservation.admits(make_step(beyond_rate=True), URGENT.priority)
    assert reservation.admits(make_step(), URGENT.priority)


def test_gang_reserves_as_many_executors_as_its_members_need():
    fleet = make_fleet(8)
    gang = make_waiting_step(fleet, task_count=2, gang=True)
    assert len(reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)) == 2


def test_gang_reserves_where_all_else_can_be_stopped():
    # The tasks on i-0 and i-1 end first, but those on the others yield at once.
    fleet = make_fleet(4)
    yielding = set()
    for number, executor in enumerate(fleet):
        step = make_step(
            f"{number:016x}",
            task_count=1,
            cpu_millis=8_000,
            estimated_ms=10_000 if number < 2 else 60_000,
        )
        run = Run(step, 0, 1, executor.executor_id, 0.5)
        executor.add_run(run)
        if number >= 2:
            yielding.add(run)
    gang = make_waiting_step(fleet, task_count=2, gang=True)
    rows = [(gang, BULK)]
    assert set(reserve_executors(rows, fleet, 1.0, 1.0)) == {"i-0", "i-1"}
    gang.clear_reservation()
    reserved = reserve_executors(
        rows, fleet, 1.0, 1.0, list_yielding=lambda step, queue: yielding
    )
    assert set(reserved) == {"i-2", "i-3"}


def test_gang_that_can_never_fit_reserves_nothing():
    # Such a gang reserved an executor forever and blocked all other steps from it.
    fleet = make_fleet(8)
    gang = make_waiting_step(fleet, task_count=2, gang=True)
    gang.allowed = {"i-0"}
    assert reserve_executors([(gang, BULK)], fleet, 1.0, 1.0) == {}


def test_reservations_are_stable_and_end_with_the_wait():
    fleet = make_fleet(4)
    large = make_waiting_step(fleet, task_count=1)
    first = set(reserve_executors([(large, BULK)], fleet, 1.0, 1.0))
    other = next(executor for executor in fleet if executor.executor_id not in first)
    for executor in fleet:
        executor.used_cpu = 4000 if executor is other else 6000
    assert set(reserve_executors([(large, BULK)], fleet, 1.1, 1.1)) == first
    large.pending.clear()
    assert reserve_executors([(large, BULK)], fleet, 1.2, 1.2) == {}


def test_small_and_recently_queued_steps_reserve_nothing():
    fleet = make_fleet(4)
    small = make_waiting_step(fleet, task_count=1)
    small.spec = make_step(task_count=1, cpu_millis=500).spec
    assert reserve_executors([(small, BULK)], fleet, 1.0, 1.0) == {}
    fresh = make_waiting_step(fleet, task_count=1)
    fresh.waiting_since = 0.9
    assert reserve_executors([(fresh, BULK)], fleet, 1.0, 1.0) == {}


def test_reservation_delay_excludes_suspended_time():
    # The executors' clock continues while the machine is suspended.
    suspended_s = 500.0
    fleet = make_fleet(4, now=suspended_s)
    large = make_waiting_step(fleet, task_count=1)
    large.waiting_since = 0.9
    assert reserve_executors([(large, BULK)], fleet, 1.0, suspended_s + 1.0) == {}
    assert reserve_executors([(large, BULK)], fleet, 1.4, suspended_s + 1.4) != {}


def test_most_executors_stay_unreserved():
    fleet = make_fleet(10)
    steps = [
        (make_waiting_step(fleet, job_id=f"{number:016x}", task_count=9), BULK)
        for number in range(6)
    ]
    assert len(reserve_executors(steps, fleet, 1.0, 1.0)) == 3


def occupy(fleet, cpu_millis):
    """Add a running task of another step to each executor."""
    for number, executor in enumerate(fleet):
        other = make_step(f"{number:016x}", task_count=1, cpu_millis=cpu_millis)
        executor.add_run(Run(other, 0, 1, executor.executor_id, 0.0))


def make_gang(fleet, cpu_millis=4000, **fields):
    """Return a gang that is allowed everywhere and has waited for a second."""
    gang = make_step(cpu_millis=cpu_millis, gang=True, **fields)
    gang.allowed = {executor.executor_id for executor in fleet}
    gang.waiting_since = 0.0
    return gang


# Without reservations, small tasks used the capacity that a gang had found before its
# tickets were renewed.
def test_gang_reserves_the_free_capacity_that_it_fits_into():
    fleet = make_fleet(8)
    occupy(fleet, 4000)
    gang = make_gang(fleet, task_count=6)
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    reserved_executors = [
        executor for executor in fleet if executor.executor_id in reserved
    ]
    assert sum(count_fitting_on(gang, executor) for executor in reserved_executors) >= 6


# Gangs reserved only part of the executors that they needed, which helped no step.
# Guards against an executor whose capacity has shrunk below what runs there: its
# negative free capacity was subtracted from that of the others.
def test_overfull_executor_does_not_hide_the_free_capacity_of_others():
    fleet = make_fleet(3)
    occupy(fleet[:1], 8000)
    change_capacity(fleet[0], cpu_millis=1000)
    gang = make_gang(fleet, task_count=4)
    chosen = gang_capacity.choose_free_capacity(gang, fleet, 1.0, 1.0)
    assert {executor.executor_id for executor in chosen} == {"i-1", "i-2"}


def test_gang_reserves_all_executors_that_it_needs_or_none():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    gangs = [
        make_gang(fleet, 8000, job_id=f"{number:016x}", task_count=5)
        for number in range(3)
    ]
    reserve_executors([(gang, BULK) for gang in gangs], fleet, 1.0, 1.0)
    assert [len(gang.reserved) for gang in gangs] == [5, 0, 0]


# A gang lost its reservations when it missed its target, and newer gangs overtook it
# from then on.
def test_gang_retains_its_reservations_when_it_misses_its_target():
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
            executor.record_clock(1000, now)
        steps = backlog.order([older, newer], now)
        reserve_executors(steps, fleet, now, now)
        assert len(older.reserved) == 3, now


def test_gang_reserves_the_executors_with_the_earliest_capacity():
    fleet = make_fleet(6)
    occupy(fleet, 6000)
    for number, executor in enumerate(fleet):
        for run in executor.runs.values():
            run.started_at = -0.05 * number
    gang = make_gang(fleet, 8000, task_count=2)
    assert set(reserve_executors([(gang, BULK)], fleet, 0.5, 0.5)) == {"i-4", "i-5"}


# The executors reserved for a gang changed with each rough estimate, so that other
# steps used their capacity just as it was released.
def test_gang_does_not_change_executors_for_a_small_gain():
    fleet = make_fleet(6)
    occupy(fleet, 6000)
    gang = make_gang(fleet, 8000, task_count=2)
    first = set(reserve_executors([(gang, BULK)], fleet, 0.5, 0.5))
    for executor in fleet:
        for run in executor.runs.values():
            run.started_at = 0.0 if executor.executor_id in first else -0.3
    assert set(reserve_executors([(gang, BULK)], fleet, 0.6, 0.6)) == first


def test_first_gang_may_exceed_the_reserved_share():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    gang = make_gang(fleet, 8000, task_count=9)
    assert len(reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)) == 9


# Newer steps overtook a step that had missed its target for as long as they arrived.
def test_oldest_starving_step_that_can_reserve_goes_first():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    newer = make_gang(fleet, 8000, job_id="b" * 16, task_count=8)
    hopeless = make_gang(fleet, 8000, job_id="c" * 16, task_count=11)
    older = make_gang(fleet, 8000, job_id="d" * 16, task_count=7)
    steps = [(newer, BULK), (hopeless, BULK), (older, BULK)]
    reserve_executors(steps, fleet, 1.0, 1.0)
    assert newer.reserved and not older.reserved
    starving = [(hopeless, BULK), (older, BULK)]
    later = 1.0 + REVIEW_PERIOD_S
    reserve_executors(steps, fleet, later, later, starving)
    assert len(older.reserved) == 7
    assert not newer.reserved


def select_executors(executors, ids):
    """Return the executors of the given ids."""
    return [executor for executor in executors if executor.executor_id in ids]


# A gang reserved executors on which its members had failed. Only tickets of reserved
# executors are renewed, so the gang waited although it fitted elsewhere.
def test_reserved_capacity_fits_members_that_avoid_an_executor():
    fleet = make_fleet(4)
    occupy(fleet[1:], 4000)
    gang = make_gang(fleet, task_count=3)
    gang.avoided = {0: {"i-0"}, 1: {"i-0"}}
    assert len(place_step(gang, fleet, 3.0, 1.0)) == 3
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    assert len(place_step(gang, select_executors(fleet, reserved), 3.0, 1.0)) == 3


# A gang that waits for capacity on one rack reserved executors on all racks.
def test_reserved_capacity_of_a_same_rack_gang_is_on_one_rack():
    fleet = make_fleet(8)
    occupy(fleet[1::2], 4000)
    occupy(fleet[2::2], 8000)
    gang = make_gang(fleet, task_count=4, same_rack=True, estimated_ms=4000)
    assert len(place_step(gang, fleet, 3.0, 1.0)) == 4
    reserved = reserve_executors([(gang, BULK)], fleet, 1.0, 1.0)
    assert len(place_step(gang, select_executors(fleet, reserved), 3.0, 1.0)) == 4


# A starving step of a lower priority reserved the executors on which an urgent gang
# would have accumulated its reservations.
def test_starving_step_does_not_displace_urgent_gangs():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    urgent = make_gang(fleet, 8000, job_id="b" * 16, task_count=6)
    starving = make_gang(fleet, 8000, job_id="c" * 16, task_count=6)
    steps = [(urgent, URGENT), (starving, BULK)]
    reserve_executors(steps, fleet, 1.0, 1.0, [(starving, BULK)])
    assert len(urgent.reserved) == 6


# A gang reserved executors until the end of tasks that were not expected to end.
def test_gang_reserves_nothing_held_by_long_running_tasks():
    fleet = make_fleet(4)
    for number, executor in enumerate(fleet):
        lasting = make_step(
            f"{number:016x}", task_count=1, cpu_millis=4000, long_running=True
        )
        executor.add_run(Run(lasting, 0, 1, executor.executor_id, 0.0))
    gang = make_gang(fleet, 8000, task_count=3)
    assert reserve_executors([(gang, BULK)], fleet, 1.0, 1.0) == {}


# Large tasks that are no gang did so too: the executors would have held them empty.
def test_large_step_reserves_nothing_held_by_long_running_tasks():
    fleet = make_fleet(4)
    for number, executor in enumerate(fleet):
        lasting = make_step(
            f"{number:016x}", task_count=1, cpu_millis=1000, long_running=True
        )
        executor.add_run(Run(lasting, 0, 1, executor.executor_id, 0.0))
    large = make_waiting_step(fleet, task_count=2)
    assert len(reserve_executors([(large, BULK)], fleet, 1.0, 1.0)) == 1
    whole = make_step(job_id="b" * 16, task_count=2, cpu_millis=8000)
    whole.allowed, whole.waiting_since = large.allowed, 0.0
    assert reserve_executors([(whole, BULK)], fleet, 1.0, 1.0) == {}


def find_longest_wait(fleet, large) -> float:
    """Return for how long small steps are kept from an executor that is reserved."""
    waits = []
    for arrived_round in range(50):
        large.clear_reservation()
        small = make_step("c" * 16, task_count=1)
        for round_number in range(400):
            now = 1.0 + ROUND_S * round_number
            for executor in fleet:
                executor.record_clock(1000, now)
            reserved = reserve_executors([(large, BULK)], fleet, now, now)
            if round_number < arrived_round:
                continue
            small.waiting_since = small.waiting_since or now
            if all(row.admits(small, BULK.priority) for row in reserved.values()):
                waits.append(now - small.waiting_since)
                break
        else:
            return float("inf")
    return max(waits)


# A reservation has to end although the capacity that it waits for never comes.
def test_step_that_waits_for_its_reserved_executors_gives_way_to_others():
    for gang in (False, True):
        for used, limit_s in ((3000, 2.9), (7000, MAX_HOLD_S + GIVE_WAY_AFTER_S)):
            fleet = make_fleet(4)
            for number, executor in enumerate(fleet):
                step = make_step(
                    f"{number:016x}", cpu_millis=used, estimated_ms=10_000_000
                )
                executor.add_run(Run(step, 0, 1, executor.executor_id, 0.0))
            large = make_step(job_id="b" * 16, task_count=1, cpu_millis=8000, gang=gang)
            large.allowed = {executor.executor_id for executor in fleet}
            large.waiting_since = 0.0
            assert find_longest_wait(fleet, large) <= limit_s + ROUND_S, (gang, used)


# A gang over the limit blocked later gangs only in the pass of its own review: gangs
# that were reviewed in between overtook it.
def test_gang_over_the_limit_blocks_later_gangs_until_its_review():
    fleet = make_fleet(10)
    occupy(fleet, 6000)
    first = make_gang(fleet, 8000, job_id="a" * 16, task_count=2)
    second = make_gang(fleet, 8000, job_id="b" * 16, task_count=2)
    reserve_executors([(first, BULK), (second, BULK)], fleet, 1.0, 1.0)
    assert first.reserved and not second.reserved
    later = make_gang(fleet, 8000, job_id="c" * 16, task_count=1)
    steps = [(first, BULK), (second, BULK), (later, BULK)]
    now = 1.0 + REVIEW_PERIOD_S / 2
    reserve_executors(steps, fleet, now, now)
    assert not later.reserved


# Gangs on one rack moved to another rack that was expected to have capacity slightly
# earlier, and lost the reservations that they had accumulated.
def test_same_rack_gang_does_not_change_rack_for_a_small_gain():
    fleet = make_fleet(6)
    occupy(fleet, 6000)
    gang = make_gang(fleet, 8000, task_count=2, same_rack=True)
    first = set(reserve_executors([(gang, BULK)], fleet, 0.5, 0.5))
    racks = {executor.rack for executor in fleet if executor.executor_id in first}
    assert len(racks) == 1
    for executor in fleet:
        for run in executor.runs.values():
            run.started_at = 0.5 if executor.rack in racks else 0.4
    now = 0.5 + REVIEW_PERIOD_S
    assert set(reserve_executors([(gang, BULK)], fleet, now, now)) == first


# Gangs that fit but may reserve nothing more were placed again in each pass.
def test_gang_that_may_reserve_nothing_is_not_placed_in_each_pass():
    fleet = make_fleet(10)
    gangs = [
        make_gang(fleet, 8000, job_id=f"{number:016x}", task_count=2)
        for number in range(5)
    ]
    steps = [(gang, BULK) for gang in gangs]
    with record_placed_steps() as placed:
        reserve_executors(steps, fleet, 1.0, 1.0)
        assert not gangs[-1].reserved
        placed.clear()
        reserve_executors(steps, fleet, 1.1, 1.1)
        assert placed == []


@contextmanager
def record_placed_steps():
    """Record the names of the steps for which free capacity is chosen."""
    original = gang_capacity.place_step
    placed = []

    def place(step, *arguments):
        placed.append(step.name)
        return original(step, *arguments)

    gang_capacity.place_step = place
    try:
        yield placed
    finally:
        gang_capacity.place_step = original


load_tests = make_load_tests(globals())
