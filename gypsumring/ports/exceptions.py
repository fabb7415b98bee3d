"""Errors that adapters raise through the ports."""

from gypsumring.exceptions import PortError

__all__ = [
    "AnswerMismatched",
    "AnswerTruncated",
    "ExecutorTimeout",
    "ExecutorUnreachable",
    "LogUnavailable",
    "OffsetExpired",
    "PeerRejected",
    "PeerTimeout",
    "PeerUnreachable",
    "VmListUnavailable",
    "WorkerTimeout",
    "WorkerUnreachable",
]


class LogUnavailable(PortError):
    """Raised when the log did not answer; an append may have taken effect."""


class OffsetExpired(PortError):
    """Raised when a read starts before the first retained offset."""

    def __init__(self, stream: str, first_offset: int):
        super().__init__(f"stream {stream!r} starts at offset {first_offset}")
        self.stream = stream
        self.first_offset = first_offset


class VmListUnavailable(PortError):
    """Raised when the VM list did not answer."""


class WorkerUnreachable(PortError):
    """Raised when a call certainly did not reach the worker."""


class WorkerTimeout(PortError):
    """Raised when a call got no answer; it may have taken effect on the worker."""


class ExecutorUnreachable(PortError):
    """Raised when a request certainly did not reach the executor."""


class ExecutorTimeout(PortError):
    """Raised when a request got no answer; it may have run on the executor."""


class AnswerTruncated(ExecutorTimeout):
    """Raised when an answer is shorter than announced; the request may have run."""


class AnswerMismatched(ExecutorTimeout):
    """Raised when an answer has the id of another request; the request may have run."""


class PeerUnreachable(PortError):
    """Raised when a message certainly did not reach the peer."""


class PeerTimeout(PortError):
    """Raised when a message got no reply; the peer may have handled it."""


class PeerRejected(PortError):
    """Raised when the peer replied that it did not handle the message."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
