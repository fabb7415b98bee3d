"""Small HTTP/1.1 server and client on asyncio for the stand-ins of the cases."""

import asyncio
import itertools
import json
import random
import socket
import time
from urllib.parse import parse_qsl, urlsplit

# Each run has a loopback address of its own, so that runs side by side, and the
# connections that they open, do not meet its ports.
HOST = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.{random.randint(1, 254)}"
FIRST_PORT = 20_000
PORTS = itertools.count(FIRST_PORT)


def free_port():
    """Return a TCP port of this run that nobody listens on."""
    while True:
        port = next(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Request:
    """Request with method, path, query, headers and body."""

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpServer:
    """Server of one address; ``handle`` returns a status and a body.

    ``handle`` returns None to leave a request without an answer.
    """

    def __init__(self, handle):
        self.handle = handle
        self.port = free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """Address as IP:port."""
        return f"{HOST}:{self.port}"

    async def start(self):
        """Listen on the address."""
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, backlog=512
        )

    def stop(self):
        """Close the listening socket and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection until it ends."""
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handle(Request(method, target, head[1], body))
                if answer is None:
                    await asyncio.Event().wait()
                status, reply = answer
                if not isinstance(reply, bytes):
                    reply = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(reply)}\r\n\r\n".encode()
                    + reply
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=b"", headers=None, timeout_s=5.0):
    """Send one request on a new connection; return status and body, 0 if unanswered."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, b""
            length = int(head[1].get("content-length", "0"))
            return int(head[0].split()[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def now_s():
    """Return the steady time in seconds."""
    return time.monotonic()
