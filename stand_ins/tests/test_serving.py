"""Servers of the stand-ins that end while requests are served.

Guards against tracebacks among the output of tests, and against errors of the servers
that take the place of a failure of the test itself.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx

from gypsumring.utils.testing import make_load_tests, raised
from stand_ins.servers.serving import serve_apps

LIMIT_S = 30.0
LARGE_BYTES = 8 * 1024 * 1024


class WaitingApp:
    """App that answers one path with a large body and never answers another one."""

    __slots__ = ("served",)

    def __init__(self):
        self.served: list[str] = []

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.served.append(scope["path"])
        if scope["path"] == "/wait":
            await anyio.sleep_forever()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"x" * LARGE_BYTES})


def run_and_record(
    function: Callable[[], Awaitable[None]],
) -> Callable[[], None]:
    """Run an async test in real time; what the event loop reports fails it."""

    @functools.wraps(function)
    def run() -> None:
        reports = []

        async def run_recorded() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: reports.append(context))
            with anyio.fail_after(LIMIT_S):
                await function()
            # Callbacks of tasks that have just ended run now.
            await anyio.sleep(0.01)

        anyio.run(run_recorded, backend="asyncio")
        assert reports == []

    del run.__wrapped__
    return run


async def open_requests(address: str, app: WaitingApp) -> list[Any]:
    """Open connections whose requests are not answered, or not read."""
    host, port = address.split(":")
    streams = []
    for path in (b"wait", b"large"):
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n" % path)
        streams.append(stream)
    while len(app.served) < len(streams):
        await anyio.sleep(0.01)
    return streams


@run_and_record
async def test_servers_end_with_requests_open():
    app = WaitingApp()
    async with serve_apps({"a": app}) as addresses:
        streams = await open_requests(addresses["a"], app)
    for stream in streams:
        await stream.aclose()


@run_and_record
async def test_failure_of_a_test_is_not_hidden_by_the_servers():
    app = WaitingApp()
    streams = []

    async def fail() -> None:
        async with serve_apps({"a": app, "b": app}) as addresses:
            streams.extend(await open_requests(addresses["a"], app))
            raise KeyError("failure of the test")

    error = await raised(ExceptionGroup, fail())
    assert [repr(each) for each in error.exceptions] == [
        "KeyError('failure of the test')"
    ]
    for stream in streams:
        await stream.aclose()


@run_and_record
async def test_requests_are_answered_over_one_connection():
    app = WaitingApp()
    async with serve_apps({"a": app}) as addresses, httpx.AsyncClient() as client:
        for _ in range(3):
            response = await client.get(f"http://{addresses['a']}/")
            assert response.status_code == 200
            assert len(response.content) == LARGE_BYTES


load_tests = make_load_tests(globals())
