"""Keep the jobs of services in step with the documents in force."""

from typing import TYPE_CHECKING

import anyio

from gypsumring.documents import DocumentInForce, Replicas
from gypsumring.jobs.model import Job, make_job_key
from gypsumring.jobs.services import (
    choose_moves,
    choose_stops,
    count_spares,
    digest_template,
    make_service_spec,
)
from gypsumring.metrics import RetryReason
from gypsumring.ports import VmRole, VmState
from gypsumring.utils.hashing import choose_ledger

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["ReplicaKeeper"]

FOLLOW_S = 1.0


class ReplicaKeeper:
    """Hold the jobs that come from documents, and move their replicas.

    ``services`` maps a job key to its job.
    """

    __slots__ = ("manager", "next_follow_at", "owned_teams", "services")

    def __init__(self, manager: "JobManager"):
        self.manager = manager
        self.services: dict[str, Job] = {}
        self.owned_teams: dict[str, bool] = {}
        self.next_follow_at = 0.0

    def follow_documents(self) -> None:
        """Keep the jobs of services in step with the documents in force."""
        now = anyio.current_time()
        documents = self.manager.context.documents
        if now >= self.next_follow_at and documents.is_fresh():
            self.next_follow_at = now + FOLLOW_S
            in_force: set[str] = set()
            for entry in documents.list_documents():
                match entry.document.work:
                    case Replicas() as work if self.owns_team(entry.document.team):
                        in_force.add(self.follow_document(entry, work))
            for key in sorted(self.services.keys() - in_force):
                job = self.services[key]
                if job.cancelled_by is None:
                    job.cancelled_by = "the withdrawal of its document"
                    self.manager.stop_job(job)
        leaving = {
            vm.name
            for vm in self.manager.context.list_vms()
            if vm.role is VmRole.WORKER and vm.state is VmState.LEAVING
        }
        for job in list(self.services.values()):
            if job.is_recovered:
                self.move_replicas(job, leaving)
                for attempt in choose_stops(job, now):
                    self.manager.request_stop(attempt)

    def move_replicas(self, job: Job, leaving: set[str]) -> None:
        """Replace replicas on leaving workers, each new one before the old one.

        Batch tasks run on: the VM list tells no time of removal, so a checkpoint could
        cost work on a VM that stays for longer than the task runs.
        """
        if job.cancelled_by is not None:
            return
        now = anyio.current_time()
        spares = count_spares(job, now, leaving)
        if spares != job.spares:
            job.spares = spares
            self.manager.refill(job)
        for attempt in choose_moves(job, now, leaving):
            self.manager.metrics.retry("jobs", RetryReason.WORKER_LEAVING)
            job.note(now, f"task {attempt.index} moves, {attempt.worker} is leaving")
            self.manager.request_stop(attempt)

    def owns_team(self, team: str) -> bool:
        """Tell whether the jobs of a team are in this ledger."""
        if team not in self.owned_teams:
            ledger = choose_ledger(team, self.manager.context.cell.ledgers)
            self.owned_teams[team] = ledger == self.manager.context.shard
        return self.owned_teams[team]

    def follow_document(self, in_force: DocumentInForce, work: Replicas) -> str:
        """Create or change the job of a service and return its key."""
        document = in_force.document
        key = make_job_key(document.team, f"service:{document.name}")
        job = self.services.get(key)
        if job is not None and job.cancelled_by is None:
            if job.spec.document_version == in_force.version:
                return key
        spec = make_service_spec(in_force, work)
        if job is None:
            job = Job(
                key, spec, self.manager.unix_time(), self.manager.ledger.next_sequence
            )
            self.manager.jobs[key] = self.services[key] = job
            job.is_recovered = self.manager.all_racks_heard
            job.queued_at = anyio.current_time()
            if not job.is_recovered:
                self.manager.unrecovered[key] = job
                self.manager.recovery.count_possible_usage()
        # The queue entry depends on the priority, which may change.
        self.manager.pending.discard(job)
        job.spec = spec
        job.template = digest_template(work)
        job.cancelled_by = None
        job.note(
            anyio.current_time(), f"follows version {in_force.version} of its document"
        )
        self.manager.refill(job)
        return key
