"""Model of one executor of tasks."""

import enum

import anyio

from gypsumring.pipelines import parse_task
from gypsumring.ports.tasks import (
    ExecutorGone,
    FenceRefused,
    ListedEnd,
    ListedRun,
    StartRefused,
    TaskLists,
    TaskStart,
)
from stand_ins.platform.world import World

__all__ = ["ExecutorModel", "TaskRun", "Trouble"]

MAX_LISTED_ENDS = 500
FAILING_S = 0.1


class Trouble(enum.Enum):
    """Name what is wrong with an executor that is up."""

    NONE = "none"
    # Nothing reaches it; holds, or orders, get no answer and are carried out late.
    SILENT = "silent"
    HOLDS = "holds"
    ORDERS = "orders"
    # Starts are refused; tasks fail soon after their start; tasks never end.
    UNHEALTHY = "unhealthy"
    FAILING = "failing"
    HANGING = "hanging"


class TaskRun:
    """Hold one attempt that runs; ``ends_at`` is infinite while it waits or hangs."""

    __slots__ = ("attempt", "ends_at", "how", "started_at", "task", "work_s")

    def __init__(self, task: str, attempt: int, started_at: float):
        self.task = task
        self.attempt = attempt
        self.started_at = started_at
        self.ends_at = float("inf")
        self.work_s = 0.0
        self.how = "done"


