"""One trial: a cell of real processes under load and faults."""

import json
import signal
from pathlib import Path

import anyio
import httpx

from demo.cell_run import GATEWAYS, SCHEDULERS, CellRun
from demo.cells import HOST, Deployment
from demo.load import Balancer, BrokenConnection, send_one, submit_job

__all__ = ["Outage", "ProcessTrial", "find_cut_off"]

# Three lease times.
PAUSE_S = 12.0
OUTAGE_S = 5.0
RESTART_AFTER_S = 2.0
# The shards of a dead scheduler have an owner again one lease and some rounds later.
SETTLE_S = 6.0
# A drain waits for requests (5 s), for reports of keys (20 s) and for permits.
END_TIMEOUT_S = 40.0
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
JOB_INTERVAL_S = 2.0
TASKS_PER_JOB = 10
LOST_SHARE = 0.3
REPEATABLE_RATE = 30.0
KEYED_RATE = 8.0
FINISHED = "succeeded"


class Outage:
    """Hold from when a gateway was killed until when it was started again."""

    __slots__ = ("began_at", "ended_at", "gateway")

    def __init__(self, gateway: str, began_at: float):
        self.gateway = gateway
        self.began_at = began_at
        self.ended_at = float("inf")

    def explains(self, broken: BrokenConnection) -> bool:
        """Tell whether a request broke because its gateway was killed."""
        return (
            broken.gateway == self.gateway
            and broken.sent_at <= self.ended_at
            and broken.ended_at >= self.began_at
        )


def find_cut_off(
    broken: list[BrokenConnection], outages: list[Outage]
) -> list[BrokenConnection]:
    """Return the requests that broke although nobody killed their gateway."""
    return [
        each for each in broken if not any(outage.explains(each) for outage in outages)
    ]


