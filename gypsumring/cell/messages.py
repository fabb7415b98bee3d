"""Messages between nodes."""

import enum

import msgspec

from gypsumring.pipelines.model import JobPhase, PipelineSpec
from gypsumring.transport import HttpCall

__all__ = [
    "Announce",
    "AskPolicy",
    "CancelJob",
    "CountWaiting",
    "Hello",
    "JobAnswer",
    "Message",
    "Outcome",
    "Ping",
    "PolicyAnswer",
    "Pong",
    "QueryJob",
    "RelayAnswer",
    "RelayCall",
    "SubmitJob",
    "decoder",
]


class Outcome(enum.StrEnum):
    """How the owner answers a caller's command."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    # The job was not accepted and never runs; the caller may come back.
    REFUSED = "refused"
    # The node does not own the cell, or not yet.
    NOT_OWNER = "not_owner"
    # The owner stopped before it knew; the command may have taken effect.
    INTERRUPTED = "interrupted"
    # A write got no answer; the command may have taken effect.
    UNCERTAIN = "uncertain"


class Hello(msgspec.Struct, tag=True, array_like=True):
    """Name the node that opened the channel, and where it listens.

    ``size`` is the size of its machine in thousandths of a core of usual speed, or 0
    if it does not stand for the ownership of the cell.
    """

    node: str
    address: str
    size: int = 0


class Ping(msgspec.Struct, tag=True, array_like=True):
    """Ask whether the peer owns the cell.

    ``nodes_version`` is the version of the owner's list of nodes that the sender has.
    """

    nodes_version: int = 0


class Pong(msgspec.Struct, tag=True, array_like=True):
    """Tell whether the sender owns the cell, under which fence, or who does.

    ``nodes`` holds the addresses of the owner's peers by name, if the version of the
    asking node is another one.
    """

    owns: bool
    fence: int
    owner_address: str = ""
    nodes_version: int = 0
    nodes: dict[str, str] | None = None


class Announce(msgspec.Struct, tag=True, array_like=True):
    """Tell a node who owns the cell now."""

    owner_address: str
    fence: int


class SubmitJob(msgspec.Struct, tag=True, array_like=True):
    """Accept a job; ``time_limit_s`` is how long the caller still waits."""

    spec: PipelineSpec
    time_limit_s: float


class QueryJob(msgspec.Struct, tag=True, array_like=True):
    """Ask for the state of a job."""

    job_id: str


class CancelJob(msgspec.Struct, tag=True, array_like=True):
    """Cancel a job."""

    job_id: str
    time_limit_s: float


class CountWaiting(msgspec.Struct, tag=True, array_like=True):
    """Ask for the number of jobs of a queue of which no task has started."""

    queue: str


class JobAnswer(msgspec.Struct, tag=True, array_like=True):
    """Answer a caller's command; ``retry_after_s`` is set with a refusal."""

    outcome: Outcome
    phase: JobPhase = JobPhase.QUEUED
    count: int = 0
    retry_after_s: float = 0.0


class AskPolicy(msgspec.Struct, tag=True, array_like=True):
    """Ask the peer to call the policy service."""

    step: str
    executor_ids: list[str]
    timeout_s: float


class PolicyAnswer(msgspec.Struct, tag=True, array_like=True):
    """Return rows of executor id and ticket; ``failed`` if there was no answer."""

    failed: bool
    rows: list[tuple[str, str]] = []


class RelayCall(msgspec.Struct, tag=True, array_like=True):
    """Ask the peer to send a request to the store, which turns the sender away."""

    call: HttpCall
    timeout_s: float


class RelayAnswer(msgspec.Struct, tag=True, array_like=True):
    """Return the store's response; status 0 stands for none.

    ``sent`` tells whether the request may have been executed.
    """

    sent: bool
    status: int = 0
    body: bytes = b""


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
    | RelayCall
    | RelayAnswer
)

decoder = msgspec.msgpack.Decoder(Message)
