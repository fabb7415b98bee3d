"""Keep executors for gangs and for large tasks.

Small tasks fill each gap as soon as it opens, so that a task that needs a large part of
an executor would wait until the load falls. A gang needs room and permission on many
executors at the same time: while the policy service is asked, others would take the
room. An executor that is kept takes no work of other steps of the same or a lower
priority.
"""

from collections.abc import Iterable

from gypsumring.dispatch.openings import expect_openings
from gypsumring.dispatch.placing import places_on, room_for
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.model import Queue
from gypsumring.pipelines.state import Step

__all__ = ["Reservation", "needs_reservation", "reserve_executors"]

# A task that needs at least this share of an executor's processors is a large one.
LARGE_SHARE = 0.2
# A step waits so long for room before executors are reserved for it, in seconds.
PATIENCE_S = 0.4
# At most this share of the executors is kept for steps that wait for room; the first
# gang gets all that it needs.
MAX_RESERVED_SHARE = 0.3
# At most so many executors are reserved for a step that is not a gang.
MAX_FOR_TASKS = 2
# A gang changes the executors that are kept for it if it gains this share of the time
# that it would still wait, and at least this many seconds.
LEAST_GAIN = 0.5
LEAST_GAIN_S = 0.5
# Places kept for a gang that fits, against those needed: urgent tasks may take some.
SURPLUS = 1.2


class Reservation:
    """Keep an executor for one step."""

    __slots__ = ("priority", "step")

    def __init__(self, step: Step, priority: int):
        self.step = step
        self.priority = priority

    def admits(self, step: Step, priority: int) -> bool:
        """Tell whether a task of a step may use the executor."""
        return step is self.step or priority < self.priority


class Ledger:
    """Collect the reservations of one pass over the waiting steps."""

    __slots__ = ("by_id", "clock", "kept_waiting", "limit", "now", "reserved")

    def __init__(self, fleet: list[ExecutorState], now: float, clock: float):
        self.by_id = {executor.executor_id: executor for executor in fleet}
        self.now = now
        self.clock = clock
        self.limit = int(len(fleet) * MAX_RESERVED_SHARE)
        # Executors that are kept for steps that wait for room.
        self.kept_waiting = 0
        self.reserved: dict[str, Reservation] = {}

    def list_candidates(self, step: Step, queue: Queue) -> list[ExecutorState]:
        """Return the allowed executors that take work and are not kept for others."""
        return [
            executor
            for executor_id in step.allowed
            if executor_id not in self.reserved
            and (executor := self.by_id.get(executor_id)) is not None
            and executor.takes_work(queue.service, self.clock)
        ]

    def keep(self, step: Step, queue: Queue, executors: list[ExecutorState]) -> None:
        """Keep executors for a step; it gives up those that it had besides."""
        step.reserved = {executor.executor_id for executor in executors}
        for executor_id in step.reserved:
            self.reserved[executor_id] = Reservation(step, queue.priority)


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
    starving: Iterable[tuple[Step, Queue]] = (),
) -> dict[str, Reservation]:
    """Return the reservations, by executor; steps come in their order of service.

    ``clock`` is the time on the clock of the executors' states, which counts suspended
    time. The first of the ``starving`` steps that can get its room goes before all
    others, so that newer steps cannot overtake it for good.
    """
    ledger = Ledger(fleet, now, clock)
    largest_cpu = max((each.entry.cpu_millis for each in fleet), default=0)
    first = None
    for step, queue in starving:
        reserve_for(step, queue, ledger, largest_cpu)
        if step.reserved:
            first = step
            break
    for step, queue in steps:
        if step is not first:
            reserve_for(step, queue, ledger, largest_cpu)
    return ledger.reserved


def reserve_for(step: Step, queue: Queue, ledger: Ledger, largest_cpu: int) -> None:
    """Keep what one step needs, if it may keep anything."""
    waits = needs_reservation(step, largest_cpu, ledger.now)
    if step.spec.gang:
        reserve_for_gang(step, queue, ledger, waits)
    elif waits and ledger.kept_waiting < ledger.limit:
        reserve_for_tasks(step, queue, ledger)
    else:
        step.reserved = set()


