"""Randomised runs of one cell in which steps wait for what may never come.

Few executors have the label that most jobs need. Lasting tasks hold a part of them,
some jobs can never be done, and executors fail all tasks for a while. The bounds are
those of the users. Run with ``python -m soak.waits --seed N --seeds N --seconds N``.
"""

import random
from collections.abc import Sequence

import anyio

from gypsumring.pipelines import PipelineSpec, StepSpec
from soak.cells import CellSoak, make_command
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.executor import ExecutorModel, Trouble
from stand_ins.platform.world import TaskBehaviour, World

__all__ = ["WaitsSoak", "run_waits_soak"]

CORES_MILLIS, LABEL = 32_000, "g"
MAX_LASTING_JOBS, MAX_HOPELESS_JOBS = 3, 2
SAMPLE_S, TAIL_S = 0.1, 20.0
# A task starts within this time on a calm cell if there is room for it twice over, a
# lasting one within a longer time of its last run.
START_S, LASTING_S = 3.0, 6.0
# A cell is calm this long after the last disruption.
CALM_S = 4.0


class WaitsSoak(CellSoak):
    """Drive load and faults from one seed, and check how long steps wait."""

    __slots__ = ("active", "calm_from", "counts", "labelled", "last_runs", "waits")

    job_rate = 1.5
    fault_rate = 0.08
    fault_names = ("fail_tasks", "fail_tasks", "kill_node")

    def __init__(self, cluster: MemoryCluster, source: random.Random, seed: int):
        super().__init__(cluster, source, seed)
        self.labelled = [
            model for model in cluster.executors.values() if LABEL in model.labels
        ]
        self.counts = {"lasting": 0, "hopeless": 0}
        # Number of faults in progress, and the time from which the cell is calm.
        self.active = 0
        self.calm_from = anyio.current_time() + CALM_S
        # When a lasting task ran last, and since when a step should have started.
        self.last_runs: dict[str, float] = {}
        self.waits: dict[str, float] = {}

    def draw_plan(self) -> tuple[Sequence[str], float]:
        """Return the kinds of faults, and how many there are a second."""
        return self.fault_names, self.fault_rate

    def draw_job(self, job_id: str) -> PipelineSpec:
        """Return a job of one step, which usually needs the label."""
        source, counts = self.random_source, self.counts
        kind = source.choices(
            ("lasting", "hopeless", "large", "gang", "small", "plain"),
            (2, 1, 1, 1, 6, 2),
        )[0]
        if kind in counts:
            counts[kind] += 1
        count, cpu = source.randint(1, 2), source.choice((2_000, 4_000, 6_000))
        if kind == "lasting" and counts[kind] <= MAX_LASTING_JOBS:
            cpu = source.choice((1_000, 4_000, CORES_MILLIS))
        elif kind == "hopeless" and counts[kind] <= MAX_HOPELESS_JOBS:
            # Beside a lasting task on any of the executors it never fits.
            count, cpu = len(self.labelled), CORES_MILLIS
        elif kind == "large":
            count, cpu = 1, source.choice((16_000, 24_000))
        elif kind in counts:
            kind = "small"
        return make_job(
            job_id,
            StepSpec(
                task_count=count,
                cpu_millis=cpu,
                estimated_ms=source.randint(500, 3_000),
                required_label="" if kind == "plain" else LABEL,
                gang=kind in ("gang", "hopeless"),
                long_running=kind == "lasting",
            ),
        )

    async def play(self, fault: str, lasts: float) -> None:
        """Play one fault, after which the cell is calm again."""
        self.active += 1
        self.calm_from = float("inf")
        if fault == "fail_tasks":
            few = self.random_source.sample(self.labelled, len(self.labelled) - 1)
            for model in few:
                model.trouble = Trouble.FAILING
            await anyio.sleep(lasts)
            for model in few:
                model.trouble = Trouble.NONE
        else:
            await super().play(fault, lasts)
        self.active -= 1
        if not self.active:
            self.calm_from = anyio.current_time() + CALM_S

    async def watch(self, seconds: float) -> None:
        """Check all open steps until the time is over."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until and not self.cluster.world.violations:
            for model in self.cluster.executors.values():
                model.advance()
            waits = [self.accepted[:], []]
            for job_id in waits[0]:
                if (phase := self.cluster.phase(job_id)) and not phase.is_final:
                    waits[1] += self.find_late(job_id)
            now = anyio.current_time()
            self.waits = {each: self.waits.get(each, now) for each in waits[1]}
            for each, since in self.waits.items():
                if now - max(since, self.calm_from) > START_S:
                    self.cluster.world.violate("LOST", f"{each} is not started")
            await anyio.sleep(SAMPLE_S)

    def find_late(self, job_id: str) -> list[str]:
        """Return the tasks or the step of a job that should run and do not."""
        now, world = anyio.current_time(), self.cluster.world
        [spec] = world.jobs[job_id].steps
        tasks = [f"{job_id}.0.0.{index}" for index in range(spec.task_count)]
        running = {
            run.task
            for model in self.cluster.executors.values()
            for run in model.runs.values()
        }
        self.last_runs.update(dict.fromkeys(running.intersection(tasks), now))
        missing = [each for each in tasks if each not in running | world.done.keys()]
        if not missing or not self.has_room(spec, 2 * len(missing)):
            return []
        if spec.long_running:
            return [
                each
                for each in missing
                if now - self.last_runs.get(each, now) >= LASTING_S - START_S
            ]
        return [] if running.intersection(tasks) else [job_id]

    def has_room(self, spec: StepSpec, count: int) -> bool:
        """Return whether so many tasks fit, and under half of the cell is in use."""
        models = self.cluster.list_staying()
        if 2 * sum(each.used_cpu for each in models) >= CORES_MILLIS * len(models):
            return False
        suitable = [each for each in models if self.takes(spec, each)]
        free = [(CORES_MILLIS - each.used_cpu) // spec.cpu_millis for each in suitable]
        return sum(free) >= count

    def takes(self, spec: StepSpec, model: ExecutorModel) -> bool:
        """Return whether a sound executor has the label of a step, if it needs one."""
        has_label = not spec.required_label or spec.required_label in model.labels
        return has_label and model.is_up and model.trouble is Trouble.NONE


async def run_waits_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed and return what was seen."""
    source = random.Random(seed)
    fails_at_times = source.random() < 0.5

    def behave(task: str, attempt: int) -> TaskBehaviour:
        draw = random.Random(f"{seed}/{task}/{attempt}")
        [step] = world.jobs[task.partition(".")[0]].steps
        if not step.long_running:
            return TaskBehaviour(step.estimated_ms / 1000 * draw.uniform(0.5, 1.6))
        if fails_at_times:
            return TaskBehaviour(draw.uniform(5.0, 25.0), "failed")
        return TaskBehaviour(1e6)

    world = World(behave, max_attempts=3)
    async with anyio.create_task_group() as group:
        count = source.randint(10, 16)
        cluster = MemoryCluster(world, group, 3, count, CORES_MILLIS, None, seed)
        for model in list(cluster.executors.values())[: source.randint(2, 4)]:
            model.labels = (LABEL, "r1")
            cluster.register(model)
        soak = WaitsSoak(cluster, source, seed)
        async with anyio.create_task_group() as load:
            load.start_soon(soak.send_load, seconds)
            load.start_soon(soak.inject, seconds)
            load.start_soon(soak.watch, seconds + TAIL_S)
        group.cancel_scope.cancel()
    return soak.report(seed)


main = make_command(run_waits_soak, seconds=30.0)

if __name__ == "__main__":
    main()
