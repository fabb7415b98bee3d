"""Serve ASGI apps with hypercorn on chosen or free ports."""

import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

__all__ = ["address_of", "bind_socket", "serve_apps", "serve_on_socket"]


def bind_socket(address: str) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    host, port = address.rsplit(":", 1)
    return socket.create_server((host.strip("[]"), int(port)), backlog=1024)


def address_of(listener: socket.socket) -> str:
    """Return the IP:port of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def serve_on_socket(
    app: Callable, listener: socket.socket, stop: anyio.Event
) -> None:
    """Serve an app until ``stop`` is set; take ownership of the socket.

    hypercorn fails when it is cancelled, so callers have to set ``stop``.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.loglevel = "WARNING"
    config.graceful_timeout = 0.2
    await serve(app, config, shutdown_trigger=stop.wait)


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
