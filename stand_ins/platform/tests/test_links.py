"""Tests of links that carry a limited number of bytes a second."""

import anyio

from gypsumring.ports.tasks import StartRefused
from gypsumring.transport import LinkTraffic, Purpose, sending_for
from gypsumring.utils.testing import after, make_load_tests, raised
from stand_ins.platform.cluster import MemoryCluster
from stand_ins.platform.links import PIECE_BYTES, Connections, LinkModel
from stand_ins.platform.world import World, steady_behaviour

BYTES_PER_S = 100_000


def make_connections(group: anyio.abc.TaskGroup) -> Connections:
    """Return the connections of one client."""
    return Connections(LinkModel(BYTES_PER_S), LinkTraffic(link_mbps=0.8), group)


async def measure_s(call, *args) -> float:
    """Return the time that a call takes, in seconds."""
    began_at = anyio.current_time()
    await call(*args)
    return round(anyio.current_time() - began_at, 6)


# Guards against a rate for each connection: then a full link would delay nothing else.
async def test_messages_of_all_connections_share_the_rate():
    link = LinkModel(BYTES_PER_S)
    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for _ in range(10):
            group.start_soon(link.send, 50_000)
    assert round(anyio.current_time() - began_at, 6) == 10 * 50_000 / BYTES_PER_S


# Guards against a model in which a small message overtakes what was sent before it.
async def test_small_message_waits_behind_small_messages():
    link = LinkModel(BYTES_PER_S)
    async with anyio.create_task_group() as group:
        for _ in range(100):
            group.start_soon(link.send, 2_000)
        await anyio.sleep(0.001)
        took_s = await measure_s(link.send, 100)
    assert took_s == round((100 * 2_000 + 100) / BYTES_PER_S - 0.001, 6)


# Guards against a model in which a small message waits for the whole of a large one on
# another connection.
async def test_small_message_waits_for_one_piece_of_a_large_one():
    link = LinkModel(BYTES_PER_S)
    async with anyio.create_task_group() as group:
        group.start_soon(link.send, 1_000_000)
        await anyio.sleep(0.001)
        took_s = await measure_s(link.send, 100)
        group.cancel_scope.cancel()
    assert took_s == round((PIECE_BYTES + 100) / BYTES_PER_S - 0.001, 6)


# Guards against one queue for both directions.
async def test_directions_do_not_delay_each_other():
    link = LinkModel(BYTES_PER_S)
    async with anyio.create_task_group() as group:
        group.start_soon(link.send, 1_000_000)
        await anyio.sleep(0.001)
        assert await measure_s(link.receive, 1_000) == 1_000 / BYTES_PER_S
        group.cancel_scope.cancel()


# Guards against a model in which giving up a request relieves the link.
async def test_request_that_was_sent_arrives_after_its_caller_has_given_up():
    arrived_at = []

    async def arrive() -> None:
        arrived_at.append(anyio.current_time())

    async with anyio.create_task_group() as group:
        connections = make_connections(group)
        began_at = anyio.current_time()
        call = connections.call(50_000, arrive, lambda _: 100, after(0.1))
        await raised(TimeoutError, call)
        assert round(anyio.current_time() - began_at, 6) == 0.1
        assert not arrived_at
        await anyio.sleep(1.0)
    assert round(arrived_at[0] - began_at, 6) == 50_000 / BYTES_PER_S


# Guards against bytes that the product's estimate of its link does not know of, and
# errors that reach the caller before they have passed the link.
async def test_request_and_its_answer_are_counted_for_their_purpose():
    async def answer() -> str:
        return "answer"

    async def refuse() -> None:
        raise StartRefused("room")

    async with anyio.create_task_group() as group:
        connections = make_connections(group)
        began_at = anyio.current_time()
        with sending_for(Purpose.STARTS):
            call = connections.call(1_000, answer, lambda _: 500, after(1.0))
            assert await call == "answer"
        assert round(anyio.current_time() - began_at, 6) == 1_500 / BYTES_PER_S
        assert connections.traffic.sent_bytes == {Purpose.STARTS: 1_000}
        assert connections.traffic.received_bytes == {Purpose.STARTS: 500}
        group.start_soon(connections.link.receive, 10_000)
        call = connections.call(1_000, refuse, lambda _: 500, after(1.0))
        await raised(StartRefused, call)
    assert round(anyio.current_time() - began_at, 6) >= 10_000 / BYTES_PER_S


# Guards against a cluster that keeps an owner whatever its link does. No test could
# show then that an owner with a full link is kept.
async def test_owner_that_answers_too_late_is_removed():
    world = World(steady_behaviour(0.5))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group, nodes=3, link_mbps=0.8)
        await anyio.sleep(8.0)
        owner = cluster.owner_node()
        for _ in range(50):
            group.start_soon(owner.link.send, PIECE_BYTES)
        await anyio.sleep(4.0)
        assert cluster.owner_node() not in (None, owner)
        group.cancel_scope.cancel()


load_tests = make_load_tests(globals())
