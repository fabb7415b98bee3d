"""Stand-in of the platform's store, as PROTOCOL describes it."""

import asyncio
import base64
import json
import struct
import time

from lib.http import Reply, Request, Server

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
PARTS = 8
# From the settings of the small sites.
ANSWER_S = 0.004
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
CACHED_APPENDS = 5


class Partition:
    """Records of one partition: key (None in plain topics) and value."""

    __slots__ = ("lock", "producers", "records")

    def __init__(self):
        self.records: list[tuple[str, bytes, bytes]] = []
        # Epoch, last sequence number and recent replies of each producer.
        self.producers: dict[str, list] = {}
        self.lock = asyncio.Lock()


class Group:
    """Members and the partitions that they hold."""

    __slots__ = ("generation", "holders", "members", "revoking")

    def __init__(self):
        self.generation = 0
        # End of the membership and generation acknowledged, by member.
        self.members: dict[str, tuple[float, int]] = {}
        self.holders: dict[tuple[str, int], str] = {}
        # Next holder and generation that the present holder has to acknowledge.
        self.revoking: dict[tuple[str, int], tuple[str, int]] = {}

    def expire(self) -> None:
        """Remove the members whose time has passed."""
        now = time.monotonic()
        for name in [name for name, row in self.members.items() if row[0] <= now]:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Remove a member; its partitions go to the others at once."""
        if self.members.pop(name, None) is None:
            return
        self.holders = {part: who for part, who in self.holders.items() if who != name}
        self.revoking = {
            part: row
            for part, row in self.revoking.items()
            if part in self.holders and row[0] != name
        }
        self.deal()

    def deal(self) -> None:
        """Distribute the partitions evenly, moving as few as possible."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            return
        target = {part: self.revoking.get(part, (who,))[0] for part, who in self.held()}
        counts = {name: 0 for name in names}
        for who in target.values():
            counts[who] += 1
        for part in self.list_parts():
            if part not in target:
                name = min(names, key=lambda each: (counts[each], each))
                target[part] = name
                counts[name] += 1
        while True:
            low = min(names, key=lambda each: (counts[each], each))
            high = max(names, key=lambda each: (counts[each], each))
            if counts[high] - counts[low] < 2:
                break
            part = min(part for part, who in target.items() if who == high)
            target[part] = low
            counts[high] -= 1
            counts[low] += 1
        for part, who in target.items():
            holder = self.holders.get(part)
            if holder is None:
                self.holders[part] = who
            elif holder == who:
                self.revoking.pop(part, None)
            elif self.revoking.get(part, ("",))[0] != who:
                self.revoking[part] = (who, self.generation)

    def held(self) -> list[tuple[tuple[str, int], str]]:
        """Return the partitions that have a holder."""
        return list(self.holders.items())

    def list_parts(self) -> list[tuple[str, int]]:
        """Return all partitions of the group's topic."""
        return [("keyed.cells", number) for number in range(PARTS)]

    def join(self, name: str, ttl_s: float, generation: int) -> list[list]:
        """Renew a membership and return the rows of the partitions held."""
        self.expire()
        is_new = name not in self.members
        self.members[name] = (time.monotonic() + ttl_s, generation)
        if is_new:
            self.deal()
        for part, (who, since) in list(self.revoking.items()):
            if self.holders[part] == name and generation >= since:
                self.holders[part] = who
                del self.revoking[part]
        return [
            [part[0], part[1], 0]
            for part, who in sorted(self.holders.items())
            if who == name and part not in self.revoking
        ]


