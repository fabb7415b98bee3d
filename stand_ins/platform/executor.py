"""Model of an executor that runs tasks."""

import enum

import anyio

from gypsumring.pipelines import StepSpec, parse_task
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

MAX_REPORTED_ENDS = 500
FAILING_TASK_S = 0.1
# Work after which a task with checkpoints makes a new one, and time of a restore.
CHECKPOINT_S = 1.0
RESTORE_S = 0.25


class Trouble(enum.Enum):
    """Faults of an executor that is running."""

    NONE = "none"
    # No call reaches the executor.
    SILENT = "silent"
    # Long polls get no answer and are carried out late.
    HOLDS = "holds"
    # Orders get no answer and are carried out late.
    ORDERS = "orders"
    # The executor refuses starts.
    UNHEALTHY = "unhealthy"
    # Tasks fail soon after their start.
    FAILING = "failing"
    # Tasks never end.
    HANGING = "hanging"


class TaskRun:
    """Running attempt of a task.

    ``ends_at`` is infinite while the attempt hangs or waits for its gang. An attempt
    that resumes from a checkpoint continues after ``resumed_s`` of work.
    """

    __slots__ = (
        "attempt",
        "ends_at",
        "how",
        "resumed_s",
        "started_at",
        "task",
        "work_s",
    )

    def __init__(self, task: str, attempt: int, started_at: float):
        self.task = task
        self.attempt = attempt
        self.started_at = started_at
        self.ends_at = float("inf")
        self.work_s = 0.0
        self.resumed_s = 0.0
        self.how = "done"

    def worked_s(self, now: float) -> float:
        """Return the work done by a time, in seconds, with that of the checkpoint."""
        begun_at = self.started_at + (RESTORE_S if self.resumed_s else 0.0)
        return self.resumed_s + max(0.0, now - begun_at)


