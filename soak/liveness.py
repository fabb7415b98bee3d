"""Randomised runs of one cell that check that what fits starts within a bound.

Run with ``python -m soak.liveness --seed N --seeds N --seconds N``.
"""

import json
import math
import random
import sys

import anyio
import click
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.orders import GANG_START_S
from gypsumring.dispatch.advisers import SHORT_SHARE
from gypsumring.dispatch.asking import choose_call_size
from gypsumring.dispatch.backlog import MAX_LOOK_S
from gypsumring.fleet import LATE_ORDER_S
from gypsumring.fleet.health import MAX_QUARANTINE_S
from gypsumring.pipelines import PolicyTiming, Queue, StepSpec
from gypsumring.utils.testing import run_on_mock_clock
from soak.waiting import (
    OpenStep,
    explain_step,
    is_half_free,
    list_leftovers,
    list_open_steps,
)
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import ExecutorModel, Trouble
from stand_ins.platform.policy import PolicyModel, PolicyRule
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["LivenessSoak", "run_liveness_soak"]

CORES, MEMORY_MB, RACK_SIZE = 32, 131_072, 12
MAX_ATTEMPTS = 3
FAILED_SHARE = 0.02
CANCEL_SHARE = 0.1
# Priority, rate in jobs a second, rule of the policy.
QUEUES = {
    "gangs": (1, 0.4, PolicyRule(0.3, PolicyTiming(0.559, 0.00806, 2.0))),
    "wide": (2, 0.5, PolicyRule(0.45, PolicyTiming(0.156, 0.00234, 2.0))),
    "small": (0, 5.0, PolicyRule(0.7, PolicyTiming(0.00936, 0.00013, 2.0))),
}
SAMPLE_S = 0.25
LONGEST_WORK_S = 8.0
# Within this time after the last fault beliefs about executors are renewed: the last
# task ends, and the executor on which it failed rests; or a late order is over.
BELIEF_S = max(LONGEST_WORK_S + MAX_QUARANTINE_S, LATE_ORDER_S)
IDLE_S = 30.0
SETTLE_S = 900.0
# A step with room for twice its tasks starts within this time on a calm cell.
START_S = 3.0
# At most this share of the executors stays sick; each try may meet others of them.
MAX_SICK = 4
SICK_TRIES = 3
LASTING_TROUBLES = (Trouble.ORDERS, Trouble.UNHEALTHY, Trouble.FAILING)
FAULTS = (
    "kill_owner",
    "kill_all",
    "kill_adviser",
    "deal_anew",
    "store_away",
    "lost_share",
    "late_share",
    "policy_busy",
    "advice_lost_share",
    "advice_late_s",
    "cut_executor",
    "flap_executor",
    "crash_executor",
    "crash_rack",
    "drain_executor",
    "replace_executor",
    "trouble",
    "trouble",
    "change_queues",
    "drop_queue",
)
SWITCHES = {
    "store_away": True,
    "lost_share": 0.2,
    "late_share": 0.2,
    "policy_busy": True,
    "advice_lost_share": 0.7,
    "advice_late_s": 2.5,
}


def draw_step(queue: str, source: random.Random) -> StepSpec:
    """Return a step of the kind of work that a queue takes."""
    if queue == "gangs":
        return StepSpec(
            task_count=min(60, max(2, round(source.lognormvariate(2.2, 0.8)))),
            cpu_millis=source.randint(7_000, 15_000),
            memory_mb=source.randint(20, 65) * 1_000,
            estimated_ms=5_000,
            gang=True,
        )
    if queue == "wide":
        return StepSpec(
            task_count=25,
            cpu_millis=3_500,
            memory_mb=4_000,
            estimated_ms=3_400,
            max_per_executor=source.choice((0, 1, 2, 4)),
        )
    gang = source.random() < 0.2
    return StepSpec(
        task_count=3 if gang else source.randint(1, 3),
        cpu_millis=source.choice((1_000, 2_800)),
        memory_mb=1_000,
        estimated_ms=640,
        gang=gang,
    )


def make_queues(source: random.Random) -> tuple[Queue, ...]:
    """Return the queues of one version of the desired state."""
    return tuple(
        Queue(
            name=name,
            host="h",
            path_prefix=f"/{name}/",
            service="svc",
            priority=priority,
            max_attempts=MAX_ATTEMPTS,
            stretch=source.choice((1.5, 2.0, 4.0)),
            policy=rule.timing,
        )
        for name, (priority, _, rule) in QUEUES.items()
    )