class ExecutorModel:
    """Run tasks under a lease on a clock of its own that may be slow."""

    __slots__ = (
        "born_ms",
        "changed",
        "closed",
        "cpu_millis",
        "done_here",
        "drift",
        "end_number",
        "ended",
        "executor_id",
        "fence",
        "gang_s",
        "highest",
        "is_up",
        "labels",
        "lease_until_ms",
        "loads",
        "longest_lease_ms",
        "memory_mb",
        "paces",
        "runs",
        "service",
        "started_at",
        "stop_s",
        "tickets",
        "trouble",
        "void_until",
        "world",
    )

    def __init__(
        self,
        world: World,
        executor_id: str,
        cpu_millis: int = 8_000,
        drift: float = 0.0,
        service: str = "svc",
        longest_lease_s: float = 10.0,
    ):
        self.world = world
        self.executor_id = executor_id
        self.cpu_millis = cpu_millis
        self.memory_mb = 65_536
        self.drift = drift
        self.service = service
        self.longest_lease_ms = int(longest_lease_s * 1000)
        self.stop_s = 0.2
        self.gang_s = 3.0
        self.is_up = True
        self.labels: tuple[str, ...] = ()
        self.trouble = Trouble.NONE
        # Tickets by step that the policy model has issued; None checks nothing.
        self.tickets: dict[tuple[str, str], float] | None = None
        # Tasks that have ended as done, over all incarnations.
        self.done_here: set[str] = set()
        # Tail latency that tasks list, and the pace that they were told, by task.
        self.loads: dict[str, float] = {}
        self.paces: dict[str, int] = {}
        self.changed = anyio.Event()
        self.start_incarnation()
        world.executors.append(self)

    def start_incarnation(self) -> None:
        """Start a new incarnation, which knows nothing."""
        self.started_at = anyio.current_time()
        self.born_ms = int(self.started_at * 1000) + 1
        self.fence = 0
        self.lease_until_ms = 0
        self.end_number = 0
        self.void_until = 0
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.ended: list[ListedEnd] = []
        # The highest attempt of each task that was stopped or has ended.
        self.highest: dict[str, int] = {}
        # A ticket holds in the life of the executor in which it was issued.
        if self.tickets is not None:
            self.tickets = {}
        self.is_up = True

    def make_successor(self, executor_id: str) -> "ExecutorModel":
        """Return an executor of the same form under another id."""
        other = ExecutorModel(
            self.world,
            executor_id,
            self.cpu_millis,
            self.drift,
            self.service,
            self.longest_lease_ms / 1000,
        )
        other.memory_mb = self.memory_mb
        other.labels = self.labels
        other.tickets = None if self.tickets is None else {}
        return other

    def crash(self) -> None:
        """Stop at once; nothing runs any more."""
        self.is_up = False
        self.runs = {}

    @property
    def clock_ms(self) -> int:
        """Return the executor's own clock."""
        elapsed = anyio.current_time() - self.started_at
        return int(elapsed * (1 - self.drift) * 1000)

    @property
    def used_cpu(self) -> int:
        """Return the processors of everything that runs."""
        return sum(self.cpu_of(run) for run in self.runs.values())

    def cpu_of(self, run: TaskRun) -> int:
        """Return what a task needs."""
        job_id, _, step, _ = parse_task(run.task)
        spec = self.world.jobs.get(job_id)
        return spec.steps[step].cpu_millis if spec else 0

    def advance(self) -> None:
        """Apply everything that has happened since the last call."""
        now = anyio.current_time()
        for run in sorted(self.runs.values(), key=lambda each: each.ends_at):
            if run.ends_at <= now and (run.task, run.attempt) in self.runs:
                self.end(run, run.how)
        if self.runs and self.clock_ms > self.lease_until_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            waits = run.ends_at == float("inf") and self.is_gang(run.task)
            if waits and not self.gang_is_complete(run):
                if now - run.started_at >= self.gang_s:
                    self.end(run, "alone")

    def end(self, run: TaskRun, how: str) -> None:
        """List the end of an attempt."""
        self.runs.pop((run.task, run.attempt), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.end_number += 1
        self.ended.append(ListedEnd(self.end_number, run.task, run.attempt, how, ""))
        if how == "done":
            self.done_here.add(run.task)
        if self.is_gang(run.task):
            self.end_gang(run, how)
        self.changed.set()
        self.changed = anyio.Event()

    def end_gang(self, run: TaskRun, how: str) -> None:
        """End the other members of a gang with this one."""
        name = run.task.rpartition(".")[0]
        follow = "done" if how == "done" else "broken"
        for executor in self.world.executors:
            for other in list(executor.runs.values()):
                same = other.task.rpartition(".")[0] == name
                if same and other.attempt == run.attempt and executor.is_up:
                    executor.end(other, follow)

    def is_gang(self, task: str) -> bool:
        """Tell whether a task is a member of a gang."""
        job_id, _, step, _ = parse_task(task)
        spec = self.world.jobs.get(job_id)
        return spec is not None and spec.steps[step].gang

    def gang_is_complete(self, run: TaskRun) -> bool:
        """Tell whether all members of a run of a gang are present."""
        job_id, _, step, _ = parse_task(run.task)
        name = run.task.rpartition(".")[0]
        members = [
            other
            for executor in self.world.executors
            for other in executor.runs.values()
            if other.task.rpartition(".")[0] == name and other.attempt == run.attempt
        ]
        return len(members) == self.world.jobs[job_id].steps[step].task_count

    def check_fence(self, fence: int) -> None:
        """Refuse orders with a lower fence number than seen before."""
        if not self.is_up:
            raise ExecutorGone(self.executor_id)
        if fence < self.fence:
            raise FenceRefused(str(fence))
        self.fence = fence

    def extend_lease(self, lease_until_ms: int | None) -> None:
        """Extend the lease; it never shortens."""
        if lease_until_ms is not None:
            longest = self.clock_ms + self.longest_lease_ms
            until = min(lease_until_ms, longest)
            self.lease_until_ms = max(self.lease_until_ms, until)

    def start(self, order: TaskStart, fence: int) -> None:
        """Start an attempt; raise StartRefused."""
        self.advance()
        self.check_fence(fence)
        key = (order.task, order.attempt)
        if key in self.runs:
            return
        if order.attempt <= self.highest.get(order.task, 0):
            self.extend_lease(order.lease_until_ms)
            raise StartRefused("old")
        if order.lease_until_ms <= self.clock_ms:
            raise StartRefused("late")
        if self.trouble is Trouble.UNHEALTHY:
            raise StartRefused("unhealthy")
        if self.tickets is not None:
            until = self.tickets.get((order.task.rpartition(".")[0], order.ticket), 0.0)
            if until < anyio.current_time():
                raise StartRefused("ticket")
        self.extend_lease(order.lease_until_ms)
        run = TaskRun(order.task, order.attempt, anyio.current_time())
        behaviour = self.world.behave(order.task, order.attempt)
        run.work_s = behaviour.work_s
        run.how = behaviour.how
        if self.trouble is Trouble.FAILING:
            run.work_s, run.how = FAILING_S, "failed"
        elif self.trouble is Trouble.HANGING:
            run.work_s = float("inf")
        self.runs[key] = run
        self.world.check_start(self, run)
        if not self.is_gang(order.task):
            run.ends_at = run.started_at + run.work_s
        elif self.gang_is_complete(run):
            self.start_gang(run)
        self.changed.set()
        self.changed = anyio.Event()

    def start_gang(self, run: TaskRun) -> None:
        """Let all members of a gang work from now on."""
        name = run.task.rpartition(".")[0]
        for executor in self.world.executors:
            for other in executor.runs.values():
                same = other.task.rpartition(".")[0] == name
                if same and other.attempt == run.attempt:
                    # A member on an executor in trouble goes its own way.
                    sound = executor.trouble is Trouble.NONE
                    fate = run if sound else other
                    other.ends_at = anyio.current_time() + fate.work_s
                    other.how = fate.how

    def stop(self, task: str, attempt: int, fence: int) -> None:
        """Stop an attempt, and shut out later starts of it."""
        self.advance()
        self.check_fence(fence)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None:
            run.how = "stopped"
            run.ends_at = min(run.ends_at, anyio.current_time() + self.stop_s)

    def pace(self, task: str, percent: int, fence: int) -> None:
        """Note the pace of a task."""
        self.check_fence(fence)
        self.paces[task] = percent

    def hold(self, fence: int, last_seen: int, lease_until_ms: int | None) -> None:
        """Extend the lease and forget ends that were seen."""
        self.advance()
        self.check_fence(fence)
        if self.clock_ms > self.lease_until_ms:
            # Ends that nobody had confirmed when the lease ended do not count.
            self.void_until = self.end_number
        for end in self.ended:
            if self.void_until < end.number <= last_seen:
                self.world.note_seen(self, end.task, end.how)
        self.ended = [end for end in self.ended if end.number > last_seen]
        self.extend_lease(lease_until_ms)

    def lists(self) -> TaskLists:
        """Return what runs and what has ended."""
        now = anyio.current_time()
        running = []
        for run in self.runs.values():
            share = (now - run.started_at) / run.work_s if run.work_s else 0.0
            percent = min(99.0, 100 * share) if run.ends_at < float("inf") else 0.0
            load = self.loads.get(run.task, 0.0)
            running.append(ListedRun(run.task, run.attempt, "", percent, load))
        return TaskLists(
            self.clock_ms, self.born_ms, running, self.ended[:MAX_LISTED_ENDS]
        )

    def next_change_s(self) -> float:
        """Return the time until the next end, in seconds."""
        now = anyio.current_time()
        times = [run.ends_at for run in self.runs.values()]
        return max(0.0, min(times, default=float("inf")) - now)
