"""Port to executors, which serve the requests of a pool."""

from typing import Protocol

import msgspec

__all__ = ["Executor", "ExecutorAnswer", "ExecutorRequest", "ExecutorStatus"]


class ExecutorRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to an executor."""

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExecutorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of an executor."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExecutorStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an executor; ``in_flight`` has the ids of the running requests."""

    in_flight: tuple[str, ...]
    leaving: bool


class Executor(Protocol):
    """Client of one executor."""

    async def send(
        self, request: ExecutorRequest, max_response_bytes: int, deadline: float
    ) -> ExecutorAnswer:
        """Send a request and return the complete answer.

        Raise ExecutorUnreachable when the request certainly was not sent, and
        ExecutorTimeout, AnswerTruncated or AnswerMismatched when it may have run.
        """

    async def status(self, deadline: float) -> ExecutorStatus:
        """Return the status; raise ExecutorUnreachable or ExecutorTimeout."""
