"""Tests of frozen processes."""

import anyio

from gypsumring.utils.testing import make_load_tests
from stand_ins.freezing import Freezer


async def test_frozen_process_does_nothing_until_it_is_thawed():
    """Guard against a paused process whose tasks go on."""
    freezer = Freezer()
    done: list[tuple[float, str]] = []
    roots = []

    async def tick(name):
        while True:
            await anyio.sleep(1)
            done.append((anyio.current_time(), name))

    async def process(name):
        roots.append(freezer.add_root())
        async with anyio.create_task_group() as group:
            group.start_soon(tick, name)
            await tick(f"{name} root")

    with freezer.installed():
        async with anyio.create_task_group() as group:
            group.start_soon(process, "a")
            await anyio.sleep(0.1)
            group.start_soon(process, "b")
            await anyio.sleep(2)
            freezer.freeze(roots[0])
            await anyio.sleep(5)
            before_thaw = list(done)
            freezer.thaw(roots[0])
            await anyio.sleep(0.5)
            group.cancel_scope.cancel()
    frozen = [at for at, name in before_thaw if name.startswith("a")]
    assert frozen == [1.0, 1.0, 2.0, 2.0], frozen
    running = [at for at, name in before_thaw if name == "b"]
    assert len(running) == 7, running
    late = [at for at, name in done if name.startswith("a")][4:]
    assert [round(at, 6) for at in late] == [7.1, 7.1], late


async def test_cancelled_frozen_process_ends_only_when_it_is_thawed():
    """Guard against a deadline that reaches a paused process."""
    freezer = Freezer()
    ended: list[float] = []
    roots = []

    async def process():
        roots.append(freezer.add_root())
        with anyio.move_on_after(1):
            await anyio.sleep_forever()
        ended.append(anyio.current_time())

    with freezer.installed():
        async with anyio.create_task_group() as group:
            group.start_soon(process)
            await anyio.sleep(0.5)
            freezer.freeze(roots[0])
            await anyio.sleep(10)
            ended_before = list(ended)
            freezer.thaw(roots[0])
    assert ended_before == []
    assert ended == [10.5]


load_tests = make_load_tests(globals())
