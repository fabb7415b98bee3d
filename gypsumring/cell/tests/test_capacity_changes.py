"""Executors whose capacity shrinks and grows while they run."""

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.tests.test_waiting import CellFixture
from gypsumring.fleet import ExecutorEntry
from gypsumring.utils.testing import make_load_tests


def make_entry(executor_id: str, cpu_millis: int) -> ExecutorEntry:
    """Return an entry of an executor of the fixture with another capacity."""
    return ExecutorEntry(
        executor_id=executor_id,
        address="",
        service="svc",
        cpu_millis=cpu_millis,
        memory_mb=65_536,
        labels=("a", "r0"),
    )


# Guards against steps that fit nowhere for a while and use a capacity that has grown
# only at their next periodic evaluation, which comes after 2 s in a long backlog.
async def test_grown_capacity_is_used_at_once():
    fixture = CellFixture(executors=1)
    poller = ExecutorPoller(fixture.state, fixture.scheduler.orders, None)
    poller.update(make_entry("i-0", 2000))
    step = fixture.add_step(task_count=2, cpu_millis=4000)
    fixture.allow(step, "i-0")
    fixture.scheduler.backlog.index_allowed(step)
    fixture.scheduler.schedule()
    assert not step.active_runs()
    await anyio.sleep(0.05)
    # Not due yet: only released capacity is used by this pass.
    fixture.scheduler.backlog.schedule(step, anyio.current_time() + 2.0)
    fixture.state.changed = anyio.Event()
    poller.update(make_entry("i-0", 2000))
    assert not fixture.state.changed.is_set()
    poller.update(make_entry("i-0", 8000))
    assert fixture.state.changed.is_set()
    fixture.scheduler.schedule()
    assert len(step.active_runs()) == 2


load_tests = make_load_tests(globals())
