"""Fold of the control stream into members and shard owners."""

import msgspec

from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.codec import DecodeError
from gypsumring.messages.records import (
    Claim,
    ControlBody,
    MemberJoined,
    MemberLeft,
    MemberRemoved,
    Record,
    Release,
    Renew,
)
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.snapshots import SnapshotReader

__all__ = ["ControlFold", "Member", "OwnerView", "SNAPSHOT_PREFIX"]

SNAPSHOT_PREFIX = "control-"


class Member(msgspec.Struct):
    """Hold one joined member; offsets are those of the control stream."""

    node: str
    incarnation: int
    peer_address: str
    region: str
    data_centre: str
    joined_offset: int
    folded_offset: int = 0
    eligible: bool = False
    cell_eligible: bool = False


class OwnerView(msgspec.Struct, frozen=True):
    """Tell who owns a shard; ``node`` is empty for a shard without an owner."""

    node: str
    incarnation: int
    peer_address: str
    epoch: int


class ControlState(msgspec.Struct):
    """Hold the state of a fold for a snapshot."""

    members: list[Member]
    shards: dict[str, OwnerView]


state_decoder = msgspec.msgpack.Decoder(ControlState)


class ControlFold:
    """Fold control records; equal records give equal states on every node.

    After ``handle_gap`` the state stays as it was until a snapshot has been read.
    """

    __slots__ = ("members", "next_offset", "reader", "shards")

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.shards: dict[str, OwnerView] = {}
        self.next_offset = 0
        self.reader = SnapshotReader(SNAPSHOT_PREFIX, self.load, self.fold)

    @property
    def is_complete(self) -> bool:
        """Tell whether no record that counts was missed."""
        return not self.reader.waits_for_snapshot

    def handle_gap(self, first_offset: int) -> None:
        """Wait for a snapshot that covers the records before ``first_offset``."""
        self.reader.start_gap(first_offset)

    def dump(self) -> bytes:
        """Return the encoded state."""
        members = [self.members[node] for node in sorted(self.members)]
        shards = {shard: self.shards[shard] for shard in sorted(self.shards)}
        return msgspec.msgpack.encode(ControlState(members, shards))

    def load(self, covers_offset: int, state: bytes) -> None:
        """Replace the state by a later one; raise DecodeError."""
        try:
            loaded = state_decoder.decode(state)
        except DECODE_ERRORS as error:
            raise DecodeError(f"malformed control snapshot: {error}") from error
        for shard in sorted(self.shards):
            view = loaded.shards.get(shard)
            if view is None or view.epoch < self.shards[shard].epoch:
                raise InvariantViolation(
                    f"snapshot at offset {covers_offset} takes back epoch "
                    f"{self.shards[shard].epoch} of {shard}"
                )
        self.members = {member.node: member for member in loaded.members}
        self.shards = loaded.shards
        self.next_offset = max(self.next_offset, covers_offset)

    def import_state(self, covers_offset: int, state: bytes) -> None:
        """Take over the state of a peer after a gap; raise DecodeError."""
        self.load(covers_offset, state)
        self.reader.end_gap(covers_offset)

    def owner(self, shard: str) -> OwnerView | None:
        """Return the owner of a shard, or None if nobody owns it."""
        view = self.shards.get(shard)
        return view if view is not None and view.node else None

    def epoch(self, shard: str) -> int:
        """Return the latest epoch of a shard, 0 if it was never owned."""
        view = self.shards.get(shard)
        return view.epoch if view is not None else 0

    def joined_in(self, region: str) -> list[Member]:
        """Return the members whose promises an owner in this region needs.

        These are all joined members, eligible or not: a member may become eligible
        in a record that the owner cannot read during an outage.
        """
        members = [self.members[node] for node in sorted(self.members)]
        local = [member for member in members if member.region == region]
        return local or members

    def eligible_in(self, region: str) -> list[Member]:
        """Return the members that may claim shards of a region."""
        members = [self.members[node] for node in sorted(self.members)]
        if any(member.region == region for member in members):
            return [m for m in members if m.region == region and m.eligible]
        return [member for member in members if member.cell_eligible]

    def apply(self, offset: int, record: Record[ControlBody]) -> None:
        """Apply one record; raise InvariantViolation if two owners would follow."""
        self.reader.feed(offset, record)

    def fold(self, offset: int, record: Record[ControlBody]) -> None:
        """Fold the next record into a complete state."""
        self.next_offset = max(self.next_offset, offset + 1)
        body = record.body
        match body:
            case MemberJoined():
                self.apply_join(offset, body)
            case MemberLeft() | MemberRemoved():
                member = self.members.get(body.node)
                if member is not None and member.incarnation == body.incarnation:
                    del self.members[body.node]
                    if isinstance(body, MemberLeft):
                        self.disown(body.node)
            case Renew():
                if self.is_member(body.node, body.incarnation):
                    member = self.members[body.node]
                    member.folded_offset = max(member.folded_offset, body.folded_offset)
            case Claim():
                self.apply_claim(body)
            case Release():
                self.apply_release(body)
        self.update_eligibility()

    def is_member(self, node: str, incarnation: int) -> bool:
        """Tell whether this process is joined."""
        member = self.members.get(node)
        return member is not None and member.incarnation == incarnation

    def apply_join(self, offset: int, body: MemberJoined) -> None:
        """Add a member, or replace its predecessor on the same address."""
        member = self.members.get(body.node)
        if member is not None:
            # Two processes cannot listen on one address, so a newer incarnation
            # there proves that the older one is dead. Another address proves nothing.
            if (
                body.incarnation <= member.incarnation
                or body.peer_address != member.peer_address
            ):
                return
            member.incarnation = body.incarnation
            return
        self.members[body.node] = Member(
            body.node,
            body.incarnation,
            body.peer_address,
            body.region,
            body.data_centre,
            offset,
        )

    def apply_claim(self, body: Claim) -> None:
        """Make a member the owner of the shards whose expected epoch matches."""
        if not self.is_member(body.node, body.incarnation):
            return
        for shard, expected_epoch in sorted(body.expected_epochs.items()):
            if expected_epoch == self.epoch(shard) and self.may_claim(body.node, shard):
                self.set_owner(shard, body.node, expected_epoch + 1)

    def may_claim(self, node: str, shard: str) -> bool:
        """Tell whether a member is eligible for a shard.

        The region of a rack shard is not in the control records; keepers check it
        before they claim.
        """
        kind, _, rest = shard.partition("/")
        if kind == "ledger":
            region = rest.partition("/")[0]
            return any(member.node == node for member in self.eligible_in(region))
        member = self.members[node]
        return member.eligible or member.cell_eligible

    def apply_release(self, body: Release) -> None:
        """Hand shards to the named member, or to nobody if it has not joined."""
        for shard, epoch in sorted(body.epochs.items()):
            view = self.shards.get(shard)
            if (
                view is None
                or view.epoch != epoch
                or view.node != body.node
                or view.incarnation != body.incarnation
            ):
                continue
            to_node = body.to_node if body.to_node in self.members else ""
            if to_node and not self.may_claim(to_node, shard):
                to_node = ""
            self.set_owner(shard, to_node, epoch + 1)

    def disown(self, node: str) -> None:
        """Leave the shards of a member that left without an owner."""
        for shard, view in sorted(self.shards.items()):
            if view.node == node:
                self.set_owner(shard, "", view.epoch + 1)

    def set_owner(self, shard: str, node: str, epoch: int) -> None:
        """Record an owner at the epoch after the current one."""
        if epoch != self.epoch(shard) + 1:
            raise InvariantViolation(
                f"{shard}: epoch {epoch} does not follow {self.epoch(shard)}"
            )
        member = self.members.get(node)
        if member is None:
            self.shards[shard] = OwnerView("", 0, "", epoch)
        else:
            self.shards[shard] = OwnerView(
                node, member.incarnation, member.peer_address, epoch
            )

    def update_eligibility(self) -> None:
        """Make members eligible whose join every eligible member has folded."""
        for node in sorted(self.members):
            member = self.members[node]
            if not member.eligible:
                member.eligible = self.is_acknowledged(
                    member, self.acknowledgers(member)
                )
            if not member.cell_eligible:
                others = [m for m in self.members.values() if m.cell_eligible]
                member.cell_eligible = self.is_acknowledged(member, others)

    def acknowledgers(self, member: Member) -> list[Member]:
        """Return the eligible members that must know of a join."""
        local = [
            m for m in self.members.values() if m.region == member.region and m.eligible
        ]
        # Until a region has its own eligible member, the cell owns its shards.
        return local or [m for m in self.members.values() if m.cell_eligible]

    def is_acknowledged(self, member: Member, others: list[Member]) -> bool:
        """Tell whether all others have folded the record that joined a member."""
        return all(
            other.folded_offset > member.joined_offset
            for other in others
            if other.node != member.node
        )
