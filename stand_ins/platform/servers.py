"""ASGI apps that serve the platform models in the platform's wire format."""

import base64
import json
import struct
from typing import Any
from urllib.parse import parse_qs

import anyio

from gypsumring.platform.store import decode_records
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    AppendFenced,
    Producer,
    SequenceMismatch,
)
from gypsumring.ports.tasks import ExecutorGone, FenceRefused, StartRefused, TaskStart
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.store import StoreModel

__all__ = ["ExecutorApp", "PolicyApp", "StoreApp"]

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
JSON_TYPE = [(b"content-type", b"application/json")]


async def read_body(receive: Any) -> bytes:
    """Return the complete body of a request."""
    body = b""
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            return body


async def respond(send: Any, status: int, body: bytes) -> None:
    """Send a complete response."""
    headers = [*JSON_TYPE, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


class StoreApp:
    """ASGI app of a store model; ``status`` other than 200 refuses all calls.

    Pages of the newest records are so small by default that clients have to page.
    """

    __slots__ = ("model", "page_records", "status")

    def __init__(self, model: StoreModel, page_records: int = 2):
        self.model = model
        self.page_records = page_records
        self.status = 200

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one call."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        if self.status != 200:
            await respond(send, self.status, b"{}")
            return
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        status, reply = await self.handle(scope["path"], query, body)
        if not isinstance(reply, bytes):
            reply = json.dumps(reply).encode()
        await respond(send, status, reply)

    async def handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Return the status and the body of the response."""
        match path:
            case "/-/log-append":
                return self.append(query, body)
            case "/-/log-newest":
                return self.newest(query)
            case "/-/log-read":
                return await self.read(query)
            case "/-/log-owners":
                rows = self.model.owners(query["group"]).items()
                return 200, {"parts": [["cells", part, name, 0] for part, name in rows]}
        content = json.loads(body)
        if path == "/-/log-leave":
            self.model.leave(content["group"], content["member"])
            return 200, {}
        ttl_s = content["ttlMs"] / 1000
        assignment = self.model.join(
            content["group"], content["member"], ttl_s, content["generation"]
        )
        topic = content["topics"][0]
        rows = [[topic, part, 0] for part in sorted(assignment.partitions)]
        return 200, {"generation": assignment.generation, "parts": rows}

    def append(self, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        """Append the records of the body to a partition."""
        records = [(record.key, record.value) for record in decode_records(body, 0)]
        producer = None
        if "producer" in query:
            producer = Producer(
                query["producer"], int(query["epoch"]), int(query["seqNo"])
            )
        try:
            end = self.model.append(
                query["topic"], int(query["part"]), records, producer
            )
        except AppendFenced:
            return 409, {"reason": "fenced"}
        except SequenceMismatch as error:
            return 409, {"reason": "seq", "seqNo": error.expected}
        return 200, {"offset": end - len(records), "endOffset": end}

    def newest(self, query: dict[str, str]) -> tuple[int, Any]:
        """Return one page of the newest records."""
        records, end = self.model.newest(query["topic"], int(query["part"]))
        records.sort(key=lambda record: record.key)
        rest = [record for record in records if record.key > query.get("dependsOn", "")]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in rest[: self.page_records]
        ]
        has_more = len(rest) > len(items)
        return 200, {"items": items, "hasMore": has_more, "endOffset": end}

    async def read(self, query: dict[str, str]) -> tuple[int, Any]:
        """Return the records from an offset on, waiting up to ``waitMs`` for one."""
        topic, part, offset = query["topic"], int(query["part"]), int(query["from"])
        with anyio.move_on_after(int(query.get("waitMs", 0)) / 1000):
            try:
                while not self.model.read(topic, part, offset).records:
                    await self.model.changed.wait()
            except OffsetExpired as error:
                return 410, {"firstOffset": error.first_offset}
        batch = self.model.read(topic, part, offset)
        parts = [READ_HEAD.pack(batch.end_offset, 0)]
        for record in batch.records:
            name = record.key.encode()
            content = bytes([len(name)]) + name + record.value
            parts.append(LENGTH.pack(len(content)) + content)
        return 200, b"".join(parts)


class ExecutorApp:
    """ASGI app of an executor model."""

    __slots__ = ("model",)

    def __init__(self, model: ExecutorModel):
        self.model = model

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one order."""
        if scope["type"] != "http":
            return
        order = json.loads(await read_body(receive))
        target = dict(scope["headers"]).get(b"target-instance", b"").decode()
        if target != self.model.executor_id:
            await respond(send, 421, b"{}")
            return
        try:
            reply = await self.handle(scope["path"], order)
            status = 200
        except FenceRefused:
            status, reply = 409, {"reason": "fence"}
        except StartRefused as error:
            status, reply = 409, {"reason": error.reason}
        except ExecutorGone:
            status, reply = 503, {}
        reply["clockMs"] = self.model.clock_ms
        await respond(send, status, json.dumps(reply).encode())

    async def handle(self, path: str, order: dict[str, Any]) -> dict[str, Any]:
        """Carry out one order and return the body of the response."""
        fence = order.get("fencingToken", 0)
        if path == "/-/run-start":
            start = TaskStart(
                order["task"],
                order["attempt"],
                order["spec"],
                order["deadlineMs"],
                order.get("checkpoint", ""),
                order.get("ticket", ""),
            )
            self.model.start(start, fence)
            return {}
        if path == "/-/run-stop":
            self.model.stop(order["task"], order["attempt"], fence)
            return {}
        if path == "/-/pace":
            self.model.pace(order["task"], order["percent"], fence)
            return {}
        self.model.hold(fence, order["lastSeen"], order.get("deadlineMs"))
        until = anyio.current_time() + order.get("waitMs", 0) / 1000
        while not self.model.ended and anyio.current_time() < until:
            pause = min(self.model.next_change_s(), until - anyio.current_time())
            with anyio.move_on_after(max(0.001, pause)):
                await self.model.changed.wait()
            self.model.advance()
        return self.encode_lists()

    def encode_lists(self) -> dict[str, Any]:
        """Return the task lists in the wire format."""
        lists = self.model.lists()
        running = [
            [run.task, run.attempt, run.checkpoint, int(run.percent), int(run.load)]
            for run in lists.running
        ]
        ended = [
            [end.number, end.task, end.attempt, end.how, end.checkpoint]
            for end in lists.ended
        ]
        return {"running": running, "ended": ended, "born": lists.born_ms}


class PolicyApp:
    """ASGI app of a policy model."""

    __slots__ = ("model",)

    def __init__(self, model: PolicyModel):
        self.model = model

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one policy query."""
        if scope["type"] != "http":
            return
        body = json.loads(await read_body(receive))
        rows = await self.model.advise(body["step"], body["workers"])
        await respond(send, 200, json.dumps({"allowed": rows}).encode())
