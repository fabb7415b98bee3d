"""Tell which accepted steps wait though they fit, and what an owner knows of them."""

from collections.abc import Iterator

import anyio

from gypsumring.cell import CellOwner
from gypsumring.cell.owner import LATE_EXTENSION_S
from gypsumring.cell.waiting import why_no_work
from gypsumring.fleet.executor import CLOCK_DRIFT, CONTACT_S, LEASE_MARGIN_MS
from gypsumring.pipelines import StepSpec
from stand_ins.platform.cluster import MemoryCluster
from stand_ins.platform.executor import ExecutorModel, Trouble

__all__ = [
    "OpenStep",
    "explain_step",
    "is_half_free",
    "list_leftovers",
    "list_open_steps",
]


class OpenStep:
    """Hold a ready step as the executors show it: the tasks that neither run nor ended.

    A gang that is not complete counts as not running.
    """

    __slots__ = ("cluster", "missing", "name", "present", "spec")

    def __init__(self, cluster: MemoryCluster, name: str, spec: StepSpec):
        self.cluster = cluster
        self.name = name
        self.spec = spec
        running = {
            run.task
            for model in cluster.executors.values()
            for run in model.runs.values()
            if not spec.gang or run.ends_at < float("inf")
        }
        done = {task for each in cluster.world.executors for task in each.done_here}
        tasks = [f"{name}.{index}" for index in range(spec.task_count)]
        self.present = (running | done).intersection(tasks)
        self.missing = [task for task in tasks if task not in self.present]
        if spec.gang and len(self.missing) < spec.task_count:
            self.missing = []

    def places(self, model: ExecutorModel, empty: bool = False) -> int:
        """Return how many tasks of the step an executor could take, by its runs."""
        if not model.is_up or model.trouble is not Trouble.NONE:
            return 0
        if not self.cluster.policy.allows(self.name, model.executor_id):
            return 0
        cpu, memory, here = model.cpu_millis, model.memory_mb, 0
        for run in model.runs.values() if not empty else ():
            job_id, _, number, _ = run.task.split(".")
            own = run.task.rpartition(".")[0] == self.name
            if own and self.spec.gang:
                continue
            other = self.cluster.world.jobs[job_id].steps[int(number)]
            cpu -= other.cpu_millis
            memory -= other.memory_mb
            here += own
        limit = (self.spec.max_per_executor or self.spec.task_count) - here
        room = min(cpu // self.spec.cpu_millis, memory // self.spec.memory_mb, limit)
        return max(0, room)

    def fits(self, empty: bool = False) -> bool:
        """Tell whether a task, or the whole gang, fits the free or the whole room."""
        models = self.cluster.executors.values()
        room = sum(self.places(model, empty) for model in models)
        return room >= (self.spec.task_count if self.spec.gang else 1)

    def has_ample_room(self) -> bool:
        """Tell whether twice the missing tasks fit where the owner starts work."""
        owner = self.cluster.owner_node().owner()
        now = owner.state.clock()
        room = 0
        for model in self.cluster.executors.values():
            executor = owner.state.fleet.get(model.executor_id)
            why = executor and why_no_work(executor, model.service, True, now)
            if why not in ("silent", "resting", "draining"):
                room += self.places(model)
        return room >= 2 * len(self.missing)

    def is_withheld(self) -> bool:
        """Tell whether tasks of an earlier owner may still run under its lease.

        The wait ends with the lease that owners ask for, a late extension of it, and
        the drift of the executor's clock.
        """
        state = self.cluster.owner_node().owner().state
        job = state.table.jobs.get(self.name.partition(".")[0])
        if job is None or not job.inherited or not state.unsettled:
            return False
        longest_s = (state.timing.lease_s + LATE_EXTENSION_S) / (1 - CLOCK_DRIFT)
        return state.clock() < state.owned_since + longest_s + LEASE_MARGIN_MS / 1000


def is_half_free(cluster: MemoryCluster) -> bool:
    """Tell whether under half of the cores are in use; there has to be an owner."""
    if cluster.owner_node() is None:
        return False
    models = [model for model in cluster.executors.values() if model.is_up]
    used = sum(model.used_cpu for model in models)
    return 2 * used < sum(model.cpu_millis for model in models)


def list_open_steps(
    cluster: MemoryCluster, job_ids: list[str]
) -> Iterator[tuple[OpenStep, bool]]:
    """Yield the ready steps that are not done, and whether some of it is missing."""
    for job_id in job_ids:
        job = cluster.world.jobs[job_id]
        phase = cluster.phase(job_id)
        if job_id in cluster.world.cancelled or (phase is not None and phase.is_final):
            continue
        for number, spec in enumerate(job.steps):
            is_complete = cluster.world.step_is_complete
            ready = all(is_complete(job, each, 0) for each in spec.after)
            if ready and not is_complete(job, number, 0):
                step = OpenStep(cluster, f"{job_id}.0.{number}", spec)
                yield step, bool(step.missing)


def explain_step(cluster: MemoryCluster, name: str) -> dict[str, object]:
    """Return what the owner knows about a step."""
    node = cluster.owner_node()
    owner = node.owner() if node is not None else None
    job = owner.state.table.jobs.get(name.partition(".")[0]) if owner else None
    if job is None:
        return {"owner": node and node.name, "job": "not known"}
    now = anyio.current_time()
    step = job.find_step(0, int(name.rpartition(".")[2]))
    queue = owner.state.find_queue(job)
    waiting = owner.scheduler.backlog.waiting.get(step)
    reasons: dict[str, list[str]] = {}
    for executor_id in sorted(owner.state.fleet):
        if owner.state.find_queue(job).policy is None or executor_id in step.allowed:
            reason = explain_executor(owner, executor_id, step, queue.priority)
            reasons.setdefault(reason, []).append(executor_id)
    return {
        "now": now,
        "node": node.name,
        "fence": owner.fence,
        "phase": job.phase,
        "inherited": job.inherited,
        "waited_s": now - job.accepted_at,
        "queue": [queue.name, queue.priority, queue.policy is not None],
        "planned_s": waiting.at - now if waiting else None,
        "pending": sorted(step.pending),
        "withheld": sorted(step.withheld),
        "asking": step.asking,
        "asked": len(step.asked),
        "allowed": len(step.allowed),
        "tickets": [
            round(step.ticket_left_s(each, now), 2) for each in sorted(step.tickets)
        ],
        "held_back_s": step.held_back_until - now,
        "reserved": sorted(step.reserved),
        "avoided": {key: sorted(each) for key, each in step.avoided.items()},
        "runs": [
            [run.task, run.attempt, run.executor_id, run.state.value]
            for run in step.active_runs()
        ],
        "unsettled": sorted(owner.state.unsettled),
        "executors": reasons,
    }


def explain_executor(owner: CellOwner, executor_id: str, step, priority: int) -> str:
    """Return why a step does or does not start on an executor."""
    state = owner.state
    executor = state.fleet[executor_id]
    now = state.clock()
    reservation = owner.scheduler.reserved.get(executor_id)
    checks = {
        "not enrolled": executor_id not in state.enrolled,
        "not listed": not executor.listed,
        "draining": executor.entry.draining,
        "silent": now - executor.last_contact_at > CONTACT_S,
        "unknown runs": bool(executor.unknown_runs),
        "shutting out": bool(executor.shutting_out),
        "quarantined": executor.health.is_quarantined(now),
        "kept for another": reservation and not reservation.admits(step, priority),
        "no room": not executor.fit_count(step.spec),
    }
    found = [reason for reason, holds in checks.items() if holds]
    return ", ".join(found) or "free"


def list_leftovers(owner: CellOwner, open_steps: set[str]) -> list[str]:
    """Return what an owner without work still keeps; ``open_steps`` can never run."""
    state = owner.state
    now = state.clock()
    found = [f"{each} is not settled" for each in state.unsettled]
    for each, reservation in owner.scheduler.reserved.items():
        found.append(f"{each} is kept for {reservation.step.name}")
    for each, executor in state.fleet.items():
        kept = {
            "runs": list(executor.runs),
            "room": executor.used_cpu or executor.used_memory,
            "unknown runs": executor.unknown_runs,
            "starts to shut out": executor.shutting_out,
            "rest": executor.health.is_quarantined(now),
        }
        found += [f"{each}: {what} {value}" for what, value in kept.items() if value]
    for step in owner.scheduler.backlog.waiting:
        if step.name not in open_steps:
            found.append(f"{step.name} waits")
    for job in state.table.active.values():
        for step in job.steps:
            if step.asking or step.withheld:
                found.append(f"{step.name}: {step.asking} calls, {step.withheld}")
    for adviser in owner.scheduler.desk.advisers.advisers.values():
        if adviser.calls or adviser.busy_until > now:
            found.append(f"{adviser.name}: {adviser.calls} calls")
    return found
