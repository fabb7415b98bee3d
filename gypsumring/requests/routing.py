"""Choose an executor among those with a free slot."""

import random
from collections.abc import Sequence
from typing import Protocol

import msgspec

__all__ = [
    "LeastLoaded",
    "PowerOfTwoChoices",
    "RandomRouting",
    "Routable",
    "Routing",
    "choose_executor",
    "parse_routing",
]


class Routable(Protocol):
    """What routing reads of an executor; ``latency_s`` is 0 while unmeasured."""

    busy: int
    slots: int
    latency_s: float


class RandomRouting(msgspec.Struct, frozen=True, tag="random"):
    """Choose with equal probability.

    Without ``ejects``, executors that fail or are slow stay in the draw; benchmarks
    compare with this.
    """

    ejects: bool = True


class LeastLoaded(msgspec.Struct, frozen=True, tag="least_loaded"):
    """Choose the executor with the shortest expected time to answer."""


class PowerOfTwoChoices(msgspec.Struct, frozen=True, tag="power_of_two"):
    """Draw two executors and choose the one that is expected to answer sooner."""


Routing = RandomRouting | LeastLoaded | PowerOfTwoChoices


def parse_routing(name: str) -> Routing:
    """Return the policy that the settings name; raise ValueError."""
    match name:
        case "default" | "least_loaded":
            return LeastLoaded()
        case "random":
            return RandomRouting()
        case "power_of_two":
            return PowerOfTwoChoices()
    raise ValueError(
        f"unknown routing {name!r}; expected default, least_loaded, random "
        "or power_of_two"
    )


def choose_executor(
    policy: Routing, candidates: Sequence[Routable], random_source: random.Random
) -> Routable:
    """Return one of the candidates, of which there is at least one."""
    match policy:
        case RandomRouting():
            return random_source.choice(candidates)
        case LeastLoaded():
            shuffled = random_source.sample(candidates, len(candidates))
            return min(shuffled, key=expected_time)
        case PowerOfTwoChoices():
            drawn = random_source.sample(candidates, min(2, len(candidates)))
            return min(drawn, key=expected_time)


def expected_time(executor: Routable) -> tuple[float, float]:
    """Rank an executor by its latency, then by the share of its slots in use."""
    load = (executor.busy + 1) / max(executor.slots, 1)
    return executor.latency_s * (1 + load), load
