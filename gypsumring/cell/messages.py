"""Messages between the nodes of a cell."""

import enum
from typing import ClassVar

import msgspec

from gypsumring.pipelines.model import JobPhase, PipelineSpec, Queue
from gypsumring.transport import HttpCall, Purpose
from gypsumring.utils.ranges import (
    Fence,
    MachineSize,
    Measure,
    Number,
    Quantity,
    SignedMeasure,
    Text,
)

__all__ = [
    "Announce",
    "AskPolicy",
    "CancelJob",
    "Command",
    "CountWaiting",
    "Hello",
    "JobAnswer",
    "Message",
    "Outcome",
    "Ping",
    "PolicyAnswer",
    "Pong",
    "QueryJob",
    "ReadVersion",
    "RelayAnswer",
    "RelayCall",
    "ReportOwner",
    "SubmitJob",
    "VersionPiece",
    "VoteMessage",
    "decoder",
]


class Outcome(enum.StrEnum):
    """Outcome of a caller's command."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    # The job was not accepted and will not run; the caller may submit it again.
    REFUSED = "refused"
    # The owner knows a newer version of the desired state, without the queue.
    NO_QUEUE = "no_queue"
    # The same for the client account.
    NO_ACCOUNT = "no_account"
    # A job of another client account has the id.
    OTHER_ACCOUNT = "other_account"
    # The node does not own the cell, or has not taken it over completely.
    NOT_OWNER = "not_owner"
    # The owner stopped before the outcome was known; the command may have taken effect.
    INTERRUPTED = "interrupted"
    # The store did not answer a write in time; the command may have taken effect.
    UNCERTAIN = "uncertain"


class Hello(msgspec.Struct, tag=True, array_like=True):
    """First message on a channel: name and address of the node that opened it.

    ``size`` is the size of its VM in thousandths of a core of normal speed, or 0 if the
    node is no candidate for the ownership of the cell. ``incarnation`` names its
    process; it is empty if the process does not vote.
    """

    purpose: ClassVar[Purpose] = Purpose.LIVENESS
    node: str
    address: str
    size: MachineSize = 0
    incarnation: Text = ""
    data_centre: Text = ""


class VoteMessage(msgspec.Struct, array_like=True):
    """Vote of a process for the owners up to a fence number.

    ``fence`` is the highest fence number of an owner that the process has seen.
    ``answers_sent_at`` is the ``sent_at`` of the newest answer of the receiver.
    """

    node: Text
    incarnation: Text
    fence: Fence
    answers_sent_at: Measure


class Ping(msgspec.Struct, tag=True, array_like=True):
    """Query whether the peer owns the cell.

    ``nodes_version`` is the version of the owner's list of nodes that the sender has
    recorded. ``vote`` is present once the receiver has answered on this channel.
    ``desired_version`` is the newest version of the desired state that the sender knows
    of.
    """

    purpose: ClassVar[Purpose] = Purpose.LIVENESS
    nodes_version: Number = 0
    vote: VoteMessage | None = None
    desired_version: Number = 0


class Pong(msgspec.Struct, tag=True, array_like=True):
    """Answer to ``Ping``: whether the sender owns the cell, its fence and the owner.

    ``nodes`` contains the addresses of the owner's peers by name if ``nodes_version``
    of the ping was a different one. ``sent_at`` is in seconds of the sender's clock,
    which has a meaning only for the sender. ``takeover_s`` is about how long another
    node would take to read the records of the cell. ``desired_version`` is as in
    ``Ping``.
    """

    purpose: ClassVar[Purpose] = Purpose.LIVENESS
    owns: bool
    fence: Fence
    owner_address: str = ""
    nodes_version: Number = 0
    nodes: dict[str, str] | None = None
    sent_at: Measure | None = None
    takeover_s: Measure = 0.0
    desired_version: Number = 0


class Announce(msgspec.Struct, tag=True, array_like=True):
    """Notification of the current owner of the cell."""

    purpose: ClassVar[Purpose] = Purpose.LIVENESS
    owner_address: str
    fence: Fence


class ReportOwner(msgspec.Struct, tag=True, array_like=True):
    """Report to a monitor that ``node`` gets no answer from the owner of the cell.

    ``node_count`` is the number of nodes without the owner, as recorded by ``node``.
    """

    purpose: ClassVar[Purpose] = Purpose.LIVENESS
    node: str
    owner_address: str
    fence: int
    node_count: int


class SubmitJob(msgspec.Struct, tag=True, array_like=True):
    """Request to accept a job; ``time_limit_s`` is how long the caller waits.

    ``queue`` is the job's queue as the node knows it that has received the request, and
    ``version`` the version of the desired state by which it was handled there, 0 if it
    is not to be checked by a newer one.
    """

    purpose: ClassVar[Purpose] = Purpose.COMMANDS
    spec: PipelineSpec
    time_limit_s: SignedMeasure
    queue: Queue | None = None
    version: Number = 0

    @property
    def queue_name(self) -> str:
        """Return the name of the job's queue."""
        return self.spec.queue

    @property
    def account(self) -> str:
        """Return the name of the job's client account, empty for none."""
        return self.spec.account

    @property
    def job_id(self) -> str:
        """Return the id of the job."""
        return self.spec.job_id


