"""Starts that wait for the link of the owner, by the priority of their jobs.

An owner whose link cannot carry the starts of more work refuses it before it is
accepted. Callers then try again later, in place of waiting for a start that comes too
late for them. Work that waits for executors, and not for the link, does not count.
"""

from collections import Counter
from collections.abc import Iterable

from gypsumring.pipelines import PipelineSpec, Queue, Step
from gypsumring.transport import LinkTraffic

__all__ = ["StartDemand", "start_bytes"]

# Jobs are refused while the starts that go before theirs need the link for longer than
# the target time of their queue, but not below this time, as the wait varies.
MIN_LIMIT_S = 1.0
# Nothing more is started while the starts that wait, and the queue at the link of this
# machine, need the link for longer than this. On a slow machine there may be as much
# time between scheduling passes, in which the link should not be idle.
MAX_START_WAIT_S = 0.25
# Bytes of a start order beside the payload of the job.
START_OVERHEAD_BYTES = 350


class StartDemand:
    """Bytes of the starts that wait for the link.

    ``unsent_bytes`` are those of tasks that have been placed, ``bytes_by_priority``
    those of tasks that were not, since the link has no room for their starts, or the
    scheduler no time for them.
    """

    __slots__ = ("bytes_by_priority", "traffic", "unsent_bytes")

    def __init__(self, traffic: LinkTraffic):
        self.traffic = traffic
        self.bytes_by_priority: Counter[int] = Counter()
        self.unsent_bytes = 0

    def review(self, unstarted: Iterable[tuple[Step, Queue]]) -> None:
        """Count the starts of the steps that the last scheduling pass left out."""
        self.bytes_by_priority = Counter()
        for step, queue in unstarted:
            size = len(step.pending) * start_bytes(step.job.spec)
            self.bytes_by_priority[queue.priority] += size

    def add(self, spec: PipelineSpec, priority: int) -> None:
        """Add the starts that a new job needs at once, until the next pass."""
        if not spec.repeats:
            tasks = sum(step.task_count for step in spec.steps if not step.after)
            self.bytes_by_priority[priority] += tasks * start_bytes(spec)

    def wait_s(self, priority: int) -> float:
        """Return for how long new starts of a priority wait for the link, in seconds.

        Starts of higher priorities, which are lower numbers, go first.
        """
        size = self.unsent_bytes + sum(
            size for each, size in self.bytes_by_priority.items() if each <= priority
        )
        return size / self.traffic.bytes_per_s

    def is_link_full(self) -> bool:
        """Return whether further starts would wait for the link of this machine."""
        return self.start_wait_s() > MAX_START_WAIT_S

    def start_wait_s(self) -> float:
        """Return for how long the start of a task that is placed now waits."""
        unsent_s = self.unsent_bytes / self.traffic.bytes_per_s
        return self.traffic.backlog_s() + unsent_s

    def excess_s(self, queue: Queue) -> float:
        """Return by how much a new job of a queue would wait too long, 0 if not."""
        limit_s = max(MIN_LIMIT_S, queue.latency_target_s)
        return max(0.0, self.wait_s(queue.priority) - limit_s)


def start_bytes(spec: PipelineSpec) -> int:
    """Return about how many bytes the start of one task has."""
    return len(spec.payload) + START_OVERHEAD_BYTES
