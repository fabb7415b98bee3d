"""Bodies in pieces, and their cost while they are read."""

import anyio

from gypsumring.door.body import BodyCollector
from gypsumring.door.connection import Phase
from gypsumring.door.limits import CONNECTION_BYTES, RECEIVING_BYTES
from gypsumring.door.request import ConnectionApp, find_receiving_bytes
from gypsumring.door.tests.test_table import make_connection, make_table
from gypsumring.utils.testing import make_load_tests


def test_collected_body_is_what_was_sent():
    body = BodyCollector()
    pieces = [b"a", b"b" * 5_000, b"c" * 4_096, b"", b"d" * 4_095, b"e", b"f"]
    for piece in pieces:
        body.add(piece)
    assert body.size == sum(map(len, pieces))
    assert body.join() == b"".join(pieces)
    # Pieces of one byte must not be kept one by one.
    body = BodyCollector()
    for _ in range(10_000):
        body.add(b"x")
    assert len(body.pieces) <= 3


def test_receiving_bytes_are_those_that_a_head_announces():
    assert find_receiving_bytes([(b"host", b"a")]) == 0
    assert find_receiving_bytes([(b"content-length", b"100")]) == 100
    assert find_receiving_bytes([(b"content-length", b"9" * 17)]) == RECEIVING_BYTES
    assert find_receiving_bytes([(b"content-length", b"9" * 5_000)]) == RECEIVING_BYTES
    assert find_receiving_bytes([(b"transfer-encoding", b"chunked")]) == RECEIVING_BYTES


async def test_request_leaves_no_charge_behind():
    table = make_table()
    connection = make_connection()
    assert table.admit(connection)
    events = [
        {"type": "http.request", "body": b"x" * 1_000, "more_body": True},
        {"type": "http.request", "body": b"", "more_body": False},
    ]
    seen = []

    async def receive():
        return events.pop(0)

    async def send(event):
        seen.append(event["type"])

    async def app(scope, receive, send):
        while (await receive())["more_body"]:
            assert connection.phase is Phase.BODY
            assert table.used_bytes > CONNECTION_BYTES + 2_000
        assert connection.phase is Phase.SERVING
        await send({"type": "http.response.start", "status": 200})
        await send({"type": "http.response.body", "body": b""})

    scope = {"type": "http", "headers": [(b"content-length", b"1000")]}
    with anyio.fail_after(1):
        await ConnectionApp(app, connection, table)(scope, receive, send)
    assert seen == ["http.response.start", "http.response.body"]
    assert table.used_bytes == CONNECTION_BYTES
    assert connection.phase is Phase.IDLE


async def test_connection_that_sends_far_ahead_is_closed_and_one_by_one_is_not():
    table = make_table()

    async def app(scope, receive, send):
        served.append(connection)

    for sent_ahead in (True, False):
        served = []
        connection = make_connection()
        assert table.admit(connection)
        for _ in range(100):
            if not sent_ahead:
                connection.note_bytes(100, anyio.current_time())
            if not connection.closed:
                scope = {"type": "http", "headers": []}
                await ConnectionApp(app, connection, table)(scope, None, None)
        assert connection.closed == sent_ahead
        assert len(served) == (17 if sent_ahead else 100)


load_tests = make_load_tests(globals())
