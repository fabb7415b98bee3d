"""ASGI apps that serve the in-memory stand-ins.

Every app has control paths: ``POST /stand-in/faults`` sets the faults given in a JSON
object, and ``GET /stand-in/record`` returns the data that the stand-in recorded.
``GET /stand-in/runs`` lists the labels of all requests that ran, or the ids of all
tasks, on any executor or worker of the process.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import anyio
import msgspec

from gypsumring.adapters.executor import REQUEST_ID_HEADER, SERVICE_HEADER, STATUS_PATH
from gypsumring.adapters.http import MSGPACK_TYPE
from gypsumring.adapters.log import NODE_HEADER
from gypsumring.exceptions import PortError
from gypsumring.ports import (
    ExecutorRequest,
    LogUnavailable,
    OffsetExpired,
    TaskAction,
    TaskStart,
    VmEntry,
    VmListUnavailable,
)
from stand_ins.memory import MemoryExecutor, MemoryLog, MemoryVmList, MemoryWorker
from stand_ins.state import ExecutorState, LogState, VmListState, WorkerState

__all__ = ["ExecutorApp", "LogApp", "VmListApp", "WorkerApp"]

MAX_BODY_BYTES = 16 * 1024 * 1024
NO_ANSWER_S = 3_600.0


class Request(msgspec.Struct):
    """HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


class Response(msgspec.Struct):
    """HTTP response; ``cut_off`` truncates the body to its first half."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    cut_off: bool = False


def respond_json(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    headers = (("content-type", "application/json"),)
    return Response(status, msgspec.json.encode(value), headers)


def respond_msgpack(value: object) -> Response:
    """Return a msgpack response."""
    headers = (("content-type", MSGPACK_TYPE),)
    return Response(200, msgspec.msgpack.encode(value), headers)


async def wait_for_disconnect() -> Response:
    """Wait until the client disconnects, which cancels the handler."""
    await anyio.sleep(NO_ANSWER_S)
    return Response(504, b"")


async def read_body(receive: Callable[[], Awaitable[dict]]) -> bytes | None:
    """Return the request body, or None if it is too large or the client left."""
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        body += event.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            return None
        if not event.get("more_body"):
            return bytes(body)


async def send_response(send: Callable, response: Response) -> None:
    """Send a response with its Content-Length."""
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": [
                *(
                    (name.encode(), value.encode("latin-1"))
                    for name, value in response.headers
                ),
                (b"content-length", str(len(response.body)).encode()),
            ],
        }
    )
    body = response.body
    if response.cut_off:
        body = body[: len(body) // 2]
    event = {"type": "http.response.body", "body": body}
    # The server closes the connection if the final body event is missing.
    await send({**event, "more_body": response.cut_off})


class StandInApp:
    """Base of the stand-ins' apps.

    It serves the control paths; subclasses serve the other paths in ``handle``.
    """

    def __init__(self, state: Any):
        self.state = state

    async def handle(self, request: Request) -> Response:
        """Answer a request of the platform's protocol."""
        raise NotImplementedError

    def record(self) -> dict[str, object]:
        """Return the data that the stand-in recorded."""
        raise NotImplementedError

    def list_runs(self) -> list[str]:
        """Return the labels or ids of the requests or tasks that ran."""
        return []

    def control(self, request: Request) -> Response:
        """Answer a request to a control path."""
        match (request.method, request.path):
            case ("GET", "/stand-in/record"):
                return respond_json(self.record())
            case ("GET", "/stand-in/runs"):
                return respond_json(self.list_runs())
            case ("POST", "/stand-in/faults"):
                faults = self.state.faults
                values = msgspec.to_builtins(faults)
                values.update(msgspec.json.decode(request.body, type=dict))
                changed = msgspec.convert(values, type(faults))
                self.state.faults = changed
                return respond_json(changed)
        return respond_json({"error": "not found"}, 404)

    async def __call__(
        self, scope: dict, receive: Callable[[], Awaitable[dict]], send: Callable
    ) -> None:
        """Serve the ASGI protocol."""
        if scope["type"] == "lifespan":
            while True:
                event = await receive()
                await send({"type": event["type"] + ".complete"})
                if event["type"] == "lifespan.shutdown":
                    return
        body = await read_body(receive)
        if body is None:
            await send_response(send, respond_json({"error": "body too large"}, 413))
            return
        query = parse_qs(scope["query_string"].decode())
        request = Request(
            scope["method"],
            unquote(scope["raw_path"].split(b"?")[0].decode()),
            {name: values[0] for name, values in query.items()},
            tuple(
                (name.decode().lower(), value.decode("latin-1"))
                for name, value in scope["headers"]
            ),
            body,
        )
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            await send_response(send, await self.respond(request))
            tasks.cancel_scope.cancel()

    async def respond(self, request: Request) -> Response:
        """Answer a request, with status 400 for an invalid one."""
        try:
            is_caller_request = request.header(REQUEST_ID_HEADER)
            if request.path.startswith("/stand-in/") and not is_caller_request:
                return self.control(request)
            return await self.handle(request)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return respond_json({"error": str(error)}, 400)


