"""Messages between gateways and schedulers, and between schedulers.

Messages carry remaining times in milliseconds instead of deadlines, because the clocks
of two VMs are not synchronised; the receiver computes the deadline on receipt. All
messages are idempotent, because the transport may deliver a message more than once.
"""

import enum

import msgspec
from msgspec.structs import astuple

from gypsumring.messages.work import JobSpec, JobState, Priority, Resources

__all__ = [
    "AbandonKey",
    "Acknowledged",
    "AppendForPeer",
    "CancelJobs",
    "ClaimKey",
    "CompleteKey",
    "ConfigTail",
    "ControlTail",
    "Envelope",
    "ExecutorSample",
    "Explain",
    "Explanation",
    "GrantedSlot",
    "Heartbeat",
    "HeartbeatReply",
    "HeldSlot",
    "JobReply",
    "JobStatus",
    "KeyDecision",
    "KeyVerdict",
    "LogTail",
    "PackedSummary",
    "PeerMessage",
    "PeerReply",
    "QueryJob",
    "RackSummary",
    "RackTasks",
    "ReadPeerLog",
    "Rejected",
    "ReleaseReservation",
    "RenewSlots",
    "ReportTasks",
    "ReserveReply",
    "ReserveTasks",
    "SlotGrants",
    "StartTasks",
    "StartTasksReply",
    "StopTasks",
    "SubmitJob",
    "TaskReport",
    "TaskReportState",
    "TaskToStart",
    "TasksOfLedger",
    "pack_summary",
    "unpack_summary",
]


class RackSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a rack shard, by which job managers place tasks.

    ``largest_free`` is, for each resource, the largest free amount on any worker.
    """

    shard: str
    epoch: int
    data_centre: str
    workers: int
    capacity: Resources
    free: Resources
    largest_free: Resources
    largest_worker: Resources
    preemptible: Resources
    ready: bool


ResourceAmounts = tuple[int, int, int]


class PackedSummary(msgspec.Struct, frozen=True, array_like=True):
    """RackSummary as sent in heartbeats, without the field names of its Resources."""

    shard: str
    epoch: int
    data_centre: str
    workers: int
    capacity: ResourceAmounts
    free: ResourceAmounts
    largest_free: ResourceAmounts
    largest_worker: ResourceAmounts
    preemptible: ResourceAmounts
    ready: bool


def pack_summary(summary: RackSummary) -> PackedSummary:
    """Convert a summary to the compact form that heartbeats carry."""
    return PackedSummary(
        summary.shard,
        summary.epoch,
        summary.data_centre,
        summary.workers,
        astuple(summary.capacity),
        astuple(summary.free),
        astuple(summary.largest_free),
        astuple(summary.largest_worker),
        astuple(summary.preemptible),
        summary.ready,
    )


def unpack_summary(packed: PackedSummary) -> RackSummary:
    """Convert the compact form back to a summary."""
    return RackSummary(
        packed.shard,
        packed.epoch,
        packed.data_centre,
        packed.workers,
        Resources(*packed.capacity),
        Resources(*packed.free),
        Resources(*packed.largest_free),
        Resources(*packed.largest_worker),
        Resources(*packed.preemptible),
        packed.ready,
    )


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Liveness of a node; ``promise_requested`` asks for a promise on owned shards."""

    node: str
    incarnation: int
    peer_address: str
    control_offset: int
    config_offset: int
    promise_requested: bool
    owned_epochs: dict[str, int]
    racks: tuple[PackedSummary, ...] = ()


class HeartbeatReply(
    msgspec.Struct, frozen=True, array_like=True, tag="heartbeat_reply"
):
    """Answer to a heartbeat; the promise covers ``promised`` shards for ``promise_ms``.

    It carries no summaries, because each node sends its own to all other nodes in its
    heartbeats.
    """

    node: str
    incarnation: int
    control_offset: int
    config_offset: int
    promised: tuple[str, ...]
    promise_ms: int


class AppendForPeer(
    msgspec.Struct, frozen=True, array_like=True, tag="append_for_peer"
):
    """Request that a peer append an encoded record batch to a stream."""

    stream: str
    payload: bytes


class ReadPeerLog(msgspec.Struct, frozen=True, array_like=True, tag="read_peer_log"):
    """Request for log records that a peer has read (``config`` or ``control``)."""

    stream: str
    start_offset: int
    limit: int


class LogTail(msgspec.Struct, frozen=True, array_like=True, tag="log_tail"):
    """Raw records as (offset, payload); empty if the peer has no later records."""

    records: tuple[tuple[int, bytes], ...]
    first_offset: int


class ConfigTail(msgspec.Struct, frozen=True, array_like=True, tag="config_tail"):
    """State of a peer's document store as one encoded snapshot."""

    covers_offset: int
    state: bytes


class ControlTail(msgspec.Struct, frozen=True, array_like=True, tag="control_tail"):
    """State that a peer has computed from the control stream, as one snapshot."""

    covers_offset: int
    state: bytes


