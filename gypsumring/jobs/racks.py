"""What the job manager knows of racks, and the choice of a rack."""

import random
from collections import deque

import anyio

from gypsumring.jobs.model import Attempt, Job
from gypsumring.jobs.usage import count_fitting
from gypsumring.messages.peer import RackSummary
from gypsumring.messages.work import Priority, Resources
from gypsumring.utils.backoff import backoff_s

__all__ = ["Rack", "RackBook"]

# A refused rack is asked again after 0.2 to 5 s: room appears as tasks end, and a
# report of the rack that shows room does not say whether other ledgers took it.
REFUSED_BASE_MS = 200
REFUSED_LIMIT_MS = 5_000


class Rack:
    """Hold the latest summary of a rack and the attempts that wait to be sent to it."""

    __slots__ = (
        "blocked_until",
        "calls_in_flight",
        "failures",
        "is_settling",
        "is_stopping",
        "last_gossip",
        "outstanding",
        "queue",
        "refused_size",
        "refused_until",
        "refusals",
        "shard",
        "summary",
        "urgent_queue",
        "work_arrived",
    )

    def __init__(self, shard: str):
        self.shard = shard
        self.summary: RackSummary | None = None
        self.last_gossip: RackSummary | None = None
        # Resources of attempts queued or sent, which no summary includes yet.
        self.outstanding = Resources()
        self.queue: deque[Attempt] = deque()
        self.urgent_queue: deque[Attempt] = deque()
        self.work_arrived = anyio.Event()
        self.calls_in_flight = 0
        self.is_stopping = False
        self.is_settling = False
        self.failures = 0
        self.blocked_until = float("-inf")
        self.refusals = 0
        self.refused_size: Resources | None = None
        self.refused_until = float("-inf")

    @property
    def epoch(self) -> int:
        """Return the latest known epoch of the rack shard, 0 if none is known."""
        return 0 if self.summary is None else self.summary.epoch

    def take_summary(self, summary: RackSummary) -> bool:
        """Take in a summary unless it is of an earlier owner; tell which."""
        if summary.epoch < self.epoch:
            return False
        if summary.epoch > self.epoch:
            # What the earlier owner failed or refused says nothing about this one.
            self.failures = self.refusals = 0
            self.blocked_until = self.refused_until = float("-inf")
        self.summary = summary
        return True

    def enqueue(self, attempt: Attempt) -> None:
        """Let the rack's task send an attempt."""
        self.outstanding += attempt.resources
        if attempt.job.spec.priority is Priority.URGENT:
            self.urgent_queue.append(attempt)
        else:
            self.queue.append(attempt)
        self.work_arrived.set()

    def take_queued(self, urgent: bool, limit: int) -> list[Attempt]:
        """Take attempts from one queue to send them."""
        queue = self.urgent_queue if urgent else self.queue
        return [queue.popleft() for _ in range(min(limit, len(queue)))]

    def answered(self, attempts: list[Attempt]) -> None:
        """Take attempts out of the outstanding resources."""
        for attempt in attempts:
            self.outstanding -= attempt.resources

    def note_refusal(self, size: Resources, random_source: random.Random) -> None:
        """Remember that tasks of this size do not fit for a while."""
        now = anyio.current_time()
        if self.refused_until <= now:
            self.refusals += 1
            self.refused_size = size
        elif self.refused_size is None or size.fits_in(self.refused_size):
            self.refused_size = size
        self.refused_until = now + backoff_s(
            self.refusals, REFUSED_BASE_MS, REFUSED_LIMIT_MS, random_source
        )

    def note_unreachable(self, random_source: random.Random) -> None:
        """Remember that the owner of the rack cannot be reached for a while."""
        self.failures += 1
        self.blocked_until = anyio.current_time() + backoff_s(
            self.failures, REFUSED_BASE_MS, REFUSED_LIMIT_MS, random_source
        )

    def note_success(self, some_started: bool) -> None:
        """Forget failures after an answer, and refusals after a start."""
        self.failures = 0
        self.blocked_until = float("-inf")
        if some_started:
            self.refusals = 0

    def count_fitting(self, size: Resources, priority: Priority, limit: int) -> int:
        """Return how many tasks of a size the rack is expected to take now."""
        summary = self.summary
        now = anyio.current_time()
        if summary is None or not summary.ready or now < self.blocked_until:
            return 0
        if now < self.refused_until and self.refused_size is not None:
            if self.refused_size.fits_in(size):
                return 0
        free = summary.free - self.outstanding
        largest = summary.largest_free
        if priority is not Priority.BATCH:
            # The rack owner may preempt lower classes on any of its workers.
            free += summary.preemptible
            if not summary.preemptible == Resources():
                largest = summary.largest_worker
        if not size.fits_in(largest):
            return 0
        return count_fitting(size, free, limit)


class RackBook:
    """Keep all known racks."""

    __slots__ = ("packing_weight", "racks", "random_source")

    def __init__(self, packing_weight: float, random_source: random.Random):
        self.packing_weight = packing_weight
        self.random_source = random_source
        self.racks: dict[str, Rack] = {}

    def get(self, shard: str) -> Rack:
        """Return a rack, new if it was not known."""
        rack = self.racks.get(shard)
        if rack is None:
            rack = self.racks[shard] = Rack(shard)
        return rack

    def update(self, summaries: list[RackSummary]) -> None:
        """Take in the summaries that rack owners gossip."""
        for summary in summaries:
            rack = self.get(summary.shard)
            # Each heartbeat brings a new object. An equal one is news as well, since
            # an answer of the rack may have told otherwise in between.
            if summary is not rack.last_gossip and rack.take_summary(summary):
                rack.last_gossip = summary

    def capacity(self) -> Resources:
        """Return the capacity of all known racks."""
        total = Resources()
        for rack in self.racks.values():
            if rack.summary is not None:
                total += rack.summary.capacity
        return total

    def choose(self, job: Job, limit: int) -> tuple[Rack, int] | None:
        """Return the best rack for tasks of a job and how many it should get."""
        spec = job.spec
        best: tuple[tuple[float, ...], Rack, int] | None = None
        if job.is_service:
            limit = 1
        by_rack, by_data_centre = self.count_replicas(job)
        for shard in sorted(self.racks):
            rack = self.racks[shard]
            count = rack.count_fitting(spec.task_resources, spec.priority, limit)
            if count == 0 or rack.summary is None:
                continue
            summary = rack.summary
            free = (summary.free - rack.outstanding).cpu_millis / max(
                1, summary.capacity.cpu_millis
            )
            jitter = self.random_source.random()
            if job.is_service:
                # Spread over data centres, then racks; the freest among equals.
                score = (
                    by_data_centre.get(summary.data_centre, 0),
                    by_rack.get(shard, 0),
                    -free,
                    jitter,
                )
            else:
                # Weight 1 prefers the fullest rack that fits, weight 0 the freest.
                score = ((2 * self.packing_weight - 1) * free, jitter)
            if best is None or score < best[0]:
                best = (score, rack, count)
        return None if best is None else (best[1], best[2])

    def count_replicas(self, job: Job) -> tuple[dict[str, int], dict[str, int]]:
        """Count the live replicas of a service by rack and by data centre."""
        by_rack: dict[str, int] = {}
        by_data_centre: dict[str, int] = {}
        if job.is_service:
            for attempt in job.live.values():
                data_centre = attempt.shard.split("/")[1]
                by_rack[attempt.shard] = by_rack.get(attempt.shard, 0) + 1
                by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
        return by_rack, by_data_centre
