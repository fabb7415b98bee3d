"""Parts of the time of a job and causes of its delay."""

import enum

__all__ = ["CAUSE_OF_PART", "Cause", "Part", "Timeline", "first_not_none"]


class Part(enum.StrEnum):
    """Part of the time of a job on its critical path."""

    ADMISSION = "door to accepted"
    OWNER_CHANGE = "owner change"
    FIRST_POLICY_ANSWER = "first advice"
    FURTHER_POLICY_ANSWERS = "further advice"
    CAPACITY_OR_TICKET = "room or ticket"
    WASTED_WORK = "thrown away"
    BETWEEN_ATTEMPTS = "between attempts"
    USUAL_WORK = "usual work"
    SLOW_WORK = "slow work"
    END_RECORDING = "last end to shown"
    UNKNOWN = "not in the lines"


class Cause(enum.StrEnum):
    """Reason why a job was late, failed or did not end."""

    REFUSED = "refused"
    OWNER_CHANGE = "owner change"
    POLICY_SERVICE = "advice"
    CAPACITY_OR_TICKET = "room or ticket"
    WASTED_WORK = "thrown away"
    SLOW_WORK = "slow work"
    END_NOT_RECORDED = "end not noted"
    # All of the time is expected work: the target is shorter than the work itself.
    USUAL_WORK = "usual work"


CAUSE_OF_PART = {
    Part.ADMISSION: Cause.REFUSED,
    Part.OWNER_CHANGE: Cause.OWNER_CHANGE,
    Part.FIRST_POLICY_ANSWER: Cause.POLICY_SERVICE,
    Part.FURTHER_POLICY_ANSWERS: Cause.POLICY_SERVICE,
    Part.CAPACITY_OR_TICKET: Cause.CAPACITY_OR_TICKET,
    Part.WASTED_WORK: Cause.WASTED_WORK,
    Part.BETWEEN_ATTEMPTS: Cause.WASTED_WORK,
    Part.SLOW_WORK: Cause.SLOW_WORK,
    Part.END_RECORDING: Cause.END_NOT_RECORDED,
}

Interval = tuple[float, float]


def first_not_none(*times: float | None) -> float:
    """Return the first time that is not None."""
    return next(time for time in times if time is not None)


def overlap_s(interval: Interval, other: Interval) -> float:
    """Return the length of the overlap of two intervals."""
    return max(0.0, min(interval[1], other[1]) - max(interval[0], other[0]))


class Timeline:
    """Time of one job by part, beginning with its first line.

    ``ownerless_intervals`` are ascending intervals without an owner; waits within them
    are charged to the owner change.
    """

    __slots__ = ("accounted_until", "ownerless_intervals", "seconds_by_part")

    def __init__(self, begin_at: float, ownerless_intervals: list[Interval]):
        self.accounted_until = begin_at
        self.ownerless_intervals = ownerless_intervals
        self.seconds_by_part: dict[Part, float] = dict.fromkeys(Part, 0.0)

    def charge_wait(self, until: float, part: Part) -> None:
        """Charge the time up to ``until`` to a part, except for ownerless time."""
        if until <= self.accounted_until:
            return
        ownerless_s = self.measure_ownerless_s(until)
        self.seconds_by_part[Part.OWNER_CHANGE] += ownerless_s
        self.seconds_by_part[part] += until - self.accounted_until - ownerless_s
        self.accounted_until = until

    def charge(self, until: float, part: Part) -> None:
        """Charge the time up to ``until`` to a part, including ownerless time."""
        if until > self.accounted_until:
            self.seconds_by_part[part] += until - self.accounted_until
            self.accounted_until = until

    def measure_ownerless_s(self, until: float) -> float:
        """Return the ownerless time between the charged time and ``until``."""
        return sum(
            overlap_s((self.accounted_until, until), interval)
            for interval in self.ownerless_intervals
        )

    def total_s(self) -> float:
        """Return the total time charged so far."""
        return sum(self.seconds_by_part.values())

    def cap_total(self, total_s: float) -> None:
        """Subtract the time that a clock step added from the largest part."""
        excess_s = self.total_s() - total_s
        if excess_s > 0:
            largest = max(self.seconds_by_part, key=self.seconds_by_part.__getitem__)
            self.seconds_by_part[largest] = max(
                0.0, self.seconds_by_part[largest] - excess_s
            )

    def find_cause(self) -> tuple[Cause, float]:
        """Return the cause that took the most time, and its seconds."""
        by_cause: dict[Cause, float] = {}
        for part, cause in CAUSE_OF_PART.items():
            by_cause[cause] = by_cause.get(cause, 0.0) + self.seconds_by_part[part]
        largest = max(by_cause, key=by_cause.__getitem__)
        if by_cause[largest] > 0:
            return largest, by_cause[largest]
        return Cause.USUAL_WORK, self.seconds_by_part[Part.USUAL_WORK]
