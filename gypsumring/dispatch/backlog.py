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
EVALUATIONS_PER_PERIOD = 50
MAX_LOOK_S = 2.0
# A step starves once its job has taken this many times its target.
STARVING_FACTOR = 3.0


class WaitingStep:
    """Hold when a step is looked at next, and its place in the order of service."""

    __slots__ = ("at", "due_at", "looked_at", "queue", "since", "starves_at", "step")

    def __init__(self, step: Step, queue: Queue, evaluate_at: float, queued_at: float):
        self.step = step
        self.queue = queue
        self.due_at = step_due(step, queue)
        target_s = job_target_s(step.job, queue)
        self.starves_at = self.due_at + (STARVING_FACTOR - 1) * target_s
        self.at = evaluate_at
        # Since when the step has been in the backlog, and the newest look at it.
        self.since = queued_at
        self.looked_at: float | None = None

    def rank(
        self, now: float, first_starving: Step | None
    ) -> tuple[int, bool, float, str]:
        """Return the place in the order of service; the smallest goes first.

        Within a priority the step whose job is due first goes first; jobs that have
        missed their target come after those that can still meet it, unless executors
        are kept for them already or it is the one that goes ``first``.
        """
        missed = (
            self.due_at < now
            and not self.step.reserved
            and self.step is not first_starving
        )
        return (self.queue.priority, missed, self.due_at, self.step.name)


class Backlog:
    """Hold the steps with tasks to place, by the executors on which they may run."""

    __slots__ = (
        "find_queue",
        "first_starving",
        "steps_by_executor",
        "sequence_numbers",
        "evaluations",
        "waiting",
    )

    def __init__(self, find_queue: Callable[[Job], Queue]):
        self.find_queue = find_queue
        self.waiting: dict[Step, WaitingStep] = {}
        # The oldest starving step of each priority that is not a gang.
        self.first_starving: dict[int, Step] = {}
        # Looks planned, the next one first; entries that moved are passed over.
        self.evaluations: list[tuple[float, int, Step]] = []
        self.sequence_numbers = itertools.count()
        # Waiting steps by the id of an executor on which they may run.
        self.steps_by_executor: dict[str, dict[Step, None]] = {}

    def refresh(self, changed: Iterable[Step], now: float) -> None:
        """Add steps that have become ready, and drop those that are no longer."""
        for step in changed:
            if not step.is_ready or step.job.phase.is_final:
                self.drop(step)
            else:
                self.schedule(step, now)
                self.index_allowed(step)

    def drop(self, step: Step) -> None:
        """Forget a step."""
        if self.waiting.pop(step, None) is None:
            return
        step.forget_room()
        for executor_id in step.allowed:
            steps = self.steps_by_executor.get(executor_id)
            if steps is not None:
                steps.pop(step, None)
                if not steps:
                    del self.steps_by_executor[executor_id]

    def schedule(self, step: Step, evaluate_at: float) -> None:
        """Plan the next look at a step, whose queue may have changed."""
        queue = self.find_queue(step.job)
        waiting = self.waiting.get(step)
        if waiting is None:
            self.waiting[step] = WaitingStep(step, queue, evaluate_at, evaluate_at)
        elif waiting.queue is not queue:
            self.waiting[step] = WaitingStep(step, queue, evaluate_at, waiting.since)
            self.waiting[step].looked_at = waiting.looked_at
        else:
            waiting.at = evaluate_at
        heapq.heappush(
            self.evaluations, (evaluate_at, next(self.sequence_numbers), step)
        )

    def note_look(self, step: Step, now: float) -> None:
        """Note that a waiting step is looked at."""
        waiting = self.waiting.get(step)
        if waiting is not None:
            waiting.looked_at = now

    def plan_again(self, step: Step, now: float) -> None:
        """Plan a look at a step that still waits; a long queue is looked at slowly."""
        period_s = LOOK_S * max(1.0, len(self.waiting) / EVALUATIONS_PER_PERIOD)
        self.schedule(step, now + min(period_s, MAX_LOOK_S))

    def index_allowed(self, step: Step) -> None:
        """Note on which executors a waiting step may run."""
        if step in self.waiting:
            for executor_id in step.allowed:
                self.steps_by_executor.setdefault(executor_id, {})[step] = None

    def order(self, steps: Iterable[Step], now: float) -> list[tuple[Step, Queue]]:
        """Return waiting steps with their queues, the one to serve first in front."""
        rows = [self.waiting[step] for step in steps if step in self.waiting]
        first_starving = self.first_starving
        rows.sort(key=lambda row: row.rank(now, first_starving.get(row.queue.priority)))
        return [(row.step, row.queue) for row in rows]

    def list_starving(self, now: float) -> list[tuple[Step, Queue]]:
        """Return the waiting steps that starve, the oldest first.

        The oldest one of each priority that is not a gang goes first from now on. The
        gangs among them need executors of their own.
        """
        rows = [row for row in self.waiting.values() if row.starves_at < now]
        rows.sort(key=lambda row: (row.due_at, row.step.name))
        self.first_starving = {}
        for row in rows:
            if not row.step.spec.gang:
                self.first_starving.setdefault(row.queue.priority, row.step)
        return [(row.step, row.queue) for row in rows]

    def take_due(self, now: float) -> list[Step]:
        """Return the steps whose look is due; each of them has to be planned again."""
        due_steps: dict[Step, None] = {}
        while self.evaluations and self.evaluations[0][0] <= now:
            evaluate_at, _, step = heapq.heappop(self.evaluations)
            waiting = self.waiting.get(step)
            if waiting is not None and waiting.at == evaluate_at:
                due_steps[step] = None
        return list(due_steps)

    def find_interested(self, executors: Iterable[ExecutorState]) -> list[Step]:
        """Return the steps that may use new room on executors."""
        found: dict[Step, None] = {}
        for executor in executors:
            for step in self.steps_by_executor.get(executor.executor_id, ()):
                if executor.fit_count(step.spec):
                    found[step] = None
        return list(found)
