"""Reads of several large records end at the beginning of their response."""

import anyio

from gypsumring.platform.store import READ_HEADER, PlatformStore, encode_records
from gypsumring.ports.store import BacklogTooLarge, ReadProgress
from gypsumring.transport import HttpClient, RelayedClient
from gypsumring.utils.testing import after, make_load_tests, raised

TOPIC, KEY = "keyed.op", "config"
RECORD_BYTES = 300_000
MAX_BACKLOG_BYTES = 64_000
PIECE_BYTES = 10_000


class PiecewiseStream:
    """Connection that delivers one response in pieces."""

    __slots__ = ("pieces",)

    def __init__(self, response: bytes):
        self.pieces = [
            response[start : start + PIECE_BYTES]
            for start in range(0, len(response), PIECE_BYTES)
        ]

    async def send(self, message: bytes) -> None:
        """Accept a request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        await anyio.sleep(0.01)
        return self.pieces.pop(0)

    async def aclose(self) -> None:
        """Close nothing."""


class StreamClient(HttpClient):
    """HTTP client with one connection."""

    __slots__ = ("stream",)

    def __init__(self, stream: PiecewiseStream):
        super().__init__("127.0.0.1:1")
        self.stream = stream

    async def connect(self, deadline: float) -> PiecewiseStream:
        """Return the connection."""
        return self.stream


def make_store(offset: int, records: int, size: int, declares_length: bool = True):
    """Return a store that answers a read from an offset, and its connection."""
    body = READ_HEADER.pack(offset + records, 0)
    body += encode_records([(KEY, b"x" * size)] * records)
    head = b"HTTP/1.1 200 OK\r\n"
    if declares_length:
        head += b"Content-Length: %d\r\n\r\n" % len(body)
    else:
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    stream = PiecewiseStream(head + body)
    return PlatformStore(RelayedClient(StreamClient(stream), "store")), stream


def read(store: PlatformStore, offset: int, progress: ReadProgress | None = None):
    """Read from an offset, unless there are several large records."""
    return store.read(TOPIC, 0, offset, 0.0, after(1.0), progress, MAX_BACKLOG_BYTES)


# A node that was behind received each version since the last one that it had.
async def test_read_of_several_large_records_ends_with_the_first_piece():
    for declares_length in (True, False):
        store, stream = make_store(7, 3, RECORD_BYTES, declares_length)
        left = len(stream.pieces)
        error = await raised(BacklogTooLarge, read(store, 7))
        assert error.end_offset == 10
        assert len(stream.pieces) == left - 1
        assert store.client.is_healthy()


# The newest version is read whole however large it is.
async def test_one_large_record_is_read():
    store, _ = make_store(7, 1, RECORD_BYTES)
    progress = ReadProgress()
    batch = await read(store, 7, progress)
    assert [len(record.value) for record in batch.records] == [RECORD_BYTES]
    assert progress.received_bytes > RECORD_BYTES


# Several small versions take one read.
async def test_several_small_records_are_read():
    store, _ = make_store(7, 3, 1_000)
    batch = await read(store, 7)
    assert [record.offset for record in batch.records] == [7, 8, 9]


load_tests = make_load_tests(globals())
