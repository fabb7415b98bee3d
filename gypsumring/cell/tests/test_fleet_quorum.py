"""Executors as witnesses of who owns the cell."""

import itertools

from gypsumring.cell.fleet_quorum import MAX_ANSWER_AGE_S, FleetQuorum
from gypsumring.utils.testing import make_load_tests

NOW = 100.0


def make_quorum(
    recorded: list[str], answering: list[str], changing: list[str] | None = None
) -> FleetQuorum:
    """Return the view of an owner whose executors have just answered."""
    quorum = FleetQuorum()
    quorum.restore(recorded)
    for name in changing or []:
        quorum.begin_change(name)
    for name in answering:
        quorum.record_answer(name, NOW, NOW, True)
    return quorum


# Guards against two owners that both act without the store: the earlier one with its
# executors, the later one because the others have answered it.
def test_earlier_and_later_owner_never_both_have_enough_executors():
    for count, written, deleted in itertools.product(range(7), range(3), range(3)):
        names = [f"i-{number}" for number in range(count)]
        added = [f"a-{number}" for number in range(written)]
        removed = names[:deleted]
        # The log may or may not contain the changes that were not answered.
        for logged in ({*names}, {*names, *added} - {*removed}, {*names, *added}):
            for taken in itertools.combinations(sorted(logged), (len(logged) + 1) // 2):
                kept = [name for name in [*names, *added] if name not in taken]
                earlier = make_quorum(names, kept, [*added, *removed])
                later = FleetQuorum()
                later.restore(logged)
                for name in taken:
                    later.record_answer(name, NOW, NOW, False)
                has_turned = later.turned_at() <= NOW
                assert has_turned is bool(logged)
                assert not (has_turned and earlier.has_majority(NOW)), (logged, taken)


def test_answers_count_for_a_time_from_the_request():
    quorum = make_quorum(["i-0", "i-1", "i-2"], ["i-0", "i-1"])
    assert quorum.has_majority(NOW + MAX_ANSWER_AGE_S)
    assert not quorum.has_majority(NOW + MAX_ANSWER_AGE_S + 0.1)
    # A late answer to an earlier request is no newer evidence.
    quorum.record_answer("i-0", NOW - 1.0, NOW + 5.0, True)
    assert not quorum.has_majority(NOW + MAX_ANSWER_AGE_S + 0.1)


def test_unconfirmed_incarnation_is_no_witness_for_the_owner():
    quorum = make_quorum(["i-0"], [])
    quorum.record_answer("i-0", NOW, NOW, False)
    assert not quorum.has_majority(NOW)
    assert quorum.turned_at() == NOW


def test_deleted_executor_is_not_needed_any_more():
    quorum = make_quorum(["i-0", "i-1"], ["i-0"])
    assert not quorum.has_majority(NOW)
    quorum.begin_change("i-1")
    assert not quorum.has_majority(NOW)
    quorum.end_change("i-1", False)
    assert quorum.has_majority(NOW)


def test_record_that_is_written_and_deleted_may_be_in_the_log_until_both_are_answered():
    quorum = make_quorum([], [])
    quorum.begin_change("i-0")
    quorum.begin_change("i-0")
    quorum.end_change("i-0", True)
    assert quorum.may_be_recorded("i-0") and not quorum.has_majority(NOW)
    quorum.end_change("i-0", False)
    assert not quorum.may_be_recorded("i-0") and quorum.has_majority(NOW)


load_tests = make_load_tests(globals())
