"""Minimal HTTP/1.1 client with persistent connections.

``httpx`` takes about one millisecond of CPU time per request, too much for an owner
that sends hundreds of requests per second; ``httptools`` parses in C.
"""

import re
import socket
from collections.abc import Callable

import anyio
import anyio.abc
import httptools

from gypsumring.transport.exceptions import ConnectFailed, NoResponse
from gypsumring.transport.traffic import LinkTraffic
from gypsumring.utils.addresses import split_address

__all__ = ["PROGRESS_TIMEOUT_S", "HttpClient", "HttpResponse", "ResponseCollector"]

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 0.5
# A response that may be large is read on as long as no more than this time passes
# between two of its parts.
PROGRESS_TIMEOUT_S = 1.0
# More than the store returns in one response.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The kernel closes a connection whose data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2_000
LINE_END = re.compile(r"[\r\n]")


class HttpResponse:
    """Response; ``closes_connection`` says that the server closes the connection."""

    __slots__ = ("body", "closes_connection", "headers", "status")

    def __init__(
        self, status: int, body: bytes, headers: dict[str, str], closes_connection: bool
    ):
        self.status = status
        self.body = body
        self.headers = headers
        self.closes_connection = closes_connection


class ResponseCollector:
    """Callbacks with which the parser delivers one response."""

    __slots__ = ("complete", "headers", "keep_alive", "parser", "parts", "size")

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.keep_alive = False
        self.parts: list[bytes] = []
        self.size = 0
        self.headers: dict[str, str] = {}
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.parts.append(body)
        self.size += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.keep_alive = self.parser.should_keep_alive()
        self.complete = True


async def read_response(
    stream: anyio.abc.ByteReceiveStream,
    traffic: LinkTraffic | None = None,
    on_received: Callable[[ResponseCollector], None] | None = None,
) -> HttpResponse:
    """Read one response; raise NoResponse if the connection fails before its end.

    ``on_received`` is called after each part of the response.
    """
    collector = ResponseCollector()
    parser = collector.parser
    try:
        while not collector.complete:
            received = await stream.receive(READ_BYTES)
            if traffic is not None:
                traffic.record_received(len(received))
            parser.feed_data(received)
            if collector.size > MAX_RESPONSE_BYTES:
                raise NoResponse(f"response of more than {MAX_RESPONSE_BYTES} bytes")
            if on_received is not None:
                on_received(collector)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        httptools.HttpParserError,
        httptools.HttpParserUpgrade,
        OSError,
    ) as error:
        raise NoResponse(
            f"connection failed before the end of the response: {error!r}"
        ) from error
    return HttpResponse(
        parser.get_status_code(),
        b"".join(collector.parts),
        collector.headers,
        not collector.keep_alive,
    )


def set_socket_timeouts(stream: anyio.abc.SocketStream) -> None:
    """Set the time after which the kernel drops peers that acknowledge no data."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


class IdleConnection:
    """Connection without a request, and the time of its last response."""

    __slots__ = ("idle_since", "stream")

    def __init__(self, stream: anyio.abc.SocketStream):
        self.stream = stream
        self.idle_since = anyio.current_time()


class HttpClient:
    """HTTP client of one address with a pool of persistent connections.

    It never has more than ``max_connections`` open; without them, as many as there are
    requests at one time.
    """

    __slots__ = ("address", "closed", "free_slots", "idle_connections", "traffic")

    def __init__(
        self,
        address: str,
        max_connections: int | None = None,
        traffic: LinkTraffic | None = None,
    ):
        self.address = address
        self.traffic = traffic or LinkTraffic()
        self.closed = False
        self.free_slots: anyio.Semaphore | None = None
        if max_connections is not None:
            self.free_slots = anyio.Semaphore(max_connections)
        # The connection that was used last comes last.
        self.idle_connections: list[IdleConnection] = []

    async def request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        content_type: str = "application/json",
        on_received: Callable[[ResponseCollector], None] | None = None,
    ) -> HttpResponse:
        """Return the response that arrives before ``deadline`` (``current_time``).

        With ``on_received``, which is called after each part of the response, the
        deadline is that of the first part: the response is read on while its parts
        follow each other within PROGRESS_TIMEOUT_S.

        Raise ConnectFailed if nothing was sent and NoResponse if the request may have
        been executed.
        """
        message = self.encode_head(method, path, body, headers, content_type) + body
        await self.acquire_slot(deadline)
        try:
            return await self.exchange(message, deadline, on_received)
        finally:
            if self.free_slots is not None:
                self.free_slots.release()

    def encode_head(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
        content_type: str,
    ) -> bytes:
        """Return the head of a request; raise ConnectFailed if it would be odd."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}"]
        if body or method != "GET":
            lines.append(f"Content-Type: {content_type}")
            lines.append(f"Content-Length: {len(body)}")
        if headers:
            lines.extend(f"{name}: {value}" for name, value in headers.items())
        if any(LINE_END.search(line) for line in lines):
            raise ConnectFailed(f"{self.address}: line end in a header")
        try:
            return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        except UnicodeEncodeError as error:
            raise ConnectFailed(f"{self.address}: odd header: {error}") from error

    async def acquire_slot(self, deadline: float) -> None:
        """Wait until a connection may be used; raise ConnectFailed at the deadline."""
        if self.free_slots is None:
            return
        try:
            self.free_slots.acquire_nowait()
        except anyio.WouldBlock:
            try:
                with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
                    await self.free_slots.acquire()
            except TimeoutError as error:
                raise ConnectFailed(
                    f"{self.address}: all connections in use"
                ) from error

    async def exchange(
        self,
        message: bytes,
        deadline: float,
        on_received: Callable[[ResponseCollector], None] | None = None,
    ) -> HttpResponse:
        """Send a request over an idle or a new connection and return the response."""
        stream = (
            self.idle_connections.pop().stream
            if self.idle_connections
            else await self.connect(deadline)
        )
        reusable = False

        def note_received(response: ResponseCollector) -> None:
            progress_deadline = anyio.current_time() + PROGRESS_TIMEOUT_S
            scope.deadline = max(scope.deadline, progress_deadline)
            on_received(response)

        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())) as scope:
                self.traffic.record_sent(len(message))
                await stream.send(message)
                response = await read_response(
                    stream, self.traffic, note_received if on_received else None
                )
            reusable = not (response.closes_connection or self.closed)
            return response
        except TimeoutError as error:
            raise NoResponse(
                f"{self.address}: no response before the deadline"
            ) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise NoResponse(f"{self.address}: {error!r}") from error
        finally:
            if reusable:
                self.idle_connections.append(IdleConnection(stream))
            else:
                await anyio.aclose_forcefully(stream)

    async def connect(self, deadline: float) -> anyio.abc.SocketStream:
        """Open a connection; raise ConnectFailed."""
        try:
            host, port = split_address(self.address)
        except ValueError as error:
            raise ConnectFailed(str(error)) from error
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - anyio.current_time())
        try:
            with anyio.fail_after(max(0.0, timeout_s)):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{self.address}: {error!r}") from error
        set_socket_timeouts(stream)
        return stream

    async def close_idle(self, idle_since: float) -> None:
        """Close all connections but one that have been idle since then or longer."""
        while (
            len(self.idle_connections) > 1
            and self.idle_connections[0].idle_since <= idle_since
        ):
            await anyio.aclose_forcefully(self.idle_connections.pop(0).stream)

    async def aclose(self) -> None:
        """Close the idle connections now, and the others after their response."""
        self.closed = True
        while self.idle_connections:
            await anyio.aclose_forcefully(self.idle_connections.pop().stream)
