"""Tests of the in-process port implementations, on the mock clock."""

import json
import random

import anyio

from gypsumring.messages.work import Resources
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
    VmRole,
    VmState,
    WorkerTimeout,
)
from gypsumring.utils.testing import after, make_load_tests, raised
from stand_ins.memory import (
    MemoryExecutor,
    MemoryLog,
    MemoryUpstreams,
    MemoryVmList,
    MemoryWorker,
)
from stand_ins.state import (
    ExecutorState,
    LogState,
    TaskRuns,
    VmListState,
    WorkerState,
)

load_tests = make_load_tests(globals())

CLOCK_OFFSET_S = 1_000.0


def make_vm(name):
    """Return the entry of a VM."""
    return VmEntry(
        name=name,
        role=VmRole.WORKER,
        state=VmState.LIVE,
        address="127.0.0.1:1",
        region="r",
        data_centre="d",
    )


def make_worker(name="w1", runs=None):
    """Return the state of a worker with 4 cores and a client of the worker."""
    state = WorkerState(
        name, Resources(4000, 4096), clock_offset_s=CLOCK_OFFSET_S, runs=runs
    )
    return state, MemoryWorker(state, random.Random(1))


def make_start(task_id="t1", attempt=1, start_in_s=5.0, lease_ms=30_000, **args):
    """Return the start of a task that needs one core."""
    return TaskStart(
        task_id=task_id,
        attempt=attempt,
        ledger="l",
        service="s",
        resources=Resources(1000, 100),
        priority=1,
        start_before=anyio.current_time() + CLOCK_OFFSET_S + start_in_s,
        lease_ms=lease_ms,
        args=json.dumps(args),
    )


async def start_one(worker, start, deadline_s=60.0):
    """Start one task and return the outcome."""
    reply = await worker.start([start], after(deadline_s))
    return reply.results[0].outcome


async def get_task_states(worker):
    """Return the states of a worker's tasks by task id."""
    inventory = await worker.inventory(after(60.0))
    return {task.task_id: task.state for task in inventory.tasks}


async def test_tasks_end_after_their_run_time():
    """Guard against tasks that outlive their run time or end in a wrong state."""
    _, worker = make_worker()
    await start_one(worker, make_start("good", run_ms=500))
    await start_one(worker, make_start("bad", run_ms=500, fails=True))
    await start_one(worker, make_start("long"))
    assert await start_one(worker, make_start("no", refuses=True)) == "failed"
    assert set((await get_task_states(worker)).values()) == {TaskState.RUNNING}
    await anyio.sleep(0.6)
    assert await get_task_states(worker) == {
        "good": TaskState.SUCCEEDED,
        "bad": TaskState.FAILED,
        "long": TaskState.RUNNING,
    }


async def test_lease_expires_without_renewal():
    """Guard against tasks that continue after their lease has expired."""
    _, worker = make_worker()
    await start_one(worker, make_start("t1", lease_ms=3_000))
    await anyio.sleep(2.0)
    await worker.renew(3_000, after(60.0))
    await anyio.sleep(2.9)
    assert await get_task_states(worker) == {"t1": TaskState.RUNNING}
    await anyio.sleep(0.2)
    assert await get_task_states(worker) == {"t1": TaskState.LEASE_EXPIRED}


async def test_delayed_start_is_too_late():
    """Guard against a start that takes effect after ``start_before``."""
    state, worker = make_worker()
    state.faults.delayed_ms = 10_000
    await raised(WorkerTimeout, worker.start([make_start("late")], after(1.0)))
    in_time = make_start("in-time", start_in_s=20.0)
    await raised(WorkerTimeout, worker.start([in_time], after(1.0)))
    assert state.start_count == 0
    await anyio.sleep(12.0)
    assert await get_task_states(worker) == {"in-time": TaskState.RUNNING}
    assert state.too_late_count == 1


