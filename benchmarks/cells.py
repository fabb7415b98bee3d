"""Whole cells of the soak for benchmarks, with faults that the benchmark chooses."""

import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any
from unittest import mock

import anyio
import msgspec

from benchmarks.figures import Figure
from gypsumring.jobs.model import make_job_key, split_task_id
from gypsumring.ports import VmRole
from gypsumring.scheduler import services
from gypsumring.utils.testing import run_on_mock_clock
from soak.callers import Callers
from soak.cell import SoakCell
from soak.checks import FINAL_JOB_STATES, Checks
from soak.load import Load, SubmittedJob
from soak.process import SNAPSHOT_EVERY_S, NodeProcess
from soak.run import WARM_UP_S, recorded_violations
from soak.trace import Trace
from stand_ins.freezing import Freezer

__all__ = [
    "BenchCell",
    "bound_above",
    "quantile",
    "run_in_cell",
]

OBSERVE_S = 1.0
QUERY_EVERY_S = 1.0


class BenchCell:
    """Hold a cell, its callers and what they submitted."""

    def __init__(self, seed: int, freezer: Freezer, outside: anyio.abc.TaskGroup):
        self.random_source = random.Random(f"{seed}/benchmark")
        self.freezer = freezer
        self.violations: list[str] = []
        self.cell = SoakCell(seed, Trace(), freezer, outside, self.violations)
        self.cell.peers.loss = self.cell.peers.duplication = 0.0
        self.platform = self.cell.platform
        self.callers = Callers(self.cell, random.Random(f"{seed}/callers"))
        self.load = Load(self.cell, self.callers, random.Random(f"{seed}/load"))
        self.checks = Checks(self.cell, self.callers, self.load)
        self.submitted_at: dict[str, float] = {}

    async def publish(self, documents: dict[str, dict]) -> None:
        """Publish new documents and wait until they are accepted."""
        for name, document in documents.items():
            while await self.load.publish(name, document, 0) is None:
                await anyio.sleep(0.1)

    async def submit(self, service: str, args: list[dict]) -> SubmittedJob:
        """Submit a job once; its ``accepted_at`` tells whether it was accepted."""
        team = service.partition("-")[0]
        job_id = f"job-{len(self.load.jobs)}"
        submission = {
            "job_id": job_id,
            "service": service,
            "task_count": len(args),
            "task_args": [json.dumps(one) for one in args],
        }
        job = SubmittedJob(team, job_id, service, json.dumps(submission).encode())
        self.load.jobs[job_id] = job
        self.submitted_at[job_id] = anyio.current_time()
        gateway = self.callers.pick_gateway()
        if gateway is not None:
            reply = await self.callers.send(
                gateway,
                "POST",
                "/jobs",
                job.submission,
                self.callers.team_headers(team),
            )
            if reply is not None and reply.status == 202:
                job.accepted_at = anyio.current_time()
        return job

    def started_at(self) -> dict[str, list[float]]:
        """Return when the tasks of each job first started, by job id."""
        by_key = {
            make_job_key(job.team, job.job_id): job.job_id
            for job in self.load.jobs.values()
        }
        started: dict[str, list[float]] = {}
        for task_id, runs in self.platform.task_runs.by_task.items():
            job_id = by_key.get(split_task_id(task_id)[0])
            if job_id is not None:
                first = min(run.started_at for run in runs)
                started.setdefault(job_id, []).append(first)
        return started

    def count_double_starts(self) -> int:
        """Return the tasks that ran twice at once and attempts started twice."""
        runs = self.platform.task_runs
        return len(runs.double_runs) + len(runs.repeated_attempts)

    async def count_lost_jobs(self, limit_s: float) -> int:
        """Return the accepted jobs that are not final within a time limit."""
        deadline = anyio.current_time() + limit_s
        while True:
            unfinished = 0
            for job in self.load.jobs.values():
                if job.accepted_at is not None:
                    state = await self.checks.query_job(job.team, job.job_id)
                    unfinished += state not in FINAL_JOB_STATES
            if not unfinished or anyio.current_time() > deadline:
                return unfinished
            await anyio.sleep(QUERY_EVERY_S)

    def find_owner(self, shard: str) -> NodeProcess | None:
        """Return the living process that may act for a shard."""
        now = anyio.current_time()
        for process in self.cell.schedulers:
            if process.is_alive and process.node.keeper.may_act_until(shard) > now:
                return process
        return None

    def cut_from_network(self, process: NodeProcess, is_cut: bool) -> None:
        """Cut a process off from its peers, the log and all workers."""
        self.cell.peers.partition(*([[process.name]] if is_cut else []))
        targets = [self.platform.log.faults.cut_off]
        targets += [w.faults.cut_off_from for w in self.platform.workers.values()]
        for names in targets:
            (names.add if is_cut else names.discard)(process.name)

    def put_accelerators(self, data_centre: str, count: int) -> None:
        """Give the workers of one data centre ``count`` accelerators, others none."""
        for vm in self.platform.vm_list.listings[-1].vms:
            if vm.role is VmRole.WORKER:
                number = count if vm.data_centre == data_centre else 0
                worker = self.platform.workers[vm.name]
                worker.capacity = msgspec.structs.replace(
                    worker.capacity, accelerators=number
                )
                changed = msgspec.structs.replace(vm, accelerators=number)
                self.platform.vm_list.add(changed, anyio.current_time())

    def remove_executors(self) -> None:
        """Take all executors off the VM list, for cells that serve no requests."""
        for name in self.platform.executors:
            self.platform.vm_list.remove(name, anyio.current_time())

    async def observe(self) -> None:
        """Check the invariants all the time."""
        while True:
            self.checks.observe()
            await anyio.sleep(OBSERVE_S)


