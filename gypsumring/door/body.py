"""Collection of a body that arrives in pieces of any size."""

__all__ = ["BodyCollector"]

# Smaller pieces are joined, since each piece has a cost of its own.
SMALL_PIECE_BYTES = 4 * 1024


class BodyCollector:
    """Pieces of a body, joined only at its end.

    Bodies that grow side by side in one block each would fragment the memory.
    """

    __slots__ = ("pieces", "size", "tail")

    def __init__(self):
        self.pieces: list[bytes] = []
        self.tail = bytearray()
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Add a piece."""
        self.size += len(piece)
        if len(piece) >= SMALL_PIECE_BYTES:
            self.close_tail()
            self.pieces.append(piece)
            return
        self.tail += piece
        if len(self.tail) >= SMALL_PIECE_BYTES:
            self.close_tail()

    def close_tail(self) -> None:
        """Make one piece of the small ones."""
        if self.tail:
            self.pieces.append(bytes(self.tail))
            self.tail.clear()

    def join(self) -> bytes:
        """Return the body."""
        self.close_tail()
        return b"".join(self.pieces)
