"""Random load: requests, jobs, cancellations and racing publications."""

import json
import random

import anyio
import msgspec

from soak.callers import Callers, Reply
from soak.cell import TEAMS, SoakCell

__all__ = ["Load", "SubmittedJob"]

REPEATABLE = ("stock-checks", "site-lookups")
NON_REPEATABLE = ("customs", "certificates")
DOCUMENT_COUNT_RACED = 6
IMPOSSIBLE_CPU_MILLIS = 900_000


class SubmittedJob(msgspec.Struct):
    """Record a job and what its submitter was told."""

    team: str
    job_id: str
    service: str
    submission: bytes
    accepted_at: float | None = None
    refused: bool = False
    uncertain: bool = False
    cancelled: bool = False


class Load:
    """Generate load and remember what was accepted."""

    def __init__(self, cell: SoakCell, callers: Callers, random_source: random.Random):
        self.cell = cell
        self.callers = callers
        self.random_source = random_source
        self.jobs: dict[str, SubmittedJob] = {}
        self.keys: dict[tuple[str, str], bytes] = {}
        # Accepted and attempted document contents by (name, version).
        self.accepted: dict[tuple[str, int], bytes] = {}
        self.attempted: dict[tuple[str, int], list[bytes]] = {}
        self.accepted_at: dict[tuple[str, int], float] = {}
        self.counts: dict[str, int] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Count work done."""
        self.counts[name] = self.counts.get(name, 0) + number

    # --- documents ----------------------------------------------------------------

    def first_documents(self) -> dict[str, dict]:
        """Return the team and content of the documents that the load needs."""
        documents: dict[str, dict] = {}
        for name in REPEATABLE:
            documents[name] = self.requests_document(name, "marea", True, 2_000)
        for name in NON_REPEATABLE:
            documents[name] = self.requests_document(name, "clyde", False, 4_000)
        for team in TEAMS:
            small = {"cpu_millis": 500, "memory_mb": 800, "declared_run_ms": 2_000}
            large = {"cpu_millis": 3_000, "memory_mb": 5_000, "declared_run_ms": 500}
            impossible = {"cpu_millis": IMPOSSIBLE_CPU_MILLIS, "memory_mb": 100}
            works = {
                "batch": {"type": "batch", "task": small, "finish_within_ms": 60_000},
                "routes": {"type": "batch", "task": large},
                "callouts": {"type": "batch", "task": small, "priority": 2},
                "once": {"type": "batch", "task": small | {"at_most_once": True}},
                "gang": {"type": "gang", "task": small},
                "plan": {"type": "gang", "task": large | {"accelerators": 1}},
                "impossible": {"type": "batch", "task": impossible},
                "site": {"type": "replicas", "task": small, "count": 2},
            }
            for kind, work in works.items():
                name = f"{team}-{kind}"
                documents[name] = {"name": name, "team": team, "work": work}
        return documents

    def requests_document(
        self, name: str, team: str, repeatable: bool, deadline_ms: int
    ) -> dict:
        """Return the document of a service that takes requests."""
        work = {
            "type": "requests",
            "pool": "live-shipping",
            "repeatable": repeatable,
            "deadline_ms": deadline_ms,
        }
        return {"name": name, "team": team, "work": work}

    async def publish_first(self) -> None:
        """Publish the documents that the load needs, before any fault."""
        for name, document in self.first_documents().items():
            version = None
            while version is None:
                version = await self.publish(name, document, 0)
                await anyio.sleep(0.1)

    async def publish(self, name: str, document: dict, based_on: int) -> int | None:
        """Publish a document through a gateway; return the accepted version."""
        gateway = self.callers.pick_gateway()
        if gateway is None:
            return None
        content = json.dumps(document | {"based_on": based_on}).encode()
        attempted = self.attempted.setdefault((name, based_on + 1), [])
        attempted.append(content)
        reply = await self.callers.send(
            gateway,
            "PUT",
            f"/documents/{name}",
            content,
            self.callers.team_headers(document["team"]),
        )
        if reply is None or reply.status != 200:
            self.note("publish", name, reply)
            return None
        version = json.loads(reply.body)["version"]
        self.note("publish", f"{name} v{version}", reply)
        other = self.accepted.get((name, version))
        if other is not None and other != content:
            self.cell.report(
                f"two operators were told that {name} v{version} is theirs"
            )
        self.accepted[name, version] = content
        self.accepted_at[name, version] = anyio.current_time()
        self.count("documents_accepted")
        return version

    def note(self, kind: str, name: str, reply: Reply | None) -> None:
        """Add what a caller was told to the trace."""
        told = "nothing"
        if reply is not None:
            told = f"{reply.status} {reply.headers.get('gypsumring-reason', '')}"
        self.cell.trace.note(anyio.current_time(), f"{kind} {name} told {told}")

    async def edit_document(self) -> None:
        """Publish a change based on a version that a gateway shows."""
        source = self.random_source
        gateway = self.callers.pick_gateway()
        if gateway is None:
            return
        names = [d.document.name for d in gateway.node.documents.list_documents()]
        if not names:
            return
        raced = names[:DOCUMENT_COUNT_RACED] + [n for n in names if "site" in n]
        name = source.choice(raced)
        shown = await self.callers.send(gateway, "GET", f"/documents/{name}")
        if shown is None or shown.status != 200:
            return
        in_force = json.loads(shown.body)
        document = in_force["document"]
        document["description"] = f"edit {source.getrandbits(32)}"
        if document["work"]["type"] == "replicas":
            document["work"]["count"] = source.randint(0, 6)
        document.pop("based_on")
        await anyio.sleep(source.uniform(0, 1))
        await self.publish(name, document, in_force["version"])

    # --- jobs ---------------------------------------------------------------------

    def make_job(self) -> SubmittedJob:
        """Make up a job with random real sizes, run times and faults."""
        source = self.random_source
        team = source.choice(TEAMS)
        kind = source.choices(
            ("batch", "routes", "callouts", "once", "gang", "plan", "impossible"),
            (8, 3, 4, 2, 3, 1, 1),
        )[0]
        count = source.randint(1, 4 if kind in ("routes", "plan") else 8)
        args = []
        for _ in range(count):
            behaviour: dict = {"run_ms": int(source.expovariate(1 / 3_000)) + 50}
            if source.random() < 0.2:
                behaviour["cpu_millis"] = source.randint(50, 4_000)
                behaviour["memory_mb"] = source.randint(50, 8_000)
            if source.random() < 0.02:
                behaviour["fails"] = True
            if source.random() < 0.01:
                behaviour["refuses"] = True
            args.append(json.dumps(behaviour))
        job_id = f"job-{len(self.jobs)}"
        submission = {
            "job_id": job_id,
            "service": f"{team}-{kind}",
            "task_count": count,
            "task_args": args,
        }
        job = SubmittedJob(
            team, job_id, f"{team}-{kind}", json.dumps(submission).encode()
        )
        self.jobs[job_id] = job
        return job

    async def submit(self, job: SubmittedJob) -> None:
        """Submit a job, sometimes again when the answer left it open."""
        for _ in range(self.random_source.randint(1, 3)):
            gateway = self.callers.pick_gateway()
            if gateway is None:
                return
            reply = await self.callers.send(
                gateway,
                "POST",
                "/jobs",
                job.submission,
                self.callers.team_headers(job.team),
            )
            self.note("submit", job.job_id, reply)
            if reply is None:
                job.uncertain = True
                continue
            if reply.status == 202:
                job.accepted_at = job.accepted_at or anyio.current_time()
                self.count("jobs_accepted")
                return
            if reply.status == 422:
                self.count("jobs_impossible")
                return
            if reply.outcome == "refused":
                job.refused = True
                self.count("jobs_refused")
            else:
                job.uncertain = True
            if job.refused and self.random_source.random() < 0.5:
                return
            await anyio.sleep(self.random_source.uniform(0.1, 2))

    async def cancel_some(self) -> None:
        """Cancel a wave of jobs of one team."""
        source = self.random_source
        team = source.choice(TEAMS)
        recent = [j for j in list(self.jobs.values())[-30:] if j.team == team]
        gateway = self.callers.pick_gateway()
        if gateway is None or not recent:
            return
        chosen = source.sample(recent, source.randint(1, len(recent)))
        body = json.dumps({"job_ids": [job.job_id for job in chosen]}).encode()
        for job in chosen:
            job.cancelled = True
        reply = await self.callers.send(
            gateway, "POST", "/jobs/cancel", body, self.callers.team_headers(team)
        )
        self.note("cancel", f"{len(chosen)} of {team}", reply)
        self.count("cancellations", len(chosen))

    # --- requests -----------------------------------------------------------------

    async def send_request(self) -> None:
        """Send one request, with a key if it may not be repeated."""
        source = self.random_source
        gateway = self.callers.pick_gateway()
        if gateway is None:
            return
        deadline_ms = source.choice((0, 0, 150, 500, 1_000, 2_000))
        patience_s = source.uniform(0.01, 0.5) if source.random() < 0.05 else 90.0
        if source.random() < 0.6:
            body = f"body {source.getrandbits(64):x}".encode()
            await self.callers.request(
                gateway,
                source.choice(REPEATABLE),
                "",
                body,
                deadline_ms,
                patience_s,
            )
            return
        if self.keys and source.random() < 0.35:
            service, key = source.choice(list(self.keys)[-20:])
        else:
            service, key = source.choice(NON_REPEATABLE), f"key-{len(self.keys)}"
            self.keys[service, key] = f"body of {key} {source.getrandbits(64)}".encode()
        await self.callers.request(
            gateway, service, key, self.keys[service, key], deadline_ms, patience_s
        )

    def step(self, group: anyio.abc.TaskGroup, burst: float) -> None:
        """Start the load of one step; ``burst`` multiplies the requests."""
        source = self.random_source
        for _ in range(int(source.expovariate(1 / (1.2 * burst)))):
            group.start_soon(self.send_request)
        if source.random() < 0.09:
            group.start_soon(self.submit, self.make_job())
        if source.random() < 0.03:
            group.start_soon(self.edit_document)
            if source.random() < 0.5:
                group.start_soon(self.edit_document)
        if source.random() < 0.006:
            group.start_soon(self.cancel_some)
