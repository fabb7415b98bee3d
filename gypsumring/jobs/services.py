"""Services: jobs made from documents, and their rolling change."""

import msgspec
import xxhash

from gypsumring.documents import DocumentInForce, Replicas
from gypsumring.jobs.model import Attempt, AttemptState, Job
from gypsumring.messages.work import JobSpec, ServiceWork

# A replica counts as available after this time; many faults show at once.
READY_S = 3.0

__all__ = [
    "choose_moves",
    "choose_stops",
    "count_spares",
    "digest_template",
    "make_service_spec",
]


def make_service_spec(in_force: DocumentInForce, work: Replicas) -> JobSpec:
    """Return the job that keeps the replicas of a document running."""
    document = in_force.document
    return JobSpec(
        # A colon is not allowed in submitted job ids, so the two never collide.
        job_id=f"service:{document.name}",
        team=document.team,
        service=document.name,
        document_version=in_force.version,
        priority=work.priority,
        work=ServiceWork(work.max_unavailable),
        task_count=work.count,
        task_resources=work.task.resources,
        declared_run_ms=work.task.declared_run_ms,
    )


def digest_template(work: Replicas) -> str:
    """Return a digest of what makes a replica outdated when it changes.

    It is part of the task ids, so that a new owner can tell which replicas are
    outdated; a change of the count or the description alone replaces none.
    """
    template = msgspec.json.encode((work.task, work.priority))
    return f"{xxhash.xxh64_intdigest(template):016x}"


def choose_stops(job: Job, now: float) -> list[Attempt]:
    """Return the replicas to stop now: surplus ones, and outdated ones in turn.

    Outdated replicas are stopped only while fewer than ``max_unavailable`` replicas
    are not running for some seconds, so a new version that fails halts the change.
    """
    stops: list[Attempt] = []
    available = 0
    outdated: list[Attempt] = []
    for index in sorted(job.live):
        attempt = job.live[index]
        if attempt.stop_requested:
            continue
        if index >= job.wanted_count:
            stops.append(attempt)
        elif index < job.spec.task_count and attempt.state is AttemptState.RUNNING:
            if is_available(attempt, now):
                available += 1
            if attempt.template != job.template:
                outdated.append(attempt)
    unavailable = job.spec.task_count - available
    match job.spec.work:
        case ServiceWork(max_unavailable):
            stops += outdated[: max(0, max_unavailable - unavailable)]
    return stops


def is_available(attempt: Attempt, now: float) -> bool:
    """Tell whether a replica has run for some seconds and is not being stopped."""
    return (
        attempt.state is AttemptState.RUNNING
        and not attempt.stop_requested
        and now - (attempt.running_since or 0.0) >= READY_S
    )


def count_spares(job: Job, now: float, leaving: set[str]) -> int:
    """Return how many replicas to run above the count while others are moved.

    Spare replicas run until those that they stood in for are available elsewhere.
    """
    replicas = [a for index, a in job.live.items() if index < job.spec.task_count]
    moving = sum(attempt.worker in leaving for attempt in replicas)
    if moving:
        match job.spec.work:
            case ServiceWork(max_unavailable):
                return max(job.spares, min(moving, max(1, max_unavailable)))
    available = sum(is_available(attempt, now) for attempt in replicas)
    return 0 if available >= job.spec.task_count else job.spares


def choose_moves(job: Job, now: float, leaving: set[str]) -> list[Attempt]:
    """Return the replicas on leaving workers that others can stand in for now."""
    available = [a for _, a in sorted(job.live.items()) if is_available(a, now)]
    moving = [
        attempt
        for attempt in available
        if attempt.worker in leaving and attempt.index < job.spec.task_count
    ]
    return moving[: max(0, len(available) - job.spec.task_count)]
