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

CALL_S = 0.5
RETRY_S = 0.1
# On the first start of all, the nodes wait so long for each other's sizes.
FIRST_START_S = 0.25
# A machine of this share of the largest one's size is as good as that one.
STRONG_SHARE = 0.7
# A weak node stands once it has not reached an owner for this time; a strong one has
# taken over by then, if there is any. For some time before it, the group has to have
# been without a strong member, since the group deals a cell that is given up to any
# member that holds none.
STANDBY_S = 1.6
ALONE_S = 0.6
# A weak owner hands over once a strong node has been linked to it for this time.
STEADY_S = 1.0


class Candidacy:
    """Compare the size of this node's machine with the others.

    Sizes are in thousandths of a core of usual speed.
    """

    __slots__ = (
        "alone_since",
        "known",
        "learned",
        "size",
        "store",
        "strong_since",
        "topic",
    )

    def __init__(self, store: Store, topic: str, size: int):
        self.store = store
        self.topic = topic
        self.size = size
        # Sizes of machines that have ever been there.
        self.known: set[int] = {size}
        # The sizes in the store have been read.
        self.learned = False
        # Since when the group has had no strong member while there was no owner.
        self.alone_since: float | None = None
        # Since when a strong node has been linked to this owner.
        self.strong_since: float | None = None

    @property
    def is_strong(self) -> bool:
        """Tell whether no much larger machine is known."""
        return self.size >= STRONG_SHARE * max(self.known)

    def stands(self, owns: bool, unlinked_s: float, largest_member: int | None) -> bool:
        """Tell whether this node should be in the group.

        ``unlinked_s`` is for how long it has reached no owner, in seconds, and
        ``largest_member`` the size of the largest machine in the group, if known.
        """
        if not self.learned:
            return owns
        if self.is_strong:
            return True
        now = anyio.current_time()
        if owns:
            since = self.strong_since
            return since is None or now - since < STEADY_S
        if unlinked_s <= STANDBY_S or largest_member is None:
            self.alone_since = None
        elif self.size < STRONG_SHARE * largest_member:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now
        return self.alone_since is not None and now - self.alone_since >= ALONE_S

    def note_linked(self, sizes: list[int]) -> None:
        """Note the sizes of the nodes that are linked to this owner."""
        self.known.update(sizes)
        if max(sizes, default=0) * STRONG_SHARE <= self.size:
            self.strong_since = None
        elif self.strong_since is None:
            self.strong_since = anyio.current_time()

    async def learn(self) -> None:
        """Read the sizes of all machines, and add this one's, until that is done."""
        while not self.learned:
            try:
                found = await self.read()
                if self.size not in found:
                    await self.write()
                    if not found:
                        await anyio.sleep(FIRST_START_S)
                        found = await self.read()
            except (StoreUnavailable, StoreRefused) as error:
                log.debug("sizes of machines not read", error=str(error))
                await anyio.sleep(RETRY_S)
                continue
            self.known |= found
            self.learned = True
        log.info("sizes of machines known", own=self.size, largest=max(self.known))

    async def read(self) -> set[int]:
        """Return the sizes in the store; keys that are no size are passed over."""
        records, _ = await self.store.newest(
            self.topic, 0, anyio.current_time() + CALL_S
        )
        return {int(record.key) for record in records if record.key.isdecimal()}

    async def write(self) -> None:
        """Add the size of this machine."""
        await self.store.append(
            self.topic, 0, [(str(self.size), b"1")], None, anyio.current_time() + CALL_S
        )
