"""Snapshots of a stream's state, stored in parts as records of the same stream."""

from collections.abc import Callable
from typing import Any

import anyio

from gypsumring.messages.records import (
    ConfigSnapshot,
    ControlSnapshot,
    LedgerSnapshot,
    Record,
)
from gypsumring.metrics import Metrics, RetryReason
from gypsumring.streams import AppendUnconfirmed, Stream

__all__ = ["SnapshotReader", "append_snapshot", "split_state"]

Snapshot = ConfigSnapshot | ControlSnapshot | LedgerSnapshot

# Far below the frame limit, so that an append is never refused for its size.
MAX_PART_BYTES = 256 * 1024
# Snapshots whose writer stopped before the last part are discarded, oldest first,
# beyond this number.
MAX_INCOMPLETE_SNAPSHOTS = 8
# A slow log answers after 10 s; the time-out allows for three such answers.
PART_APPEND_TIMEOUT_S = 30.0


def split_state(
    snapshot_type: type[Snapshot],
    snapshot_id: str,
    covers_offset: int,
    state: bytes,
    part_bytes: int = MAX_PART_BYTES,
) -> list[Any]:
    """Split ``state`` into the records of one snapshot, in order."""
    parts = max(1, -(-len(state) // part_bytes))
    return [
        snapshot_type(
            snapshot_id,
            covers_offset,
            part,
            parts,
            state[part * part_bytes : (part + 1) * part_bytes],
        )
        for part in range(parts)
    ]


async def append_snapshot(
    stream: Stream,
    parts: list[Any],
    epoch: int,
    metrics: Metrics,
    part_name: str,
) -> bool:
    """Append the parts of a snapshot; return whether all were read back."""
    for body in parts:
        deadline = anyio.current_time() + PART_APPEND_TIMEOUT_S
        try:
            await stream.append([body], epoch, deadline)
        except AppendUnconfirmed:
            metrics.retry(part_name, RetryReason.APPEND_UNCONFIRMED)
            return False
    metrics.count(f"{part_name}.snapshots_appended")
    return True


class SnapshotReader:
    """Apply records to a state, starting from a snapshot after a gap in the stream.

    After ``start_gap`` the records are buffered until a complete snapshot whose
    ``covers_offset`` lies at or after the gap has been read. Snapshots whose id does
    not start with ``prefix`` are ignored, so that several states can share a stream.
    """

    __slots__ = (
        "apply",
        "gap_offset",
        "buffered_records",
        "last_snapshot_at",
        "load",
        "incomplete_snapshots",
        "prefix",
        "records_since_snapshot",
    )

    def __init__(
        self,
        prefix: str,
        load: Callable[[int, bytes], None],
        apply: Callable[[int, Record], None],
    ):
        self.prefix = prefix
        self.load = load
        self.apply = apply
        self.gap_offset: int | None = None
        self.buffered_records: list[tuple[int, Record]] = []
        self.incomplete_snapshots: dict[str, dict[int, bytes]] = {}
        self.records_since_snapshot = 0
        self.last_snapshot_at: float | None = None

    @property
    def waits_for_snapshot(self) -> bool:
        """Whether the state is incomplete until a snapshot has been read."""
        return self.gap_offset is not None

    def start_gap(self, first_offset: int) -> None:
        """Wait for a snapshot, as records before ``first_offset`` are not retained."""
        self.gap_offset = first_offset
        self.buffered_records.clear()
        self.incomplete_snapshots.clear()

    def end_gap(self, covers_offset: int) -> None:
        """Apply the buffered records from ``covers_offset`` on to the loaded state."""
        self.gap_offset = None
        buffered_records, self.buffered_records = self.buffered_records, []
        for offset, record in buffered_records:
            if offset >= covers_offset:
                self.apply(offset, record)

    def feed(self, offset: int, record: Record) -> None:
        """Process the next record of the stream."""
        body = record.body
        if isinstance(body, Snapshot):
            if body.snapshot_id.startswith(self.prefix):
                self.add_part(body)
        elif self.gap_offset is not None:
            self.buffered_records.append((offset, record))
        else:
            self.records_since_snapshot += 1
            self.apply(offset, record)

    def add_part(self, body: Snapshot) -> None:
        """Store a part; load the state if it completes a snapshot after a gap."""
        parts = self.incomplete_snapshots.setdefault(body.snapshot_id, {})
        parts[body.part] = body.state
        if len(parts) < body.parts:
            while len(self.incomplete_snapshots) > MAX_INCOMPLETE_SNAPSHOTS:
                del self.incomplete_snapshots[next(iter(self.incomplete_snapshots))]
            return
        del self.incomplete_snapshots[body.snapshot_id]
        self.records_since_snapshot = 0
        self.last_snapshot_at = anyio.current_time()
        if self.gap_offset is None or body.covers_offset < self.gap_offset:
            return
        self.load(
            body.covers_offset, b"".join(parts[part] for part in range(body.parts))
        )
        self.end_gap(body.covers_offset)

    def is_due(self, started_at: float, every_records: int, every_s: float) -> bool:
        """Return whether a new snapshot is due by record count or by age."""
        if self.waits_for_snapshot or self.records_since_snapshot == 0:
            return False
        age_measured_from = max(started_at, self.last_snapshot_at or started_at)
        return (
            self.records_since_snapshot >= every_records
            or anyio.current_time() - age_measured_from >= every_s
        )
