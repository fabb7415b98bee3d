"""State of one executor: its entry, its clock and lease, and what it runs."""

import anyio
import msgspec

from gypsumring.fleet.health import ExecutorHealth
from gypsumring.pipelines.model import StepSpec
from gypsumring.pipelines.state import Run

__all__ = ["CONTACT_S", "ExecutorEntry", "ExecutorState", "LATE_ORDER_S"]

# The clock of an executor may be this much slow.
CLOCK_DRIFT = 0.02
# Added to the end of a lease before its tasks count as ended.
LEASE_MARGIN_MS = 100
# An executor takes new work only if it has answered within this time.
CONTACT_S = 1.6
# An order without an answer may be carried out this much later.
LATE_ORDER_S = 13.0


class ExecutorEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe an executor as it registers itself."""

    executor_id: str
    address: str
    service: str
    data_centre: str = ""
    draining: bool = False
    # While it drains, the executor stays at least this much longer, in milliseconds.
    remaining_ms: int = 0
    born_ms: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: tuple[str, ...] = ()


class ExecutorState:
    """Track one incarnation of an executor.

    Times are in seconds on the owner's clock, which counts suspended time; values
    named ``clock_ms`` are on the executor's own clock.
    """

    __slots__ = (
        "born_ms",
        "clock_ms",
        "clock_read_at",
        "entry",
        "first_contact_at",
        "health",
        "is_silent",
        "last_contact_at",
        "lease_until_ms",
        "leaves_at",
        "listed",
        "runs",
        "seen_end",
        "shutting_out",
        "durable_end",
        "durable_news",
        "unanswered_hold_at",
        "unconfirmed",
        "unknown_runs",
        "used_accelerators",
        "used_cpu",
        "used_memory",
        "was_lost",
        "tracked_since",
    )

    def __init__(self, entry: ExecutorEntry, now: float):
        self.entry = entry
        self.listed = True
        # When a draining executor may leave.
        self.leaves_at: float | None = None
        self.health = ExecutorHealth()
        self.tracked_since = now
        self.first_contact_at: float | None = None
        self.last_contact_at = 0.0
        # The newest order or hold got no answer.
        self.is_silent = False
        self.runs: dict[tuple[str, int], Run] = {}
        # Attempts of which a copy of the start got no answer, and when it was sent; the
        # executor may carry that copy out later.
        self.unconfirmed: dict[tuple[str, int], float] = {}
        # Attempts that a stop has to shut out before new work starts here.
        self.shutting_out: set[tuple[str, int]] = set()
        # Its attempts were given up since the newest answer.
        self.was_lost = False
        # Set when ends of this executor have become durable.
        self.durable_news: anyio.Event | None = None
        # When the newest hold without an answer was sent.
        self.unanswered_hold_at = float("-inf")
        self.unknown_runs: set[tuple[str, int]] = set()
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0
        self.start_life(entry.born_ms, 0)

    def start_life(self, born_ms: int, lease_until_ms: int) -> None:
        """Begin with a new incarnation; its clock and its ends count anew.

        Starts that were sent for the incarnation before may have reached this one, with
        a lease by the other clock, so that attempts stay accounted until it lists what
        it runs, and the lease is the longest that it grants.
        """
        self.born_ms = born_ms
        self.clock_ms = 0
        self.clock_read_at = 0.0
        self.lease_until_ms = lease_until_ms
        self.seen_end = 0
        self.durable_end = 0
        self.unknown_runs.clear()

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Note the executor's clock as read in an answer that has just arrived."""
        if self.first_contact_at is None:
            self.first_contact_at = now
        self.last_contact_at = now
        self.is_silent = False
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = now

    def note_durable(self, end_number: int) -> None:
        """Note that what follows from the ends up to a number is in the store."""
        self.durable_end = max(self.durable_end, end_number)
        if self.durable_news is not None:
            self.durable_news.set()

    def clock_at_least_ms(self, now: float) -> int:
        """Return a time that the executor's clock has surely reached."""
        elapsed = max(0.0, now - self.clock_read_at)
        return int(self.clock_ms + elapsed * 1000 * (1 - CLOCK_DRIFT))

    def extend_lease(self, lease_ms: int, now: float) -> int:
        """Return the end of a lease to send, and remember the latest one.

        The lease of a silent executor is not extended, so that it ends.
        """
        if self.is_silent:
            return self.lease_until_ms
        lease_end_ms = self.clock_at_least_ms(now) + lease_ms
        self.lease_until_ms = max(self.lease_until_ms, lease_end_ms)
        return lease_end_ms

    def lease_is_over(self, now: float, inherited_lease_s: float) -> bool:
        """Tell whether everything on the executor has surely ended.

        An executor that never answered this owner may hold a lease of the owner
        before, which ends within ``inherited_lease_s`` after the takeover.
        """
        if self.first_contact_at is None:
            limit_s = inherited_lease_s * (1 + 2 * CLOCK_DRIFT) + LEASE_MARGIN_MS / 1000
            return now >= self.tracked_since + limit_s
        return self.clock_at_least_ms(now) > self.lease_until_ms + LEASE_MARGIN_MS

    def take_unconfirmed(self, now: float) -> list[tuple[str, int]]:
        """Return the attempts to shut out, now that the executor answers again.

        Starts under way are left out: their order is repeated until it is answered.
        """
        keys = []
        for key, sent_at in list(self.unconfirmed.items()):
            run = self.runs.get(key)
            if run is not None and run.answered_at is None:
                continue
            del self.unconfirmed[key]
            if now - sent_at <= LATE_ORDER_S:
                keys.append(key)
        return keys

    @property
    def executor_id(self) -> str:
        """Return the id of the executor."""
        return self.entry.executor_id

    @property
    def rack(self) -> str:
        """Return the label of the rack, the last one."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def takes_work(self, service: str, now: float) -> bool:
        """Tell whether new tasks of a service may start here."""
        return (
            self.listed
            and self.entry.service == service
            and not self.entry.draining
            and self.first_contact_at is not None
            and now - self.last_contact_at <= CONTACT_S
            and not self.unknown_runs
            and not self.shutting_out
            and not self.health.is_quarantined(now)
        )

    def free_cpu(self) -> int:
        """Return the processors that no task takes, in thousandths of a core."""
        return self.entry.cpu_millis - self.used_cpu

    def fit_count(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step the free room holds."""
        return count_fitting(
            spec,
            self.entry.cpu_millis - self.used_cpu,
            self.entry.memory_mb - self.used_memory,
            self.entry.accelerators - self.used_accelerators,
        )

    def add_run(self, run: Run) -> None:
        """Account for an attempt."""
        key = (run.task, run.attempt)
        if key in self.runs:
            return
        self.runs[key] = run
        run.rack = self.rack
        self.used_cpu += accounted_cpu_millis(run.step.spec)
        self.used_memory += run.step.spec.memory_mb
        self.used_accelerators += run.step.spec.accelerators

    def remove_run(self, run: Run) -> bool:
        """Free the room of an attempt; tell whether it was there."""
        if self.runs.pop((run.task, run.attempt), None) is None:
            return False
        self.used_cpu -= accounted_cpu_millis(run.step.spec)
        self.used_memory -= run.step.spec.memory_mb
        self.used_accelerators -= run.step.spec.accelerators
        return True


def count_fitting(
    spec: StepSpec, cpu_millis: int, memory_mb: int, accelerators: int
) -> int:
    """Return how many tasks of a step some room holds, at most all of them."""
    count = spec.task_count
    if accounted_cpu_millis(spec):
        count = min(count, cpu_millis // spec.cpu_millis)
    if spec.memory_mb:
        count = min(count, memory_mb // spec.memory_mb)
    if spec.accelerators:
        count = min(count, accelerators // spec.accelerators)
    return max(0, count)


def accounted_cpu_millis(spec: StepSpec) -> int:
    """Return the processors that a task takes from the room of an executor."""
    return 0 if spec.fills else spec.cpu_millis
