"""Command ``python -m experiments``."""

import sys
from pathlib import Path

import click

from experiments.plotting import write_plot
from experiments.sweep import sweep, write_csv

BAD_USAGE = 2


@click.command()
@click.option(
    "--parameter", required=True, help="Constant to sweep: package.module:NAME."
)
@click.option("--values", required=True, help="Comma-separated values of the constant.")
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=3, help="Number of consecutive seeds.")
@click.option("--seconds", default=60.0, help="Simulated seconds of load.")
@click.option("--load", default=1.0, help="Factor on the arrival rates of all jobs.")
@click.option("--faults/--no-faults", default=True, help="Fail owner and executor.")
@click.option("--out", default="target/experiments", help="Output directory.")
def main(
    parameter: str,
    values: str,
    seed: int,
    seeds: int,
    seconds: float,
    load: float,
    faults: bool,
    out: str,
) -> None:
    """Sweep a constant over the load model; write a CSV table and a plot."""
    try:
        numbers = [float(value) for value in values.split(",")]
        rows = sweep(
            parameter, numbers, range(seed, seed + seeds), seconds, load, faults
        )
    except ValueError as error:
        click.echo(f"experiments: {error}", err=True)
        sys.exit(BAD_USAGE)
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    name = parameter.rpartition(":")[2].lower()
    write_csv(rows, folder / f"{name}.csv")
    write_plot(rows, f"{parameter}, load {load:g}", folder / f"{name}.png")
    for row in rows:
        click.echo(
            f"{row.value:>8g} {row.kind:<8} jobs {row.jobs:>5}"
            f" in time {row.in_time:.3f}"
            f" worth {row.worth:.3f} p50 {row.p50_s:.2f} s p99 {row.p99_s:.2f} s"
        )


if __name__ == "__main__":
    main()
