"""Randomised runs of one cell that check that what fits starts within a bound.

Run with ``python -m soak.liveness --seed N --seeds N --seconds N``.
"""

import math
import random
from collections.abc import Sequence

import anyio
import msgspec

from gypsumring.cell.gang_starts import GANG_START_TIMEOUT_S
from gypsumring.dispatch.asking import choose_call_size
from gypsumring.dispatch.backlog import MAX_EVALUATION_PERIOD_S
from gypsumring.dispatch.policy_proxies import SHORT_CALL_NODE_SHARE
from gypsumring.fleet import MAX_ORDER_DELAY_S
from gypsumring.fleet.health import MAX_QUARANTINE_S
from gypsumring.pipelines import DesiredState, PipelineSpec, PolicyTiming, StepSpec
from soak.cells import CellSoak, make_command
from soak.waiting import OpenStep, explain_step, list_leftovers, list_open_steps
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import Trouble
from stand_ins.platform.policy import PolicyRule
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["LivenessSoak", "run_liveness_soak"]

CORES, MEMORY_MB, RACK_SIZE = 32, 131_072, 12
# Priority, weight in the draw of jobs, rule of the policy.
QUEUES = {
    "gangs": (1, 0.4, PolicyRule(0.3, PolicyTiming(0.559, 0.00806, 2.0))),
    "wide": (2, 0.5, PolicyRule(0.45, PolicyTiming(0.156, 0.00234, 2.0))),
    "small": (0, 5.0, PolicyRule(0.7, PolicyTiming(0.00936, 0.00013, 2.0))),
}
LONGEST_WORK_S = 8.0
# Within this time after the last fault the recorded states of executors are renewed:
# the last task ends, and the executor on which it failed backs off; or no late order
# can be carried out any more.
BELIEF_S = max(LONGEST_WORK_S + MAX_QUARANTINE_S, MAX_ORDER_DELAY_S)
SAMPLE_S, IDLE_S, SETTLE_S = 0.25, 30.0, 900.0
# A step with free capacity for twice its tasks starts within this time on a calm cell.
START_S = 3.0
# At most so many executors stay sick; each try may meet others of them.
MAX_SICK, SICK_TRIES = 4, 3
LASTING_TROUBLES = (Trouble.ORDERS, Trouble.UNHEALTHY, Trouble.FAILING)
# A start without an answer is given up once no late copy of it can be carried out, and
# the executor has told in a list what runs there.
UNANSWERED_START_S = MAX_ORDER_DELAY_S + 5.0
# One of so many seeds has only failed calls for advice: with few other faults, steps
# whose calls have failed still wait at the same owner when the faults are over.
ADVICE_SEEDS = 4
ADVICE_FAULTS = ("policy_busy", "advice_lost", "advice_late")
FAULTS = (
    *CellSoak.fault_names,
    *ADVICE_FAULTS,
    *("trouble", "trouble", "trouble"),
    *("replace_executor", "drop_queue"),
)


def draw_step(queue: str, source: random.Random) -> StepSpec:
    """Return a step of the kind of work that a queue takes."""
    gang, limit = queue == "gangs", 0
    if gang:
        count = min(60, max(2, round(source.lognormvariate(2.2, 0.8))))
        cpu_millis, estimated_ms = source.randint(7_000, 15_000), 5_000
        memory_mb = source.randint(20, 65) * 1_000
    elif queue == "wide":
        count, cpu_millis, memory_mb, estimated_ms = 25, 3_500, 4_000, 3_400
        limit = source.choice((0, 1, 2, 4))
    else:
        gang = source.random() < 0.2
        count = 3 if gang else source.randint(1, 3)
        cpu_millis, memory_mb, estimated_ms = source.choice((1_000, 2_800)), 1_000, 640
    return StepSpec(
        task_count=count,
        cpu_millis=cpu_millis,
        memory_mb=memory_mb,
        estimated_ms=estimated_ms,
        gang=gang,
        max_per_executor=limit,
    )


def change_queues(
    desired: DesiredState, source: random.Random, gone: str = ""
) -> DesiredState:
    """Return a desired state with new forms of the queues, without one of them."""
    queues = tuple(
        msgspec.structs.replace(
            desired.queues[0],
            name=name,
            path_prefix=f"/{name}/",
            priority=priority,
            stretch=source.choice((1.5, 2.0, 4.0)),
            policy=rule.timing,
        )
        for name, (priority, _, rule) in QUEUES.items()
        if name != gone
    )
    return msgspec.structs.replace(desired, version=desired.version + 1, queues=queues)


