"""Guard against stops that are repeated, come too early, or cannot be counted on.

The load is a gang in a room full of checkpointed work; the failures are tickets that do
not come, stops that do not end, and an earlier owner that may have stopped the tasks.
"""

from unittest import mock

import anyio
import msgspec

from gypsumring.accounts import ClientAccount
from gypsumring.cell.preemption import OVERDUE_S, PREPARATION_S, REST_S
from gypsumring.cell.tests.test_waiting import POLICY, CellFixture
from gypsumring.fleet.executor import task_demand
from gypsumring.pipelines import DesiredState, Queue, RunState, StepSpec
from gypsumring.pipelines.model import PipelineSpec
from gypsumring.utils.testing import make_load_tests


class FullCell:
    """Cell of executors with 8 cores, each with two checkpointed tasks of queue low."""

    __slots__ = ("fixture", "gang", "low", "queue", "runs")

    def __init__(self, executors: int = 8, mode: str = "on"):
        self.fixture = CellFixture(executors)
        self.queue = self.fixture.queue
        self.low = Queue(
            name="low", host="h", path_prefix="/low/", service="svc", priority=2
        )
        desired = DesiredState(version=2, queues=(self.queue, self.low))
        state = self.fixture.state
        state.desired_state = state.queues.desired_state = lambda: desired
        state.timing.preemption = mode
        self.runs = []
        for number in range(2 * executors):
            spec = StepSpec(
                task_count=1, cpu_millis=4_000, estimated_ms=60_000, checkpointing=True
            )
            job = PipelineSpec(
                job_id=f"d{number:015x}",
                queue="low",
                service="svc",
                accepted_ms=0,
                payload="",
                steps=(spec,),
            )
            step = state.table.add(job, anyio.current_time()).steps[0]
            self.start(step, f"i-{number // 2}")
        self.gang = self.add_gang()

    def start(self, step, executor_id, attempt=1):
        """Let the only task of a step run, with a new checkpoint."""
        run = self.fixture.place(step, 0, executor_id, attempt)
        run.state = RunState.RUNNING
        run.checkpoint_at = anyio.current_time()
        self.runs.append(run)
        return run

    def add_gang(self, valid_s=2.0):
        """Add a gang of four members that is allowed on the first four executors."""
        gang = self.fixture.add_step(gang=True, estimated_ms=1_000)
        self.fixture.allow(gang, "i-0", "i-1", "i-2", "i-3", valid_s=valid_s)
        gang.waiting_since = anyio.current_time() - 1
        return gang

    def evaluate(self):
        """Evaluate the fleet; return the attempts that are being stopped."""
        now = anyio.current_time()
        state = self.fixture.state
        scheduler = self.fixture.scheduler
        for executor in state.fleet.values():
            executor.record_clock(executor.clock_ms + 1, now)
        for run in self.runs:
            if run.state is RunState.RUNNING:
                run.checkpoint_at = now
        with mock.patch.object(type(state.authority), "may_extend_leases", always):
            scheduler.evaluate_fleet(now)
        return [run for run in self.runs if run.state is RunState.STOPPING]

    def end_stopped(self):
        """Report the ends of the stopped attempts."""
        state = self.fixture.state
        for run in [run for run in self.runs if run.state is RunState.STOPPING]:
            state.release_capacity(state.fleet[run.executor_id], run)
            state.table.end(run, "stopped", "c", 1)
            self.runs.remove(run)


def always(*args):
    """Let the owner extend leases."""
    return True


async def test_tasks_are_stopped_once_the_gang_has_its_tickets():
    cell = FullCell()
    cell.fixture.allow(cell.gang, "i-0", "i-1", valid_s=0.1)
    cell.fixture.allow(cell.gang, "i-2", "i-3", valid_s=0.1)
    assert cell.evaluate() == []
    # The executors are reserved, and their tickets are to be renewed.
    assert len(cell.gang.reserved) == 2
    assert cell.gang.tickets_needed_until > anyio.current_time() + 0.5
    reserved = set(cell.gang.reserved)
    executors = [cell.fixture.state.fleet[name] for name in sorted(reserved)]
    renewals = cell.fixture.scheduler.policy_client.choose_renewals(
        cell.gang, POLICY, executors, False, anyio.current_time()
    )
    assert renewals == executors
    cell.fixture.allow(cell.gang, *reserved)
    stopped = cell.evaluate()
    assert len(stopped) == 4
    assert {run.executor_id for run in stopped} == reserved
    assert set(cell.fixture.scheduler.reserved) == reserved


async def test_executors_are_released_if_no_tickets_come():
    cell = FullCell()
    for name in list(cell.gang.allowed):
        cell.fixture.allow(cell.gang, name, valid_s=0.0)
    cell.evaluate()
    assert cell.fixture.scheduler.preemption.holds
    await anyio.sleep(PREPARATION_S + 0.1)
    assert cell.evaluate() == []
    assert not cell.fixture.scheduler.preemption.holds
    counters = cell.fixture.state.metrics.counters
    assert counters["cell.preemptions.refused.tickets"] == 1


async def test_no_task_is_stopped_twice_in_a_short_time():
    cell = FullCell()
    first = cell.evaluate()
    assert len(first) == 4
    steps = {run.executor_id: [] for run in first}
    for run in first:
        steps[run.executor_id].append(run.step)
    cell.end_stopped()
    cell.fixture.scheduler.backlog.drop(cell.gang)
    cell.gang.job.phase = cell.gang.job.phase.CANCELLED
    for executor_id, rows in steps.items():
        for step in rows:
            assert set(step.interrupted) == {0}
            cell.start(step, executor_id, 2)
    second_gang = cell.add_gang(valid_s=60)
    second = cell.evaluate()
    assert len(second) == 4
    assert not {run.task for run in first} & {run.task for run in second}
    cell.end_stopped()
    cell.fixture.scheduler.backlog.drop(second_gang)
    cell.add_gang(valid_s=60)
    # The room of the second gang is free now, so that nothing else is stopped.
    assert cell.evaluate() == []


