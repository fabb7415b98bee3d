"""Tests that an unexpected error restarts the task and not the process."""

import asyncio
import contextlib
import gc
import io

import anyio
import logbook

from gypsumring.utils.supervision import describe_error, keep_running, log_loop_errors
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


def test_errors_of_the_event_loop_are_counted_log_lines():
    # The default handler of asyncio writes tracebacks to standard error.
    counted = []
    written = io.StringIO()

    async def fail() -> None:
        raise KeyError("unexpected")

    async def run() -> None:
        log_loop_errors(counted.append)
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: [].pop())
        # A task that nobody awaits reports its error when it is collected.
        task = loop.create_task(fail())
        await asyncio.wait([task])
        del task
        gc.collect()
        loop.call_exception_handler({"message": "no exception"})

    handler = logbook.TestHandler()
    with handler.applicationbound(), contextlib.redirect_stderr(written):
        asyncio.run(run())
    assert written.getvalue() == ""
    assert counted == ["node.loop.errors"] * 3
    records = [record.extra for record in handler.records]
    assert records[0]["error"] == "IndexError('pop from empty list')"
    assert "in <lambda>" in records[0]["where"]
    assert records[1]["error"] == "KeyError('unexpected')"
    assert "fail()" in records[1]["source"]
    assert records[2]["what"] == "no exception"
    assert {record.level for record in handler.records} == {logbook.ERROR}


load_tests = make_load_tests(globals())
