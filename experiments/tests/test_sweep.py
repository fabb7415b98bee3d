"""Tests of the sweep: results repeat for a seed, and the constant is restored."""

import tempfile
from pathlib import Path

from experiments.sweep import find_constant, sweep, write_csv
from gypsumring.dispatch import reserving
from gypsumring.utils.testing import make_load_tests

PARAMETER = "gypsumring.dispatch.reserving:MAX_RESERVED_SHARE"


def run_short_sweep(values: list[float]):
    """Run a short sweep of the maximum share of reserved executors."""
    return sweep(PARAMETER, values, range(3, 4), 8.0, 1.0, False)


def test_sweep_repeats_and_sets_the_constant_back():
    original_value = reserving.MAX_RESERVED_SHARE
    first, second = run_short_sweep([0.3]), run_short_sweep([0.3])
    assert reserving.MAX_RESERVED_SHARE == original_value
    assert [row.worth for row in first] == [row.worth for row in second]
    assert first[0].jobs == sum(row.jobs for row in first[1:]) > 20
    assert 0.0 < first[0].worth <= 1.0


def test_invalid_parameters_are_named_in_errors():
    for parameter, expected in (
        ("gypsumring.no_such:NAME", "no module"),
        ("gypsumring.dispatch.reserving:NO_SUCH", "NO_SUCH"),
    ):
        try:
            find_constant(parameter)
            raise AssertionError(parameter)
        except ValueError as error:
            assert expected in str(error)


def test_table_has_a_row_for_each_kind_and_value():
    rows = run_short_sweep([0.0, 0.3])
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "table.csv"
        write_csv(rows, path)
        lines = path.read_text().splitlines()
    assert len(lines) == 1 + 2 * 4
    assert lines[0].startswith("value,kind,jobs")


load_tests = make_load_tests(globals())
