"""Test that reports, gauges and a bounded number of log lines give each wait reason."""

import tempfile
from pathlib import Path
from unittest import mock

import anyio
import logbook
from click.testing import CliRunner

from gypsumring.cell import wait_monitor
from gypsumring.cell.journal import Journal
from gypsumring.cell.lists import TaskListReader
from gypsumring.cell.messages import Outcome
from gypsumring.cell.orders import Orders
from gypsumring.cell.scheduling import CellScheduler
from gypsumring.cell.state import CellState, CellTiming
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.cell.wait_monitor import MAX_LINES_PER_CHECK, WaitMonitor
from gypsumring.cell.waiting import (
    WaitReason,
    WaitReport,
    explain_not_accepting,
    explain_wait,
)
from gypsumring.cli.main import cli
from gypsumring.dispatch.reserving import Reservation
from gypsumring.dispatch.tests.fleets import change_capacity, make_executor
from gypsumring.fleet import ExecutorState
from gypsumring.metrics import Metrics
from gypsumring.pipelines import (
    DesiredState,
    JobPhase,
    PipelineSpec,
    PolicyTiming,
    Queue,
    RunState,
    Step,
    StepSpec,
)
from gypsumring.ports.tasks import TaskLists, Ticket
from gypsumring.utils.logs import encode_record
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock
from stand_ins.platform.cluster import make_job
from stand_ins.platform.peers import make_lone_authority
from stand_ins.platform.world import steady_behaviour

POLICY = PolicyTiming(0.02, 0.001, 2.0)


class IdleTaskGroup:
    """Task group that starts no tasks."""

    def start_soon(self, function, *args) -> None:
        """Ignore a task."""


class CellFixture:
    """Cell without a network whose scheduler runs only when a test calls it."""

    __slots__ = ("monitor", "number", "queue", "scheduler", "state")

    def __init__(self, executors: int = 4, policy: PolicyTiming | None = POLICY):
        self.queue = Queue(
            name="q", host="h", path_prefix="/q/", service="svc", policy=policy
        )
        desired = DesiredState(version=1, queues=(self.queue,))
        journal = Journal(None, "cells", 0, "cell", 1)
        self.state = CellState(
            7,
            journal,
            lambda: desired,
            CellTiming(10.0, 0.9, 120.0, 5.0, 3.0),
            Metrics(),
            anyio.current_time,
            lambda: 0,
            make_lone_authority(7, journal),
        )
        self.state.group = IdleTaskGroup()
        self.scheduler = CellScheduler(
            self.state, Orders(self.state), lambda: ["n0"], None
        )
        self.monitor = WaitMonitor(self.scheduler)
        self.number = 0
        for number in range(executors):
            self.add_executor(f"i-{number}", f"r{number % 2}")

    def confirm(self) -> None:
        """Let the store execute what the journal has queued."""
        records, self.state.journal.queue = self.state.journal.queue, {}
        for record in records.values():
            for on_durable in record.callbacks + record.later_callbacks:
                on_durable()

    def add_executor(self, name: str, rack: str) -> None:
        """Add an executor of 8 cores that has just responded."""
        executor = make_executor(name, rack=rack, now=anyio.current_time())
        self.state.fleet[name] = executor
        self.state.enrolled.add(name)

    def add_step(self, inherited: bool = False, **fields) -> Step:
        """Accept a job and return its only step."""
        self.number += 1
        spec = {"task_count": 4, "cpu_millis": 4000, "estimated_ms": 1000, **fields}
        job = PipelineSpec(
            job_id=f"{self.number:016x}",
            queue="q",
            service="svc",
            accepted_ms=0,
            payload="",
            steps=(StepSpec(**spec),),
        )
        now = anyio.current_time()
        step = self.state.table.add(job, now, inherited).steps[0]
        self.scheduler.backlog.refresh(self.state.table.pop_changed_steps(), now)
        return step

    def allow(self, step: Step, *executor_ids: str, valid_s: float = 2.0) -> None:
        """Allow a step on executors, with tickets that are valid for ``valid_s``."""
        expires_at = anyio.current_time() + valid_s
        for executor_id in executor_ids:
            step.queried.add(executor_id)
            step.allowed.add(executor_id)
            step.tickets[executor_id] = Ticket(executor_id, "t", expires_at)

    def place(self, step: Step, index: int, executor_id: str, attempt: int = 1):
        """Record the start of a task."""
        run = self.state.table.place(
            step, index, attempt, executor_id, anyio.current_time()
        )
        self.state.fleet[executor_id].add_run(run)
        return run

    def explain(self, step: Step) -> WaitReport:
        """Return the report on a step."""
        now = anyio.current_time()
        return explain_wait(step, self.queue, self.scheduler, 0.0, now)

    def reason(self, step: Step) -> WaitReason:
        """Return the reason of the report on a step."""
        return self.explain(step).reason


