"""Where a node finds the owner of the cell: in the store, and through other nodes."""

import anyio

from gypsumring.cell.messages import Ping
from gypsumring.metrics import Metrics
from gypsumring.node.membership import Member
from gypsumring.node.node_calls import NodeCalls
from gypsumring.ports.store import Store, StoreRefused, StoreUnavailable
from gypsumring.transport import Purpose, sending_for
from gypsumring.utils.logs import EventLogger

__all__ = ["OwnerDirectory"]

log = EventLogger("link")

LOOKUP_TIMEOUT_S = 0.5
# Nodes that are queried for the owner at one time while the store does not name it.
MAX_QUERIED_NODES = 4


class OwnerDirectory:
    """Lookup of the owner, and the other nodes as far as they are known.

    ``member`` is this node in the group ``group_name``, which assigns the cell.
    """

    __slots__ = (
        "addresses",
        "calls",
        "cell",
        "group_name",
        "has_other_members",
        "largest_member",
        "member",
        "metrics",
        "next_queried",
        "owner_member",
        "store",
    )

    def __init__(
        self,
        store: Store,
        group_name: str,
        cell: int,
        member: Member,
        calls: NodeCalls,
        metrics: Metrics,
    ):
        self.store = store
        self.group_name = group_name
        self.cell = cell
        self.member = member
        self.calls = calls
        self.metrics = metrics
        # Addresses of other nodes by name, received from the owner and the store.
        self.addresses: dict[str, str] = {}
        # Name in the group of the owner that was looked up last.
        self.owner_member = ""
        # Size of the largest machine in the group, None if the last lookup failed.
        self.largest_member: int | None = None
        # Whether the group had other members at the last lookup.
        self.has_other_members = False
        # Index, modulo their number, of the node that is queried next for the owner.
        self.next_queried = 0

    async def look_up(self, fence: int) -> str | None:
        """Return the address of the owner, None if there is none or it is this node.

        If the store is unavailable or refuses the call, query other nodes. ``fence`` is
        the highest fence number of an owner seen so far.
        """
        try:
            with sending_for(Purpose.MEMBERSHIP):
                owners = await self.store.owners(
                    self.group_name, anyio.current_time() + LOOKUP_TIMEOUT_S
                )
        except (StoreUnavailable, StoreRefused) as error:
            log.debug("owner not found in the store", error=str(error))
            self.largest_member = None
            return await self.query_nodes()
        members = [Member.parse(name) for name in owners.values()]
        self.largest_member = max((member.size for member in members), default=0)
        self.has_other_members = any(
            member.node != self.member.node for member in members
        )
        name = owners.get(self.cell)
        if name is None:
            return None
        owner = Member.parse(name)
        if owner.node == self.member.node:
            if name != str(self.member):
                self.owner_member = name
                reason = "predecessor of this process"
                await self.remove_owner(owner.address, reason, fence)
            return None
        self.addresses[owner.node] = owner.address
        self.owner_member = name
        return owner.address

    def list_other_nodes(self, without: str = "") -> dict[str, str]:
        """Return the addresses of the other recorded nodes by name, but for one."""
        return {
            name: address
            for name, address in self.addresses.items()
            if name != self.member.node and address != without
        }

    def knows_other_nodes(self) -> bool:
        """Return whether the installation has other nodes, as far as is known."""
        return self.has_other_members or bool(self.list_other_nodes())

    def replace_nodes(self, addresses: dict[str, str], owner_address: str) -> None:
        """Record the nodes that the owner lists, and the owner, which it does not."""
        owner = {
            name: address
            for name, address in self.addresses.items()
            if address == owner_address
        }
        self.addresses = {**addresses, **owner}

    async def query_nodes(self) -> str | None:
        """Return the owner's address as recorded by a few other nodes, or None.

        Successive queries go to different nodes.
        """
        addresses = sorted(self.list_other_nodes().values())
        if not addresses:
            return None
        first = self.next_queried % len(addresses)
        self.next_queried = first + MAX_QUERIED_NODES
        queried = (addresses[first:] + addresses[:first])[:MAX_QUERIED_NODES]
        answers = await self.calls.call_all(queried, Ping())
        best = max(
            answers.values(), key=lambda pong: (pong.owns, pong.fence), default=None
        )
        if best is None or not best.owner_address:
            return None
        return best.owner_address

    async def remove_owner(self, address: str, reason: str, fence: int) -> None:
        """Remove a dead owner from the group so that the cell is reassigned at once.

        If the owner is alive after all, the next owner's fence keeps the cell's state
        consistent.
        """
        member, self.owner_member = self.owner_member, ""
        if not member or Member.parse(member).address != address:
            return
        try:
            await self.store.leave(
                self.group_name, member, anyio.current_time() + LOOKUP_TIMEOUT_S
            )
            self.metrics.count("link.owners_removed")
            log.info(
                "dead owner removed from the group",
                member=member,
                reason=reason,
                fence=fence,
            )
        except (StoreUnavailable, StoreRefused) as error:
            log.debug(
                "dead owner could not be removed from the group", error=str(error)
            )
