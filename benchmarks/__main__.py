"""Run all benchmarks and print one JSON object with the number of regressions."""

import json
import subprocess
import sys
import time
from pathlib import Path

import click
import msgspec

from benchmarks.figures import Figure, print_figures
from benchmarks.results import keep_result
from benchmarks.topics import TOPICS, run_topic

__all__ = ["main"]

REPOSITORY = Path(__file__).resolve().parent.parent


def start_topic(topic: str, seed: int) -> subprocess.Popen:
    """Start one topic in a process of its own, so that topics do not share a heap."""
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks", "--topic", topic, "--seed", str(seed)],
        cwd=REPOSITORY,
        stdout=subprocess.PIPE,
    )


def read_figures(topic: str, process: subprocess.Popen) -> list[Figure]:
    """Return a topic's figures; a topic that failed counts as one missed bound."""
    output, _ = process.communicate()
    if process.returncode != 0:
        return [Figure(f"{topic}.completed", 0, "runs", 1, False)]
    return msgspec.json.decode(output.splitlines()[-1], type=list[Figure])


def run_all(seed: int) -> dict[str, list[Figure]]:
    """Run all topics; those that measure processor time run alone."""
    figures: dict[str, list[Figure]] = {}
    on_mock_clock = [name for name, topic in TOPICS.items() if topic.on_mock_clock]
    started = {topic: start_topic(topic, seed) for topic in on_mock_clock}
    for topic, process in started.items():
        figures[topic] = read_figures(topic, process)
    for topic in TOPICS:
        if topic not in figures:
            figures[topic] = read_figures(topic, start_topic(topic, seed))
    return figures


@click.command()
@click.option("--topic", type=click.Choice(sorted(TOPICS)), help="Run one topic.")
@click.option("--seed", default=7, help="Seed of all topics.")
def main(topic: str | None, seed: int) -> None:
    """Run the benchmarks; exit with 1 if a bound is missed."""
    if topic is not None:
        figures = run_topic(topic, seed)
        print(msgspec.json.encode(figures).decode())
        return
    started_at = time.monotonic()
    by_topic = run_all(seed)
    regressions = 0
    for name, figures in by_topic.items():
        print(f"# {name}")
        print_figures(figures)
        regressions += sum(not figure.passed for figure in figures)
    keep_result(REPOSITORY / "results", by_topic)
    summary: dict[str, float] = {
        figure.name: figure.value for figures in by_topic.values() for figure in figures
    }
    summary["seconds"] = round(time.monotonic() - started_at, 1)
    summary["regressions"] = regressions
    print(json.dumps(summary))
    sys.exit(1 if regressions else 0)


if __name__ == "__main__":
    main()