async def test_tasks_of_an_earlier_owner_wait_as_withheld():
    fixture = CellFixture()
    step = fixture.add_step(inherited=True)
    assert fixture.reason(step) is WaitReason.WITHHELD
    assert fixture.explain(step).withheld == 4


async def test_gang_that_is_being_started_or_stopped_waits_as_starting():
    fixture = CellFixture()
    step = fixture.add_step(gang=True)
    run = fixture.place(step, 0, "i-0")
    report = fixture.explain(step)
    assert report.reason is WaitReason.STARTING
    assert (report.pending, report.members_starting) == (3, 1)
    run.state = RunState.STOPPING
    assert fixture.explain(step).members_stopping == 1


async def test_step_without_a_scheduled_evaluation_is_reported():
    # Guards against a lost wake-up that is reported as a lack of capacity.
    fixture = CellFixture()
    dropped, overdue = fixture.add_step(), fixture.add_step()
    fixture.scheduler.backlog.drop(dropped)
    assert fixture.reason(dropped) is WaitReason.NOT_SCHEDULED
    await anyio.sleep(6.0)
    assert fixture.reason(overdue) is WaitReason.NOT_SCHEDULED


async def test_step_without_a_policy_answer_waits_for_it():
    fixture = CellFixture()
    step = fixture.add_step()
    assert fixture.reason(step) is WaitReason.NO_POLICY_ANSWER
    step.policy_calls_in_flight = 1
    assert fixture.reason(step) is WaitReason.QUERYING_POLICY
    step.policy_calls_in_flight = 0
    step.queried.add("i-0")
    assert fixture.reason(step) is WaitReason.TOO_FEW_ALLOWED


async def test_gang_is_allowed_on_too_few_executors():
    fixture = CellFixture()
    step = fixture.add_step(gang=True)
    fixture.allow(step, "i-0")
    assert fixture.reason(step) is WaitReason.TOO_FEW_ALLOWED
    fixture.allow(step, "i-1")
    assert fixture.reason(step) is WaitReason.NONE


def expire_registration(fixture: CellFixture, executor: ExecutorState) -> None:
    """Let the registration of an executor expire."""
    executor.listed = False


def drain(fixture: CellFixture, executor: ExecutorState) -> None:
    """Mark an executor as draining."""
    executor.entry = type(executor.entry)(
        executor_id=executor.executor_id,
        address="",
        service="svc",
        draining=True,
        cpu_millis=8000,
        memory_mb=65_536,
    )


def make_unresponsive(fixture: CellFixture, executor: ExecutorState) -> None:
    """Set the last response of an executor beyond the contact time-out."""
    executor.last_response_at -= 2.0


def quarantine_executor(fixture: CellFixture, executor: ExecutorState) -> None:
    """Quarantine an executor."""
    executor.health.quarantine(anyio.current_time())


def report_unknown_attempt(fixture: CellFixture, executor: ExecutorState) -> None:
    """Let an executor report an attempt without a record at the owner."""
    executor.unknown_runs.add(("x.0.0.0", 1))


def block_late_start(fixture: CellFixture, executor: ExecutorState) -> None:
    """Let a late start be blocked on an executor."""
    executor.starts_to_block.add(("x.0.0.0", 1))


def remove_durable_entry(fixture: CellFixture, executor: ExecutorState) -> None:
    """Remove the durable entry of an executor."""
    fixture.state.enrolled.discard(executor.executor_id)


def clear_first_response(fixture: CellFixture, executor: ExecutorState) -> None:
    """Clear the record of the first response of an executor."""
    executor.first_response_at = None


