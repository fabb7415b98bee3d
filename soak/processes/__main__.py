"""Run trials with real processes and print one JSON object."""

import json
import sys
import tempfile
from pathlib import Path

import anyio
import click

from demo.cells import DEPLOYMENTS
from soak.processes.trial import ProcessTrial

__all__ = ["main"]


def summarize(trials: list[ProcessTrial]) -> dict[str, object]:
    """Return the totals of all trials."""
    refused: dict[str, int] = {}
    for trial in trials:
        for reason, count in trial.tally.reasons.items():
            refused[reason] = refused.get(reason, 0) + count
    problems = [problem for trial in trials for problem in trial.problems]
    return {
        "trials": len(trials),
        "requests_sent": sum(trial.tally.sent for trial in trials),
        "requests_answered": sum(trial.tally.answered for trial in trials),
        "requests_refused": sum(trial.tally.refused for trial in trials),
        "requests_unknown": sum(trial.tally.unknown for trial in trials),
        "connections_broken": sum(len(trial.tally.broken) for trial in trials),
        "reasons": refused,
        "jobs_accepted": sum(len(trial.jobs_accepted) for trial in trials),
        "jobs_not_accepted": sum(len(trial.jobs_not_accepted) for trial in trials),
        "ended_with_0": sum(trial.ended_with_0 for trial in trials),
        "violations": len(problems),
        "problems": problems[:50],
    }


def run_trial(seed: int, number: int, folder: Path) -> ProcessTrial:
    """Run one trial and print its problems."""
    folder.mkdir(parents=True, exist_ok=True)
    deployment = DEPLOYMENTS[number % len(DEPLOYMENTS)]
    trial = ProcessTrial(deployment, folder, f"{seed}/{number}")
    anyio.run(trial.run)
    for problem in trial.problems:
        print(f"trial {number}: {problem}", flush=True)
    return trial


@click.command()
@click.option("--seed", default=7, help="Seed of the load and the faults.")
@click.option("--trials", default=1, help="Number of trials.")
@click.option("--keep", type=click.Path(), help="Keep settings and output here.")
def main(seed: int, trials: int, keep: str | None) -> None:
    """Run the trials one after the other; exit with 1 after any violation."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        done = [
            run_trial(seed, number, folder / f"trial-{number}")
            for number in range(trials)
        ]
    summary = summarize(done)
    print(json.dumps(summary))
    sys.exit(1 if summary["violations"] else 0)


if __name__ == "__main__":
    main()