class LivenessSoak(CellSoak):
    """Drive load and faults from one seed, then wait for all that fits."""

    __slots__ = ("job_rate", "state", "waits")

    fault_rate = 0.8
    fault_names = FAULTS

    def __init__(self, cluster: MemoryCluster, random_source: random.Random, seed: int):
        super().__init__(cluster, random_source, seed)
        # Since when steps wait that have to start, and how much longer they may.
        self.waits: dict[tuple[str, str, int], list[float]] = {}
        self.state: dict[str, object] = {}
        self.job_rate = random_source.choice((3.0, 6.0, 12.0))

    def draw_plan(self) -> tuple[Sequence[str], float]:
        """Return the kinds of faults of a run, and how many it has a second."""
        if self.seed % ADVICE_SEEDS == ADVICE_SEEDS - 1:
            return ADVICE_FAULTS, self.fault_rate
        return super().draw_plan()

    def draw_job(self, job_id: str) -> PipelineSpec:
        """Return a new job of one of the queues in force."""
        source = self.random_source
        names = [queue.name for queue in self.cluster.desired.queues]
        [name] = source.choices(names, [QUEUES[each][1] for each in names])
        steps = [draw_step(name, source)]
        if name == "wide" and source.random() < 0.3:
            steps.append(msgspec.structs.replace(steps[0], after=(0,)))
        return make_job(job_id, *steps, queue=name)

    async def inject(self, seconds: float) -> None:
        """Inject faults until the time is over; some executors may stay sick."""
        await super().inject(seconds)
        source = self.random_source
        if source.random() < 0.5:
            self.note("kill_all_nodes")
            await self.play("kill_all_nodes", 1.5)
        if source.random() < 0.5:
            models = self.cluster.list_staying()
            for model in source.sample(models, source.randint(1, MAX_SICK)):
                model.trouble = source.choice(LASTING_TROUBLES)
                self.note(f"stays {model.trouble.value} {model.executor_id}")

    async def play(self, fault: str, lasts: float) -> None:
        """Play one fault and undo it."""
        cluster, source = self.cluster, self.random_source
        model = self.draw_executor()
        match fault:
            case "replace_executor":
                self.note(f"replace {model.executor_id}")
                cluster.register(model, draining=True)
                await anyio.sleep(lasts)
                if model.is_up:
                    cluster.remove_executor(model)
                    name = f"{model.executor_id}n"
                    cluster.add_executor(model.make_successor(name))
            case "trouble":
                kind, times = source.choice(list(Trouble)[1:]), source.choice((1, 1, 4))
                self.note(f"{kind.value} {model.executor_id} {times} times")
                for _ in range(times):
                    model.trouble = kind
                    await anyio.sleep(lasts / times / 2)
                    model.trouble = Trouble.NONE
                    await anyio.sleep(lasts / times / 2)
            case "drop_queue":
                gone = source.choice(list(QUEUES))
                self.note(f"drop {gone}")
                cluster.desired = change_queues(cluster.desired, source, gone)
            case "policy_busy" | "advice_lost" | "advice_late":
                nodes = sorted(cluster.nodes.values(), key=lambda node: node.name)
                few = source.sample(nodes, source.randint(1, len(nodes)))
                await self.disturb(fault, lasts, few)
            case _:
                await super().play(fault, lasts)

    def start_bound_s(self, steps: list[OpenStep]) -> float:
        """Return the time in which one of the steps that fit has to start."""
        # All executors are asked about, then tickets renewed, each time behind one call
        # of each other step at the nodes that may carry long calls. Work that runs, and
        # one start of a gang that is not complete, lie ahead.
        cluster = self.cluster
        calls_s, rounds = 0.0, 1
        for step in steps:
            rule = cluster.policy.rule_for(step.name)
            size = choose_call_size(rule.timing)
            calls_s += rule.timing.call_s(size)
            rounds = max(rounds, 1 + math.ceil(len(cluster.executors) / size))
        nodes = len(cluster.nodes) - int(len(cluster.nodes) * SHORT_CALL_NODE_SHARE)
        queries_s = rounds * (calls_s / nodes + MAX_EVALUATION_PERIOD_S)
        return queries_s + LONGEST_WORK_S + 2 * GANG_START_TIMEOUT_S

    def prompt_bound_s(self, step: OpenStep) -> float:
        """Return the time in which a step with ample free capacity has to start."""
        nodes, executors = self.cluster.nodes.values(), self.cluster.list_staying()
        timing = self.cluster.policy.rule_for(step.name).timing
        size = choose_call_size(timing)
        live = sum(not node.killed.is_set() for node in nodes)
        proxy_count = live - int(live * SHORT_CALL_NODE_SHARE)
        calls = math.ceil(len(executors) / size)
        policy_calls_s = math.ceil(calls / proxy_count) * timing.call_s(size)
        bound = (
            START_S
            if policy_calls_s <= START_S
            else 2 * policy_calls_s + GANG_START_TIMEOUT_S
        )
        if any(model.trouble is not Trouble.NONE for model in executors):
            bound += SICK_TRIES * (
                GANG_START_TIMEOUT_S + executors[0].stop_s + policy_calls_s
            )
        return bound

    def check_waits(self, steps: list[OpenStep], progress_at: float) -> None:
        """Check that no step has waited beyond its bound."""
        now = anyio.current_time()
        start_s = self.start_bound_s(steps)
        rows = [("START", 0, step, start_s) for step in steps if step.fits()]
        for step in steps:
            if step.has_ample_room():
                bound = self.prompt_bound_s(step)
                rows.append(("PROMPT", len(step.missing), step, bound))
        waits = {}
        for rule, count, step, bound in rows:
            key = (rule, step.name, count)
            wait = waits[key] = self.waits.get(key, [now, 0.0])
            if step.has_unanswered_start():
                wait[1] = UNANSWERED_START_S
            earliest = progress_at if rule == "START" else 0.0
            if now - max(wait[0], earliest) > bound + wait[1]:
                self.violate(rule, step.name, f"waits for more than {bound:.1f} s")
        self.waits = waits

    async def settle(self) -> None:
        """Check that the steps that fit start, until none is left."""
        cluster = self.cluster
        progress_at = quiet_at = anyio.current_time() + BELIEF_S
        seen: set[str] = set()
        while anyio.current_time() < quiet_at + SETTLE_S:
            for model in cluster.executors.values():
                model.advance()
            steps = list(list_open_steps(cluster, self.accepted))
            known = len(seen)
            seen.update(*(step.present for step in steps))
            if len(seen) > known:
                progress_at = max(anyio.current_time(), quiet_at)
            self.check_waits([step for step in steps if step.missing], progress_at)
            running = any(model.runs for model in cluster.executors.values())
            waits = running or any(step.fits(empty=True) for step in steps)
            if cluster.world.violations or not waits:
                return
            await anyio.sleep(SAMPLE_S)
        self.violate("START", steps[0].name, "the cell does not settle")

    def violate(self, rule: str, name: str, text: str) -> None:
        """Note a violation and what the owner knows about the step."""
        self.cluster.world.violate(rule, f"{name} {text}")
        self.state[name] = explain_step(self.cluster, name)

    async def check_leftovers(self) -> None:
        """Check that an idle owner keeps nothing."""
        for model in self.cluster.executors.values():
            model.trouble = Trouble.NONE
        await anyio.sleep(IDLE_S)
        steps = list_open_steps(self.cluster, self.accepted)
        owner = self.cluster.owner_node().owner()
        for each in list_leftovers(owner, {step.name for step in steps}):
            self.cluster.world.violate("KEPT", each)


