"""Test that the log lines of a cell have the fields to account for its jobs."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import logbook

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

FIRST = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=500)
SECOND = StepSpec(
    task_count=3, cpu_millis=1000, estimated_ms=300, after=(0,), gang=True
)


@contextmanager
def captured_lines() -> Iterator[list[logbook.LogRecord]]:
    """Capture all log records in order."""
    with logbook.TestHandler().applicationbound() as handler:
        yield handler.records


def find_lines(lines: list[logbook.LogRecord], message: str) -> list[dict]:
    """Return the fields of the log lines with a message."""
    return [line.extra for line in lines if line.msg == message]


async def test_lines_describe_the_job_and_when_its_end_was_durable():
    # Without the shape and the target of a job, late jobs can't be identified from the
    # log.
    with captured_lines() as lines:
        async with running_cluster(steady_behaviour(0.5)) as cluster:
            job = make_job("a" * 16, FIRST, SECOND)
            assert await cluster.submit(job) is Outcome.OK
            assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
    (accepted,) = find_lines(lines, "job accepted")
    assert accepted["tasks"] == [2, 3]
    assert accepted["cpu_millis"] == [2000, 1000]
    assert accepted["estimates_ms"] == [500, 300]
    assert accepted["after"] == [(), (0,)]
    assert accepted["gangs"] == [1]
    assert not accepted["lasts"]
    assert accepted["target_ms"] > 800
    assert accepted["store_ms"] >= 0
    (ended,) = find_lines(lines, "job ended")
    assert ended["took_ms"] >= 1000
    assert ended["durable_ms"] >= 0


async def test_end_is_logged_once_it_is_durable():
    # Guards against a log line at the end of the last attempt, which hides that the end
    # waits for the store.
    with captured_lines() as lines:
        async with running_cluster(steady_behaviour(0.5)) as cluster:
            await anyio.sleep(1.0)
            job = make_job("a" * 16, FIRST)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.2)
            cluster.owner_node().store.faults.store_slow_s = 0.4
            while len(find_lines(lines, "attempt ended")) < 2:
                await anyio.sleep(0.01)
            assert not find_lines(lines, "job ended")
            assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
    (ended,) = find_lines(lines, "job ended")
    assert ended["took_ms"] < 900
    assert ended["durable_ms"] >= 400


async def test_takeover_logs_the_release_of_withheld_tasks():
    # Guards against logs in which tasks withheld for an unresponsive executor can't be
    # told from tasks that wait for capacity.
    with captured_lines() as lines:
        async with running_cluster(steady_behaviour(2.0), nodes=3) as cluster:
            assert await cluster.submit(make_job("a" * 16, FIRST)) is Outcome.OK
            await anyio.sleep(0.5)
            cluster.owner_node().kill()
            assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
    (released,) = find_lines(lines, "withheld tasks released")
    assert released["jobs"] == 1
    assert released["waited_s"] >= 0


async def test_attempts_missing_from_the_task_lists_are_logged():
    # Guards against lost attempts that are only counted, so that an account of the lost
    # work misses them.
    with captured_lines() as lines:
        async with running_cluster(steady_behaviour(2.0), executors=1) as cluster:
            assert await cluster.submit(make_job("a" * 16, FIRST)) is Outcome.OK
            await anyio.sleep(0.5)
            model = cluster.executors["i-0"]
            model.crash()
            await anyio.sleep(0.1)
            model.start_incarnation()
            cluster.register(model)
            assert await cluster.wait_final("a" * 16, 30.0) is JobPhase.COMPLETED
    absent = find_lines(lines, "attempt is not listed")
    assert [line["executor"] for line in absent] == ["i-0", "i-0"]
    tasks = sorted(line["task"] for line in absent)
    assert tasks == [f"{'a' * 16}.0.0.{index}" for index in (0, 1)]


load_tests = make_load_tests(globals())