# --- requests -----------------------------------------------------------------------


class HeldSlot(msgspec.Struct, frozen=True, array_like=True):
    """Permits that a gateway holds on an executor; ``busy`` of them are in use."""

    executor: str
    slots: int
    busy: int
    left_ms: int


class ExecutorSample(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of a gateway's requests to an executor since its last renewal."""

    executor: str
    answered: int
    failed: int
    mean_ms: float


class RenewSlots(msgspec.Struct, frozen=True, array_like=True, tag="renew_slots"):
    """Request to renew, return or obtain slot permits of a pool on a rack shard.

    ``wanted`` is the total number of slots that the gateway can use now. ``sequence``
    increases with each message of a gateway process, so that the owner detects
    repeated and reordered messages.
    """

    gateway: str
    incarnation: int
    shard: str
    pool: str
    wanted: int
    held: tuple[HeldSlot, ...]
    samples: tuple[ExecutorSample, ...] = ()
    sequence: int = 0


class GrantedSlot(msgspec.Struct, frozen=True, array_like=True):
    """Grant of ``slots`` permits in total on an executor for ``left_ms``.

    If ``revoked``, the permits that the gateway holds carry no new requests.
    """

    executor: str
    address: str
    slots: int
    left_ms: int
    revoked: bool = False


class SlotGrants(msgspec.Struct, frozen=True, array_like=True, tag="slot_grants"):
    """Answer to RenewSlots with all permits of the gateway on the shard."""

    shard: str
    epoch: int
    pool: str
    grants: tuple[GrantedSlot, ...]
    connections: int


class ClaimKey(msgspec.Struct, frozen=True, array_like=True, tag="claim_key"):
    """Request to run a non-repeatable request under an idempotency key.

    ``run_ms`` limits the time that the request may run after the key is granted.
    """

    ledger: str
    service: str
    key: str
    body_digest: str
    gateway: str
    intent_id: str
    left_ms: int
    run_ms: int


class KeyDecision(enum.StrEnum):
    """Decision of the ledger owner about an idempotency key."""

    RUN = "run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CONFLICT = "key_conflict"
    NOT_RUN = "not_run"


class KeyVerdict(msgspec.Struct, frozen=True, array_like=True, tag="key_verdict"):
    """Answer to ClaimKey; an ``ANSWERED`` verdict carries the recorded answer."""

    decision: KeyDecision
    reason: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class CompleteKey(msgspec.Struct, frozen=True, array_like=True, tag="complete_key"):
    """Request to record the answer of a granted key; status 0 means unknown."""

    ledger: str
    service: str
    key: str
    intent_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AbandonKey(msgspec.Struct, frozen=True, array_like=True, tag="abandon_key"):
    """Report that the request of a granted key certainly did not run."""

    ledger: str
    service: str
    key: str
    intent_id: str


# --- jobs ---------------------------------------------------------------------------


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_job"):
    """Submission of a job to the owner of its team's ledger."""

    ledger: str
    spec: JobSpec
    left_ms: int


class CancelJobs(msgspec.Struct, frozen=True, array_like=True, tag="cancel_jobs"):
    """Request to cancel jobs of a team."""

    ledger: str
    team: str
    job_ids: tuple[str, ...]
    requested_by: str
    left_ms: int


class QueryJob(msgspec.Struct, frozen=True, array_like=True, tag="query_job"):
    """Query for the state of a job."""

    ledger: str
    team: str
    job_id: str


class JobStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job and the number of its tasks in each state."""

    job_id: str
    state: JobState
    reason: str
    pending: int
    running: int
    succeeded: int
    failed: int
    uncertain: int


class JobReply(msgspec.Struct, frozen=True, array_like=True, tag="job_reply"):
    """Answer to job messages; empty if the owner has recorded no such job."""

    jobs: tuple[JobStatus, ...]


class TaskToStart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Task attempt to be placed on a rack."""

    task_id: str
    attempt: int
    team: str
    service: str
    resources: Resources
    priority: Priority
    spread: bool = False
    declared_run_ms: int = 0
    args: str = ""


class StartTasks(msgspec.Struct, frozen=True, array_like=True, tag="start_tasks"):
    """Request that a rack owner place and start tasks.

    ``reservation_id`` is the reservation to consume, or empty. For a repeated message
    with the same task attempts, the rack owner reports the attempts that are already
    running. ``rack_epoch`` is the epoch of the rack shard under which the attempts were
    first sent; the owner of any other epoch refuses the message.
    """

    shard: str
    ledger: str
    ledger_epoch: int
    rack_epoch: int
    reply_address: str
    tasks: tuple[TaskToStart, ...]
    reservation_id: str = ""
    left_ms: int = 0


class TaskReportState(enum.StrEnum):
    """State of a task attempt as reported by a rack owner."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    LOST = "lost"
    PREEMPTED = "preempted"
    STOPPED = "stopped"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """Report about one task attempt.

    ``REFUSED``: the attempt certainly never ran. ``LOST``: it may have run, and its
    lease has certainly ended. ``UNCERTAIN``: the rack owner has not yet determined the
    state.
    """

    task_id: str
    attempt: int
    state: TaskReportState
    worker: str
    reason: str = ""


class StartTasksReply(
    msgspec.Struct, frozen=True, array_like=True, tag="start_tasks_reply"
):
    """Answer to StartTasks with one report per task and the current summary."""

    reports: tuple[TaskReport, ...]
    summary: RackSummary


class StopTasks(msgspec.Struct, frozen=True, array_like=True, tag="stop_tasks"):
    """Request that a rack owner stop task attempts; the results are reported later."""

    shard: str
    ledger: str
    ledger_epoch: int
    tasks: tuple[tuple[str, int], ...]


class ReportTasks(msgspec.Struct, frozen=True, array_like=True, tag="report_tasks"):
    """Report to a ledger owner about changed task attempts.

    The reply is an Acknowledged with the final attempts that are durable. The rack
    owner instructs the worker to discard these attempts and repeats the others.
    """

    ledger: str
    shard: str
    shard_epoch: int
    reports: tuple[TaskReport, ...]


class TasksOfLedger(
    msgspec.Struct, frozen=True, array_like=True, tag="tasks_of_ledger"
):
    """Request for all task attempts of a ledger; it also fences older epochs."""

    shard: str
    ledger: str
    ledger_epoch: int
    reply_address: str


class RackTasks(msgspec.Struct, frozen=True, array_like=True, tag="rack_tasks"):
    """Answer to TasksOfLedger.

    ``complete_in_ms`` is 0 if all workers of the rack have responded. Otherwise it is
    the longest time for which an unlisted task may run on an unresponsive worker.
    """

    shard: str
    shard_epoch: int
    reports: tuple[TaskReport, ...]
    complete_in_ms: int
    summary: RackSummary


class ReserveTasks(msgspec.Struct, frozen=True, array_like=True, tag="reserve_tasks"):
    """Request that a rack owner reserve capacity for some tasks of a gang job.

    The reservation expires after ``left_ms``. The owner of an epoch other than
    ``rack_epoch`` refuses the message.
    """

    shard: str
    ledger: str
    ledger_epoch: int
    rack_epoch: int
    reservation_id: str
    tasks: tuple[TaskToStart, ...]
    left_ms: int


class ReserveReply(msgspec.Struct, frozen=True, array_like=True, tag="reserve_reply"):
    """Answer to ReserveTasks; capacity is reserved for the first ``reserved`` tasks."""

    reserved: int
    reason: str
    summary: RackSummary


class ReleaseReservation(
    msgspec.Struct, frozen=True, array_like=True, tag="release_reservation"
):
    """Request to end a reservation."""

    shard: str
    ledger: str
    ledger_epoch: int
    reservation_id: str


class Acknowledged(msgspec.Struct, frozen=True, array_like=True, tag="acknowledged"):
    """Confirmation of a message, with the (task_id, attempt) that are durably final."""

    tasks: tuple[tuple[str, int], ...] = ()


# --- explaining ---------------------------------------------------------------------


class Explain(msgspec.Struct, frozen=True, array_like=True, tag="explain"):
    """Request that the owner of ``shard`` explain a job, a request key or the shard.

    ``subject`` is ``job``, ``request`` or ``shard``. ``name`` is the job id, the
    ``service:key`` of a request, or empty for a shard.
    """

    shard: str
    subject: str
    name: str


class Explanation(msgspec.Struct, frozen=True, array_like=True, tag="explanation"):
    """Explanation of a subject as an ordered list of (topic, text)."""

    lines: tuple[tuple[str, str], ...]


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="rejected"):
    """Reply to a message that was not handled, with the reason."""

    reason: str


PeerMessage = (
    Heartbeat
    | AppendForPeer
    | ReadPeerLog
    | RenewSlots
    | ClaimKey
    | CompleteKey
    | AbandonKey
    | SubmitJob
    | CancelJobs
    | QueryJob
    | StartTasks
    | StopTasks
    | ReportTasks
    | TasksOfLedger
    | ReserveTasks
    | ReleaseReservation
    | Explain
)

PeerReply = (
    HeartbeatReply
    | LogTail
    | ConfigTail
    | ControlTail
    | SlotGrants
    | KeyVerdict
    | JobReply
    | StartTasksReply
    | RackTasks
    | ReserveReply
    | Acknowledged
    | Explanation
    | Rejected
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Message as sent on the wire, with its sender and receiver.

    ``to_incarnation`` is the incarnation of the receiver (0: any), so that a message
    that the transport repeats is not handled by a later incarnation.
    """

    sender: str
    to_incarnation: int
    message_id: int
    message: PeerMessage
