"""In-process implementations of the ports, on the state of the stand-ins."""

import math
import random
from collections.abc import Callable
from typing import NoReturn

import anyio
import anyio.lowlevel

from gypsumring.messages.work import Resources
from gypsumring.ports import (
    AnswerMismatched,
    AnswerTruncated,
    ExecutorAnswer,
    ExecutorRequest,
    ExecutorStatus,
    ExecutorTimeout,
    ExecutorUnreachable,
    Inventory,
    LogPage,
    LogUnavailable,
    StartReply,
    TaskAction,
    TaskStart,
    UsageReport,
    VmEntry,
    VmListing,
    VmListUnavailable,
    WorkerTimeout,
)
from stand_ins.state import ExecutorState, LogState, VmListState, WorkerState

__all__ = [
    "ONE_WAY_S",
    "MemoryExecutor",
    "MemoryLog",
    "MemoryUpstreams",
    "MemoryVmList",
    "MemoryWorker",
]

# One-way latency between data centres.
ONE_WAY_S = 0.0005


async def travel(one_way_s: float, random_source: random.Random) -> None:
    """Wait for the one-way latency of a message, even if the sender is cancelled."""
    if one_way_s > 0:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(one_way_s * random_source.uniform(0.9, 1.5))
    else:
        await anyio.lowlevel.checkpoint()


class MemoryLog:
    """Log port of one client; faults can cut off a client by its name."""

    def __init__(
        self,
        state: LogState,
        random_source: random.Random,
        client: str = "",
        one_way_s: float = ONE_WAY_S,
    ):
        self.state = state
        self.random_source = random_source
        self.client = client
        self.one_way_s = one_way_s

    async def check_reachable(self, lost_answers: float = 0.0) -> None:
        """Raise LogUnavailable if the log is unreachable or the answer is lost."""
        faults = self.state.faults
        lost = lost_answers > 0 and self.random_source.random() < lost_answers
        if lost or faults.down or self.client in faults.cut_off:
            if faults.silent:
                await raise_after_timeout(LogUnavailable, "the log")
            raise LogUnavailable("the log does not answer")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record; a slow log applies it before or after its delay."""
        await travel(self.one_way_s, self.random_source)
        await self.check_reachable()
        slow_s = self.state.faults.slow_ms / 1000
        applies_after_delay = slow_s > 0 and self.random_source.random() < 0.5
        if applies_after_delay:
            await anyio.sleep(slow_s)
            await self.check_reachable()
        faults = self.state.faults
        if faults.late_effect_ms and self.random_source.random() < faults.lost_answers:
            apply_at = anyio.current_time() + faults.late_effect_ms / 1000
            self.state.append_later(stream, payload, apply_at)
            raise LogUnavailable("the append is delayed")
        offset = self.state.append(stream, payload, anyio.current_time())
        if slow_s and not applies_after_delay:
            await anyio.sleep(slow_s)
        await travel(self.one_way_s, self.random_source)
        await self.check_reachable(self.state.faults.lost_answers)
        return offset

    async def read(
        self, stream: str, start_offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Read records, waiting up to ``wait_ms`` for the first one."""
        await travel(self.one_way_s, self.random_source)
        await self.check_reachable()
        deadline = anyio.current_time() + wait_ms / 1000
        page = self.state.read(stream, start_offset, limit, anyio.current_time())
        while not page.records and anyio.current_time() < deadline:
            with anyio.CancelScope(deadline=deadline):
                await self.state.changed(stream).wait()
            page = self.state.read(stream, start_offset, limit, anyio.current_time())
        if self.state.faults.slow_ms:
            await anyio.sleep(self.state.faults.slow_ms / 1000)
        await travel(self.one_way_s, self.random_source)
        await self.check_reachable()
        return page


class MemoryVmList:
    """VM list port."""

    def __init__(
        self,
        state: VmListState,
        random_source: random.Random,
        one_way_s: float = ONE_WAY_S,
    ):
        self.state = state
        self.random_source = random_source
        self.one_way_s = one_way_s

    async def list_vms(self) -> VmListing:
        """Return the lagging listing."""
        await travel(self.one_way_s * 2, self.random_source)
        if self.state.down:
            raise VmListUnavailable("the VM list does not answer")
        return self.state.listing(anyio.current_time())


async def raise_after_timeout(error: type[Exception], name: str) -> NoReturn:
    """Wait until the caller's deadline cancels the call, or raise after an hour."""
    await anyio.sleep(3_600)
    raise error(f"{name} does not answer")


