"""The topics that are benchmarked."""

import importlib

import msgspec

from benchmarks.figures import Figure

__all__ = ["TOPICS", "Topic", "run_topic"]


class Topic(msgspec.Struct, frozen=True):
    """Name the module of a topic; ``on_mock_clock`` ones do not depend on load."""

    module: str
    on_mock_clock: bool


TOPICS = {
    "requests": Topic("benchmarks.requests", True),
    "recovery": Topic("benchmarks.recovery", True),
    "takeover": Topic("benchmarks.takeover", True),
    "takeover_reads": Topic("benchmarks.takeover_reads", True),
    "outage": Topic("benchmarks.outage", True),
    "placement": Topic("benchmarks.placement", False),
    "decisions": Topic("benchmarks.decisions", False),
    "capacity": Topic("benchmarks.capacity", False),
    "processes": Topic("benchmarks.processes", False),
}


def run_topic(name: str, seed: int) -> list[Figure]:
    """Run one topic in this process and return its figures."""
    module = importlib.import_module(TOPICS[name].module)
    return module.run(seed)