async def test_tasks_that_an_earlier_owner_may_have_stopped_rest():
    cell = FullCell()
    cell.fixture.state.table.first_attempt = 2
    assert cell.evaluate() == []
    await anyio.sleep(REST_S)
    cell.fixture.allow(cell.gang, "i-0", "i-1", "i-2", "i-3")
    assert len(cell.evaluate()) == 4


async def test_stop_that_does_not_end_is_not_counted_on():
    cell = FullCell(executors=16)
    first = cell.evaluate()
    overdue = {run.executor_id for run in first}
    assert len(overdue) == 2
    preemption = cell.fixture.scheduler.preemption
    await anyio.sleep(preemption.release_s() + OVERDUE_S + 0.1)
    cell.fixture.allow(cell.gang, "i-0", "i-1", "i-2", "i-3", valid_s=60)
    for _ in range(15):
        cell.evaluate()
        await anyio.sleep(0.1)
    later = [run for run in cell.evaluate() if run not in first]
    assert len(later) == 4
    assert not {run.executor_id for run in later} & overdue


async def test_share_of_the_attempts_stopped_at_one_time_is_bounded():
    cell = FullCell(executors=4)
    # Four of eight attempts would have to be stopped.
    assert cell.evaluate() == []


async def test_nothing_is_stopped_without_accounts_by_default():
    cell = FullCell(mode="accounts")
    assert cell.evaluate() == []
    cell = FullCell(mode="off")
    assert cell.evaluate() == []


async def test_urgent_work_does_not_take_what_is_released_for_a_gang():
    cell = FullCell()
    stopped = cell.evaluate()
    held = {run.executor_id for run in stopped}
    step = cell.fixture.add_step(task_count=2, cpu_millis=2_000)
    cell.fixture.allow(step, "i-0", "i-1", "i-2", "i-3", "i-4", "i-5", valid_s=60)
    step.waiting_since = anyio.current_time() - 1
    cell.evaluate()
    assert not step.reserved & held


async def test_no_more_is_stopped_than_the_cap_lets_start():
    cell = FullCell()
    caps = cell.fixture.scheduler.caps
    cell.fixture.scheduler.backlog.drop(cell.gang)
    for _ in range(2):
        step = cell.fixture.add_step(task_count=4, cpu_millis=4_000)
        cell.fixture.allow(step, "i-0", "i-1", "i-2", "i-3")
        step.waiting_since = anyio.current_time() - 1
    with (
        mock.patch.object(type(caps), "find_cap", lambda self, step: (4_000, 0, 0)),
        mock.patch.object(type(caps), "count_startable", lambda self, step: 1),
    ):
        assert len(cell.evaluate()) == 1
        assert len(cell.evaluate()) == 1


def give_accounts(cell, names):
    """Give the running tasks to accounts of equal weight; drop the gang."""
    state = cell.fixture.state
    cell.fixture.scheduler.backlog.drop(cell.gang)
    cell.gang.job.phase = cell.gang.job.phase.CANCELLED
    accounts = tuple(ClientAccount(name=name) for name in "xyz")
    desired = msgspec.structs.replace(state.desired_state(), accounts=accounts)
    state.desired_state = state.queues.desired_state = lambda: desired
    state.accounts.desired_state = state.desired_state
    state.usage.held.clear()
    for executor in state.fleet.values():
        executor.usage = state.usage
    for run, name in zip(cell.runs, names, strict=True):
        job = run.step.job
        job.spec = msgspec.structs.replace(job.spec, account=name)
        state.usage.add(name, task_demand(run.step.spec))


def add_waiting(cell, account, job_id="e" * 16, task_count=1):
    """Add a step of single tasks of an account that waits in queue low."""
    state = cell.fixture.state
    spec = cell.runs[0].step.job.spec
    steps = (msgspec.structs.replace(spec.steps[0], task_count=task_count),)
    spec = msgspec.structs.replace(spec, job_id=job_id, account=account, steps=steps)
    step = state.table.add(spec, anyio.current_time()).steps[0]
    step.waiting_since = anyio.current_time() - 1
    cell.fixture.scheduler.backlog.refresh([step], anyio.current_time())
    return step


async def test_accounts_do_not_stop_tasks_of_each_other_by_turns():
    """Guards against ten places that three accounts cannot share evenly."""
    cell = FullCell(executors=5)
    give_accounts(cell, "xxxxyyyzzz")
    add_waiting(cell, "y")
    assert cell.evaluate() == []


async def test_account_stops_as_many_tasks_as_its_share_lets_it_start():
    cell = FullCell(executors=10)
    give_accounts(cell, "x" * 15 + "y" * 4 + "z")
    add_waiting(cell, "y", task_count=5)
    # The share is six and two thirds of the twenty places.
    stopped = cell.evaluate()
    assert [run.step.job.spec.account for run in stopped] == ["x", "x"]


async def test_account_that_holds_nothing_stops_one_task():
    cell = FullCell(executors=5)
    give_accounts(cell, "x" * 9 + "y")
    add_waiting(cell, "z")
    stopped = cell.evaluate()
    assert [run.step.job.spec.account for run in stopped] == ["x"]


load_tests = make_load_tests(globals())
