"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

# Below the ports that the kernel gives to outgoing connections.
PORTS = range(15_000, 32_000)


def find_free_port() -> int:
    """Return a TCP port of the loopback interface that is free now."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Request:
    """One request of a client."""

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {key: rows[0] for key, rows in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body)


# Status and body. A status of 0 means that the request gets no answer.
Reply = tuple[int, dict | bytes]
Handler = Callable[[Request], Awaitable[Reply]]


class Server:
    """Server of one address; ``stop`` ends it as the end of its process would."""

    __slots__ = ("address", "handler", "port", "server", "tasks", "writers")

    def __init__(self, handler: Handler):
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.port = 0
        self.address = ""
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface, on a free port unless one is given."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port or find_free_port(), backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection in order."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, reply = await self.handler(request)
                if not status:
                    # The connection stays open and carries no further answer.
                    await reader.read()
                    return
                body = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 4.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0 means that no answer came."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.decode("latin-1").lower().split("\r\n"):
                if line.startswith("content-length:"):
                    length = int(line.partition(":")[2])
            return int(head.split(b" ", 2)[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.transport.abort()
