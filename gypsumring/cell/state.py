"""State shared by the components of a cell on the node that owns it."""

from collections import deque
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from gypsumring.accounts import AccountUsage
from gypsumring.cell.accounts import AccountBook
from gypsumring.cell.authority import Authority
from gypsumring.cell.journal import Journal
from gypsumring.cell.queues import QueueRegistry
from gypsumring.cell.start_demand import StartDemand
from gypsumring.fleet import (
    MAX_ORDER_DELAY_S,
    ClockBound,
    ExecutorState,
    FleetKnowledge,
)
from gypsumring.metrics import Metrics
from gypsumring.pipelines import (
    DesiredState,
    Job,
    JobTable,
    Queue,
    Run,
    encode_progress,
)
from gypsumring.ports.tasks import TaskExecutor
from gypsumring.transport import LinkTraffic, ResponseTimes
from gypsumring.utils.clock import Clock, WallClock
from gypsumring.utils.logs import EventLogger

__all__ = ["CellState", "CellTiming"]

log = EventLogger("jobs")
cell_log = EventLogger("cell")
executor_log = EventLogger("executors")

JOB_KEY = "j/"
PROGRESS_KEY = "p/"
EXECUTOR_KEY = "e/"
TERM_KEY = "term"
# Attempt numbers of a term are lower than those of the next term.
ATTEMPTS_PER_TERM = 100_000
# The number of terms whose owners act without the store for a bounded time only.
BOUNDED_KEY = "bounded"
# The longest lease that any owner has requested, in milliseconds.
LEASE_KEY = "lease"
# Capacities are unknown once the entries have not been read for this time, if they
# change. Below the time for which a capacity counts that has shrunk: 3 s on the users'
# sites at least, and one beat, which passes before the entry is written.
MAX_ENTRY_AGE_S = 2.5


class CellTiming:
    """Time limits of the platform in seconds, the spread factor, and preemption."""

    __slots__ = (
        "gang_s",
        "lease_s",
        "max_lease_s",
        "preemption",
        "spread_factor",
        "status_s",
        "stop_s",
    )

    def __init__(
        self,
        max_lease_s: float,
        stop_s: float,
        status_s: float,
        lease_s: float,
        spread_factor: float,
        preemption: str = "accounts",
        gang_s: float = 3.0,
    ):
        # Executors end a member of a gang that has waited for the others for this time.
        self.gang_s = gang_s
        # The longest lease that executors grant.
        self.max_lease_s = max_lease_s
        # The longest time that a task continues to run after it is stopped.
        self.stop_s = stop_s
        # How long callers may query the state of a job after it has ended.
        self.status_s = status_s
        # Factor by which tasks take longer away from their data or spread over racks.
        self.spread_factor = spread_factor
        # The lease that this owner requests.
        self.lease_s = min(lease_s, max_lease_s)
        # Where tasks are stopped for others; see ``PreemptionMode``.
        self.preemption = preemption


