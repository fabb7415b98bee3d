"""Full collections of garbage are rare, since nothing else runs meanwhile."""

import gc
import weakref
from unittest import mock

import anyio

from gypsumring.utils import garbage
from gypsumring.utils.testing import make_load_tests


class Node:
    """Object that refers to itself."""

    __slots__ = ("__weakref__", "own")

    def __init__(self):
        self.own = self


async def collect_for(seconds: float, record=lambda name, took_s: None) -> None:
    """Collect garbage for some seconds."""
    with anyio.move_on_after(seconds):
        await garbage.collect_garbage(record)


# Every three seconds a full collection kept the owner from answering for 0.25 s, and
# all nodes left it.
async def test_interpreter_begins_no_full_collection():
    before = gc.get_threshold()
    async with anyio.create_task_group() as group:
        group.start_soon(collect_for, 3.0)
        await anyio.sleep(1.0)
        collections = gc.get_stats()[2]["collections"]
        kept = [[number] for number in range(300_000)]
        assert len(kept) == 300_000
        assert gc.get_stats()[2]["collections"] == collections
    assert gc.get_threshold() == before


async def test_cycles_are_collected_all_the_same():
    node = Node()
    reference = weakref.ref(node)
    gc.disable()
    try:
        del node
        await collect_for(2 * garbage.MIN_PERIOD_S)
    finally:
        gc.enable()
    assert reference() is None


async def test_collections_that_take_long_are_rarer():
    now = 0.0
    times = []

    def collect():
        nonlocal now
        now += 0.1

    real_time = anyio.current_time
    with (
        mock.patch.object(garbage.gc, "collect", collect),
        mock.patch.object(anyio, "current_time", lambda: real_time() + now),
    ):
        await collect_for(100.0, lambda name, took_s: times.append(took_s))
    assert 4 <= len(times) <= 6, times


load_tests = make_load_tests(globals())
