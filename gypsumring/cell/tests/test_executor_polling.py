"""What holds tell an executor after it was silent."""

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
    """Answer holds; ``fails`` of them get no answer."""

    __slots__ = ("acknowledged", "unanswered_polls", "lists")

    def __init__(self):
        self.acknowledged: list[int] = []
        self.unanswered_polls = 0
        self.lists = TaskLists(1000, 7, [], [])

    async def hold(self, fence, last_seen, lease_until_ms, wait_s, deadline):
        """Note what the executor may forget."""
        self.acknowledged.append(last_seen)
        if self.unanswered_polls:
            self.unanswered_polls -= 1
            raise ExecutorSilent("no answer")
        await anyio.sleep(0.01)
        return self.lists


class ImmediateStore:
    """Append at once."""

    async def append(self, topic, partition, records, producer, deadline):
        """Append."""
        return 1


async def test_long_poll_after_unanswered_ones_acknowledges_no_ends():
    # An executor that started again forgot its own first ends, which nobody had seen.
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
