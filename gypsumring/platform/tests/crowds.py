"""Crowds of connections that send what well-behaved clients do not."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.abc

from gypsumring.utils.addresses import split_address

__all__ = [
    "Usage",
    "make_chunks",
    "make_head",
    "make_many_steps",
    "read_usage",
    "split_pieces",
    "standing_crowd",
]

KILOBYTES_PER_MB = 1024
# A connection that has not sent all by then stays as it is.
SENDING_LIMIT_S = 2.5
PIECE_PAUSE_S = 0.02
PIECES = 24
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Usage:
    """Peak memory in MB and open descriptors of a process."""

    __slots__ = ("descriptors", "peak_mb")

    def __init__(self, peak_mb: float, descriptors: int):
        self.peak_mb = peak_mb
        self.descriptors = descriptors


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from ``/proc``."""
    folder = Path("/proc") / str(pid)
    fields = dict(
        line.split(":", 1) for line in (folder / "status").read_text().splitlines()
    )
    peak_mb = int(fields["VmHWM"].split()[0]) / KILOBYTES_PER_MB
    return Usage(peak_mb, sum(1 for _ in (folder / "fd").iterdir()))


def make_head(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request to the tests' host."""
    lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example", *fields, "", ""]
    return "\r\n".join(lines).encode()


def make_chunks(size: int) -> bytes:
    """Return a body of ``size`` chunks of one byte, without its end."""
    return b"1\r\nx\r\n" * size


def make_many_steps(size: int) -> bytes:
    """Return a submission of ``size`` bytes at most, with as many steps as fit."""
    start = b'{"spec":"p","pipeline":['
    step = b'{"dependsOn":[]},'
    count = (size - len(start) - 2) // len(step)
    return start + (step * count)[:-1] + b"]}"


def split_pieces(content: bytes) -> list[bytes]:
    """Split what a connection sends into small pieces."""
    size = max(1, -(-len(content) // PIECES))
    return [content[at : at + size] for at in range(0, len(content), size)]


async def send_pieces(stream: anyio.abc.SocketStream, pieces: list[bytes]) -> None:
    """Send the pieces with pauses; end when the connection is closed or blocked."""
    with anyio.move_on_after(SENDING_LIMIT_S):
        try:
            for number, piece in enumerate(pieces):
                if number:
                    await anyio.sleep(PIECE_PAUSE_S)
                await stream.send(piece)
        except STREAM_ERRORS:
            return


@asynccontextmanager
async def standing_crowd(
    address: str, count: int, contents: Iterable[list[bytes]]
) -> AsyncIterator[None]:
    """Open ``count`` connections that send contents in turn, read nothing and stay."""
    host, port = split_address(address)
    kinds = list(contents)
    streams: list[anyio.abc.SocketStream] = []

    async def join(number: int) -> None:
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError:
            return
        streams.append(stream)
        await send_pieces(stream, kinds[number % len(kinds)])

    try:
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(join, number)
        yield
    finally:
        for stream in streams:
            await anyio.aclose_forcefully(stream)
