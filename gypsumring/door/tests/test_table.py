"""Which connection goes when memory or connections are short.

Guards against a crowd that takes the room of others, and against counts that drift.
"""

import anyio

from gypsumring.door.connection import Connection, Phase
from gypsumring.door.limits import CONNECTION_BYTES, DoorLimits
from gypsumring.door.table import ConnectionTable
from gypsumring.metrics import Metrics
from gypsumring.settings.node import DoorSettings, MachineLimits
from gypsumring.utils.testing import make_load_tests

CALLERS = "10.0.0.1:80"
READINESS = "10.0.0.1:81"
MEGABYTE = 1024 * 1024


class FakeEnd:
    """Transport and task of a connection that only note their end."""

    def __init__(self):
        self.aborted = False
        self.unsent = 0

    def abort(self) -> None:
        """Note that the connection was aborted."""
        self.aborted = True

    def cancel(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return the size of the answers that wait."""
        return self.unsent


def make_table(memory_mb: int = 160, descriptors: int = 1_638) -> ConnectionTable:
    """Return a table of a machine of the given size."""
    settings = DoorSettings()
    limits = DoorLimits(MachineLimits(memory_mb, descriptors), settings)
    return ConnectionTable(CALLERS, limits, settings, Metrics())


def make_connection(server: str = CALLERS, host: str = "10.0.0.9") -> Connection:
    """Return a new connection."""
    end = FakeEnd()
    return Connection(server, host, end, end, anyio.current_time())


def fill(table: ConnectionTable, server: str = CALLERS) -> list[Connection]:
    """Admit connections until none is admitted any more."""
    admitted = []
    while table.admit(connection := make_connection(server)):
        admitted.append(connection)
    return admitted


async def test_smallest_machine_admits_the_crowd_of_a_day():
    table = make_table()
    admitted = fill(table)
    assert len(admitted) > 700
    assert len(admitted) + 2 * table.limits.internal_connections < 1_100
    assert table.admit(make_connection(READINESS))


async def test_stalled_connections_make_room_and_served_ones_stay():
    table = make_table()
    admitted = fill(table)
    for connection in admitted[::2]:
        connection.enter(Phase.SERVING, anyio.current_time())
    await anyio.sleep(4)
    assert not table.admit(make_connection())
    closed = [each for each in admitted if each.closed]
    assert closed
    assert all(each.phase is Phase.NEW for each in closed)
    for connection in closed:
        table.remove(connection)
    assert table.closing_bytes == 0
    assert table.admit(make_connection())


async def test_connections_of_the_busiest_client_address_go_first():
    table = make_table()
    lone = make_connection(host="10.0.0.2")
    assert table.admit(lone)
    fill(table)
    await anyio.sleep(4)
    table.admit(make_connection())
    assert not lone.closed


async def test_largest_body_goes_before_a_small_one_is_refused_for_long():
    table = make_table(memory_mb=32)
    large, small = make_connection(), make_connection()
    for connection in (large, small):
        assert table.admit(connection)
        connection.enter(Phase.BODY, anyio.current_time())
    assert table.charge(large, 11 * MEGABYTE)
    assert not table.charge(small, MEGABYTE)
    assert large.closed
    assert not small.closed
    table.remove(large)
    assert table.charge(small, MEGABYTE)
    table.release(small)
    assert table.used_bytes == CONNECTION_BYTES


async def test_largest_body_is_refused_itself():
    table = make_table(memory_mb=32)
    connection = make_connection()
    assert table.admit(connection)
    connection.enter(Phase.BODY, anyio.current_time())
    assert not table.charge(connection, 12 * MEGABYTE)
    assert not connection.closed


async def test_time_limits_close_heads_bodies_and_unread_answers():
    table = make_table()
    phases = {Phase.HEAD: "head", Phase.BODY: "body", Phase.SERVING: "unread"}
    for phase in (*phases, Phase.IDLE):
        connection = make_connection()
        assert table.admit(connection)
        connection.enter(phase, anyio.current_time())
        connection.transport.unsent = 1 if phase is Phase.SERVING else 0
    async with anyio.create_task_group() as group:
        group.start_soon(table.sweep)
        await anyio.sleep(20)
        group.cancel_scope.cancel()
    for reason in phases.values():
        assert table.metrics.counters[f"node.door.closed.{reason}"] == 1
    assert [each.phase for each in table.connections if not each.closed] == [Phase.IDLE]


async def test_steady_slow_body_is_not_closed_in_calm():
    table = make_table()
    connection = make_connection()
    assert table.admit(connection)
    connection.enter(Phase.BODY, anyio.current_time())
    async with anyio.create_task_group() as group:
        group.start_soon(table.sweep)
        for _ in range(60):
            await anyio.sleep(1)
            connection.note_bytes(2_048, anyio.current_time())
        group.cancel_scope.cancel()
    assert not connection.closed


load_tests = make_load_tests(globals())
