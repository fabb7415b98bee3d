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
from hypercorn.events import Event, RawData, Updated
from hypercorn.protocol.h2 import H2Protocol

from gypsumring.door.connection import Connection, Phase
from gypsumring.door.exceptions import Http2Refused
from gypsumring.door.request import ConnectionApp
from gypsumring.door.table import ConnectionTable
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["serve_callers"]

log = EventLogger("door")

# What one connection may have received and not yet parsed, and sent and not yet read.
READ_BYTES = 16 * 1024
UNSENT_BYTES = 16 * 1024
BUFFER_BYTES = 8 * 1024
KERNEL_BYTES = 16 * 1024
HTTP2_START = b"PRI "
UPGRADE = b"HTTP/1.1 101 "
REFUSAL = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class AccountedReader:
    """Reader that notes what a connection receives, and ends one that opens HTTP/2."""

    __slots__ = ("connection", "reader", "table")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        connection: Connection,
        table: ConnectionTable,
    ):
        self.reader = reader
        self.connection = connection
        self.table = table

    def at_eof(self) -> bool:
        """Return whether all was read."""
        return self.reader.at_eof()

    async def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes, in small pieces."""
        content = await self.reader.read(min(size, READ_BYTES))
        begins = self.connection.phase in (Phase.NEW, Phase.IDLE)
        self.connection.note_bytes(len(content), self.table.read_clock())
        if begins and content[:1] == HTTP2_START[:1]:
            content = await self.read_start(content)
        return content

    async def read_start(self, content: bytes) -> bytes:
        """Read on until HTTP/2 can be told from a method; return nothing for HTTP/2.

        The state that the library builds for HTTP/2 costs several times a connection.
        """
        while len(content) < len(HTTP2_START) and HTTP2_START.startswith(content):
            more = await self.reader.read(READ_BYTES)
            if not more:
                break
            content += more
        if content.startswith(HTTP2_START):
            self.table.close(self.connection, "http2")
            return b""
        return content


class Http1Server(TCPServer):
    """Server of one connection that ends it when the caller asks for HTTP/2."""

    def __init__(self, connection: Connection, *args: Any):
        super().__init__(*args)
        self.connection = connection
        self.has_left = False

    async def _read_data(self) -> None:
        """Read until the caller has left; no further request is waited for then.

        The timer of an idle connection would otherwise keep one that has ended.
        """
        await super()._read_data()
        self.has_left = True
        await self.idle_task.stop()

    async def protocol_send(self, event: Event) -> None:
        """Send an event of the protocol; raise Http2Refused.

        The requests of an aborted connection still send their ends. It has no transport
        for them, and its task group takes no timer for the next request.
        """
        if self.connection.closed or (self.has_left and isinstance(event, Updated)):
            return
        is_upgrade = isinstance(event, RawData) and event.data.startswith(UPGRADE)
        if is_upgrade or isinstance(self.protocol.protocol, H2Protocol):
            raise Http2Refused("HTTP/2")
        await super().protocol_send(event)


class DoorServer:
    """Server that admits connections and hands them to hypercorn.

    Each connection is served in a task of the door's own. asyncio reports a task that
    it has started for a connection as an error when it is cancelled, which is how the
    table ends a connection.
    """

    __slots__ = ("app", "config", "context", "stopped", "table", "tasks")

    def __init__(
        self, app: Any, config: hypercorn.config.Config, table: ConnectionTable
    ):
        self.app = app
        self.config = config
        self.table = table
        self.context = WorkerContext(None)
        self.tasks: set[asyncio.Task] = set()
        self.stopped = False

    def start_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start the task of a connection that was made."""
        client = writer.get_extra_info("peername")
        if client is None or self.stopped:
            writer.transport.abort()
            return
        task = asyncio.create_task(self.serve_connection(reader, writer, client))
        self.tasks.add(task)
        task.add_done_callback(self.record_end)

    def record_end(self, task: asyncio.Task) -> None:
        """Forget the task of a connection that has ended; log an unexpected error."""
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.table.metrics.count("node.door.failed")
            log.error("connection failed", **describe_error(error))

    async def serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: tuple[Any, ...],
    ) -> None:
        """Serve one connection, or refuse it."""
        server = writer.get_extra_info("sockname")
        connection = Connection(
            f"{server[0]}:{server[1]}",
            client[0],
            asyncio.current_task(),
            writer.transport,
            self.table.read_clock(),
        )
        if not self.table.admit(connection):
            writer.write(REFUSAL)
            writer.close()
            return
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)
        app = ASGIWrapper(ConnectionApp(self.app, connection, self.table))
        loop = asyncio.get_running_loop()
        accounted = AccountedReader(reader, connection, self.table)
        try:
            await Http1Server(
                connection, app, loop, self.config, self.context, {}, accounted, writer
            )
        except (Exception, BaseExceptionGroup) as error:
            self.report_error(error, connection)
        finally:
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
        now = asyncio.get_running_loop().time
        deadline = now() + self.config.graceful_timeout
        # The listeners may have accepted connections that are made only now.
        while self.tasks and (left_s := deadline - now()) > 0:
            await asyncio.wait(self.tasks, timeout=left_s)
        self.abort(servers)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def abort(self, servers: list[asyncio.Server]) -> None:
        """Stop to accept, and end all connections.

        Answers that callers have not read by now would keep their connections open.
        """
        self.stopped = True
        for server in servers:
            server.close()
        self.table.abort_all()
        for task in self.tasks:
            task.cancel()


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
                door.start_connection,
                sock=listener,
                limit=BUFFER_BYTES,
                backlog=config.backlog,
            )
        )
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(table.sweep)
            await wait_stopped()
            await door.stop(servers)
            group.cancel_scope.cancel()
    finally:
        door.abort(servers)
