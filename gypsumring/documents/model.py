"""Documents that teams publish, one per service."""

from typing import Annotated, Protocol

import msgspec

from gypsumring.messages.work import Priority, Resources

__all__ = [
    "BatchRuns",
    "Document",
    "DocumentInForce",
    "DocumentLookup",
    "GangRuns",
    "Replicas",
    "RequestHandling",
    "TaskTemplate",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=7 * 86_400_000)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]


class TaskTemplate(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Describe each task of a service.

    ``cpu_millis`` are thousandths of a core, ``memory_mb`` MiB.
    """

    cpu_millis: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=16_000_000)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    declared_run_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 5
    at_most_once: bool = False

    @property
    def resources(self) -> Resources:
        """Return the declared resources of one task."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


class RequestHandling(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, tag="requests"
):
    """Serve callers' requests by the executors of a pool.

    ``concurrency`` limits the requests in flight from each gateway.
    ``retry_budget_percent`` limits retries as a share of requests.
    """

    pool: Name
    repeatable: bool
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 2_000
    max_request_bytes: Annotated[int, msgspec.Meta(ge=0, le=16_777_216)] = 1_048_576
    max_response_bytes: Annotated[int, msgspec.Meta(ge=0, le=16_777_216)] = 1_048_576
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 200
    retry_budget_percent: Percent = 10


class Replicas(msgspec.Struct, forbid_unknown_fields=True, frozen=True, tag="replicas"):
    """Keep a number of replicas running."""

    task: TaskTemplate
    count: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    max_unavailable: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1
    priority: Priority = Priority.NORMAL


class BatchRuns(msgspec.Struct, forbid_unknown_fields=True, frozen=True, tag="batch"):
    """Run submitted jobs whose tasks are independent.

    ``finish_within_ms`` counts from acceptance; 0 means no limit.
    """

    task: TaskTemplate
    finish_within_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    priority: Priority = Priority.BATCH


class GangRuns(msgspec.Struct, forbid_unknown_fields=True, frozen=True, tag="gang"):
    """Run submitted jobs whose tasks start all together or not at all."""

    task: TaskTemplate
    finish_within_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    priority: Priority = Priority.NORMAL


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """State what a team wants of one service.

    ``based_on`` is the version that the author saw (0 for a new document); the
    published version is ``based_on + 1``.
    """

    name: Name
    team: Name
    based_on: Annotated[int, msgspec.Meta(ge=0)] = 0
    description: str = ""
    work: RequestHandling | Replicas | BatchRuns | GangRuns


class DocumentInForce(msgspec.Struct, frozen=True):
    """Hold a document with its version and the config offset that published it."""

    document: Document
    version: int
    offset: int


class DocumentLookup(Protocol):
    """Read the documents in force."""

    def get(self, name: str) -> DocumentInForce | None:
        """Return the document of a service."""

    def list_documents(self) -> list[DocumentInForce]:
        """Return all documents in force, in the order of their names."""

    def is_fresh(self) -> bool:
        """Tell whether the documents are loaded and known to be recent."""
