"""Sweep one constant of the scheduler over a list of values."""

import csv
import importlib
import statistics
from pathlib import Path
from types import ModuleType

from experiments.load import KINDS
from experiments.trial import KindResult, run_trial

__all__ = ["Row", "find_constant", "sweep", "write_csv"]

FIELDS = ("value", "kind", "jobs", "in_time", "worth", "p50_s", "p99_s")


class Row:
    """Results of one kind of job, or of all kinds, at one value of the constant.

    Counts and shares are taken over all seeds; percentiles are means over the results.
    """

    __slots__ = FIELDS

    def __init__(self, value: float, kind: str, results: list[KindResult]):
        self.value = value
        self.kind = kind
        self.jobs = sum(result.submitted for result in results)
        in_time_jobs = sum(result.in_time for result in results)
        self.in_time = in_time_jobs / self.jobs if self.jobs else 1.0
        possible_worth = sum(result.submitted * result.kind.worth for result in results)
        earned_worth = sum(result.earned * result.kind.worth for result in results)
        self.worth = earned_worth / possible_worth if possible_worth else 1.0
        self.p50_s = statistics.mean(result.percentile_s(0.5) for result in results)
        self.p99_s = statistics.mean(result.percentile_s(0.99) for result in results)


def find_constant(path: str) -> tuple[ModuleType, str]:
    """Return module and name of ``package.module:NAME``.

    Raise ValueError if the module does not exist or NAME is not a number in it.
    """
    module_name, _, name = path.partition(":")
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        raise ValueError(f"parameter: no module {module_name!r}") from error
    if not isinstance(getattr(module, name, None), int | float):
        raise ValueError(f"parameter: {module_name} has no numeric constant {name!r}")
    return module, name


def sweep(
    path: str,
    values: list[float],
    seeds: range,
    seconds: float,
    load: float,
    faults: bool,
) -> list[Row]:
    """Run all seeds at each value of a constant and restore the constant.

    Return a row for all kinds together and one for each kind, per value.
    """
    module, name = find_constant(path)
    original_value = getattr(module, name)
    rows = []
    try:
        for value in values:
            setattr(module, name, type(original_value)(value))
            trials = [run_trial(seed, seconds, load, faults) for seed in seeds]
            all_results = [result for trial in trials for result in trial.values()]
            rows.append(Row(value, "all", all_results))
            for kind in KINDS:
                results = [trial[kind.name] for trial in trials]
                rows.append(Row(value, kind.name, results))
    finally:
        setattr(module, name, original_value)
    return rows


def write_csv(rows: list[Row], path: Path) -> None:
    """Write the rows as CSV with a header."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(FIELDS)
        for row in rows:
            writer.writerow([getattr(row, field) for field in FIELDS])
