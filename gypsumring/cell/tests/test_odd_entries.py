"""Odd entries of the executor list and odd stored records stop no owner of a cell."""

import json
from unittest import mock

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.state import (
    EXECUTOR_KEY,
    JOB_KEY,
    LEASE_KEY,
    PROGRESS_KEY,
    TERM_KEY,
)
from gypsumring.cell.tests.test_log_lines import captured_lines, find_lines
from gypsumring.cell.tests.test_recovery import BATCH, DEPENDENT, running_cluster
from gypsumring.pipelines import JobPhase, StepSpec, encode
from gypsumring.ports.tasks import ListedRun
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, make_job
from stand_ins.platform.entries import encode_entry
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.memory import ENTRIES_TOPIC
from stand_ins.platform.world import steady_behaviour

NESTED_MSGPACK = b"\x91" * 100_000 + b"\xc0"
LARGE = int("1" + "0" * 350)


def make_entry(**changes: object) -> bytes:
    """Return an executor's entry with changed fields."""
    entry = {
        "service": "svc",
        "address": "memory:1",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 65536},
        "labels": ["r1"],
        "born": 1,
    }
    return json.dumps(entry | changes).encode()


def list_odd_entries() -> dict[str, bytes]:
    """Return one odd entry of each kind by the id under which it is stored."""
    good = make_entry()
    return {
        "x-nested": good[:-1] + b',"o":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        "x-cpu": make_entry(capacity={"cpu": LARGE}),
        "x-less": make_entry(capacity={"cpu": -5}),
        "x-born": make_entry(born=2**70),
        "x-remaining": make_entry(state="draining", remainingMs=LARGE),
        "x-port": make_entry(address="memory:99999"),
        "x-host": make_entry(address="a..b:80"),
        "x-line": make_entry(address="memory:1\n"),
        "x-state": make_entry(state="asleep"),
        "x-labels": make_entry(labels=[1]),
        "x-missing": b"{}",
        "x-cut": good[:30],
        "x-bytes": b"\xff\x00\xfe",
        "x id": good,
        "x\r\nid: y": good,
    }


def write_odd_entries(cluster) -> None:
    """Store one odd entry of each kind."""
    cluster.store.append(ENTRIES_TOPIC, 0, list(list_odd_entries().items()), None)


def put_records(cluster, records: dict[str, bytes]) -> None:
    """Store records of the cell as an earlier owner has."""
    cluster.store.append(CELL_TOPIC, 0, list(records.items()), None)


async def kill_owner(cluster) -> None:
    """Kill the node that owns the cell and wait for the next owner."""
    cluster.owner_node().kill()
    with anyio.fail_after(10.0):
        while cluster.owner_node() is None:
            await anyio.sleep(0.05)


async def test_odd_entries_end_no_owner_and_jobs_finish():
    # One entry whose numbers could not be stored ended owner after owner (issue 30).
    async with running_cluster(steady_behaviour(1.5), nodes=3) as cluster:
        owner = cluster.owner_node().owner()
        write_odd_entries(cluster)
        assert await cluster.submit(make_job("a" * 16, BATCH, DEPENDENT)) is Outcome.OK
        await anyio.sleep(1.0)
        write_odd_entries(cluster)
        await anyio.sleep(0.5)
        assert cluster.owner_node().owner() is owner
        await kill_owner(cluster)
        assert await cluster.submit(make_job("b" * 16, BATCH)) is Outcome.OK
        assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
        assert await cluster.wait_final("b" * 16, 20.0) is JobPhase.COMPLETED
        assert all(count == 1 for count in cluster.world.starts.values())
        state = cluster.owner_node().owner().state
        assert set(state.fleet) == set(cluster.executors)
        assert cluster.metrics.counters.get("cell.failed", 0) == 0


async def test_odd_entries_that_are_there_at_the_start_hide_no_executor():
    # The whole list failed to be read when one entry could not be decoded.
    async with running_cluster() as cluster:
        for node in list(cluster.nodes.values()):
            node.kill()
        write_odd_entries(cluster)
        for name in list(cluster.nodes):
            cluster.add_node(name)
        assert await cluster.submit(make_job("a" * 16, BATCH), 5.0) is Outcome.OK
        assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
        assert set(cluster.owner_node().owner().state.fleet) == set(cluster.executors)


