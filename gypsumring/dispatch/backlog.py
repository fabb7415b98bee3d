"""Backlog of ready steps, and the schedule of their evaluations.

Evaluating each waiting step after each change would cost the product of the backlog's
length and the number of changes. A step that could not be placed is therefore evaluated
again only if capacity is released, if a policy answer arrives, or after a period.
"""

import heapq
import itertools
from collections.abc import Callable, Container, Iterable

from gypsumring.dispatch.fairness import FairShares
from gypsumring.dispatch.ordering import job_target_s, step_due_at
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import Queue
from gypsumring.pipelines.state import Job, Step

__all__ = ["Backlog"]

# Minimum period after which a waiting step is evaluated again without any change.
EVALUATION_PERIOD_S = 0.1
# Number of steps evaluated in one period; the period grows with a longer backlog.
EVALUATIONS_PER_PERIOD = 50
MAX_EVALUATION_PERIOD_S = 2.0
# A step is starving once its job has taken this multiple of its target time.
STARVING_FACTOR = 3.0


class WaitingStep:
    """Schedule of a waiting step and its rank in the order of service."""

    __slots__ = (
        "due_at",
        "evaluate_at",
        "evaluated_at",
        "queue",
        "queued_at",
        "starves_at",
        "step",
    )

    def __init__(self, step: Step, queue: Queue, evaluate_at: float, queued_at: float):
        self.step = step
        self.queue = queue
        self.due_at = step_due_at(step, queue)
        target_s = job_target_s(step.job, queue)
        self.starves_at = self.due_at + (STARVING_FACTOR - 1) * target_s
        self.evaluate_at = evaluate_at
        # Time at which the step entered the backlog, and time of its latest evaluation.
        self.queued_at = queued_at
        self.evaluated_at: float | None = None

    def rank(
        self, now: float, first_starving: Step | None, shares: FairShares
    ) -> tuple[tuple[int, bool, bool], bool, bool, float, str]:
        """Return the sort key of the order of service.

        Within a priority and standing of the account, steps are ordered by the target
        time of their jobs. Jobs that have missed their target follow those that can
        still meet it, unless the step has reserved executors or is ``first_starving``.
        Steps with tasks that were stopped for others come first.
        """
        missed = (
            self.due_at < now
            and not self.step.reserved
            and self.step is not first_starving
        )
        standing = shares.rank(self.step.job.spec, self.queue.priority)
        was_interrupted = bool(self.step.interrupted)
        return (standing, not was_interrupted, missed, self.due_at, self.step.name)


