"""Tell which accepted steps wait though they fit, and what an owner knows of them."""

from collections.abc import Iterator

import anyio

from gypsumring.cell import CellOwner
from gypsumring.cell.owner import MAX_EXTENSION_DELAY_S
from gypsumring.cell.state import CellState
from gypsumring.cell.waiting import WaitReport, explain_not_accepting, explain_wait
from gypsumring.fleet.executor import CLOCK_DRIFT, LEASE_MARGIN_MS
from gypsumring.pipelines import Step, StepSpec
from stand_ins.platform.cluster import MemoryCluster
from stand_ins.platform.executor import ExecutorModel, Trouble

__all__ = ["OpenStep", "explain_step", "list_leftovers", "list_open_steps"]
# What the state of an executor keeps for tasks.
KEPT_FIELDS = ("runs", "used_cpu", "used_memory", "unknown_runs", "starts_to_block")


class OpenStep:
    """Hold a ready step as the executors show it, and what is missing of it."""

    __slots__ = ("cluster", "missing", "name", "present", "spec")

    def __init__(self, cluster: MemoryCluster, name: str, spec: StepSpec):
        self.cluster = cluster
        self.name = name
        self.spec = spec
        running = {
            run.task
            for model in cluster.executors.values()
            for run in model.runs.values()
            if run.task.rpartition(".")[0] == name
            and (not spec.gang or model.gang_is_complete(run))
        }
        done = {task for each in cluster.world.executors for task in each.done_here}
        tasks = [f"{name}.{index}" for index in range(spec.task_count)]
        self.present = (running | done).intersection(tasks)
        self.missing = [task for task in tasks if task not in self.present]
        # A gang that is not complete counts as not running.
        if spec.gang and len(self.missing) < spec.task_count:
            self.missing = []

    def places(self, model: ExecutorModel, empty: bool = False) -> int:
        """Return how many tasks of the step an executor could take, by its runs."""
        sound = model.is_up and model.trouble is Trouble.NONE
        if not sound or not self.cluster.policy.allows(self.name, model.executor_id):
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
        """Return whether a task, or the whole gang, fits the free or whole capacity."""
        models = self.cluster.executors.values()
        room = sum(self.places(model, empty) for model in models)
        return room >= (self.spec.task_count if self.spec.gang else 1)

    def has_ample_room(self) -> bool:
        """Tell whether twice the missing tasks fit, and under half of all is in use."""
        node = self.cluster.owner_node()
        models = [model for model in self.cluster.executors.values() if model.is_up]
        used = sum(model.used_cpu for model in models)
        if node is None or 2 * used >= sum(model.cpu_millis for model in models):
            return False
        state = node.owner().state
        if self.is_withheld(state):
            return False
        room = 0
        for model in models:
            executor = state.fleet.get(model.executor_id)
            why = executor and explain_not_accepting(
                executor, "svc", True, state.clock()
            )
            if why not in ("silent", "resting", "draining"):
                room += self.places(model)
        return room >= 2 * len(self.missing)

    def has_unanswered_start(self) -> bool:
        """Tell whether a task may be started late, where no order is answered."""
        found = find_step(self.cluster, self.name)
        models = self.cluster.executors
        return found is not None and any(
            models[run.executor_id].trouble is Trouble.ORDERS
            for run in found[1].active_runs()
        )

    def is_withheld(self, state: CellState) -> bool:
        """Tell whether tasks of an earlier owner may still run under its lease."""
        job = state.table.jobs.get(self.name.partition(".")[0])
        if job is None or not job.inherited or not state.unreconciled:
            return False
        longest_s = (state.timing.lease_s + MAX_EXTENSION_DELAY_S) / (1 - CLOCK_DRIFT)
        return state.clock() < state.owned_since + longest_s + LEASE_MARGIN_MS / 1000


def list_open_steps(cluster: MemoryCluster, job_ids: list[str]) -> Iterator[OpenStep]:
    """Yield the ready steps that are not done."""
    is_complete = cluster.world.step_is_complete
    for job_id in job_ids:
        job = cluster.world.jobs[job_id]
        phase = cluster.phase(job_id)
        if job_id in cluster.world.cancelled or (phase is not None and phase.is_final):
            continue
        for number, spec in enumerate(job.steps):
            ready = all(is_complete(job, each, 0) for each in spec.after)
            if ready and not is_complete(job, number, 0):
                yield OpenStep(cluster, f"{job_id}.0.{number}", spec)


def find_step(cluster: MemoryCluster, name: str) -> tuple[CellOwner, Step] | None:
    """Return the owner of the cell, and a step as the owner knows it."""
    node = cluster.owner_node()
    if node is None:
        return None
    job = node.owner().state.table.jobs.get(name.partition(".")[0])
    step = job and job.find_step(0, int(name.rpartition(".")[2]))
    return (node.owner(), step) if step is not None else None


def explain_step(cluster: MemoryCluster, name: str) -> dict[str, object]:
    """Return what the owner knows about a step."""
    found = find_step(cluster, name)
    if found is None:
        return {"step": "not known"}
    owner, step = found
    now = anyio.current_time()
    queue = owner.state.find_queue(step.job)
    report = explain_wait(step, queue, owner.scheduler, step.job.accepted_at, now)
    state = {each: getattr(report, each) for each in WaitReport.__slots__}
    runs = [(run.executor_id, run.state.value) for run in step.active_runs()]
    return state | {"step": step.name, "runs": runs}


def list_leftovers(owner: CellOwner, open_steps: set[str]) -> list[str]:
    """Return what an owner without work still keeps; ``open_steps`` can never run."""
    state = owner.state
    now = state.clock()
    kept = {"unsettled": list(state.unreconciled)}
    for each, reservation in owner.scheduler.reserved.items():
        kept[f"{each} reserved"] = reservation.step.name
    for each, executor in state.fleet.items():
        for field in KEPT_FIELDS:
            kept[f"{each} {field}"] = getattr(executor, field)
        kept[f"{each} rests"] = executor.health.is_quarantined(now)
    waiting = {each.name for each in owner.scheduler.backlog.waiting}
    kept["waiting"] = sorted(waiting - open_steps)
    for job in state.table.active.values():
        for step in job.steps:
            kept[f"{step.name} calls, withheld"] = (
                step.policy_calls_in_flight or step.withheld
            )
    for proxy in owner.scheduler.policy_client.policy_proxies.policy_proxies.values():
        kept[f"{proxy.name} calls"] = proxy.calls or proxy.busy_until > now
    return [f"{what}: {value}" for what, value in kept.items() if value]
