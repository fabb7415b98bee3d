"""Measure real processes on loopback: added latency, graceful ends and control cost.

Times and shares of a core depend on the machine; the bytes do not.
"""

import json
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio
import httpx
import msgspec
import psutil

from benchmarks.capacity import (
    BYTES_PER_KB,
    CORE_BOUND_PERCENT,
    MB,
    MEMORY_BOUND_MB,
    TRAFFIC_BOUND_KB_S,
)
from benchmarks.figures import Figure, print_figures
from demo.cells import DEPLOYMENTS
from demo.load import Balancer
from gypsumring.adapters.executor import REQUEST_ID_HEADER, SERVICE_HEADER
from soak.processes.trial import (
    KEYED_RATE,
    REPEATABLE_RATE,
    ProcessTrial,
    find_cut_off,
)

__all__ = ["CostRun", "run"]

GATEWAYS = 2
SCHEDULERS = 8
FEW_SCHEDULERS = 4
# Longer than the 8 s between two renewals of a task lease.
WINDOW_S = 9.0
# After a join, each owner hands over up to 4 shards a second.
SETTLE_S = 4.0
# Today's peak as in benchmarks.capacity, with repeatable requests beside keyed ones.
PEAK_TASKS_PER_S = 50
PEAK_RUN_MS = 9_000
PEAK_REQUESTS_PER_S = 100.0
PEAK_KEYS_PER_S = 20.0
SERVICE = "live-arrival-checks"
KEYED_SERVICE = "customs-declarations"
BATCH_SERVICE = "cold-chain-manifests"
COMPARED_ROUNDS = 8
COMPARED_REQUESTS = 60
COMPARED_AT_ONCE = 4
SATURATING_AT_ONCE = 24
SATURATING_REQUESTS = 1_200
# The traffic that the bound counts; the rest is printed beside it.
CONTROL_PARTS = ("peers", "log", "workers")
OTHER_PARTS = ("vm_list", "executors")

GATEWAY_ROLES = [f"gateway-{number}" for number in range(GATEWAYS)]
SCHEDULER_ROLES = [f"scheduler-{number}" for number in range(SCHEDULERS)]
LATE_ROLES = SCHEDULER_ROLES[FEW_SCHEDULERS:]


class Reading(msgspec.Struct, frozen=True):
    """Hold the counters of one process at one time, in seconds and bytes."""

    at: float
    core_s: float
    memory_bytes: int
    part_bytes: dict[str, int]


class Cost(msgspec.Struct, frozen=True):
    """Hold what one process spent over a window."""

    core_percent: float
    memory_mb: float
    part_bytes_s: dict[str, float]

    @property
    def control_bytes_s(self) -> float:
        """Return the bytes a second to and from peers, log and workers."""
        return sum(self.part_bytes_s[part] for part in CONTROL_PARTS)


def subtract(before: Reading, after: Reading) -> Cost:
    """Return the cost between two readings."""
    seconds = after.at - before.at
    return Cost(
        100 * (after.core_s - before.core_s) / seconds,
        after.memory_bytes / MB,
        {
            part: (after.part_bytes[part] - count) / seconds
            for part, count in before.part_bytes.items()
        },
    )


def list_cost_figures(name: str, costs: Sequence[Cost], idle: bool) -> list[Figure]:
    """Return the largest cost of any process, and mean traffic by part.

    Only the idle figures have bounds for the core and for traffic, since the rest of
    the peak serves the users.
    """
    core = max(cost.core_percent for cost in costs)
    memory = max(cost.memory_mb for cost in costs)
    traffic = max(cost.control_bytes_s for cost in costs)
    core_bound = CORE_BOUND_PERCENT if idle else None
    traffic_bound = TRAFFIC_BOUND_KB_S * BYTES_PER_KB if idle else None
    figures = [
        Figure(f"{name}.core", core, "%", core_bound, not idle or core <= core_bound),
        Figure(
            f"{name}.memory", memory, "MB", MEMORY_BOUND_MB, memory <= MEMORY_BOUND_MB
        ),
        Figure(
            f"{name}.control_bytes",
            traffic,
            "B/s",
            traffic_bound,
            not idle or traffic <= traffic_bound,
        ),
    ]
    for part in (*CONTROL_PARTS, *OTHER_PARTS):
        mean = statistics.mean(cost.part_bytes_s[part] for cost in costs)
        figures.append(Figure(f"{name}.{part}_bytes_mean", mean, "B/s"))
    return figures


