"""Serve ASGI apps with hypercorn on chosen or free ports."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Event

__all__ = ["address_of", "bind_socket", "serve_apps", "serve_on_socket"]

BACKLOG = 1024
# Requests that are served when a server stops have this time left.
GRACE_S = 0.2


def bind_socket(address: str) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    host, port = address.rsplit(":", 1)
    return socket.create_server((host.strip("[]"), int(port)), backlog=BACKLOG)


def address_of(listener: socket.socket) -> str:
    """Return the IP:port of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


class ConnectionServer(TCPServer):
    """Server of one connection; an aborted one sends nothing any more."""

    is_aborted = False

    async def protocol_send(self, event: Event) -> None:
        """Send an event of the protocol."""
        if not self.is_aborted:
            await super().protocol_send(event)

    def abort(self) -> None:
        """Drop the connection and what it has not sent."""
        self.is_aborted = True
        self.writer.transport.abort()


class AppServer:
    """Server of one app, whose connections run in tasks of its own.

    hypercorn's own server reports a connection that it has cancelled as an error, and
    fails when it is cancelled itself.
    """

    __slots__ = ("app", "config", "context", "servers")

    def __init__(self, app: Callable):
        self.app = ASGIWrapper(app)
        self.context = WorkerContext(None)
        self.config = Config()
        self.config.accesslog = None
        self.config.loglevel = "WARNING"
        self.servers: dict[asyncio.Task, ConnectionServer] = {}

    def start_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start the task of a connection that was made."""
        loop = asyncio.get_running_loop()
        server = ConnectionServer(
            self.app, loop, self.config, self.context, {}, reader, writer
        )
        task = loop.create_task(self.serve_connection(server))
        self.servers[task] = server
        task.add_done_callback(self.servers.pop)

    async def serve_connection(self, server: ConnectionServer) -> None:
        """Serve one connection; errors of apps are logged by hypercorn."""
        with contextlib.suppress(Exception):
            await server

    async def run(self, listener: socket.socket, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set or the caller is cancelled."""
        accepting = await asyncio.start_server(
            self.start_connection, sock=listener, backlog=BACKLOG
        )
        try:
            await stop.wait()
            accepting.close()
            await self.context.terminated.set()
            if self.servers:
                await asyncio.wait(self.servers, timeout=GRACE_S)
        finally:
            accepting.close()
            for task, server in self.servers.items():
                server.abort()
                task.cancel()
            with anyio.CancelScope(shield=True):
                while self.servers:
                    await asyncio.wait(self.servers)


async def serve_on_socket(
    app: Callable, listener: socket.socket, stop: anyio.Event
) -> None:
    """Serve an app until ``stop`` is set; take ownership of the socket."""
    await AppServer(app).run(listener, stop)


@contextlib.asynccontextmanager
async def serve_apps(apps: dict[str, Callable]) -> AsyncIterator[dict[str, str]]:
    """Serve apps on free loopback ports and yield their addresses by name."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        addresses = {}
        for name, app in apps.items():
            listener = bind_socket("127.0.0.1:0")
            addresses[name] = address_of(listener)
            tasks.start_soon(serve_on_socket, app, listener, stop)
        try:
            yield addresses
        finally:
            stop.set()
