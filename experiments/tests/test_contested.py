"""Test that the contested room preempts only where it is told to, and repeats."""

from experiments.contested import KINDS, run_contested
from gypsumring.utils.testing import make_load_tests


def test_trial_repeats_and_stops_nothing_without_preemption():
    first, second = (run_contested(1, 3.0, 0.7, False) for _ in range(2))
    assert first.submitted_at == second.submitted_at
    assert first.started_at == second.started_at
    assert first.count_stops() == 0
    assert all(first.list_waits_s(kind) for kind in KINDS)


load_tests = make_load_tests(globals())
