"""Tests of quarantine and back-off of executors."""

from gypsumring.fleet.health import (
    INITIAL_BACKOFF_S,
    INITIAL_QUARANTINE_S,
    MAX_BACKOFF_S,
    PROBE_S,
    PROVEN_RUN_S,
    ExecutorHealth,
)
from gypsumring.utils.testing import make_load_tests


# A back-off of constant length ended before the next attempt of a gang, which then
# returned to an executor that refused each time.
def test_backoff_doubles_up_to_its_maximum_on_repeated_refusals():
    health, now, backoffs = ExecutorHealth(), 0.0, []
    for _ in range(6):
        assert health.record_refusal(now)
        backoffs.append((health.available_at() - now) / INITIAL_BACKOFF_S)
        now = health.available_at()
        assert not health.is_quarantined(now)
    assert backoffs[:4] == [1, 2, 4, 8]
    assert backoffs[-1] * INITIAL_BACKOFF_S == MAX_BACKOFF_S


# Starts sent in one batch are refused together and must not each double the back-off.
def test_starts_refused_together_begin_one_backoff():
    health = ExecutorHealth()
    assert health.record_refusal(0.0)
    assert not health.record_refusal(0.01)
    assert health.available_at() == INITIAL_BACKOFF_S


# Otherwise a recovered executor would back off for long after its next refusal.
def test_accepted_start_ends_the_backoff():
    health = ExecutorHealth()
    health.record_refusal(0.0)
    health.record_refusal(2.0)
    health.record_accepted(2.5)
    assert not health.is_quarantined(2.5)
    assert not health.is_suspect()
    health.record_refusal(3.0)
    assert health.available_at() == 3.0 + INITIAL_BACKOFF_S


# Guards against a response to an earlier start that arrives after the refusal.
def test_start_sent_before_the_refusal_does_not_end_the_backoff():
    health = ExecutorHealth()
    health.record_refusal(1.0)
    health.record_accepted(0.9)
    assert health.is_quarantined(1.5)
    assert health.is_suspect()


# Neither a back-off nor its end may shorten a quarantine.
def test_quarantine_outlasts_a_backoff():
    health = ExecutorHealth()
    health.quarantine(0.0)
    until = health.quarantined_until
    health.record_refusal(0.1)
    health.record_accepted(0.2)
    assert health.available_at() == until


def test_long_quarantine_may_be_probed_after_the_shortest_one():
    health = ExecutorHealth()
    now = 0.0
    for _ in range(4):
        health.record_failure(now)
        if health.is_quarantined(now):
            assert not health.may_be_probed(now + INITIAL_QUARANTINE_S - 0.1)
            assert health.may_be_probed(now + INITIAL_QUARANTINE_S)
        now = health.available_at()


# An old long poll may still reach a new incarnation, which must not run anything then.
def test_quarantine_for_safety_is_never_probed():
    health = ExecutorHealth()
    health.forbid_work(13.0)
    assert not health.may_be_probed(12.9)
    health.quarantine(1.0)
    assert health.is_quarantined(12.9) and not health.may_be_probed(12.9)
    assert health.may_be_probed(13.0)
    # Nor does the end of a task that ran before allow work.
    health.record_start(2.0)
    health.record_success()
    assert health.is_quarantined(12.9)


def test_one_probe_at_a_time_ends_a_quarantine_by_its_success():
    for succeeds in (False, True):
        health = ExecutorHealth()
        for _ in range(2):
            health.quarantine(0.0)
        assert health.may_be_probed(INITIAL_QUARANTINE_S)
        health.record_start(INITIAL_QUARANTINE_S)
        assert not health.may_be_probed(INITIAL_QUARANTINE_S + PROBE_S - 0.1)
        if succeeds:
            health.record_success()
            assert not health.is_quarantined(INITIAL_QUARANTINE_S)
        else:
            assert health.is_quarantined(INITIAL_QUARANTINE_S)
            assert health.may_be_probed(INITIAL_QUARANTINE_S + PROBE_S)


def test_lasting_task_that_has_worked_counts_as_a_success_before_it_fails():
    health = ExecutorHealth()
    for number in range(5):
        health.record_failure(float(number), ran_s=PROVEN_RUN_S)
        assert health.failures == 1 and not health.is_quarantined(float(number))
    health.record_failure(5.0, ran_s=PROVEN_RUN_S / 2)
    assert health.is_quarantined(5.0)


load_tests = make_load_tests(globals())
