"""HTTP calls with a deadline and a size limit that report whether data was sent."""

import functools
import ssl
from collections.abc import Iterable
from typing import Any, TypeVar

import anyio
import httpx
import msgspec

from gypsumring.adapters.exceptions import BodyTooLarge, CallFailed, InvalidAnswer
from gypsumring.metrics import Metrics
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = [
    "MAX_ANSWER_BYTES",
    "MSGPACK_TYPE",
    "HttpAnswer",
    "TrafficCounter",
    "call_http",
    "decode_answer",
    "open_client",
]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MSGPACK_TYPE = "application/msgpack"

# Common servers close an idle connection after 5 s; a shorter time makes it unlikely
# that a request is sent on a connection that the server is closing.
KEEPALIVE_EXPIRY_S = 2.0

# The trace event that precedes the first byte of a request.
SEND_STARTED_EVENT = "http11.send_request_headers.started"

AnswerType = TypeVar("AnswerType")


class HttpAnswer(msgspec.Struct, frozen=True):
    """Complete answer to an HTTP request; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


class TrafficCounter:
    """Counter of the bytes of HTTP/1.1 messages.

    It increments ``{part}.bytes_sent`` and ``{part}.bytes_received``. The chunk headers
    of a chunked body are not counted.
    """

    __slots__ = ("metrics", "part")

    def __init__(self, metrics: Metrics, part: str):
        self.metrics = metrics
        self.part = part

    def count_request(self, request: httpx.Request) -> None:
        """Count the request line, the headers and the body of a request."""
        request_line = f"{request.method}  HTTP/1.1\r\n"
        body_size = int(request.headers.get("content-length", "0"))
        size = len(request_line) + len(request.url.raw_path) + body_size
        self.metrics.count(
            f"{self.part}.bytes_sent", size + header_size_bytes(request.headers)
        )

    def count_response(self, response: httpx.Response) -> None:
        """Count the status line, the headers and the body as far as it was read."""
        size = len(f"HTTP/1.1 {response.status_code} {response.reason_phrase}\r\n")
        self.metrics.count(
            f"{self.part}.bytes_received",
            size + header_size_bytes(response.headers) + response.num_bytes_downloaded,
        )


def header_size_bytes(headers: httpx.Headers) -> int:
    """Return the size of headers on the wire, including the empty line after them."""
    return 2 + sum(len(name) + len(value) + 4 for name, value in headers.raw)


@functools.cache
def shared_ssl_context() -> ssl.SSLContext:
    """Return the TLS context that all clients share; loading it takes milliseconds."""
    return ssl.create_default_context()


def open_client(base_url: str, max_connections: int) -> httpx.AsyncClient:
    """Return a client with a limit on connections that ignores proxy settings."""
    return httpx.AsyncClient(
        base_url=base_url,
        # By default httpx requests compressed answers, which the caller may not accept.
        headers={"accept-encoding": "identity"},
        verify=shared_ssl_context(),
        trust_env=False,
        timeout=None,
        follow_redirects=False,
        limits=httpx.Limits(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        ),
    )


async def call_http(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    *,
    deadline: float,
    traffic: TrafficCounter,
    max_bytes: int = MAX_ANSWER_BYTES,
    headers: Iterable[tuple[str, str]] = (),
    **request_options: Any,
) -> HttpAnswer:
    """Send a request and return the complete answer; raise CallFailed.

    ``deadline`` is a monotonic time in seconds. The body is returned as received,
    without decoding its content encoding.
    """
    sent = False
    answered = False

    async def trace(event_name: str, info: dict[str, Any]) -> None:
        nonlocal sent
        if event_name == SEND_STARTED_EVENT:
            sent = True

    try:
        with anyio.CancelScope(deadline=deadline):
            request = client.build_request(
                method,
                url,
                headers=[
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
                extensions={"trace": trace},
                **request_options,
            )
            try:
                response = await client.send(request, stream=True)
            finally:
                if sent:
                    traffic.count_request(request)
            answered = True
            try:
                return await read_answer(response, method, max_bytes)
            finally:
                traffic.count_response(response)
                await response.aclose()
    except (httpx.HTTPError, httpx.InvalidURL, UnicodeEncodeError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise CallFailed(reason, sent, answered) from error
    raise CallFailed("no complete answer before the deadline", sent, answered)


async def read_answer(
    response: httpx.Response, method: str, max_bytes: int
) -> HttpAnswer:
    """Read the body up to the size limit and check that it is complete."""
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLarge(f"answer is larger than {max_bytes} bytes", True, True)
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in response.headers.raw
    )
    if method != "HEAD" and response.status_code not in (204, 304):
        length = response.headers.get("content-length")
        is_chunked = "chunked" in response.headers.get("transfer-encoding", "").lower()
        # If only the end of the connection delimits the body, a truncated answer cannot
        # be distinguished from a complete one.
        if not is_chunked and length != str(len(body)):
            raise CallFailed(
                f"answer truncated: got {len(body)} of {length} bytes", True, True
            )
    return HttpAnswer(response.status_code, headers, bytes(body))


def decode_answer(answer: HttpAnswer, answer_type: type[AnswerType]) -> AnswerType:
    """Decode the msgpack or JSON body of an answer with status 200.

    Raise InvalidAnswer for another status or an invalid body.
    """
    if answer.status != 200:
        raise InvalidAnswer(f"status {answer.status}")
    codec = (
        msgspec.msgpack
        if answer.header("content-type") == MSGPACK_TYPE
        else msgspec.json
    )
    try:
        return codec.decode(answer.body, type=answer_type)
    except DECODE_ERRORS as error:
        raise InvalidAnswer(str(error)) from error
