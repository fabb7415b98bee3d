"""Tests of the time accounting of jobs from the log lines of several nodes."""

import json
import tempfile
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path

import anyio
import logbook
from click.testing import CliRunner

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.cli.accounting import read_log, summarize
from gypsumring.cli.accounting.summary import Account, QueueAccount
from gypsumring.cli.main import cli
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

JOB = "5c0e7a21d94b36f8"
QUEUE = "r-1"
OWNER = "node-1"
NEXT_OWNER = "node-2"


class LogBuilder:
    """Builder of log lines of several nodes, at times in seconds."""

    __slots__ = ("clock_steps", "lines")

    def __init__(self):
        self.lines: dict[str, list[str]] = {OWNER: []}
        # Error of the clock of each node, in seconds.
        self.clock_steps: dict[str, float] = {}

    def add(self, logged_at: float, message: str, node: str = OWNER, **fields) -> None:
        """Add a line."""
        clock = datetime.fromtimestamp(
            1000.0 + logged_at + self.clock_steps.get(node, 0), UTC
        )
        content = {
            "time": clock.replace(tzinfo=None).isoformat(timespec="milliseconds"),
            "level": "INFO",
            "part": fields.pop("part", "jobs"),
            "message": message,
            **fields,
        }
        text = f"{logged_at:.3f} {node} {json.dumps(content)}"
        self.lines.setdefault(node, []).append(text)

    def add_job(
        self, logged_at: float, job: str = JOB, node: str = OWNER, **fields
    ) -> None:
        """Add an accepted job: one task, 2 cores, 1 s of work and a target of 2 s."""
        job_fields = {
            "tasks": [1],
            "cpu_millis": [2000],
            "estimates_ms": [1000],
            "after": [[]],
            "gangs": [],
            "target_ms": 2000,
            "door_ms": 20,
            "store_ms": 10,
        }
        job_fields.update(fields)
        self.add(logged_at, "job accepted", node, job=job, queue=QUEUE, **job_fields)

    def add_policy_answer(
        self, logged_at: float, step: str, took_s: float, node: str = OWNER
    ) -> None:
        """Add an answer of the policy service, logged by the node that queried it."""
        content = {"step": step, "asked": 10, "allowed": 4, "took_ms": took_s * 1000}
        self.add(logged_at, "advice received", node, part="scheduler", **content)

    def add_start(
        self, logged_at: float, task: str, attempt: int = 1, node: str = OWNER, **fields
    ) -> None:
        """Add the start of an attempt."""
        fields.setdefault("executor", "i-1")
        self.add(
            logged_at,
            "attempt started",
            node,
            part="orders",
            job=task.partition(".")[0],
            task=task,
            attempt=attempt,
            **fields,
        )

    def add_end(
        self,
        logged_at: float,
        task: str,
        attempt: int = 1,
        outcome: str = "done",
        node: str = OWNER,
        executor: str = "i-1",
    ) -> None:
        """Add the end of an attempt."""
        self.add(
            logged_at,
            "attempt ended",
            node,
            part="executors",
            job=task.partition(".")[0],
            task=task,
            attempt=attempt,
            how=outcome,
            executor=executor,
        )

    def add_job_end(
        self,
        logged_at: float,
        job: str = JOB,
        node: str = OWNER,
        phase: str = "completed",
        **fields,
    ) -> None:
        """Add the end of a job."""
        self.add(logged_at, "job ended", node, job=job, phase=phase, **fields)

    def add_typical_jobs(self, count: int) -> None:
        """Add jobs that end in time, from which the expected duration is derived."""
        for number in range(count):
            job = f"{number:016x}"
            self.add_job(0.1, job)
            self.add_start(0.2, f"{job}.0.0.0")
            self.add_end(1.2, f"{job}.0.0.0")
            self.add_job_end(1.2, job)


@contextmanager
def write_logs(builder: LogBuilder):
    """Write one file per node and yield the folder."""
    with tempfile.TemporaryDirectory() as folder:
        for node, lines in builder.lines.items():
            Path(folder, f"{node}.log").write_text("\n".join(lines))
        yield folder


def make_account(builder: LogBuilder) -> Account:
    """Return the account of the lines of a builder."""
    with write_logs(builder) as folder:
        return summarize(read_log(sorted(Path(folder).iterdir())))


def make_queue_account(builder: LogBuilder) -> QueueAccount:
    """Return the account of the only queue."""
    (queue,) = make_account(builder).queues
    return queue


