"""Planted faults show that the check of caps in the soak of accounts can fail."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

from gypsumring.cell.caps import CapLimiter
from gypsumring.cell.state import CellState
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock
from soak.accounts import run_account_soak

SEEDS = range(15, 41)
SECONDS = 20.0


def assert_found(plant: Callable[[], AbstractContextManager]) -> None:
    """Run seeds with a planted fault until the check of caps has found it."""
    for seed in SEEDS:
        with plant():
            result = run_on_mock_clock(run_account_soak, seed, SECONDS, seed=seed)
        if any(text.startswith("QUOTA") for text in result["violations"]):
            return
    raise AssertionError("no seed has found the fault")


def test_sound_code_is_quiet():
    for seed in list(SEEDS)[:2]:
        result = run_on_mock_clock(run_account_soak, seed, SECONDS, seed=seed)
        assert result["invariant_violations"] == 0, result["violations"]


@contextmanager
def plant_unchecked_starts() -> Iterator[None]:
    """Leave out the checks of caps: when a start is decided, and when it is sent."""
    with (
        mock.patch.object(
            CapLimiter, "count_startable", lambda self, step: len(step.pending)
        ),
        mock.patch.object(CellState, "is_above_cap", lambda self, account: False),
    ):
        yield


def test_starts_without_a_check_of_caps_are_found():
    assert_found(plant_unchecked_starts)


def test_uncounted_tasks_of_an_earlier_owner_are_found():
    assert_found(
        lambda: mock.patch.object(CapLimiter, "count_pending_runs", lambda self: {})
    )


load_tests = make_load_tests(globals())