async def test_executor_whose_entry_turns_odd_gets_no_new_work_and_keeps_its_tasks():
    # The owner went on to use the entry that had been overwritten.
    for value in (make_entry(state="asleep"), make_entry(born=2**70)):
        async with running_cluster(steady_behaviour(3.0), executors=1) as cluster:
            step = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=3000)
            assert await cluster.submit(make_job("a" * 16, step)) is Outcome.OK
            await anyio.sleep(0.5)
            assert len(cluster.world.starts) == 2
            cluster.store.append(ENTRIES_TOPIC, 0, [("i-0", value)], None)
            await anyio.sleep(0.5)
            assert await cluster.submit(make_job("b" * 16, step)) is Outcome.OK
            assert await cluster.wait_final("a" * 16, 10.0) is JobPhase.COMPLETED
            await anyio.sleep(1.0)
            assert len(cluster.world.starts) == 2
            cluster.register(cluster.executors["i-0"])
            assert await cluster.wait_final("b" * 16, 10.0) is JobPhase.COMPLETED
            assert all(count == 1 for count in cluster.world.starts.values())


async def test_entry_that_is_odd_at_a_takeover_loses_no_running_task():
    # The new owner knows the executor from its own records and has to hear from it.
    async with running_cluster(steady_behaviour(4.0), nodes=3) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        for executor_id in cluster.executors:
            entry = (executor_id, make_entry(state="asleep"))
            cluster.store.append(ENTRIES_TOPIC, 0, [entry], None)
        await kill_owner(cluster)
        assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_odd_entry_is_counted_by_reason_and_logged_once():
    # Nothing in the log named the entry, and a line at each read would flood it.
    with captured_lines() as lines:
        async with running_cluster() as cluster:
            for _ in range(3):
                write_odd_entries(cluster)
                await anyio.sleep(0.5)
            await anyio.sleep(0.5)
            counters = dict(cluster.metrics.counters)
    found = find_lines(lines, "executor entry names no executor to use")
    assert sorted(line["executor"] for line in found) == sorted(list_odd_entries())
    reasons = {line["executor"]: line["reason"] for line in found}
    assert reasons["x-nested"].startswith("nesting")
    assert "cpu" in reasons["x-cpu"] and "born" in reasons["x-born"]
    assert counters["cell.entries.unreadable"] == 3 * len(list_odd_entries())
    for reason in ("nesting", "field", "format", "address", "state", "id"):
        assert counters[f"cell.entries.unreadable.{reason}"] >= 3, reason


async def test_memory_of_logged_entries_is_bounded():
    # Another writer may use a new id each time.
    with captured_lines() as lines:
        async with running_cluster() as cluster:
            for number in range(0, 3000, 100):
                entries = [(f"x-{number + each}", b"{}") for each in range(100)]
                cluster.store.append(ENTRIES_TOPIC, 0, entries, None)
            await anyio.sleep(1.0)
            directory = cluster.owner_node().owner().directory
            assert len(directory.reported_ids) <= 1000
    found = find_lines(lines, "executor entry names no executor to use")
    assert len(found) == 3000


async def test_odd_stored_records_stop_no_owner():
    # Records like these ended every owner while it read the cell.
    odd_job = msgspec.msgpack.encode({"job_id": "d" * 16, "steps": 7})
    spec = make_job("e" * 16, StepSpec(task_count=1, after=(5,)))
    count = make_job("f" * 16, StepSpec(task_count=-1))
    for records in (
        {TERM_KEY: b"x"},
        {TERM_KEY: b"-7"},
        {TERM_KEY: b"1" + b"0" * 400},
        {TERM_KEY: b"[" * 100_000},
        {LEASE_KEY: b'"long"'},
        {LEASE_KEY: b"1" + b"0" * 400},
        {
            EXECUTOR_KEY + "x-1": b"\xff",
            EXECUTOR_KEY + "x-2": b"\x81\xa1o" + NESTED_MSGPACK,
        },
        {
            JOB_KEY + "d" * 16: odd_job,
            JOB_KEY + "c" * 16: b"\x81\xa1o" + NESTED_MSGPACK,
        },
        {JOB_KEY + "e" * 16: encode(spec)},
        {JOB_KEY + "f" * 16: encode(count)},
        {JOB_KEY + "1" * 16: encode(make_job("2" * 16))},
        {"q/x": b"\x81\xa1o" + NESTED_MSGPACK, "q/y": b"\xc0"},
    ):
        async with running_cluster(steady_behaviour(2.0), nodes=3) as cluster:
            job = make_job("a" * 16, BATCH)
            assert await cluster.submit(job) is Outcome.OK
            await anyio.sleep(0.5)
            put_records(cluster, records)
            await kill_owner(cluster)
            assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
            assert all(count == 1 for count in cluster.world.starts.values())
            assert cluster.metrics.counters.get("cell.failed", 0) == 0


