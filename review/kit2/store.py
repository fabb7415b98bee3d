"""Stand-in of the platform's store: keyed logs, fenced producers and groups."""

import asyncio
import base64
import struct

from http_server import HttpServer, now_s

ANSWER_S = 0.004
PAGE_ITEMS = 500
MAX_REPEATS = 5


class Partition:
    """Records of one partition and its producers."""

    def __init__(self):
        self.records = []
        # Producer: epoch, last sequence number, answers by sequence number.
        self.producers = {}
        self.lock = asyncio.Lock()


class Group:
    """Group that deals partitions to its members; holders keep what they can."""

    def __init__(self, parts):
        self.parts = parts
        self.generation = 0
        # Member: end of its membership, newest generation that it has named.
        self.members = {}
        self.holders = {}
        # Partition: next holder and the generation that the holder has to name.
        self.moving = {}

    def expire(self):
        """Remove the members that have sent nothing for their time."""
        for name in [n for n, row in self.members.items() if row[0] <= now_s()]:
            self.remove(name)

    def remove(self, name):
        """Remove a member; its partitions are free at once."""
        if self.members.pop(name, None) is None:
            return
        for part in [p for p, holder in self.holders.items() if holder == name]:
            del self.holders[part]
            self.moving.pop(part, None)
        self.deal()

    def join(self, name, ttl_s, generation):
        """Add or keep a member; return the generation and its partitions."""
        self.expire()
        is_new = name not in self.members
        self.members[name] = (now_s() + ttl_s, generation)
        if is_new:
            self.deal()
        for part, (target, needed) in list(self.moving.items()):
            if self.holders[part] == name and generation >= needed:
                del self.moving[part]
                self.holders[part] = target
        held = [
            part
            for part, holder in sorted(self.holders.items())
            if holder == name and part not in self.moving
        ]
        return self.generation, held

    def deal(self):
        """Deal the partitions evenly in a new generation."""
        self.generation += 1
        self.moving = {p: m for p, m in self.moving.items() if m[0] in self.members}
        if not self.members:
            return
        counts = dict.fromkeys(sorted(self.members), 0)
        final = {}
        for part in range(self.parts):
            holder = self.moving.get(part, (self.holders.get(part),))[0]
            if holder is not None:
                final[part] = holder
                counts[holder] += 1
        for part in range(self.parts):
            if part not in final:
                final[part] = min(counts, key=counts.get)
                counts[final[part]] += 1
        while max(counts.values()) - min(counts.values()) > 1:
            source, target = max(counts, key=counts.get), min(counts, key=counts.get)
            part = min(p for p, holder in final.items() if holder == source)
            final[part] = target
            counts[source] -= 1
            counts[target] += 1
        for part, target in final.items():
            holder = self.holders.get(part)
            if holder is None:
                self.holders[part] = target
            elif holder != target:
                self.moving[part] = (target, self.generation)
            else:
                self.moving.pop(part, None)


class Store:
    """Store of the platform on one address."""

    def __init__(self, parts=8):
        self.parts = parts
        self.partitions = {}
        self.groups = {}
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        # Values of the newest version of each key of ``keyed.status``.
        self.calls = 0

    def partition(self, topic, part):
        """Return a partition, which is created on first use."""
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Append one record on behalf of the platform or the operator."""
        self.extend(self.partition(topic, 0), [(key, value)])

    def extend(self, partition, records):
        """Append records and wake the readers."""
        partition.records += records
        self.changed.set()
        self.changed = asyncio.Event()

    def holder_of_cell(self):
        """Return the name of the member that holds the last partition, or None."""
        group = self.groups.get("cells")
        return None if group is None else group.holders.get(self.parts - 1)

    async def handle(self, request):
        """Answer one call."""
        self.calls += 1
        path = request.path
        if path == "/-/log-append":
            partition = self.partition(request.query["topic"], request.query["part"])
            async with partition.lock:
                await asyncio.sleep(ANSWER_S)
                return self.append(partition, request)
        await asyncio.sleep(ANSWER_S)
        if path == "/-/log-newest":
            return self.newest(request.query)
        if path == "/-/log-read":
            return await self.read(request.query)
        if path == "/-/log-owners":
            group = self.groups.setdefault(request.query["group"], Group(self.parts))
            group.expire()
            rows = [["keyed.cells", p, m, 0] for p, m in sorted(group.holders.items())]
            return 200, {"parts": rows}
        content = request.json()
        group = self.groups.setdefault(content["group"], Group(self.parts))
        if path == "/-/log-leave":
            group.remove(content["member"])
            return 200, {}
        if path == "/-/log-join":
            generation, held = group.join(
                content["member"], content["ttlMs"] / 1000, content["generation"]
            )
            topic = content["topics"][0]
            return 200, {
                "generation": generation,
                "parts": [[topic, part, 0] for part in held],
            }
        return 404, {}

    def append(self, partition, request):
        """Append the records of a body under the rules for producers."""
        query = request.query
        records = decode(request.body)
        offset = len(partition.records)
        if "at" in query and int(query["at"]) != offset:
            return 412, {"endOffset": offset}
        if "producer" in query:
            epoch, number = int(query["epoch"]), int(query["seqNo"])
            row = partition.producers.get(query["producer"])
            if row is not None and epoch < row[0]:
                return 409, {"reason": "fenced"}
            if row is None or epoch > row[0]:
                row = partition.producers[query["producer"]] = [epoch, None, {}]
            if number in row[2]:
                return 200, row[2][number]
            if row[1] is not None and number != row[1] + 1:
                return 409, {"reason": "seq", "seqNo": row[1] + 1}
            row[1] = number
            row[2][number] = {"offset": offset, "endOffset": offset + len(records)}
            row[2].pop(number - MAX_REPEATS, None)
        if records:
            self.extend(partition, records)
        return 200, {"offset": offset, "endOffset": offset + len(records)}

    def newest(self, query):
        """Return one page of the newest record of each key."""
        partition = self.partition(query["topic"], query["part"])
        by_key = {}
        for offset, (key, value) in enumerate(partition.records):
            by_key[key] = (offset, value)
        after = query.get("dependsOn", "")
        keys = sorted(k for k, row in by_key.items() if row[1] and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(by_key[key][1]).decode(),
                "offset": by_key[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        return 200, {
            "items": items,
            "hasMore": len(keys) > PAGE_ITEMS,
            "endOffset": len(partition.records),
        }

    async def read(self, query):
        """Return the records from an offset on, once there is one."""
        partition = self.partition(query["topic"], query["part"])
        first = int(query["from"])
        until = now_s() + int(query.get("waitMs", "0")) / 1000
        while len(partition.records) <= first and (left := until - now_s()) > 0:
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                break
        parts = [struct.pack(">QQ", len(partition.records), 0)]
        size = 0
        for key, value in partition.records[first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            size += len(content)
            if size > 1_000_000:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)


def decode(body):
    """Return the keys and values of framed records."""
    records, position = [], 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:]))
        position += 4 + length
    return records