def remove_executor(fixture: CellFixture, executor: ExecutorState) -> None:
    """Remove an executor from the fleet."""
    del fixture.state.fleet[executor.executor_id]


def await_confirmation(fixture: CellFixture, executor) -> None:
    """Let the executor be an incarnation that has responded just now."""
    executor.is_unconfirmed = True


CHANGES_BY_CAUSE = {
    "not listed": expire_registration,
    "draining": drain,
    "silent": make_unresponsive,
    "resting": quarantine_executor,
    "unknown attempts": report_unknown_attempt,
    "starts being shut out": block_late_start,
    "not enrolled": remove_durable_entry,
    "never heard": clear_first_response,
    "not confirmed": await_confirmation,
}


async def test_executors_that_accept_no_work_are_counted_by_cause():
    for cause, make_change in CHANGES_BY_CAUSE.items():
        fixture = CellFixture()
        step = fixture.add_step(gang=True)
        fixture.allow(step, "i-0", "i-1")
        assert fixture.reason(step) is WaitReason.NONE
        make_change(fixture, fixture.state.fleet["i-1"])
        report = fixture.explain(step)
        assert report.reason is WaitReason.NOT_ACCEPTING_WORK, cause
        assert report.not_accepting == {cause: 1}
        assert (report.allowed, report.accepting, report.places_empty) == (2, 1, 4)


async def test_executors_that_have_left_are_counted():
    fixture = CellFixture()
    step = fixture.add_step(gang=True)
    fixture.allow(step, "i-0", "i-1")
    remove_executor(fixture, fixture.state.fleet["i-1"])
    report = fixture.explain(step)
    assert report.reason is WaitReason.TOO_FEW_ALLOWED
    assert report.not_accepting == {"gone": 1}


async def test_report_agrees_with_the_scheduler_about_accepting_executors():
    # Guards against a cause that is missing in the report, which then gives a lack of
    # capacity as the reason.
    fixture = CellFixture()
    now = anyio.current_time()
    executor = fixture.state.fleet["i-0"]
    assert explain_not_accepting(executor, "svc", True, now) == ""
    assert explain_not_accepting(executor, "other", True, now) == "other service"
    for cause, make_change in CHANGES_BY_CAUSE.items():
        fixture = CellFixture()
        executor = fixture.state.fleet["i-0"]
        make_change(fixture, executor)
        enrolled = executor in fixture.scheduler.list_enrolled()
        assert not (enrolled and executor.accepts_work("svc", now)), cause
        assert explain_not_accepting(executor, "svc", enrolled, now) == cause


async def test_gang_waits_for_capacity_that_others_use():
    fixture = CellFixture()
    step, other = fixture.add_step(gang=True), fixture.add_step(task_count=1)
    fixture.allow(step, "i-0", "i-1")
    run = fixture.place(other, 0, "i-0")
    report = fixture.explain(step)
    assert report.reason is WaitReason.NO_FREE_CAPACITY
    assert (report.places_free, report.pending, report.with_capacity) == (3, 4, 2)
    assert (report.attempts_on_allowed, report.used_cpu_millis_on_allowed) == (1, 4000)
    run.state = RunState.STOPPING
    assert fixture.explain(step).stopping_on_allowed == 1


async def test_executors_reserved_for_another_step_are_reported():
    fixture = CellFixture()
    step, other = fixture.add_step(gang=True), fixture.add_step(gang=True)
    fixture.allow(step, "i-0", "i-1")
    fixture.scheduler.reserved["i-1"] = Reservation(other, 0)
    report = fixture.explain(step)
    assert report.reason is WaitReason.RESERVED
    assert report.reserved_for == {other.name: 1}
    fixture.scheduler.reserved["i-1"] = Reservation(step, 0)
    assert fixture.reason(step) is WaitReason.NONE


async def test_step_whose_tickets_have_ended_waits_for_new_ones():
    fixture = CellFixture()
    step = fixture.add_step(gang=True)
    fixture.allow(step, "i-0", valid_s=2.0)
    fixture.allow(step, "i-1", valid_s=-1.0)
    report = fixture.explain(step)
    assert report.reason is WaitReason.TICKET
    assert report.ticketed == 1
    assert report.newest_ticket_expires_at - report.oldest_ticket_expires_at == 3.0
    step.policy_calls_in_flight = 1
    assert fixture.reason(step) is WaitReason.QUERYING_POLICY


