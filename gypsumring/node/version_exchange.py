"""Exchange of versions of the desired state between nodes.

Pings and their answers name the newest version that their sender knows of. A node whose
own read does not bring a version that others have receives it from one of them.
"""

import anyio

from gypsumring.cell.messages import ReadVersion, VersionPiece
from gypsumring.metrics import Metrics
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.node.version_copies import decompress_piece
from gypsumring.transport import Channel, ChannelClosed, LinkTraffic
from gypsumring.utils.logs import EventLogger

__all__ = ["VersionExchange"]

log = EventLogger("desired")

# A version that others have is asked for once nothing of it has arrived for this time.
PATIENCE_S = 0.3
# A piece is late after this time; the pieces that have arrived are kept.
PIECE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1
# No version has more pieces: the platform accepts no larger records.
MAX_PIECES = 1_000


class PartialVersion:
    """Pieces of a version that have arrived."""

    __slots__ = ("count", "next_offset", "pieces", "version")

    def __init__(self, version: int, count: int, next_offset: int):
        self.version = version
        self.count = count
        self.next_offset = next_offset
        self.pieces: list[bytes] = []


class VersionExchange:
    """What other nodes know of the desired state, and reads of it from them."""

    __slots__ = (
        "known_version",
        "metrics",
        "named",
        "news",
        "partial",
        "traffic",
        "watch",
    )

    def __init__(
        self,
        watch: DesiredStateWatch,
        traffic: LinkTraffic,
        metrics: Metrics,
    ):
        self.watch = watch
        self.traffic = traffic
        self.metrics = metrics
        # Newest version that any node has named.
        self.known_version = 0
        # The last version that each node has named, by the channel to it.
        self.named: dict[Channel, int] = {}
        # Set when a newer version than before is named.
        self.news = anyio.Event()
        self.partial: PartialVersion | None = None

    def newest_known(self) -> int:
        """Return the newest version that this node has or knows of."""
        return max(self.known_version, self.watch.version())

    def is_behind(self) -> bool:
        """Return whether another node has a newer version than this one."""
        return self.known_version > self.watch.version()

    def record(self, version: int, channel: Channel) -> None:
        """Record the version that another node has named on a channel."""
        if channel not in self.named:
            self.named = {
                each: number for each, number in self.named.items() if not each.closed
            }
        self.named[channel] = version
        if version > self.known_version:
            self.known_version = version
            self.news.set()
            self.news = anyio.Event()

    async def run(self) -> None:
        """Read versions that the store does not deliver from other nodes."""
        while True:
            if not self.is_behind():
                await self.news.wait()
                continue
            now = anyio.current_time()
            due_at = max(now, self.watch.received_at) + PATIENCE_S
            await anyio.sleep_until(due_at)
            if self.is_behind() and self.watch.received_at + PATIENCE_S <= due_at:
                await self.fetch()

    async def fetch(self) -> None:
        """Read the newest version from the first node that has it."""
        for channel, version in list(self.named.items()):
            if channel.closed or version <= self.watch.version():
                continue
            try:
                await self.read_from(channel)
            except (ChannelClosed, ValueError) as error:
                self.metrics.count("desired.copies.failed")
                log.debug("version not read from a node", error=str(error))
            if not self.is_behind():
                return
        await anyio.sleep(RETRY_PAUSE_S)

    async def read_from(self, channel: Channel) -> None:
        """Read a version from a node, going on after the pieces that have arrived.

        Raise ChannelClosed if the node does not answer and ValueError if it sends an
        odd piece.
        """
        began_at = anyio.current_time()
        while True:
            partial = self.partial
            request = ReadVersion(newer_than=self.watch.version())
            if partial is not None:
                request.version = partial.version
                request.piece = len(partial.pieces)
            deadline = anyio.current_time() + PIECE_TIMEOUT_S
            answer = await channel.call(request, deadline)
            if not isinstance(answer, VersionPiece):
                raise ValueError("unexpected answer to a read of a version")
            if answer.version <= self.watch.version():
                return
            self.add_piece(answer)
            partial = self.partial
            if len(partial.pieces) == partial.count:
                break
        self.partial = None
        self.metrics.count("desired.copies.read")
        self.watch.apply_copy(
            b"".join(partial.pieces),
            partial.next_offset,
            anyio.current_time() - began_at,
        )

    def add_piece(self, piece: VersionPiece) -> None:
        """Add a piece of the version that is being read, or of a newer one.

        Raise ValueError if the piece is odd; all pieces are then read again.
        """
        partial, self.partial = self.partial, None
        if partial is None or partial.version != piece.version:
            partial = PartialVersion(piece.version, piece.count, piece.next_offset)
        if piece.number != len(partial.pieces) or not 0 < partial.count <= MAX_PIECES:
            raise ValueError("unexpected piece of a version")
        partial.pieces.append(decompress_piece(piece.data))
        self.partial = partial

    async def serve(self, request: ReadVersion) -> VersionPiece:
        """Return a piece of a version once the link has room for it."""
        await self.traffic.wait_for_room()
        piece = self.watch.copies.read(request)
        self.metrics.count("desired.copies.pieces_sent")
        return piece