def run_in_cell(
    body: Callable[..., Awaitable[Any]],
    *args: Any,
    seed: int,
    schedulers: int = 4,
    gateways: int = 2,
    prepare: Callable[["BenchCell"], None] | None = None,
) -> Any:
    """Run ``body(bench, *args)`` in a cell that has warmed up; return its result.

    ``prepare`` may change the platform before the nodes start.
    """
    freezer = Freezer()

    async def run() -> Any:
        async with running_cell(seed, freezer, schedulers, gateways, prepare) as bench:
            return await body(bench, *args)

    with installed(freezer):
        return run_on_mock_clock(run, seed=seed)


@contextmanager
def installed(freezer: Freezer) -> Iterator[None]:
    """Let processes freeze and ledgers write snapshots as in the soak."""
    with (
        freezer.installed(),
        mock.patch.object(services, "SNAPSHOT_EVERY_S", SNAPSHOT_EVERY_S),
    ):
        yield


@asynccontextmanager
async def running_cell(
    seed: int,
    freezer: Freezer,
    schedulers: int,
    gateways: int,
    prepare: Callable[["BenchCell"], None] | None,
) -> AsyncIterator[BenchCell]:
    """Start a cell, wait until its shards have owners and check it until the end."""
    async with anyio.create_task_group() as outside:
        bench = BenchCell(seed, freezer, outside)
        if prepare is not None:
            prepare(bench)
        with recorded_violations(bench.cell.report):
            for _ in range(schedulers):
                bench.cell.add_node("entry")
            for _ in range(gateways):
                bench.cell.add_node("gw")
            outside.start_soon(bench.observe)
            await anyio.sleep(WARM_UP_S)
            yield bench
            bench.checks.observe()
        freezer.thaw_all()
        outside.cancel_scope.cancel()


def quantile(values: list[float], percent: float) -> float:
    """Return a percentile of values by the nearest rank, infinity if there are none."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def bound_above(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure with an upper bound."""
    return Figure(name, round(value, 3), unit, bound, value <= bound)