def list_slope_figures(few: Sequence[Cost], many: Sequence[Cost]) -> list[Figure]:
    """Return what one more scheduler adds to the mean cost of each idle scheduler."""
    added = len(many) - len(few)

    def slope(read: Callable[[Cost], float]) -> float:
        return (statistics.mean(map(read, many)) - statistics.mean(map(read, few))) / (
            added
        )

    figures = [
        Figure("scheduler.idle.core_slope", slope(lambda c: c.core_percent), "%"),
        Figure("scheduler.idle.memory_slope", slope(lambda c: c.memory_mb), "MB"),
    ]
    for part in CONTROL_PARTS:
        value = slope(lambda cost, part=part: cost.part_bytes_s[part])
        figures.append(Figure(f"scheduler.idle.{part}_bytes_slope", value, "B/s"))
    return figures


async def run_at_once(
    count: int, at_once: int, send: Callable[[int], Awaitable[None]]
) -> None:
    """Send so many requests, a fixed number of them at a time."""
    numbers = iter(range(count))

    async def send_some() -> None:
        for number in numbers:
            await send(number)

    async with anyio.create_task_group() as tasks:
        for _ in range(at_once):
            tasks.start_soon(send_some)


class CostRun(ProcessTrial):
    """Run one cell without faults and measure its processes."""

    __slots__ = ("figures",)

    def __init__(self, folder: Path, seed: int):
        super().__init__(DEPLOYMENTS[0], folder, str(seed), GATEWAYS, SCHEDULERS)
        self.figures: list[Figure] = []

    def start(self, role: str, module: str, *arguments: str) -> None:
        """Start a process, or note how to start one of the later schedulers."""
        if role in LATE_ROLES:
            self.commands[role] = (module, *arguments)
        else:
            super().start(role, module, *arguments)

    async def run_load(
        self,
        client: httpx.AsyncClient,
        balancer: Balancer,
        services: list[tuple[str, bool]],
    ) -> None:
        """Measure idle cost, latency, cost at the peak and graceful ends."""
        few_roles = SCHEDULER_ROLES[:FEW_SCHEDULERS]
        few = await self.measure_costs(client, few_roles)
        async with anyio.create_task_group() as tasks:
            for role in LATE_ROLES:
                tasks.start_soon(self.start_and_wait, role, client)
        many = await self.measure_costs(client, SCHEDULER_ROLES + GATEWAY_ROLES)
        self.figures += list_cost_figures("scheduler.idle", many[:SCHEDULERS], True)
        self.figures += list_cost_figures("gateway.idle", many[SCHEDULERS:], True)
        self.figures += list_slope_figures(few, many[:SCHEDULERS])
        await self.compare_latency(client)
        await self.saturate_gateway(client)
        peak = await self.run_peak(client, balancer)
        self.figures += list_cost_figures("scheduler.peak", peak[:SCHEDULERS], False)
        self.figures += list_cost_figures("gateway.peak", peak[SCHEDULERS:], False)
        await self.roll_under_load(client, balancer, services)

    # --- control cost ---------------------------------------------------------------

    async def read(self, client: httpx.AsyncClient, role: str) -> Reading:
        """Read the counters of one process."""
        process = self.find_process(role)
        answer = await client.get(f"http://{self.http_address(role)}/metrics")
        counters = answer.json()["counters"]
        return Reading(
            time.monotonic(),
            core_seconds(process),
            process.memory_info().rss,
            {
                part: counters.get(f"{part}.bytes_sent", 0)
                + counters.get(f"{part}.bytes_received", 0)
                for part in (*CONTROL_PARTS, *OTHER_PARTS)
            },
        )

    def find_process(self, role: str) -> psutil.Process:
        """Return the running process of a role."""
        return psutil.Process(self.processes.processes[self.name_process(role)].pid)

    async def measure_costs(
        self, client: httpx.AsyncClient, roles: Sequence[str]
    ) -> list[Cost]:
        """Let the cell settle and return the cost of each process over a window."""
        await anyio.sleep(SETTLE_S)
        before = [await self.read(client, role) for role in roles]
        await anyio.sleep(WINDOW_S)
        after = [await self.read(client, role) for role in roles]
        return list(map(subtract, before, after))

    async def run_peak(
        self, client: httpx.AsyncClient, balancer: Balancer
    ) -> list[Cost]:
        """Return the cost of all processes under today's peak."""
        async with anyio.create_task_group() as load:
            load.start_soon(
                self.send_until_over, balancer, SERVICE, True, PEAK_REQUESTS_PER_S
            )
            load.start_soon(
                self.send_until_over, balancer, KEYED_SERVICE, False, PEAK_KEYS_PER_S
            )
            load.start_soon(self.submit_tasks, balancer)
            costs = await self.measure_costs(client, SCHEDULER_ROLES + GATEWAY_ROLES)
            self.is_over = True
        self.is_over = False
        return costs

    async def submit_tasks(self, balancer: Balancer) -> None:
        """Submit one job a second with the tasks that start in a second at the peak."""
        number = 0
        run_args = json.dumps({"run_ms": PEAK_RUN_MS})
        while not self.is_over:
            job = {
                "service": BATCH_SERVICE,
                "job_id": f"peak-{number}",
                "task_count": PEAK_TASKS_PER_S,
                "task_args": [run_args] * PEAK_TASKS_PER_S,
            }
            await self.submit(balancer, job)
            number += 1
            await anyio.sleep(1)

    # --- latency --------------------------------------------------------------------

    async def compare_latency(self, client: httpx.AsyncClient) -> None:
        """Compare requests through a gateway with requests straight to executors."""
        direct: list[float] = []
        through: list[float] = []
        for _ in range(COMPARED_ROUNDS):
            await self.time_requests(client, self.send_direct, direct)
            await self.time_requests(client, self.send_through, through)
        for percent in (50, 99):
            added = percentile(through, percent) / percentile(direct, percent)
            self.figures.append(Figure(f"overhead.p{percent}_ratio", added, ""))
            self.figures.append(
                Figure(
                    f"overhead.p{percent}_added",
                    1000 * (percentile(through, percent) - percentile(direct, percent)),
                    "ms",
                )
            )

    async def time_requests(
        self,
        client: httpx.AsyncClient,
        send: Callable[[httpx.AsyncClient], Awaitable[httpx.Response]],
        times: list[float],
    ) -> None:
        """Add the seconds that each of some requests takes."""

        async def send_timed(number: int) -> None:
            began = time.perf_counter()
            answer = await send(client)
            times.append(time.perf_counter() - began)
            if answer.status_code != 200:
                self.problems.append(f"a compared request got {answer.status_code}")

        await run_at_once(COMPARED_REQUESTS, COMPARED_AT_ONCE, send_timed)

    async def send_direct(self, client: httpx.AsyncClient) -> httpx.Response:
        """Send one request to the next executor."""
        self.request_count += 1
        executors = [vm for vm in self.plan.vms if vm["role"] == "executor"]
        address = executors[self.request_count % len(executors)]["address"]
        headers = {
            REQUEST_ID_HEADER: f"direct-{self.request_count}",
            SERVICE_HEADER: SERVICE,
        }
        return await client.post(
            f"http://{address}/run", content=b"tray", headers=headers
        )

    async def send_through(self, client: httpx.AsyncClient) -> httpx.Response:
        """Send one request to the first gateway."""
        url = f"{self.gateway_urls[0]}/services/{SERVICE}/run"
        return await client.post(url, content=b"tray")

    async def saturate_gateway(self, client: httpx.AsyncClient) -> None:
        """Measure the requests that one gateway process serves a second of a core."""
        process = self.find_process(GATEWAY_ROLES[0])
        answered = 0

        async def send_counted(number: int) -> None:
            nonlocal answered
            answer = await self.send_through(client)
            answered += answer.status_code == 200

        before = core_seconds(process)
        await run_at_once(SATURATING_REQUESTS, SATURATING_AT_ONCE, send_counted)
        rate = answered / (core_seconds(process) - before)
        self.figures.append(Figure("gateway.requests_per_core_s", rate, "1/s"))

    # --- graceful ends --------------------------------------------------------------

    async def roll_under_load(
        self,
        client: httpx.AsyncClient,
        balancer: Balancer,
        services: list[tuple[str, bool]],
    ) -> None:
        """Replace every process by SIGTERM while requests arrive."""
        seen = len(self.tally.broken)
        async with anyio.create_task_group() as load:
            for service, repeatable in services:
                rate = REPEATABLE_RATE if repeatable else KEYED_RATE
                load.start_soon(
                    self.send_until_over, balancer, service, repeatable, rate
                )
            await self.roll_all(client)
            self.is_over = True
        cut_off = len(find_cut_off(self.tally.broken[seen:], []))
        ended = GATEWAYS + SCHEDULERS - self.ended_with_0
        self.figures.append(
            Figure("rolling.cut_off", cut_off, "requests", 0, cut_off == 0)
        )
        self.figures.append(
            Figure("rolling.not_ended_with_0", ended, "processes", 0, ended == 0)
        )


def core_seconds(process: psutil.Process) -> float:
    """Return the processor time that a process has used."""
    times = process.cpu_times()
    return times.user + times.system


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile of some values."""
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def run(seed: int) -> list[Figure]:
    """Return all figures of one cell of real processes."""
    with tempfile.TemporaryDirectory() as folder:
        cell = CostRun(Path(folder), seed)
        anyio.run(cell.run)
    for problem in cell.problems:
        print(f"problem: {problem}", flush=True)
    count = len(cell.problems)
    return [*cell.figures, Figure("processes.problems", count, "", 0, count == 0)]


if __name__ == "__main__":
    print_figures(run(7))
