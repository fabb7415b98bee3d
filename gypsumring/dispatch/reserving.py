"""Reserve executors for large tasks and gangs.

Small tasks fill each gap as soon as it opens, so that a task that needs a large part of
an executor would wait until the load falls. An executor that is reserved takes no work
of other steps of the same or a lower priority, until enough room has gathered.
"""

from gypsumring.dispatch.placing import places_on
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import Queue
from gypsumring.pipelines.state import Step

__all__ = ["Reservation", "needs_reservation", "reserve_executors"]

# A task that needs at least this share of an executor's processors is a large one.
LARGE_SHARE = 0.2
# A step waits so long for room before executors are reserved for it, in seconds.
PATIENCE_S = 0.4
# At most this share of the executors is reserved at a time.
MAX_RESERVED_SHARE = 0.3
# At most so many executors are reserved for a step that is not a gang.
MAX_FOR_TASKS = 2


class Reservation:
    """Keep an executor for one step."""

    __slots__ = ("priority", "step")

    def __init__(self, step: Step, priority: int):
        self.step = step
        self.priority = priority

    def admits(self, step: Step, priority: int) -> bool:
        """Tell whether a task of a step may use the executor."""
        return step is self.step or priority < self.priority


def needs_reservation(step: Step, largest_cpu: int, now: float) -> bool:
    """Tell whether a step has waited in vain for room that small tasks take.

    ``largest_cpu`` is the size of the largest executor, in thousandths of a core.
    """
    if not step.pending or not step.allowed or step.waiting_since is None:
        return False
    if now - step.waiting_since < PATIENCE_S:
        return False
    if step.spec.gang and step.runs:
        return False
    cpu = step.spec.cpu_millis
    if step.spec.gang:
        cpu *= len(step.pending)
    return cpu >= largest_cpu * LARGE_SHARE


def reserve_executors(
    steps: list[tuple[Step, Queue]],
    fleet: list[ExecutorState],
    now: float,
    clock: float,
) -> dict[str, Reservation]:
    """Return the reservations, by executor; steps come in their order of service.

    ``clock`` is the time on the clock of the executors' states, which counts suspended
    time. A step keeps the executors that it has, and takes those with most free room
    besides.
    """
    reserved: dict[str, Reservation] = {}
    limit = int(len(fleet) * MAX_RESERVED_SHARE)
    largest_cpu = max((each.entry.cpu_millis for each in fleet), default=0)
    for step, queue in steps:
        if len(reserved) >= limit or not needs_reservation(step, largest_cpu, now):
            step.reserved = set()
            continue
        candidates = [
            executor
            for executor in fleet
            if executor.executor_id in step.allowed
            and executor.executor_id not in reserved
            and executor.takes_work(queue.service, clock)
        ]
        candidates.sort(
            key=lambda each: (
                each.executor_id not in step.reserved,
                -each.free_cpu(),
                each.executor_id,
            )
        )
        step.reserved = set()
        possible = sum(places_on(step, executor) for executor in candidates)
        if step.spec.gang and possible < len(step.pending):
            # No wait makes room for it; others must not wait for it either.
            continue
        places = 0
        for executor in candidates:
            enough = places >= len(step.pending)
            if enough or len(reserved) >= limit:
                break
            if not step.spec.gang and len(step.reserved) >= MAX_FOR_TASKS:
                break
            if not places_on(step, executor):
                continue
            places += places_on(step, executor)
            step.reserved.add(executor.executor_id)
            reserved[executor.executor_id] = Reservation(step, queue.priority)
    return reserved
