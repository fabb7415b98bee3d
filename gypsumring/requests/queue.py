"""Queue requests for the slots of one pool."""

from collections.abc import Iterator

import anyio
from sortedcontainers import SortedKeyList

from gypsumring.metrics import RefusalReason
from gypsumring.requests.exceptions import RequestRefused
from gypsumring.requests.holding import Permit

__all__ = ["QueueEntry", "RequestQueue", "ServiceLane"]

# Weight of the newest answer in a service's time, as in TCP's smoothed round trip.
TIME_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25


class QueueEntry:
    """Hold one request that waits for a permit.

    ``ready`` is set once ``permit`` or ``refusal`` is.
    """

    __slots__ = (
        "avoid",
        "deadline",
        "number",
        "permit",
        "ready",
        "refusal",
        "repeatable",
        "service",
        "team",
    )

    def __init__(
        self,
        service: str,
        team: str,
        deadline: float,
        repeatable: bool,
        avoid: frozenset[str] = frozenset(),
    ):
        self.service = service
        self.team = team
        self.deadline = deadline
        self.repeatable = repeatable
        self.avoid = avoid
        self.number = 0
        self.permit: Permit | None = None
        self.refusal: RequestRefused | None = None
        self.ready = anyio.Event()


class ServiceLane:
    """Hold the waiting requests of one service, earliest deadline first."""

    __slots__ = ("deviation_s", "entries", "in_flight", "limit", "mean_s", "team")

    def __init__(self, team: str, limit: int):
        self.team = team
        self.limit = limit
        self.in_flight = 0
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.entries = SortedKeyList(key=lambda entry: (entry.deadline, entry.number))

    @property
    def likely_s(self) -> float:
        """Return the time within which most requests are answered."""
        return self.mean_s + 2 * self.deviation_s

    def note_time(self, seconds: float) -> None:
        """Record the time that one answer took on its executor."""
        if self.mean_s == 0:
            self.mean_s = seconds
            return
        error_s = seconds - self.mean_s
        self.mean_s += TIME_WEIGHT * error_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)


class RequestQueue:
    """Order requests by deadline within a team and by weighted share across teams."""

    __slots__ = ("lanes", "length", "limit", "next_number", "passes", "shares", "turn")

    def __init__(self, limit: int, shares: dict[str, int]):
        self.limit = limit
        self.shares = shares
        self.lanes: dict[str, ServiceLane] = {}
        # Start-time fair queueing: each team's pass grows by 1/share per request and
        # the team with the smallest pass is served next.
        self.passes: dict[str, float] = {}
        self.turn = 0.0
        self.length = 0
        self.next_number = 0

    def lane(self, service: str, team: str, limit: int) -> ServiceLane:
        """Return the lane of a service with the limit now in force."""
        lane = self.lanes.get(service)
        if lane is None:
            lane = self.lanes[service] = ServiceLane(team, limit)
        lane.team = team
        lane.limit = limit
        return lane

    def share(self, team: str) -> int:
        """Return the weight of a team."""
        return self.shares.get(team, 1)

    def check_deadline(self, entry: QueueEntry, now: float, slots: int) -> None:
        """Raise RequestRefused when a new request cannot be served in time.

        ``slots`` is the number of slots that serve the queue.
        """
        lane = self.lanes[entry.service]
        self.next_number += 1
        entry.number = self.next_number
        ahead = lane.entries.bisect_key_left((entry.deadline, entry.number))
        rate = min(max(slots, 1), lane.limit)
        wait_s = ahead * lane.mean_s / rate
        if slots and now + wait_s + lane.likely_s > entry.deadline:
            raise RequestRefused(
                RefusalReason.DEADLINE_UNREACHABLE,
                f"{ahead} requests are ahead",
                retry_after_s=max(1, round(wait_s)),
            )

    def enter(self, entry: QueueEntry, now: float, slots: int) -> None:
        """Add a request; raise RequestRefused when it has no place or no time."""
        self.check_deadline(entry, now, slots)
        if self.length >= self.limit:
            self.make_room(entry.team)
        if not any(
            other.entries and other.team == entry.team for other in self.lanes.values()
        ):
            self.passes[entry.team] = max(self.passes.get(entry.team, 0.0), self.turn)
        self.lanes[entry.service].entries.add(entry)
        self.length += 1

    def make_room(self, team: str) -> None:
        """Refuse the last request of the team most over its share of a full queue."""
        counts: dict[str, int] = {team: 1}
        for lane in self.lanes.values():
            if lane.entries:
                counts[lane.team] = counts.get(lane.team, 0) + len(lane.entries)
        over = max(sorted(counts), key=lambda name: counts[name] / self.share(name))
        if over == team:
            raise RequestRefused(RefusalReason.QUEUE_FULL)
        lanes = [lane for lane in self.lanes.values() if lane.team == over]
        last = max(
            (lane.entries[-1] for lane in lanes if lane.entries),
            key=lambda entry: (entry.deadline, entry.number),
        )
        self.refuse(last, RequestRefused(RefusalReason.TEAM_SHARE))

    def refuse(self, entry: QueueEntry, refusal: RequestRefused) -> None:
        """Take a request out of the queue and tell its caller why."""
        self.remove(entry)
        entry.refusal = refusal
        entry.ready.set()

    def remove(self, entry: QueueEntry) -> None:
        """Take a request out of the queue if it is there."""
        lane = self.lanes[entry.service]
        if entry in lane.entries:
            lane.entries.remove(entry)
            self.length -= 1

    def shed(self, now: float) -> None:
        """Refuse waiting requests that would miss their deadline even if sent now."""
        for lane in self.lanes.values():
            while lane.entries and now + lane.likely_s > lane.entries[0].deadline:
                self.refuse(
                    lane.entries[0],
                    RequestRefused(RefusalReason.DEADLINE_UNREACHABLE),
                )

    def candidates(self) -> Iterator[QueueEntry]:
        """Return the request to serve next of each service, in fair order."""
        lanes = [
            lane
            for _, lane in sorted(self.lanes.items())
            if lane.entries and lane.in_flight < lane.limit
        ]
        lanes.sort(
            key=lambda lane: (
                self.passes.get(lane.team, 0.0),
                lane.entries[0].deadline,
                lane.entries[0].number,
            )
        )
        return iter([lane.entries[0] for lane in lanes])

    def start(self, entry: QueueEntry, permit: Permit) -> None:
        """Hand a permit to a waiting request."""
        self.remove(entry)
        lane = self.lanes[entry.service]
        lane.in_flight += 1
        self.turn = self.passes.get(entry.team, self.turn)
        self.passes[entry.team] = self.turn + 1 / self.share(entry.team)
        entry.permit = permit
        entry.ready.set()

    def finish(self, service: str) -> None:
        """Count a request of a service as no longer in flight."""
        self.lanes[service].in_flight -= 1
