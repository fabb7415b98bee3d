"""Messages between gateways and schedulers, and between schedulers.

A time in a message is the time left, in milliseconds, because the clocks of two VMs
do not agree; the receiver turns it into a deadline on receipt. All messages are
idempotent: the transport may deliver one more than once.
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
    """Summarise one rack shard for placement by job managers.

    ``largest_free`` holds the largest free amount of each resource on any worker.
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
    """Carry a RackSummary in a heartbeat without the field names of its Resources."""

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
    """Return the form of a summary that heartbeats carry."""
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
    """Return the summary that a heartbeat carried."""
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
    """Report liveness; ``promise_requested`` asks for a promise on owned shards."""

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
    """Answer a heartbeat; ``promised`` lists the shards, for ``promise_ms``.

    It carries no summaries: each node sends its own to all others in its heartbeats.
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
    """Ask a peer to append an encoded record batch to a stream."""

    stream: str
    payload: bytes


class ReadPeerLog(msgspec.Struct, frozen=True, array_like=True, tag="read_peer_log"):
    """Ask a peer for log records that it has read (``config`` or ``control``)."""

    stream: str
    start_offset: int
    limit: int


class LogTail(msgspec.Struct, frozen=True, array_like=True, tag="log_tail"):
    """Hold raw records as (offset, payload); empty when the peer has none later."""

    records: tuple[tuple[int, bytes], ...]
    first_offset: int


class ConfigTail(msgspec.Struct, frozen=True, array_like=True, tag="config_tail"):
    """Hold the state of a peer's document store as one encoded snapshot."""

    covers_offset: int
    state: bytes


class ControlTail(msgspec.Struct, frozen=True, array_like=True, tag="control_tail"):
    """Hold the state of a peer's control fold as one encoded snapshot."""

    covers_offset: int
    state: bytes


# --- requests -----------------------------------------------------------------------


class HeldSlot(msgspec.Struct, frozen=True, array_like=True):
    """Report permits held on one executor; ``busy`` of them carry a request."""

    executor: str
    slots: int
    busy: int
    left_ms: int


class ExecutorSample(msgspec.Struct, frozen=True, array_like=True):
    """Report what a gateway saw of one executor since its last renewal."""

    executor: str
    answered: int
    failed: int
    mean_ms: float


class RenewSlots(msgspec.Struct, frozen=True, array_like=True, tag="renew_slots"):
    """Renew, return and ask for slot permits of one pool on one rack shard.

    ``wanted`` is the total number of slots that the gateway can use now. ``sequence``
    grows with each message of a gateway process, so that the owner recognises a
    message that was repeated or overtaken.
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
    """Grant ``slots`` permits in total on one executor for ``left_ms``.

    ``revoked`` permits among the held ones carry no new request.
    """

    executor: str
    address: str
    slots: int
    left_ms: int
    revoked: bool = False


class SlotGrants(msgspec.Struct, frozen=True, array_like=True, tag="slot_grants"):
    """Answer RenewSlots with the whole holding of the gateway on this shard."""

    shard: str
    epoch: int
    pool: str
    grants: tuple[GrantedSlot, ...]
    connections: int


class ClaimKey(msgspec.Struct, frozen=True, array_like=True, tag="claim_key"):
    """Ask to run a non-repeatable request under an idempotency key.

    ``run_ms`` bounds the time that the request may run once granted.
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
    """What the ledger owner decided about a key."""

    RUN = "run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CONFLICT = "key_conflict"
    NOT_RUN = "not_run"


class KeyVerdict(msgspec.Struct, frozen=True, array_like=True, tag="key_verdict"):
    """Answer ClaimKey; an ``ANSWERED`` verdict carries the recorded answer."""

    decision: KeyDecision
    reason: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class CompleteKey(msgspec.Struct, frozen=True, array_like=True, tag="complete_key"):
    """Record the answer of a granted key; status 0 means unknown."""

    ledger: str
    service: str
    key: str
    intent_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AbandonKey(msgspec.Struct, frozen=True, array_like=True, tag="abandon_key"):
    """Report that a granted key surely did not run."""

    ledger: str
    service: str
    key: str
    intent_id: str


# --- jobs ---------------------------------------------------------------------------


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_job"):
    """Submit a job to the owner of its team's ledger."""

    ledger: str
    spec: JobSpec
    left_ms: int


class CancelJobs(msgspec.Struct, frozen=True, array_like=True, tag="cancel_jobs"):
    """Cancel jobs of one team."""

    ledger: str
    team: str
    job_ids: tuple[str, ...]
    requested_by: str
    left_ms: int


class QueryJob(msgspec.Struct, frozen=True, array_like=True, tag="query_job"):
    """Ask for the state of one job."""

    ledger: str
    team: str
    job_id: str


class JobStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the state of one job and the number of its tasks in each state."""

    job_id: str
    state: JobState
    reason: str
    pending: int
    running: int
    succeeded: int
    failed: int
    uncertain: int


class JobReply(msgspec.Struct, frozen=True, array_like=True, tag="job_reply"):
    """Answer job messages; an empty tuple means that no such job is known."""

    jobs: tuple[JobStatus, ...]


class TaskToStart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Describe one task attempt to place on a rack."""

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
    """Ask a rack owner to place and start tasks.

    ``reservation_id`` names a reservation to consume, or is empty. A repeated message
    with the same task attempts is answered from what is already running.
    ``rack_epoch`` is the epoch of the rack shard under which the attempts were first
    sent; the owner of any other epoch refuses the message.
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
    """State of a task attempt as told by a rack owner."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    LOST = "lost"
    PREEMPTED = "preempted"
    STOPPED = "stopped"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """Report one task attempt.

    ``REFUSED`` means that it surely never ran; ``LOST`` that it may have run and its
    lease has surely ended; ``UNCERTAIN`` that the rack owner does not know yet.
    """

    task_id: str
    attempt: int
    state: TaskReportState
    worker: str
    reason: str = ""


class StartTasksReply(
    msgspec.Struct, frozen=True, array_like=True, tag="start_tasks_reply"
):
    """Answer StartTasks with one report per task and a fresh summary."""

    reports: tuple[TaskReport, ...]
    summary: RackSummary


class StopTasks(msgspec.Struct, frozen=True, array_like=True, tag="stop_tasks"):
    """Ask a rack owner to stop task attempts; results come as reports."""

    shard: str
    ledger: str
    ledger_epoch: int
    tasks: tuple[tuple[str, int], ...]


class ReportTasks(msgspec.Struct, frozen=True, array_like=True, tag="report_tasks"):
    """Tell a ledger owner about changed task attempts.

    The reply is an Acknowledged with the final attempts that are durable; the rack
    owner tells the worker to forget those and repeats the others.
    """

    ledger: str
    shard: str
    shard_epoch: int
    reports: tuple[TaskReport, ...]


class TasksOfLedger(
    msgspec.Struct, frozen=True, array_like=True, tag="tasks_of_ledger"
):
    """Ask a rack owner for all task attempts of a ledger and fence older epochs."""

    shard: str
    ledger: str
    ledger_epoch: int
    reply_address: str


class RackTasks(msgspec.Struct, frozen=True, array_like=True, tag="rack_tasks"):
    """Answer TasksOfLedger.

    ``complete_in_ms`` is 0 when all workers of the rack were heard; otherwise tasks
    that are not listed may run on a silent worker for at most that long.
    """

    shard: str
    shard_epoch: int
    reports: tuple[TaskReport, ...]
    complete_in_ms: int
    summary: RackSummary


class ReserveTasks(msgspec.Struct, frozen=True, array_like=True, tag="reserve_tasks"):
    """Ask a rack owner to reserve room for some of the tasks of a gang job.

    The reservation ends by itself after ``left_ms``. The owner of another epoch than
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
    """Tell how many of the tasks, from the first on, have room reserved."""

    reserved: int
    reason: str
    summary: RackSummary


class ReleaseReservation(
    msgspec.Struct, frozen=True, array_like=True, tag="release_reservation"
):
    """End a reservation."""

    shard: str
    ledger: str
    ledger_epoch: int
    reservation_id: str


class Acknowledged(msgspec.Struct, frozen=True, array_like=True, tag="acknowledged"):
    """Confirm a message; ``tasks`` lists (task_id, attempt) that are settled."""

    tasks: tuple[tuple[str, int], ...] = ()


# --- explaining ---------------------------------------------------------------------


class Explain(msgspec.Struct, frozen=True, array_like=True, tag="explain"):
    """Ask the owner of ``shard`` to explain a job, a request key or the shard.

    ``subject`` is ``job``, ``request`` or ``shard``; ``name`` is the job id, or
    ``service:key`` of a request, or empty.
    """

    shard: str
    subject: str
    name: str


class Explanation(msgspec.Struct, frozen=True, array_like=True, tag="explanation"):
    """Explain a subject as an ordered list of (topic, text)."""

    lines: tuple[tuple[str, str], ...]


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="rejected"):
    """Tell that a message was not handled."""

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
    """Wrap a message on the wire.

    ``to_incarnation`` names the process that the message is meant for (0: any), so
    that a message repeated by the transport never reaches a successor process.
    """

    sender: str
    to_incarnation: int
    message_id: int
    message: PeerMessage