class CellState:
    """Jobs and executors of a cell, with the journal that stores their records."""

    __slots__ = (
        "accounts",
        "authority",
        "capacities_vary",
        "changed",
        "clients",
        "clock",
        "desired_state",
        "enrolled",
        "entries_read_at",
        "fence",
        "fleet",
        "freed_executors",
        "group",
        "inherited_lease_s",
        "journal",
        "knowledge",
        "late_starts",
        "longest_durable_lease_ms",
        "may_have_lost_attempts",
        "metrics",
        "owned_since",
        "queues",
        "response_times",
        "start_demand",
        "table",
        "timing",
        "traffic",
        "unreconciled",
        "untrimmed",
        "usage",
        "wall_clock",
    )

    def __init__(
        self,
        fence: int,
        journal: Journal,
        desired_state: Callable[[], DesiredState | None],
        timing: CellTiming,
        metrics: Metrics,
        clock: Clock,
        wall_clock: WallClock,
        authority: Authority,
        traffic: LinkTraffic | None = None,
    ):
        self.traffic = traffic or LinkTraffic(metrics)
        self.start_demand = StartDemand(self.traffic)
        # How long executors take to answer what they answer at once.
        self.response_times = ResponseTimes()
        self.fence = fence
        self.journal = journal
        self.desired_state = desired_state
        self.timing = timing
        self.metrics = metrics
        self.clock = clock
        self.wall_clock = wall_clock
        self.authority = authority
        # Leases of the previous owner expire within this time after the last evidence
        # by which it may have extended them.
        self.inherited_lease_s = timing.max_lease_s
        # The longest lease that the next owner finds in the log; without a record it
        # assumes the longest that executors grant.
        self.longest_durable_lease_ms = int(timing.max_lease_s * 1000)
        self.table = JobTable(wall_clock)
        self.fleet: dict[str, ExecutorState] = {}
        # What each client account has running on all executors.
        self.usage = AccountUsage()
        # What was learned about executors and kinds of work, lost with the owner.
        self.knowledge = FleetKnowledge()
        self.clients: dict[str, TaskExecutor] = {}
        # Jobs whose end is durable and whose record still has the payload.
        self.untrimmed: deque[Job] = deque()
        # Executors with capacity that was released since the last evaluation.
        self.freed_executors: set[str] = set()
        # Executors whose entry is durable, so that a later owner polls them for tasks.
        self.enrolled: set[str] = set()
        # Executors that may run tasks of an earlier owner and have not responded yet.
        self.unreconciled: set[str] = set()
        # Whether one of these may have crashed under attempts of an earlier owner.
        self.may_have_lost_attempts = False
        # Send times of unanswered starts to executors that have left, by attempt.
        self.late_starts: dict[str, dict[tuple[str, int], float]] = {}
        # Set once an executor has changed its capacity within an incarnation, and when
        # the newest entries were requested, on ``clock``.
        self.capacities_vary = False
        self.entries_read_at = float("-inf")
        self.changed = anyio.Event()
        # When this owner finished reading the records of the cell.
        self.owned_since: float | None = None
        self.group: anyio.abc.TaskGroup | None = None
        self.queues = QueueRegistry(journal, desired_state, self.list_used_queues)
        self.accounts = AccountBook(journal, desired_state, self.list_used_accounts)

    def lease_ms(self) -> int:
        """Return the lease to request, in milliseconds."""
        return min(int(self.timing.lease_s * 1000), self.longest_durable_lease_ms)

    def record_lease(self) -> None:
        """Record a longer lease than before, which is requested once it is durable."""
        lease_ms = int(self.timing.lease_s * 1000)
        if lease_ms <= self.longest_durable_lease_ms:
            return

        def use_lease() -> None:
            self.longest_durable_lease_ms = max(self.longest_durable_lease_ms, lease_ms)

        self.journal.put(LEASE_KEY, msgspec.json.encode(lease_ms), use_lease)

    def is_lease_expired(self, executor: ExecutorState) -> bool:
        """Return whether the lease of an executor has expired, as this owner knows."""
        return executor.is_lease_expired(
            self.clock(), self.inherited_lease_s, self.authority.exclusive_since
        )

    def lease_remaining_s(self, executor: ExecutorState) -> float:
        """Return the time until ``is_lease_expired`` becomes true, 0 if it is."""
        return executor.lease_remaining_s(
            self.clock(), self.inherited_lease_s, self.authority.exclusive_since
        )

    def wake(self) -> None:
        """Wake the scheduler to evaluate the ready steps."""
        self.changed.set()

    def knows_capacities(self) -> bool:
        """Return whether the entries show all changes of capacity that count by now.

        While executors keep their capacities, work also starts during an outage of the
        store.
        """
        if not self.capacities_vary:
            return True
        return self.clock() - self.entries_read_at <= MAX_ENTRY_AGE_S

    def release_capacity(self, executor: ExecutorState, run: Run) -> None:
        """Release the capacity of an attempt for the steps that wait for it."""
        if executor.remove_run(run):
            self.freed_executors.add(executor.executor_id)

    def pop_freed_executors(self) -> list[ExecutorState]:
        """Return the executors with released capacity, and reset the set."""
        freed, self.freed_executors = self.freed_executors, set()
        return [self.fleet[name] for name in sorted(freed) if name in self.fleet]

    def release_withheld_tasks(self) -> None:
        """Release the withheld tasks once all inherited executors are reconciled."""
        if not self.unreconciled:
            inherited = [job for job in self.table.active.values() if job.inherited]
            withheld_count = sum(
                len(step.withheld) for job in inherited for step in job.steps
            )
            for job in inherited:
                job.release_withheld(self.may_have_lost_attempts)
                self.table.mark_changed(job)
            self.may_have_lost_attempts = False
            if inherited:
                self.log_released_tasks(len(inherited), withheld_count)
        self.wake()

    def log_released_tasks(self, jobs: int, task_count: int) -> None:
        """Log that jobs of earlier owners no longer wait for executors."""
        owned_since = self.owned_since
        cell_log.info(
            "withheld tasks released",
            fence=self.fence,
            jobs=jobs,
            task_count=task_count,
            waited_s=0.0
            if owned_since is None
            else round(anyio.current_time() - owned_since, 3),
        )

    def check_incarnation(
        self, executor: ExecutorState, bound: ClockBound, clock_ms: int | None
    ) -> None:
        """Poll an executor at once if the clock in an order's answer is another's.

        Answers to orders do not name the incarnation, but its clock starts anew. Late
        starts have to be blocked there as soon as it takes orders.
        """
        if not executor.is_contradicted(bound, clock_ms):
            return
        self.metrics.count("cell.orders.answered_by_another")
        executor_log.warning(
            "another incarnation has answered an order",
            executor=executor.executor_id,
            born=bound.born_ms,
            clock_ms=clock_ms,
            expected_ms=bound.clock_ms,
        )
        executor.suspect_restart()

    def keep_late_starts(self, executor: ExecutorState) -> None:
        """Keep the starts that may still arrive at an executor that has left.

        It may return under its id, and carry them out.
        """
        now = anyio.current_time()
        for executor_id, starts in list(self.late_starts.items()):
            if max(starts.values()) + MAX_ORDER_DELAY_S < now:
                del self.late_starts[executor_id]
        executor.forget_old_starts(now)
        if executor.unconfirmed_starts:
            self.late_starts[executor.executor_id] = executor.unconfirmed_starts

    def list_used_queues(self) -> set[str]:
        """Return the names of the queues of all recorded jobs."""
        return {job.spec.queue for job in self.table.jobs.values()}

    def list_used_accounts(self) -> set[str]:
        """Return the names of the client accounts of all recorded jobs."""
        return {job.spec.account for job in self.table.jobs.values()}

    def is_above_cap(self, account: str) -> bool:
        """Return whether the attempts of an account use more than its cap."""
        cap = self.accounts.find_cap(account)
        held = self.usage.held.get(account)
        if cap is None or held is None:
            return False
        return any(limit and used > limit for limit, used in zip(cap, held))

    def find_queue(self, job: Job) -> Queue:
        """Return the queue of a job, or its last version if it has been removed."""
        return self.queues.find(job.spec)

    def write_progress(
        self,
        job: Job,
        on_durable: Callable[[], None] | None = None,
        urgent: bool = False,
    ) -> None:
        """Queue the progress of a job; a final phase is visible once it is durable."""
        has_ended = job.phase.is_final and not job.final_since_ms
        if has_ended:
            job.final_since_ms = self.wall_clock()
            job.ended_at = anyio.current_time()
            self.table.finish(job)
            self.metrics.count(f"cell.jobs.{job.phase}")
            took_s = job.ended_at - job.accepted_at
            self.metrics.record_seconds("cell.turnaround", max(0.0, took_s))
        phase = job.phase

        def publish() -> None:
            job.durable_phase = phase
            if has_ended:
                self.untrimmed.append(job)
                self.log_ended(job)
            if on_durable is not None:
                on_durable()

        self.journal.put(
            PROGRESS_KEY + job.spec.job_id,
            encode_progress(job.progress()),
            publish,
            urgent=urgent or phase.is_final,
        )

    def log_ended(self, job: Job) -> None:
        """Log the end of a job once it is visible to callers."""
        log.info(
            "job ended",
            job=job.spec.job_id,
            phase=job.phase,
            took_ms=round((job.ended_at - job.accepted_at) * 1000),
            durable_ms=round((anyio.current_time() - job.ended_at) * 1000),
        )