class Backlog:
    """Steps with tasks to place, indexed by the executors on which they may run."""

    __slots__ = (
        "evaluations",
        "find_queue",
        "first_starving",
        "sequence_numbers",
        "shares",
        "steps_by_executor",
        "waiting",
    )

    def __init__(self, find_queue: Callable[[Job], Queue]):
        self.find_queue = find_queue
        self.waiting: dict[Step, WaitingStep] = {}
        # Standing of the client accounts in the order of service.
        self.shares = FairShares()
        # The oldest starving step of each priority that is not a gang.
        self.first_starving: dict[int, Step] = {}
        # Heap of scheduled evaluations; entries of rescheduled steps are skipped.
        self.evaluations: list[tuple[float, int, Step]] = []
        self.sequence_numbers = itertools.count()
        # Waiting steps by the ids of the executors on which they may run.
        self.steps_by_executor: dict[str, dict[Step, None]] = {}

    def refresh(self, changed: Iterable[Step], now: float) -> None:
        """Add steps that have become ready, and drop those that are no longer ready."""
        for step in changed:
            if not step.is_ready or step.job.phase.is_final:
                self.drop(step)
            else:
                self.schedule(step, now)
                self.index_allowed(step)

    def drop(self, step: Step) -> None:
        """Remove a step, its index entries and its reservations."""
        if self.waiting.pop(step, None) is None:
            return
        step.clear_reservation()
        for executor_id in step.allowed:
            steps = self.steps_by_executor.get(executor_id)
            if steps is not None:
                steps.pop(step, None)
                if not steps:
                    del self.steps_by_executor[executor_id]

    def schedule(self, step: Step, evaluate_at: float) -> None:
        """Schedule the next evaluation of a step, whose queue may have changed."""
        queue = self.find_queue(step.job)
        waiting = self.waiting.get(step)
        if waiting is None:
            self.waiting[step] = WaitingStep(step, queue, evaluate_at, evaluate_at)
        elif waiting.queue is not queue:
            self.waiting[step] = WaitingStep(
                step, queue, evaluate_at, waiting.queued_at
            )
            self.waiting[step].evaluated_at = waiting.evaluated_at
        else:
            waiting.evaluate_at = evaluate_at
        heapq.heappush(
            self.evaluations, (evaluate_at, next(self.sequence_numbers), step)
        )

    def record_evaluation(self, step: Step, now: float) -> None:
        """Record the evaluation of a waiting step."""
        waiting = self.waiting.get(step)
        if waiting is not None:
            waiting.evaluated_at = now

    def reschedule(self, step: Step, now: float) -> None:
        """Schedule a further evaluation of a step, later if the backlog is long."""
        period_s = EVALUATION_PERIOD_S * max(
            1.0, len(self.waiting) / EVALUATIONS_PER_PERIOD
        )
        self.schedule(step, now + min(period_s, MAX_EVALUATION_PERIOD_S))

    def index_allowed(self, step: Step) -> None:
        """Add a waiting step to the index of the executors on which it may run."""
        if step in self.waiting:
            for executor_id in step.allowed:
                self.steps_by_executor.setdefault(executor_id, {})[step] = None

    def order(self, steps: Iterable[Step], now: float) -> list[tuple[Step, Queue]]:
        """Return the steps that are waiting, with their queues, in order of service."""
        waiting_steps = [self.waiting[step] for step in steps if step in self.waiting]
        first_starving = self.first_starving
        waiting_steps.sort(
            key=lambda waiting: waiting.rank(
                now, first_starving.get(waiting.queue.priority), self.shares
            )
        )
        return [(waiting.step, waiting.queue) for waiting in waiting_steps]

    def list_accounts(self) -> set[str]:
        """Return the names of the client accounts with waiting steps."""
        return {step.job.spec.account for step in self.waiting}

    def list_starving(
        self, now: float, blocked: Container[Step] = ()
    ) -> list[tuple[Step, Queue]]:
        """Return the starving steps, ordered by the target time of their jobs.

        The first step of each priority that is not a gang is also recorded, and goes
        first within its priority until the next call. Starving gangs need reserved
        executors instead. Work beyond the rate of an account may starve, and so may
        steps in ``blocked``, which the caps of their accounts keep from starting.
        """
        waiting_steps = [
            waiting
            for waiting in self.waiting.values()
            if waiting.starves_at < now
            and not waiting.step.job.spec.beyond_rate
            and waiting.step not in blocked
        ]
        waiting_steps.sort(key=lambda waiting: (waiting.due_at, waiting.step.name))
        self.first_starving = {}
        for waiting in waiting_steps:
            if not waiting.step.spec.gang:
                self.first_starving.setdefault(waiting.queue.priority, waiting.step)
        return [(waiting.step, waiting.queue) for waiting in waiting_steps]

    def pop_due_steps(self, now: float) -> list[Step]:
        """Remove and return the steps whose evaluation is due.

        The caller has to schedule the next evaluation of each returned step.
        """
        due_steps: dict[Step, None] = {}
        while self.evaluations and self.evaluations[0][0] <= now:
            evaluate_at, _, step = heapq.heappop(self.evaluations)
            waiting = self.waiting.get(step)
            if waiting is not None and waiting.evaluate_at == evaluate_at:
                due_steps[step] = None
        return list(due_steps)

    def find_steps_for_capacity(self, executors: Iterable[ExecutorState]) -> list[Step]:
        """Return the steps that may use released capacity on the executors."""
        found: dict[Step, None] = {}
        for executor in executors:
            for step in self.steps_by_executor.get(executor.executor_id, ()):
                if executor.count_fitting_tasks(step.spec):
                    found[step] = None
        return list(found)