async def test_job_with_odd_progress_opens_only_its_own_occurrences():
    # The owner opened occurrences without end and did not answer any more.
    async with running_cluster(nodes=3) as cluster:
        progress = {"phase": "queued", "steps": [], "opened": 20_000}
        put_records(
            cluster,
            {
                JOB_KEY + "b" * 16: encode(make_job("b" * 16)),
                PROGRESS_KEY + "b" * 16: msgspec.msgpack.encode(progress),
            },
        )
        await kill_owner(cluster)
        job = cluster.owner_node().owner().state.table.jobs["b" * 16]
        assert len(job.steps) == 1


async def test_odd_numbers_in_a_stored_executor_are_limited():
    # An earlier version stored any number of up to 64 bits. What runs there must still
    # be found by the next owner.
    async with running_cluster(steady_behaviour(3.0), nodes=3, executors=2) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        for executor_id in cluster.executors:
            record = {
                "executor_id": executor_id,
                "address": "memory:1",
                "service": "svc",
                "cpu_millis": -5,
                "memory_mb": 2**64 - 1,
                "born_ms": -(2**63),
                "remaining_ms": 2**64 - 1,
                "draining": True,
            }
            value = msgspec.msgpack.encode(record)
            put_records(cluster, {EXECUTOR_KEY + executor_id: value})
        for node in cluster.nodes.values():
            node.store.entries_delay_s = 0.4
        await kill_owner(cluster)
        for executor in cluster.owner_node().owner().state.fleet.values():
            assert executor.entry.cpu_millis == 0
            assert 0 <= executor.entry.memory_mb <= 2**40
            assert 0 <= executor.entry.born_ms <= 2**53
            assert 0 <= executor.entry.remaining_ms <= 2**40
        assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED
        assert all(count == 1 for count in cluster.world.starts.values())


async def test_unreadable_term_reuses_no_attempt_number():
    # Attempts of the new owner could have the numbers of earlier ones.
    async with running_cluster(steady_behaviour(2.0), nodes=3) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        first = cluster.owner_node().owner()
        used = [run.attempt for run in first.state.table.jobs["a" * 16].active_runs()]
        put_records(cluster, {TERM_KEY: b"x"})
        await kill_owner(cluster)
        second = cluster.owner_node().owner()
        assert second.state.table.first_attempt > max(used)
        assert await cluster.wait_final("a" * 16, 20.0) is JobPhase.COMPLETED


async def test_odd_task_name_in_a_list_loses_no_other_task():
    # A task name with an index of 5,000 digits raised ValueError at the first poll of a
    # new owner, which then stopped all that it had not adopted.
    async with running_cluster(steady_behaviour(20.0), nodes=3, executors=1) as cluster:
        assert await cluster.submit(make_job("a" * 16, BATCH)) is Outcome.OK
        await anyio.sleep(0.5)
        lists = ExecutorModel.lists

        def report_odd_run(model):
            reported = lists(model)
            name = "a" * 16 + ".0.0." + "9" * 5000
            reported.running.insert(0, ListedRun(name, 1, "", 5, 0))
            return reported

        with mock.patch.object(ExecutorModel, "lists", report_odd_run):
            await kill_owner(cluster)
            await anyio.sleep(1.0)
            executor = cluster.owner_node().owner().state.fleet["i-0"]
            assert not executor.is_unresponsive and len(executor.runs) == 4


def test_entry_of_the_stand_ins_is_a_good_one():
    # The odd entries of these tests differ from it in one field only.
    fields = json.loads(make_entry())
    model = type(
        "Model", (), {"service": "svc", "cpu_millis": 8000, "memory_mb": 65536}
    )
    model.labels, model.born_ms = ["r1"], 1
    assert json.loads(encode_entry(model, "memory:1")) == fields | {"zone": "a"}


load_tests = make_load_tests(globals())
