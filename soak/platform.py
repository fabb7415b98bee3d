"""Platform stand-ins that record what the checks need."""

import random

import anyio
import msgspec

from gypsumring.messages.work import Resources
from gypsumring.ports import ExecutorRequest, VmEntry, VmListing, VmRole, VmState
from soak.trace import Trace
from stand_ins.state import (
    ExecutorRun,
    ExecutorState,
    LogState,
    TaskRuns,
    VmListState,
    WorkerState,
)

__all__ = ["CALL_HEADER", "LEAVING_S", "Platform", "RecordingExecutor"]

REGION = "pacific"
DATA_CENTRES = ("puntarenas", "guanacaste", "alajuela")
POOL = "live-shipping"
PER_RACK = 4
WORKER_SIZE = Resources(8_000, 16_000, 1)
SLOTS = 4
CONNECTIONS = 24
CALL_HEADER = "soak-call"
# Invariant 6: an upstream gets no new work this long after it is listed as leaving.
LEAVING_S = 3.0
LIST_LAG_S = 1.0


class TracedLog(LogState):
    """Hold the log, with a retention limit for each stream and a trace of appends."""

    def __init__(self, trace: Trace):
        super().__init__()
        self.trace = trace
        self.limits: dict[str, int] = {}

    def add_record(self, stream: str, payload: bytes, now: float) -> int:
        """Add a record and note it in the trace."""
        offset = super().add_record(stream, payload, now)
        self.trace.note_bytes(now, f"append {stream} {offset}", payload)
        return offset

    def expire(self, stream: str, now: float) -> None:
        """Drop records beyond the limit of the stream as well."""
        super().expire(stream, now)
        limit = self.limits.get(stream.partition(".")[0])
        records = self.streams.get(stream)
        while limit is not None and records and len(records) > limit:
            records.popleft()


class FaultyVmList(VmListState):
    """Hold the VM list, which can leave out upstreams for a while."""

    def __init__(self, vms: list[VmEntry]):
        super().__init__(vms, LIST_LAG_S)
        self.hidden: set[str] = set()
        self.is_empty = False
        self.frozen_at: float | None = None
        self.served = VmListing(0, ())

    def listing(self, now: float) -> VmListing:
        """Return the lagging listing without hidden VMs, under a growing version."""
        base = super().listing(now if self.frozen_at is None else self.frozen_at)
        vms = tuple(
            vm for vm in base.vms if vm.name not in self.hidden and not self.is_empty
        )
        if vms != self.served.vms:
            self.served = VmListing(self.served.version + 1, vms)
        return self.served

    def is_listed_as_leaving(self, name: str, now: float) -> bool:
        """Tell whether readers are told that a VM is leaving."""
        return not self.down and any(
            vm.name == name and vm.state is VmState.LEAVING
            for vm in self.listing(now).vms
        )


class RecordingExecutor(ExecutorState):
    """Record which call of a caller each run was for."""

    def __init__(self, platform: "Platform", name: str, random_source: random.Random):
        super().__init__(
            name,
            random_source,
            POOL,
            SLOTS,
            CONNECTIONS,
            run_ms=60.0,
            runs_by_request=platform.runs_by_request,
            runs_by_key=platform.runs_by_key,
        )
        self.platform = platform

    def begin(self, request: ExecutorRequest, now: float) -> ExecutorRun:
        """Run a request and record it."""
        platform = self.platform
        headers = dict(request.headers)
        call = headers.get(CALL_HEADER, "")
        platform.runs_by_call.setdefault(call, []).append((now, self.name))
        since = platform.leaving_since.get(self.name)
        if since is not None and now > since + LEAVING_S:
            platform.late_runs.append((now, self.name, call))
        platform.trace.note(now, f"run {call} at {self.name}")
        return super().begin(request, now)


class TracedRuns(TaskRuns):
    """Record the runs of all tasks and note them in the trace."""

    def __init__(self, trace: Trace):
        super().__init__()
        self.trace = trace
        self.count = 0

    def add(self, run, now: float) -> None:
        """Record a run that starts."""
        self.count += 1
        start = run.start
        self.trace.note(now, f"task {start.task_id} {start.attempt} at {run.worker}")
        super().add(run, now)


class Platform:
    """Hold the state of log, VM list, workers and executors of one cell."""

    def __init__(self, random_source: random.Random, trace: Trace):
        self.trace = trace
        self.log = TracedLog(trace)
        self.task_runs = TracedRuns(trace)
        self.runs_by_request: dict[str, list[ExecutorRun]] = {}
        self.runs_by_key: dict[str, list[ExecutorRun]] = {}
        self.runs_by_call: dict[str, list[tuple[float, str]]] = {}
        self.leaving_since: dict[str, float] = {}
        self.late_runs: list[tuple[float, str, str]] = []
        self.workers: dict[str, WorkerState] = {}
        self.retired: dict[str, WorkerState] = {}
        self.executors: dict[str, RecordingExecutor] = {}
        vms = [
            make_vm(f"{prefix}-{data_centre}-{number}", role, data_centre)
            for data_centre in DATA_CENTRES
            for number in range(PER_RACK)
            for prefix, role in (("w", VmRole.WORKER), ("x", VmRole.EXECUTOR))
        ]
        self.random_source = random_source
        for vm in vms:
            self.add_upstream(vm)
        self.vm_list = FaultyVmList(vms)

    def add_upstream(self, vm: VmEntry) -> None:
        """Start an empty worker or executor on a VM."""
        source = random.Random(self.random_source.getrandbits(64))
        if vm.role is VmRole.EXECUTOR:
            self.executors[vm.name] = RecordingExecutor(self, vm.name, source)
            return
        self.workers[vm.name] = WorkerState(
            vm.name,
            WORKER_SIZE,
            vm.data_centre,
            vm.rack,
            clock_offset_s=source.uniform(-500, 500),
            usage_lag_s=2.0,
            runs=self.task_runs,
        )

    def retire_worker(self, name: str) -> None:
        """Forget a worker whose VM is gone for good."""
        self.retired[name] = self.workers.pop(name)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """List an executor as leaving or as live again."""
        now = anyio.current_time()
        self.executors[name].faults.leaving = leaving
        if leaving:
            self.vm_list.mark_leaving(name, now)
            return
        for vm in self.vm_list.listings[-1].vms:
            if vm.name == name:
                live = msgspec.structs.replace(vm, state=VmState.LIVE)
                self.vm_list.add(live, now)

    def observe(self) -> None:
        """Follow since when readers of the list are told that executors leave."""
        now = anyio.current_time()
        for name in self.executors:
            if not self.vm_list.is_listed_as_leaving(name, now):
                self.leaving_since.pop(name, None)
            else:
                self.leaving_since.setdefault(name, now)


def make_vm(
    name: str, role: VmRole, data_centre: str, address: str = "10.0.9.9:80"
) -> VmEntry:
    """Return a VM entry with the sizes of its role."""
    is_worker, is_executor = role is VmRole.WORKER, role is VmRole.EXECUTOR
    return VmEntry(
        name=name,
        role=role,
        state=VmState.LIVE,
        address=address,
        region=REGION,
        data_centre=data_centre,
        rack="entry" if role is VmRole.ENTRY else "r1",
        cpu_millis=WORKER_SIZE.cpu_millis if is_worker else 0,
        memory_mb=WORKER_SIZE.memory_mb if is_worker else 0,
        accelerators=WORKER_SIZE.accelerators if is_worker else 0,
        pool=POOL if is_executor else "",
        slots=SLOTS if is_executor else 0,
        connections=CONNECTIONS if is_executor else 0,
    )
