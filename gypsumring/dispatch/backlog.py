"""Ready steps that wait for room, and which of them to look at next.

A look at each waiting step after each change would cost the product of the queue's
length and the number of changes. A step that found no room finds some only where room
was freed, where advice has arrived, or after a while.
"""

import heapq
import itertools
from collections.abc import Iterable

from gypsumring.pipelines.state import Step

__all__ = ["Backlog"]

# A waiting step is looked at again after this time, whatever has changed.
LOOK_S = 0.1
# So many steps are looked at again within that time; more of them take longer.
LOOKS_AT_ONCE = 50
MAX_LOOK_S = 1.0


class Backlog:
    """Hold the steps with tasks to place, by the executors on which they may run."""

    __slots__ = ("interested", "numbers", "queue", "waiting")

    def __init__(self):
        # Steps that wait, and when each is looked at next.
        self.waiting: dict[Step, float] = {}
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
        for executor_id in step.allowed:
            steps = self.interested.get(executor_id)
            if steps is not None:
                steps.pop(step, None)
                if not steps:
                    del self.interested[executor_id]

    def plan(self, step: Step, at: float) -> None:
        """Plan the next look at a step."""
        self.waiting[step] = at
        heapq.heappush(self.queue, (at, next(self.numbers), step))

    def plan_again(self, step: Step, now: float) -> None:
        """Plan a look at a step that still waits; a long queue is looked at slowly."""
        wait_s = LOOK_S * max(1.0, len(self.waiting) / LOOKS_AT_ONCE)
        self.plan(step, now + min(wait_s, MAX_LOOK_S))

    def note_allowed(self, step: Step) -> None:
        """Note on which executors a waiting step may run."""
        if step in self.waiting:
            for executor_id in step.allowed:
                self.interested.setdefault(executor_id, {})[step] = None

    def take_due(self, freed: Iterable[str], now: float) -> list[Step]:
        """Return the steps to look at; ``freed`` names executors with new room.

        Each of them has to be planned again, unless it does not wait any more.
        """
        due: dict[Step, None] = {}
        while self.queue and self.queue[0][0] <= now:
            at, _, step = heapq.heappop(self.queue)
            if self.waiting.get(step) == at:
                due[step] = None
        for executor_id in freed:
            due.update(self.interested.get(executor_id, {}))
        return list(due)
