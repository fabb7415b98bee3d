"""Run both deployments' cells on loopback and print one JSON object."""

import json
import sys
import tempfile
from pathlib import Path

import anyio
import click

from demo.cell_run import CellRun
from demo.cells import DEPLOYMENTS

__all__ = ["main"]

SUCCEEDED_STATE = "succeeded"


def summarize(runs: list[CellRun]) -> dict[str, object]:
    """Return the totals over all cells."""
    reasons: dict[str, int] = {}
    for run in runs:
        for reason, count in run.tally.reasons.items():
            reasons[reason] = reasons.get(reason, 0) + count
    states = [state for run in runs for state in run.job_states.values()]
    return {
        "cells": len(runs),
        "requests_sent": sum(run.tally.sent for run in runs),
        "requests_answered": sum(run.tally.answered for run in runs),
        "requests_refused": sum(run.tally.refused for run in runs),
        "requests_unknown": sum(run.tally.unknown for run in runs),
        "reasons": reasons,
        "jobs_accepted": sum(len(run.jobs_accepted) for run in runs),
        "jobs_finished": sum(state == SUCCEEDED_STATE for state in states),
        "invariant_violations": sum(len(run.problems) for run in runs),
        "problems": [problem for run in runs for problem in run.problems],
    }


def is_success(summary: dict[str, object]) -> bool:
    """Return whether no request or job was lost and no invariant was violated."""
    accounted = sum(
        summary[key]
        for key in ("requests_answered", "requests_refused", "requests_unknown")
    )
    return (
        accounted == summary["requests_sent"]
        and summary["jobs_finished"] == summary["jobs_accepted"] > 0
        and summary["invariant_violations"] == 0
    )


@click.command()
@click.option("--seed", default=7, help="Random seed of the load.")
@click.option("--seconds", default=20.0, help="Duration of the load, in seconds.")
@click.option(
    "--keep", type=click.Path(), help="Directory to keep settings and output in."
)
def main(seed: int, seconds: float, keep: str | None) -> None:
    """Run the demo; exit with 1 if work was lost or an invariant was violated."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        runs = [
            CellRun(deployment, folder, seed, seconds) for deployment in DEPLOYMENTS
        ]
        anyio.run(run_all, runs)
    summary = summarize(runs)
    print(json.dumps(summary))
    sys.exit(0 if is_success(summary) else 1)


async def run_all(runs: list[CellRun]) -> None:
    """Run all cells concurrently."""
    async with anyio.create_task_group() as tasks:
        for run in runs:
            tasks.start_soon(run.run)


main()