class ProcessTrial(CellRun):
    """Run one cell through all faults, in an order given by the seed."""

    __slots__ = (
        "ended_with_0",
        "faults",
        "is_over",
        "jobs_not_accepted",
        "outages",
        "request_count",
    )

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        seed: str,
        gateways: int = GATEWAYS,
        schedulers: int = SCHEDULERS,
    ):
        super().__init__(deployment, folder, seed, 0.0, gateways, schedulers)
        self.request_count = 0
        self.outages: list[Outage] = []
        self.jobs_not_accepted: list[tuple[str, str]] = []
        self.ended_with_0 = 0
        self.is_over = False
        self.faults = [
            self.kill_gateway,
            self.kill_scheduler,
            self.pause_scheduler,
            self.stop_log,
            self.lose_answers,
            self.roll_all,
        ]

    # --- load -----------------------------------------------------------------------

    async def run_load(
        self,
        client: httpx.AsyncClient,
        balancer: Balancer,
        services: list[tuple[str, bool]],
    ) -> None:
        """Send requests and jobs until all faults have happened."""
        async with anyio.create_task_group() as load:
            load.start_soon(self.cause_faults, client)
            load.start_soon(self.submit_jobs, balancer)
            for service, repeatable in services:
                rate = REPEATABLE_RATE if repeatable else KEYED_RATE
                load.start_soon(
                    self.send_until_over, balancer, service, repeatable, rate
                )

    async def send_until_over(
        self, balancer: Balancer, service: str, repeatable: bool, rate: float
    ) -> None:
        """Send requests to one service at a steady mean rate."""
        async with anyio.create_task_group() as tasks:
            while not self.is_over:
                self.request_count += 1
                name = f"{service}-{self.request_count}"
                tasks.start_soon(
                    send_one, balancer, service, repeatable, name, self.tally
                )
                await anyio.sleep(self.random_source.expovariate(rate))

    async def submit_jobs(self, balancer: Balancer) -> None:
        """Submit batch and all-or-nothing jobs at steady intervals."""
        folder = self.deployment.folder / "jobs"
        templates = [json.loads(p.read_text()) for p in sorted(folder.glob("*.json"))]
        number = 0
        async with anyio.create_task_group() as tasks:
            while not self.is_over:
                job = dict(templates[number % len(templates)])
                job["job_id"] = f"{job['job_id']}-{number}"
                job["task_count"] = TASKS_PER_JOB
                job["task_args"] = self.draw_task_args(TASKS_PER_JOB)
                tasks.start_soon(self.submit, balancer, job)
                number += 1
                await anyio.sleep(JOB_INTERVAL_S)

    async def submit(self, balancer: Balancer, job: dict) -> None:
        """Submit one job and remember whether it was accepted."""
        team = self.team_of(job["service"])
        job_id = await submit_job(balancer, team, job)
        if job_id is None:
            self.jobs_not_accepted.append((team, job["job_id"]))
        else:
            self.jobs_accepted.append((team, job_id))

    # --- faults ---------------------------------------------------------------------

    async def cause_faults(self, client: httpx.AsyncClient) -> None:
        """Cause all faults one after the other, in a random order."""
        order = list(self.faults)
        self.random_source.shuffle(order)
        for fault in order:
            await fault(client)
            await anyio.sleep(SETTLE_S)
        self.is_over = True

    async def kill_gateway(self, client: httpx.AsyncClient) -> None:
        """Kill a gateway and start it again."""
        number = self.random_source.randrange(self.plan.gateways)
        outage = Outage(self.gateway_urls[number], anyio.current_time())
        self.outages.append(outage)
        self.kill(f"gateway-{number}")
        await anyio.sleep(RESTART_AFTER_S)
        await self.start_and_wait(f"gateway-{number}", client)
        outage.ended_at = anyio.current_time()

    async def kill_scheduler(self, client: httpx.AsyncClient) -> None:
        """Kill a scheduler and start it again after its shards were claimed."""
        role = f"scheduler-{self.random_source.randrange(self.plan.schedulers)}"
        self.kill(role)
        await anyio.sleep(SETTLE_S)
        await self.start_and_wait(role, client)

    async def pause_scheduler(self, client: httpx.AsyncClient) -> None:
        """Stop a scheduler for three lease times and let it go on."""
        number = self.random_source.randrange(self.plan.schedulers)
        name = self.name_process(f"scheduler-{number}")
        self.processes.send(name, signal.SIGSTOP)
        try:
            await anyio.sleep(PAUSE_S)
        finally:
            self.processes.send(name, signal.SIGCONT)

    async def stop_log(self, client: httpx.AsyncClient) -> None:
        """Have the log refuse all calls for some seconds."""
        await self.switch_faults(client, self.log_address(), {"down": True})
        await anyio.sleep(OUTAGE_S)
        await self.switch_faults(client, self.log_address(), {"down": False})

    async def lose_answers(self, client: httpx.AsyncClient) -> None:
        """Let a share of the answers of the log and of all workers get lost."""
        addresses = [vm["address"] for vm in self.plan.vms if vm["role"] == "worker"]
        for share in (LOST_SHARE, 0.0):
            for address in (self.log_address(), *addresses):
                await self.switch_faults(client, address, {"lost_answers": share})
            await anyio.sleep(OUTAGE_S)

    async def roll_all(self, client: httpx.AsyncClient) -> None:
        """Replace every gateway and scheduler, one after the other, by SIGTERM."""
        roles = [f"gateway-{number}" for number in range(self.plan.gateways)]
        roles += [f"scheduler-{number}" for number in range(self.plan.schedulers)]
        for role in roles:
            name = self.name_process(role)
            code = await self.processes.end(name, END_TIMEOUT_S)
            if code == 0:
                self.ended_with_0 += 1
            else:
                self.problems.append(f"{name} ended with {code} after SIGTERM")
            if code is None:
                self.kill(role)
            await self.start_and_wait(role, client)

    def log_address(self) -> str:
        """Return the address of the log stand-in."""
        return f"{HOST}:{self.plan.log_port}"

    async def switch_faults(
        self, client: httpx.AsyncClient, address: str, faults: dict[str, object]
    ) -> None:
        """Switch faults of one stand-in."""
        answer = await client.post(f"http://{address}/stand-in/faults", json=faults)
        answer.raise_for_status()

    async def start_and_wait(self, role: str, client: httpx.AsyncClient) -> None:
        """Start a process again and wait until it says that it is ready."""
        self.start_again(role)
        url = f"http://{self.http_address(role)}/health"
        with anyio.move_on_after(READY_TIMEOUT_S):
            while True:
                try:
                    answer = await client.get(url, timeout=1)
                except httpx.HTTPError:
                    answer = None
                if answer is not None and answer.status_code == 200:
                    return
                await anyio.sleep(POLL_S)
        self.problems.append(f"{self.name_process(role)} is not ready after a restart")

    def http_address(self, role: str) -> str:
        """Return the HTTP address in the settings of a process."""
        path = self.commands[role][-1]
        return json.loads(Path(path).read_text())["http_address"]

    # --- outcomes -------------------------------------------------------------------

    async def collect_records(self, client: httpx.AsyncClient) -> None:
        """Check the records of the stand-ins and of the callers."""
        await super().collect_records(client)
        for broken in find_cut_off(self.tally.broken, self.outages):
            self.problems.append(f"cut off: {broken}")
        for job_id, state in sorted(self.job_states.items()):
            if state != FINISHED:
                self.problems.append(f"job {job_id}: {state}")
        for name in self.processes.find_dead(self.killed):
            self.problems.append(f"{name} ended by itself")
        accounted = self.tally.answered + self.tally.refused + self.tally.unknown
        if accounted + self.tally.wrong != self.tally.sent:
            self.problems.append(f"{self.tally.sent} sent, {accounted} accounted for")