async def test_delayed_renewal_does_not_extend_leases():
    """Guard against a lease that is longer than the sender of the renewal assumes."""
    state, worker = make_worker()
    await start_one(worker, make_start(lease_ms=30_000))
    state.faults.delayed_ms = 10_000
    renew_before = anyio.current_time() + CLOCK_OFFSET_S + 2.0
    call = worker.renew(30_000, after(1.0), renew_before)
    await raised(WorkerTimeout, call)
    state.faults.delayed_ms = 0
    await anyio.sleep(30.0)
    assert await get_task_states(worker) == {"t1": TaskState.LEASE_EXPIRED}


async def test_cut_off_affects_named_client_only():
    """Guard against a partition that also cuts off other clients."""
    state, worker = make_worker()
    upstreams = MemoryUpstreams({"w1": state}, {}, random.Random(1), client="n1")
    state.faults.cut_off_from.add("n1")
    cut_off = upstreams.worker(make_vm("w1"))
    await raised(WorkerTimeout, cut_off.inventory(after(1.0)))
    assert (await worker.inventory(after(1.0))).tasks == ()
    unknown = upstreams.executor(make_vm("gone"))
    await raised(ExecutorUnreachable, unknown.status(after(1.0)))


async def test_repeated_start_runs_once():
    """Guard against a second run after the answer to a start was lost."""
    state, worker = make_worker()
    start = make_start()
    state.faults.lost_answers = 1.0
    await raised(WorkerTimeout, worker.start([start], after(1.0)))
    state.faults.lost_answers = 0.0
    assert await start_one(worker, start) == StartOutcome.STARTED
    assert state.start_count == 1
    assert state.runs.repeated_attempts == []


async def test_overcommits_and_double_runs_are_recorded():
    """Guard against overcommits and double runs that the stand-in does not record."""
    runs = TaskRuns()
    first_state, first_worker = make_worker("w1", runs)
    second_state, second_worker = make_worker("w2", runs)
    for number in range(4):
        await start_one(first_worker, make_start(f"t{number}"))
    assert first_state.overcommits == []
    await start_one(first_worker, make_start("t4"))
    assert first_state.overcommits[0][1] == Resources(5000, 500)
    assert runs.double_runs == []
    await start_one(second_worker, make_start("t4", attempt=2))
    assert [run[:3] for run in runs.double_runs] == [("t4", "w1", "w2")]
    first_state.kill(anyio.current_time())
    await start_one(second_worker, make_start("t0", attempt=2))
    assert len(runs.double_runs) == 1


async def test_delayed_start_counts_as_double_run():
    """Guard against missing a double run when a delayed start is applied later."""
    runs = TaskRuns()
    delayed_state, delayed_worker = make_worker("w1", runs)
    _, client = make_worker("w2", runs)
    delayed_state.faults.delayed_ms = 2_000
    await raised(WorkerTimeout, delayed_worker.start([make_start()], after(1.0)))
    await anyio.sleep(5.0)
    await start_one(client, make_start(attempt=2))
    delayed_state.faults.delayed_ms = 0
    await delayed_worker.inventory(after(1.0))
    assert len(runs.double_runs) == 1


async def test_actions_change_tasks():
    """Guard against actions that have no effect or free resources too early."""
    _, worker = make_worker()
    for name in ("stop", "checkpoint", "throttle"):
        await start_one(worker, make_start(name, run_ms=1_000))
    actions = [TaskAction(kind, kind.value, 1) for kind in list(TaskActionKind)[:2]]
    actions.append(TaskAction(TaskActionKind.STOP, "stop", 1))
    await worker.act(actions, after(60.0))
    assert await get_task_states(worker) == {
        "stop": TaskState.STOPPED,
        "checkpoint": TaskState.RUNNING,
        "throttle": TaskState.THROTTLED,
    }
    await anyio.sleep(1.5)
    states = await get_task_states(worker)
    assert states["checkpoint"] == TaskState.CHECKPOINTED
    assert states["throttle"] == TaskState.THROTTLED
    await anyio.sleep(0.6)
    assert (await get_task_states(worker))["throttle"] == TaskState.SUCCEEDED
    forget = [TaskAction(TaskActionKind.FORGET, "throttle", 1)]
    await worker.act(forget, after(60.0))
    assert "throttle" not in await get_task_states(worker)


