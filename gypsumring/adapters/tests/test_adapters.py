"""Tests of the HTTP adapters against stand-in servers on loopback.

They check outcomes only.
"""

import contextlib
import functools
import random

import anyio
import httpx
import msgspec

from gypsumring.adapters import HttpLog, HttpUpstreams, HttpVmList
from gypsumring.adapters.executor import STATUS_PATH
from gypsumring.messages.codec import decode_control_batch
from gypsumring.messages.records import MemberLeft
from gypsumring.messages.work import Resources
from gypsumring.metrics import Metrics
from gypsumring.ports import (
    AnswerMismatched,
    AnswerTruncated,
    ExecutorRequest,
    ExecutorTimeout,
    ExecutorUnreachable,
    LogUnavailable,
    OffsetExpired,
    StartOutcome,
    TaskAction,
    TaskActionKind,
    TaskStart,
    TaskState,
    VmEntry,
    VmListUnavailable,
    VmRole,
    VmState,
    WorkerTimeout,
    WorkerUnreachable,
)
from gypsumring.settings import TimingSettings
from gypsumring.streams import Stream
from gypsumring.utils.testing import after, make_load_tests, raised
from stand_ins.servers import (
    ExecutorApp,
    LogApp,
    VmListApp,
    WorkerApp,
    address_of,
    bind_socket,
    serve_apps,
)
from stand_ins.state import ExecutorState, LogState, VmListState, WorkerState

load_tests = make_load_tests(globals())

# Calls that should succeed get the long time-out; calls that should fail the short one.
LONG_TIMEOUT_S = 60.0
SHORT_TIMEOUT_S = 0.3


def run_on_asyncio(function):
    """Run an async test on asyncio, which the servers require."""

    def run():
        anyio.run(function)

    functools.update_wrapper(run, function)
    del run.__wrapped__
    return run


def make_vm(address, role):
    """Return the VM list entry of a VM at an address."""
    return VmEntry(
        name="vm1",
        role=role,
        state=VmState.LIVE,
        address=address,
        region="r",
        data_centre="d",
    )


@contextlib.asynccontextmanager
async def executor_on_loopback(**options):
    """Run an executor; yield its state and a client of it."""
    state = ExecutorState("e1", random.Random(1), run_ms=1.0, **options)
    upstreams = HttpUpstreams(connections_per_executor=2)
    async with serve_apps({"e1": ExecutorApp(state, random.Random(2))}) as addresses:
        vm = make_vm(addresses["e1"], VmRole.EXECUTOR)
        assert upstreams.executor(vm) is upstreams.executor(vm)
        try:
            yield state, upstreams.executor(vm)
        finally:
            await upstreams.aclose()


@contextlib.asynccontextmanager
async def worker_on_loopback():
    """Run a worker; yield its state and a client of it."""
    state = WorkerState("w1", Resources(4000, 4096), clock_offset_s=500.0)
    upstreams = HttpUpstreams()
    async with serve_apps({"w1": WorkerApp(state, random.Random(2))}) as addresses:
        try:
            yield state, upstreams.worker(make_vm(addresses["w1"], VmRole.WORKER))
        finally:
            await upstreams.aclose()


def make_request(request_id="q1", body=b"data", **options):
    """Return a request to an executor."""
    return ExecutorRequest(
        request_id=request_id,
        service="s",
        method=options.pop("method", "POST"),
        path=options.pop("path", "/a/b?x=1"),
        headers=options.pop("headers", (("gypsumring-key", "k1"),)),
        body=body,
    )


@run_on_asyncio
async def test_bytes_on_the_wire_are_counted():
    """Guard against traffic counters that differ from the bytes on the wire."""
    received = bytearray()
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n" + b'{"offset": 1}'

    async def serve(stream):
        async with stream:
            while not received.endswith(b"payload"):
                received.extend(await stream.receive())
            await stream.send(answer)

    metrics = Metrics()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    log = HttpLog(f"http://127.0.0.1:{port}", "n1", metrics=metrics)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        assert await log.append("control", b"payload") == 1
        tasks.cancel_scope.cancel()
    await log.aclose()
    assert metrics.counters["log.bytes_sent"] == len(received)
    assert metrics.counters["log.bytes_received"] == len(answer)


@run_on_asyncio
async def test_log_appends_and_reads():
    """Guard against an adapter that confuses streams, offsets or errors of the log."""
    state = LogState(max_records=3)
    async with serve_apps({"log": LogApp(state, random.Random(1))}) as addresses:
        log = HttpLog(f"http://{addresses['log']}", "n1", call_timeout_ms=20_000)
        for number in range(5):
            assert await log.append("ledger.r.00", bytes([number])) == number
        assert await log.append("control", b"c") == 0
        page = await log.read("ledger.r.00", 2, 10, 0)
        assert [record.payload for record in page.records] == [b"\2", b"\3", b"\4"]
        assert (page.next_offset, page.end_offset) == (5, 5)
        error = await raised(OffsetExpired, log.read("ledger.r.00", 0, 10, 0))
        assert error.first_offset == 2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.append, "control", b"d")
            page = await log.read("control", 1, 10, 10_000)
        assert [record.payload for record in page.records] == [b"d"]
        state.faults.lost_answers = 1.0
        await raised(LogUnavailable, log.append("control", b"e"))
        assert state.end_offsets["control"] == 3
        state.faults.lost_answers = 0.0
        state.faults.cut_off.add("n1")
        await raised(LogUnavailable, log.read("control", 0, 10, 0))
        await log.aclose()