class QueryJob(msgspec.Struct, tag=True, array_like=True):
    """Request for the state of a job by a client account, None without accounts.

    ``queue_name`` is the queue of the request; ``version`` is as in ``SubmitJob``.
    """

    purpose: ClassVar[Purpose] = Purpose.QUERIES
    job_id: str
    account: Text | None = None
    queue_name: Text = ""
    version: Number = 0


class CancelJob(msgspec.Struct, tag=True, array_like=True):
    """Request to cancel a job by a client account, None without accounts.

    ``queue_name`` is the queue of the request; ``version`` is as in ``SubmitJob``.
    """

    purpose: ClassVar[Purpose] = Purpose.COMMANDS
    job_id: str
    time_limit_s: SignedMeasure
    account: Text | None = None
    queue_name: Text = ""
    version: Number = 0


class CountWaiting(msgspec.Struct, tag=True, array_like=True):
    """Request for the number of jobs of a queue of which no task has started.

    ``version`` is as in ``SubmitJob``.
    """

    purpose: ClassVar[Purpose] = Purpose.QUERIES
    queue_name: str
    version: Number = 0


class JobAnswer(msgspec.Struct, tag=True, array_like=True):
    """Answer to a caller's command; ``retry_after_s`` is set if it was refused."""

    purpose: ClassVar[Purpose] = Purpose.COMMANDS
    outcome: Outcome
    phase: JobPhase = JobPhase.QUEUED
    count: Quantity = 0
    retry_after_s: Measure = 0.0


class AskPolicy(msgspec.Struct, tag=True, array_like=True):
    """Request to the peer to query the policy service for a step."""

    purpose: ClassVar[Purpose] = Purpose.POLICY
    step: str
    executor_ids: list[str]
    timeout_s: SignedMeasure


class PolicyAnswer(msgspec.Struct, tag=True, array_like=True):
    """Policy answer as rows of executor id and ticket; ``failed`` if none arrived."""

    purpose: ClassVar[Purpose] = Purpose.POLICY
    failed: bool
    rows: list[tuple[str, str]] = []


class ReadVersion(msgspec.Struct, tag=True, array_like=True):
    """Request for a piece of a version of the desired state, 0 for the newest one.

    The sender has the version ``newer_than``.
    """

    purpose: ClassVar[Purpose] = Purpose.ENTRIES
    version: Number = 0
    piece: Quantity = 0
    newer_than: Number = 0


class VersionPiece(msgspec.Struct, tag=True, array_like=True):
    """Compressed piece of a version of the desired state, 0 if there is none.

    The version has ``count`` pieces and the store the offset ``next_offset`` after its
    record.
    """

    purpose: ClassVar[Purpose] = Purpose.ENTRIES
    version: Number = 0
    number: Quantity = 0
    count: Quantity = 0
    next_offset: Number = 0
    data: bytes = b""


class RelayCall(msgspec.Struct, tag=True, array_like=True):
    """Request to the peer to relay a call to a store that refuses the sender."""

    purpose: ClassVar[Purpose] = Purpose.RELAYS
    call: HttpCall
    timeout_s: SignedMeasure


class RelayAnswer(msgspec.Struct, tag=True, array_like=True):
    """Response of the store to a relayed call; status 0 means that there was none.

    ``sent`` is true if the request may have been executed.
    """

    purpose: ClassVar[Purpose] = Purpose.RELAYS
    sent: bool
    status: int = 0
    body: bytes = b""


Command = SubmitJob | QueryJob | CancelJob | CountWaiting
Message = (
    Announce
    | Hello
    | Ping
    | Pong
    | SubmitJob
    | QueryJob
    | CancelJob
    | CountWaiting
    | JobAnswer
    | AskPolicy
    | PolicyAnswer
    | ReadVersion
    | VersionPiece
    | RelayCall
    | RelayAnswer
    | ReportOwner
)

decoder = msgspec.msgpack.Decoder(Message)
