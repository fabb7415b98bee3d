"""Plot the results of a sweep."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from experiments.sweep import Row  # noqa: E402

__all__ = ["write_plot"]


def write_plot(rows: list[Row], title: str, path: Path) -> None:
    """Plot the share of worth and the p99 of each kind against the constant."""
    figure, (worth_axes, p99_axes) = pyplot.subplots(1, 2, figsize=(10, 4))
    for kind in dict.fromkeys(row.kind for row in rows):
        kind_rows = [row for row in rows if row.kind == kind]
        values = [row.value for row in kind_rows]
        worth_axes.plot(values, [row.worth for row in kind_rows], "o-", label=kind)
        if kind != "all":
            p99_axes.plot(values, [row.p99_s for row in kind_rows], "o-", label=kind)
    worth_axes.set(title=title, xlabel="value", ylabel="share of worth")
    p99_axes.set(title="p99 of completed jobs", xlabel="value", ylabel="seconds")
    worth_axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