def count_causes(queue: QueueAccount) -> dict[str, int]:
    """Return the number of jobs charged to each cause, without zeros."""
    return {cause.cause: cause.jobs for cause in queue.causes if cause.jobs}


def find_charged_mean_s(queue: QueueAccount, part: str) -> float:
    """Return the mean seconds of a part over the jobs charged to a cause."""
    return next(
        account.charged.mean_s for account in queue.parts if account.part == part
    )


def is_close(value: float, expected: float) -> bool:
    """Return whether two times are equal except for rounding."""
    return abs(value - expected) < 0.011


def test_jobs_in_time_have_no_cause():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    queue = make_queue_account(builder)
    assert (queue.seen, queue.accepted) == (3, 3)
    assert queue.results == {"in time": 3}
    assert count_causes(queue) == {}
    assert queue.widths == [1]


def test_refused_and_uncertain_jobs_are_distinguished_from_late_acceptance():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    reason = "the store does not answer"
    for logged_at in (2.0, 4.0):
        builder.add(logged_at, "job refused", job=JOB, queue=QUEUE, reason=reason)
    builder.add_job(5.0)
    builder.add_start(5.1, f"{JOB}.0.0.0")
    builder.add_end(6.1, f"{JOB}.0.0.0")
    builder.add_job_end(6.1)
    builder.add(3.0, "job refused", "node-3", job="e" * 16, queue=QUEUE, reason=reason)
    builder.add(3.0, "job uncertain", "node-3", job="f" * 16, queue=QUEUE)
    queue = make_queue_account(builder)
    assert queue.results == {"in time": 3, "late": 1, "refused": 1, "uncertain": 1}
    assert queue.refused_tries == {reason: 3}
    assert queue.refused_jobs == {reason: 1}
    assert queue.uncertain_tries == 1
    assert count_causes(queue) == {"refused": 1}
    assert is_close(find_charged_mean_s(queue, "door to accepted"), 3.0)


def test_waits_for_policy_answers_and_for_capacity_are_distinguished():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0)
    builder.add_policy_answer(1.5, f"{JOB}.0.0", 1.0)
    builder.add_start(1.6, f"{JOB}.0.0.0")
    builder.add_end(2.6, f"{JOB}.0.0.0")
    builder.add_job_end(2.6)
    other_job = "a" * 16
    builder.add_job(0.0, other_job)
    builder.add_policy_answer(0.2, f"{other_job}.0.0", 0.1)
    builder.add_policy_answer(1.0, f"{other_job}.0.0", 0.3)
    builder.add_start(3.2, f"{other_job}.0.0.0")
    builder.add_end(4.2, f"{other_job}.0.0.0")
    builder.add_job_end(4.2, other_job)
    queue = make_queue_account(builder)
    assert count_causes(queue) == {"advice": 1, "room or ticket": 1}
    # The means are over both jobs.
    assert is_close(find_charged_mean_s(queue, "first advice"), (1.5 + 0.2) / 2)
    assert is_close(find_charged_mean_s(queue, "further advice"), 0.3 / 2)
    assert is_close(find_charged_mean_s(queue, "room or ticket"), (0.1 + 2.7) / 2)


def test_wasted_attempts_are_counted_by_outcome():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0)
    task = f"{JOB}.0.0.0"
    builder.add_start(0.1, task)
    builder.add_end(1.1, task, outcome="failed")
    builder.add(
        1.2, "start refused", part="orders", job=JOB, task=task, reason="ticket"
    )
    builder.add_start(1.3, task, 2, executor="i-2")
    builder.add(
        1.8, "attempts lost", part="executors", executor="i-2", tasks=[task], reason="x"
    )
    builder.add_start(1.9, task, 3)
    builder.add_start(2.0, task, 4)
    builder.add_end(3.0, task, 4)
    builder.add_job_end(3.0)
    account = make_account(builder)
    (queue,) = account.queues
    assert count_causes(queue) == {"thrown away": 1}
    assert queue.thrown_away == {"failed": 1, "lost": 1, "no end seen": 1}
    assert is_close(queue.thrown_core_seconds["failed"], 2.0)
    assert is_close(queue.thrown_core_seconds["lost"], 1.0)
    assert is_close(find_charged_mean_s(queue, "thrown away"), 1.6)
    assert is_close(find_charged_mean_s(queue, "between attempts"), 0.3)
    (step,) = account.steps
    assert step.refused_starts == {"ticket": 1}
    assert (step.tasks, step.attempts) == (4, 7)


