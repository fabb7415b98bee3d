"""Randomised runs of one cell on the platform's stand-in, with checks of its promises.

Run with ``python -m soak.cells --seed N --seconds N``.
"""

import functools
import json
import random
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import anyio
import click

from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import JobPhase, PipelineSpec, StepSpec
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.freezing import Freezer
from stand_ins.platform.cluster import MemoryCluster, MemoryNode, make_job
from stand_ins.platform.memory import ENTRIES_TOPIC
from stand_ins.platform.peers import Partition
from stand_ins.platform.world import (
    BehaviourFactory,
    TaskBehaviour,
    World,
    random_behaviour,
)

__all__ = ["CellSoak", "make_command", "run_cell_soak", "run_partition_soak"]

EXECUTORS = 5
MAX_ATTEMPTS = 3
# Time without faults at the end, in which all accepted jobs have to end. Single tasks
# may take more than half a minute, and a step may need several attempts of them.
SETTLE_S = 240.0
CANCEL_SHARE = 0.2
# Long partitions last for this time and that of a usual fault. The next owner waits
# for about as long until the leases of executors that it does not reach have expired.
LONG_PARTITION_S = 6.0
# A node that reaches the store alone has lost the owner for this time before.
STRANGER_S = 3.0
# Rate of faults in runs with few of them, as a share of the usual one.
FEW_FAULTS_SHARE = 0.3
PAUSE_S = (0.3, 3.0)
# Share of jobs with a deadly task, in runs with such jobs, and the longest time that
# it works before it crashes its executor.
DEADLY_SHARE = 0.05
# Share of tasks that outlast the leases of an owner that is cut off, and their work.
LONG_SHARE, LONG_S = 0.1, (4.0, 12.0)
# The same where only partitions are played.
LONGER_SHARE, LONGER_S = 0.3, (8.0, 16.0)
# Rate of partitions where nothing else is played: they last for up to 15 s.
PARTITION_RATE = 0.12
MAX_DEADLY_S = 3.0
CANCEL_S = 4.0
# Cancelled tasks are gone after this time also while faults go on: an unresponsive
# executor ends them with its lease.
WATCH_S = 12.0
PARTITIONS = (
    "isolate_owner",
    "late_messages",
    "stranger",
    "start_in_partition",
    "pause_owner",
)
FAULTS = (
    "kill_node",
    "kill_all_nodes",
    "store_away",
    "store_refuses_one",
    "store_slow",
    "lost_answers",
    "late_answers",
    "cut_executor",
    "crash_executor",
    "drain_executor",
    "deal_anew",
    "forget_history",
    "hang_tasks",
    *PARTITIONS,
)
# Field of the faults of a node, value, usual value.
NODE_FAULTS = {
    "store_away": ("store_away", True, False),
    "store_refuses_one": ("store_refuses", True, False),
    "store_slow": ("store_slow_s", 0.2, 0.0),
    "lost_answers": ("lost_share", 0.3, 0.0),
    "late_answers": ("late_share", 0.3, 0.0),
    "policy_busy": ("policy_busy", True, False),
    "advice_lost": ("advice_lost_share", 0.7, 0.0),
    "advice_late": ("advice_late_s", 2.5, 0.0),
}


