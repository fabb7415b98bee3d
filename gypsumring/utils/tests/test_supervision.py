"""Tests that an unexpected error restarts the task and not the process."""

import anyio

from gypsumring.utils.supervision import describe_error, keep_running
from gypsumring.utils.testing import make_load_tests


async def test_failed_task_is_restarted_and_counted():
    counted = []
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        async with anyio.create_task_group():
            if runs < 3:
                raise KeyError("unexpected")

    await keep_running("work", run, counted.append)
    assert runs == 3
    assert counted == ["node.tasks.failed"] * 2


async def test_cancelled_task_is_not_restarted():
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        await anyio.sleep_forever()

    with anyio.move_on_after(1.0):
        await keep_running("work", run, lambda name: None)
    assert runs == 1


def test_exception_group_is_described_by_its_first_error():
    error = ExceptionGroup("some", [ExceptionGroup("inner", [ValueError("bad")])])
    assert describe_error(error)["error"] == "ValueError('bad')"


load_tests = make_load_tests(globals())
