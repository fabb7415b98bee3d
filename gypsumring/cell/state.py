"""State that the parts of a cell share on the node that owns it."""

from collections.abc import Callable

import anyio
import anyio.abc

from gypsumring.cell.journal import Journal
from gypsumring.cell.queues import QueueBook
from gypsumring.fleet import ExecutorState
from gypsumring.metrics import Metrics
from gypsumring.pipelines import DesiredState, Job, JobTable, Queue, Run, encode
from gypsumring.ports.tasks import TaskExecutor
from gypsumring.utils.clock import Clock, WallClock
from gypsumring.utils.logs import EventLogger

__all__ = ["CellState", "CellTiming"]

log = EventLogger("jobs")
cell_log = EventLogger("cell")

JOB_KEY = "j/"
PROGRESS_KEY = "p/"
EXECUTOR_KEY = "e/"
TERM_KEY = "term"
# The fence number of the newest owner.
OWNER_KEY = "owner"
# The longest lease that owners have asked for, in milliseconds.
LEASE_KEY = "lease"


class CellTiming:
    """Hold the bounds of the platform, in seconds."""

    __slots__ = ("lease_s", "max_lease_s", "spread_factor", "status_s", "stop_s")

    def __init__(
        self,
        max_lease_s: float,
        stop_s: float,
        status_s: float,
        lease_s: float,
        spread_factor: float,
    ):
        # The longest lease that executors grant.
        self.max_lease_s = max_lease_s
        # The longest time that a stopped task goes on.
        self.stop_s = stop_s
        # How long callers may ask for the state of a job that has ended.
        self.status_s = status_s
        # How much longer work takes away from its data.
        self.spread_factor = spread_factor
        # The lease that this owner asks for.
        self.lease_s = min(lease_s, max_lease_s)


class CellState:
    """Hold jobs, executors and what writes about them."""

    __slots__ = (
        "changed",
        "clients",
        "clock",
        "desired_state",
        "enrolled",
        "fence",
        "fleet",
        "freed",
        "group",
        "inherited_lease_s",
        "journal",
        "may_extend",
        "metrics",
        "queues",
        "owned_since",
        "table",
        "timing",
        "unsettled",
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
        may_extend: Callable[[], bool],
    ):
        self.fence = fence
        self.journal = journal
        self.desired_state = desired_state
        self.timing = timing
        self.metrics = metrics
        self.clock = clock
        self.wall_clock = wall_clock
        # Whether leases may be extended: not after a pause of this process, since the
        # next owner counts on the end of the leases that were granted before.
        self.may_extend = may_extend
        # Within this time after the takeover the leases of the owner before end.
        self.inherited_lease_s = timing.max_lease_s
        self.table = JobTable(wall_clock)
        self.fleet: dict[str, ExecutorState] = {}
        self.clients: dict[str, TaskExecutor] = {}
        # Executors on which room was freed since the scheduler has looked.
        self.freed: set[str] = set()
        # Executors whose entry is durable, so that a later owner looks for their tasks.
        self.enrolled: set[str] = set()
        # Executors that may run tasks of an earlier owner and have not been heard.
        self.unsettled: set[str] = set()
        self.changed = anyio.Event()
        # When this owner had read the cell.
        self.owned_since: float | None = None
        self.group: anyio.abc.TaskGroup | None = None
        self.queues = QueueBook(journal, desired_state, self.list_used_queues)

    def wake(self) -> None:
        """Let the scheduler look at the ready steps."""
        self.changed.set()

    def free_room(self, executor: ExecutorState, run: Run) -> None:
        """Take the room of an attempt back; the scheduler looks who waits for it."""
        if executor.remove_run(run):
            self.freed.add(executor.executor_id)

    def take_freed(self) -> list[ExecutorState]:
        """Return the executors with new room, and forget that it is new."""
        freed, self.freed = self.freed, set()
        return [self.fleet[name] for name in sorted(freed) if name in self.fleet]

    def settle_jobs(self) -> None:
        """Let tasks of earlier owners be placed once all executors were heard."""
        if not self.unsettled:
            inherited = [job for job in self.table.active.values() if job.inherited]
            withheld_count = sum(
                len(step.withheld) for job in inherited for step in job.steps
            )
            for job in inherited:
                job.settle()
                self.table.touch(job)
            if inherited:
                self.log_released_tasks(len(inherited), withheld_count)
        self.wake()

    def log_released_tasks(self, jobs: int, task_count: int) -> None:
        """Log that jobs of earlier owners wait for no executor any more."""
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

    def list_used_queues(self) -> set[str]:
        """Return the names of the queues of all known jobs."""
        return {job.spec.queue for job in self.table.jobs.values()}

    def find_queue(self, job: Job) -> Queue:
        """Return the queue of a job, as it was last if it has been dropped."""
        return self.queues.find(job.spec)

    def write_progress(
        self, job: Job, on_durable: Callable[[], None] | None = None
    ) -> None:
        """Queue the progress of a job; a final phase is shown once it is durable."""
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
                self.log_ended(job)
            if on_durable is not None:
                on_durable()

        self.journal.put(
            PROGRESS_KEY + job.spec.job_id,
            encode(job.progress()),
            publish,
            urgent=phase.is_final,
        )

    def log_ended(self, job: Job) -> None:
        """Log the end of a job once callers may be told."""
        log.info(
            "job ended",
            job=job.spec.job_id,
            phase=job.phase,
            took_ms=round((job.ended_at - job.accepted_at) * 1000),
            durable_ms=round((anyio.current_time() - job.ended_at) * 1000),
        )