class Store:
    """Log, keyed topics and groups; ``on_read`` is called for each read of a topic."""

    __slots__ = ("changed", "groups", "note", "partitions", "server")

    def __init__(self, note):
        self.note = note
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.groups: dict[str, Group] = {}
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def partition(self, topic: str, part: int) -> Partition:
        """Return a partition, created on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record of the operator or of an executor."""
        self.extend(self.partition(topic, 0), [(key, value, frame(key, value))])

    def extend(self, partition: Partition, records: list) -> None:
        """Append records and wake the readers that wait."""
        partition.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic: str, part: int) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key that has one."""
        found = {}
        for offset, (key, value, _) in enumerate(self.partition(topic, part).records):
            found[key] = (offset, value)
        return {key: row for key, row in found.items() if row[1]}

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S)
        match request.path:
            case "/-/log-append":
                return await self.append(request)
            case "/-/log-newest":
                return self.answer_newest(request)
            case "/-/log-read":
                return await self.read(request)
            case "/-/log-owners":
                group = self.groups.setdefault(request.query["group"], Group())
                group.expire()
                rows = [[*part, who, 0] for part, who in sorted(group.holders.items())]
                return 200, {"parts": rows}
            case "/-/log-join":
                body = request.json()
                group = self.groups.setdefault(body["group"], Group())
                ttl_s = max(1.0, body["ttlMs"] / 1000)
                rows = group.join(body["member"], ttl_s, body["generation"])
                return 200, {"generation": group.generation, "parts": rows}
            case "/-/log-leave":
                body = request.json()
                self.groups.setdefault(body["group"], Group()).remove(body["member"])
                return 200, {}
        return 404, {}

    async def append(self, request: Request) -> Reply:
        """Append keyed records, all or nothing."""
        query = request.query
        records = []
        position = 0
        body = request.body
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            if length > RECORD_BYTES:
                self.note(f"store refuses a record of {length} bytes: 400")
                return 400, {"reason": "recordBytes"}
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            records.append((key, content[key_end:], LENGTH.pack(length) + content))
        if len(body) > REQUEST_BYTES:
            return 400, {"reason": "requestBytes"}
        partition = self.partition(query["topic"], int(query["part"]))
        async with partition.lock:
            await asyncio.sleep(0)
            if "producer" not in query:
                self.extend(partition, records)
                return 200, {"offset": 0, "endOffset": len(partition.records)}
            name = query["producer"]
            epoch, number = int(query["epoch"]), int(query["seqNo"])
            state = partition.producers.get(name)
            if state is not None and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state is None or epoch > state[0]:
                state = partition.producers[name] = [epoch, None, {}]
            if number in state[2]:
                return 200, state[2][number]
            if state[1] is not None and number != state[1] + 1:
                return 409, {"reason": "seq", "seqNo": state[1] + 1}
            offset = len(partition.records)
            self.extend(partition, records)
            reply = {"offset": offset, "endOffset": len(partition.records)}
            state[1] = number
            state[2][number] = reply
            state[2].pop(number - CACHED_APPENDS, None)
            return 200, reply

    def answer_newest(self, request: Request) -> Reply:
        """Return one page of the newest records."""
        topic, part = request.query["topic"], int(request.query["part"])
        after = request.query.get("dependsOn", "")
        rows = sorted(self.newest(topic, part).items())
        rows = [row for row in rows if row[0] > after]
        items: list[dict] = []
        size = 0
        for key, (offset, value) in rows[:PAGE_ITEMS]:
            text = base64.b64encode(value).decode()
            size += len(text)
            if items and size > PAGE_BYTES:
                break
            items.append({"key": key, "value": text, "offset": offset})
        end = len(self.partition(topic, part).records)
        has_more = len(items) < len(rows)
        return 200, {"items": items, "hasMore": has_more, "endOffset": end}

    async def read(self, request: Request) -> Reply:
        """Return the records from an offset on, once there is one."""
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(partition.records) <= offset and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                break
        head = READ_HEAD.pack(len(partition.records), 0)
        return 200, head + b"".join(row[2] for row in partition.records[offset:])


def frame(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic as ``log-read`` returns it."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


def encode(value: dict) -> bytes:
    """Encode a body."""
    return json.dumps(value).encode()
