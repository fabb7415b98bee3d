"""Records that the system appends to the log."""

from typing import Generic, TypeVar

import msgspec

from gypsumring.messages.work import JobSpec, JobState

__all__ = [
    "BodyType",
    "Claim",
    "ConfigBody",
    "ConfigSnapshot",
    "ControlBody",
    "ControlSnapshot",
    "DocumentPublished",
    "DocumentWithdrawn",
    "EpochStarted",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "KeyAbandoned",
    "KeyIntent",
    "KeyOutcome",
    "LedgerBody",
    "LedgerSnapshot",
    "MemberJoined",
    "MemberLeft",
    "MemberRemoved",
    "Record",
    "RecordBatch",
    "Release",
    "Renew",
    "TaskEnded",
    "TaskIntended",
]


BodyType = TypeVar("BodyType")


class Record(msgspec.Struct, Generic[BodyType], frozen=True, array_like=True):
    """Record of a stream.

    ``record_id`` is random and makes a repeated append idempotent. ``writer`` is the
    name of the writing node, and ``epoch`` its ownership epoch (0 if none applies).
    """

    record_id: str
    writer: str
    epoch: int
    body: BodyType


class RecordBatch(msgspec.Struct, Generic[BodyType], frozen=True, array_like=True):
    """Records of one append (group commit)."""

    records: tuple[Record[BodyType], ...]


# --- control stream -----------------------------------------------------------------


class MemberJoined(msgspec.Struct, frozen=True, array_like=True, tag="joined"):
    """Join of a node.

    The node becomes eligible once every eligible member has renewed after this record.
    """

    node: str
    incarnation: int
    peer_address: str
    region: str
    data_centre: str


class MemberLeft(msgspec.Struct, frozen=True, array_like=True, tag="left"):
    """Exit of a node that has stopped and owns no shards."""

    node: str
    incarnation: int


class MemberRemoved(msgspec.Struct, frozen=True, array_like=True, tag="removed"):
    """Removal of a member whose process has provably ended.

    ``proof`` is ``vm_list`` (its VM is no longer listed) or ``successor`` (a newer
    incarnation listens on its address).
    """

    node: str
    incarnation: int
    proof: str


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Renewal of the leases of all shards of the writer.

    ``folded_offset`` is the control offset up to which the writer has read.
    """

    node: str
    incarnation: int
    folded_offset: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claim of shards; an entry is valid only if the shard is at that epoch."""

    node: str
    incarnation: int
    expected_epochs: dict[str, int]


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Transfer of shards to another node, which owns them from this record on.

    ``states`` contains the state that the services of the shards hand over to their
    successors.
    """

    node: str
    incarnation: int
    to_node: str
    epochs: dict[str, int]
    states: dict[str, bytes] = {}


class ControlSnapshot(
    msgspec.Struct, frozen=True, array_like=True, tag="control_snapshot"
):
    """Part of a snapshot of the members and owners as of ``covers_offset``."""

    snapshot_id: str
    covers_offset: int
    part: int
    parts: int
    state: bytes


ControlBody = (
    MemberJoined
    | MemberLeft
    | MemberRemoved
    | Renew
    | Claim
    | Release
    | ControlSnapshot
)


# --- ledger streams -----------------------------------------------------------------


class EpochStarted(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """Fence in a stream: later records of smaller epochs are ignored."""

    node: str
    epoch: int


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag="job_accepted"):
    """Acceptance of a job; ``accepted_at`` is in Unix seconds."""

    spec: JobSpec
    accepted_at: float


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag="job_cancelled"):
    """Acceptance of a request to cancel a job."""

    job_id: str
    requested_by: str


class TaskIntended(msgspec.Struct, frozen=True, array_like=True, tag="task_intended"):
    """Intent to start at-most-once tasks, which may run from this record on."""

    job_id: str
    task_indexes: tuple[int, ...]
    attempt: int


class TaskEnded(msgspec.Struct, frozen=True, array_like=True, tag="task_ended"):
    """Final results of tasks of a job, by task index."""

    job_id: str
    succeeded: tuple[int, ...]
    failed: tuple[int, ...]
    unknown: tuple[int, ...] = ()


class JobEnded(msgspec.Struct, frozen=True, array_like=True, tag="job_ended"):
    """Final state of a job; ``ended_at`` is in Unix seconds."""

    job_id: str
    state: JobState
    reason: str
    ended_at: float


class KeyIntent(msgspec.Struct, frozen=True, array_like=True, tag="key_intent"):
    """Intent to run a request under an idempotency key.

    The request may run from this record on, and until ``expires_at`` (Unix seconds) at
    the latest.
    """

    service: str
    key: str
    body_digest: str
    gateway: str
    intent_id: str
    expires_at: float


class KeyOutcome(msgspec.Struct, frozen=True, array_like=True, tag="key_outcome"):
    """Final answer of a key; status 0 means that the outcome is unknown."""

    service: str
    key: str
    intent_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyAbandoned(msgspec.Struct, frozen=True, array_like=True, tag="key_abandoned"):
    """Release of a key, because the request of its intent certainly did not run."""

    service: str
    key: str
    intent_id: str


class LedgerSnapshot(
    msgspec.Struct, frozen=True, array_like=True, tag="ledger_snapshot"
):
    """Part of a snapshot of a ledger, appended before older records expire.

    A snapshot replaces all records before ``covers_offset`` once all ``parts`` with the
    same ``snapshot_id`` have been read.
    """

    snapshot_id: str
    covers_offset: int
    part: int
    parts: int
    state: bytes


LedgerBody = (
    EpochStarted
    | JobAccepted
    | JobCancelled
    | TaskIntended
    | TaskEnded
    | JobEnded
    | KeyIntent
    | KeyOutcome
    | KeyAbandoned
    | LedgerSnapshot
)


# --- config stream ------------------------------------------------------------------


class DocumentPublished(msgspec.Struct, frozen=True, array_like=True, tag="published"):
    """Publication of a document, valid only if ``based_on`` is the current version.

    ``document`` is the JSON text; ``version`` is ``based_on + 1``.
    """

    team: str
    name: str
    based_on: int
    document: bytes
    published_by: str


class DocumentWithdrawn(msgspec.Struct, frozen=True, array_like=True, tag="withdrawn"):
    """Withdrawal of a document, valid only if ``based_on`` is the current version."""

    team: str
    name: str
    based_on: int
    published_by: str


class ConfigSnapshot(
    msgspec.Struct, frozen=True, array_like=True, tag="config_snapshot"
):
    """Part of a snapshot of the documents in force as of ``covers_offset``."""

    snapshot_id: str
    covers_offset: int
    part: int
    parts: int
    state: bytes


ConfigBody = DocumentPublished | DocumentWithdrawn | ConfigSnapshot
