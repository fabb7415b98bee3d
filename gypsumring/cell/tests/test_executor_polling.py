"""Acknowledgement of ends after an executor was unresponsive."""

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.journal import Journal
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState, CellTiming
from gypsumring.fleet import ExecutorEntry
from gypsumring.metrics import Metrics
from gypsumring.ports.tasks import ExecutorSilent, ListedEnd, TaskLists
from gypsumring.utils.testing import make_load_tests


class ScriptedExecutor:
    """Executor that leaves the next ``unanswered_polls`` long polls unanswered."""

    __slots__ = ("acknowledged", "unanswered_polls", "lists")

    def __init__(self):
        self.acknowledged: list[int] = []
        self.unanswered_polls = 0
        self.lists = TaskLists(1000, 7, [], [])

    async def hold(self, fence, last_seen, lease_until_ms, wait_s, deadline):
        """Record the number up to which the executor may discard ends."""
        self.acknowledged.append(last_seen)
        if self.unanswered_polls:
            self.unanswered_polls -= 1
            raise ExecutorSilent("no answer")
        await anyio.sleep(0.01)
        return self.lists


class ImmediateStore:
    """Store that answers each append immediately."""

    async def append(self, topic, partition, records, producer, deadline):
        """Return an offset immediately."""
        return 1


async def test_long_poll_after_unanswered_ones_acknowledges_no_ends():
    # Regression: a restarted executor discarded its first ends, which the owner had not
    # received, because the owner acknowledged ends of the previous incarnation.
    client = ScriptedExecutor()
    journal = Journal(ImmediateStore(), "cells", 0, "cell-0", 1)
    timing = CellTiming(10.0, 0.9, 120.0, 5.0, 3.0)
    state = CellState(
        1,
        journal,
        lambda: None,
        timing,
        Metrics(),
        anyio.current_time,
        lambda: 0,
        lambda: True,
    )
    executor_poller = ExecutorPoller(
        state, Orders(state), lambda executor_id, address: client
    )
    entry = ExecutorEntry(executor_id="i-0", address="", service="svc", born_ms=7)
    async with anyio.create_task_group() as group:
        state.group = group
        group.start_soon(journal.run)
        executor_poller.update(entry)
        client.lists = TaskLists(1000, 7, [], [ListedEnd(1, "x.0.0.0", 1, "done", "")])
        await anyio.sleep(0.3)
        assert client.acknowledged[-1] == 1
        count = len(client.acknowledged)
        client.unanswered_polls = 2
        client.lists = TaskLists(1000, 7, [], [])
        await anyio.sleep(0.5)
        after = client.acknowledged[count:]
        assert after[:4] == [1, 0, 0, 1], after
        group.cancel_scope.cancel()


load_tests = make_load_tests(globals())
