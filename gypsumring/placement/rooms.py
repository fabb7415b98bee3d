"""Room of workers, and what is held of it."""

from collections import Counter

import msgspec

from gypsumring.messages.work import Priority, Resources

__all__ = [
    "FAILURES_TO_QUARANTINE",
    "RESERVED",
    "Demand",
    "HeldTask",
    "Key",
    "Preemption",
    "Reservation",
    "WorkerRoom",
]

FULL_SHARE = 10_000
FAILURES_TO_QUARANTINE = 3
# Failures soon after the start quarantine a worker if they are of this many services.
SERVICES_TO_QUARANTINE = 2

Key = tuple[str, int]

# Marks the key of a reservation; task ids hold no such character.
RESERVED = "\x00"


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one task attempt to place."""

    key: Key
    service: str
    resources: Resources
    priority: Priority = Priority.NORMAL
    spread: bool = False


class HeldTask:
    """Account for one task or reservation on a worker.

    ``reserved`` is the larger of declared and measured. ``borrows`` marks a
    preemptible task that uses capacity which others declared but do not use.
    """

    __slots__ = (
        "borrows",
        "demand",
        "is_reservation",
        "measured",
        "reserved",
        "worker",
    )

    def __init__(self, demand: Demand, worker: "WorkerRoom", reserved: Resources):
        self.demand = demand
        self.is_reservation = RESERVED in demand.key[0]
        self.worker = worker
        self.reserved = reserved
        self.measured: Resources | None = None
        self.borrows = False


class WorkerRoom:
    """Hold one worker's capacity and what is committed on it.

    ``cpu``, ``memory`` and ``accelerators`` are the free amounts. ``closed`` lists
    the reasons for which the worker gets no new work (leaving, unreachable, claimed).
    ``failures`` counts failed starts in a row, ``crashes`` the tasks of each service
    that failed soon after their start, in a row.
    """

    __slots__ = (
        "accelerators",
        "by_class",
        "capacity",
        "closed",
        "cpu",
        "crashes",
        "data_centre",
        "failures",
        "indexed",
        "memory",
        "name",
        "position",
        "probe_at",
        "probing",
        "rack",
        "services",
        "tasks",
    )

    def __init__(
        self, name: str, capacity: Resources, data_centre: str, rack: str, position: int
    ):
        self.name = name
        self.capacity = capacity
        self.data_centre = data_centre
        self.rack = rack
        self.position = position
        self.tasks: dict[Key, HeldTask] = {}
        self.services: Counter[str] = Counter()
        self.cpu = capacity.cpu_millis
        self.memory = capacity.memory_mb
        self.accelerators = capacity.accelerators
        # Reserved processors, memory and accelerators of each class.
        self.by_class = [[0, 0, 0] for _ in Priority]
        self.closed: set[str] = set()
        self.indexed: tuple[int, int, int, int] | None = None
        self.failures = 0
        self.crashes: Counter[str] = Counter()
        self.probe_at = 0.0
        self.probing: Key | None = None

    @property
    def free(self) -> Resources:
        """Return the uncommitted capacity; negative when tasks outgrew the worker."""
        return Resources(self.cpu, self.memory, self.accelerators)

    @property
    def is_quarantined(self) -> bool:
        """Tell whether the worker failed too many starts or tasks in a row."""
        return self.failures >= FAILURES_TO_QUARANTINE or (
            len(self.crashes) >= SERVICES_TO_QUARANTINE
            and self.crashes.total() >= FAILURES_TO_QUARANTINE
        )

    def holds(self, size: Resources) -> bool:
        """Tell whether a size fits in the free capacity."""
        return (
            size.cpu_millis <= self.cpu
            and size.memory_mb <= self.memory
            and size.accelerators <= self.accelerators
        )

    def can_make_room(self, size: Resources, priority: Priority) -> bool:
        """Tell whether a size fits once all lower classes are gone."""
        cpu, memory, accelerators = self.cpu, self.memory, self.accelerators
        for amounts in self.by_class[:priority]:
            cpu += amounts[0]
            memory += amounts[1]
            accelerators += amounts[2]
        return (
            size.cpu_millis <= cpu
            and size.memory_mb <= memory
            and size.accelerators <= accelerators
        )

    def measure_headroom(self) -> int:
        """Return the smaller free share of processors and memory, in 1/10,000."""
        return min(
            self.cpu * FULL_SHARE // max(self.capacity.cpu_millis, 1),
            self.memory * FULL_SHARE // max(self.capacity.memory_mb, 1),
        )

    def measure_rest(self, size: Resources) -> int:
        """Return the free share left after a size is placed, in 1/10,000, summed."""
        return (self.cpu - size.cpu_millis) * FULL_SHARE // max(
            self.capacity.cpu_millis, 1
        ) + (self.memory - size.memory_mb) * FULL_SHARE // max(
            self.capacity.memory_mb, 1
        )


class Preemption(msgspec.Struct, frozen=True):
    """Name the tasks to remove from a worker, cheapest first."""

    worker: str
    victims: tuple[Key, ...]


class Reservation:
    """Hold room for tasks of a gang until a monotonic deadline."""

    __slots__ = ("deadline", "keys")

    def __init__(self, deadline: float):
        self.deadline = deadline
        self.keys: dict[Key, Key] = {}
