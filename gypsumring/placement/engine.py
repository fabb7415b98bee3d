"""Decide where tasks run, and account for the capacity of workers."""

import itertools
import random
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.work import Priority, Resources
from gypsumring.placement.exceptions import NoFit
from gypsumring.placement.index import AcceleratorGroup, FreeIndex
from gypsumring.placement.policies import (
    BestFitScan,
    FirstFit,
    LeastLoaded,
    Pack,
    Policy,
    RandomFit,
    Spread,
    Weighted,
    choose_policy,
)
from gypsumring.placement.rooms import (
    FAILURES_TO_QUARANTINE,
    RESERVED,
    Demand,
    HeldTask,
    Key,
    Preemption,
    Reservation,
    WorkerRoom,
)
from gypsumring.placement.usage import UsageLearner, decay_peak, larger_of

__all__ = ["PlacementEngine"]

# A best-fit decision compares at most this many candidates, one of each tree node.
COMPARED_FITS = 12
# A spread decision checks at most this many workers before it takes any that fits.
CHECKED_FOR_SPREAD = 256
# A preemption decision compares at most this many workers that could make room.
COMPARED_FOR_PREEMPTION = 8
# It scans at most this many workers; the next decision goes on where it stopped. So
# it stays below 5 ms in the largest cell and is exact on every rack.
SCANNED_FOR_PREEMPTION = 1_024
WORKERS_TO_SUSPECT = 2
PROBE_BASE_S = 5.0
PROBE_LIMIT_S = 300.0


