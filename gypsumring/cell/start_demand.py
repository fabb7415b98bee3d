"""Starts that wait for the link of the owner, by the priority of their jobs.

An owner whose link cannot carry the starts of more work refuses it before it is
accepted. Callers then try again later, in place of waiting for a start that comes too
late for them. Work that waits for executors, and not for the link, does not count.
"""

import functools
from collections import Counter
from collections.abc import Iterable

import anyio
import msgspec

from gypsumring.pipelines import PipelineSpec, Queue, Run, Step
from gypsumring.transport import LinkTraffic

__all__ = ["StartDemand", "start_bytes"]

# Jobs are refused while the starts that go before theirs need the link for longer than
# the target time of their queue, but not below this time, as the wait varies.
MIN_LIMIT_S = 1.0
# Nothing more is started while the starts that wait, and the queue at the link of this
# machine, need the link for longer than this. On a slow machine there may be as much
# time between scheduling passes, in which the link should not be idle.
MAX_START_WAIT_S = 0.25
# A start that has not been sent for this time, beyond what the link needs for those
# before it, waits for something else than the link.
MAX_UNSENT_S = 1.0
# Bytes of a start order beside the payload of the job.
START_OVERHEAD_BYTES = 350


class UnsentStart:
    """Start that has not been sent yet, and by when the link has room for it."""

    __slots__ = ("room_at", "size")

    def __init__(self, size: int, room_at: float):
        self.size = size
        self.room_at = room_at


class StartDemand:
    """Bytes of the starts that wait for the link.

    ``unsent`` are those of tasks that have been placed, oldest first. For those in
    ``bytes_by_priority`` the link has no room, or the scheduler no time. ``accepting``
    are those of jobs that are being stored, by id, with their priority.
    """

    __slots__ = ("accepting", "bytes_by_priority", "traffic", "unsent", "unsent_bytes")

    def __init__(self, traffic: LinkTraffic):
        self.traffic = traffic
        self.bytes_by_priority: Counter[int] = Counter()
        self.accepting: dict[str, tuple[int, int]] = {}
        self.unsent: dict[Run, UnsentStart] = {}
        self.unsent_bytes = 0

    def review(self, unstarted: Iterable[tuple[Step, Queue]]) -> None:
        """Count the starts of the steps that the last scheduling pass left out."""
        self.bytes_by_priority = Counter()
        for step, queue in unstarted:
            size = len(step.pending) * start_bytes(step.job.spec)
            self.bytes_by_priority[queue.priority] += size

    def begin_accepting(self, spec: PipelineSpec, priority: int) -> None:
        """Add the starts that a new job needs at once, until it is stored."""
        if not spec.repeats:
            tasks = sum(step.task_count for step in spec.steps if not step.after)
            self.accepting[spec.job_id] = (priority, tasks * start_bytes(spec))

    def end_accepting(self, spec: PipelineSpec) -> None:
        """Remove the starts of a job that is stored or withdrawn."""
        self.accepting.pop(spec.job_id, None)

    def add_unsent(self, run: Run) -> None:
        """Add the start of a task that has been placed."""
        size = start_bytes(run.step.job.spec)
        room_at = anyio.current_time() + self.start_wait_s()
        self.unsent[run] = UnsentStart(size, room_at)
        self.unsent_bytes += size

    def remove_unsent(self, run: Run) -> None:
        """Remove a start that is sent now, or not at all."""
        start = self.unsent.pop(run, None)
        if start is not None:
            self.unsent_bytes -= start.size

    def drop_stuck(self) -> None:
        """Remove the starts that wait for their executors, and not for the link."""
        oldest_at = anyio.current_time() - MAX_UNSENT_S
        while self.unsent:
            run, start = next(iter(self.unsent.items()))
            if start.room_at >= oldest_at:
                return
            self.remove_unsent(run)

    def wait_s(self, priority: int) -> float:
        """Return for how long new starts of a priority wait for the link, in seconds.

        Starts of higher priorities, which are lower numbers, go first.
        """
        self.drop_stuck()
        rows = [*self.bytes_by_priority.items(), *self.accepting.values()]
        size = self.unsent_bytes + sum(size for each, size in rows if each <= priority)
        return size / self.traffic.bytes_per_s

    def is_link_full(self) -> bool:
        """Return whether further starts would wait for the link of this machine."""
        return self.start_wait_s() > MAX_START_WAIT_S

    def start_wait_s(self) -> float:
        """Return for how long the start of a task that is placed now waits."""
        self.drop_stuck()
        unsent_s = self.unsent_bytes / self.traffic.bytes_per_s
        return self.traffic.backlog_s() + unsent_s

    def excess_s(self, queue: Queue) -> float:
        """Return by how much a new job of a queue would wait too long, 0 if not."""
        limit_s = max(MIN_LIMIT_S, queue.latency_target_s)
        return max(0.0, self.wait_s(queue.priority) - limit_s)


def start_bytes(spec: PipelineSpec) -> int:
    """Return about how many bytes the start of one task has."""
    return payload_bytes(spec.payload) + START_OVERHEAD_BYTES


@functools.lru_cache(maxsize=4_096)
def payload_bytes(payload: str) -> int:
    """Return the size of a payload as it is sent, in JSON."""
    return len(msgspec.json.encode(payload))
