"""Copies of versions of the desired state, which nodes pass on to each other.

A copy is sent in compressed pieces. One message of its size would delay the pings and
commands on the same connection by seconds where links are slow.
"""

import zlib

from gypsumring.cell.messages import ReadVersion, VersionPiece

__all__ = ["PIECE_BYTES", "VersionCopies", "VersionCopy", "decompress_piece"]

# Size of a piece before it is compressed.
PIECE_BYTES = 64_000
# Versions that others may be reading when a newer one arrives.
KEPT_VERSIONS = 2
# A version changes seldom and is sent to many: the fastest level halves the time and
# leaves a tenth more bytes.
COMPRESSION_LEVEL = 1


class VersionCopy:
    """Version of the desired state as the operator wrote it.

    ``next_offset`` is the offset after its record.
    """

    __slots__ = ("next_offset", "pieces", "value", "version")

    def __init__(self, version: int, value: bytes, next_offset: int):
        self.version = version
        self.value = value
        self.next_offset = next_offset
        # Compressed pieces that were sent before, by their number.
        self.pieces: dict[int, bytes] = {}

    @property
    def piece_count(self) -> int:
        """Return the number of pieces."""
        return max(1, -(-len(self.value) // PIECE_BYTES))

    def compress_piece(self, number: int) -> bytes:
        """Return a compressed piece, which is empty beyond the last one."""
        piece = self.pieces.get(number)
        if piece is None:
            start = number * PIECE_BYTES
            content = self.value[start : start + PIECE_BYTES]
            piece = self.pieces[number] = zlib.compress(content, COMPRESSION_LEVEL)
        return piece


class VersionCopies:
    """The newest versions that this node has had in force."""

    __slots__ = ("copies",)

    def __init__(self):
        # By version, the newest one last.
        self.copies: dict[int, VersionCopy] = {}

    def add(self, version: int, value: bytes, next_offset: int) -> None:
        """Keep a version, and no more than a few earlier ones."""
        self.copies[version] = VersionCopy(version, value, next_offset)
        while len(self.copies) > KEPT_VERSIONS:
            del self.copies[next(iter(self.copies))]

    def read(self, request: ReadVersion) -> VersionPiece:
        """Return one piece of a version, or of the newest one if it is not kept.

        The piece is that of version 0 if there is none that the other node lacks.
        """
        if not self.copies:
            return VersionPiece()
        newest = next(reversed(self.copies.values()))
        if newest.version <= request.newer_than:
            return VersionPiece()
        copy = self.copies.get(request.version, newest)
        number = request.piece if copy.version == request.version else 0
        if number >= copy.piece_count:
            return VersionPiece()
        return VersionPiece(
            copy.version,
            number,
            copy.piece_count,
            copy.next_offset,
            copy.compress_piece(number),
        )


def decompress_piece(data: bytes) -> bytes:
    """Decompress a piece; raise ValueError if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, PIECE_BYTES)
    except zlib.error as error:
        raise ValueError(f"piece of a version: {error}") from error
    if not decompressor.eof:
        raise ValueError("piece of a version: too large or not complete")
    return content
