"""Decide whether a node is a candidate for the ownership of the cell.

The owner schedules for all nodes. On a machine of a fraction of the usual size it falls
behind, and callers of every node are refused. Nodes on under-provisioned machines
therefore stay out of the group while larger machines are available. The store holds
the sizes of the machines, so they survive a restart of all nodes.
"""

import anyio

from gypsumring.ports.store import Store, StoreRefused, StoreUnavailable
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.ranges import parse_machine_size

__all__ = ["Candidacy"]

log = EventLogger("candidacy")

CALL_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.1
# Wait for the other nodes to store their sizes if the store holds none yet.
FIRST_START_WAIT_S = 0.25
# Machines with at least this share of the largest size are adequately provisioned.
ADEQUATE_SIZE_SHARE = 0.7
# An under-provisioned node becomes a candidate only after it has reached no owner for
# this time, by which any adequate node has taken over.
UNLINKED_DELAY_S = 1.6
# In addition, the group must have had no much larger member for this time, as the group
# assigns an abandoned cell to any member without a partition.
NO_LARGER_MEMBER_DELAY_S = 0.6
# An under-provisioned owner hands the cell over once a larger node has been linked to
# it for this time.
HANDOVER_DELAY_S = 1.0


class Candidacy:
    """Compare the size of this node's machine with those of the other nodes.

    Sizes are in thousandths of a core of reference speed.
    """

    __slots__ = (
        "known_sizes",
        "larger_linked_since",
        "no_larger_member_since",
        "size",
        "sizes_loaded",
        "store",
        "topic",
    )

    def __init__(self, store: Store, topic: str, size: int):
        self.store = store
        self.topic = topic
        self.size = size
        # Sizes of all machines recorded so far, also of those that have left.
        self.known_sizes: set[int] = {size}
        # Whether the sizes in the store have been read.
        self.sizes_loaded = False
        # Time since which the group has had no larger member and no owner was reached.
        self.no_larger_member_since: float | None = None
        # Time since which a larger node has been linked to this owner.
        self.larger_linked_since: float | None = None

    @property
    def is_adequate(self) -> bool:
        """Return whether the machine is adequate compared with the largest one."""
        return self.size >= ADEQUATE_SIZE_SHARE * max(self.known_sizes)

    def is_candidate(
        self, owns: bool, unlinked_s: float, largest_member: int | None
    ) -> bool:
        """Return whether this node should be in the group.

        ``unlinked_s`` is the time without a link to an owner, in seconds;
        ``largest_member`` is the size of the largest machine in the group, or None if
        it could not be read.
        """
        if not self.sizes_loaded:
            return owns
        if self.is_adequate:
            return True
        now = anyio.current_time()
        if owns:
            linked_since = self.larger_linked_since
            return linked_since is None or now - linked_since < HANDOVER_DELAY_S
        if unlinked_s <= UNLINKED_DELAY_S or largest_member is None:
            self.no_larger_member_since = None
        elif self.size < ADEQUATE_SIZE_SHARE * largest_member:
            self.no_larger_member_since = None
        elif self.no_larger_member_since is None:
            self.no_larger_member_since = now
        return (
            self.no_larger_member_since is not None
            and now - self.no_larger_member_since >= NO_LARGER_MEMBER_DELAY_S
        )

    def record_linked_sizes(self, sizes: list[int]) -> None:
        """Record the machine sizes of the nodes that are linked to this owner."""
        self.known_sizes.update(sizes)
        if max(sizes, default=0) * ADEQUATE_SIZE_SHARE <= self.size:
            self.larger_linked_since = None
        elif self.larger_linked_since is None:
            self.larger_linked_since = anyio.current_time()

    async def load_sizes(self) -> None:
        """Load the stored machine sizes and store this one, retrying on errors."""
        while not self.sizes_loaded:
            try:
                stored_sizes = await self.read_sizes()
                if self.size not in stored_sizes:
                    await self.write_size()
                    if not stored_sizes:
                        await anyio.sleep(FIRST_START_WAIT_S)
                        stored_sizes = await self.read_sizes()
            except (StoreUnavailable, StoreRefused) as error:
                log.debug(
                    "machine sizes could not be read or written", error=str(error)
                )
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self.known_sizes |= stored_sizes
            self.sizes_loaded = True
        log.info("machine sizes loaded", own=self.size, largest=max(self.known_sizes))

    async def read_sizes(self) -> set[int]:
        """Return the sizes in the store, skipping keys that are not a size."""
        records, _ = await self.store.newest(
            self.topic, 0, anyio.current_time() + CALL_TIMEOUT_S
        )
        return {parse_machine_size(record.key) for record in records} - {0}

    async def write_size(self) -> None:
        """Write the size of this machine to the store."""
        await self.store.append(
            self.topic,
            0,
            [(str(self.size), b"1")],
            None,
            anyio.current_time() + CALL_TIMEOUT_S,
        )
