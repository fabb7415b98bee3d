"""Ready steps that wait for room, and which of them to look at next.

A look at each waiting step after each change would cost the product of the queue's
length and the number of changes. A step that found no room finds some only where room
was freed, where advice has arrived, or after a while.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable

from gypsumring.dispatch.ordering import job_target_s, step_due
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import Queue
from gypsumring.pipelines.state import Job, Step

__all__ = ["Backlog"]

# A waiting step is looked at again after this time, whatever has changed.
LOOK_S = 0.1
# So many steps are looked at again within that time; more of them take longer.
LOOKS_AT_ONCE = 50
MAX_LOOK_S = 2.0
# A step starves once its job has taken this many times its target.
STARVING_FACTOR = 3.0


class Waiting:
    """Hold when a step is looked at next, and its place in the order of service."""

    __slots__ = ("at", "due", "looked_at", "queue", "since", "starves_at", "step")

    def __init__(self, step: Step, queue: Queue, at: float, since: float):
        self.step = step
        self.queue = queue
        self.due = step_due(step, queue)
        target_s = job_target_s(step.job, queue)
        self.starves_at = self.due + (STARVING_FACTOR - 1) * target_s
        self.at = at
        # Since when the step has been in the backlog, and the newest look at it.
        self.since = since
        self.looked_at: float | None = None

    def rank(self, now: float, first: Step | None) -> tuple[int, bool, float, str]:
        """Return the place in the order of service; the smallest goes first.

        Within a priority the step whose job is due first goes first; jobs that have
        missed their target come after those that can still meet it, unless executors
        are kept for them already or it is the one that goes ``first``.
        """
        missed = self.due < now and not self.step.reserved and self.step is not first
        return (self.queue.priority, missed, self.due, self.step.name)


class Backlog:
    """Hold the steps with tasks to place, by the executors on which they may run."""

    __slots__ = ("find_queue", "first", "interested", "numbers", "queue", "waiting")

    def __init__(self, find_queue: Callable[[Job], Queue]):
        self.find_queue = find_queue
        self.waiting: dict[Step, Waiting] = {}
        # The oldest starving step of each priority that is not a gang.
        self.first: dict[int, Step] = {}
        # Looks planned, the next one first; entries that moved are passed over.
        self.queue: list[tuple[float, int, Step]] = []
        self.numbers = itertools.count()
        # Waiting steps by the id of an executor on which they may run.
        self.interested: dict[str, dict[Step, None]] = {}

    def refresh(self, touched: Iterable[Step], now: float) -> None:
        """Add steps that have become ready, and drop those that are no longer."""
        for step in touched:
            if not step.is_ready or step.job.phase.is_final:
                self.drop(step)
            else:
                self.plan(step, now)
                self.note_allowed(step)

    def drop(self, step: Step) -> None:
        """Forget a step."""
        if self.waiting.pop(step, None) is None:
            return
        step.forget_room()
        for executor_id in step.allowed:
            steps = self.interested.get(executor_id)
            if steps is not None:
                steps.pop(step, None)
                if not steps:
                    del self.interested[executor_id]

    def plan(self, step: Step, at: float) -> None:
        """Plan the next look at a step, whose queue may have changed."""
        queue = self.find_queue(step.job)
        waiting = self.waiting.get(step)
        if waiting is None:
            self.waiting[step] = Waiting(step, queue, at, at)
        elif waiting.queue is not queue:
            self.waiting[step] = Waiting(step, queue, at, waiting.since)
            self.waiting[step].looked_at = waiting.looked_at
        else:
            waiting.at = at
        heapq.heappush(self.queue, (at, next(self.numbers), step))

    def note_look(self, step: Step, now: float) -> None:
        """Note that a waiting step is looked at."""
        waiting = self.waiting.get(step)
        if waiting is not None:
            waiting.looked_at = now

    def plan_again(self, step: Step, now: float) -> None:
        """Plan a look at a step that still waits; a long queue is looked at slowly."""
        wait_s = LOOK_S * max(1.0, len(self.waiting) / LOOKS_AT_ONCE)
        self.plan(step, now + min(wait_s, MAX_LOOK_S))

    def note_allowed(self, step: Step) -> None:
        """Note on which executors a waiting step may run."""
        if step in self.waiting:
            for executor_id in step.allowed:
                self.interested.setdefault(executor_id, {})[step] = None

    def order(self, steps: Iterable[Step], now: float) -> list[tuple[Step, Queue]]:
        """Return waiting steps with their queues, the one to serve first in front."""
        rows = [self.waiting[step] for step in steps if step in self.waiting]
        first = self.first
        rows.sort(key=lambda row: row.rank(now, first.get(row.queue.priority)))
        return [(row.step, row.queue) for row in rows]

    def list_starving(self, now: float) -> list[tuple[Step, Queue]]:
        """Return the waiting steps that starve, the oldest first.

        The oldest one of each priority that is not a gang goes first from now on. The
        gangs among them need executors of their own.
        """
        rows = [row for row in self.waiting.values() if row.starves_at < now]
        rows.sort(key=lambda row: (row.due, row.step.name))
        self.first = {}
        for row in rows:
            if not row.step.spec.gang:
                self.first.setdefault(row.queue.priority, row.step)
        return [(row.step, row.queue) for row in rows]

    def take_due(self, now: float) -> list[Step]:
        """Return the steps whose look is due; each of them has to be planned again."""
        due: dict[Step, None] = {}
        while self.queue and self.queue[0][0] <= now:
            at, _, step = heapq.heappop(self.queue)
            waiting = self.waiting.get(step)
            if waiting is not None and waiting.at == at:
                due[step] = None
        return list(due)

    def find_interested(self, freed: Iterable[ExecutorState]) -> list[Step]:
        """Return the steps that may use new room on executors."""
        found: dict[Step, None] = {}
        for executor in freed:
            for step in self.interested.get(executor.executor_id, ()):
                if executor.fit_count(step.spec):
                    found[step] = None
        return list(found)