def make_cluster(
    world: World, group: anyio.abc.TaskGroup, source: random.Random, seed: int
) -> MemoryCluster:
    """Return a cluster of the usual size."""
    count = source.randint(40, 60)
    cluster = MemoryCluster(world, group, 0, count, CORES * 1000, 0.3, seed)
    for number, model in enumerate(cluster.executors.values()):
        model.memory_mb = MEMORY_MB
        model.labels = (f"rack-{number // RACK_SIZE}",)
        model.tickets = {}
        cluster.register(model)
    cluster.shares_advice = True
    cluster.policy.seed = seed
    cluster.policy.rules = {name: rule for name, (_, _, rule) in QUEUES.items()}
    cluster.desired = change_queues(cluster.desired, source)
    for number in range(source.randint(3, 12)):
        cluster.add_node(f"n{number:02}")
    return cluster


async def run_liveness_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed and return what was seen."""
    source = random.Random(seed)

    def behave(task: str, attempt: int) -> TaskBehaviour:
        draw = random.Random(f"{seed}/{task}/{attempt}")
        step = world.jobs[task.partition(".")[0]].steps[0]
        work_s = step.estimated_ms / 1000 * draw.uniform(0.5, 1.6)
        return TaskBehaviour(min(LONGEST_WORK_S, work_s), "done")

    world = World(behave, max_attempts=3)
    async with anyio.create_task_group() as group:
        soak = LivenessSoak(make_cluster(world, group, source, seed), source, seed)
        async with anyio.create_task_group() as load:
            load.start_soon(soak.send_load, seconds)
            load.start_soon(soak.inject, seconds)
        await soak.settle()
        if not world.violations:
            await soak.check_leftovers()
        group.cancel_scope.cancel()
    return soak.report(seed) | {"state": soak.state}


main = make_command(run_liveness_soak, seconds=20.0)

if __name__ == "__main__":
    main()
