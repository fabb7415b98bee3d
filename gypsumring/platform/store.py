"""HTTP client for the platform's store."""

import base64
import struct
from urllib.parse import urlencode

import anyio
import msgspec

from gypsumring.platform.exceptions import WireError
from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    PAGE_BYTES,
    SMALL_PAGE_BYTES,
    AppendFenced,
    Assignment,
    BacklogTooLarge,
    KeyedRecord,
    LogBatch,
    NewestPage,
    Producer,
    ReadProgress,
    SequenceMismatch,
    StoreRefused,
    StoreUnavailable,
)
from gypsumring.transport import (
    ConnectFailed,
    HttpCall,
    HttpResponse,
    NoResponse,
    RelayedClient,
    ResponseCollector,
)
from gypsumring.transport.relayed import OnReceived
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import Number, Quantity

__all__ = [
    "DESIRED_STATE_KEY",
    "DESIRED_STATE_TOPIC",
    "EXECUTORS_TOPIC",
    "PlatformStore",
    "decode_records",
    "encode_records",
]

DESIRED_STATE_TOPIC = "keyed.op"
DESIRED_STATE_KEY = "config"
EXECUTORS_TOPIC = "keyed.servers"

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
BINARY_CONTENT_TYPE = "application/octet-stream"


class AppendReply(msgspec.Struct, rename="camel"):
    """Reply to an append; after a mismatch, ``seq_no`` is the expected number."""

    offset: Number = 0
    end_offset: Number = 0
    reason: str = ""
    seq_no: Number = 0


class NewestItem(msgspec.Struct):
    """Newest record of a key in a keyed topic; ``value`` is in base64."""

    key: str
    offset: Number
    value: str = ""


class NewestReply(msgspec.Struct, rename="camel"):
    """One page of the newest records of a keyed topic."""

    items: list[NewestItem]
    end_offset: Number
    has_more: bool = False


class OffsetReply(msgspec.Struct, rename="camel"):
    """Reply to a read that starts at a deleted record."""

    first_offset: Number = 0


class JoinReply(msgspec.Struct):
    """Group membership with rows of topic, partition and committed offset.

    The committed offset is not used and has no range.
    """

    generation: Number
    parts: list[tuple[str, Quantity, int]] = []


class OwnersReply(msgspec.Struct):
    """Assignment of partitions: rows of topic, partition, member, committed offset."""

    parts: list[tuple[str, Quantity, str, int]] = []


def encode_records(records: list[tuple[str, bytes]]) -> bytes:
    """Encode records of a keyed topic as frames: length, key length, key, value."""
    parts = []
    for key, value in records:
        name = key.encode()
        parts.append(RECORD_LENGTH.pack(1 + len(name) + len(value)))
        parts.append(bytes([len(name)]))
        parts.append(name)
        parts.append(value)
    return b"".join(parts)


def decode_records(body: bytes, offset: int) -> list[KeyedRecord]:
    """Decode framed records; the first has offset ``offset``. Raise WireError.

    A record whose key cannot be read has an empty key: the records after it count.
    """
    records = []
    position = 0
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise WireError("record shorter than its announced length")
        position += length
        key_end = 1 + content[0] if content else 1
        if key_end > length:
            records.append(KeyedRecord(offset, "", b""))
        else:
            key = content[1:key_end].decode(errors="replace")
            records.append(KeyedRecord(offset, key, content[key_end:]))
        offset += 1
    return records


def decode_reply(response: HttpResponse, reply_type: type):
    """Decode the body of a response; raise StoreUnavailable if it is malformed."""
    try:
        return msgspec.json.decode(response.body, type=reply_type)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(f"malformed reply from the store: {error}") from error


def decode_item(item: NewestItem) -> KeyedRecord:
    """Decode a record; raise StoreUnavailable if its value is not valid base64."""
    try:
        value = base64.b64decode(item.value)
    except ValueError as error:
        raise StoreUnavailable(
            f"value of key {item.key!r} is not valid base64: {error}"
        ) from error
    return KeyedRecord(item.offset, item.key, value)


def check_backlog(response: ResponseCollector, offset: int, max_bytes: int) -> None:
    """Raise BacklogTooLarge by the beginning of the response to a read."""
    if response.parser.get_status_code() != 200:
        return
    declared_bytes = response.headers.get("content-length", "")
    if declared_bytes.isdigit() and int(declared_bytes) <= max_bytes:
        return
    end_offset, _ = READ_HEADER.unpack_from(b"".join(response.parts))
    if end_offset > offset + 1:
        raise BacklogTooLarge(end_offset)


