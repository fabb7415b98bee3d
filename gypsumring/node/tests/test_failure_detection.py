"""Tests of the decisions on which owner counts as failed."""

import random

from gypsumring.node.failure_detection import (
    MIN_SERVICE_S,
    MONITOR_COUNT,
    REPORT_VALID_S,
    OwnerReports,
    OwnerTerm,
    choose_monitors,
)
from gypsumring.transport import ResponseTimes
from gypsumring.utils.testing import make_load_tests

NAMES = [f"n{number}" for number in range(97)]


def test_owner_is_reportable_only_after_it_has_served_for_a_while():
    term = OwnerTerm("a1", 7, 100.0)
    assert not term.is_reportable("a1", 7, 100.0 + MIN_SERVICE_S - 0.1)
    assert term.is_reportable("a1", 7, 100.0 + MIN_SERVICE_S)
    assert not term.is_reportable("a2", 7, 200.0)
    # Another owner has taken over since.
    assert not term.is_reportable("a1", 8, 200.0)


def test_only_a_majority_of_the_nodes_confirms_a_failure():
    reports = OwnerReports()
    for count, name in enumerate(NAMES, start=1):
        reports.record(name, "a1", 7, 1.0)
        assert reports.is_confirmed(len(NAMES), 1.0) == (count * 2 > len(NAMES))


def test_repeated_reports_of_one_node_count_once():
    reports = OwnerReports()
    for _ in range(10):
        reports.record("n1", "a1", 7, 1.0)
    assert not reports.is_confirmed(3, 1.0)


def test_old_reports_do_not_count():
    reports = OwnerReports()
    reports.record("n1", "a1", 7, 1.0)
    reports.record("n2", "a1", 7, 1.0 + REPORT_VALID_S)
    assert not reports.is_confirmed(3, 1.0 + REPORT_VALID_S)


def test_reports_about_different_owners_are_not_added_up():
    reports = OwnerReports()
    reports.record("n1", "a1", 7, 1.0)
    reports.record("n2", "a2", 8, 1.0)
    reports.record("n3", "a1", 7, 1.0)
    assert not reports.is_confirmed(3, 1.0)
    reports.record("n3", "a2", 8, 1.0)
    assert reports.is_confirmed(3, 1.0)


def test_all_nodes_choose_the_same_few_monitors():
    expected = choose_monitors(7, NAMES)
    assert len(expected) == MONITOR_COUNT
    shuffled = list(NAMES)
    random.Random(1).shuffle(shuffled)
    assert choose_monitors(7, shuffled) == expected
    chosen = {name for fence in range(200) for name in choose_monitors(fence, NAMES)}
    assert len(chosen) > len(NAMES) * 0.9


def test_time_limit_of_a_ping_follows_the_answers_of_a_slow_owner():
    # All nodes lost a live owner in the same instant, as its link was congested and
    # each answer took longer than the fixed time limit.
    times = ResponseTimes()
    assert times.timeout_s(0.2, 0.8) == 0.2
    for _ in range(50):
        times.record(0.01)
    assert times.timeout_s(0.2, 0.8) == 0.2
    for number in range(20):
        slow_s = 0.01 + 0.015 * number
        assert slow_s < times.timeout_s(0.2, 0.8)
        times.record(slow_s)
    for _ in range(50):
        times.record(2.0)
    assert times.timeout_s(0.2, 0.8) == 0.8


load_tests = make_load_tests(globals())
