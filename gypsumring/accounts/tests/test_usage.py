"""Tests of the count of what accounts have running."""

from gypsumring.accounts import AccountUsage, Resources, dominant_share
from gypsumring.utils.testing import make_load_tests


def test_attempts_of_an_account_are_summed_over_all_executors():
    usage = AccountUsage()
    usage.add("a", Resources(2000, 512, 1))
    usage.add("a", Resources(500, 100))
    usage.add("b", Resources(1000))
    usage.remove("a", Resources(500, 100))
    assert usage.get("a") == Resources(2000, 512, 1)
    assert usage.get("b") == Resources(1000)


def test_accounts_that_hold_nothing_are_not_retained():
    usage = AccountUsage()
    usage.add("a", Resources(2000))
    usage.remove("a", Resources(2000))
    assert list(usage) == []
    assert usage.get("a") == Resources()


def test_attempts_that_need_nothing_are_released_in_any_order():
    """Guards against errors in the owner when a second such task is released."""
    usage = AccountUsage()
    usage.add("a", Resources())
    usage.add("a", Resources(2000))
    usage.add("a", Resources())
    usage.remove("a", Resources(2000))
    usage.remove("a", Resources())
    usage.remove("a", Resources())
    assert list(usage) == []


def test_dominant_share_is_that_of_the_scarcest_resource():
    total = Resources(10_000, 1000)
    assert dominant_share(Resources(1000, 500), total) == 0.5
    assert dominant_share(Resources(4000, 100), total) == 0.4
    assert dominant_share(Resources(4000, 100), Resources()) == 0.0


load_tests = make_load_tests(globals())
