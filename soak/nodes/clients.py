"""Clients that submit jobs and query them over connections that they keep open."""

import random
from collections import Counter
from collections.abc import Callable

import anyio
import httpx

from soak.builds import BODY, make_spec
from soak.nodes.fleet import Machine
from stand_ins.platform.world import World

__all__ = ["Clients", "make_headers"]

CALL_LIMIT_MS = 5_000
ANSWER_LIMIT_S = 30.0
MEAN_PAUSE_S = 0.3
SUBMIT_SHARE = 0.3
# The stand-in of the store pages by two records, so that the number of jobs determines
# how long the records of the cell are read.
MAX_JOBS = 120
REFUSALS = (400, 429, 503)
FINAL_STATES = ("completed", "failed", "cancelled", "lost")


def make_headers(limit_ms: int) -> dict[str, str]:
    """Return the headers of a call to the queue of the stand-ins."""
    return {"Host": "jobs.example", "Deadline-Ms": str(limit_ms)}


class Clients:
    """Clients of one run and the outcome of each job."""

    __slots__ = ("accepted", "answers", "report", "submitted", "uncertain", "world")

    def __init__(self, world: World, report: Callable[[str], None]):
        self.world = world
        self.report = report
        self.submitted = 0
        self.accepted: list[str] = []
        self.uncertain: set[str] = set()
        # Number of calls by method and status; status 0 is a lost connection.
        self.answers: Counter[str] = Counter()

    async def run(self, machine: Machine, source: random.Random) -> None:
        """Call one node until cancelled, over one connection while it lasts."""
        limits = httpx.Limits(max_connections=1, keepalive_expiry=None)
        async with httpx.AsyncClient(limits=limits, timeout=ANSWER_LIMIT_S) as client:
            while True:
                if self.submitted < MAX_JOBS and source.random() < SUBMIT_SHARE:
                    await self.submit(client, machine)
                elif self.accepted:
                    await self.query(client, machine, source.choice(self.accepted))
                await anyio.sleep(source.expovariate(1 / MEAN_PAUSE_S))

    async def call(
        self,
        client: httpx.AsyncClient,
        machine: Machine,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> httpx.Response | None:
        """Return the answer to a call, None if the connection was lost."""
        url = f"http://{machine.caller}/batch/{path}"
        headers = make_headers(CALL_LIMIT_MS)
        try:
            answer = await client.request(method, url, content=body, headers=headers)
        except httpx.HTTPError:
            answer = None
        self.answers[f"{method} {answer.status_code if answer else 0}"] += 1
        return answer

    async def submit(self, client: httpx.AsyncClient, machine: Machine) -> bool:
        """Submit a new job and return whether it was accepted."""
        self.submitted += 1
        job_id = f"{self.submitted:016x}"
        self.world.jobs[job_id] = make_spec(job_id)
        answer = await self.call(client, machine, "POST", job_id, BODY)
        status = answer.status_code if answer else 0
        if status == 200:
            self.accepted.append(job_id)
        elif status in REFUSALS:
            self.world.refused.add(job_id)
        else:
            self.uncertain.add(job_id)
        return status == 200

    async def query(
        self, client: httpx.AsyncClient, machine: Machine, job_id: str
    ) -> str:
        """Return the state of an accepted job, empty if no owner was reached."""
        answer = await self.call(client, machine, "GET", job_id)
        if answer is None or answer.status_code == 503:
            return ""
        if answer.status_code != 200:
            self.report(f"LOST: {job_id} is answered {answer.status_code}")
            return "lost"
        return answer.json()["state"]

    async def check_ends(
        self, client: httpx.AsyncClient, machines: list[Machine], deadline: float
    ) -> None:
        """Check that all accepted jobs are completed before the deadline."""
        for number, job_id in enumerate(self.accepted):
            machine = machines[number % len(machines)]
            state = ""
            while state not in FINAL_STATES and anyio.current_time() < deadline:
                state = await self.query(client, machine, job_id)
                if state not in FINAL_STATES:
                    await anyio.sleep(0.1)
            if state != "completed":
                self.report(f"LOST: {job_id} is {state or 'not known'} at the end")

    def check_refused(self) -> None:
        """Check that no task of a refused job was started."""
        for task in self.world.starts:
            if task.partition(".")[0] in self.world.refused:
                self.report(f"REFUSED: {task} was started")
