"""HTTP client of an executor.

A request is sent to the path that the caller gave, with the headers
``gypsumring-service`` and ``gypsumring-request-id``; the executor repeats the latter in
its answer. ``GET /gypsumring-status`` without a request id returns an ExecutorStatus in
JSON; with a request id the executor handles it as a request of a caller.
"""

from gypsumring.adapters.exceptions import CallFailed, InvalidAnswer
from gypsumring.adapters.http import (
    TrafficCounter,
    call_http,
    decode_answer,
    open_client,
)
from gypsumring.ports import (
    AnswerMismatched,
    AnswerTruncated,
    ExecutorAnswer,
    ExecutorRequest,
    ExecutorStatus,
    ExecutorTimeout,
    ExecutorUnreachable,
)

__all__ = ["REQUEST_ID_HEADER", "SERVICE_HEADER", "STATUS_PATH", "HttpExecutor"]

REQUEST_ID_HEADER = "gypsumring-request-id"
SERVICE_HEADER = "gypsumring-service"
STATUS_PATH = "/gypsumring-status"

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers that
# this client sets.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REQUEST_ID_HEADER,
        SERVICE_HEADER,
    }
)


def select_end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
) -> list[tuple[str, str]]:
    """Return the headers to forward.

    Headers that ``Connection`` names apply to one connection and are not forwarded.
    """
    listed_in_connection = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in DROPPED_HEADERS
        and name.lower() not in listed_in_connection
    ]


class HttpExecutor:
    """HTTP client of one executor, with a limit on the number of connections."""

    def __init__(self, address: str, max_connections: int, traffic: TrafficCounter):
        self.address = address
        self.traffic = traffic
        self.client = open_client(f"http://{address}", max_connections)

    def to_port_error(self, error: CallFailed) -> ExecutorUnreachable | ExecutorTimeout:
        """Return the port's error for a failed call.

        It is ExecutorUnreachable only if no byte of the request was sent.
        """
        reason = f"executor {self.address}: {error}"
        if not error.sent:
            return ExecutorUnreachable(reason)
        return AnswerTruncated(reason) if error.answered else ExecutorTimeout(reason)

    async def send(
        self, request: ExecutorRequest, max_response_bytes: int, deadline: float
    ) -> ExecutorAnswer:
        """Send a request and return the complete answer.

        Raise AnswerMismatched if the answer carries another request id.
        """
        try:
            answer = await call_http(
                self.client,
                request.method,
                "/" + request.path.lstrip("/"),
                deadline=deadline,
                traffic=self.traffic,
                max_bytes=max_response_bytes,
                headers=[
                    *select_end_to_end_headers(request.headers),
                    (REQUEST_ID_HEADER, request.request_id),
                    (SERVICE_HEADER, request.service),
                ],
                content=request.body,
            )
        except CallFailed as error:
            raise self.to_port_error(error) from error
        answered_id = answer.header(REQUEST_ID_HEADER)
        if answered_id != request.request_id:
            raise AnswerMismatched(
                f"executor {self.address} answered request {answered_id[:80]!r} "
                f"instead of {request.request_id!r}"
            )
        return ExecutorAnswer(
            request_id=answered_id,
            status=answer.status,
            headers=tuple(select_end_to_end_headers(answer.headers)),
            body=answer.body,
        )

    async def status(self, deadline: float) -> ExecutorStatus:
        """Return the status of the executor, with its requests in flight."""
        try:
            answer = await call_http(
                self.client,
                "GET",
                STATUS_PATH,
                deadline=deadline,
                traffic=self.traffic,
            )
            return decode_answer(answer, ExecutorStatus)
        except CallFailed as error:
            raise self.to_port_error(error) from error
        except InvalidAnswer as error:
            raise ExecutorTimeout(f"executor {self.address}: {error}") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