class MemoryWorker:
    """Port to one worker."""

    def __init__(
        self,
        state: WorkerState,
        random_source: random.Random,
        one_way_s: float = ONE_WAY_S,
        client: str = "",
    ):
        self.state = state
        self.random_source = random_source
        self.one_way_s = one_way_s
        self.client = client

    def is_cut_off(self) -> bool:
        """Return whether calls of this client get no answer."""
        faults = self.state.faults
        return faults.dead or faults.cut_off or self.client in faults.cut_off_from

    async def call(self, deadline: float, apply: Callable[[float], object]) -> object:
        """Apply a call to the state with latency in both directions, until a deadline.

        A delayed call takes effect even if the deadline has passed.
        """
        with anyio.CancelScope(deadline=deadline):
            await travel(self.one_way_s, self.random_source)
            faults = self.state.faults
            if self.is_cut_off():
                await raise_after_timeout(WorkerTimeout, self.state.name)
            applies_at = anyio.current_time() + faults.delayed_ms / 1000
            delayed = self.state.call_later(apply, applies_at)
            if faults.delayed_ms:
                await anyio.sleep_until(applies_at)
            self.state.advance(applies_at)
            if faults.slow_ms:
                await anyio.sleep(faults.slow_ms / 1000)
            if faults.lost_answers and (
                self.random_source.random() < faults.lost_answers
            ):
                await raise_after_timeout(WorkerTimeout, self.state.name)
            await travel(self.one_way_s, self.random_source)
            if delayed.reply is not None and not self.is_cut_off():
                return delayed.reply
        raise WorkerTimeout(f"{self.state.name} did not answer in time")

    async def start(self, starts: list[TaskStart], deadline: float) -> StartReply:
        """Start task attempts."""
        return await self.call(deadline, lambda now: self.state.start(starts, now))

    async def renew(
        self, lease_ms: int, deadline: float, renew_before: float = math.inf
    ) -> Inventory:
        """Renew all task leases."""
        return await self.call(
            deadline, lambda now: self.state.renew(lease_ms, renew_before, now)
        )

    async def inventory(self, deadline: float) -> Inventory:
        """Return all task attempts."""
        return await self.call(deadline, self.state.inventory)

    async def usage(self, deadline: float) -> UsageReport:
        """Return lagging usage."""
        return await self.call(deadline, self.state.usage)

    async def act(self, actions: list[TaskAction], deadline: float) -> Inventory:
        """Apply actions."""
        return await self.call(deadline, lambda now: self.state.act(actions, now))


class MemoryExecutor:
    """Port to one executor; every request uses one connection."""

    def __init__(
        self,
        state: ExecutorState,
        random_source: random.Random,
        one_way_s: float = ONE_WAY_S,
        client: str = "",
    ):
        self.state = state
        self.random_source = random_source
        self.one_way_s = one_way_s
        self.client = client

    def check_reachable(self) -> None:
        """Raise ExecutorUnreachable while connections of this client are refused."""
        faults = self.state.faults
        if faults.dead or self.client in faults.cut_off_from:
            raise ExecutorUnreachable(f"{self.state.name} refuses connections")

    async def send(
        self, request: ExecutorRequest, max_response_bytes: int, deadline: float
    ) -> ExecutorAnswer:
        """Run a request and return its answer, with the active faults applied."""
        with anyio.CancelScope(deadline=deadline):
            answer, cut_off = await self.run_request(request)
            if cut_off or len(answer.body) > max_response_bytes:
                raise AnswerTruncated("the answer was cut off")
            if answer.request_id != request.request_id:
                raise AnswerMismatched("the answer carries another request's id")
            return answer
        raise ExecutorTimeout(f"{self.state.name} did not answer in time")

    async def run_request(
        self, request: ExecutorRequest
    ) -> tuple[ExecutorAnswer, bool]:
        """Run a request; return its answer and whether to truncate the answer."""
        self.check_reachable()
        self.state.connect(anyio.current_time())
        try:
            await travel(self.one_way_s, self.random_source)
            run = self.state.begin(request, anyio.current_time())
            await anyio.sleep_until(run.ends_at)
            answer = self.state.answer(request)
            if self.state.draw_fault(self.state.faults.late):
                await anyio.sleep(self.state.faults.late_ms / 1000)
            await travel(self.one_way_s, self.random_source)
            if self.state.faults.dead:
                await raise_after_timeout(ExecutorTimeout, self.state.name)
            return answer, self.state.draw_fault(self.state.faults.cut_off)
        finally:
            self.state.disconnect()

    async def status(self, deadline: float) -> ExecutorStatus:
        """Return the requests in flight."""
        self.check_reachable()
        with anyio.CancelScope(deadline=deadline):
            await travel(self.one_way_s * 2, self.random_source)
            return self.state.status(anyio.current_time())
        raise ExecutorTimeout(f"{self.state.name} did not answer in time")


class MemoryUpstreams:
    """Factory of in-memory clients of workers and executors, by VM name.

    ``client`` is the name of the calling node, by which faults can cut it off. A VM
    without a state behaves like a dead VM, since the VM list may still contain it.
    """

    def __init__(
        self,
        workers: dict[str, WorkerState],
        executors: dict[str, ExecutorState],
        random_source: random.Random,
        one_way_s: float = ONE_WAY_S,
        client: str = "",
    ):
        self.workers = workers
        self.executors = executors
        self.random_source = random_source
        self.one_way_s = one_way_s
        self.client = client

    def worker(self, vm: VmEntry) -> MemoryWorker:
        """Return a client of the worker on this VM."""
        state = self.workers.get(vm.name)
        if state is None:
            state = WorkerState(vm.name, Resources())
            state.faults.dead = True
        return MemoryWorker(state, self.random_source, self.one_way_s, self.client)

    def executor(self, vm: VmEntry) -> MemoryExecutor:
        """Return a client of the executor on this VM."""
        state = self.executors.get(vm.name)
        if state is None:
            state = ExecutorState(vm.name, self.random_source)
            state.faults.dead = True
        return MemoryExecutor(state, self.random_source, self.one_way_s, self.client)
