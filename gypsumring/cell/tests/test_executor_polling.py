"""Acknowledgement of ends, and release of attempts, of unresponsive executors."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.journal import Journal
from gypsumring.cell.orders import Orders
from gypsumring.cell.state import CellState, CellTiming
from gypsumring.fleet import ExecutorEntry
from gypsumring.metrics import Metrics
from gypsumring.ports.tasks import ExecutorSilent, ListedEnd, TaskLists
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.peers import make_lone_authority


class ScriptedExecutor:
    """Executor that leaves the next ``unanswered_polls`` long polls unanswered."""

    __slots__ = ("acknowledged", "answer_s", "unanswered_polls", "lists")

    def __init__(self):
        self.answer_s = 0.01
        self.acknowledged: list[int] = []
        self.unanswered_polls = 0
        self.lists = TaskLists(1000, 7, [], [])

    async def hold(self, fence, last_seen, lease_until_ms, wait_s, deadline):
        """Record the number up to which the executor may discard ends."""
        self.acknowledged.append(last_seen)
        if self.unanswered_polls:
            self.unanswered_polls -= 1
            raise ExecutorSilent("no answer")
        answer_at = anyio.current_time() + self.answer_s
        await anyio.sleep_until(min(answer_at, deadline))
        if answer_at > deadline:
            raise ExecutorSilent("no answer")
        return self.lists


class HeldStore:
    """Store that executes appends immediately, or once it is available again."""

    __slots__ = ("available",)

    def __init__(self):
        self.available = anyio.Event()
        self.available.set()

    async def append(self, topic, partition, records, producer, deadline):
        """Return an offset."""
        await self.available.wait()
        return 1


@asynccontextmanager
async def running_poller(client, store=None) -> AsyncIterator[CellState]:
    """Run the poller of one executor; yield the state of the cell."""
    journal = Journal(store or HeldStore(), "cells", 0, "cell-0", 1)
    timing = CellTiming(10.0, 0.9, 120.0, 5.0, 3.0)
    state = CellState(
        1,
        journal,
        lambda: None,
        timing,
        Metrics(),
        anyio.current_time,
        lambda: 0,
        make_lone_authority(1, journal),
    )
    executor_poller = ExecutorPoller(
        state, Orders(state), lambda executor_id, address: client
    )
    entry = ExecutorEntry(executor_id="i-0", address="", service="svc", born_ms=7)
    async with anyio.create_task_group() as group:
        state.group = group
        group.start_soon(journal.run)
        executor_poller.update(entry)
        yield state
        group.cancel_scope.cancel()


async def test_long_poll_after_unanswered_ones_acknowledges_no_ends():
    # Regression: a restarted executor discarded its first ends, which the owner had not
    # received, because the owner acknowledged ends of the previous incarnation.
    client = ScriptedExecutor()
    async with running_poller(client):
        client.lists = TaskLists(1000, 7, [], [ListedEnd(1, "x.0.0.0", 1, "done", "")])
        await anyio.sleep(0.3)
        assert client.acknowledged[-1] == 1
        count = len(client.acknowledged)
        client.unanswered_polls = 2
        client.lists = TaskLists(1000, 7, [], [])
        await anyio.sleep(0.5)
        after = client.acknowledged[count:]
        assert after[:4] == [1, 0, 0, 1], after


# On a congested link each poll was given up before its answer came. The executor
# counted as silent until its lease had expired, and its work was started elsewhere.
async def test_executor_whose_answers_are_late_is_not_silent():
    lease_s = 5.0
    for answer_s in (0.4, 0.9, 1.5):
        client = ScriptedExecutor()
        async with running_poller(client) as state:
            await anyio.sleep(1.0)
            client.answer_s = answer_s
            executor = state.fleet["i-0"]
            for _ in range(100):
                await anyio.sleep(0.2)
                silent_s = state.clock() - executor.last_response_at
                assert silent_s < lease_s, answer_s


async def fall_silent(client: ScriptedExecutor, state: CellState) -> None:
    """Let the executor, which may run tasks of an earlier owner, answer no more."""
    client.unanswered_polls = 1_000_000
    await anyio.sleep(0.1)
    state.unreconciled.add("i-0")


# The owner took a lease for expired that the next owner had extended meanwhile, and
# started the tasks again on an executor that only it reached.
async def test_attempts_are_released_only_once_the_store_confirms_the_owner():
    client, store = ScriptedExecutor(), HeldStore()
    async with running_poller(client, store) as state:
        await anyio.sleep(1.0)
        store.available = anyio.Event()
        await fall_silent(client, state)
        await anyio.sleep(20.0)
        assert state.unreconciled == {"i-0"}
        store.available.set()
        await anyio.sleep(0.1)
        assert not state.unreconciled


# Guards against a confirmation from before the executor's lease was extended again.
async def test_confirmation_from_before_a_response_releases_nothing():
    client, store = ScriptedExecutor(), HeldStore()
    async with running_poller(client, store) as state:
        await anyio.sleep(1.0)
        store.available = anyio.Event()
        await fall_silent(client, state)
        await anyio.sleep(8.0)
        client.unanswered_polls = 0
        await anyio.sleep(2.0)
        await fall_silent(client, state)
        await anyio.sleep(2.0)
        store.available.set()
        await anyio.sleep(1.0)
        assert state.unreconciled == {"i-0"}
        await anyio.sleep(6.0)
        assert not state.unreconciled


load_tests = make_load_tests(globals())
