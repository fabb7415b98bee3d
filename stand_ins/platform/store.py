"""Model of the platform's store: keyed logs, fenced producers and groups."""

import anyio

from gypsumring.ports.exceptions import OffsetExpired
from gypsumring.ports.store import (
    AppendFenced,
    Assignment,
    KeyedRecord,
    LogBatch,
    Producer,
    SequenceMismatch,
)

__all__ = ["StoreModel"]

# Recent appends of a producer whose repeats get the first response again.
MAX_CACHED_APPENDS = 5


class PartitionModel:
    """Records and producers of one partition."""

    __slots__ = ("end", "producers", "records")

    def __init__(self):
        self.records: list[KeyedRecord] = []
        self.end = 0
        self.producers: dict[str, ProducerModel] = {}

    @property
    def first(self) -> int:
        """Return the first retained offset."""
        return self.records[0].offset if self.records else self.end


class ProducerModel:
    """Epoch, last sequence number and cached responses of a producer."""

    __slots__ = ("epoch", "responses", "sequence")

    def __init__(self, epoch: int):
        self.epoch = epoch
        self.sequence: int | None = None
        self.responses: dict[int, int] = {}


class GroupModel:
    """Group that assigns the partitions of a topic to its members."""

    __slots__ = (
        "generation",
        "holders",
        "members",
        "parts",
        "revoking",
        "target_holders",
    )

    def __init__(self, parts: int):
        self.parts = parts
        self.generation = 0
        # Expiry of each membership and the generation that the member acknowledged.
        self.members: dict[str, tuple[float, int]] = {}
        self.target_holders: dict[int, str] = {}
        self.holders: dict[int, str] = {}
        self.revoking: dict[int, int] = {}

    def expire(self, now: float) -> None:
        """Remove members whose membership has expired."""
        expired = [name for name, (until, _) in self.members.items() if until <= now]
        for name in expired:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Remove a member and release its partitions at once."""
        if self.members.pop(name, None) is None:
            return
        for part, holder in list(self.holders.items()):
            if holder == name:
                del self.holders[part]
                self.revoking.pop(part, None)
        self.deal()

    def deal(self, shift: int = 0) -> None:
        """Reassign all partitions round-robin, in a new generation."""
        self.generation += 1
        names = sorted(self.members)
        for part in range(self.parts):
            if not names:
                self.target_holders.pop(part, None)
                continue
            self.target_holders[part] = names[(part + shift) % len(names)]
        self.transfer_partitions()

    def transfer_partitions(self) -> None:
        """Assign free partitions to their target holders and revoke the others.

        A revoked partition moves once its holder has acknowledged the generation.
        """
        for part, name in self.target_holders.items():
            holder = self.holders.get(part)
            if holder == name:
                self.revoking.pop(part, None)
                continue
            if holder is None:
                self.holders[part] = name
                continue
            self.revoking.setdefault(part, self.generation)
            if self.members[holder][1] >= self.revoking[part]:
                del self.revoking[part]
                self.holders[part] = name

    def partitions_usable_by(self, name: str) -> frozenset[int]:
        """Return the partitions that a member may use."""
        return frozenset(
            part
            for part, holder in self.holders.items()
            if holder == name and part not in self.revoking
        )


class StoreModel:
    """Store with all topics and groups; ``calls`` counts the calls by name."""

    __slots__ = ("calls", "changed", "groups", "parts", "partitions")

    def __init__(self, parts: int = 2):
        self.parts = parts
        self.partitions: dict[tuple[str, int], PartitionModel] = {}
        self.groups: dict[str, GroupModel] = {}
        self.calls: dict[str, int] = {}
        self.changed = anyio.Event()

    def partition(self, topic: str, part: int) -> PartitionModel:
        """Return a partition, created on first use."""
        return self.partitions.setdefault((topic, part), PartitionModel())

    def append(
        self,
        topic: str,
        part: int,
        records: list[tuple[str, bytes]],
        producer: Producer | None,
    ) -> int:
        """Append records and return the end offset; repeated appends have no effect.

        Raise AppendFenced or SequenceMismatch.
        """
        self.calls["append"] = self.calls.get("append", 0) + 1
        partition = self.partition(topic, part)
        if producer is None:
            return self.extend(partition, records)
        state = partition.producers.get(producer.name)
        if state is None or producer.epoch > state.epoch:
            state = ProducerModel(producer.epoch)
            partition.producers[producer.name] = state
        elif producer.epoch < state.epoch:
            raise AppendFenced(f"epoch {producer.epoch} < {state.epoch}")
        if producer.sequence in state.responses:
            return state.responses[producer.sequence]
        if state.sequence is not None and producer.sequence != state.sequence + 1:
            raise SequenceMismatch(state.sequence + 1)
        end = self.extend(partition, records)
        state.sequence = producer.sequence
        state.responses[producer.sequence] = end
        state.responses.pop(producer.sequence - MAX_CACHED_APPENDS, None)
        return end

    def extend(
        self, partition: PartitionModel, records: list[tuple[str, bytes]]
    ) -> int:
        """Add records to a partition and return its end offset."""
        for key, value in records:
            partition.records.append(KeyedRecord(partition.end, key, value))
            partition.end += 1
        if records:
            self.changed.set()
            self.changed = anyio.Event()
        return partition.end

    def newest(self, topic: str, part: int) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key with a value, and the end offset."""
        self.calls["newest"] = self.calls.get("newest", 0) + 1
        partition = self.partition(topic, part)
        by_key = {record.key: record for record in partition.records}
        return [record for record in by_key.values() if record.value], partition.end

    def read(self, topic: str, part: int, offset: int) -> LogBatch:
        """Return the records from an offset on; raise OffsetExpired."""
        self.calls["read"] = self.calls.get("read", 0) + 1
        partition = self.partition(topic, part)
        if offset < partition.first:
            raise OffsetExpired(topic, partition.first)
        rows = [record for record in partition.records if record.offset >= offset]
        return LogBatch(partition.end, rows)

    def forget_history(self, topic: str, part: int = 0) -> None:
        """Discard all records but the newest of each key, as an outage may."""
        partition = self.partition(topic, part)
        by_key = {record.key: record for record in partition.records}
        newest_ids = {id(record) for record in by_key.values()}
        partition.records = [
            record for record in partition.records if id(record) in newest_ids
        ]

    def group(self, name: str) -> GroupModel:
        """Return a group, created on first use."""
        return self.groups.setdefault(name, GroupModel(self.parts))

    def join(
        self, group_name: str, member: str, ttl_s: float, generation: int
    ) -> Assignment:
        """Join a group or renew a membership."""
        self.calls["join"] = self.calls.get("join", 0) + 1
        now = anyio.current_time()
        group = self.group(group_name)
        group.expire(now)
        is_new = member not in group.members
        group.members[member] = (now + ttl_s, generation)
        if is_new:
            group.deal()
        group.transfer_partitions()
        return Assignment(group.generation, group.partitions_usable_by(member))

    def leave(self, group_name: str, member: str) -> None:
        """Leave a group."""
        self.group(group_name).remove(member)

    def owners(self, group_name: str) -> dict[int, str]:
        """Return the holder of each partition."""
        group = self.group(group_name)
        group.expire(anyio.current_time())
        return dict(group.holders)