def reserve_for_gang(step: Step, queue: Queue, ledger: Ledger, waits: bool) -> None:
    """Keep the room that a gang fits into, or all executors on which it gathers some.

    Room for a part of a gang is of no use to it.
    """
    if not step.pending or not step.allowed or step.runs:
        step.reserved = set()
        return
    candidates = ledger.list_candidates(step, queue)
    chosen = choose_free_room(step, candidates)
    if not chosen and waits:
        chosen = choose_openings(step, candidates, ledger.now)
        kept = ledger.kept_waiting + len(chosen)
        if ledger.kept_waiting and kept > ledger.limit:
            chosen = []
        else:
            ledger.kept_waiting = kept
    ledger.keep(step, queue, chosen)


def choose_free_room(
    step: Step, candidates: list[ExecutorState]
) -> list[ExecutorState]:
    """Return executors whose free room holds a gang, or none.

    Those that the step has already come first, then those with most room.
    """
    rows = [(room_for(step, executor), executor) for executor in candidates]
    needed = len(step.pending)
    if sum(room for room, _ in rows) < needed:
        return []
    return choose_enough(step, rows, int(needed * SURPLUS))


def choose_openings(
    step: Step, candidates: list[ExecutorState], now: float
) -> list[ExecutorState]:
    """Return the executors on which a gang is expected to find its room first.

    Those that it has stay, unless others are expected much sooner: estimates are rough,
    and room that was gathered is lost by a change.
    """
    openings = [
        (expect_openings(step, executor, now), executor) for executor in candidates
    ]
    enough_at = find_enough_at(step, openings)
    if enough_at is None:
        # No wait makes room for it; others must not wait for it either.
        return []
    own = [row for row in openings if row[1].executor_id in step.reserved]
    own_at = find_enough_at(step, own)
    if own_at is not None:
        sooner_s = own_at - enough_at
        if sooner_s <= max(LEAST_GAIN_S, LEAST_GAIN * (own_at - now)):
            openings, enough_at = own, own_at
    rows = [
        (sum(time <= enough_at for time in each), executor)
        for each, executor in openings
    ]
    return choose_enough(step, rows, len(step.pending))


def find_enough_at(
    step: Step, openings: list[tuple[list[float], ExecutorState]]
) -> float | None:
    """Return when all members of a gang have a place, or None if they never have."""
    times = sorted(time for each, _ in openings for time in each)
    needed = len(step.pending)
    return times[needed - 1] if len(times) >= needed else None


def choose_enough(
    step: Step, rows: list[tuple[int, ExecutorState]], needed: int
) -> list[ExecutorState]:
    """Return the executors that give ``needed`` places together, or all that give any.

    ``rows`` are places and executor.
    """
    rows = [row for row in rows if row[0]]
    rows.sort(
        key=lambda row: (
            row[1].executor_id not in step.reserved,
            -row[0],
            row[1].executor_id,
        )
    )
    chosen = []
    places = 0
    for room, executor in rows:
        if places >= needed:
            break
        places += room
        chosen.append(executor)
    return chosen


def reserve_for_tasks(step: Step, queue: Queue, ledger: Ledger) -> None:
    """Keep a few executors for large tasks, those with most free room."""
    candidates = ledger.list_candidates(step, queue)
    candidates.sort(
        key=lambda each: (
            each.executor_id not in step.reserved,
            -each.free_cpu(),
            each.executor_id,
        )
    )
    chosen: list[ExecutorState] = []
    places = 0
    for executor in candidates:
        enough = places >= len(step.pending) or len(chosen) >= MAX_FOR_TASKS
        if enough or ledger.kept_waiting >= ledger.limit:
            break
        if places_on(step, executor):
            places += places_on(step, executor)
            chosen.append(executor)
            ledger.kept_waiting += 1
    ledger.keep(step, queue, chosen)
