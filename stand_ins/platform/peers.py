"""Messages between the nodes of a cluster, which may be held back and arrive late."""

from collections.abc import Iterable

import anyio

from gypsumring.cell.authority import Authority, Peers
from gypsumring.cell.journal import Journal
from gypsumring.cell.voters import Electorate, Voter, VoteRegister

__all__ = ["Cut", "PeerNetwork", "make_lone_authority"]

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


class PeerNetwork:
    """Paths between nodes, by the names of the sender and the receiver."""

    __slots__ = ("cuts",)

    def __init__(self):
        self.cuts: dict[tuple[str, str], Cut] = {}

    def path(self, sender: str, receiver: str) -> Cut:
        """Return the path of the messages from one node to another."""
        return self.cuts.setdefault((sender, receiver), Cut())

    def paths_of(self, name: str, others: Iterable[str]) -> list[Cut]:
        """Return the paths between a node and others, in both directions."""
        return [
            self.path(*pair)
            for other in others
            if other != name
            for pair in ((name, other), (other, name))
        ]

    def is_open(self, name: str, other: str) -> bool:
        """Return whether messages pass between two nodes in both directions."""
        return not (self.path(name, other).count or self.path(other, name).count)

    async def carry(self, sender: str, receiver: str) -> None:
        """Wait until a message arrives, which is after the end of a cut."""
        await anyio.sleep(LATENCY_S)
        await self.path(sender, receiver).wait_until_open()


def make_lone_authority(fence: int, journal: Journal) -> Authority:
    """Return the authority of an owner that is the only voter, on the anyio clock."""
    voter = Voter("n0", "1")
    authority = Authority(
        fence, journal, Peers(voter, VoteRegister()), anyio.current_time
    )
    authority.restore(Electorate([voter]))
    return authority
