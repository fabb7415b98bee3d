"""Messages between the nodes of a cluster, which may be held back and arrive late."""

import anyio

from gypsumring.cell.authority import Authority, Peers
from gypsumring.cell.journal import Journal
from gypsumring.cell.voters import Electorate, Voter, VoteRegister

__all__ = ["Cut", "Partition", "PeerNetwork", "make_lone_authority"]

LATENCY_S = 0.001


class Cut:
    """Path that is open, or held back while at least one fault cuts it."""

    __slots__ = ("count", "opened")

    def __init__(self):
        self.count = 0
        self.opened = anyio.Event()

    def begin(self) -> None:
        """Cut the path."""
        self.count += 1

    def end(self) -> None:
        """End one cut of the path."""
        self.count -= 1
        if not self.count:
            self.opened.set()
            self.opened = anyio.Event()

    async def wait_until_open(self) -> None:
        """Wait until the path is not cut."""
        while self.count:
            await self.opened.wait()


class Partition:
    """Cut between some nodes, ``inside``, and all others, by their names.

    Nodes that start meanwhile are outside, unless they have a name that is inside. With
    ``reached``, the nodes inside reach only these executors and not the store, and the
    other nodes reach only the other executors. Paths between the nodes are cut if
    ``cuts_inward`` or ``cuts_outward`` is set, each for one direction.
    """

    __slots__ = ("cuts_inward", "cuts_outward", "inside", "reached")

    def __init__(
        self,
        inside: set[str],
        reached: set[str] | None = None,
        cuts_peers: bool = True,
    ):
        self.inside = inside
        self.reached = reached
        self.cuts_inward = self.cuts_outward = cuts_peers

    def cuts_path(self, sender: str, receiver: str) -> bool:
        """Return whether messages from one node to another are held back."""
        is_inward = receiver in self.inside
        if (sender in self.inside) is is_inward:
            return False
        return self.cuts_inward if is_inward else self.cuts_outward

    def cuts_store(self, name: str) -> bool:
        """Return whether a node does not reach the store."""
        return self.reached is not None and name in self.inside

    def cuts_executor(self, name: str, executor_id: str) -> bool:
        """Return whether a node does not reach an executor."""
        if self.reached is None:
            return False
        return (name in self.inside) is not (executor_id in self.reached)


class PeerNetwork:
    """Paths between nodes, cut by the partitions that last."""

    __slots__ = ("changed", "partitions")

    def __init__(self):
        self.partitions: list[Partition] = []
        self.changed = anyio.Event()

    def begin(self, partition: Partition) -> None:
        """Begin a partition."""
        self.partitions.append(partition)

    def end(self, partition: Partition) -> None:
        """End a partition; what it has held back arrives."""
        self.partitions.remove(partition)
        self.deliver()

    def open_inward(self, partition: Partition) -> None:
        """Open the paths to the nodes inside; their own messages are still held."""
        partition.cuts_inward = False
        self.deliver()

    def deliver(self) -> None:
        """Deliver the messages whose paths are open now."""
        self.changed.set()
        self.changed = anyio.Event()

    def cuts_path(self, sender: str, receiver: str) -> bool:
        """Return whether messages from one node to another are held back."""
        return any(each.cuts_path(sender, receiver) for each in self.partitions)

    def is_open(self, name: str, other: str) -> bool:
        """Return whether messages pass between two nodes in both directions."""
        return not (self.cuts_path(name, other) or self.cuts_path(other, name))

    async def carry(self, sender: str, receiver: str) -> None:
        """Wait until a message arrives, which is after the end of a cut."""
        await anyio.sleep(LATENCY_S)
        while self.cuts_path(sender, receiver):
            await self.changed.wait()


def make_lone_authority(fence: int, journal: Journal) -> Authority:
    """Return the authority of an owner that is the only voter, on the anyio clock."""
    voter = Voter("n0", "1")
    authority = Authority(
        fence, journal, Peers(voter, VoteRegister()), anyio.current_time
    )
    authority.restore(Electorate([voter]))
    return authority
