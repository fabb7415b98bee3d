"""Read HTTP requests from and write responses to an ASGI server."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec

from gypsumring.gateway.exceptions import CallerGone, HttpRefused
from gypsumring.metrics import RefusalReason
from gypsumring.requests import Answer, Answered, Refused, Unknown

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "make_error_response",
    "make_json_response",
    "make_service_response",
    "make_unknown_response",
    "read_body",
    "send_response",
]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

# A caller that sends or reads its body slower than this holds no memory any longer.
TRANSFER_S = 10.0
# Header bytes passed on; hypercorn's HTTP/1 parser itself stops at 64 KiB.
MAX_HEADER_BYTES = 32 * 1024

# Headers of one connection, which RFC 9110 section 7.6.1 forbids to forward.
HOP_BY_HOP = {
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}

STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CONCURRENCY_LIMIT: 429,
    RefusalReason.DEADLINE_TOO_LONG: 400,
    RefusalReason.KEY_CONFLICT: 409,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.QUOTA_EXCEEDED: 429,
    RefusalReason.TEAM_SHARE: 429,
    RefusalReason.TOKEN_INVALID: 401,
    RefusalReason.UNKNOWN_JOB: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.VERSION_CONFLICT: 409,
}
REFUSED_STATUS = 503
UNKNOWN_STATUS = 504


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the head of one HTTP request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]

    @classmethod
    def from_scope(cls, scope: dict[str, Any]) -> "HttpRequest":
        """Read the head of a request from an ASGI scope."""
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in scope["headers"]
        )
        return cls(
            method=scope["method"].upper(),
            path=scope["path"],
            query=scope.get("query_string", b"").decode("latin-1"),
            headers=headers,
        )

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    def end_to_end_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers to pass on to an executor."""
        named = self.header("connection").lower().split(",")
        dropped = HOP_BY_HOP | {name.strip() for name in named}
        return tuple(pair for pair in self.headers if pair[0] not in dropped)


class HttpResponse(msgspec.Struct, frozen=True):
    """Hold one whole response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def read_body(request: HttpRequest, receive: Receive, max_bytes: int) -> bytes:
    """Return the whole body; raise HttpRefused when it exceeds ``max_bytes``."""
    too_large = HttpRefused(
        RefusalReason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )
    announced = request.header("content-length")
    if announced.isdigit() and int(announced) > max_bytes:
        raise too_large
    chunks, size = [], 0
    try:
        with anyio.fail_after(TRANSFER_S):
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    raise CallerGone("the caller hung up while sending")
                chunk = event.get("body", b"")
                size += len(chunk)
                if size > max_bytes:
                    raise too_large
                chunks.append(chunk)
                if not event.get("more_body", False):
                    break
    except TimeoutError as error:
        raise HttpRefused(
            RefusalReason.BAD_REQUEST,
            f"the body did not arrive within {TRANSFER_S:g} s",
            status=408,
        ) from error
    if announced.isdigit() and size != int(announced):
        raise HttpRefused(
            RefusalReason.BAD_REQUEST, f"{size} of {announced} bytes were received"
        )
    return b"".join(chunks)


async def send_response(response: HttpResponse, send: Send, is_head: bool) -> None:
    """Send a whole response; raise CallerGone when the caller reads too slowly."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    if response.status not in (204, 304) and not is_head:
        headers.append((b"content-length", str(len(response.body)).encode()))
    try:
        with anyio.fail_after(TRANSFER_S):
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": headers,
                }
            )
            body = b"" if is_head else response.body
            await send({"type": "http.response.body", "body": body})
    except TimeoutError as error:
        raise CallerGone("the caller read the response too slowly") from error


def make_json_response(
    value: object, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a JSON response."""
    return HttpResponse(
        status,
        (("content-type", "application/json"), *headers),
        msgspec.json.encode(value) + b"\n",
    )


def make_error_response(refusal: HttpRefused) -> HttpResponse:
    """Return the response to a request that was not run."""
    headers = [
        ("gypsumring-outcome", "refused"),
        ("gypsumring-reason", str(refusal.reason)),
    ]
    if refusal.retry_after_s:
        headers.append(("retry-after", str(refusal.retry_after_s)))
    error = {"reason": str(refusal.reason), "detail": refusal.detail}
    if refusal.field:
        error["field"] = refusal.field
    status = refusal.status or STATUS_BY_REASON.get(refusal.reason, REFUSED_STATUS)
    return make_json_response({"error": error}, status, tuple(headers))


def make_service_response(answer: Answer, request_id: str) -> HttpResponse:
    """Return the HTTP response of an answer class."""
    match answer:
        case Answered(status, headers, body):
            passed = tuple(
                pair
                for pair in headers
                if pair[0].lower() not in HOP_BY_HOP
                and not pair[0].lower().startswith("gypsumring-")
            )
            outcome = (
                ("gypsumring-outcome", "answered"),
                ("gypsumring-request-id", request_id),
            )
            return HttpResponse(status, passed + outcome, body)
        case Refused(reason, detail, retry_after_s):
            return make_error_response(
                HttpRefused(reason, detail, retry_after_s=retry_after_s)
            )
        case Unknown(detail):
            return make_unknown_response(detail, request_id)


def make_unknown_response(detail: str, request_id: str = "") -> HttpResponse:
    """Return the response to a request that may have taken effect."""
    headers = [("gypsumring-outcome", "unknown"), ("gypsumring-reason", "unknown")]
    if request_id:
        headers.append(("gypsumring-request-id", request_id))
    return make_json_response(
        {"error": {"reason": "unknown", "detail": detail}},
        UNKNOWN_STATUS,
        tuple(headers),
    )
