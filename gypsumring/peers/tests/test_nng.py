"""Tests of peer messages over TCP on loopback, on asyncio and trio."""

from contextlib import asynccontextmanager
from unittest import mock

import anyio
import pynng

from gypsumring.messages.peer import (
    Acknowledged,
    Explain,
    Explanation,
    HeartbeatReply,
    QueryJob,
)
from gypsumring.metrics import Metrics
from gypsumring.peers import NngPeerClient, PeerServer
from gypsumring.peers.nng import Connection
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable
from gypsumring.utils.testing import make_load_tests

LONG_TIMEOUT_S = 30
MAX_TEST_FRAME_BYTES = 10_000


class RecordingHandler:
    """Handler that records messages and chooses the reply by their ``name``."""

    def __init__(self):
        self.handled = []
        self.message_received = anyio.Event()

    async def handle(self, sender, message):
        self.handled.append(message.name)
        self.message_received.set()
        match message.name:
            case "refuse":
                raise PeerRejected("not_owner")
            case "hang":
                await anyio.sleep(LONG_TIMEOUT_S * 10)
            case "fail":
                raise RuntimeError("fault in a handler")
            case "beat":
                return HeartbeatReply("n1", 7, 0, 0, (), 0)
        return Explanation(((sender, message.name),))


@asynccontextmanager
async def running_server_and_client(incarnation=7):
    metrics = Metrics()
    recorder = RecordingHandler()
    server = PeerServer(
        "127.0.0.1:0",
        recorder.handle,
        incarnation=incarnation,
        metrics=metrics,
        max_frame_bytes=MAX_TEST_FRAME_BYTES,
        concurrency=8,
    )
    server.listen()
    client = NngPeerClient("n2", metrics=metrics)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        try:
            yield server, client, recorder, metrics
        finally:
            client.close()
            group.cancel_scope.cancel()


def make_explain(name):
    return Explain("rack/govan/r1", "shard", name)


def deadline_after(seconds=LONG_TIMEOUT_S):
    return anyio.current_time() + seconds


async def expect_error(error, call):
    """Return the error that a call raises."""
    try:
        await call
    except error as raised:
        return raised
    raise AssertionError(f"no {error.__name__}")


def run_on_both_backends(function):
    for backend in ("asyncio", "trio"):
        anyio.run(function, backend=backend)


def test_replies_reach_their_own_calls():
    """Guard against replies that are matched to another concurrent call."""

    async def run():
        async with running_server_and_client() as (server, client, _, _):

            async def call(name):
                reply = await client.call(
                    server.address, make_explain(name), deadline_after()
                )
                assert reply == Explanation((("n2", name),))

            async with anyio.create_task_group() as group:
                for number in range(50):
                    group.start_soon(call, str(number))

    run_on_both_backends(run)


def test_bytes_of_frames_are_counted_on_both_sides():
    """Guard against traffic counters that omit one direction."""

    async def run():
        async with running_server_and_client() as (server, client, _, metrics):
            client.metrics = Metrics()
            await client.call(
                server.address, make_explain("x" * 1000), deadline_after()
            )
            served, called = metrics.counters, client.metrics.counters
            assert called["peers.bytes_sent"] == served["peers.bytes_received"] > 1000
            assert called["peers.bytes_received"] == served["peers.bytes_sent"] > 1000

    run_on_both_backends(run)


def test_refused_connection_is_unreachable():
    """Guard against a refused connection that is reported as a time-out."""

    async def run():
        async with running_server_and_client() as (server, client, _, _):
            await client.call(server.address, make_explain("first"), deadline_after())
            server.socket.close()
            # Without an existing connection the message cannot have been delivered.
            other = NngPeerClient("n3")
            await expect_error(
                PeerUnreachable,
                other.call(server.address, make_explain(""), deadline_after()),
            )

    run_on_both_backends(run)


def test_unanswered_message_is_a_timeout():
    """Guard against a handled message that is reported as not delivered."""

    async def run():
        async with running_server_and_client() as (server, client, recorder, _):
            for name in ("hang", "fail"):
                await expect_error(
                    PeerTimeout,
                    client.call(
                        server.address, make_explain(name), deadline_after(0.5)
                    ),
                )
            assert recorder.handled == ["hang", "fail"]

    run_on_both_backends(run)