class CellSoak:
    """Drive load and faults from one seed."""

    __slots__ = (
        "accepted",
        "cluster",
        "faults",
        "freezer",
        "random_source",
        "seed",
        "steps",
    )

    # Numbers of nodes; more than three voters may miss one of them.
    node_counts = (3, 5)
    # Jobs and faults a second, and the kinds of faults.
    job_rate = 2.0
    fault_rate = 0.5
    fault_names = FAULTS

    def __init__(self, cluster: MemoryCluster, random_source: random.Random, seed: int):
        self.cluster = cluster
        self.random_source = random_source
        self.seed = seed
        self.accepted: list[str] = []
        self.faults: list[str] = []
        self.steps = 0
        self.freezer = Freezer()
        cluster.register_process = self.freezer.add_root

    def draw_steps(self) -> list[StepSpec]:
        """Return the steps of a new job."""
        source = self.random_source
        steps = []
        for number in range(source.choice((1, 1, 2, 3))):
            gang = source.random() < 0.25
            steps.append(
                StepSpec(
                    task_count=source.randint(1, 4 if gang else 6),
                    cpu_millis=source.choice((500, 1000, 3000)),
                    memory_mb=256,
                    estimated_ms=700,
                    after=(number - 1,) if number else (),
                    gang=gang,
                    max_per_executor=0 if gang else source.choice((0, 0, 2)),
                )
            )
        return steps

    def draw_job(self, job_id: str) -> PipelineSpec:
        """Return a new job."""
        return make_job(job_id, *self.draw_steps())

    async def send_load(self, seconds: float) -> None:
        """Submit and cancel jobs until the time is over."""
        end = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                self.steps += 1
                job_id = f"{self.steps:016x}"
                group.start_soon(self.send_one, job_id)
                await anyio.sleep(self.random_source.expovariate(self.job_rate))

    async def send_one(self, job_id: str) -> None:
        """Submit one job, and cancel it at times."""
        outcome = await self.cluster.submit(self.draw_job(job_id))
        if outcome is Outcome.REFUSED:
            self.cluster.world.refused.add(job_id)
        elif outcome is Outcome.OK:
            self.accepted.append(job_id)
        if self.random_source.random() < CANCEL_SHARE:
            await anyio.sleep(self.random_source.uniform(0, 2))
            await self.cluster.cancel(job_id)

    async def inject(self, seconds: float) -> None:
        """Inject faults until the time is over; they come in series and overlap."""
        end = anyio.current_time() + seconds
        with self.freezer.installed():
            await self.inject_until(end)

    def draw_plan(self) -> tuple[Sequence[str], float]:
        """Return the kinds of faults of a run, and how many it has a second.

        Half of the runs have few faults, most of them partitions: a partition in which
        another fault stops all nodes shows little.
        """
        source = self.random_source
        if source.random() >= 0.5:
            return self.fault_names, self.fault_rate
        names = [*source.sample(PARTITIONS, 2), source.choice(self.fault_names)]
        self.note(f"only {names}")
        return names, self.fault_rate * FEW_FAULTS_SHARE

    async def inject_until(self, end: float) -> None:
        """Inject the faults of the plan and wait until they are over."""
        source = self.random_source
        names, rate = self.draw_plan()
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                await anyio.sleep(source.expovariate(rate))
                fault = source.choice(names)
                lasts = source.uniform(0.3, 6.0)
                self.note(f"{fault} {lasts:.2f}")
                group.start_soon(self.play, fault, lasts)

    def note(self, text: str) -> None:
        """Note an event."""
        self.faults.append(f"{anyio.current_time():.2f} {text}")

    def draw_executor(self):
        """Return one of the executors."""
        return self.random_source.choice(self.cluster.list_staying())

    async def play(self, fault: str, lasts: float) -> None:
        """Play one fault and undo it."""
        cluster = self.cluster
        source = self.random_source
        name = source.choice(sorted(cluster.nodes))
        if fault == "kill_node":
            owner = cluster.owner_node()
            names = [owner.name if owner else name]
            await cluster.restart_nodes(names, lasts / 3)
        elif fault == "kill_all_nodes":
            await cluster.restart_nodes(sorted(cluster.nodes), lasts / 3)
        elif fault == "crash_executor":
            await self.crash(self.draw_executor(), lasts)
        elif fault == "cut_executor":
            executor_id = self.draw_executor().executor_id
            faults = cluster.nodes[name].faults
            faults.cut_executors.add(executor_id)
            await anyio.sleep(lasts)
            faults.cut_executors.discard(executor_id)
        elif fault == "drain_executor":
            model = self.draw_executor()
            cluster.register(model, draining=True)
            await anyio.sleep(lasts)
            cluster.register(model)
        elif fault == "deal_anew":
            group = cluster.store.group("cells")
            if group.members:
                group.deal(shift=source.randint(0, 2))
        elif fault in ("isolate_owner", "late_messages", "start_in_partition"):
            await self.isolate_owner(fault, lasts)
        elif fault == "stranger":
            await self.isolate_others(lasts)
        elif fault == "pause_owner":
            await self.pause_owner()
        elif fault == "forget_history":
            cluster.store.forget_history(ENTRIES_TOPIC)
        elif fault == "hang_tasks":
            for run in self.draw_executor().runs.values():
                if run.how != "stopped":
                    run.ends_at = float("inf")
        else:
            one = fault == "store_refuses_one"
            nodes = [cluster.nodes[name]] if one else list(cluster.nodes.values())
            await self.disturb(fault, lasts, nodes)

    async def disturb(self, fault: str, lasts: float, nodes: list[MemoryNode]) -> None:
        """Disturb calls of nodes to the store, executors or the policy service."""
        field, value, usual = NODE_FAULTS[fault]
        for node in nodes:
            setattr(node.faults, field, value)
        await anyio.sleep(lasts)
        for node in nodes:
            setattr(node.faults, field, usual)

    @contextmanager
    def partitioned(self, inside: set[str], links: bool = False) -> Iterator[Partition]:
        """Cut nodes off from the store and from most executors; see ``Partition``."""
        models = self.cluster.list_staying()
        chosen = self.random_source.sample(models, self.random_source.randint(1, 2))
        reached = {model.executor_id for model in chosen}
        self.note(f"cut off {sorted(inside)}, reach {sorted(reached)}, links {links}")
        with self.cluster.partitioned(inside, reached, not links) as partition:
            yield partition
            self.note("rejoined")

    async def isolate_owner(self, fault: str, lasts: float) -> None:
        """Cut the owner off; it gets messages late, or a node starts meanwhile."""
        owner = self.cluster.owner_node()
        if owner is None:
            return
        if fault == "late_messages" or self.random_source.random() < 0.5:
            lasts += LONG_PARTITION_S
        before_s = lasts * self.random_source.uniform(0.1, 0.9)
        with self.partitioned({owner.name}) as partition:
            await anyio.sleep(before_s)
            if fault == "late_messages":
                self.note(f"{owner.name} receives")
                self.cluster.peers.open_inward(partition)
            elif fault == "start_in_partition":
                self.start_node(partition)
            await anyio.sleep(lasts - before_s)

    def start_node(self, partition: Partition) -> None:
        """Start a new node on a side of a partition, or restart another."""
        source, nodes = self.random_source, self.cluster.nodes
        name = source.choice([*sorted(nodes), f"new{len(nodes)}"])
        if name in nodes:
            nodes[name].kill()
        elif source.random() < 0.5:
            partition.inside.add(name)
        self.note(f"start {name}, cut off: {name in partition.inside}")
        self.cluster.add_node(name)

    async def isolate_others(self, lasts: float) -> None:
        """Let a node lose the owner and be the only one that reaches the store."""
        owner, names = self.cluster.owner_node(), set(self.cluster.nodes)
        others = sorted(names - {owner.name} if owner is not None else names)
        if not others:
            return
        name = self.random_source.choice(others)
        links = self.random_source.random() < 0.5
        with self.cluster.partitioned({name}):
            await anyio.sleep(STRANGER_S)
        with self.partitioned(set(self.cluster.nodes) - {name}, links):
            await anyio.sleep(LONG_PARTITION_S + lasts)

    async def pause_owner(self) -> None:
        """Let all tasks of the owner's process stand still."""
        owner = self.cluster.owner_node()
        if owner is None or owner.pause.count:
            return
        lasts = self.random_source.uniform(*PAUSE_S)
        self.note(f"pause {owner.name} {lasts:.2f}")
        owner.pause.begin()
        self.freezer.freeze(owner.process)
        try:
            await anyio.sleep(lasts)
        finally:
            self.freezer.thaw(owner.process)
            owner.pause.end()

    async def crash(self, model, lasts: float) -> None:
        """Crash an executor; it starts again under the same id."""
        if not model.is_up:
            return
        model.crash()
        await anyio.sleep(lasts)
        model.start_incarnation()
        self.cluster.register(model)

    async def watch_cancelled(self, seconds: float) -> None:
        """Check that tasks of cancelled jobs are gone after a while."""
        end = anyio.current_time() + seconds + WATCH_S
        while anyio.current_time() < end:
            await anyio.sleep(1.0)
            now = anyio.current_time()
            cancelled = self.cluster.world.cancelled
            for model in self.cluster.executors.values():
                model.advance()
                for run in model.runs.values():
                    since = cancelled.get(run.task.partition(".")[0], now)
                    if now - since > WATCH_S:
                        self.cluster.world.violate("UNASKED", f"{run.task} runs on")

    async def settle(self) -> None:
        """Check that all accepted jobs end once the faults are over."""
        deadline = anyio.current_time() + SETTLE_S
        for job_id in self.accepted:
            # Jobs that ended are forgotten while one is waited for that never can.
            usual = deadline - anyio.current_time()
            left = max(1.0, usual if self.can_fit(job_id) else 0.0)
            phase = await self.cluster.wait_final(job_id, left)
            world = self.cluster.world
            if phase is None:
                world.violate("LOST", f"{job_id} is not known")
            elif not phase.is_final and self.can_fit(job_id):
                world.violate("LOST", f"{job_id} is still {phase}")
            elif phase is JobPhase.CANCELLED and job_id not in world.cancelled:
                continue
            elif phase is JobPhase.FAILED and not self.has_failed_task(job_id):
                if not world.may_be_given_up(job_id):
                    world.violate("LOST", f"{job_id} shown as failed without cause")
                elif not world.is_deadly(job_id):
                    world.violate("LOST", f"{job_id} failed by another's crashes")
        # A task may go on for a moment after its job's cancel.
        await anyio.sleep(CANCEL_S)
        for job_id in self.cluster.world.cancelled:
            for model in self.cluster.executors.values():
                model.advance()
                if any(run.task.startswith(job_id) for run in model.runs.values()):
                    self.cluster.world.violate("UNASKED", f"{job_id} runs on")

    def can_fit(self, job_id: str) -> bool:
        """Tell whether the gangs of a job fit on the executors that policy allows."""
        cluster = self.cluster
        for number, step in enumerate(cluster.world.jobs[job_id].steps):
            name = f"{job_id}.0.{number}"
            allowed = [
                model
                for model in cluster.executors.values()
                if not cluster.policy or cluster.policy.allows(name, model.executor_id)
            ]
            room = sum(model.cpu_millis // step.cpu_millis for model in allowed)
            if step.gang and room < step.task_count:
                return False
        return True

    def report(self, seed: int) -> dict[str, object]:
        """Return what was seen."""
        world = self.cluster.world
        return {
            "seed": seed,
            "faults": len(self.faults),
            "steps": self.steps,
            "accepted": len(self.accepted),
            "starts": sum(world.starts.values()),
            "given_up": self.cluster.metrics.counters["cell.jobs.given_up"],
            "deadly": len(world.deadly),
            "invariant_violations": len(world.violations),
            "trace": self.faults if world.violations else [],
            "violations": world.violations[:10],
        }

    def has_failed_task(self, job_id: str) -> bool:
        """Tell whether a task of a job has used up its attempts."""
        return any(
            name.startswith(job_id) and count >= MAX_ATTEMPTS
            for name, count in self.cluster.world.failed_runs.items()
        )


def draw_deadly_behaviour(seed: int, usual: BehaviourFactory) -> BehaviourFactory:
    """Return a behaviour in which the first task of some jobs is deadly.

    The draw has a source of its own, so that it changes no other draw of the seed.
    """

    def behave(task: str, attempt: int) -> TaskBehaviour:
        behaviour = usual(task, attempt)
        job_id, _, place = task.partition(".")
        source = random.Random(f"deadly/{seed}/{job_id}")
        if place == "0.0.0" and source.random() < DEADLY_SHARE:
            after_s = source.choice((0.0, source.uniform(0.1, MAX_DEADLY_S)))
            behaviour.crashes_after_s = after_s
            behaviour.work_s = max(behaviour.work_s, after_s + 1.0)
            behaviour.how = "done"
        return behaviour

    return behave


def draw_long_behaviour(
    seed: int,
    usual: BehaviourFactory,
    share: float = LONG_SHARE,
    longer_s: tuple[float, float] = LONG_S,
) -> BehaviourFactory:
    """Return a behaviour in which some attempts work for longer than a lease lasts."""

    def behave(task: str, attempt: int) -> TaskBehaviour:
        behaviour = usual(task, attempt)
        source = random.Random(f"long/{seed}/{task}/{attempt}")
        if source.random() < share:
            behaviour.work_s += source.uniform(*longer_s)
        return behaviour

    return behave


async def run_deadly_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed with jobs that crash executors, and return what was seen."""
    behave = random_behaviour(seed, 0.8, 0.05)
    deadly = draw_deadly_behaviour(seed, behave)
    return await run_cell_soak(seed, seconds, behave=deadly)


class PartitionSoak(CellSoak):
    """Drive load and partitions, most of them with a node that nobody has followed.

    A task that runs twice shows only if it outlasts the partition, the takeover and the
    wait of the next owner. Five nodes may have an owner that keeps its quorum without
    the node that takes over.
    """

    __slots__ = ()

    node_counts = (5,)
    fault_rate = PARTITION_RATE
    fault_names = ("stranger", "stranger", *PARTITIONS)

    def draw_plan(self) -> tuple[Sequence[str], float]:
        """Return the kinds of faults of a run, and how many it has a second."""
        return self.fault_names, self.fault_rate


async def run_partition_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed with partitions and long work, and return what was seen."""
    usual = random_behaviour(seed, 0.8, 0.05)
    behave = draw_long_behaviour(seed, usual, LONGER_SHARE, LONGER_S)
    return await run_cell_soak(seed, seconds, PartitionSoak, behave)


async def run_cell_soak(
    seed: int,
    seconds: float,
    soak_class: type[CellSoak] = CellSoak,
    behave: BehaviourFactory | None = None,
    link_mbps: float | None = None,
) -> dict[str, object]:
    """Run one seed and return what was seen."""
    usual = draw_long_behaviour(seed, random_behaviour(seed, 0.8, 0.05))
    world = World(behave or usual, MAX_ATTEMPTS)
    async with anyio.create_task_group() as group:
        policy_share = 0.6 if seed % 2 else None
        counts = soak_class.node_counts
        nodes = counts[seed // 2 % len(counts)]
        cluster = MemoryCluster(
            world, group, nodes, EXECUTORS, 8_000, policy_share, seed, link_mbps
        )
        soak = soak_class(cluster, cluster.random_source, seed)
        async with anyio.create_task_group() as load:
            load.start_soon(soak.send_load, seconds)
            load.start_soon(soak.inject, seconds)
            load.start_soon(soak.watch_cancelled, seconds)
        await soak.settle()
        group.cancel_scope.cancel()
    return soak.report(seed)


def make_command(
    run: Callable[..., Awaitable[dict[str, object]]],
    seconds: float,
    *params: click.Option,
) -> click.Command:
    """Return a command that prints one line a seed; ``run`` gets further options."""

    @click.command()
    @click.option("--seed", default=7, help="First seed.")
    @click.option("--seeds", default=1, help="Number of seeds.")
    @click.option("--seconds", default=seconds, help="Simulated seconds of load.")
    def main(seed: int, seeds: int, seconds: float, **options: object) -> None:
        """Run seeds one after the other; exit with 1 if a check has failed."""
        failed = False
        run_seed = functools.partial(run, **options)
        for each in range(seed, seed + seeds):
            result = run_on_mock_clock(run_seed, each, seconds, seed=each)
            failed = failed or bool(result["invariant_violations"])
            click.echo(json.dumps(result))
        sys.exit(1 if failed else 0)

    main.params.extend(params)
    return main


main = make_command(
    run_cell_soak,
    30.0,
    click.Option(["--link-mbps"], type=float, help="Rate of the link of each node."),
)

if __name__ == "__main__":
    main()