class PlacementEngine:
    """Choose workers and commit capacity.

    Reserved sizes: a task reserves the larger of its declared size and its measured
    peak. If tasks use more than they declared, the sum may grow past the capacity of
    the worker; then nothing new is committed there, and `choose_relief` names the
    tasks to remove. If tasks use less than they declared, the surplus stays reserved
    unless ``lends_surplus`` is set. A lender may use its declared size again at any
    moment and reports lag by seconds, so lending trades invariant 1 (no VM is given
    more than it can hold) for packing; it is therefore off by default. When it is
    on, preemptible batch tasks alone may borrow, and the sum of measured sizes, with
    every unmeasured or borrowing task counted in full, must stay within capacity.
    """

    def __init__(
        self,
        packing_weight: float,
        random_source: random.Random,
        lends_surplus: bool = False,
    ):
        self.packing_weight = packing_weight
        self.random_source = random_source
        self.lends_surplus = lends_surplus
        self.learner = UsageLearner()
        self.index = FreeIndex()
        self.workers: dict[str, WorkerRoom] = {}
        self.by_position: dict[int, WorkerRoom] = {}
        self.tasks: dict[Key, HeldTask] = {}
        self.reservations: dict[str, Reservation] = {}
        self.quarantined: dict[str, WorkerRoom] = {}
        # Workers on which a service's starts failed since its last success.
        self.failed_on: dict[str, set[str]] = {}
        # Workers on which a service's tasks failed soon, since one of them did not.
        self.crashed_on: dict[str, set[str]] = {}
        self.sites: dict[str, dict[str, dict[str, WorkerRoom]]] = {}
        self.service_counts: Counter[tuple[str, ...]] = Counter()
        self.next_position = 0
        self.preemption_cursor = 0
        self.total_capacity = Resources()
        self.largest_worker = Resources()

    # --- workers --------------------------------------------------------------------

    def add_worker(
        self, name: str, capacity: Resources, data_centre: str = "", rack: str = ""
    ) -> None:
        """Add a worker that is open for work."""
        room = WorkerRoom(name, capacity, data_centre, rack, self.next_position)
        self.next_position += 1
        self.workers[name] = room
        self.by_position[room.position] = room
        self.sites.setdefault(data_centre, {}).setdefault(rack, {})[name] = room
        self.total_capacity += capacity
        self.largest_worker = larger_of(self.largest_worker, capacity)
        self.reindex(room)

    def resize_worker(self, name: str, capacity: Resources) -> None:
        """Change what a worker holds; its tasks may then exceed it."""
        room = self.workers[name]
        change = capacity - room.capacity
        room.capacity = capacity
        self.total_capacity += change
        self.find_largest_worker()
        self.change_committed(room, change, -1)

    def find_largest_worker(self) -> None:
        """Find the largest amount of each resource that any worker holds."""
        self.largest_worker = Resources()
        for room in self.workers.values():
            self.largest_worker = larger_of(self.largest_worker, room.capacity)

    def remove_worker(self, name: str) -> list[Key]:
        """Remove a worker and return the keys of the tasks that it held."""
        room = self.workers[name]
        keys = list(room.tasks)
        for key in keys:
            self.release(key)
        self.set_closed(name, "removed", True)
        del self.workers[name]
        del self.by_position[room.position]
        del self.sites[room.data_centre][room.rack][name]
        self.quarantined.pop(name, None)
        self.total_capacity -= room.capacity
        self.find_largest_worker()
        return keys

    def set_closed(self, name: str, reason: str, closed: bool) -> None:
        """Close a worker to new work, or lift that reason to keep it closed."""
        room = self.workers[name]
        if closed:
            room.closed.add(reason)
        else:
            room.closed.discard(reason)
        self.reindex(room)

    def reindex(self, room: WorkerRoom) -> None:
        """Bring the index entry of a worker up to date."""
        usable = (
            not room.closed
            and not room.is_quarantined
            and room.cpu >= 0
            and room.memory >= 0
            and room.accelerators >= 0
        )
        entry = None
        if usable:
            entry = (room.cpu, room.memory, room.accelerators, room.measure_headroom())
        if entry == room.indexed:
            return
        if room.indexed is not None:
            self.index.remove(*room.indexed, room.position)
        if entry is not None:
            self.index.add(*entry, room.position)
        room.indexed = entry

    # --- decisions ------------------------------------------------------------------

    def predict_size(self, demand: Demand) -> Resources:
        """Return the size to reserve: learned use, but never above every worker.

        The cap lets a service whose measured peak exceeds all workers still run, on
        a worker of its own.
        """
        size = self.learner.predict(demand.service, demand.resources)
        if size is demand.resources:
            return size
        largest = self.largest_worker
        capped = Resources(
            min(size.cpu_millis, largest.cpu_millis),
            min(size.memory_mb, largest.memory_mb),
            min(size.accelerators, largest.accelerators),
        )
        return larger_of(demand.resources, capped)

    def place(self, demand: Demand, now: float, policy: Policy | None = None) -> str:
        """Commit a task to a worker and return the worker's name; raise NoFit."""
        self.expire_reservations(now)
        size = self.predict_size(demand)
        room = self.choose_probe(demand, size, now)
        if room is None:
            if policy is None:
                policy = choose_policy(
                    demand.priority, demand.spread, self.packing_weight
                )
            room = self.choose(demand, size, policy)
        if room is not None:
            self.commit(demand, room, size)
            return room.name
        if self.lends_surplus and demand.priority == Priority.BATCH:
            return self.place_on_surplus(demand, size)
        raise NoFit(f"no worker has room for {demand.key[0]}")

    def choose(
        self, demand: Demand, size: Resources, policy: Policy
    ) -> WorkerRoom | None:
        """Return the worker that a policy prefers, or None if the size fits nowhere."""
        match policy:
            case Pack() | LeastLoaded() | Weighted():
                for group in self.index.iterate_groups(size.accelerators):
                    room = self.choose_in_group(group, size, policy)
                    if room is not None:
                        return room
                return None
            case Spread():
                return self.choose_spread(demand, size)
            case FirstFit():
                return next(self.scan_fits(size), None)
            case BestFitScan():
                return min(
                    self.scan_fits(size),
                    key=lambda r: (r.accelerators, r.measure_rest(size), r.position),
                    default=None,
                )
            case RandomFit():
                fitting = list(self.scan_fits(size))
                return self.random_source.choice(fitting) if fitting else None
        raise TypeError(f"unknown policy {policy!r}")

    def scan_fits(self, size: Resources) -> Iterator[WorkerRoom]:
        """Yield all workers that hold a size, in the order of their addition."""
        for room in self.workers.values():
            if room.indexed is not None and room.holds(size):
                yield room

    def choose_in_group(
        self,
        group: AcceleratorGroup,
        size: Resources,
        policy: Pack | LeastLoaded | Weighted,
    ) -> WorkerRoom | None:
        """Return the preferred worker among those with equal free accelerators.

        Groups are tried from the fewest accelerators on, so that work strands none
        while a tighter group has any fit.
        """
        match policy:
            case Pack():
                return self.choose_packed(group, size, size)
            case LeastLoaded():
                return self.choose_least_loaded(group, size)
            case Weighted(packing_weight=weight):
                share = (1 - weight) / 2 / max(len(self.workers), 1)
                sought = Resources(
                    size.cpu_millis + int(self.total_capacity.cpu_millis * share),
                    size.memory_mb + int(self.total_capacity.memory_mb * share),
                    size.accelerators,
                )
                return self.choose_packed(
                    group, sought, size
                ) or self.choose_least_loaded(group, size)

    def iterate_group_fits(
        self, group: AcceleratorGroup, size: Resources
    ) -> Iterator[WorkerRoom]:
        """Yield workers of a group that hold a size, closest memory first."""
        for position in group.iterate_fits(size.cpu_millis, size.memory_mb):
            room = self.by_position[position]
            if room.holds(size):
                yield room

    def choose_packed(
        self, group: AcceleratorGroup, sought: Resources, size: Resources
    ) -> WorkerRoom | None:
        """Return the best fit for ``size`` among workers with ``sought`` free."""
        return min(
            itertools.islice(self.iterate_group_fits(group, sought), COMPARED_FITS),
            key=lambda room: (room.measure_rest(size), room.position),
            default=None,
        )

    def choose_least_loaded(
        self, group: AcceleratorGroup, size: Resources
    ) -> WorkerRoom | None:
        """Return the worker with most headroom that fits.

        The head of a group nearly always fits; when it is short of one resource, the
        exact index answers, so misfits are never walked one by one.
        """
        room = self.by_position[group.by_headroom[0][1]]
        if room.holds(size):
            return room
        return max(
            self.iterate_group_fits(group, size),
            key=lambda room: (room.measure_headroom(), -room.position),
            default=None,
        )

    def choose_spread(self, demand: Demand, size: Resources) -> WorkerRoom | None:
        """Return a fitting worker where the service has fewest tasks."""
        fallback = self.choose(demand, size, LeastLoaded())
        if fallback is None:
            return None
        service = demand.service
        counts = self.service_counts
        checked = 0
        for centre in sorted(self.sites, key=lambda c: (counts[service, c], c)):
            racks = self.sites[centre]
            for rack in sorted(racks, key=lambda r: (counts[service, centre, r], r)):
                best = None
                for room in racks[rack].values():
                    checked += 1
                    if room.indexed is None or not room.holds(size):
                        continue
                    rank = (
                        room.services[service],
                        -room.measure_headroom(),
                        room.position,
                    )
                    if best is None or rank < best[0]:
                        best = (rank, room)
                if best is not None:
                    return best[1]
                if checked >= CHECKED_FOR_SPREAD:
                    return fallback
        return fallback

    # --- capacity -------------------------------------------------------------------

    def commit(self, demand: Demand, room: WorkerRoom, size: Resources) -> HeldTask:
        """Commit a task to a worker; raise InvariantViolation if it does not fit."""
        if demand.key in self.tasks:
            raise InvariantViolation(f"task attempt {demand.key} is placed already")
        if not room.holds(size):
            raise InvariantViolation(
                f"{demand.key} of {size} exceeds the free {room.free} of {room.name}"
            )
        held = self.hold(demand, room, size)
        if room.is_quarantined:
            room.probing = demand.key
        return held

    def adopt(self, demand: Demand, worker: str) -> None:
        """Account for a task that a worker's inventory shows; it may not fit."""
        self.hold(demand, self.workers[worker], self.predict_size(demand))

    def hold(self, demand: Demand, room: WorkerRoom, size: Resources) -> HeldTask:
        """Add a task to the books of a worker."""
        held = HeldTask(demand, room, size)
        room.tasks[demand.key] = held
        self.tasks[demand.key] = held
        self.count_service(held, 1)
        self.count_reserved(held, size, 1)
        return held

    def release(self, key: Key) -> None:
        """Free the capacity of a task attempt; do nothing if it is unknown."""
        held = self.tasks.pop(key, None)
        if held is None:
            return
        room = held.worker
        del room.tasks[key]
        if room.probing == key:
            room.probing = None
        self.count_service(held, -1)
        if held.borrows:
            return
        self.count_reserved(held, held.reserved, -1)

    def count_reserved(self, held: HeldTask, size: Resources, sign: int) -> None:
        """Add a size to a task's reserved capacity or take it off."""
        room = held.worker
        if not held.is_reservation:
            amounts = room.by_class[held.demand.priority]
            amounts[0] += sign * size.cpu_millis
            amounts[1] += sign * size.memory_mb
            amounts[2] += sign * size.accelerators
        self.change_committed(room, size, sign)

    def count_service(self, held: HeldTask, change: int) -> None:
        """Count a task of a service on its worker, rack and data centre."""
        service = held.demand.service
        room = held.worker
        for counter, key in (
            (room.services, service),
            (self.service_counts, (service, room.data_centre)),
            (self.service_counts, (service, room.data_centre, room.rack)),
        ):
            counter[key] += change
            if not counter[key]:
                del counter[key]

    def change_committed(self, room: WorkerRoom, size: Resources, sign: int) -> None:
        """Add a size to the committed capacity of a worker or take it off."""
        room.cpu -= sign * size.cpu_millis
        room.memory -= sign * size.memory_mb
        room.accelerators -= sign * size.accelerators
        self.reindex(room)

    # --- measured use ---------------------------------------------------------------

    def observe_usage(self, used: Iterable[tuple[Key, Resources]]) -> None:
        """Take in measured use and adjust the reserved sizes of running tasks."""
        peaks: dict[str, Resources] = {}
        for key, amount in used:
            held = self.tasks.get(key)
            if held is None:
                continue
            service = held.demand.service
            peaks[service] = larger_of(peaks.get(service, Resources()), amount)
            held.measured = (
                amount if held.measured is None else decay_peak(held.measured, amount)
            )
            reserved = larger_of(held.demand.resources, held.measured)
            if not held.borrows and reserved != held.reserved:
                change = reserved - held.reserved
                held.reserved = reserved
                self.count_reserved(held, change, 1)
        for service, peak in peaks.items():
            self.learner.observe(service, peak)

    def measure_use(self, room: WorkerRoom) -> Resources:
        """Return the sum of measured sizes; an unmeasured task counts in full."""
        total = Resources()
        for held in room.tasks.values():
            if held.borrows:
                total += larger_of(held.reserved, held.measured or Resources())
            else:
                total += held.measured or held.reserved
        return total

    def place_on_surplus(self, demand: Demand, size: Resources) -> str:
        """Lend capacity that is declared but not used to a batch task; raise NoFit."""
        for room in self.workers.values():
            if room.closed or room.is_quarantined:
                continue
            if size.fits_in(room.capacity - self.measure_use(room)):
                if demand.key in self.tasks:
                    raise InvariantViolation(f"{demand.key} is placed already")
                held = HeldTask(demand, room, size)
                held.borrows = True
                room.tasks[demand.key] = held
                self.tasks[demand.key] = held
                self.count_service(held, 1)
                return room.name
        raise NoFit(f"no worker has unused capacity for {demand.key[0]}")

    def choose_relief(self) -> list[Preemption]:
        """Name tasks to remove from workers whose tasks outgrew them.

        Borrowing tasks go first, then lower classes; the last task of a worker stays,
        because a task larger than any worker is better run alone than never.
        """
        reliefs = []
        for room in self.workers.values():
            excess = self.measure_use(room) - room.capacity
            if max(excess.cpu_millis, excess.memory_mb, excess.accelerators) <= 0:
                continue
            order = sorted(
                room.tasks.values(),
                key=lambda h: (not h.borrows, h.demand.priority, h.demand.key),
            )
            victims = []
            for held in order[:-1]:
                if max(excess.cpu_millis, excess.memory_mb, excess.accelerators) <= 0:
                    break
                victims.append(held.demand.key)
                excess -= held.measured or held.reserved
            if victims:
                reliefs.append(Preemption(room.name, tuple(victims)))
        return reliefs

    # --- preemption -----------------------------------------------------------------

    def choose_victims(self, demand: Demand) -> Preemption | None:
        """Return the cheapest tasks of lower classes that make room on one worker.

        Compare a few workers, starting from a moving position. The scan runs only
        when urgent or normal work fits nowhere.
        """
        size = self.predict_size(demand)
        if demand.priority == Priority.BATCH or not self.workers:
            return None
        rooms = list(self.workers.values())
        first = self.preemption_cursor % len(rooms)
        scanned = itertools.islice(
            itertools.chain(rooms[first:], rooms[:first]), SCANNED_FOR_PREEMPTION
        )
        best = None
        found = 0
        for room in scanned:
            self.preemption_cursor += 1
            if room.closed or room.is_quarantined:
                continue
            if not room.can_make_room(size, demand.priority):
                continue
            victims = self.find_victims(room, demand.priority, size)
            if victims is None:
                continue
            cost = (
                max(held.demand.priority for held in victims),
                sum(held.reserved.cpu_millis for held in victims),
                len(victims),
            )
            if best is None or cost < best[0]:
                best = (cost, room, victims)
            found += 1
            if found >= COMPARED_FOR_PREEMPTION:
                break
        if best is None:
            return None
        return Preemption(best[1].name, tuple(held.demand.key for held in best[2]))

    def find_victims(
        self, room: WorkerRoom, priority: Priority, size: Resources
    ) -> list[HeldTask] | None:
        """Return a minimal list of lower-class tasks whose end makes room."""
        lower = [
            held
            for held in room.tasks.values()
            if held.demand.priority < priority and not held.is_reservation
        ]
        # Lowest class first; in a class the largest first, so that few are stopped.
        lower.sort(
            key=lambda h: (
                h.demand.priority,
                -h.reserved.cpu_millis - h.reserved.memory_mb,
                h.demand.key,
            )
        )
        free = room.free
        chosen = []
        for held in lower:
            if size.fits_in(free):
                break
            if not held.borrows:
                free += held.reserved
            chosen.append(held)
        if not chosen or not size.fits_in(free):
            return None
        for held in sorted(chosen, key=lambda h: -h.demand.priority):
            if held.borrows or size.fits_in(free - held.reserved):
                chosen.remove(held)
                if not held.borrows:
                    free -= held.reserved
        return chosen

    # --- reservations ---------------------------------------------------------------

    def reserve(
        self, name: str, demands: Iterable[Demand], deadline: float, now: float
    ) -> int:
        """Reserve room for tasks until a deadline; return how many, from the first."""
        self.expire_reservations(now)
        reservation = self.reservations.setdefault(name, Reservation(deadline))
        reservation.deadline = deadline
        count = 0
        for demand in demands:
            # A repeated message may name tasks that were started meanwhile.
            if demand.key not in reservation.keys and demand.key not in self.tasks:
                held_key = (f"{name}{RESERVED}{demand.key[0]}", demand.key[1])
                try:
                    self.place(msgspec.structs.replace(demand, key=held_key), now)
                except NoFit:
                    break
                reservation.keys[demand.key] = held_key
            count += 1
        return count

    def consume(self, name: str, demand: Demand, now: float) -> str | None:
        """Place a task in its reserved room, or return None if there is none."""
        self.expire_reservations(now)
        reservation = self.reservations.get(name)
        held_key = reservation and reservation.keys.pop(demand.key, None)
        held = self.tasks.get(held_key) if held_key else None
        if held is None:
            return None
        room, size = held.worker, held.reserved
        self.release(held_key)
        if not reservation.keys:
            del self.reservations[name]
        if room.closed or room.is_quarantined or not room.holds(size):
            return None
        self.commit(demand, room, size)
        return room.name

    def release_reservation(self, name: str) -> None:
        """End a reservation and free what was not consumed."""
        reservation = self.reservations.pop(name, None)
        if reservation is not None:
            for held_key in reservation.keys.values():
                self.release(held_key)

    def expire_reservations(self, now: float) -> None:
        """End the reservations whose deadline has passed."""
        if not self.reservations:
            return
        ended = [n for n, r in self.reservations.items() if r.deadline <= now]
        for name in ended:
            self.release_reservation(name)

    # --- quarantine -----------------------------------------------------------------

    def choose_probe(
        self, demand: Demand, size: Resources, now: float
    ) -> WorkerRoom | None:
        """Return a quarantined worker whose next probe is due.

        Urgent work is never used as a probe, nor a service that fails elsewhere.
        """
        if not self.quarantined or demand.priority >= Priority.URGENT:
            return None
        if self.is_suspect(demand.service):
            return None
        for room in self.quarantined.values():
            due = room.probing is None and room.probe_at <= now
            if due and not room.closed and room.holds(size):
                return room
        return None

    def is_suspect(self, service: str) -> bool:
        """Tell whether a service failed on several workers in a row."""
        return any(
            len(workers.get(service, ())) >= WORKERS_TO_SUSPECT
            for workers in (self.failed_on, self.crashed_on)
        )

    def record_start(
        self, worker: str, service: str, succeeded: bool, now: float
    ) -> None:
        """Count a start that failed, or lift the quarantine after one that worked.

        A service that can never run fails on every worker. Its failures count only
        until it failed on a second worker without a success, so that one bad service
        quarantines at most one worker and not the whole cell.
        """
        room = self.workers.get(worker)
        if room is None:
            return
        if succeeded:
            room.failures = 0
            self.failed_on.pop(service, None)
        else:
            failed_on = self.failed_on.setdefault(service, set())
            failed_on.add(worker)
            if len(failed_on) >= WORKERS_TO_SUSPECT:
                return
            room.failures += 1
        self.update_quarantine(room, room.failures, succeeded, now)

    def record_run(self, worker: str, service: str, survived: bool, now: float) -> None:
        """Count a task that failed soon after its start, or forget such failures.

        Failures of one service on several workers count against the service, so they
        are taken off the workers again.
        """
        room = self.workers.get(worker)
        if room is None:
            return
        if survived:
            room.crashes.clear()
            self.crashed_on.pop(service, None)
        else:
            crashed_on = self.crashed_on.setdefault(service, set())
            crashed_on.add(worker)
            if len(crashed_on) >= WORKERS_TO_SUSPECT:
                for name in sorted(crashed_on & self.workers.keys()):
                    other = self.workers[name]
                    if other.crashes.pop(service, 0):
                        self.update_quarantine(other, 0, True, now)
                return
            room.crashes[service] += 1
        self.update_quarantine(room, room.crashes.total(), survived, now)

    def update_quarantine(
        self, room: WorkerRoom, failures: int, succeeded: bool, now: float
    ) -> None:
        """Put a worker into quarantine or lift it; failures put off the next probe."""
        if not room.is_quarantined:
            self.quarantined.pop(room.name, None)
        elif not succeeded:
            self.quarantined[room.name] = room
            probes = max(0, failures - FAILURES_TO_QUARANTINE)
            delay = min(PROBE_BASE_S * 2 ** min(probes, 30), PROBE_LIMIT_S)
            room.probe_at = now + delay
        self.reindex(room)
