"""What the owner of a cell has learned about its executors and its kinds of work."""

from collections.abc import Mapping

from gypsumring.fleet.interference import Interference, Neighbour
from gypsumring.fleet.profiles import ExecutorProfile
from gypsumring.fleet.runtimes import Evidence, Runtimes
from gypsumring.pipelines.model import WorkKind

__all__ = ["FleetKnowledge"]


class FleetKnowledge:
    """Knowledge that all executors of a cell share. Losing it costs only knowledge."""

    __slots__ = ("interference", "runtimes")

    def __init__(self):
        self.runtimes = Runtimes()
        self.interference = Interference()

    def learn(
        self,
        profile: ExecutorProfile,
        kind: WorkKind,
        log_ratios: Mapping[Evidence, float],
        neighbours: Mapping[WorkKind, Neighbour],
        load: float,
        now: float,
        sample_weight: float = 1.0,
    ) -> None:
        """Learn from the log ratios of actual to estimated time of one run.

        The speed of the executor and the ratio of the kind are learned without the
        known effects of neighbours, and effects of neighbours without the known speed.
        Of several ratios, the one with the least spread shows the effects. The tail
        latency of serving tasks depends on their load and shows no speed.
        """
        known_effect = self.interference.penalty(kind, neighbours)
        log_slowness = profile.log_slowness
        residual, residual_weight = 0.0, 0.0
        for evidence, log_ratio in log_ratios.items():
            window = self.runtimes.window(kind, evidence)
            comparison = window.compare(log_ratio - known_effect, profile)
            if comparison is not None:
                slowness, weight = comparison
                if weight > residual_weight:
                    residual = slowness + known_effect - log_slowness
                    residual_weight = weight
                if evidence is not Evidence.TAIL:
                    profile.add(slowness, weight)
            window.add(log_ratio - known_effect, profile)
        if residual_weight:
            self.interference.record(
                kind, residual, neighbours, load, now, sample_weight
            )
