"""Tests of the rate of submissions: a hot account is beyond it, others are not."""

from gypsumring.accounts import ClientAccount, RateMeter
from gypsumring.utils.testing import make_load_tests

ACCOUNT = ClientAccount(name="a", weight=4.0)
# A Unix time in milliseconds.
START_MS = 1_790_000_000_000


def count_within(meter, account, jobs, seconds, start_ms=START_MS):
    """Return how many jobs are within the rate if they arrive evenly."""
    times = [start_ms + round(1000 * seconds * n / jobs) for n in range(jobs)]
    return sum(not meter.record(account, now_ms) for now_ms in times)


def test_jobs_at_the_rate_are_within_it():
    assert count_within(RateMeter(), ACCOUNT, 40, 10) == 40


def test_hot_account_keeps_its_rate_and_one_second_of_burst():
    within = count_within(RateMeter(), ACCOUNT, 280, 10)
    assert 40 <= within <= 44


def test_unused_rate_is_kept_for_one_second_only():
    meter = RateMeter()
    count_within(meter, ACCOUNT, 4, 1)
    assert count_within(meter, ACCOUNT, 20, 0, START_MS + 60_000) == 4


def test_account_with_a_small_weight_may_submit_single_jobs():
    account = ClientAccount(name="s", weight=0.1)
    meter = RateMeter()
    assert not meter.record(account, START_MS)
    assert meter.record(account, START_MS + 5_000)
    assert not meter.record(account, START_MS + 16_000)


def test_clock_that_jumps_back_gains_nothing():
    meter = RateMeter()
    assert count_within(meter, ACCOUNT, 4, 0) == 4
    assert meter.record(ACCOUNT, START_MS - 60_000)
    assert meter.record(ACCOUNT, START_MS)


load_tests = make_load_tests(globals())