async def test_step_avoids_executors_on_which_it_failed():
    fixture = CellFixture()
    step, other = fixture.add_step(task_count=1), fixture.add_step(task_count=2)
    fixture.allow(step, "i-0", "i-1")
    fixture.place(other, 0, "i-1")
    fixture.place(other, 1, "i-1")
    assert fixture.reason(step) is WaitReason.NONE
    step.avoided[0] = {"i-0"}
    assert fixture.reason(step) is WaitReason.AVOIDED


async def test_step_waits_for_capacity_on_one_rack():
    fixture = CellFixture()
    step = fixture.add_step(gang=True, same_rack=True)
    fixture.allow(step, "i-0", "i-1")
    assert fixture.reason(step) is WaitReason.RACK
    step.waiting_since = anyio.current_time()
    await anyio.sleep(1.0)
    assert fixture.reason(step) is WaitReason.RACK
    # The step has waited for the 2 s that placement on two racks would cost.
    await anyio.sleep(1.0)
    fixture.allow(step, "i-0", "i-1")
    for executor in fixture.state.fleet.values():
        executor.record_clock(3000, anyio.current_time())
    assert fixture.reason(step) is WaitReason.NONE


async def test_step_of_a_queue_without_policy_needs_no_tickets():
    fixture = CellFixture(executors=1, policy=None)
    step = fixture.add_step(gang=True)
    assert fixture.reason(step) is WaitReason.TOO_FEW_ALLOWED
    fixture.add_executor("i-1", "r1")
    report = fixture.explain(step)
    assert report.reason is WaitReason.NONE
    assert report.ticketed is None


async def test_report_has_evaluations_owner_and_last_responses():
    fixture = CellFixture()
    fixture.state.owned_since = 0.0
    step = fixture.add_step(gang=True)
    fixture.allow(step, "i-0")
    await anyio.sleep(0.5)
    fixture.scheduler.schedule()
    await anyio.sleep(0.2)
    report = fixture.explain(step)
    assert abs(report.evaluated_at - 0.5) < 1e-6
    assert abs(report.next_evaluation_at - 0.6) < 1e-6
    assert (report.fence, report.owned_since) == (7, 0.0)
    assert report.oldest_response_at == report.newest_response_at
    assert abs(report.oldest_response_at) < 1e-6


def find_log_lines(handler: logbook.TestHandler, message: str) -> list[dict]:
    """Return the fields of the log lines with a message."""
    return [record.extra for record in handler.records if record.msg == message]


async def test_lines_are_logged_after_the_target_and_each_doubling():
    fixture = CellFixture()
    step = fixture.add_step(gang=True)
    # The target of the job is 2 s after its acceptance.
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(40):
            await anyio.sleep(1.0)
            fixture.monitor.check(anyio.current_time())
    lines = find_log_lines(handler, "step waits")
    assert [round(line["waited_s"]) for line in lines] == [2, 4, 8, 16, 32]
    assert {line["step"] for line in lines} == {step.name}


async def test_lines_are_bounded_and_the_oldest_steps_come_first():
    fixture = CellFixture()
    steps = []
    for _ in range(25):
        steps.append(fixture.add_step())
        await anyio.sleep(0.01)
    await anyio.sleep(10.0)
    with logbook.TestHandler().applicationbound() as handler:
        for expected_count in (15, 5, 0):
            before = fixture.state.metrics.counters["cell.waits.suppressed"]
            fixture.monitor.check(anyio.current_time())
            suppressed_count = (
                fixture.state.metrics.counters["cell.waits.suppressed"] - before
            )
            assert suppressed_count == expected_count
    lines = [line["step"] for line in find_log_lines(handler, "step waits")]
    assert lines == [step.name for step in steps]
    assert MAX_LINES_PER_CHECK == 10


