"""Run one seeded soak: warm-up, faults under load, recovery and final checks."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import anyio
import msgspec

from gypsumring.exceptions import InvariantViolation
from gypsumring.scheduler import services
from gypsumring.utils.testing import run_on_mock_clock
from soak.callers import Callers
from soak.cell import SoakCell
from soak.checks import IN_FORCE_S, Checks
from soak.faults import Faults
from soak.load import Load
from soak.process import SNAPSHOT_EVERY_S
from soak.trace import Trace
from stand_ins.freezing import Freezer

__all__ = ["STEP_S", "SoakResult", "run_soak", "steps_of"]

STEP_S = 0.1
# Measured on one core of the development machine; recovery included.
STEPS_PER_SECOND = 40
# Steps between two starts of a fault, on average.
FAULT_EVERY_STEPS = 8
WARM_UP_S = 8.0
# Task leases, quarantine and backoff may keep work waiting after the last fault.
JOBS_END_S = 300.0
KEYS_END_S = 60.0
CLOSE_STEP_S = 1.0


class SoakResult(msgspec.Struct):
    """Hold the outcome of one run."""

    seed: int
    faults: int = 0
    steps: int = 0
    invariant_violations: int = 0
    accepted_lost: int = 0
    duplicate_runs: int = 0
    counts: dict[str, int] = {}
    trace_hash: str = ""
    violations: list[str] = []
    fault_trace: list[str] = []


def steps_of(seconds: float) -> int:
    """Return the number of steps that take about this much real time."""
    return max(1, round(seconds * STEPS_PER_SECOND))


@contextmanager
def recorded_violations(report: Callable[[str], None]) -> Iterator[None]:
    """Report every InvariantViolation that is created, also if it is caught."""

    def record(self: InvariantViolation, *args: object) -> None:
        Exception.__init__(self, *args)
        report(f"InvariantViolation: {' '.join(map(str, args))}")

    with mock.patch.object(InvariantViolation, "__init__", record):
        yield


def run_soak(
    seed: int, steps: int, prepare: Callable[["Soak"], None] | None = None
) -> SoakResult:
    """Run one soak; ``prepare`` may change the cell before it starts."""
    soak = Soak(seed, steps)
    with (
        soak.freezer.installed(),
        mock.patch.object(services, "SNAPSHOT_EVERY_S", SNAPSHOT_EVERY_S),
    ):
        run_on_mock_clock(soak.run, prepare, seed=seed)
    return soak.result


class Soak:
    """Hold one run."""

    def __init__(self, seed: int, steps: int):
        self.seed = seed
        self.steps = steps
        self.freezer = Freezer()
        self.trace = Trace()
        self.violations: list[str] = []
        self.result = SoakResult(seed, steps=steps)
        self.is_over = False

    async def run(self, prepare: Callable[["Soak"], None] | None) -> None:
        """Run all phases and fill in the result."""
        async with anyio.create_task_group() as outside:
            self.cell = SoakCell(
                self.seed, self.trace, self.freezer, outside, self.violations
            )
            self.callers = Callers(self.cell, random.Random(f"{self.seed}/callers"))
            self.load = Load(
                self.cell, self.callers, random.Random(f"{self.seed}/load")
            )
            self.faults = Faults(self.cell, random.Random(f"{self.seed}/faults"))
            self.checks = Checks(self.cell, self.callers, self.load)
            if prepare is not None:
                prepare(self)
            try:
                with recorded_violations(self.cell.report):
                    await self.run_phases()
                    self.fill_result()
            finally:
                # Tasks of killed processes cannot be cancelled while they are frozen.
                self.freezer.thaw_all()
                outside.cancel_scope.cancel()

    async def run_phases(self) -> None:
        """Warm up, disturb, recover and check."""
        self.cell.start_all()
        async with anyio.create_task_group() as watch:
            watch.start_soon(self.observe)
            await anyio.sleep(WARM_UP_S)
            await self.load.publish_first()
            async with anyio.create_task_group() as load:
                async with anyio.create_task_group() as faults:
                    for _ in range(self.steps):
                        self.faults.step(faults, 1 / FAULT_EVERY_STEPS)
                        self.load.step(load, self.faults.burst)
                        await anyio.sleep(STEP_S)
                    faults.cancel_scope.cancel()
                self.trace.note_fault(anyio.current_time(), "all faults end")
                self.checks.faults_ended_at = anyio.current_time()
                await self.load.edit_document()
                await anyio.sleep(2 * IN_FORCE_S)
            await self.wait_until("jobs", self.checks.unfinished_jobs, JOBS_END_S)
            await self.wait_until("keys", self.checks.unsettled_keys, KEYS_END_S)
            self.checks.check_documents()
            self.checks.check_calls()
            self.checks.check_keys()
            self.checks.check_refused_jobs()
            self.checks.observe()
            watch.cancel_scope.cancel()

    async def observe(self) -> None:
        """Check at every step what must always hold."""
        while True:
            self.checks.observe()
            await anyio.sleep(STEP_S)

    async def wait_until(self, what: str, list_open, limit_s: float) -> None:
        """Wait until nothing is open; report what is open at the limit."""
        deadline = anyio.current_time() + limit_s
        while still_open := await list_open():
            if anyio.current_time() > deadline:
                for text in still_open:
                    if "lost" in text:
                        self.checks.accepted_lost += 1
                    self.cell.report(f"{what} not final after {limit_s:g} s: {text}")
                return
            await anyio.sleep(CLOSE_STEP_S)

    def fill_result(self) -> None:
        """Fill in the result of the run."""
        result, counts = self.result, self.load.counts
        for call in self.callers.calls:
            outcome = "hung_up" if call.reply is None else call.reply.outcome
            self.load.count(f"requests_{outcome}")
        counts["task_runs"] = self.cell.platform.task_runs.count
        counts["log_appends"] = self.cell.platform.log.append_count
        counts["mock_seconds"] = int(anyio.current_time())
        result.faults = self.faults.count
        result.invariant_violations = len(self.violations)
        result.accepted_lost = self.checks.accepted_lost
        result.duplicate_runs = self.checks.duplicate_runs
        result.counts = dict(sorted(counts.items()))
        result.trace_hash = self.trace.hexdigest()
        result.violations = list(self.violations)
        result.fault_trace = list(self.trace.faults)