def test_rejection_carries_its_reason():
    """Guard against a rejection that is returned as a reply."""

    async def run():
        async with running_server_and_client() as (server, client, _, _):
            error = await expect_error(
                PeerRejected,
                client.call(server.address, make_explain("refuse"), deadline_after()),
            )
            assert error.reason == "not_owner"

    run_on_both_backends(run)


def test_message_for_an_older_incarnation_is_refused():
    """Guard against a message that is handled by a later incarnation of the peer."""

    async def run():
        async with running_server_and_client() as (server, client, recorder, _):
            await client.call(server.address, make_explain("beat"), deadline_after())
            server.incarnation = 8
            error = await expect_error(
                PeerRejected,
                client.call(server.address, make_explain("x"), deadline_after()),
            )
            assert error.reason == "old_incarnation"
            assert recorder.handled == ["beat"]
            await client.call(server.address, make_explain("y"), deadline_after())

    run_on_both_backends(run)


def test_request_is_not_sent_again_to_a_successor():
    """Guard against requests that nng repeats on a new connection."""

    async def run():
        async with running_server_and_client() as (server, client, recorder, metrics):
            call_ended = anyio.Event()

            async def call():
                await expect_error(
                    PeerTimeout,
                    client.call(
                        server.address, make_explain("hang"), deadline_after(2)
                    ),
                )
                call_ended.set()

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await recorder.message_received.wait()
                server.socket.close()
                successor = PeerServer(
                    server.address, recorder.handle, incarnation=9, metrics=metrics
                )
                successor.listen()
                group.start_soon(successor.run)
                await call_ended.wait()
                await client.call(server.address, make_explain("new"), deadline_after())
                group.cancel_scope.cancel()
            assert recorder.handled == ["hang", "new"]

    run_on_both_backends(run)


def test_call_after_a_reset_connects_before_the_end_of_the_pipe_is_reported():
    """Guard against a call that waits for a pipe on a connection that was reset.

    nng reports the end of a pipe on a thread of its own, after it has ended the calls.
    """

    async def run():
        async with running_server_and_client() as (server, client, recorder, metrics):
            async with anyio.create_task_group() as group:

                async def restart_server():
                    await recorder.message_received.wait()
                    server.socket.close()
                    successor = PeerServer(
                        server.address, recorder.handle, incarnation=9, metrics=metrics
                    )
                    successor.listen()
                    group.start_soon(successor.run)

                group.start_soon(restart_server)
                await expect_error(
                    PeerTimeout,
                    client.call(server.address, make_explain("hang"), deadline_after()),
                )
                await client.call(server.address, make_explain("new"), deadline_after())
                group.cancel_scope.cancel()
            assert recorder.handled == ["hang", "new"]

    with mock.patch.object(
        Connection, "on_pipe_removed", lambda connection, pipe: None
    ):
        run_on_both_backends(run)


def test_malformed_and_oversized_frames_are_dropped():
    """Guard against invalid bytes of an unknown client that stop the server."""

    async def run():
        async with running_server_and_client() as (server, client, recorder, metrics):
            for frame in (b"\xc1 no message", b"x" * (MAX_TEST_FRAME_BYTES * 2)):
                foreign_socket = pynng.Req0(resend_time=-1)
                foreign_socket.dial(f"tcp://{server.address}", block=True)
                await foreign_socket.asend(frame)
                # The server closes the connection without a reply.
                await expect_error(pynng.ConnectionReset, foreign_socket.arecv())
                foreign_socket.close()
            assert metrics.counters["peers.malformed"] == 1
            await client.call(server.address, make_explain("fine"), deadline_after())
            assert recorder.handled == ["fine"]

    run_on_both_backends(run)


def test_replies_of_another_kind_are_returned_as_they_are():
    """Guard against a codec that does not preserve the type of a reply."""

    async def run():
        async with running_server_and_client() as (server, client, recorder, _):

            async def acknowledge(sender, message):
                return Acknowledged((("task", 1),))

            server.handler = acknowledge
            message = QueryJob("ledger/pacific/00", "team", "job")
            reply = await client.call(server.address, message, deadline_after())
            assert reply == Acknowledged((("task", 1),))

    run_on_both_backends(run)


load_tests = make_load_tests(globals())