async def test_check_of_a_long_queue_makes_few_reports_and_searches():
    # Full reports on all waiting steps would use a part of the owner's processor core.
    fixture = CellFixture(executors=2)
    for _ in range(1000):
        fixture.add_step(task_count=100)
    await anyio.sleep(10.0)
    with (
        mock.patch.object(wait_monitor, "explain_wait", wraps=explain_wait) as reports,
        mock.patch.object(
            wait_monitor, "has_expected_capacity", return_value=False
        ) as searches,
    ):
        fixture.monitor.check(anyio.current_time())
        assert reports.call_count == MAX_LINES_PER_CHECK
        assert searches.call_count == 0
        for executor in fixture.state.fleet.values():
            executor.record_clock(10_000, anyio.current_time())
            executor.used_cpu = -1_000_000
        fixture.monitor.check(anyio.current_time())
        assert searches.call_count == wait_monitor.MAX_CAPACITY_SEARCHES
    assert fixture.monitor.measure()["cell.waiting.steps"] == 1000


async def test_gauge_distinguishes_feasible_steps():
    fixture = CellFixture(executors=2)
    large = fixture.add_step(gang=True, task_count=5)
    fixture.allow(large, "i-0", "i-1")
    await anyio.sleep(1.0)
    small = fixture.add_step(gang=True, task_count=4)
    fixture.allow(small, "i-0", "i-1")
    await anyio.sleep(0.5)
    fixture.monitor.check(anyio.current_time())
    gauges = fixture.monitor.measure()
    assert gauges["cell.waiting.steps"] == 2
    assert abs(gauges["cell.waiting.oldest_s"] - 1.5) < 1e-6
    assert abs(gauges["cell.waiting.oldest_feasible_s"] - 0.5) < 1e-6
    # Neither a reservation nor an expired ticket makes the step infeasible.
    fixture.scheduler.reserved["i-1"] = Reservation(large, 0)
    small.tickets.clear()
    fixture.monitor.check(anyio.current_time())
    assert fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] > 0
    # An executor that accepts no work makes the step infeasible.
    quarantine_executor(fixture, fixture.state.fleet["i-1"])
    fixture.monitor.check(anyio.current_time())
    assert fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] == 0


# Guards against a gauge of the oldest feasible step that stays at 0 because of an
# executor whose capacity has shrunk below what runs there.
async def test_overfull_executor_does_not_make_a_step_infeasible():
    fixture = CellFixture(executors=2)
    running = fixture.add_step(task_count=2)
    fixture.place(running, 0, "i-0")
    fixture.place(running, 1, "i-0")
    change_capacity(fixture.state.fleet["i-0"], cpu_millis=1000)
    step = fixture.add_step(task_count=2)
    fixture.allow(step, "i-0", "i-1")
    await anyio.sleep(1.0)
    fixture.monitor.check(anyio.current_time())
    assert fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] == 1.0


async def test_unqueried_executors_count_by_the_allowed_share():
    fixture = CellFixture(executors=4)
    step = fixture.add_step(gang=True, task_count=4)
    await anyio.sleep(1.0)
    fixture.scheduler.policy_client.shares.shares["q"] = 0.25
    fixture.monitor.check(anyio.current_time())
    assert fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] == 0
    fixture.scheduler.policy_client.shares.shares["q"] = 0.5
    fixture.monitor.check(anyio.current_time())
    assert abs(fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] - 1.0) < 1e-6
    # Executors that were queried and are not allowed never count.
    step.queried.add("i-0")
    fixture.monitor.check(anyio.current_time())
    assert fixture.monitor.measure()["cell.waiting.oldest_feasible_s"] == 0


async def test_step_dropped_from_the_backlog_is_monitored():
    # The gauges must not depend on the backlog, whose faults they are meant to show.
    fixture = CellFixture()
    step = fixture.add_step(task_count=1)
    fixture.scheduler.backlog.drop(step)
    await anyio.sleep(5.0)
    with logbook.TestHandler().applicationbound() as handler:
        fixture.monitor.check(anyio.current_time())
    (line,) = find_log_lines(handler, "step waits")
    assert line["reason"] == "not_planned"
    assert fixture.monitor.measure()["cell.waiting.oldest_s"] == 5.0
    assert fixture.state.metrics.counters["cell.waits.not_planned"] == 1