class PlatformStore:
    """HTTP client of the store; implements the port ``Store``."""

    __slots__ = ("client",)

    def __init__(self, client: RelayedClient):
        self.client = client

    async def call(
        self,
        method: str,
        path: str,
        deadline: float,
        query: dict[str, str | int] | None = None,
        body: bytes = b"",
        content_type: str = "application/json",
        waits: bool = False,
        reply_bytes: int = 0,
        on_received: OnReceived | None = None,
        may_relay: bool = True,
    ) -> HttpResponse:
        """Send one request; raise StoreUnavailable or StoreRefused.

        ``waits`` says that the store may delay the response until records arrive, and
        ``reply_bytes`` is the size of a response that may be large. ``on_received`` is
        called after each part of a response that may take longer than the deadline.
        Other nodes relay a call that fails if ``may_relay`` is set.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        call = HttpCall(method, target, body, content_type, waits, reply_bytes)
        try:
            response = await self.client.request(call, deadline, on_received, may_relay)
        except ConnectFailed as error:
            raise StoreRefused(str(error)) from error
        except NoResponse as error:
            raise StoreUnavailable(str(error)) from error
        if response.status in (429, 503, 507):
            raise StoreRefused(f"{path}: status {response.status}")
        return response

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[tuple[str, bytes]],
        producer: Producer | None,
        deadline: float,
    ) -> int:
        """Append keyed records and return the end offset."""
        query: dict[str, str | int] = {"topic": topic, "part": partition}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seqNo"] = producer.sequence
        response = await self.call(
            "POST",
            "/-/log-append",
            deadline,
            query,
            encode_records(records),
            BINARY_CONTENT_TYPE,
        )
        reply = decode_reply(response, AppendReply)
        if response.status == 409:
            if reply.reason == "fenced":
                raise AppendFenced("a producer with a higher epoch has appended")
            raise SequenceMismatch(reply.seq_no)
        if response.status != 200:
            raise StoreUnavailable(f"append answered with status {response.status}")
        return reply.end_offset

    async def newest(
        self,
        topic: str,
        partition: int,
        deadline: float,
        progress: ReadProgress | None = None,
        may_relay: bool = True,
    ) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key and the end offset before the read."""
        page = await self.read_newest_page(
            topic, partition, "", deadline, SMALL_PAGE_BYTES, progress, may_relay
        )
        records, end_offset = page.records, page.end_offset
        while page.next_key is not None:
            page = await self.read_newest_page(
                topic,
                partition,
                page.next_key,
                deadline,
                SMALL_PAGE_BYTES,
                progress,
                may_relay,
            )
            records += page.records
        return records, end_offset

    async def read_newest_page(
        self,
        topic: str,
        partition: int,
        after_key: str,
        deadline: float,
        page_bytes: int = PAGE_BYTES,
        progress: ReadProgress | None = None,
        may_relay: bool = True,
    ) -> NewestPage:
        """Return one page of the newest records, from the keys after one on."""
        query: dict[str, str | int] = {"topic": topic, "part": partition}
        if after_key:
            # In this request, ``dependsOn`` is the last key of the previous page.
            query["dependsOn"] = after_key

        def note_received(response: ResponseCollector) -> None:
            if progress is not None:
                progress.record(response.size)

        response = await self.call(
            "GET",
            "/-/log-newest",
            deadline,
            query,
            reply_bytes=page_bytes,
            on_received=note_received,
            may_relay=may_relay,
        )
        if response.status != 200:
            raise StoreUnavailable(
                f"read of newest records answered with status {response.status}"
            )
        reply = decode_reply(response, NewestReply)
        records = [decode_item(item) for item in reply.items]
        next_key = records[-1].key if reply.has_more and records else None
        return NewestPage(reply.end_offset, records, next_key)

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        deadline: float,
        progress: ReadProgress | None = None,
        max_backlog_bytes: int | None = None,
        may_relay: bool = True,
    ) -> LogBatch:
        """Return records; raise OffsetExpired or BacklogTooLarge."""
        query: dict[str, str | int] = {
            "topic": topic,
            "part": partition,
            "from": offset,
        }
        if wait_s > 0:
            query["waitMs"] = int(wait_s * 1000)

        is_checked = max_backlog_bytes is None

        def note_received(response: ResponseCollector) -> None:
            nonlocal is_checked
            if progress is not None:
                progress.record(response.size)
            if not is_checked and response.size >= READ_HEADER.size:
                is_checked = True
                check_backlog(response, offset, max_backlog_bytes)

        response = await self.call(
            "GET",
            "/-/log-read",
            deadline,
            query,
            waits=wait_s > 0,
            on_received=note_received,
            may_relay=may_relay,
        )
        if response.status == 410:
            reply = decode_reply(response, OffsetReply)
            raise OffsetExpired(topic, reply.first_offset)
        if response.status != 200 or len(response.body) < READ_HEADER.size:
            raise StoreUnavailable(f"invalid reply to a read: status {response.status}")
        end_offset, _ = READ_HEADER.unpack_from(response.body)
        try:
            records = decode_records(response.body[READ_HEADER.size :], offset)
        except WireError as error:
            raise StoreUnavailable(str(error)) from error
        return LogBatch(end_offset, records)

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_s: float,
        generation: int,
        deadline: float,
    ) -> Assignment:
        """Join a group or renew the membership, and acknowledge ``generation``."""
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttlMs": int(ttl_s * 1000),
                "generation": generation,
            }
        )
        response = await self.call("POST", "/-/log-join", deadline, body=body)
        if response.status != 200:
            raise StoreUnavailable(f"join answered with status {response.status}")
        reply = decode_reply(response, JoinReply)
        partitions = frozenset(row[1] for row in reply.parts if row[0] == topic)
        return Assignment(reply.generation, partitions)

    async def leave(self, group: str, member: str, deadline: float) -> None:
        """Leave a group."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self.call("POST", "/-/log-leave", deadline, body=body)

    async def owners(self, group: str, deadline: float) -> dict[int, str]:
        """Return the member to which each assigned partition belongs."""
        response = await self.call(
            "GET", "/-/log-owners", deadline, query={"group": group}
        )
        if response.status != 200:
            raise StoreUnavailable(
                f"query of owners answered with status {response.status}"
            )
        reply = decode_reply(response, OwnersReply)
        return {row[1]: row[2] for row in reply.parts if row[2]}

    async def aclose(self) -> None:
        """Close the connections."""
        with anyio.CancelScope(shield=True):
            await self.client.aclose()
