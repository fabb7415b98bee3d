"""Executors accept a limited number of connections, which many owners have to share."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import anyio

from gypsumring.platform import PlatformExecutor
from gypsumring.ports.tasks import ExecutorSilent, StartRefused, TaskStart
from gypsumring.transport import HttpClient
from gypsumring.utils.testing import after, make_load_tests, raised

# Connections that an executor accepts, by the users' sheets, and owners that lose their
# power one after the other, whose connections all stay open there.
ACCEPTED_CONNECTIONS = 64
LOST_OWNERS = 16
MAX_CONNECTIONS = ACCEPTED_CONNECTIONS // LOST_OWNERS
ANSWER_S = 0.01
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"clockMs":1}'


class CountedStream:
    """Connection to a scripted server that answers each request after a time."""

    __slots__ = ("server",)

    def __init__(self, server: "CountingServer"):
        self.server = server
        server.open_count += 1
        server.opened_count += 1
        server.most_open = max(server.most_open, server.open_count)

    async def send(self, message: bytes) -> None:
        """Count a request."""
        self.server.requests += 1

    async def receive(self, max_bytes: int) -> bytes:
        """Return the response."""
        await anyio.sleep(self.server.answer_s)
        return self.server.answer

    async def aclose(self) -> None:
        """Close the connection."""
        self.server.open_count -= 1


class CountingServer:
    """Executor that counts the connections and requests that it receives."""

    __slots__ = (
        "answer",
        "answer_s",
        "most_open",
        "open_count",
        "opened_count",
        "requests",
    )

    def __init__(self):
        self.answer = ANSWER
        self.answer_s = ANSWER_S
        self.open_count = 0
        self.opened_count = 0
        self.most_open = 0
        self.requests = 0

    async def connect(self, deadline: float) -> CountedStream:
        """Open a connection."""
        await anyio.sleep(0.001)
        return CountedStream(self)


@contextmanager
def counting_server() -> Iterator[CountingServer]:
    """Let all HTTP clients connect to one counting server."""
    server = CountingServer()
    with mock.patch.object(
        HttpClient, "connect", lambda client, deadline: server.connect(deadline)
    ):
        yield server


async def start_tasks(executor: PlatformExecutor, count: int, limit_s: float) -> None:
    """Send the starts of so many tasks at one time."""
    async with anyio.create_task_group() as group:
        for number in range(count):
            start = TaskStart(f"job.0.0.{number}", 1, "", 1000, "", "")
            group.start_soon(executor.start, start, 1, after(limit_s))


# An owner kept a connection for each start of a burst, so that some owners that lost
# their power in turn used up what executors accept: orders were reset from then on.
async def test_burst_of_starts_beside_a_long_poll_opens_few_connections():
    with counting_server() as server:
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        async with anyio.create_task_group() as group:
            group.start_soon(executor.hold, 1, 0, None, 0.5, after(1.0))
            await start_tasks(executor, 30, 0.2)
        assert server.requests == 31
        assert server.most_open <= MAX_CONNECTIONS


async def test_connections_of_a_burst_are_closed_once_they_are_idle():
    with counting_server() as server:
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        await start_tasks(executor, 30, 0.2)
        assert server.open_count > 1
        for _ in range(20):
            await executor.hold(1, 0, None, 0.5, after(1.0))
            await anyio.sleep(0.5)
        # One for orders and one for long polls.
        assert server.open_count == 2


async def test_orders_use_open_connections_again():
    with counting_server() as server:
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        for _ in range(5):
            await start_tasks(executor, 3, 0.2)
        assert server.opened_count == server.most_open


# Guards against answers whose clock is dropped: it shows that another incarnation of
# the executor has answered. Answers without a valid one count all the same.
async def test_orders_return_the_clock_of_the_executor():
    with counting_server() as server:
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        start = TaskStart("job.0.0.0", 1, "", 1000, "", "")
        assert await executor.start(start, 1, after(1.0)) == 1
        assert await executor.stop("job.0.0.0", 1, 1, after(1.0)) == 1
        assert await executor.pace("job.0.0.0", 1, 50, 1, after(1.0)) == 1
        server.answer = ANSWER.replace(b":1}", b":x}")
        assert await executor.stop("job.0.0.0", 1, 1, after(1.0)) is None
        server.answer = ANSWER.replace(b"200", b"409")
        refusal = await raised(StartRefused, executor.start(start, 1, after(1.0)))
        assert refusal.clock_ms == 1


async def test_closed_client_leaves_no_connection_open():
    # Orders in flight end by themselves and do not return their connection to the pool.
    with counting_server() as server:
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        await executor.hold(1, 0, None, 0.5, after(1.0))
        async with anyio.create_task_group() as group:
            group.start_soon(start_tasks, executor, 3, 0.2)
            await anyio.sleep(ANSWER_S / 2)
            await executor.aclose()
        assert server.requests == 4
        assert server.open_count == 0


async def test_order_without_a_free_connection_is_unanswered_at_its_deadline():
    with counting_server() as server:
        server.answer_s = 10.0
        executor = PlatformExecutor("i-0", "127.0.0.1:1")
        async with anyio.create_task_group() as group:
            for number in range(MAX_CONNECTIONS):
                start = TaskStart(f"job.0.0.{number}", 1, "", 1000, "", "")
                group.start_soon(
                    raised, ExecutorSilent, executor.start(start, 1, after(1.0))
                )
            await anyio.sleep(0.1)
            began_at = anyio.current_time()
            await raised(ExecutorSilent, executor.stop("job.0.0.9", 1, 1, after(0.2)))
            assert anyio.current_time() - began_at < 0.25
        assert server.open_count == 0


load_tests = make_load_tests(globals())