async def test_wait_of_a_gang_continues_over_stopped_attempts():
    # Guards against a wait that begins again with each attempt, so that no line is
    # logged.
    fixture = CellFixture()
    step = fixture.add_step(gang=True, task_count=2)
    with logbook.TestHandler().applicationbound() as handler:
        for attempt in range(1, 9):
            runs = [
                fixture.place(step, index, f"i-{index}", attempt) for index in range(2)
            ]
            await anyio.sleep(1.0)
            fixture.monitor.check(anyio.current_time())
            for run in runs:
                fixture.scheduler.orders.release(run)
        assert fixture.monitor.measure()["cell.waiting.oldest_s"] == 8.0
        runs = [fixture.place(step, index, f"i-{index}", 9) for index in range(2)]
        for run in runs:
            run.state = RunState.RUNNING
        fixture.monitor.check(anyio.current_time())
    waits = find_log_lines(handler, "step waits")
    assert [line["reason"] for line in waits] == ["starting"] * 3
    (line,) = find_log_lines(handler, "waiting step has started")
    assert (line["waited_s"], line["lines"]) == (8.0, 3)
    assert fixture.monitor.measure()["cell.waiting.steps"] == 0


async def test_failed_check_does_not_stop_the_cell():
    fixture = CellFixture()
    with mock.patch.object(WaitMonitor, "check", side_effect=KeyError("i-0")):
        with anyio.move_on_after(3.5):
            await fixture.monitor.run()
    assert fixture.state.metrics.counters["cell.wait_checks.failed"] == 3


def encode_records(handler: logbook.TestHandler) -> bytes:
    """Return the captured records in the log format of a node."""
    return b"\n".join(encode_record(record) for record in handler.records)


async def test_trace_of_a_job_shows_why_it_waited_and_that_it_started():
    gang = StepSpec(task_count=2, cpu_millis=8000, estimated_ms=500, gang=True)
    long = StepSpec(task_count=2, cpu_millis=8000, estimated_ms=8000)
    with logbook.TestHandler().applicationbound() as handler:
        async with running_cluster(steady_behaviour(8.0), executors=2) as cluster:
            assert await cluster.submit(make_job("b" * 16, long)) is Outcome.OK
            await anyio.sleep(0.5)
            assert await cluster.submit(make_job("a" * 16, gang)) is Outcome.OK
            await anyio.sleep(5.0)
            gauges = cluster.owner_node().owner().measure()
            assert gauges["cell.waiting.steps"] == 1
            assert gauges["cell.waiting.oldest_s"] > 3.0
            assert gauges["cell.waiting.oldest_feasible_s"] == 0
            assert await cluster.wait_final("a" * 16, 40.0) is JobPhase.COMPLETED
    (line, *_) = find_log_lines(handler, "step waits")
    assert (line["reason"], line["used_cpu_there"]) == ("room", 16000)
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "n0.log").write_bytes(encode_records(handler))
        result = CliRunner().invoke(cli, ["trace", "a" * 16, folder])
        other = CliRunner().invoke(cli, ["trace", "b" * 16, folder])
    # Guards against a trace that fails on a number in the field "tasks", which is a
    # list of names in other lines.
    assert other.exit_code == 0, other.exception
    assert "step waits" not in other.output
    assert result.exit_code == 0, result.output
    assert "scheduler: step waits step=aaaaaaaaaaaaaaaa.0.0" in result.output
    assert "reason=room" in result.output
    assert "waiting step has started step=aaaaaaaaaaaaaaaa.0.0" in result.output


async def run_contended(checked: bool) -> list[tuple]:
    """Return the log lines about decisions of a run with more work than capacity."""
    small = StepSpec(task_count=3, cpu_millis=3000, estimated_ms=700)
    gang = StepSpec(task_count=3, cpu_millis=5000, estimated_ms=700, gang=True)
    check = WaitMonitor.check if checked else lambda self, now: None
    with (
        mock.patch.object(WaitMonitor, "check", check),
        logbook.TestHandler().applicationbound() as handler,
    ):
        async with running_cluster(
            steady_behaviour(0.7), executors=6, policy_share=0.7
        ) as cluster:
            for number in range(30):
                spec = gang if number % 5 == 0 else small
                await cluster.submit(make_job(f"{number:016x}", spec))
            for number in range(30):
                phase = await cluster.wait_final(f"{number:016x}", 60.0)
                assert phase is JobPhase.COMPLETED
    assert bool(find_log_lines(handler, "step waits")) is checked
    return [
        (record.msg, sorted(record.extra.items(), key=str))
        for record in handler.records
        if record.msg in ("attempt started", "attempt ended", "advice received")
    ]


