"""Run one deployment's cell under load and faults for a limited time."""

import json
import random
from pathlib import Path

import anyio
import httpx

from demo.cells import HOST, CellPlan, Deployment
from demo.load import (
    Balancer,
    RequestTally,
    send_requests,
    submit_job,
    wait_for_jobs,
)
from demo.processes import ProcessGroup

__all__ = ["GATEWAYS", "SCHEDULERS", "CellRun"]

GATEWAYS = 3
SCHEDULERS = 3
START_TIMEOUT_S = 30
REQUEST_RATE = 40.0
JOB_TIMEOUT_S = 60
# An executor must receive no new work this long after the VM list shows it leaving.
MAX_LEAVING_DELAY_S = 3
# Delay until the stand-in of the VM list shows a change.
VM_LIST_LAG_S = 2


class CellRun:
    """One run of a cell: its processes, its load and the problems that were found."""

    __slots__ = (
        "commands",
        "deployment",
        "gateway_urls",
        "jobs_accepted",
        "job_states",
        "killed",
        "plan",
        "problems",
        "processes",
        "random_source",
        "seconds",
        "tally",
    )

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        seed: int | str,
        seconds: float,
        gateways: int = GATEWAYS,
        schedulers: int = SCHEDULERS,
    ):
        self.deployment = deployment
        self.plan = CellPlan(deployment, folder, gateways, schedulers)
        self.processes = ProcessGroup(folder)
        self.random_source = random.Random(f"{deployment.name}/{seed}")
        self.seconds = seconds
        self.tally = RequestTally()
        self.gateway_urls: list[str] = []
        self.jobs_accepted: list[tuple[str, str]] = []
        self.job_states: dict[str, str] = {}
        self.problems: list[str] = []
        self.commands: dict[str, tuple[str, ...]] = {}
        # Processes that a fault killed and that have not been restarted.
        self.killed: set[str] = set()

    async def run(self) -> None:
        """Start the cell, run load and faults, check the records and stop the cell."""
        self.start_processes()
        try:
            async with httpx.AsyncClient(
                limits=httpx.Limits(max_connections=200)
            ) as client:
                await self.publish_and_run_load(client)
                await self.collect_records(client)
        finally:
            exit_codes = self.processes.stop_all()
        for name, code in exit_codes.items():
            if code != 0 and name not in self.killed:
                self.problems.append(f"{name} exited with code {code}")

    def name_process(self, role: str) -> str:
        """Return the process name of a role in this cell."""
        return f"{self.deployment.name}-{role}"

    def start_processes(self) -> None:
        """Write all settings and start the stand-ins, schedulers and gateways."""
        schedulers = [
            self.plan.write_scheduler(number)[0]
            for number in range(self.plan.schedulers)
        ]
        gateways = [
            self.plan.write_gateway(number) for number in range(self.plan.gateways)
        ]
        for name, (role, path) in self.plan.write_stand_ins().items():
            self.start(name, "stand_ins", role, "--settings", str(path))
        for number, path in enumerate(schedulers):
            self.start(
                f"scheduler-{number}", "gypsumring.scheduler", "--settings", str(path)
            )
        for number, (path, port) in enumerate(gateways):
            self.start(
                f"gateway-{number}", "gypsumring.gateway", "--settings", str(path)
            )
            self.gateway_urls.append(f"http://{HOST}:{port}")

    def start(self, role: str, module: str, *arguments: str) -> None:
        """Start one process of this cell."""
        self.commands[role] = (module, *arguments)
        self.processes.start(self.name_process(role), module, *arguments)

    def kill(self, role: str) -> None:
        """Kill one process with SIGKILL, so that it cannot clean up."""
        self.killed.add(self.name_process(role))
        self.processes.kill(self.name_process(role))

    def start_again(self, role: str) -> None:
        """Restart a process that has ended, with the same command and settings."""
        self.killed.discard(self.name_process(role))
        self.processes.start(self.name_process(role), *self.commands[role])

    async def publish_and_run_load(self, client: httpx.AsyncClient) -> None:
        """Publish the documents, run load and faults, and wait for the jobs to end."""
        balancer = Balancer(client, self.gateway_urls)
        balancer.healthy = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(balancer.run)
            with anyio.fail_after(START_TIMEOUT_S):
                while len(balancer.healthy) < self.plan.gateways:
                    await anyio.sleep(0.1)
                services = await self.publish_documents(balancer)
                await self.wait_for_capacity(balancer, services)
            await self.run_load(client, balancer, services)
            self.job_states = await wait_for_jobs(
                balancer, self.jobs_accepted, anyio.current_time() + JOB_TIMEOUT_S
            )
            tasks.cancel_scope.cancel()

    async def run_load(
        self,
        client: httpx.AsyncClient,
        balancer: Balancer,
        services: list[tuple[str, bool]],
    ) -> None:
        """Send requests and submit jobs while faults are injected."""
        async with anyio.create_task_group() as load:
            load.start_soon(self.cause_faults, client)
            load.start_soon(self.submit_jobs, balancer)
            for service, repeatable in services:
                count = int(self.seconds * REQUEST_RATE / (1 if repeatable else 4))
                load.start_soon(
                    send_requests,
                    balancer,
                    service,
                    repeatable,
                    count,
                    count / self.seconds,
                    self.tally,
                    self.random_source,
                )

    async def publish_documents(self, balancer: Balancer) -> list[tuple[str, bool]]:
        """Publish all example documents; return the services that serve requests."""
        services = []
        for path in sorted((self.deployment.folder / "documents").glob("*.json")):
            document = json.loads(path.read_text())
            gateway = await balancer.pick_gateway()
            response = await balancer.client.put(
                f"{gateway}/documents/{document['name']}",
                content=path.read_bytes(),
                headers={
                    "authorization": f"Bearer example-{document['team']}",
                    "gypsumring-team": document["team"],
                },
                timeout=10,
            )
            if not response.is_success:
                self.problems.append(f"publish {path.name}: {response.text}")
            if document["work"]["type"] == "requests":
                services.append((document["name"], document["work"]["repeatable"]))
        return services

    async def wait_for_capacity(
        self, balancer: Balancer, services: list[tuple[str, bool]]
    ) -> None:
        """Wait until every gateway answers a repeatable request."""
        service = next(name for name, repeatable in services if repeatable)
        for gateway in self.gateway_urls:
            while True:
                response = await balancer.client.post(
                    f"{gateway}/services/{service}/run", content=b"{}", timeout=15
                )
                if response.headers.get("gypsumring-outcome") == "answered":
                    break
                await anyio.sleep(0.2)

    async def submit_jobs(self, balancer: Balancer) -> None:
        """Submit the example jobs; actual run times differ from the declared times."""
        for path in sorted((self.deployment.folder / "jobs").glob("*.json")):
            job = json.loads(path.read_text())
            job["task_args"] = self.draw_task_args(job["task_count"])
            team = self.team_of(job["service"])
            job_id = await submit_job(balancer, team, job)
            if job_id is None:
                self.problems.append(f"job {job['job_id']} was not accepted")
            else:
                self.jobs_accepted.append((team, job_id))

    def draw_task_args(self, count: int) -> list[str]:
        """Return arguments that let each task run for 200 to 3000 ms."""
        return [
            json.dumps({"run_ms": self.random_source.randint(200, 3000)})
            for _ in range(count)
        ]

    def team_of(self, service: str) -> str:
        """Return the team that owns a service's document."""
        path = self.deployment.folder / "documents" / f"{service}.json"
        return json.loads(path.read_text())["team"]

    async def cause_faults(self, client: httpx.AsyncClient) -> None:
        """Mark an executor as leaving, then kill a gateway and a scheduler."""
        await anyio.sleep(self.seconds * 0.2)
        await self.mark_executor_leaving(client)
        await anyio.sleep(self.seconds * 0.2)
        self.kill(f"gateway-{self.plan.gateways - 1}")
        await anyio.sleep(self.seconds * 0.1)
        self.kill(f"scheduler-{self.plan.schedulers - 1}")

    async def mark_executor_leaving(self, client: httpx.AsyncClient) -> None:
        """List an executor as leaving; after the bound, it counts new work as late."""
        leaving = next(vm for vm in self.plan.vms if vm["role"] == "executor")
        url = f"{self.plan.make_platform_settings()['vm_list_url']}/stand-in/vms"
        await client.post(url, json={"leaving": leaving["name"]})
        # The bound runs from the time at which the VM list shows the change.
        await anyio.sleep(VM_LIST_LAG_S + MAX_LEAVING_DELAY_S)
        await client.post(
            f"http://{leaving['address']}/stand-in/faults", json={"leaving": True}
        )

    async def collect_records(self, client: httpx.AsyncClient) -> None:
        """Collect invariant violations from stand-ins, answers and process output."""
        for vm in self.plan.vms:
            if vm["role"] == "entry":
                continue
            url = f"http://{vm['address']}/stand-in/record"
            record = (await client.get(url, timeout=10)).json()
            for field in (
                "overcommits",
                "double_runs",
                "slot_overcommits",
                "connection_overcommits",
                "late_starts",
                "repeated_keys",
            ):
                if record.get(field):
                    self.problems.append(f"{vm['name']}: {field}: {record[field][:3]}")
        await self.check_runs(client)
        if self.tally.wrong:
            self.problems.append(f"{self.tally.wrong} wrong answers")
        for name in self.processes.processes:
            for line in self.processes.read_output(name).splitlines():
                if "InvariantViolation" in line:
                    self.problems.append(f"{name}: {line}")

    async def check_runs(self, client: httpx.AsyncClient) -> None:
        """Check that answered attempts ran and that refused attempts did not run."""
        executor = next(vm for vm in self.plan.vms if vm["role"] == "executor")
        url = f"http://{executor['address']}/stand-in/runs"
        executed_labels = set((await client.get(url, timeout=10)).json())
        for label in sorted(self.tally.refused_labels & executed_labels):
            self.problems.append(f"{label} was refused and ran")
        for label in sorted(self.tally.answered_labels - executed_labels):
            self.problems.append(f"{label} was answered and did not run")
