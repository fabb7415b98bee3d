"""Tests of the clock, lease and capacity recorded for an executor."""

from gypsumring.dispatch.tests.fleets import (
    change_capacity,
    make_executor,
    make_step,
)
from gypsumring.fleet import MAX_ORDER_DELAY_S
from gypsumring.pipelines import JobTable
from gypsumring.utils.testing import make_load_tests


def test_clock_estimate_allows_for_a_slow_clock():
    executor = make_executor("i-0")
    assert executor.min_clock_ms(10.0) == 1000 + 9800


# Guards against polls that are repeated for nothing: a slow clock, or an answer that
# the next incarnation gave before a poll showed it, is no sign of a restart.
def test_only_a_clock_below_the_bound_contradicts_the_incarnation():
    executor = make_executor("i-0")
    bound = executor.bound_clock(10.0)
    assert not executor.is_contradicted(bound, 1000 + 9800)
    assert not executor.is_contradicted(bound, None)
    assert executor.is_contradicted(bound, 1000 + 9799)
    executor.suspect_restart()
    assert not executor.is_contradicted(bound, 5)
    executor.start_incarnation(executor.born_ms + 1, 0)
    executor.record_clock(20, 10.0)
    assert not executor.is_contradicted(bound, 5)


def test_first_answers_of_an_executor_contradict_nothing():
    executor = make_executor("i-0")
    executor.first_response_at = None
    assert not executor.is_contradicted(executor.bound_clock(10.0), 0)


def test_lease_ends_only_when_the_slowest_clock_has_passed_it():
    executor = make_executor("i-0")
    until = executor.extend_lease(5000, 0.0)
    assert until == 6000
    assert not executor.is_lease_expired(5.1, 10.0)
    assert executor.is_lease_expired(5.3, 10.0)


def test_lease_of_an_unresponsive_executor_is_not_extended():
    # If retries extended the lease, it would never expire.
    executor = make_executor("i-0")
    until = executor.extend_lease(5000, 0.0)
    executor.is_unresponsive = True
    assert executor.extend_lease(5000, 4.0) == until
    executor.record_clock(5000, 4.0)
    assert executor.extend_lease(5000, 4.0) == 10_000


def test_executor_of_an_earlier_owner_may_hold_the_longest_lease():
    executor = make_executor("i-0")
    executor.first_response_at = None
    assert not executor.is_lease_expired(10.3, 10.0)
    assert executor.is_lease_expired(10.6, 10.0)


def test_capacity_is_released_once():
    executor, table = make_executor("i-0"), JobTable()
    step = make_step()
    run = table.place(step, 0, 1, "i-0", 0.0)
    executor.add_run(run)
    executor.add_run(run)
    assert executor.used_cpu == 1000
    assert executor.remove_run(run) and not executor.remove_run(run)
    assert executor.used_cpu == 0


# Guards against starts on an executor whose capacity has shrunk below what runs there,
# by tasks that use none of the exceeded dimension.
def test_nothing_fits_on_an_overfull_executor():
    executor, table = make_executor("i-0"), JobTable()
    running = make_step(task_count=1, cpu_millis=4000, memory_mb=1000)
    filling = make_step("b" * 16, cpu_millis=1000, fills=True)
    without_cpu = make_step("c" * 16, cpu_millis=0, memory_mb=100)
    run = table.place(running, 0, 1, "i-0", 0.0)
    executor.add_run(run)
    change_capacity(executor, cpu_millis=4000)
    assert not executor.is_overfull()
    assert executor.count_fitting_tasks(filling.spec) == 4
    assert executor.count_fitting_tasks(without_cpu.spec) == 4
    change_capacity(executor, cpu_millis=3999)
    assert executor.is_overfull()
    assert executor.count_fitting_tasks(filling.spec) == 0
    assert executor.count_fitting_tasks(without_cpu.spec) == 0
    # The running task goes on; its end makes room again.
    executor.remove_run(run)
    assert executor.count_fitting_tasks(without_cpu.spec) == 4
    change_capacity(executor, memory_mb=-1)
    assert executor.count_fitting_tasks(filling.spec) == 0


def test_unconfirmed_starts_are_blocked_unless_in_progress():
    executor, table = make_executor("i-0"), JobTable()
    run = table.place(make_step(), 0, 1, "i-0", 0.0)
    executor.add_run(run)
    executor.record_unconfirmed_start(("old", 1), -20.0)
    executor.record_unconfirmed_start((run.task, 1), 1.0)
    executor.record_unconfirmed_start(("gone", 1), 1.0)
    assert executor.list_late_starts(2.0) == [("gone", 1)]
    run.answered_at = 3.0
    assert executor.list_late_starts(4.0) == [(run.task, 1), ("gone", 1)]


# Guards against starts that are forgotten while a copy may arrive, and against records
# that grow for as long as an executor runs.
def test_unconfirmed_starts_are_kept_until_no_copy_can_arrive():
    executor = make_executor("i-0")
    executor.record_unconfirmed_start(("a", 1), 1.0)
    executor.record_unconfirmed_start(("b", 1), 2.0)
    executor.record_unconfirmed_start(("a", 1), 3.0)
    last_s = 2.0 + MAX_ORDER_DELAY_S
    assert executor.list_late_starts(last_s) == [("b", 1), ("a", 1)]
    assert executor.list_late_starts(last_s + 0.1) == [("a", 1)]
    executor.record_unconfirmed_start(("c", 1), 4.0 + MAX_ORDER_DELAY_S)
    assert list(executor.unconfirmed_starts) == [("c", 1)]


load_tests = make_load_tests(globals())