def test_checks_change_no_decision():
    assert run_on_mock_clock(run_contended, True) == run_on_mock_clock(
        run_contended, False
    )


async def test_member_that_did_not_start_is_logged_when_its_gang_is_stopped():
    gang = StepSpec(task_count=2, cpu_millis=8000, estimated_ms=500, gang=True)
    with logbook.TestHandler().applicationbound() as handler:
        async with running_cluster(executors=2, nodes=1) as cluster:
            await anyio.sleep(0.5)
            node = cluster.owner_node()
            node.faults.cut_executors.add("i-0")
            assert await cluster.submit(make_job("a" * 16, gang)) is Outcome.OK
            await anyio.sleep(3.0)
            node.faults.cut_executors.clear()
            assert await cluster.wait_final("a" * 16, 40.0) is JobPhase.COMPLETED
    line = find_log_lines(handler, "gang stopped")[0]
    assert line["reason"] == "a member has not started"
    assert (line["executor"], line["stopped"]) == ("i-0", 2)
    assert line["ordered_s"] > 1.5


async def test_attempt_missing_from_the_task_list_is_logged():
    fixture = CellFixture()
    step = fixture.add_step(gang=True, task_count=2)
    runs = [fixture.place(step, index, f"i-{index}") for index in range(2)]
    for run in runs:
        run.answered_at = anyio.current_time()
    await anyio.sleep(0.5)
    reader = TaskListReader(fixture.state, fixture.scheduler.orders)
    with logbook.TestHandler().applicationbound() as handler:
        executor = fixture.state.fleet["i-0"]
        requested_at = anyio.current_time()
        reader.apply(executor, TaskLists(2000, 0, [], []), requested_at)
        # Another owner may have received the end: the answer may be older than its
        # takeover, which the store would show.
        assert not find_log_lines(handler, "attempt is not listed")
        assert (runs[0].task, runs[0].attempt) in executor.runs
        await anyio.sleep(1.0)
        fixture.confirm()
    assert (runs[0].task, runs[0].attempt) not in executor.runs
    (line,) = find_log_lines(handler, "attempt is not listed")
    assert (line["task"], line["answered_s"]) == (runs[0].task, 0.5)
    (line,) = find_log_lines(handler, "gang stopped")
    assert line["member"] == runs[0].task
    assert line["reason"] == "a member is not listed"


async def test_refused_start_logs_the_recorded_state():
    fixture = CellFixture()
    step = fixture.add_step(task_count=1)
    fixture.allow(step, "i-0")
    run = fixture.place(step, 0, "i-0")
    executor = fixture.state.fleet["i-0"]
    with logbook.TestHandler().applicationbound() as handler:
        fixture.scheduler.orders.handle_refusal(run, executor, "room")
    (line,) = find_log_lines(handler, "start refused")
    assert (line["reason"], line["rests_s"]) == ("room", 1.0)
    assert (line["used_cpu_millis"], line["cpu_millis"]) == (4000, 8000)
    assert line["ticket_left_s"] == 2.0


async def test_release_of_withheld_tasks_is_logged_once():
    fixture = CellFixture()
    fixture.state.owned_since = anyio.current_time()
    fixture.state.unreconciled.add("i-0")
    fixture.add_step(inherited=True)
    with logbook.TestHandler().applicationbound() as handler:
        fixture.state.release_withheld_tasks()
        assert not find_log_lines(handler, "withheld tasks released")
        await anyio.sleep(6.0)
        fixture.state.unreconciled.clear()
        fixture.state.release_withheld_tasks()
        fixture.state.release_withheld_tasks()
    (line,) = find_log_lines(handler, "withheld tasks released")
    assert (line["jobs"], line["task_count"], line["waited_s"]) == (1, 4, 6.0)


load_tests = make_load_tests(globals())