async def test_usage_lags():
    """Guard against usage that is reported earlier than by a real worker."""
    state, worker = make_worker()
    await start_one(worker, make_start(cpu_millis=2_500))
    assert (await worker.usage(after(60.0))).tasks == ()
    await anyio.sleep(state.usage_lag_s)
    usage = await worker.usage(after(60.0))
    assert usage.tasks[0].used == Resources(2_500, 100)
    assert usage.age_ms == 5_000


async def test_log_limits_and_retention():
    """Guard against a log that retains or accepts more than the platform's log."""
    state = LogState(max_records=100, max_age_s=60.0, appends_per_s=10)
    log = MemoryLog(state, random.Random(1))
    for _ in range(10):
        await log.append("s", b"x")
    await raised(LogUnavailable, log.append("s", b"x"))
    await anyio.sleep(1.1)
    assert await log.append("s", b"x") == 10
    await anyio.sleep(59.5)
    await raised(OffsetExpired, log.read("s", 0, 10, 0))
    page = await log.read("s", 10, 10, 0)
    assert (len(page.records), page.end_offset) == (1, 11)
    started_at = anyio.current_time()
    assert (await log.read("s", 11, 10, 2_000)).records == ()
    assert 2.0 <= anyio.current_time() - started_at < 2.1


async def test_vm_list_lags():
    """Guard against a VM list that reports changes without the lag."""
    vm = make_vm("vm1")
    state = VmListState([vm], lag_s=2.0)
    vm_list = MemoryVmList(state, random.Random(1))
    state.mark_leaving("vm1", anyio.current_time())
    assert (await vm_list.list_vms()).vms[0].state == VmState.LIVE
    await anyio.sleep(2.0)
    state.remove("vm1", anyio.current_time())
    assert (await vm_list.list_vms()).vms[0].state == VmState.LEAVING
    await anyio.sleep(2.0)
    assert (await vm_list.list_vms()).vms == ()


def make_request(request_id, key="k"):
    """Return a request to an executor."""
    return ExecutorRequest(
        request_id=request_id,
        service="s",
        method="GET",
        path="/",
        headers=(("Gypsumring-Key", key),),
        body=b"",
    )


async def test_executor_faults_and_records():
    """Guard against faults without effect and runs that are not recorded."""
    state = ExecutorState("e1", random.Random(1), slots=2, connections=3)
    executor = MemoryExecutor(state, random.Random(2))

    async def send(request_id, deadline_s=60.0):
        return await executor.send(make_request(request_id), 1_000, after(deadline_s))

    assert (await send("q0")).body == b"q0 "
    async with anyio.create_task_group() as tasks:
        for name in ("a", "b", "c", "d"):
            tasks.start_soon(send, name)
    assert [used for _, used in state.slot_overcommits] == [3, 4]
    assert [used for _, used in state.connection_overcommits] == [4]
    state.faults.crossed = 1.0
    await raised(AnswerMismatched, send("q1"))
    state.faults.crossed = 0.0
    state.faults.cut_off = 1.0
    await raised(AnswerTruncated, send("q2"))
    state.faults.cut_off = 0.0
    state.faults.late = 1.0
    await raised(ExecutorTimeout, send("q3", deadline_s=1.0))
    state.faults.late = 0.0
    state.faults.leaving = True
    await send("q3")
    assert [run.request_id for run in state.late_starts] == ["q3"]
    assert state.repeated(state.runs_by_request) == ["q3"]
    assert state.repeated(state.runs_by_key) == ["k"]
    state.faults.dead = True
    await raised(ExecutorUnreachable, send("q4"))
    assert "q4" not in state.runs_by_request


async def test_abandoned_request_occupies_its_slot():
    """Guard against a slot that counts as free while its request still runs."""
    state = ExecutorState("e1", random.Random(1))
    executor = MemoryExecutor(state, random.Random(2))
    state.faults.slow_ms = 5_000
    call = executor.send(make_request("q1"), 1_000, after(1.0))
    await raised(ExecutorTimeout, call)
    assert (await executor.status(after(1.0))).in_flight == ("q1",)
    await anyio.sleep(5.0)
    assert (await executor.status(after(1.0))).in_flight == ()
