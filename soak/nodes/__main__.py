"""Command line of the soak of node processes."""

import json
import sys
from pathlib import Path

import anyio
import click

from soak.nodes.signals import run_until_signal
from soak.nodes.trial import run_trial


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--nodes", default=8, help="Number of node processes.")
@click.option("--seconds", default=20.0, help="Length of the plan of faults.")
@click.option("--share", default=1.0, help="Share of a core that each machine has.")
@click.option("--keep", default="", help="Keep the logs of each seed in this folder.")
def main(
    seed: int, seeds: int, nodes: int, seconds: float, share: float, keep: str
) -> None:
    """Print one JSON object a seed; exit with 1 if a check has failed."""
    failed = False
    for each in range(seed, seed + seeds):
        folder = str(Path(keep) / f"seed-{each}") if keep else ""
        trial = anyio.run(
            run_until_signal, run_trial, each, nodes, seconds, share, folder
        )
        if trial is None:
            sys.exit(1)
        if trial.problems:
            failed = True
            print(f"seed {each} failed; faults:")
            print("\n".join(map(str, trial.plan)))
            print("lines about ownership:")
            print("\n".join(trial.ownership.format()))
        result = {"seed": each, "nodes": nodes, "seconds": seconds, "share": share}
        print(json.dumps(result | trial.summarize()), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
