"""Command line of the soak of partitions."""

import json
import sys
from pathlib import Path

import anyio
import click

from soak.nodes.signals import run_until_signal
from soak.partitions.faults import Kind
from soak.partitions.trial import run_trial


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--nodes", default=5, help="Number of node processes.")
@click.option("--seconds", default=30.0, help="Time in which faults begin.")
@click.option(
    "--kind",
    default="all",
    type=click.Choice(["all", *(kind.value for kind in Kind)]),
    help="Kind of the faults.",
)
@click.option("--keep", default="", help="Keep the logs of each seed in this folder.")
def main(
    seed: int, seeds: int, nodes: int, seconds: float, kind: str, keep: str
) -> None:
    """Print one JSON object a seed; exit with 1 if a check has failed."""
    failed = False
    kinds = list(Kind) if kind == "all" else [Kind(kind)]
    for each in range(seed, seed + seeds):
        folder = str(Path(keep) / f"seed-{each}") if keep else ""
        trial = anyio.run(
            run_until_signal, run_trial, each, nodes, seconds, kinds, folder
        )
        if trial is None:
            sys.exit(1)
        if trial.problems:
            failed = True
            print(f"seed {each} failed; faults:")
            print("\n".join(trial.faults.played))
            print("lines about ownership:")
            print("\n".join(trial.ownership.format()))
        result = {"seed": each, "nodes": nodes, "kind": kind}
        print(json.dumps(result | trial.summarize()), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