class ExecutorModel:
    """Executor that runs tasks under a lease, on its own clock that may run slow."""

    __slots__ = (
        "born_ms",
        "changed",
        "clock_drift",
        "closed",
        "cpu_millis",
        "done_here",
        "end_number",
        "ended",
        "ended_at",
        "executor_id",
        "fence",
        "gang_timeout_s",
        "highest",
        "is_up",
        "labels",
        "last_void_end",
        "lease_until_ms",
        "loads",
        "max_lease_ms",
        "memory_mb",
        "paces",
        "past_capacities",
        "runs",
        "service",
        "started_at",
        "stop_s",
        "tickets",
        "trouble",
        "world",
    )

    def __init__(
        self,
        world: World,
        executor_id: str,
        cpu_millis: int = 8_000,
        clock_drift: float = 0.0,
        service: str = "svc",
        max_lease_s: float = 10.0,
    ):
        self.world = world
        self.executor_id = executor_id
        self.cpu_millis = cpu_millis
        self.memory_mb = 65_536
        self.clock_drift = clock_drift
        self.service = service
        self.max_lease_ms = int(max_lease_s * 1000)
        self.stop_s = 0.2
        self.gang_timeout_s = 3.0
        self.is_up = True
        self.labels: tuple[str, ...] = ()
        self.trouble = Trouble.NONE
        # Expiry times of the tickets that the policy model has issued, by step and
        # ticket. Tickets are not checked while this is None.
        self.tickets: dict[tuple[str, str], float] | None = None
        # Tasks that have ended as done, in all incarnations of the executor.
        self.done_here: set[str] = set()
        # Tail latency that is reported for a task, and the pace that was set, by task.
        self.loads: dict[str, float] = {}
        self.paces: dict[str, int] = {}
        self.changed = anyio.Event()
        self.start_incarnation()
        world.executors.append(self)

    def start_incarnation(self) -> None:
        """Start a new incarnation without any recorded state."""
        self.started_at = anyio.current_time()
        self.born_ms = int(self.started_at * 1000) + 1
        self.fence = 0
        self.lease_until_ms = 0
        self.end_number = 0
        self.last_void_end = 0
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.ended: list[ListedEnd] = []
        # Times of the ends, by their numbers.
        self.ended_at: dict[int, float] = {}
        # Capacities that this incarnation had: end, millicores and memory in MB.
        self.past_capacities: list[tuple[float, int, int]] = []
        # The highest attempt of each task that was stopped or has ended.
        self.highest: dict[str, int] = {}
        # A ticket is valid only for the incarnation it was issued for.
        if self.tickets is not None:
            self.tickets = {}
        self.is_up = True

    def make_successor(self, executor_id: str) -> "ExecutorModel":
        """Return an executor of the same capacity, service and labels with a new id."""
        other = ExecutorModel(
            self.world,
            executor_id,
            self.cpu_millis,
            self.clock_drift,
            self.service,
            self.max_lease_ms / 1000,
        )
        other.memory_mb = self.memory_mb
        other.labels = self.labels
        other.tickets = None if self.tickets is None else {}
        return other

    def crash(self) -> None:
        """Stop the executor at once, with all its tasks."""
        self.is_up = False
        for run in self.runs.values():
            self.world.record_crash(run.task)
        self.runs = {}

    def resize(self, cpu_millis: int, memory_mb: int) -> None:
        """Change the capacity; what runs goes on."""
        now = anyio.current_time()
        self.past_capacities.append((now, self.cpu_millis, self.memory_mb))
        self.cpu_millis, self.memory_mb = cpu_millis, memory_mb

    def holds_runs(self, since: float) -> bool:
        """Return whether the attempts fit into a capacity in force ``since`` then."""
        capacities = [(self.cpu_millis, self.memory_mb)]
        for ended_at, cpu_millis, memory_mb in self.past_capacities:
            if ended_at >= since:
                capacities.append((cpu_millis, memory_mb))
        used_cpu, used_memory = self.used_cpu, self.used_memory
        return any(
            used_cpu <= cpu_millis and used_memory <= memory_mb
            for cpu_millis, memory_mb in capacities
        )

    @property
    def clock_ms(self) -> int:
        """Return the time on the executor's own clock."""
        elapsed = anyio.current_time() - self.started_at
        return int(elapsed * (1 - self.clock_drift) * 1000)

    @property
    def used_cpu(self) -> int:
        """Return the CPU that all running attempts require, in millicores."""
        return sum(step.cpu_millis for step in self.list_running_steps())

    @property
    def used_memory(self) -> int:
        """Return the memory that all running attempts require, in MB."""
        return sum(step.memory_mb for step in self.list_running_steps())

    def list_running_steps(self) -> list[StepSpec]:
        """Return the step of each running attempt whose job is known."""
        steps = []
        for run in self.runs.values():
            job_id, _, number, _ = parse_task(run.task)
            spec = self.world.jobs.get(job_id)
            if spec is not None:
                steps.append(spec.steps[number])
        return steps

    def advance(self) -> None:
        """End the attempts that have finished or lost their lease since the last call.

        Members of a gang that has not become complete in time end as well.
        """
        now = anyio.current_time()
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at):
            if run.ends_at <= now and (run.task, run.attempt) in self.runs:
                self.end(run, run.how)
        if self.runs and self.clock_ms > self.lease_until_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        if self.clock_ms > self.lease_until_ms:
            # Ends that were unconfirmed when the lease expired do not count.
            self.last_void_end = self.end_number
        for run in list(self.runs.values()):
            waits = run.ends_at == float("inf") and self.is_gang(run.task)
            if waits and not self.gang_is_complete(run):
                if now - run.started_at >= self.gang_timeout_s:
                    self.end(run, "alone")

    def end(self, run: TaskRun, how: str) -> None:
        """End an attempt and add it to the ends that the executor reports."""
        self.runs.pop((run.task, run.attempt), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.end_number += 1
        ended_at = min(run.ends_at, anyio.current_time())
        checkpoint = self.make_checkpoint(run, ended_at, how)
        self.ended.append(
            ListedEnd(self.end_number, run.task, run.attempt, how, checkpoint)
        )
        self.ended_at[self.end_number] = ended_at
        if how == "done":
            self.done_here.add(run.task)
        if self.is_gang(run.task):
            self.end_gang(run, how)
        self.changed.set()
        self.changed = anyio.Event()

    def end_gang(self, run: TaskRun, how: str) -> None:
        """End the other members of the gang, on all executors."""
        name = run.task.rpartition(".")[0]
        member_outcome = "done" if how == "done" else "broken"
        for executor in self.world.executors:
            for other in list(executor.runs.values()):
                is_same_gang = other.task.rpartition(".")[0] == name
                if is_same_gang and other.attempt == run.attempt and executor.is_up:
                    executor.end(other, member_outcome)

    def make_checkpoint(self, run: TaskRun, now: float, how: str = "") -> str:
        """Return the latest checkpoint of an attempt, which a stop makes anew."""
        if how == "done" or not self.has_checkpoints(run.task):
            return ""
        worked_s = run.worked_s(now)
        if how != "stopped":
            new_s = worked_s - run.resumed_s
            worked_s = run.resumed_s + new_s // CHECKPOINT_S * CHECKPOINT_S
        return f"{run.task}@{worked_s:.3f}" if worked_s else ""

    def has_checkpoints(self, task: str) -> bool:
        """Return whether a task makes checkpoints; those of gangs are not modelled."""
        job_id, _, step, _ = parse_task(task)
        spec = self.world.jobs.get(job_id)
        return (
            spec is not None
            and spec.steps[step].checkpointing
            and not spec.steps[step].gang
        )

    def is_gang(self, task: str) -> bool:
        """Return whether a task is a member of a gang."""
        job_id, _, step, _ = parse_task(task)
        spec = self.world.jobs.get(job_id)
        return spec is not None and spec.steps[step].gang

    def gang_is_complete(self, run: TaskRun) -> bool:
        """Return whether all members of the gang run this attempt."""
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
        """Record the fence number; raise FenceRefused if a higher one was seen."""
        if not self.is_up:
            raise ExecutorGone(self.executor_id)
        if fence < self.fence:
            raise FenceRefused(str(fence))
        self.fence = fence

    def extend_lease(self, lease_until_ms: int | None) -> None:
        """Extend the lease up to the maximum lease; never shorten it."""
        if lease_until_ms is not None:
            max_until_ms = self.clock_ms + self.max_lease_ms
            until = min(lease_until_ms, max_until_ms)
            self.lease_until_ms = max(self.lease_until_ms, until)

    def start(self, order: TaskStart, fence: int, sent_at: float | None = None) -> int:
        """Start an attempt and return the clock; raise StartRefused.

        An order that is carried out late was ``sent_at`` an earlier time.
        """
        self.advance()
        self.check_fence(fence)
        key = (order.task, order.attempt)
        if key in self.runs:
            return self.clock_ms
        if order.attempt <= self.highest.get(order.task, 0):
            self.extend_lease(order.lease_until_ms)
            raise StartRefused("old", self.clock_ms)
        if order.lease_until_ms <= self.clock_ms:
            raise StartRefused("late", self.clock_ms)
        if self.trouble is Trouble.UNHEALTHY:
            raise StartRefused("unhealthy")
        if self.tickets is not None:
            until = self.tickets.get((order.task.rpartition(".")[0], order.ticket), 0.0)
            if until < anyio.current_time():
                raise StartRefused("ticket", self.clock_ms)
        self.extend_lease(order.lease_until_ms)
        run = TaskRun(order.task, order.attempt, anyio.current_time())
        behaviour = self.world.behave(order.task, order.attempt)
        run.work_s = behaviour.work_s * self.world.slow_factor(self, order.task)
        run.how = behaviour.how
        if self.trouble is Trouble.FAILING:
            run.work_s, run.how = FAILING_TASK_S, "failed"
        elif self.trouble is Trouble.HANGING:
            run.work_s = float("inf")
        self.runs[key] = run
        self.world.check_start(
            self, run, run.started_at if sent_at is None else sent_at
        )
        if behaviour.crashes_after_s is not None:
            self.world.deadly.add(order.task)
            self.world.schedule_crash(self, run, behaviour.crashes_after_s)
            if not self.is_up:
                return self.clock_ms
        if not self.is_gang(order.task):
            self.resume(run, order.checkpoint)
            run.ends_at = run.started_at + run.work_s
            if run.resumed_s:
                run.ends_at += RESTORE_S - min(run.resumed_s, run.work_s)
        elif self.gang_is_complete(run):
            self.start_gang(run)
        self.changed.set()
        self.changed = anyio.Event()
        return self.clock_ms

    def resume(self, run: TaskRun, checkpoint: str) -> None:
        """Continue a task from its checkpoint, if it has one."""
        if not checkpoint or not self.has_checkpoints(run.task):
            return
        task, _, worked_s = checkpoint.rpartition("@")
        if task != run.task:
            self.world.violate("CHECKPOINT", f"{run.task} resumes from {checkpoint}")
            return
        run.resumed_s = float(worked_s)
        self.world.resumed.setdefault(run.task, []).append(run.resumed_s)

    def start_gang(self, run: TaskRun) -> None:
        """Set when and how the members of a complete gang end."""
        name = run.task.rpartition(".")[0]
        for executor in self.world.executors:
            for other in executor.runs.values():
                is_same_gang = other.task.rpartition(".")[0] == name
                if is_same_gang and other.attempt == run.attempt:
                    # A member on a faulty executor keeps its own behaviour.
                    is_healthy = executor.trouble is Trouble.NONE
                    behaviour_source = run if is_healthy else other
                    other.ends_at = anyio.current_time() + behaviour_source.work_s
                    other.how = behaviour_source.how

    def stop(self, task: str, attempt: int, fence: int) -> int:
        """Stop an attempt, block late starts of it and return the clock."""
        self.advance()
        self.check_fence(fence)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None:
            run.how = "stopped"
            run.ends_at = min(run.ends_at, anyio.current_time() + self.stop_s)
        return self.clock_ms

    def pace(self, task: str, percent: int, fence: int) -> int:
        """Record the pace of a task and return the clock."""
        self.check_fence(fence)
        self.paces[task] = percent
        return self.clock_ms

    def hold(self, fence: int, last_seen: int, lease_until_ms: int | None) -> None:
        """Extend the lease and discard the ends that the owner has confirmed."""
        self.advance()
        self.check_fence(fence)
        for end in self.ended:
            if self.last_void_end < end.number <= last_seen:
                ended_at = self.ended_at[end.number]
                self.world.record_confirmed_end(end.task, end.how, ended_at)
        self.ended = [end for end in self.ended if end.number > last_seen]
        self.extend_lease(lease_until_ms)

    def lists(self) -> TaskLists:
        """Return the running attempts and the unconfirmed ends."""
        now = anyio.current_time()
        running = []
        for run in self.runs.values():
            share = run.worked_s(now) / run.work_s if run.work_s else 0.0
            # Executors report whole percents.
            percent = min(99, int(100 * share)) if run.ends_at < float("inf") else 0
            load = self.loads.get(run.task, 0.0)
            checkpoint = self.make_checkpoint(run, now)
            running.append(ListedRun(run.task, run.attempt, checkpoint, percent, load))
        return TaskLists(
            self.clock_ms, self.born_ms, running, self.ended[:MAX_REPORTED_ENDS]
        )

    def next_change_s(self) -> float:
        """Return the time until the next attempt ends, in seconds."""
        now = anyio.current_time()
        times = [run.ends_at for run in self.runs.values()]
        return max(0.0, min(times, default=float("inf")) - now)
