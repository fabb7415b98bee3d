"""What teams use of their quotas, and how long services' tasks run."""

from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.work import Resources
from gypsumring.settings import CellSettings

__all__ = ["RunTimes", "TeamUsage", "count_fitting"]

NOTHING = Resources()
# Weight of the newest run in the learned run time of a service.
LEARNING_WEIGHT = 0.2


def count_fitting(resources: Resources, free: Resources, limit: int) -> int:
    """Return how many times ``resources`` fit in ``free``, at most ``limit``."""
    for wanted, available in (
        (resources.cpu_millis, free.cpu_millis),
        (resources.memory_mb, free.memory_mb),
        (resources.accelerators, free.accelerators),
    ):
        if wanted > 0:
            limit = min(limit, available // wanted)
    return max(0, limit)


class TeamUsage:
    """Count the resources of live attempts of each team.

    ``possible`` is an upper bound of what unrecovered tasks of the previous owner may
    use, so that the quota also holds while a new owner asks the racks.
    """

    __slots__ = ("cell", "possible", "used")

    def __init__(self, cell: CellSettings):
        self.cell = cell
        self.used: dict[str, Resources] = {}
        self.possible: dict[str, Resources] = {}

    def quota(self, team: str) -> Resources:
        """Return the quota of a team, nothing for an unknown one."""
        settings = self.cell.teams.get(team)
        return NOTHING if settings is None else settings.quota

    def count_allowed(self, team: str, resources: Resources, limit: int) -> int:
        """Return how many more tasks of a size the quota allows."""
        free = self.quota(team) - self.used.get(team, NOTHING)
        return count_fitting(resources, free - self.possible.get(team, NOTHING), limit)

    def add(self, team: str, resources: Resources) -> None:
        """Count a new attempt; raise InvariantViolation above the quota."""
        used = self.used.get(team, NOTHING) + resources
        if not used.fits_in(self.quota(team)):
            raise InvariantViolation(
                f"team {team!r} would use {used} of its quota {self.quota(team)}"
            )
        self.used[team] = used

    def adopt(self, team: str, resources: Resources) -> None:
        """Count an attempt that already runs, whatever the quota is now."""
        self.used[team] = self.used.get(team, NOTHING) + resources

    def remove(self, team: str, resources: Resources) -> None:
        """Count an attempt as ended."""
        used = self.used.get(team, NOTHING) - resources
        if used.is_negative():
            raise InvariantViolation(f"team {team!r} would use {used}")
        self.used[team] = used

    def weigh(self, team: str, capacity: Resources) -> float:
        """Return the largest used fraction of the capacity, divided by the share."""
        used = self.used.get(team, NOTHING)
        settings = self.cell.teams.get(team)
        share = 1 if settings is None else settings.share
        return (
            max(
                used.cpu_millis / max(1, capacity.cpu_millis),
                used.memory_mb / max(1, capacity.memory_mb),
                used.accelerators / max(1, capacity.accelerators),
            )
            / share
        )


class RunTimes:
    """Learn how long tasks of each service run, as declared times are far off."""

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds: dict[str, float] = {}

    def learn(self, service: str, run_s: float) -> None:
        """Take in the run time of one task that succeeded."""
        known = self.seconds.get(service)
        self.seconds[service] = (
            run_s if known is None else known + LEARNING_WEIGHT * (run_s - known)
        )

    def estimate_s(self, service: str, declared_run_ms: int) -> float:
        """Return the learned run time, or the declared one before any run."""
        return self.seconds.get(service, declared_run_ms / 1000)