class LogApp(StandInApp):
    """ASGI app of the log."""

    def __init__(self, state: LogState, random_source: random.Random):
        super().__init__(state)
        self.random_source = random_source

    def record(self) -> dict[str, object]:
        """Return the numbers of appends and the end offsets."""
        return {
            "appends": self.state.append_count,
            "throttled": self.state.throttled_count,
            "end_offsets": self.state.end_offsets,
        }

    async def handle(self, request: Request) -> Response:
        """Append to or read from a stream."""
        prefix, _, stream = request.path.lstrip("/").partition("/")
        if prefix != "streams" or not stream:
            return respond_json({"error": "not found"}, 404)
        log = MemoryLog(
            self.state, self.random_source, request.header(NODE_HEADER), one_way_s=0
        )
        try:
            if request.method == "POST":
                return respond_json({"offset": await log.append(stream, request.body)})
            page = await log.read(
                stream,
                int(request.query["start"]),
                int(request.query["limit"]),
                int(request.query["wait_ms"]),
            )
            return respond_msgpack(page)
        except OffsetExpired as error:
            return respond_json({"first_offset": error.first_offset}, 410)
        except LogUnavailable as error:
            return respond_json({"error": str(error)}, 503)


class VmListChange(msgspec.Struct, forbid_unknown_fields=True):
    """Changes to the VM list.

    ``add`` is a new entry, ``leaving`` and ``remove`` are names of VMs, and ``down``
    makes the list unavailable.
    """

    add: VmEntry | None = None
    leaving: str = ""
    remove: str = ""
    down: bool | None = None


class VmListApp(StandInApp):
    """ASGI app of the VM list; ``POST /stand-in/vms`` applies a VmListChange."""

    def __init__(self, state: VmListState, random_source: random.Random):
        super().__init__(state)
        self.vm_list = MemoryVmList(state, random_source, one_way_s=0)

    def record(self) -> dict[str, object]:
        """Return the newest listing, before the lag has passed."""
        return msgspec.to_builtins(self.state.listings[-1])

    def control(self, request: Request) -> Response:
        """Apply a change to the list."""
        if (request.method, request.path) != ("POST", "/stand-in/vms"):
            return super().control(request)
        change = msgspec.json.decode(request.body, type=VmListChange)
        now = anyio.current_time()
        if change.add is not None:
            self.state.add(change.add, now)
        if change.leaving:
            self.state.mark_leaving(change.leaving, now)
        if change.remove:
            self.state.remove(change.remove, now)
        if change.down is not None:
            self.state.down = change.down
        return respond_json(self.record())

    async def handle(self, request: Request) -> Response:
        """Return the lagging listing."""
        if (request.method, request.path) != ("GET", "/vms"):
            return respond_json({"error": "not found"}, 404)
        try:
            listing = await self.vm_list.list_vms()
        except VmListUnavailable as error:
            return respond_json({"error": str(error)}, 503)
        headers = (("etag", f'"{listing.version}"'),)
        if request.header("if-none-match") == headers[0][1]:
            return Response(304, b"", headers)
        response = respond_json(listing)
        response.headers += headers
        return response