@run_on_asyncio
async def test_streams_run_over_http():
    """Guard against a client that fails after interrupted polls or lost answers."""
    state = LogState()
    async with serve_apps({"log": LogApp(state, random.Random(1))}) as addresses:
        url = f"http://{addresses['log']}"
        logs = [HttpLog(url, node) for node in ("n1", "n2")]
        streams = [
            Stream(
                log,
                "control",
                decode_control_batch,
                log.headers[0][1],
                Metrics(),
                random.Random(7),
                TimingSettings(),
            )
            for log in logs
        ]
        seen = []
        streams[1].subscribe(lambda offset, record: seen.append(record.body.node))
        async with anyio.create_task_group() as tasks:
            for stream in streams:
                tasks.start_soon(stream.run)
            for number in range(20):
                state.faults.lost_answers = 0.5 * (number % 2)
                body = MemberLeft(str(number), 1)
                await streams[0].append([body], 0, after(LONG_TIMEOUT_S))
                await streams[1].wait_caught_up()
                assert seen[-1] == str(number)
            tasks.cancel_scope.cancel()
        assert seen == [str(number) for number in range(20)]
        for log in logs:
            await log.aclose()


@run_on_asyncio
async def test_vm_list_is_read():
    """Guard against a client that drops fields of the list or hides an outage."""
    vm = make_vm("127.0.0.1:1", VmRole.WORKER)
    state = VmListState([vm], lag_s=0.0)
    async with serve_apps({"list": VmListApp(state, random.Random(1))}) as addresses:
        vm_list = HttpVmList(f"http://{addresses['list']}")
        assert (await vm_list.list_vms()).vms == (vm,)
        state.down = True
        await raised(VmListUnavailable, vm_list.list_vms())
        await vm_list.aclose()


@run_on_asyncio
async def test_unchanged_vm_list_is_not_sent_again():
    """Guard against the full list (13 KB) in each poll, and against missed changes."""
    vm = make_vm("127.0.0.1:1", VmRole.WORKER)
    state = VmListState([vm], lag_s=0.0)
    metrics = Metrics()
    async with serve_apps({"list": VmListApp(state, random.Random(1))}) as addresses:
        vm_list = HttpVmList(f"http://{addresses['list']}", metrics=metrics)
        first = await vm_list.list_vms()
        assert await vm_list.list_vms() == first
        before = metrics.counters["vm_list.bytes_received"]
        assert await vm_list.list_vms() == first
        size = metrics.counters["vm_list.bytes_received"] - before
        state.mark_leaving("vm1", anyio.current_time())
        changed = await vm_list.list_vms()
        assert changed.version > first.version
        assert changed.vms[0].state == VmState.LEAVING
        state.down = True
        await raised(VmListUnavailable, vm_list.list_vms())
        await vm_list.aclose()
    assert size < len(msgspec.json.encode(first)), size


@run_on_asyncio
async def test_worker_calls_pass_over_http():
    """Guard against calls that are altered on the way or that hide errors."""
    async with worker_on_loopback() as (state, worker):
        worker_time = (await worker.inventory(after(LONG_TIMEOUT_S))).worker_time
        start = TaskStart(
            task_id="t1",
            attempt=1,
            ledger="l",
            service="s",
            resources=Resources(1000, 100),
            priority=1,
            start_before=worker_time + LONG_TIMEOUT_S,
            lease_ms=60_000,
        )
        reply = await worker.start([start], after(LONG_TIMEOUT_S))
        assert reply.results[0].outcome == StartOutcome.STARTED
        assert (await worker.renew(60_000, after(LONG_TIMEOUT_S))).tasks[
            0
        ].task_id == "t1"
        assert (await worker.usage(after(LONG_TIMEOUT_S))).tasks == ()
        actions = [TaskAction(TaskActionKind.STOP, "t1", 1)]
        inventory = await worker.act(actions, after(LONG_TIMEOUT_S))
        assert inventory.tasks[0].state == TaskState.STOPPED
        state.faults.cut_off = True
        await raised(WorkerTimeout, worker.inventory(after(SHORT_TIMEOUT_S)))


@run_on_asyncio
async def test_refused_connection_is_unreachable():
    """Guard against an unsent request that is reported as possibly run."""
    with bind_socket("127.0.0.1:0") as listener:
        address = address_of(listener)
    upstreams = HttpUpstreams()
    executor = upstreams.executor(make_vm(address, VmRole.EXECUTOR))
    worker = upstreams.worker(make_vm(address, VmRole.WORKER))
    call = executor.send(make_request(), 100, after(LONG_TIMEOUT_S))
    await raised(ExecutorUnreachable, call)
    await raised(WorkerUnreachable, worker.inventory(after(LONG_TIMEOUT_S)))
    await upstreams.aclose()