class LivenessSoak:
    """Drive load and faults from one seed, then wait for all that fits."""

    def __init__(self, cluster: MemoryCluster, source: random.Random, seconds: float):
        self.cluster = cluster
        self.source = source
        self.end = anyio.current_time() + seconds
        self.accepted: list[str] = []
        self.events: list[str] = []
        # Ids of executors that have left for good.
        self.gone: set[str] = set()
        self.state: dict[str, object] = {}

    async def send(self, queue: str, rate: float) -> None:
        """Submit jobs of one queue until the load ends."""
        source = random.Random(f"{queue}/{self.source.random()}")
        number = 0
        async with anyio.create_task_group() as group:
            while anyio.current_time() < self.end:
                number += 1
                steps = [draw_step(queue, source)]
                if queue == "wide" and source.random() < 0.3:
                    again = msgspec.structs.replace(steps[0], after=(0,))
                    steps.append(again)
                job_id = f"{list(QUEUES).index(queue):04x}{number:012x}"
                cancel = source.random() < CANCEL_SHARE
                job = make_job(job_id, *steps, queue=queue)
                if self.cluster.desired.find_queue(queue) is not None:
                    group.start_soon(self.send_one, job, cancel, source.uniform(0, 6))
                await anyio.sleep(source.expovariate(rate))

    async def send_one(self, job, cancel: bool, pause_s: float) -> None:
        """Submit one job, and cancel it after a while."""
        if await self.cluster.submit(job) is not Outcome.OK:
            return
        self.accepted.append(job.job_id)
        if cancel:
            await anyio.sleep(pause_s)
            await self.cluster.cancel(job.job_id)

    async def inject(self) -> None:
        """Inject faults until the load ends; they come in series and overlap."""
        async with anyio.create_task_group() as group:
            while anyio.current_time() < self.end:
                fault = self.source.choice(FAULTS)
                left = self.end - anyio.current_time()
                lasts = min(self.source.uniform(0.3, 8.0), left)
                group.start_soon(self.play, fault, lasts)
                await anyio.sleep(self.source.expovariate(0.8))
        if self.source.random() < 0.5:
            await self.play("kill_all", 1.5)
        if self.source.random() < 0.5:
            self.sicken()

    def sicken(self) -> None:
        """Let a few executors stay sick after the load."""
        count = self.source.randint(1, MAX_SICK)
        for model in self.source.sample(self.staying(), count):
            model.trouble = self.source.choice(LASTING_TROUBLES)
            self.events.append(
                f"{anyio.current_time():.2f} stays {model.trouble.value} "
                f"{model.executor_id}"
            )

    async def play(self, fault: str, lasts: float) -> None:
        """Play one fault and undo it."""
        cluster, source = self.cluster, self.source
        names = sorted(cluster.nodes)
        owner = cluster.owner_node()
        model = source.choice(self.staying())
        on = model.executor_id if "executor" in fault or fault == "trouble" else ""
        self.events.append(f"{anyio.current_time():.2f} {fault} {lasts:.2f} {on}")
        if fault in SWITCHES:
            few = source.sample(names, source.randint(1, len(names)))
            await self.switch(few, fault, lasts)
        elif fault == "kill_all":
            await self.restart(names, lasts / 3)
        elif fault in ("kill_owner", "kill_adviser"):
            own = owner is not None and fault == "kill_owner"
            await self.restart([owner.name if own else source.choice(names)], lasts / 3)
        elif fault == "deal_anew":
            cluster.store.group("cells").deal(shift=source.randint(0, 2))
        elif fault == "cut_executor":
            await self.cut(model, lasts)
        elif fault == "flap_executor":
            for _ in range(4):
                await self.cut(model, lasts / 8)
                await anyio.sleep(lasts / 8)
        elif fault == "crash_executor":
            await self.crash([model], lasts)
        elif fault == "crash_rack":
            rack = model.labels
            models = [each for each in self.staying() if each.labels == rack]
            await self.crash(models, lasts)
        elif fault == "drain_executor":
            cluster.register(model, draining=True)
            await anyio.sleep(lasts)
            if model.executor_id not in self.gone:
                cluster.register(model)
        elif fault == "replace_executor":
            await self.replace(model, lasts)
        elif fault == "trouble":
            kinds = [each for each in Trouble if each is not Trouble.NONE]
            model.trouble = source.choice(kinds)
            self.events[-1] += f" {model.trouble.value}"
            await anyio.sleep(lasts)
            model.trouble = Trouble.NONE
        else:
            await self.change_queues(fault == "drop_queue", lasts)

    def staying(self) -> list[ExecutorModel]:
        """Return the executors that have not left, in the order of their ids."""
        models = self.cluster.executors
        return [models[each] for each in sorted(models) if each not in self.gone]

    async def switch(self, names: list[str], field: str, lasts: float) -> None:
        """Switch a fault of the calls of some nodes on and off."""
        switched = [self.cluster.nodes[name].faults for name in names]
        for faults in switched:
            setattr(faults, field, SWITCHES[field])
        await anyio.sleep(lasts)
        for faults in switched:
            setattr(faults, field, type(SWITCHES[field])())

    async def cut(self, model: ExecutorModel, lasts: float) -> None:
        """Let no node reach an executor."""
        for node in self.cluster.nodes.values():
            node.faults.cut_executors.add(model.executor_id)
        await anyio.sleep(lasts)
        for node in self.cluster.nodes.values():
            node.faults.cut_executors.discard(model.executor_id)

    async def restart(self, names: list[str], pause_s: float) -> None:
        """Kill nodes and start them again."""
        for name in names:
            self.cluster.nodes[name].kill()
        await anyio.sleep(pause_s)
        for name in names:
            if self.cluster.nodes[name].killed.is_set():
                self.cluster.add_node(name)

    async def crash(self, models: list[ExecutorModel], lasts: float) -> None:
        """Crash executors; they start again under the same ids."""
        models = [model for model in models if model.is_up]
        for model in models:
            model.crash()
        await anyio.sleep(lasts)
        for model in models:
            model.start_life()
            self.cluster.register(model)

    async def replace(self, model: ExecutorModel, lasts: float) -> None:
        """Let an executor drain and leave, and another come under a new id."""
        self.cluster.register(model, draining=True)
        await anyio.sleep(lasts)
        if not model.is_up:
            return
        model.crash()
        self.gone.add(model.executor_id)
        self.cluster.store.append("executors", 0, [(model.executor_id, b"")], None)
        name = f"{model.executor_id}n"
        add_executor(self.cluster, name, model.labels)

    async def change_queues(self, drop: bool, lasts: float) -> None:
        """Put a new version of the queues in force; one of them may be dropped."""
        desired = self.cluster.desired
        queues = make_queues(self.source)
        if drop:
            gone = self.source.choice(queues)
            queues = tuple(each for each in queues if each is not gone)
            self.events[-1] += f" {gone.name}"
        self.cluster.desired = msgspec.structs.replace(
            desired, version=desired.version + 1, queues=queues
        )
        await anyio.sleep(lasts)

    def start_bound_s(self, steps: list[OpenStep]) -> float:
        """Return the time in which one of the steps that fit has to start.

        All executors are asked about, then tickets renewed, each time behind one call
        of each other step at the nodes that may carry long calls. Work that runs, and
        one start of a gang that is not complete, lie ahead.
        """
        cluster = self.cluster
        calls_s, rounds = 0.0, 1
        for step in steps:
            rule = cluster.policy.rule_for(step.name)
            size = choose_call_size(rule.timing)
            calls_s += rule.timing.call_s(size)
            rounds = max(rounds, 1 + math.ceil(len(cluster.executors) / size))
        nodes = len(cluster.nodes) - int(len(cluster.nodes) * 0.34)
        asking_s = rounds * (calls_s / nodes + MAX_LOOK_S)
        return asking_s + LONGEST_WORK_S + 2 * GANG_START_S

    def prompt_bound_s(self, step: OpenStep) -> float:
        """Return the time in which a step with ample room has to start."""
        cluster = self.cluster
        timing = cluster.policy.rule_for(step.name).timing
        size = choose_call_size(timing)
        live = sum(not node.killed.is_set() for node in cluster.nodes.values())
        nodes = live - int(live * SHORT_SHARE)
        calls = math.ceil(len(cluster.executors) / size)
        advice_s = math.ceil(calls / nodes) * timing.call_s(size)
        bound = START_S if advice_s <= START_S else 2 * advice_s + GANG_START_S
        if any(model.trouble is not Trouble.NONE for model in self.staying()):
            stop_s = max(model.stop_s for model in self.staying())
            bound += SICK_TRIES * (GANG_START_S + stop_s + advice_s)
        return bound

    def check_prompt(self, rows, since: dict, now: float) -> bool:
        """Check steps with room for twice what they miss; tell whether one is late."""
        ample = {}
        if is_half_free(self.cluster):
            for step, missing in rows:
                if missing and step.has_ample_room() and not step.is_withheld():
                    ample[step.name, len(step.missing)] = step
        for key in set(since) - set(ample):
            del since[key]
        for key, step in ample.items():
            bound = self.prompt_bound_s(step)
            if now - since.setdefault(key, now) > bound:
                self.violate("PROMPT", step.name, f"waits for more than {bound:.1f} s")
                return True
        return False

    async def settle(self) -> None:
        """Check that one of the steps that fit starts, until none is left."""
        cluster = self.cluster
        quiet_at = anyio.current_time() + BELIEF_S
        waits_since: dict[str, float] = {}
        seen: set[str] = set()
        progress_at = quiet_at
        ample_since: dict = {}
        while anyio.current_time() < quiet_at + SETTLE_S:
            for model in cluster.executors.values():
                model.advance()
            rows = list(list_open_steps(cluster, self.accepted))
            now = anyio.current_time()
            if self.check_prompt(rows, ample_since, now):
                return
            present = {step.name for step, missing in rows if not missing}
            present |= {task for step, _ in rows for task in step.present}
            if present - seen:
                progress_at = max(now, quiet_at)
            seen |= present
            fitting = [step for step, missing in rows if missing and step.fits()]
            running = any(model.runs for model in cluster.executors.values())
            if not running and not any(step.fits(empty=True) for step, _ in rows):
                return
            waits_since = {
                step.name: max(waits_since.get(step.name, now), quiet_at)
                for step in fitting
            }
            bound = self.start_bound_s([step for step, missing in rows if missing])
            for name, since in waits_since.items():
                if now - max(since, progress_at) > bound:
                    self.violate("START", name, f"waits for more than {bound:.1f} s")
                    return
            await anyio.sleep(SAMPLE_S)
        self.violate("START", rows[0][0].name, "the cell does not settle")

    def violate(self, rule: str, name: str, text: str) -> None:
        """Note a violation and what the owner knows about the step."""
        self.cluster.world.violate(rule, f"{name} {text}")
        if name:
            self.state[name] = explain_step(self.cluster, name)

    async def check_leftovers(self) -> None:
        """Check that an idle owner keeps nothing."""
        for model in self.cluster.executors.values():
            model.trouble = Trouble.NONE
        await anyio.sleep(IDLE_S)
        rows = list(list_open_steps(self.cluster, self.accepted))
        node = self.cluster.owner_node()
        for each in list_leftovers(node.owner(), {step.name for step, _ in rows}):
            self.violate("KEPT", "", each)


