"""Decide whether a node stands for the ownership of the cell.

The owner does the work of all nodes; on a machine of a fraction of the usual size it
falls behind, and callers are refused everywhere. So weak machines stay out of the group
while stronger ones are there. The sizes of the machines are kept in the store, so that
they are known when all nodes start again.
"""

import anyio

from gypsumring.ports.store import Store, StoreRefused, StoreUnavailable
from gypsumring.utils.logs import EventLogger

__all__ = ["Candidacy"]

log = EventLogger("candidacy")

CALL_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.1
# On the first start of all, the nodes wait so long for each other's sizes.
FIRST_START_WAIT_S = 0.25
# A machine of this share of the largest one's size is as good as that one.
ADEQUATE_SIZE_SHARE = 0.7
# A weak node stands once it has not reached an owner for this time; a strong one has
# taken over by then, if there is any. For some time before it, the group has to have
# been without a strong member, since the group deals a cell that is given up to any
# member that holds none.
UNLINKED_DELAY_S = 1.6
NO_LARGER_MEMBER_DELAY_S = 0.6
# A weak owner hands over once a strong node has been linked to it for this time.
HANDOVER_DELAY_S = 1.0


class Candidacy:
    """Compare the size of this node's machine with the others.

    Sizes are in thousandths of a core of usual speed.
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
        # Sizes of machines that have ever been there.
        self.known_sizes: set[int] = {size}
        # The sizes in the store have been read.
        self.sizes_loaded = False
        # Since when the group has had no strong member while there was no owner.
        self.no_larger_member_since: float | None = None
        # Since when a strong node has been linked to this owner.
        self.larger_linked_since: float | None = None

    @property
    def is_adequate(self) -> bool:
        """Tell whether no much larger machine is known."""
        return self.size >= ADEQUATE_SIZE_SHARE * max(self.known_sizes)

    def is_candidate(
        self, owns: bool, unlinked_s: float, largest_member: int | None
    ) -> bool:
        """Tell whether this node should be in the group.

        ``unlinked_s`` is for how long it has reached no owner, in seconds, and
        ``largest_member`` the size of the largest machine in the group, if known.
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
        """Note the sizes of the nodes that are linked to this owner."""
        self.known_sizes.update(sizes)
        if max(sizes, default=0) * ADEQUATE_SIZE_SHARE <= self.size:
            self.larger_linked_since = None
        elif self.larger_linked_since is None:
            self.larger_linked_since = anyio.current_time()

    async def load_sizes(self) -> None:
        """Read the sizes of all machines, and add this one's, until that is done."""
        while not self.sizes_loaded:
            try:
                stored_sizes = await self.read_sizes()
                if self.size not in stored_sizes:
                    await self.write_size()
                    if not stored_sizes:
                        await anyio.sleep(FIRST_START_WAIT_S)
                        stored_sizes = await self.read_sizes()
            except (StoreUnavailable, StoreRefused) as error:
                log.debug("sizes of machines not read", error=str(error))
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self.known_sizes |= stored_sizes
            self.sizes_loaded = True
        log.info(
            "sizes of machines known", own=self.size, largest=max(self.known_sizes)
        )

    async def read_sizes(self) -> set[int]:
        """Return the sizes in the store; keys that are no size are passed over."""
        records, _ = await self.store.newest(
            self.topic, 0, anyio.current_time() + CALL_TIMEOUT_S
        )
        return {int(record.key) for record in records if record.key.isdecimal()}

    async def write_size(self) -> None:
        """Add the size of this machine."""
        await self.store.append(
            self.topic,
            0,
            [(str(self.size), b"1")],
            None,
            anyio.current_time() + CALL_TIMEOUT_S,
        )