def test_work_beyond_the_expected_duration_is_slow_work():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0)
    builder.add_start(0.1, f"{JOB}.0.0.0")
    builder.add_end(3.1, f"{JOB}.0.0.0")
    builder.add_job_end(3.1)
    queue = make_queue_account(builder)
    assert count_causes(queue) == {"slow work": 1}
    assert is_close(find_charged_mean_s(queue, "slow work"), 2.0)
    assert is_close(find_charged_mean_s(queue, "usual work"), 1.0)


def test_wrong_estimate_of_a_wide_step_is_not_slow_work():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0, tasks=[4], target_ms=2500)
    for index, duration_s in enumerate((3.0, 3.0, 3.0, 3.5)):
        builder.add_start(0.1, f"{JOB}.0.0.{index}")
        builder.add_end(0.1 + duration_s, f"{JOB}.0.0.{index}")
    builder.add_job_end(3.6)
    queue = make_queue_account(builder)
    assert is_close(find_charged_mean_s(queue, "usual work"), 3.0)
    assert is_close(find_charged_mean_s(queue, "slow work"), 0.5)


def test_end_that_waits_for_the_store_is_not_slow_work():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0)
    builder.add_start(0.1, f"{JOB}.0.0.0")
    builder.add_end(1.1, f"{JOB}.0.0.0")
    builder.add_job_end(6.1, took_ms=1100, durable_ms=5000)
    queue = make_queue_account(builder)
    assert count_causes(queue) == {"end not noted": 1}
    assert is_close(find_charged_mean_s(queue, "last end to shown"), 5.0)


def test_job_across_two_owners_is_charged_to_the_owner_change():
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add(0.0, "taking over the cell", part="cell", fence=1)
    builder.add(0.05, "cell read", part="cell", jobs=0)
    job_fields = {"tasks": [1, 1], "cpu_millis": [2000] * 2, "estimates_ms": [1000] * 2}
    builder.add_job(2.0, after=[[], [0]], target_ms=3000, **job_fields)
    builder.add_start(2.1, f"{JOB}.0.0.0")
    builder.add(2.5, "cell released", part="cell")
    builder.add(3.5, "taking over the cell", NEXT_OWNER, part="cell", fence=2)
    builder.add(4.0, "cell read", NEXT_OWNER, part="cell", jobs=4)
    builder.add_end(4.1, f"{JOB}.0.0.0", node=NEXT_OWNER)
    builder.add(6.0, "withheld tasks released", NEXT_OWNER, part="cell", jobs=1)
    builder.add_start(6.1, f"{JOB}.0.1.0", 1001, node=NEXT_OWNER)
    builder.add_end(7.1, f"{JOB}.0.1.0", 1001, node=NEXT_OWNER)
    builder.add_job_end(7.1, node=NEXT_OWNER)
    account = make_account(builder)
    (queue,) = account.queues
    assert queue.results == {"in time": 3, "late": 1}
    assert count_causes(queue) == {"owner change": 1}
    # 1 s until the executor reported the end to the new owner, and 1.9 s until the new
    # owner had released the withheld tasks of the next step.
    assert is_close(find_charged_mean_s(queue, "owner change"), 1.0 + 1.9)
    assert is_close(find_charged_mean_s(queue, "slow work"), 0.0)
    first_change, second_change = account.owner_changes
    assert second_change.node == NEXT_OWNER
    assert is_close(second_change.without_owner_s, 1.5)
    assert is_close(second_change.settled_after_s, 3.5)
    assert [step.owner_changes for step in account.steps] == [1, 0]


def test_job_that_never_starts_is_charged_to_what_it_waits_for():
    # Guards against jobs without an end being omitted from the averages.
    builder = LogBuilder()
    builder.add_typical_jobs(3)
    builder.add_job(0.0)
    builder.add_policy_answer(0.2, f"{JOB}.0.0", 0.1)
    builder.add_job(0.0, "a" * 16)
    builder.add(9.0, "node stopped", part="main")
    queue = make_queue_account(builder)
    assert queue.results == {"in time": 3, "never ended": 2}
    assert count_causes(queue) == {"advice": 1, "room or ticket": 1}


def test_gang_attempts_are_merged():
    builder = LogBuilder()
    builder.add_job(0.0, tasks=[2], gangs=[0])
    for index, executor in ((0, "i-1"), (1, "i-2")):
        task = f"{JOB}.0.0.{index}"
        builder.add_start(0.1 + index, task, executor=executor)
        builder.add_end(1.5, task, outcome="broken", executor=executor)
        builder.add_start(1.6 + index, task, 2, executor=executor)
        builder.add_end(3.6 + index, task, 2, executor=executor)
    builder.add_job_end(3.6)
    queue = make_queue_account(builder)
    assert queue.results == {"late": 1}
    # The work of a gang begins when its last member starts.
    assert is_close(find_charged_mean_s(queue, "room or ticket"), 1.1)
    assert is_close(find_charged_mean_s(queue, "thrown away"), 0.4)
    assert queue.thrown_away == {"broken": 2}