@run_on_asyncio
async def test_requests_and_answers_pass_unchanged():
    """Guard against requests or answers that are altered on the way."""
    async with executor_on_loopback() as (state, executor):
        answer = await executor.send(make_request(), 1_000, after(LONG_TIMEOUT_S))
        assert (answer.status, answer.body) == (200, b"q1 data")
        assert state.runs_by_key["k1"][0].request_id == "q1"
        assert (await executor.status(after(LONG_TIMEOUT_S))).leaving is False
        headers = (("x-name", "Jos\xe9"), ("connection", "x-hop"), ("x-hop", "1"))
        request = make_request("q2", headers=headers)
        assert (
            await executor.send(request, 1_000, after(LONG_TIMEOUT_S))
        ).status == 200
        state.faults.failing = 1.0
        request = make_request("q3")
        assert (
            await executor.send(request, 1_000, after(LONG_TIMEOUT_S))
        ).status == 500


@run_on_asyncio
async def test_faulty_answers_are_errors():
    """Guard against truncated, mismatched, oversized or late answers as valid."""
    async with executor_on_loopback() as (state, executor):
        call = executor.send(
            make_request("big", b"x" * 5_000), 1_000, after(LONG_TIMEOUT_S)
        )
        await raised(AnswerTruncated, call)
        state.faults.cut_off = 1.0
        call = executor.send(make_request("cut"), 1_000, after(LONG_TIMEOUT_S))
        await raised(AnswerTruncated, call)
        state.faults.cut_off = 0.0
        state.faults.crossed = 1.0
        call = executor.send(make_request("crossed"), 1_000, after(LONG_TIMEOUT_S))
        await raised(AnswerMismatched, call)
        state.faults.crossed = 0.0
        state.faults.late, state.faults.late_ms = 1.0, 60_000
        call = executor.send(make_request("late"), 1_000, after(SHORT_TIMEOUT_S))
        await raised(ExecutorTimeout, call)
        assert sorted(state.runs_by_request) == ["big", "crossed", "cut", "late"]


@run_on_asyncio
async def test_request_without_free_connection_was_not_sent():
    """Guard against excess connections, and an unsent request reported as run."""
    async with executor_on_loopback() as (state, executor):
        state.faults.late, state.faults.late_ms = 1.0, 60_000
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b"):
                tasks.start_soon(
                    executor.send, make_request(name), 1_000, after(LONG_TIMEOUT_S)
                )
            while len(state.runs_by_request) < 2:
                await anyio.sleep(0.001)
            call = executor.send(make_request("c"), 1_000, after(SHORT_TIMEOUT_S))
            await raised(ExecutorUnreachable, call)
            tasks.cancel_scope.cancel()
        assert sorted(state.runs_by_request) == ["a", "b"]


@run_on_asyncio
async def test_answer_without_length_is_truncated():
    """Guard against an answer without a length that is accepted as complete."""

    async def serve_raw(stream):
        async with stream:
            await stream.receive()
            await stream.send(
                b"HTTP/1.1 200 OK\r\ngypsumring-request-id: q1\r\n"
                b"connection: close\r\n\r\nhalf"
            )

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    upstreams = HttpUpstreams()
    executor = upstreams.executor(make_vm(f"127.0.0.1:{port}", VmRole.EXECUTOR))
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve_raw)
        call = executor.send(make_request(), 1_000, after(LONG_TIMEOUT_S))
        await raised(AnswerTruncated, call)
        tasks.cancel_scope.cancel()
    await upstreams.aclose()


@run_on_asyncio
async def test_caller_requests_cannot_reach_the_status_endpoint():
    """Guard against a caller that reads or changes the executor by its path."""
    async with executor_on_loopback() as (state, executor):
        for path in (STATUS_PATH, "/stand-in/faults"):
            request = make_request(f"q{path}", b"{}", path=path)
            answer = await executor.send(request, 1_000, after(LONG_TIMEOUT_S))
            assert answer.body == f"q{path} {{}}".encode()


@run_on_asyncio
async def test_control_endpoint_sets_faults():
    """Guard against fault settings that have no effect or reset other settings."""
    async with executor_on_loopback() as (state, executor):
        async with httpx.AsyncClient(base_url=f"http://{executor.address}") as client:
            state.faults.slow_ms = 7
            await client.post("/stand-in/faults", json={"leaving": True})
            assert (await executor.status(after(LONG_TIMEOUT_S))).leaving
            assert state.faults.slow_ms == 7
            rejected = await client.post("/stand-in/faults", json={"leaving": "x"})
            assert rejected.status_code == 400
            record = (await client.get("/stand-in/record")).json()
            assert record["slot_overcommits"] == []
