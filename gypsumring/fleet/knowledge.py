"""What the owner of a cell has learned about its executors and its kinds of work."""

from gypsumring.fleet.profiles import ExecutorProfile
from gypsumring.fleet.runtimes import Evidence, Runtimes
from gypsumring.pipelines.model import WorkKind

__all__ = ["FleetKnowledge"]


class FleetKnowledge:
    """Knowledge that all executors of a cell share. Losing it costs only knowledge."""

    __slots__ = ("runtimes",)

    def __init__(self):
        self.runtimes = Runtimes()

    def learn(
        self,
        profile: ExecutorProfile,
        kind: WorkKind,
        evidence: Evidence,
        log_ratio: float,
    ) -> None:
        """Compare a log ratio with those of the same kind on other executors."""
        window = self.runtimes.window(kind, evidence)
        comparison = window.compare(log_ratio, profile)
        if comparison is not None:
            profile.add(*comparison)
        window.add(log_ratio, profile)
