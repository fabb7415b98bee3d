"""Connections that end while they are served, over sockets of the loopback interface.

Guards against ends of connections that asyncio reports as errors: they were written to
standard error as tracebacks, among log lines of JSON.
"""

import asyncio
import functools
import socket
import warnings
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import hypercorn.config

from gypsumring.door import ConnectionTable, DoorLimits, serve_callers
from gypsumring.metrics import Metrics
from gypsumring.settings.node import DoorSettings, MachineLimits
from gypsumring.utils.testing import make_load_tests

LIMIT_S = 30.0
GRACEFUL_S = 0.1
# Far above what the kernel buffers for a connection whose caller reads nothing.
LARGE_BYTES = 8 * 1024 * 1024
HEAD = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"


class Door:
    """Door of a test: its address and table, and what the event loop has reported."""

    __slots__ = ("address", "reports", "served", "stop", "table")

    def __init__(self, address: str, table: ConnectionTable):
        self.address = address
        self.table = table
        self.reports: list[dict[str, Any]] = []
        # Paths of the requests that the application has received.
        self.served: list[str] = []
        self.stop = anyio.Event()

    async def serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answer a request in the way that its path names."""
        self.served.append(scope["path"])
        if scope["path"] == "/wait":
            await anyio.sleep_forever()
        if scope["path"] == "/read":
            while (await receive())["type"] == "http.request":
                pass
        size = LARGE_BYTES if scope["path"] == "/large" else 2
        if scope["path"] == "/wait-at-end":
            try:
                await anyio.sleep_forever()
            finally:
                # Writes to a connection that has been aborted.
                for _ in range(10):
                    await send_answer(send, size)
        await send_answer(send, size)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(LIMIT_S):
            while not condition():
                await anyio.sleep(0.01)

    async def open(self, *contents: bytes) -> list[anyio.abc.SocketStream]:
        """Open one connection for each content and send it."""
        host, port = self.address.split(":")
        streams = [await anyio.connect_tcp(host, int(port)) for _ in contents]
        for stream, content in zip(streams, contents, strict=True):
            await stream.send(content)
        return streams


async def send_answer(send: Any, size: int) -> None:
    """Send an answer with a body of the given size."""
    length = str(size).encode()
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", length)],
        }
    )
    await send({"type": "http.response.body", "body": b"x" * size})


def bind_door() -> tuple[str, hypercorn.config.Config]:
    """Return a free address and the configuration of a door that listens there."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = GRACEFUL_S
    config.keep_alive_timeout = 10 * LIMIT_S
    config.errorlog = None
    return address, config


@asynccontextmanager
async def running_door() -> AsyncIterator[Door]:
    """Serve a door on a free port; stop it at the end and check what was reported."""
    address, config = bind_door()
    settings = DoorSettings()
    limits = DoorLimits(MachineLimits(160, 1_638), settings)
    table = ConnectionTable(address, limits, settings, Metrics())
    door = Door(address, table)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: door.reports.append(context))
    with warnings.catch_warnings(record=True) as warned, anyio.fail_after(2 * LIMIT_S):
        warnings.simplefilter("always")
        async with anyio.create_task_group() as group:
            group.start_soon(serve_callers, door.serve, config, table, door.stop.wait)
            yield door
            door.stop.set()
    # Callbacks of tasks that have just ended run now.
    await anyio.sleep(0.01)
    assert door.reports == []
    texts = [str(warning.message) for warning in warned]
    assert not [text for text in texts if "never awaited" in text], texts
    assert not table.connections
    assert table.used_bytes == 0


def run_in_real_time(
    function: Callable[[], Awaitable[None]],
) -> Callable[[], None]:
    """Run an async test on asyncio in real time, with real sockets."""

    @functools.wraps(function)
    def run() -> None:
        anyio.run(function, backend="asyncio")

    del run.__wrapped__
    return run


@run_in_real_time
async def test_connections_closed_by_the_table_while_served_are_no_errors():
    async with running_door() as door:
        contents = [HEAD % b"wait"] * 3 + [HEAD % b"wait-at-end"] * 3
        streams = await door.open(*contents)
        await door.wait_for(lambda: len(door.served) == len(contents))
        for connection in list(door.table.connections):
            door.table.close(connection, "memory")
        await door.wait_for(lambda: not door.table.connections)
        assert door.table.metrics.counters["node.door.closed.memory"] == len(contents)
        assert "node.door.closed.error" not in door.table.metrics.counters
        for stream in streams:
            await stream.aclose()


@run_in_real_time
async def test_connections_closed_before_a_request_are_no_errors():
    async with running_door() as door:
        contents = [b"GET", b"POST / HTTP/1.1\r\ncontent-length: 9\r\n", b""]
        streams = await door.open(*contents)
        await door.wait_for(lambda: len(door.table.connections) == len(contents))
        for connection in list(door.table.connections):
            door.table.close(connection, "head")
        await door.wait_for(lambda: not door.table.connections)
        for stream in streams:
            await stream.aclose()


@run_in_real_time
async def test_door_that_stops_ends_open_connections_without_errors():
    async with running_door() as door:
        contents = [HEAD % b"wait", HEAD % b"wait-at-end", HEAD % b"large", b"GET", b""]
        streams = await door.open(*contents)
        await door.wait_for(lambda: len(door.served) == 3)
        await door.wait_for(lambda: len(door.table.connections) == len(contents))
        door.stop.set()
        await door.wait_for(lambda: not door.table.connections)
        # Only the sweep would have ended a connection whose caller reads nothing.
        assert "node.door.closed.unread" not in door.table.metrics.counters
        for stream in streams:
            await stream.aclose()


@run_in_real_time
async def test_callers_that_leave_are_no_errors_and_keep_no_place():
    # A connection that had been served kept its place and its descriptor until the time
    # limit of idle ones.
    async with running_door() as door:
        contents = [HEAD % b"read", HEAD % b"large", HEAD % b"", b"GET", b""]
        streams = await door.open(*contents)
        await door.wait_for(lambda: len(door.served) == 3)
        await door.wait_for(lambda: len(door.table.connections) == len(contents))
        for stream in streams:
            await stream.aclose()
        await door.wait_for(lambda: not door.table.connections)


@run_in_real_time
async def test_cancelled_door_leaves_no_connection_behind():
    # The event loop would otherwise end them, after what they use has ended.
    async with running_door() as door:
        address, config = bind_door()
        other = Door(address, door.table)
        async with anyio.create_task_group() as group:
            group.start_soon(
                serve_callers, other.serve, config, other.table, other.stop.wait
            )
            (stream,) = await other.open(HEAD % b"wait")
            await door.wait_for(lambda: other.served == ["/wait"])
            group.cancel_scope.cancel()
        await door.wait_for(lambda: not door.table.connections)
        await stream.aclose()


@run_in_real_time
async def test_stopped_door_leaves_its_caller_no_request_to_cancel_it():
    # anyio takes the end of a group around such a caller for one from outside, so that
    # the node ended with CancelledError.
    async with running_door() as door:
        address, config = bind_door()
        other = Door(address, door.table)

        async def stop_while_serving() -> None:
            (stream,) = await other.open(HEAD % b"wait")
            await door.wait_for(lambda: other.served == ["/wait"])
            other.stop.set()
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            group.start_soon(stop_while_serving)
            await serve_callers(other.serve, config, other.table, other.stop.wait)
            assert asyncio.current_task().cancelling() == 0
            group.cancel_scope.cancel()


load_tests = make_load_tests(globals())
