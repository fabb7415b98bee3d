"""HTTP server for callers: hypercorn's connections behind a table of connections."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import hypercorn.config
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.events import Event
from hypercorn.protocol.h2 import H2Protocol

from gypsumring.door.connection import Connection
from gypsumring.door.exceptions import Http2Refused
from gypsumring.door.request import ConnectionApp
from gypsumring.door.table import ConnectionTable

__all__ = ["serve_callers"]

# What one connection may have received and not yet parsed, and sent and not yet read.
READ_BYTES = 16 * 1024
UNSENT_BYTES = 16 * 1024
BUFFER_BYTES = 8 * 1024
KERNEL_BYTES = 16 * 1024
REFUSAL = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class AccountedReader:
    """Reader that notes what a connection receives."""

    __slots__ = ("connection", "read_clock", "reader")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        connection: Connection,
        read_clock: Callable[[], float],
    ):
        self.reader = reader
        self.read_clock = read_clock
        self.connection = connection

    def at_eof(self) -> bool:
        """Return whether all was read."""
        return self.reader.at_eof()

    async def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes, in small pieces."""
        content = await self.reader.read(min(size, READ_BYTES))
        self.connection.note_bytes(len(content), self.read_clock())
        return content


class Http1Server(TCPServer):
    """Server of one connection that ends it when the caller asks for HTTP/2."""

    async def protocol_send(self, event: Event) -> None:
        """Send an event of the protocol; raise Http2Refused."""
        if isinstance(self.protocol.protocol, H2Protocol):
            raise Http2Refused("HTTP/2")
        await super().protocol_send(event)


class DoorServer:
    """Server that admits connections and hands them to hypercorn."""

    __slots__ = ("app", "config", "context", "table", "tasks")

    def __init__(
        self, app: Any, config: hypercorn.config.Config, table: ConnectionTable
    ):
        self.app = app
        self.config = config
        self.table = table
        self.context = WorkerContext(None)
        self.tasks: set[asyncio.Task] = set()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, or refuse it."""
        task = asyncio.current_task()
        server = writer.get_extra_info("sockname")
        client = writer.get_extra_info("peername")
        if client is None:
            writer.transport.abort()
            return
        connection = Connection(
            f"{server[0]}:{server[1]}",
            client[0],
            task,
            writer.transport,
            self.table.read_clock(),
        )
        if not self.table.admit(connection):
            writer.write(REFUSAL)
            writer.close()
            return
        self.tasks.add(task)
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)
        app = ASGIWrapper(ConnectionApp(self.app, connection, self.table))
        loop = asyncio.get_running_loop()
        accounted = AccountedReader(reader, connection, self.table.read_clock)
        try:
            await Http1Server(
                app, loop, self.config, self.context, {}, accounted, writer
            )
        except (Exception, BaseExceptionGroup) as error:
            self.report_error(error, connection)
        finally:
            self.tasks.discard(task)
            self.table.remove(connection)
            writer.transport.abort()

    def report_error(self, error: BaseException, connection: Connection) -> None:
        """Count a connection that ended with an error."""
        reason = "error"
        if isinstance(error, BaseExceptionGroup) and error.subgroup(Http2Refused):
            reason = "http2"
        self.table.note("closed", reason, connection.host)

    async def stop(self, servers: list[asyncio.Server]) -> None:
        """Stop to accept, and wait for the connections to end."""
        await self.context.terminated.set()
        for server in servers:
            server.close()
        tasks = set(self.tasks)
        if tasks:
            _, pending = await asyncio.wait(tasks, timeout=self.config.graceful_timeout)
            for task in pending:
                task.cancel()
            if pending:
                await asyncio.wait(pending)


async def serve_callers(
    app: Any,
    config: hypercorn.config.Config,
    table: ConnectionTable,
    wait_stopped: Callable[[], Awaitable[None]],
) -> None:
    """Serve an ASGI application until stopped, within the limits of the table."""
    door = DoorServer(app, config, table)
    servers = []
    for listener in config.create_sockets().insecure_sockets:
        # Connections inherit the size, which counts as the process's memory.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            with contextlib.suppress(OSError):
                listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BYTES)
        servers.append(
            await asyncio.start_server(
                door.serve_connection,
                sock=listener,
                limit=BUFFER_BYTES,
                backlog=config.backlog,
            )
        )
    async with anyio.create_task_group() as group:
        group.start_soon(table.sweep)
        await wait_stopped()
        await door.stop(servers)
        group.cancel_scope.cancel()
