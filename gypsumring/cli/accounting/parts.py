"""Name the parts of a job's time and the causes of a late one."""

import enum

__all__ = ["CAUSE_OF_PART", "Cause", "Part", "Timeline", "first_known"]


class Part(enum.StrEnum):
    """Where the time of a job goes on its critical path."""

    DOOR = "door to accepted"
    OWNER = "owner change"
    FIRST_ADVICE = "first advice"
    MORE_ADVICE = "further advice"
    ROOM = "room or ticket"
    THROWN_AWAY = "thrown away"
    BETWEEN = "between attempts"
    WORK = "usual work"
    SLOW_WORK = "slow work"
    SHOWN = "last end to shown"
    UNKNOWN = "not in the lines"


class Cause(enum.StrEnum):
    """Why a job was late or did not end."""

    REFUSED = "refused"
    OWNER_CHANGE = "owner change"
    ADVICE = "advice"
    ROOM = "room or ticket"
    THROWN_AWAY = "thrown away"
    SLOW_WORK = "slow work"
    END_NOT_NOTED = "end not noted"
    # No part but usual work: the target is tighter than the work.
    USUAL_WORK = "usual work"


CAUSE_OF_PART = {
    Part.DOOR: Cause.REFUSED,
    Part.OWNER: Cause.OWNER_CHANGE,
    Part.FIRST_ADVICE: Cause.ADVICE,
    Part.MORE_ADVICE: Cause.ADVICE,
    Part.ROOM: Cause.ROOM,
    Part.THROWN_AWAY: Cause.THROWN_AWAY,
    Part.BETWEEN: Cause.THROWN_AWAY,
    Part.SLOW_WORK: Cause.SLOW_WORK,
    Part.SHOWN: Cause.END_NOT_NOTED,
}

Interval = tuple[float, float]


def first_known(*times: float | None) -> float:
    """Return the first time that is known."""
    return next(time for time in times if time is not None)


def overlap_s(interval: Interval, other: Interval) -> float:
    """Return for how long two intervals overlap."""
    return max(0.0, min(interval[1], other[1]) - max(interval[0], other[0]))


class Timeline:
    """Split the time of one job into parts, from its first line on.

    ``ownerless`` are ascending intervals without an owner; waits in them are charged to
    the owner change.
    """

    __slots__ = ("at", "ownerless", "seconds")

    def __init__(self, begin_at: float, ownerless: list[Interval]):
        self.at = begin_at
        self.ownerless = ownerless
        self.seconds: dict[Part, float] = dict.fromkeys(Part, 0.0)

    def wait_until(self, at: float, part: Part) -> None:
        """Charge the time up to ``at`` to a wait, but for owner changes."""
        if at <= self.at:
            return
        ownerless_s = self.ownerless_s(at)
        self.seconds[Part.OWNER] += ownerless_s
        self.seconds[part] += at - self.at - ownerless_s
        self.at = at

    def spend_until(self, at: float, part: Part) -> None:
        """Charge the time up to ``at`` to a part, also during owner changes."""
        if at > self.at:
            self.seconds[part] += at - self.at
            self.at = at

    def ownerless_s(self, at: float) -> float:
        """Return how much of the time up to ``at`` had no owner."""
        return sum(overlap_s((self.at, at), each) for each in self.ownerless)

    def total_s(self) -> float:
        """Return the time charged so far."""
        return sum(self.seconds.values())

    def limit_total(self, total_s: float) -> None:
        """Take the time that a clock step has added off the largest part."""
        excess_s = self.total_s() - total_s
        if excess_s > 0:
            largest = max(self.seconds, key=self.seconds.__getitem__)
            self.seconds[largest] = max(0.0, self.seconds[largest] - excess_s)

    def find_cause(self) -> tuple[Cause, float]:
        """Return the cause with the largest part of the time, and its seconds."""
        by_cause: dict[Cause, float] = {}
        for part, cause in CAUSE_OF_PART.items():
            by_cause[cause] = by_cause.get(cause, 0.0) + self.seconds[part]
        largest = max(by_cause, key=by_cause.__getitem__)
        if by_cause[largest] > 0:
            return largest, by_cause[largest]
        return Cause.USUAL_WORK, self.seconds[Part.WORK]
