"""Measure what one placed task costs the scheduler of a cell, without any network.

All executors are full and a queue of steps waits. A task ends every 2 ms, and the
scheduler finds the steps for the released capacity. The baseline is the former pass,
which evaluates each waiting step on the whole fleet after each change.
"""

import random
import time

import anyio

from benchmarks.cells import bound_above
from benchmarks.figures import Figure
from gypsumring.cell.journal import Journal
from gypsumring.cell.scheduling import CellScheduler
from gypsumring.cell.state import CellState, CellTiming
from gypsumring.dispatch import place_step
from gypsumring.dispatch.ordering import step_due_at
from gypsumring.fleet import ExecutorEntry, ExecutorState
from gypsumring.metrics import Metrics
from gypsumring.pipelines import (
    DesiredState,
    PipelineSpec,
    PolicyTiming,
    Queue,
    Run,
    Step,
    StepSpec,
)
from gypsumring.ports.tasks import Ticket
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.peers import make_lone_authority

__all__ = ["run"]

FLEETS = (24, 176, 270, 1_000)
QUEUES = (10, 100, 1_000)
TASKS = 400
BASELINE_TASKS = 10
END_EVERY_S = 0.002
ALLOWED = 14
TASKS_PER_STEP = 3
TASK_MILLIS = 8_000
EXECUTOR_MILLIS = 32_000
# Stated target for one task at 270 executors.
BOUND_MS = 0.15
# Stated target: the cost grows less than the logarithm of the fleet.
GROWTH_FLEETS = (24, 1_000)
GROWTH_BOUND = 2.17


class IgnoredTasks:
    """Take the place of a task group; calls to the policy service are not made."""

    __slots__ = ()

    def start_soon(self, *args) -> None:
        """Ignore a task."""


class NoCrashes:
    """Take the place of the record of crashes, of which there are none."""

    __slots__ = ()

    def review_suspects(self) -> None:
        """Review nothing."""


class NotedOrders:
    """Take the place of orders; starts are counted."""

    __slots__ = ("crashes", "running")

    def __init__(self):
        self.crashes = NoCrashes()
        self.running: list[Run] = []

    def start(self, run: Run, ticket: str) -> None:
        """Note a start."""
        self.running.append(run)


class DecisionTrial:
    """Hold a full fleet and a queue of waiting steps."""

    __slots__ = ("number", "orders", "queue", "scheduler", "source", "state")

    def __init__(self, executors: int, waiting: int):
        self.source = random.Random(executors * waiting)
        self.queue = Queue(
            name="q",
            host="h",
            path_prefix="/q/",
            service="svc",
            policy=PolicyTiming(0.02, 0.0003, 2.0),
        )
        desired = DesiredState(version=1, queues=(self.queue,))
        journal = Journal(None, "cells", 0, "cell", 1)
        self.state = CellState(
            1,
            journal,
            lambda: desired,
            CellTiming(10.0, 0.9, 120.0, 5.0, 3.0),
            Metrics(),
            anyio.current_time,
            lambda: int(anyio.current_time() * 1000),
            make_lone_authority(1, journal),
        )
        self.state.group = IgnoredTasks()
        self.orders = NotedOrders()
        self.scheduler = CellScheduler(self.state, self.orders, lambda: ["n0"], None)
        self.number = 0
        for number in range(executors):
            self.add_executor(f"i-{number:04}")
        while len(self.orders.running) < executors * EXECUTOR_MILLIS // TASK_MILLIS:
            self.add_job(everywhere=True)
            self.scheduler.schedule()
        for _ in range(waiting):
            self.add_job()

    def add_executor(self, name: str) -> None:
        """Add an executor that has just answered."""
        entry = ExecutorEntry(
            executor_id=name,
            address="",
            service="svc",
            cpu_millis=EXECUTOR_MILLIS,
            memory_mb=131_072,
        )
        executor = ExecutorState(entry, anyio.current_time())
        executor.record_clock(1, anyio.current_time())
        self.state.fleet[name] = executor
        self.state.enrolled.add(name)

    def add_job(self, everywhere: bool = False) -> None:
        """Add a job with tickets for some executors."""
        self.number += 1
        spec = StepSpec(
            task_count=TASKS_PER_STEP, cpu_millis=TASK_MILLIS, estimated_ms=800
        )
        job = PipelineSpec(
            job_id=f"{self.number:016x}",
            queue="q",
            service="svc",
            accepted_ms=0,
            payload="",
            steps=(spec,),
        )
        (step,) = self.state.table.add(job, anyio.current_time()).steps
        names = list(self.state.fleet)
        chosen = names if everywhere else self.source.sample(names, ALLOWED)
        step.queried = set(names)
        step.allowed = set(chosen)
        step.tickets = {name: Ticket(name, "t", float("inf")) for name in chosen}

    def end_task(self) -> None:
        """Let one task end, and add a job for each step's worth of them."""
        running = self.orders.running
        run = running.pop(self.source.randrange(len(running)))
        self.state.release_capacity(self.state.fleet[run.executor_id], run)
        self.state.table.end(run, "done", "", 3)
        if run.step.is_done:
            self.state.table.finish(run.step.job)
            del self.state.table.jobs[run.step.job.spec.job_id]
            self.add_job()
        for executor in self.state.fleet.values():
            executor.last_response_at = anyio.current_time()

    def scan_all(self) -> None:
        """Place tasks by an evaluation of each waiting step on the whole fleet."""
        now = anyio.current_time()
        steps = [step for job in self.state.table.active.values() for step in job.steps]
        for step in sorted(
            steps, key=lambda step: (step_due_at(step, self.queue), step.name)
        ):
            if step.is_ready:
                self.place_by_scan(step, now)

    def place_by_scan(self, step: Step, now: float) -> None:
        """Place the tasks of one step on executors with a ticket."""
        eligible = [
            executor
            for executor in self.state.fleet.values()
            if executor.accepts_work("svc", now)
        ]
        holding = [each for each in eligible if each.executor_id in step.tickets]
        placements = place_step(step, holding, 3.0, now)
        self.scheduler.start_placements(step, placements, now)


async def measure(executors: int, waiting: int, by_scan: bool) -> float:
    """Return the processor time of one placed task, in milliseconds."""
    trial = DecisionTrial(executors, waiting)
    act = trial.scan_all if by_scan else trial.scheduler.schedule
    act()
    spent = 0.0
    tasks = BASELINE_TASKS if by_scan else TASKS
    for _ in range(tasks):
        await anyio.sleep(END_EVERY_S)
        trial.end_task()
        begun = time.process_time()
        act()
        spent += time.process_time() - begun
    return spent / tasks * 1000


def run(seed: int) -> list[Figure]:
    """Return the figures of the topic."""
    figures = []
    costs: dict[tuple[int, int], float] = {}
    for executors in FLEETS:
        for waiting in QUEUES:
            name = f"decisions.{executors}_executors.{waiting}_waiting"
            cost = run_on_mock_clock(measure, executors, waiting, False, seed=seed)
            costs[executors, waiting] = cost
            bound = BOUND_MS if executors == 270 else None
            figures.append(
                Figure(name, cost, "ms")
                if bound is None
                else bound_above(name, cost, "ms", bound)
            )
            if waiting < QUEUES[-1]:
                before = run_on_mock_clock(measure, executors, waiting, True, seed=seed)
                figures.append(Figure(f"{name}.before", before, "ms"))
    small, large = GROWTH_FLEETS
    growth = costs[large, QUEUES[1]] / costs[small, QUEUES[1]]
    figures.append(bound_above("decisions.growth", growth, "", GROWTH_BOUND))
    return figures
