"""Simulated behaviour of tasks, and checks of the scheduler's guarantees."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from gypsumring.accounts import Resources
from gypsumring.pipelines import PipelineSpec, StepSpec, parse_task

if TYPE_CHECKING:
    from stand_ins.platform.executor import ExecutorModel, TaskRun

__all__ = ["BEAT_S", "CONTACT_S", "TaskBehaviour", "World"]

# After this many crashes under a task it may be started fewer times than this again.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
# A job may be given up once this many executors have crashed under one of its tasks.
MIN_CRASHES_OF_GIVEN_UP = 2
# Tolerance for the start of a scheduled task before its time.
MAX_EARLY_START_MS = 250
# The platform's bounds ``contactMs`` and ``heartbeatMs``: a capacity that has shrunk
# counts this much later. The first is the smallest of the users' sites.
CONTACT_S = 3.0
BEAT_S = 1.5
# Share of a cap by which an account may exceed it, besides one task.
QUOTA_OVERSHOOT = 0.1
LONG_TASK_SHARE = 0.04
LONG_TASK_FACTOR = 25.0


class TaskBehaviour:
    """Duration of an attempt, in seconds, and its outcome.

    A deadly task crashes its executor ``crashes_after_s`` after its start.
    """

    __slots__ = ("crashes_after_s", "how", "work_s")

    def __init__(
        self, work_s: float, how: str = "done", crashes_after_s: float | None = None
    ):
        self.work_s = work_s
        self.how = how
        self.crashes_after_s = crashes_after_s


BehaviourFactory = Callable[[str, int], TaskBehaviour]
CrashHandler = Callable[["ExecutorModel", "TaskRun", float], None]


class World:
    """Record of submitted jobs and their runs.

    Each broken guarantee is recorded in ``violations``.
    """

    __slots__ = (
        "account_caps",
        "account_peaks",
        "behave",
        "cancelled",
        "crashes",
        "deadly",
        "done",
        "executors",
        "failed_runs",
        "jobs",
        "last_started_at",
        "max_attempts",
        "refused",
        "resumed",
        "schedule_crash",
        "slow_factor",
        "starts",
        "starts_after_crashes",
        "violations",
    )

    def __init__(self, behave: BehaviourFactory, max_attempts: int = 3):
        self.behave = behave
        self.max_attempts = max_attempts
        self.jobs: dict[str, PipelineSpec] = {}
        # Jobs for which every submission was refused.
        self.refused: set[str] = set()
        # Times at which the cancellation of a job was confirmed.
        self.cancelled: dict[str, float] = {}
        self.executors: list[ExecutorModel] = []
        self.done: dict[str, float] = {}
        # Seconds of work from which attempts resumed, by task.
        self.resumed: dict[str, list[float]] = {}
        self.failed_runs: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.last_started_at: dict[str, float] = {}
        # Crashes of executors on which a task ran, and starts after MAX_CRASHES.
        self.crashes: dict[str, int] = {}
        self.starts_after_crashes: dict[str, int] = {}
        # Tasks that have been started and crash their executors.
        self.deadly: set[str] = set()
        # Crashes an executor some seconds after the start of a deadly task.
        self.schedule_crash: CrashHandler | None = None
        # Caps of accounts that are checked, with the time until which each is in force.
        self.account_caps: dict[str, list[tuple[float, Resources]]] = {}
        # The most that each of these accounts had running after a start.
        self.account_peaks: dict[str, Resources] = {}
        # Factor by which a task that starts on an executor takes longer there.
        self.slow_factor: Callable[[ExecutorModel, str], float] = lambda *args: 1.0
        self.violations: list[str] = []

    def violate(self, rule: str, detail: str) -> None:
        """Record a broken guarantee."""
        self.violations.append(f"{rule} at {anyio.current_time():.3f}: {detail}")

    def set_cap(self, account: str, cap: Resources, settle_s: float = 0.0) -> None:
        """Check the starts of an account against a cap from now on.

        An earlier cap remains in force for ``settle_s``; the highest counts.
        """
        now = anyio.current_time()
        earlier = [
            (min(until, now + settle_s), each)
            for until, each in self.account_caps.get(account, [])
        ]
        self.account_caps[account] = [*earlier, (float("inf"), cap)]

    def check_start(
        self, executor: "ExecutorModel", run: "TaskRun", sent_at: float
    ) -> None:
        """Check a start against the submitted jobs and all earlier runs.

        An order that is carried out late is checked against the capacities that the
        executor had when it was sent.
        """
        self.starts[run.task] = self.starts.get(run.task, 0) + 1
        self.last_started_at[run.task] = anyio.current_time()
        parsed = parse_task(run.task)
        spec = self.jobs.get(parsed[0]) if parsed else None
        if spec is None or parsed[2] >= len(spec.steps):
            self.violate("UNASKED", f"{run.task} on {executor.executor_id}")
            return
        if parsed[0] in self.refused:
            self.violate("REFUSED", run.task)
        step = spec.steps[parsed[2]]
        self.check_single_run(executor, run, step.speculative)
        self.check_crashes(run.task)
        self.check_order(spec, run.task, step.after)
        self.check_start_time(spec, run.task)
        # Tasks that last have no limit of attempts.
        failed = self.failed_runs.get(self.failure_key(run.task), 0)
        if failed >= self.max_attempts and not step.long_running:
            self.violate("BUDGET", run.task)
        if spec.account in self.account_caps:
            self.check_quota(spec.account, run.task, step)
        if not executor.holds_runs(since=sent_at - CONTACT_S - BEAT_S):
            self.violate(
                "LIMIT",
                f"{executor.executor_id}: {executor.used_cpu} of "
                f"{executor.cpu_millis} millicores, {executor.used_memory} of "
                f"{executor.memory_mb} MB",
            )

    def check_quota(self, account: str, task: str, step: StepSpec) -> None:
        """Check what an account has running after a start against its caps."""
        now = anyio.current_time()
        caps = [cap for until, cap in self.account_caps[account] if until >= now]
        held = self.sum_running(account)
        peak = self.account_peaks.get(account, Resources())
        self.account_peaks[account] = Resources(
            max(held.cpu_millis, peak.cpu_millis),
            max(held.memory_mb, peak.memory_mb),
            max(held.accelerators, peak.accelerators),
        )
        for field in Resources.__struct_fields__:
            limits = [getattr(cap, field) for cap in caps]
            used, needed = getattr(held, field), getattr(step, field)
            limit = max(limits) * (1 + QUOTA_OVERSHOOT) + needed
            if all(limits) and used > limit:
                self.violate("QUOTA", f"{task}: {account} has {used} {field}")

    def sum_running(self, account: str) -> Resources:
        """Return what an account has running on all executors."""
        cpu = memory = accelerators = 0
        for executor in self.executors:
            if not executor.is_up:
                continue
            executor.advance()
            for run in executor.runs.values():
                parsed = parse_task(run.task)
                spec = self.jobs.get(parsed[0]) if parsed else None
                if spec is None or spec.account != account:
                    continue
                if parsed[2] < len(spec.steps):
                    step = spec.steps[parsed[2]]
                    cpu += step.cpu_millis
                    memory += step.memory_mb
                    accelerators += step.accelerators
        return Resources(cpu, memory, accelerators)

    def check_single_run(
        self, executor: "ExecutorModel", run: "TaskRun", speculative: bool
    ) -> None:
        """Check that a task has no other run and no confirmed end.

        Speculative tasks may run more than once.
        """
        if speculative:
            return
        if run.task in self.done:
            self.violate("TWICE", f"{run.task} started after its end was confirmed")
        for other in self.executors:
            if not other.is_up:
                continue
            if other is not executor:
                other.advance()
            for listed in other.runs.values():
                if listed.task == run.task and listed is not run:
                    self.violate(
                        "TWICE",
                        f"{run.task} on {executor.executor_id} and {other.executor_id}",
                    )

    def check_no_later_start(
        self, task: str, ended_at: float, speculative: bool
    ) -> None:
        """Check that a task has not started since an end that is confirmed only now."""
        started_at = self.last_started_at.get(task, float("-inf"))
        if started_at > ended_at and not speculative:
            self.violate("TWICE", f"{task} started after an end confirmed later")

    def record_crash(self, task: str) -> None:
        """Record that an executor has crashed while the task ran there."""
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def check_crashes(self, task: str) -> None:
        """Check that a task is not started too often after its crashes."""
        if self.crashes.get(task, 0) < MAX_CRASHES:
            return
        count = self.starts_after_crashes.get(task, 0) + 1
        self.starts_after_crashes[task] = count
        if count >= MAX_STARTS_AFTER_CRASHES:
            self.violate("BUDGET", f"{task} after {self.crashes[task]} crashes")

    def may_be_given_up(self, job_id: str) -> bool:
        """Return whether enough executors have crashed under a task of the job."""
        return any(
            task.startswith(job_id) and count >= MIN_CRASHES_OF_GIVEN_UP
            for task, count in self.crashes.items()
        )

    def is_deadly(self, job_id: str) -> bool:
        """Return whether a task of the job has been started and is deadly."""
        return any(task.startswith(job_id) for task in self.deadly)

    def check_order(
        self, spec: PipelineSpec, task: str, after: tuple[int, ...]
    ) -> None:
        """Check that the steps that the task depends on are complete."""
        occurrence = parse_task(task)[1]
        for number in after:
            if not self.step_is_complete(spec, number, occurrence):
                self.violate("ORDER", f"{task} before step {number}")

    def check_start_time(self, spec: PipelineSpec, task: str) -> None:
        """Check that a scheduled occurrence does not start before its time."""
        due_ms = spec.start_at_ms + parse_task(task)[1] * spec.interval_ms
        if spec.repeats and anyio.current_time() * 1000 < due_ms - MAX_EARLY_START_MS:
            self.violate("ORDER", f"{task} before its time")

    def failure_key(self, task: str) -> str:
        """Return the name that failures are counted by: the task, or its gang."""
        parsed = parse_task(task)
        spec = self.jobs.get(parsed[0]) if parsed else None
        if spec is not None and spec.steps[parsed[2]].gang:
            return task.rpartition(".")[0]
        return task

    def record_confirmed_end(self, task: str, how: str, ended_at: float) -> None:
        """Record an end that was confirmed, so that the executor discards it."""
        if how == "done":
            job_id, occurrence, number, _ = parse_task(task)
            step = self.jobs[job_id].steps[number]
            names = [task]
            if step.gang:
                names = [
                    f"{job_id}.{occurrence}.{number}.{index}"
                    for index in range(step.task_count)
                ]
            for name in names:
                self.done.setdefault(name, anyio.current_time())
                self.check_no_later_start(name, ended_at, step.speculative)
        elif how == "failed":
            key = self.failure_key(task)
            self.failed_runs[key] = self.failed_runs.get(key, 0) + 1

    def is_complete(self, job_id: str) -> bool:
        """Return whether every task of a job has ended as done on some executor."""
        spec = self.jobs[job_id]
        return all(
            self.step_is_complete(spec, number, occurrence)
            for occurrence in range(max(1, spec.repeats))
            for number in range(len(spec.steps))
        )

    def step_is_complete(
        self, spec: PipelineSpec, number: int, occurrence: int
    ) -> bool:
        """Return whether every task of a step has ended as done.

        A gang is complete when one of its members has ended as done.
        """
        ended = [
            any(
                f"{spec.job_id}.{occurrence}.{number}.{index}" in executor.done_here
                for executor in self.executors
            )
            for index in range(spec.steps[number].task_count)
        ]
        return any(ended) if spec.steps[number].gang else all(ended)


def steady_behaviour(work_s: float) -> BehaviourFactory:
    """Return a behaviour in which every attempt succeeds after ``work_s``."""
    return lambda task, attempt: TaskBehaviour(work_s)


def deadly_behaviour(
    work_s: float, crashes_after_s: dict[str, float]
) -> BehaviourFactory:
    """Return a behaviour in which the named tasks crash their executors."""
    return lambda task, attempt: TaskBehaviour(
        work_s, crashes_after_s=crashes_after_s.get(task)
    )


def random_behaviour(seed: int, mean_s: float, failing: float) -> BehaviourFactory:
    """Return a behaviour that is drawn from a seed for each task and attempt.

    A few attempts take much longer than the others.
    """

    def behave(task: str, attempt: int) -> TaskBehaviour:
        source = random.Random(f"{seed}/{task}/{attempt}")
        how = "failed" if source.random() < failing else "done"
        factor = LONG_TASK_FACTOR if source.random() < LONG_TASK_SHARE else 1.0
        return TaskBehaviour(source.uniform(0.2, 1.8) * mean_s * factor, how)

    return behave
