"""Checks of the invariants from outside of the cell's own code."""

import json
import math

import anyio
import msgspec

from gypsumring.jobs.model import make_job_key, split_task_id
from gypsumring.messages.work import JobState
from soak.callers import Callers
from soak.cell import SoakCell
from soak.load import NON_REPEATABLE, Load

__all__ = ["Checks"]

# Bound of section 1 for a configuration to be in force on every node.
IN_FORCE_S = 15.0
FINAL_JOB_STATES = {
    JobState.SUCCEEDED,
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.IMPOSSIBLE,
}


class Checks:
    """Compare the stand-ins' records with what callers were told."""

    def __init__(self, cell: SoakCell, callers: Callers, load: Load):
        self.cell = cell
        self.callers = callers
        self.load = load
        self.offsets: dict[int, int] = {}
        self.versions: dict[tuple[int, str], int] = {}
        self.faults_ended_at = math.inf
        self.settled: set[tuple[str, str]] = set()
        self.accepted_lost = 0
        self.duplicate_runs = 0

    # --- at every step ------------------------------------------------------------

    def observe(self) -> None:
        """Check what must hold at every moment."""
        self.cell.platform.observe()
        self.check_owners()
        self.check_configuration()
        self.check_capacity()
        now = anyio.current_time()
        if now >= self.faults_ended_at + IN_FORCE_S:
            for text in self.documents_behind(now - IN_FORCE_S):
                self.cell.report(f"{text} after {IN_FORCE_S:g} s")

    def check_owners(self) -> None:
        """Never may two scheduler processes act for one shard."""
        now = anyio.current_time()
        owner: dict[str, str] = {}
        for process in self.cell.processes:
            if process.is_gateway or not process.is_alive:
                continue
            keeper = process.node.keeper
            for shard in sorted(keeper.holdings):
                if keeper.may_act_until(shard) <= now:
                    continue
                if shard in owner:
                    self.cell.report(
                        f"{owner[shard]} and {process.name} may act for {shard}"
                    )
                owner[shard] = process.name

    def check_configuration(self) -> None:
        """No process goes back to an older offset or version."""
        for process in self.cell.processes:
            if not process.is_alive:
                continue
            documents = process.node.documents
            known = self.offsets.get(id(process), -1)
            if documents.offset_in_force < known:
                self.cell.report(f"{process.name} went back from offset {known}")
            self.offsets[id(process)] = documents.offset_in_force
            for in_force in documents.list_documents():
                name = in_force.document.name
                version = self.versions.get((id(process), name), 0)
                if in_force.version < version:
                    self.cell.report(f"{process.name} went back on {name}")
                self.versions[id(process), name] = in_force.version

    def check_capacity(self) -> None:
        """Report what workers and executors recorded beyond their limits."""
        platform = self.cell.platform
        for name, worker in (platform.workers | platform.retired).items():
            for at, allocated in worker.overcommits:
                self.cell.report(f"overcommit of {name} at {at:.3f}: {allocated}")
        for name, executor in platform.executors.items():
            for at, number in executor.slot_overcommits:
                self.cell.report(f"{number} slots in use at {name} at {at:.3f}")
            for at, number in executor.connection_overcommits:
                self.cell.report(f"{number} connections at {name} at {at:.3f}")
        for at, name, call in platform.late_runs:
            self.cell.report(f"{call} ran at leaving {name} at {at:.3f}")
        for task, first, second, at in platform.task_runs.double_runs:
            self.cell.report(f"{task} ran on {first} and {second} at {at:.3f}")
        for task, attempt in platform.task_runs.repeated_attempts:
            self.cell.report(f"attempt {attempt} of {task} started twice")

    # --- at the end ---------------------------------------------------------------

    def check_calls(self) -> None:
        """Compare each caller's answer with the runs at executors."""
        runs = self.cell.platform.runs_by_call
        for call in self.callers.calls:
            reply = call.reply
            if reply is None:
                continue
            match reply.outcome:
                case "refused":
                    if call.name in runs:
                        self.cell.report(f"{call.name} was refused but ran")
                case "answered":
                    self.check_answer(call.name, call.body, reply.body)
                case "unknown":
                    pass
                case other:
                    self.cell.report(f"{call.name} was told {other!r}")

    def check_answer(self, name: str, sent: bytes, received: bytes) -> None:
        """The body of an answer is a run's request id and what the caller sent."""
        request_id, _, rest = received.partition(b" ")
        if rest != sent or request_id.decode() not in (
            self.cell.platform.runs_by_request
        ):
            self.cell.report(f"{name} got another's or a partial answer: {received!r}")

    def check_keys(self) -> None:
        """No key of a service that may not be repeated runs twice."""
        for key, runs in sorted(self.cell.platform.runs_by_key.items()):
            if len(runs) > 1:
                self.duplicate_runs += 1
                where = ", ".join(f"{r.executor} at {r.started_at:.3f}" for r in runs)
                self.cell.report(f"{key} ran {len(runs)} times: {where}")
        self.duplicate_runs += len(self.cell.platform.task_runs.double_runs)
        self.duplicate_runs += len(self.cell.platform.task_runs.repeated_attempts)
        answers: dict[tuple[str, str], bytes] = {}
        for call in self.callers.calls:
            if call.reply is None or call.reply.outcome != "answered":
                continue
            if call.service in NON_REPEATABLE:
                first = answers.setdefault((call.service, call.key), call.reply.body)
                if first != call.reply.body:
                    self.cell.report(f"{call.name} got a second answer to {call.key}")

    def documents_behind(self, accepted_before: float) -> list[str]:
        """Return documents accepted by then that are not in force on some node."""
        behind = []
        latest: dict[str, int] = {}
        for (name, version), accepted_at in self.load.accepted_at.items():
            if accepted_at <= accepted_before:
                latest[name] = max(version, latest.get(name, 0))
        for process in self.cell.gateways + self.cell.schedulers:
            for name, version in latest.items():
                in_force = process.node.documents.get(name)
                if in_force is None or in_force.version < version:
                    behind.append(
                        f"{name} v{version} is not in force on {process.name}"
                    )
        return behind

    def check_documents(self) -> None:
        """Every node has the same documents and those that were accepted."""
        lost = self.documents_behind(anyio.current_time())
        self.accepted_lost += len(lost)
        for text in lost:
            self.cell.report(text)
        views = {}
        for process in self.cell.gateways + self.cell.schedulers:
            listed = process.node.documents.list_documents()
            views[process.name] = [(d.document.name, d.version) for d in listed]
            for in_force in listed:
                self.check_content(process.name, in_force)
        if len({json.dumps(view) for view in views.values()}) > 1:
            self.cell.report("nodes have different documents in force")

    def check_content(self, node: str, in_force) -> None:
        """A version holds the content that was accepted or at least attempted."""
        name, version = in_force.document.name, in_force.version
        accepted = self.load.accepted.get((name, version))
        possible = self.load.attempted.get((name, version), [])
        contents = [accepted] if accepted is not None else possible
        shown = msgspec.json.decode(msgspec.json.encode(in_force.document))
        for content in contents:
            sent = json.loads(content)
            if shown["description"] == sent.get("description", ""):
                return
        self.cell.report(f"{name} v{version} on {node} is not what was accepted")

    async def unfinished_jobs(self) -> list[str]:
        """Ask for all accepted jobs; return those that are not in a final state."""
        unfinished = []
        for job in self.load.jobs.values():
            if job.accepted_at is None:
                continue
            state = await self.query_job(job.team, job.job_id)
            if state not in FINAL_JOB_STATES:
                unfinished.append(f"{job.team}/{job.job_id} ({job.service}) is {state}")
        return unfinished

    async def query_job(self, team: str, job_id: str) -> str:
        """Return the state of a job, "lost" if its ledger does not know it."""
        gateway = self.callers.pick_gateway()
        if gateway is None:
            return "not answered"
        reply = await self.callers.send(gateway, "GET", f"/jobs/{team}/{job_id}")
        if reply is None:
            return "not answered"
        if reply.status == 404:
            return "lost"
        if reply.status != 200:
            return "not answered"
        return json.loads(reply.body)["state"]

    def check_refused_jobs(self) -> None:
        """No task of a job that was refused ever ran."""
        ran = {split_task_id(t)[0] for t in self.cell.platform.task_runs.by_task}
        for job in self.load.jobs.values():
            if not job.refused or job.uncertain or job.accepted_at is not None:
                continue
            if make_job_key(job.team, job.job_id) in ran:
                self.cell.report(f"{job.team}/{job.job_id} was refused but ran")

    async def unsettled_keys(self) -> list[str]:
        """Send each key again until its answer is final; return the other keys."""
        for (service, key), body in self.load.keys.items():
            if (service, key) in self.settled:
                continue
            gateway = self.callers.pick_gateway()
            if gateway is None:
                break
            call = await self.callers.request(gateway, service, key, body)
            if call.reply and call.reply.outcome in ("answered", "unknown"):
                self.settled.add((service, key))
        return [
            f"{service}/{key}"
            for service, key in self.load.keys
            if (service, key) not in self.settled
        ]
