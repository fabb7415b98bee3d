"""State of one executor: registration, clock, lease and running attempts."""

import enum
from collections import deque

import anyio
import msgspec

from gypsumring.accounts import AccountUsage, Resources
from gypsumring.fleet.health import ExecutorHealth
from gypsumring.fleet.knowledge import FleetKnowledge
from gypsumring.fleet.profiles import ExecutorProfile
from gypsumring.pipelines.model import StepSpec
from gypsumring.pipelines.runs import Run
from gypsumring.pipelines.state import Step

__all__ = [
    "CONTACT_TIMEOUT_S",
    "ClockBound",
    "ExecutorEntry",
    "ExecutorState",
    "LeaseEvidence",
    "MAX_ORDER_DELAY_S",
]

# Maximum rate by which the clock of an executor may run slow.
CLOCK_DRIFT = 0.02
# Time after the end of a lease before its tasks are considered ended.
LEASE_MARGIN_MS = 100
# Maximum time since the last response for an executor to receive new work.
CONTACT_TIMEOUT_S = 1.6
# Time for which an order without a response may still be carried out.
MAX_ORDER_DELAY_S = 13.0
# Attempts that have ended lately, kept as neighbours of those that still run.
MAX_RECENT_RUNS = 64


class ExecutorEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Registration data of an executor."""

    executor_id: str
    address: str
    service: str
    data_centre: str = ""
    draining: bool = False
    # Minimum remaining lifetime of a draining executor, in milliseconds.
    remaining_ms: int = 0
    born_ms: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: tuple[str, ...] = ()

    @property
    def capacity(self) -> tuple[int, int, int]:
        """Millicores, memory in MB and accelerators."""
        return self.cpu_millis, self.memory_mb, self.accelerators


class ClockBound:
    """Lower bound of the clock in answers to a call that is sent now.

    An answer with a lower clock is one of another incarnation than ``born_ms``.
    """

    __slots__ = ("born_ms", "clock_ms")

    def __init__(self, born_ms: int, clock_ms: int):
        self.born_ms = born_ms
        self.clock_ms = clock_ms


class LeaseEvidence(enum.Enum):
    """What is known of the lease since the oldest end that is not listed yet."""

    HELD = "held"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class ExecutorState:
    """State of one incarnation of an executor.

    Times in seconds are on the owner's clock, which includes suspended time. Values
    named ``clock_ms`` are on the executor's own clock.
    """

    __slots__ = (
        "born_ms",
        "clock_ms",
        "clock_read_at",
        "drained_born_ms",
        "ends_became_durable",
        "entry",
        "first_response_at",
        "health",
        "is_unresponsive",
        "last_durable_end",
        "last_response_at",
        "last_seen_end",
        "lasting_runs",
        "lease_evidence",
        "lease_until_ms",
        "listed",
        "is_release_pending",
        "is_unconfirmed",
        "knowledge",
        "may_leave_at",
        "may_have_restarted",
        "poll_scope",
        "profile",
        "recent_runs",
        "runs",
        "runs_were_released",
        "starts_to_block",
        "tracked_since",
        "unanswered_poll_at",
        "unanswered_polls",
        "unconfirmed_starts",
        "unknown_runs",
        "usage",
        "used_accelerators",
        "used_cpu",
        "used_memory",
        "withheld_end",
    )

    def __init__(
        self,
        entry: ExecutorEntry,
        now: float,
        usage: AccountUsage | None = None,
        knowledge: FleetKnowledge | None = None,
    ):
        self.entry = entry
        # What was learned about the cell's work, shared by all executors.
        self.knowledge = FleetKnowledge() if knowledge is None else knowledge
        self.profile = ExecutorProfile()
        # Attempts that ended lately, with the time of their end.
        self.recent_runs: deque[tuple[Run, float]] = deque(maxlen=MAX_RECENT_RUNS)
        # Count of what client accounts have running, shared by all executors.
        self.usage = AccountUsage() if usage is None else usage
        self.listed = True
        # Earliest time at which a draining executor may leave.
        self.may_leave_at: float | None = None
        # Incarnation that is draining.
        self.drained_born_ms: int | None = None
        self.health = ExecutorHealth()
        self.tracked_since = now
        self.first_response_at: float | None = None
        self.last_response_at = 0.0
        # Set if the latest order or long poll was not answered.
        self.is_unresponsive = False
        # Set if an order was answered by another incarnation, until a poll is answered.
        self.may_have_restarted = False
        # Scope of the current poll and the pause after it.
        self.poll_scope: anyio.CancelScope | None = None
        # Set while the release of its attempts waits for a confirmation by the store.
        self.is_release_pending = False
        # Set while the store has not confirmed the owner since this incarnation has
        # responded first. An executor that restarts forgets the fence number of a later
        # owner, which may have started or ended its tasks.
        self.is_unconfirmed = False
        self.runs: dict[tuple[str, int], Run] = {}
        # Those of ``runs`` that go on until they are stopped.
        self.lasting_runs: dict[tuple[str, int], Run] = {}
        # Send times of start orders that were not answered, by attempt, the oldest
        # first. For ``MAX_ORDER_DELAY_S`` the executor may still carry such an order
        # out, as may each further incarnation.
        self.unconfirmed_starts: dict[tuple[str, int], float] = {}
        # Attempts whose late start must be blocked by a stop order before new work
        # starts on the executor.
        self.starts_to_block: set[tuple[str, int]] = set()
        # Set if the attempts of the executor were released since its last response.
        self.runs_were_released = False
        # Set when ends that the executor reported have become durable.
        self.ends_became_durable: anyio.Event | None = None
        # Send time of the latest long poll that was not answered.
        self.unanswered_poll_at = float("-inf")
        # Number of long polls that were not answered, less those answered since.
        self.unanswered_polls = 0
        self.unknown_runs: set[tuple[str, int]] = set()
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0
        self.start_incarnation(entry.born_ms, 0)

    def start_incarnation(self, born_ms: int, lease_until_ms: int) -> None:
        """Reset the clock and the end numbers for a new incarnation.

        Start orders for the previous incarnation may have reached the new one, with
        leases on the previous clock. Attempts therefore stay accounted until the
        executor reports its tasks, and ``lease_until_ms`` has to be the end of the
        longest lease that the new incarnation grants.
        """
        self.profile = self.profile.next_life()
        self.born_ms = born_ms
        self.clock_ms = 0
        self.clock_read_at = 0.0
        self.lease_until_ms = lease_until_ms
        self.last_seen_end = 0
        self.last_durable_end = 0
        self.unknown_runs.clear()
        self.lease_evidence = LeaseEvidence.HELD
        # The first end that is acknowledged only once the lease has expired.
        self.withheld_end: int | None = None

    def record_draining(self, entry: ExecutorEntry) -> None:
        """Record which incarnation a new directory entry reports as draining."""
        born_ms = entry.born_ms or self.born_ms
        if entry.draining:
            self.drained_born_ms = born_ms
        elif self.drained_born_ms == born_ms:
            self.drained_born_ms = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the incarnation has announced that it leaves."""
        return self.drained_born_ms == self.born_ms

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Record the executor's clock from a response that has just arrived."""
        if self.first_response_at is None:
            self.first_response_at = now
        self.last_response_at = now
        self.is_unresponsive = False
        self.may_have_restarted = False
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = now

    @property
    def awaits_lapse(self) -> bool:
        """Return whether the lease is to expire before further acknowledgements."""
        return self.withheld_end is not None

    def acknowledgeable_end(self) -> int:
        """Return the number up to which ends may be acknowledged."""
        if self.withheld_end is None:
            return self.last_durable_end
        return min(self.last_durable_end, self.withheld_end - 1)

    def record_expiry(self) -> None:
        """Record that the lease has expired since all ends that are listed next."""
        self.lease_evidence = LeaseEvidence.EXPIRED
        self.withheld_end = None

    def mark_ends_durable(self, end_number: int) -> None:
        """Record that the changes caused by ends up to a number are in the store."""
        self.last_durable_end = max(self.last_durable_end, end_number)
        if self.ends_became_durable is not None:
            self.ends_became_durable.set()

    def min_clock_ms(self, now: float) -> int:
        """Return a lower bound of the executor's clock, in milliseconds."""
        elapsed = max(0.0, now - self.clock_read_at)
        return int(self.clock_ms + elapsed * 1000 * (1 - CLOCK_DRIFT))

    def bound_clock(self, now: float) -> ClockBound:
        """Return a lower bound of the clock in answers to calls sent from now on."""
        is_known = self.first_response_at is not None
        return ClockBound(self.born_ms, self.min_clock_ms(now) if is_known else 0)

    def is_contradicted(self, bound: ClockBound, clock_ms: int | None) -> bool:
        """Return whether an order shows that another incarnation has answered it.

        The incarnation may have been noticed since the order was sent.
        """
        if clock_ms is None or self.may_have_restarted:
            return False
        return self.born_ms == bound.born_ms and clock_ms < bound.clock_ms

    def suspect_restart(self) -> None:
        """Poll at once, as another incarnation may have answered an order."""
        self.may_have_restarted = True
        self.is_unresponsive = True
        if self.poll_scope is not None:
            self.poll_scope.cancel()

    def extend_lease(self, lease_ms: int, now: float) -> int:
        """Return the end of the lease to send, and record the latest end.

        The lease of an unresponsive executor is not extended, so that it expires.
        """
        if self.is_unresponsive:
            return self.lease_until_ms
        lease_end_ms = self.min_clock_ms(now) + lease_ms
        self.lease_until_ms = max(self.lease_until_ms, lease_end_ms)
        return lease_end_ms

    def is_lease_expired(
        self, now: float, inherited_lease_s: float, exclusive_since: float = 0.0
    ) -> bool:
        """Return whether all tasks on the executor are certain to have ended.

        An executor that has never responded to this owner may hold a lease from the
        previous owner, which expires within ``inherited_lease_s`` of
        ``exclusive_since``.
        """
        if self.first_response_at is None:
            return now >= self.inherited_until(inherited_lease_s, exclusive_since)
        return self.min_clock_ms(now) > self.lease_until_ms + LEASE_MARGIN_MS

    def inherited_until(
        self, inherited_lease_s: float, exclusive_since: float
    ) -> float:
        """Return when a lease from the previous owner is certain to have expired."""
        limit_s = inherited_lease_s * (1 + 2 * CLOCK_DRIFT) + LEASE_MARGIN_MS / 1000
        return max(self.tracked_since, exclusive_since) + limit_s

    def lease_remaining_s(
        self, now: float, inherited_lease_s: float, exclusive_since: float = 0.0
    ) -> float:
        """Return the time until ``is_lease_expired`` becomes true, 0 if it is."""
        if self.first_response_at is None:
            expires_at = self.inherited_until(inherited_lease_s, exclusive_since)
            return max(0.0, expires_at - now)
        remaining_ms = self.lease_until_ms + LEASE_MARGIN_MS - self.min_clock_ms(now)
        return max(0.0, remaining_ms / 1000 / (1 - CLOCK_DRIFT))

    def record_unconfirmed_start(self, key: tuple[str, int], sent_at: float) -> None:
        """Record that a start was not answered, and forget those that are too old."""
        self.unconfirmed_starts.pop(key, None)
        self.unconfirmed_starts[key] = sent_at
        self.forget_old_starts(sent_at)

    def forget_old_starts(self, now: float) -> None:
        """Forget the starts that can no longer be carried out."""
        while self.unconfirmed_starts:
            key = next(iter(self.unconfirmed_starts))
            if now - self.unconfirmed_starts[key] <= MAX_ORDER_DELAY_S:
                return
            del self.unconfirmed_starts[key]

    def list_late_starts(self, now: float) -> list[tuple[str, int]]:
        """Return the attempts to block once the executor responds again.

        Starts in progress are skipped, because their order is repeated until it is
        answered. The others are kept: the incarnation that is blocked now may crash
        before a copy arrives.
        """
        self.forget_old_starts(now)
        keys = []
        for key in self.unconfirmed_starts:
            run = self.runs.get(key)
            if run is None or run.answered_at is not None:
                keys.append(key)
        return keys

    @property
    def executor_id(self) -> str:
        """Identifier of the executor."""
        return self.entry.executor_id

    @property
    def rack(self) -> str:
        """Rack of the executor, which is its last label."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def expected_run_s(self, step: Step) -> float:
        """Return the expected run time of a task of a step on the executor."""
        ratio = self.knowledge.runtimes.expected_ratio(step.kind)
        return self.profile.slowness * ratio * step.spec.estimated_ms / 1000

    def has_current_entry(self) -> bool:
        """Return whether the entry is of the incarnation that reported its tasks.

        Another incarnation may have another capacity.
        """
        born_ms = self.entry.born_ms
        return not born_ms or not self.born_ms or born_ms == self.born_ms

    def accepts_work(self, service: str, now: float) -> bool:
        """Return whether new tasks of a service may start on the executor."""
        return not self.health.is_quarantined(now) and self.is_usable(service, now)

    def accepts_probe(self, service: str, now: float) -> bool:
        """Return whether a task may start in a quarantine, as no other one has room."""
        return (
            self.health.is_quarantined(now)
            and self.health.may_be_probed(now)
            and self.is_usable(service, now)
        )

    def is_usable(self, service: str, now: float) -> bool:
        """Return whether tasks of a service may start, but for a back-off."""
        return (
            self.listed
            and self.entry.service == service
            and not self.entry.draining
            and self.first_response_at is not None
            and now - self.last_response_at <= CONTACT_TIMEOUT_S
            and not self.unknown_runs
            and not self.starts_to_block
            and not self.is_unconfirmed
            and not self.awaits_lapse
            and self.has_current_entry()
        )

    def free_cpu_millis(self) -> int:
        """Return the unused CPU capacity, in thousandths of a core.

        It is negative if the capacity has shrunk below what the tasks use.
        """
        return self.entry.cpu_millis - self.used_cpu

    def is_overfull(self) -> bool:
        """Return whether the tasks use more than the capacity, which may shrink."""
        entry = self.entry
        return (
            self.used_cpu > entry.cpu_millis
            or self.used_memory > entry.memory_mb
            or self.used_accelerators > entry.accelerators
        )

    def free_capacity(self) -> tuple[int, int, int]:
        """Return the unused millicores, memory in MB and accelerators.

        An over-full executor has none, so that sums over executors may use the result.
        """
        if self.is_overfull():
            return 0, 0, 0
        return (
            self.entry.cpu_millis - self.used_cpu,
            self.entry.memory_mb - self.used_memory,
            self.entry.accelerators - self.used_accelerators,
        )

    def is_probed(self) -> bool:
        """Return whether a start would probe an executor in quarantine."""
        return self.health.is_quarantined(self.last_response_at)

    def count_fitting_tasks(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step fit into the free capacity."""
        return count_fitting(
            spec,
            self.entry.cpu_millis - self.used_cpu,
            self.entry.memory_mb - self.used_memory,
            self.entry.accelerators - self.used_accelerators,
        )

    def add_run(self, run: Run) -> None:
        """Account for the resources of an attempt, unless it is accounted already."""
        key = (run.task, run.attempt)
        if key in self.runs:
            return
        self.runs[key] = run
        if run.step.spec.long_running:
            self.lasting_runs[key] = run
        # The newest response is a recent time of the clock of the executor's health.
        self.health.record_start(self.last_response_at)
        run.rack = self.rack
        self.used_cpu += accounted_cpu_millis(run.step.spec)
        self.used_memory += run.step.spec.memory_mb
        self.used_accelerators += run.step.spec.accelerators
        self.usage.add(run.step.job.spec.account, task_demand(run.step.spec))

    def remove_run(self, run: Run) -> bool:
        """Release the capacity of an attempt; return whether it was accounted."""
        key = (run.task, run.attempt)
        if self.runs.pop(key, None) is None:
            return False
        self.lasting_runs.pop(key, None)
        self.used_cpu -= accounted_cpu_millis(run.step.spec)
        self.used_memory -= run.step.spec.memory_mb
        self.used_accelerators -= run.step.spec.accelerators
        self.usage.remove(run.step.job.spec.account, task_demand(run.step.spec))
        return True


def count_fitting(
    spec: StepSpec, cpu_millis: int, memory_mb: int, accelerators: int
) -> int:
    """Return how many tasks of a step fit into a capacity, at most its task count.

    Nothing fits if any capacity is negative, even if the step does not use that one.
    """
    if cpu_millis < 0 or memory_mb < 0 or accelerators < 0:
        return 0
    count = spec.task_count
    if accounted_cpu_millis(spec):
        count = min(count, cpu_millis // spec.cpu_millis)
    if spec.memory_mb:
        count = min(count, memory_mb // spec.memory_mb)
    if spec.accelerators:
        count = min(count, accelerators // spec.accelerators)
    return count


def task_demand(spec: StepSpec) -> Resources:
    """Return what one task of a step counts for its account.

    A task that fills counts with its CPU, although its executor does not account it.
    """
    return Resources(spec.cpu_millis, spec.memory_mb, spec.accelerators)


def accounted_cpu_millis(spec: StepSpec) -> int:
    """Return the CPU accounted for a task, in thousandths of a core."""
    return 0 if spec.fills else spec.cpu_millis