def add_executor(cluster: MemoryCluster, name: str, labels: tuple[str, ...]) -> None:
    """Add an executor of the usual size."""
    model = ExecutorModel(cluster.world, name, CORES * 1000, len(name) % 3 * 0.01)
    model.memory_mb = MEMORY_MB
    model.labels = labels
    model.tickets = {}
    cluster.add_executor(model)


async def run_liveness_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed and return what was seen."""
    source = random.Random(seed)
    soak = None

    def behave(task: str, attempt: int) -> TaskBehaviour:
        draw = random.Random(f"{seed}/{task}/{attempt}")
        step = world.jobs[task.partition(".")[0]].steps[0]
        work_s = min(LONGEST_WORK_S, step.estimated_ms / 1000 * draw.uniform(0.5, 1.6))
        failing = draw.random() < FAILED_SHARE and anyio.current_time() < soak.end
        return TaskBehaviour(work_s, "failed" if failing else "done")

    world = World(behave, MAX_ATTEMPTS)
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, nodes=0, executors=0, seed=seed)
        for number in range(source.randint(40, 60)):
            rack = (f"rack-{number // RACK_SIZE}",)
            add_executor(cluster, f"i-{number:02}", rack)
        models = list(cluster.executors.values())
        cluster.policy = PolicyModel(models, 0.3, 2.0, seed=seed)
        cluster.policy.rules = {name: rule for name, (_, _, rule) in QUEUES.items()}
        cluster.desired = msgspec.structs.replace(
            cluster.desired, queues=make_queues(source)
        )
        for number in range(source.randint(3, 12)):
            cluster.add_node(f"n{number:02}")
        load = source.choice((0.5, 1.0, 2.0))
        soak = LivenessSoak(cluster, source, seconds)
        async with anyio.create_task_group() as senders:
            for queue, (_, rate, _) in QUEUES.items():
                senders.start_soon(soak.send, queue, rate * load)
            senders.start_soon(soak.inject)
        await soak.settle()
        if not world.violations:
            await soak.check_leftovers()
        group.cancel_scope.cancel()
    return {
        "seed": seed,
        "nodes": len(cluster.nodes),
        "executors": len(cluster.executors),
        "faults": len(soak.events),
        "accepted": len(soak.accepted),
        "starts": sum(world.starts.values()),
        "seconds": round(anyio.current_time(), 1),
        "violations": world.violations[:10],
        "events": soak.events if world.violations else [],
        "state": soak.state,
    }


@click.command()
@click.option("--seed", default=7, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--seconds", default=20.0, help="Simulated seconds of load and faults.")
def main(seed: int, seeds: int, seconds: float) -> None:
    """Run seeds one after the other; exit with 1 if a check has failed."""
    failed = False
    for each in range(seed, seed + seeds):
        result = run_on_mock_clock(run_liveness_soak, each, seconds, seed=each)
        failed = failed or bool(result["violations"])
        click.echo(json.dumps(result))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