def test_malformed_lines_are_counted_and_skipped():
    builder = LogBuilder()
    builder.add_typical_jobs(2)
    builder.lines[OWNER] += [
        "not a log line",
        '9.0 node-1 {"time": "T", "message": ',
        '9.0 node-1 {"time": "not a time", "part": "jobs", "message": "x"}',
        '9.0 node-1 {"time": 5, "part": "jobs", "message": "job accepted"}',
    ]
    builder.add(2.0, "attempt ended", job=JOB, task="no task", attempt=1, how="done")
    builder.add(2.0, "advice received", step="no step", asked=1)
    builder.add(2.0, "attempt started", job=JOB, dropped_before=7)
    account = make_account(builder)
    assert account.malformed == 3
    assert account.dropped == {"attempt started": 7}
    results = {queue.queue: queue.results for queue in account.queues}
    assert results[QUEUE] == {"in time": 2}


def test_clock_step_of_the_owner_is_not_charged():
    # Guards against jobs in time being counted as late after a clock step of 30 s.
    builder = LogBuilder()
    builder.add_job(0.0)
    builder.add_start(0.1, f"{JOB}.0.0.0")
    builder.clock_steps[OWNER] = 30.0
    builder.add_end(1.1, f"{JOB}.0.0.0")
    builder.add_job_end(1.1, took_ms=1100, durable_ms=0)
    assert make_queue_account(builder).results == {"in time": 1}
    # Without the collector's times, the durations that the owner reports correct it.
    for node, lines in builder.lines.items():
        builder.lines[node] = [line[line.index("{") :] for line in lines]
    assert make_queue_account(builder).results == {"in time": 1}


def test_command_prints_tables_or_json():
    builder = LogBuilder()
    builder.add_typical_jobs(2)
    builder.add_job(0.0)
    builder.add_start(5.0, f"{JOB}.0.0.0")
    builder.add_end(6.0, f"{JOB}.0.0.0")
    builder.add_job_end(6.0)
    builder.add(6.0, "job refused", job="b" * 16, queue="r-2", reason="full")
    with write_logs(builder) as folder:
        text = CliRunner().invoke(cli, ["account", folder])
        assert text.exit_code == 0, text.output
        assert "Late, failed and unended jobs" in text.output
        assert any(
            line.startswith(QUEUE) and "room or ticket" in line and JOB in line
            for line in text.output.splitlines()
        )
        assert any(line.startswith("total") for line in text.output.splitlines())
        as_json = CliRunner().invoke(cli, ["--json", "account", folder])
        content = json.loads(as_json.output)
        assert [queue["queue"] for queue in content["queues"]] == [
            "r-1",
            "r-2",
            "total",
        ]
        empty = Path(folder, "empty")
        empty.mkdir()
        assert CliRunner().invoke(cli, ["account", str(empty)]).exit_code == 2


async def test_account_of_lines_written_by_a_cell():
    # Guards against log lines of the cell that the accounting no longer understands:
    # the two are implemented in different packages.
    builder = LogBuilder()
    with logbook.TestHandler().applicationbound() as handler:
        handler.emit = lambda record: builder.add(
            anyio.current_time(), record.msg, part=record.channel, **record.extra
        )
        async with running_cluster(steady_behaviour(2.0), nodes=3) as cluster:
            first = StepSpec(task_count=3, cpu_millis=2000, estimated_ms=2000)
            last = StepSpec(task_count=2, cpu_millis=1000, after=(0,), gang=True)
            job = make_job(JOB, first, last)
            await anyio.sleep(1.0)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.5)
            cluster.owner_node().kill()
            assert await cluster.wait_final(JOB, 30.0) is JobPhase.COMPLETED
    account = make_account(builder)
    (queue,) = account.queues
    assert queue.accepted == 1
    assert queue.widths == [3, 2]
    assert queue.core_seconds == 12.0
    assert [(step.tasks, step.ends) for step in account.steps] == [
        (3, {"done": 3}),
        (2, {"done": 2}),
    ]
    assert [step.owner_changes for step in account.steps] == [1, 0]
    assert account.malformed == 0
    assert len(account.owner_changes) == 2


load_tests = make_load_tests(globals())