class WorkerApp(StandInApp):
    """ASGI app of one worker.

    ``POST /stand-in/kill`` and ``/stand-in/revive`` crash and restart its VM.
    """

    def __init__(self, state: WorkerState, random_source: random.Random):
        super().__init__(state)
        self.worker = MemoryWorker(state, random_source, one_way_s=0)

    def record(self) -> dict[str, object]:
        """Return overcommits, and double runs on all workers of the process."""
        now = anyio.current_time()
        self.state.advance(now)
        return {
            "overcommits": self.state.overcommits,
            "double_runs": self.state.runs.double_runs,
            "repeated_attempts": self.state.runs.repeated_attempts,
            "starts": self.state.start_count,
            "too_late": self.state.too_late_count,
            "active": [f"{task}#{attempt}" for task, attempt in self.state.active],
        }

    def list_runs(self) -> list[str]:
        """Return the ids of the tasks that ran."""
        return sorted(self.state.runs.by_task)

    def control(self, request: Request) -> Response:
        """Crash or restart the VM."""
        match (request.method, request.path):
            case ("POST", "/stand-in/kill"):
                self.state.kill(anyio.current_time())
            case ("POST", "/stand-in/revive"):
                self.state.revive()
            case _:
                return super().control(request)
        return respond_json(self.record())

    async def handle(self, request: Request) -> Response:
        """Answer a call of the worker port."""
        deadline = anyio.current_time() + NO_ANSWER_S
        decode = msgspec.msgpack.decode
        try:
            match (request.method, request.path):
                case ("POST", "/start"):
                    starts = decode(request.body, type=list[TaskStart])
                    reply = await self.worker.start(starts, deadline)
                case ("POST", "/renew"):
                    lease_ms, renew_before = decode(
                        request.body, type=tuple[int, float]
                    )
                    reply = await self.worker.renew(lease_ms, deadline, renew_before)
                case ("POST", "/act"):
                    actions = decode(request.body, type=list[TaskAction])
                    reply = await self.worker.act(actions, deadline)
                case ("GET", "/inventory"):
                    reply = await self.worker.inventory(deadline)
                case ("GET", "/usage"):
                    reply = await self.worker.usage(deadline)
                case _:
                    return respond_json({"error": "not found"}, 404)
        except PortError:
            return await wait_for_disconnect()
        return respond_msgpack(reply)


class ExecutorApp(StandInApp):
    """ASGI app of one executor; all other paths are requests of callers."""

    def __init__(self, state: ExecutorState, random_source: random.Random):
        super().__init__(state)
        self.random_source = random_source

    def record(self) -> dict[str, object]:
        """Return overcommits, and repeated runs on all executors of the process."""
        return {
            "runs": self.state.run_count,
            "slot_overcommits": self.state.slot_overcommits,
            "connection_overcommits": self.state.connection_overcommits,
            "late_starts": [run.request_id for run in self.state.late_starts],
            "repeated_requests": self.state.repeated(self.state.runs_by_request),
            "repeated_keys": self.state.repeated(self.state.runs_by_key),
        }

    def list_runs(self) -> list[str]:
        """Return the labels of the requests that ran."""
        by_request = self.state.runs_by_request
        return [run.label for runs in by_request.values() for run in runs if run.label]

    async def handle(self, request: Request) -> Response:
        """Run a request, or return the executor's status."""
        executor = MemoryExecutor(self.state, self.random_source, one_way_s=0)
        deadline = anyio.current_time() + NO_ANSWER_S
        try:
            if request.path == STATUS_PATH and not request.header(REQUEST_ID_HEADER):
                return respond_json(await executor.status(deadline))
            answer, cut_off = await executor.run_request(
                ExecutorRequest(
                    request_id=request.header(REQUEST_ID_HEADER),
                    service=request.header(SERVICE_HEADER),
                    method=request.method,
                    path=request.path,
                    headers=request.headers,
                    body=request.body,
                )
            )
        except PortError:
            return await wait_for_disconnect()
        headers = (*answer.headers, (REQUEST_ID_HEADER, answer.request_id))
        return Response(answer.status, answer.body, headers, cut_off)
