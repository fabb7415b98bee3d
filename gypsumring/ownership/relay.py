"""Pass control records between peers while one of them is cut off from the log."""

import random
from collections.abc import Callable

import logbook

from gypsumring.exceptions import PortError
from gypsumring.messages.codec import DecodeError, encode
from gypsumring.messages.peer import (
    AppendForPeer,
    ControlTail,
    LogTail,
    ReadPeerLog,
)
from gypsumring.messages.records import ControlBody, Record, RecordBatch, Renew
from gypsumring.metrics import Metrics
from gypsumring.ownership.fold import ControlFold
from gypsumring.ports import PeerClient
from gypsumring.settings import TimingSettings
from gypsumring.streams import Stream

__all__ = ["ControlRelay"]

log = logbook.Logger("ownership")

RELAY_LIMIT = 1_000


class ControlRelay:
    """Read control records from peers, and have peers append renewals."""

    __slots__ = (
        "clock",
        "fold",
        "metrics",
        "node",
        "peers",
        "random_source",
        "sent_at_by_id",
        "stream",
        "timing",
    )

    def __init__(
        self,
        node: str,
        stream: Stream,
        fold: ControlFold,
        peers: PeerClient,
        timing: TimingSettings,
        metrics: Metrics,
        random_source: random.Random,
        clock: Callable[[], float],
    ):
        self.node = node
        self.stream = stream
        self.fold = fold
        self.peers = peers
        self.timing = timing
        self.metrics = metrics
        self.random_source = random_source
        self.clock = clock
        self.sent_at_by_id: dict[str, float] = {}

    async def append_renewal(self, address: str, renewal: Renew) -> None:
        """Have a peer append a renewal, then read the peer's tail."""
        sent_at = self.clock()
        record_id = f"{self.random_source.getrandbits(128):032x}"
        lease_s = self.timing.lease_ms / 1000
        self.sent_at_by_id = {
            known: at
            for known, at in self.sent_at_by_id.items()
            if at + lease_s > sent_at
        }
        self.sent_at_by_id[record_id] = sent_at
        record = Record[ControlBody](record_id, self.node, 0, renewal)
        payload = encode(RecordBatch[ControlBody]((record,)))
        try:
            await self.peers.call(
                address, AppendForPeer("control", payload), self.call_deadline()
            )
        except PortError:
            self.metrics.count("ownership.relays_failed")
        else:
            self.metrics.count("ownership.relays")
        await self.read_from_peer(address)

    def take_sent_at(self, record_id: str) -> float | None:
        """Return when a relayed renewal that was read back had been sent."""
        return self.sent_at_by_id.pop(record_id, None)

    async def read_from_peer(self, address: str) -> bool:
        """Take in control records that a peer has read; tell whether it answered."""
        message = ReadPeerLog("control", self.stream.next_offset, RELAY_LIMIT)
        try:
            reply = await self.peers.call(address, message, self.call_deadline())
        except PortError:
            return False
        match reply:
            case LogTail(records):
                self.stream.ingest(records)
            case ControlTail(covers_offset, state):
                if covers_offset > self.stream.next_offset:
                    self.import_state(covers_offset, state)
        return True

    def import_state(self, covers_offset: int, state: bytes) -> None:
        """Go on from a peer's state when its records no longer reach back to ours."""
        self.stream.restart_after_gap(covers_offset)
        try:
            self.fold.import_state(covers_offset, state)
        except DecodeError as error:
            # The fold stays incomplete until a snapshot or another peer's state.
            log.warning("the control state of a peer is malformed: {}", error)

    def read_log_for_peer(self, message: ReadPeerLog) -> LogTail | ControlTail:
        """Return records, or the state if they no longer reach back far enough."""
        first_offset = self.stream.first_recent_offset
        if message.start_offset < first_offset and self.fold.is_complete:
            return ControlTail(self.stream.next_offset, self.fold.dump())
        limit = min(message.limit, RELAY_LIMIT)
        records = self.stream.recent(message.start_offset, limit)
        return LogTail(records, first_offset)

    def call_deadline(self) -> float:
        """Return the deadline of a call that starts now."""
        return self.clock() + self.timing.call_ms / 1000
