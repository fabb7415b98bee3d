"""Planted faults show that the soak of changing capacities can fail."""

from collections.abc import Callable, Iterable
from unittest import mock

import msgspec

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.state import CellState
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock
from soak.capacity import OUTAGE_SEEDS, run_capacity_soak

SECONDS = 30.0


def run(seed: int) -> list[str]:
    """Return the violations that a seed shows."""
    result = run_on_mock_clock(run_capacity_soak, seed, SECONDS, seed=seed)
    return result["violations"]


def assert_found(plant: Callable[[], mock._patch], seeds: Iterable[int]) -> None:
    """Run seeds with a planted fault until the check of LIMIT has found it.

    What the seed shows without the planted fault as well is no find.
    """
    for seed in seeds:
        with plant():
            found = run(seed)
        if any(text.startswith("LIMIT") for text in found) and not run(seed):
            return
    raise AssertionError("no seed has found the fault")


def test_sound_code_is_quiet():
    for seed in (1, 2, 4, 19, 24, 25, 34):
        violations = run(seed)
        assert not violations, violations


def test_capacities_of_the_first_entries_are_found():
    sound_update = ExecutorPoller.update

    def update(self, entry):
        executor = self.state.fleet.get(entry.executor_id)
        if executor is not None and executor.listed:
            entry = msgspec.structs.replace(
                entry,
                cpu_millis=executor.entry.cpu_millis,
                memory_mb=executor.entry.memory_mb,
            )
        sound_update(self, entry)

    assert_found(
        lambda: mock.patch.object(ExecutorPoller, "update", update), range(1, 9)
    )


def test_starts_by_entries_that_cannot_be_read_are_found():
    # The seeds whose executors shrink in outages of the store.
    assert_found(
        lambda: mock.patch.object(CellState, "knows_capacities", lambda self: True),
        range(OUTAGE_SEEDS, 81, OUTAGE_SEEDS),
    )


load_tests = make_load_tests(globals())
