"""Command ``python -m experiments.ablation``: what each mechanism is worth."""

import importlib
import json
import math
import statistics
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click

from experiments.trial import run_trial

__all__ = ["MECHANISMS", "Mechanism", "measure", "switched_off"]

BAD_USAGE = 2
# Quantile of the normal distribution for intervals of 95 %.
INTERVAL_QUANTILE = 1.96


class Mechanism:
    """Mechanism of the decision path, and the attributes that switch it off.

    A target is written as ``package.module:NAME`` or ``package.module:Class.NAME``.
    """

    __slots__ = ("name", "off_values")

    def __init__(self, name: str, **off_values: Any):
        self.name = name
        self.off_values = off_values


def always(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments and returns ``value``."""
    return lambda *args, **options: value


DISPATCH = "gypsumring.dispatch"
CELL = "gypsumring.cell"

MECHANISMS = (
    Mechanism(
        "reservations",
        **{
            f"{DISPATCH}.reserving:needs_reservation": always(False),
            f"{DISPATCH}.reserving:choose_free_capacity": always([]),
        },
    ),
    Mechanism(
        "starving steps first", **{f"{DISPATCH}.backlog:STARVING_FACTOR": math.inf}
    ),
    Mechanism(
        "nodes kept for short policy calls",
        **{f"{DISPATCH}.policy_proxies:SHORT_CALL_NODE_SHARE": 0.0},
    ),
    Mechanism(
        "surplus of queried executors", **{f"{DISPATCH}.asking:SURPLUS_FACTOR": 1.0}
    ),
    Mechanism(
        "gangs query only if they may start",
        **{f"{CELL}.policy_client:may_complete_gang": always(True)},
    ),
    Mechanism(
        "health of executors",
        **{"gypsumring.fleet.health:ExecutorHealth.is_quarantined": always(False)},
    ),
    Mechanism(
        "speeds of executors",
        **{"gypsumring.fleet.profiles:ExecutorProfile.add": always(None)},
    ),
    Mechanism(
        "work kept apart",
        **{"gypsumring.fleet.interference:Interference.record": always(None)},
    ),
    Mechanism("copies of appends", **{f"{CELL}.journal:MAX_COPIES": 1}),
    Mechanism(
        "frequent copies in an outage",
        **{
            f"{CELL}.journal:MAX_COPY_INTERVAL_S": 0.5,
            f"{CELL}.journal:MAX_REFUSED_PAUSE_S": 0.4,
        },
    ),
    Mechanism(
        "submissions wait for the store", **{f"{CELL}.commands:STORE_WAIT_SHARE": 0.0}
    ),
)


def find_attribute(target: str) -> tuple[Any, str]:
    """Return the object and the name of a target; raise ValueError if it is missing."""
    module_name, _, path = target.partition(":")
    owner: Any = importlib.import_module(module_name)
    *classes, name = path.split(".")
    for class_name in classes:
        owner = getattr(owner, class_name, None)
    if not hasattr(owner, name):
        raise ValueError(f"no attribute {target!r}")
    return owner, name


@contextmanager
def switched_off(mechanism: Mechanism) -> Iterator[None]:
    """Switch a mechanism off and restore it afterwards."""
    restored = []
    try:
        for target, off_value in mechanism.off_values.items():
            owner, name = find_attribute(target)
            restored.append((owner, name, getattr(owner, name)))
            setattr(owner, name, off_value)
        yield
    finally:
        for owner, name, value in restored:
            setattr(owner, name, value)


def measure(seeds: range, seconds: float, load: float) -> list[float]:
    """Return the share of the worth that is earned with each seed."""
    shares = []
    for seed in seeds:
        results = run_trial(seed, seconds, load, True, store_outage=True).values()
        possible = sum(result.submitted * result.kind.worth for result in results)
        earned = sum(result.earned * result.kind.worth for result in results)
        shares.append(earned / possible if possible else 1.0)
    return shares


def half_interval(values: list[float]) -> float:
    """Return half of the 95 % interval of the mean, 0 for a single value."""
    if len(values) < 2:
        return 0.0
    return INTERVAL_QUANTILE * statistics.stdev(values) / math.sqrt(len(values))


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=3, help="Number of consecutive seeds.")
@click.option("--seconds", default=40.0, help="Simulated seconds of load.")
@click.option("--load", default=1.0, help="Factor on the arrival rates of all jobs.")
def main(seed: int, seeds: int, seconds: float, load: float) -> None:
    """Switch off each mechanism in turn and print its worth with intervals."""
    if seeds < 1:
        click.echo("ablation: --seeds must be at least 1", err=True)
        sys.exit(BAD_USAGE)
    all_seeds = range(seed, seed + seeds)
    full = measure(all_seeds, seconds, load)
    click.echo(f"{'all mechanisms':<36} worth {statistics.mean(full):.4f}")
    worth_by_name = {}
    for mechanism in MECHANISMS:
        with switched_off(mechanism):
            without = measure(all_seeds, seconds, load)
        losses = [a - b for a, b in zip(full, without, strict=True)]
        loss, interval = statistics.mean(losses), half_interval(losses)
        worth_by_name[mechanism.name] = {"worth": loss, "interval": interval}
        click.echo(f"{mechanism.name:<36} worth {loss:+.4f} +- {interval:.4f}")
    click.echo(json.dumps({"all": statistics.mean(full), "mechanisms": worth_by_name}))


if __name__ == "__main__":
    main()
