"""Places for attempts, also by preemption."""

from typing import TYPE_CHECKING

import anyio

from gypsumring.messages.work import Priority
from gypsumring.metrics import RefusalReason
from gypsumring.placement.attempts import Attempt, AttemptState, WorkerLink
from gypsumring.placement.exceptions import NoFit
from gypsumring.placement.rooms import Key, Preemption
from gypsumring.ports import TaskActionKind

if TYPE_CHECKING:
    from gypsumring.placement.rack import RackManager

__all__ = ["TaskPlacer"]

# Preemption escalates every 1.5 s, so a checkpoint that hangs is a stop after 3 s
# and urgent work still starts within its 9.6 s.
ESCALATE_S = 1.5
ESCALATION = {
    TaskActionKind.CHECKPOINT: TaskActionKind.THROTTLE,
    TaskActionKind.THROTTLE: TaskActionKind.STOP,
    TaskActionKind.STOP: TaskActionKind.STOP,
}


class TaskPlacer:
    """Give waiting attempts room on the workers of a rack."""

    __slots__ = ("manager",)

    def __init__(self, manager: "RackManager"):
        self.manager = manager

    def place(self, attempt: Attempt, reservation_id: str = "") -> None:
        """Place an attempt and queue its start; refuse it if there is no room."""
        # Placed work is named by its worker only from here on.
        attempt.worker = ""
        now = anyio.current_time()
        worker = None
        if reservation_id:
            worker = self.manager.engine.consume(reservation_id, attempt.demand, now)
        if worker is None:
            try:
                worker = self.manager.engine.place(attempt.demand, now)
            except NoFit as error:
                if not self.claim_by_preemption(attempt):
                    self.manager.refuse(attempt, RefusalReason.NO_CAPACITY, str(error))
                return
        self.queue_start(attempt, worker)

    def queue_start(self, attempt: Attempt, worker: str) -> None:
        """Queue the start of an attempt whose room is committed."""
        link = self.manager.links[worker]
        attempt.worker = worker
        attempt.state = AttemptState.QUEUED
        link.queue[attempt.key] = attempt
        link.notify()

    def claim_by_preemption(self, attempt: Attempt) -> bool:
        """Preempt lower classes for an attempt; return whether any make room."""
        if attempt.demand.priority == Priority.BATCH:
            return False
        if attempt.deadline <= anyio.current_time():
            return False
        preemption = self.manager.engine.choose_victims(attempt.demand)
        if preemption is None:
            return False
        # Closed to others, so that nobody else takes the room that is made.
        self.manager.engine.set_closed(preemption.worker, make_claim(attempt.key), True)
        attempt.state = AttemptState.WAITING
        attempt.worker = preemption.worker
        self.manager.waiting[attempt.key] = preemption
        self.preempt(preemption, f"preempted by {attempt.key[0]}")
        return True

    def preempt(self, preemption: Preemption, reason: str) -> None:
        """Begin to remove tasks from a worker."""
        link = self.manager.links[preemption.worker]
        now = anyio.current_time()
        for key in preemption.victims:
            attempt = self.manager.attempts.get(key)
            if attempt is None or attempt.preempted:
                continue
            if attempt.is_unsent:
                self.manager.refuse(attempt, RefusalReason.NO_CAPACITY, reason)
                continue
            attempt.preempted = True
            attempt.reason = reason
            link.preempting[key] = (TaskActionKind.CHECKPOINT, now + ESCALATE_S)
            link.actions[key] = TaskActionKind.CHECKPOINT
            self.manager.metrics.count("placement.preempted")
        link.notify()

    def escalate(self, link: WorkerLink, now: float) -> None:
        """Use a harder action on preempted tasks that are still there."""
        for key, (kind, time) in list(link.preempting.items()):
            if time > now:
                continue
            harder = ESCALATION[kind]
            link.preempting[key] = (harder, now + ESCALATE_S)
            link.actions[key] = harder

    def start_waiting(self, link: WorkerLink) -> None:
        """Start the attempts whose room on this worker has become free."""
        room = self.manager.engine.workers.get(link.name)
        if room is None:
            return
        for key, preemption in list(self.manager.waiting.items()):
            attempt = self.manager.attempts.get(key)
            if preemption.worker != link.name or attempt is None:
                continue
            size = self.manager.engine.predict_size(attempt.demand)
            if room.closed != {make_claim(key)}:
                self.end_claim(key)
                self.place(attempt)
            elif room.holds(size):
                self.end_claim(key)
                self.manager.engine.commit(attempt.demand, room, size)
                self.queue_start(attempt, link.name)

    def end_claim(self, key: Key) -> None:
        """Open a worker again that was claimed for one attempt."""
        preemption = self.manager.waiting.pop(key, None)
        if preemption is not None and preemption.worker in self.manager.links:
            self.manager.engine.set_closed(preemption.worker, make_claim(key), False)


def make_claim(key: Key) -> str:
    """Return the reason for which a worker is closed to others than one attempt."""
    return f"claim {key}"
