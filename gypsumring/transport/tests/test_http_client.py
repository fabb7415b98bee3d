"""Odd responses and addresses end in the declared errors of the HTTP client."""

import random

import anyio

from gypsumring.transport import ConnectFailed, HttpClient, NoResponse
from gypsumring.transport.http_client import MAX_RESPONSE_BYTES, read_response
from gypsumring.utils.testing import after, make_load_tests, raised

HEAD = b"HTTP/1.1 200 OK\r\n"


class ScriptedStream:
    """Stream that delivers the given pieces and then ends."""

    __slots__ = ("pieces",)

    def __init__(self, *pieces: bytes):
        self.pieces = list(pieces)

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop(0)


async def test_odd_numbers_in_the_head_of_a_response_count_as_no_response():
    for odd in (
        HEAD + b"Content-Length: 99999999999999999999999\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffffffffff\r\n",
        b"HTTP/1.1 99999 OK\r\n\r\n",
        b"\x00\xff",
    ):
        await raised(NoResponse, read_response(ScriptedStream(odd)))


async def test_damaged_responses_count_as_no_response():
    # An error of another class ended the caller of the client.
    random_source = random.Random(12)
    good = HEAD + b'Content-Length: 12\r\nConnection: close\r\n\r\n{"offset":1}'
    complete = 0
    for _ in range(1_500):
        damaged = bytearray(good)
        for _ in range(random_source.randint(1, 3)):
            position = random_source.randrange(len(damaged))
            damaged[position] = random_source.randrange(256)
        cut = random_source.randrange(len(damaged))
        stream = ScriptedStream(bytes(damaged[:cut]), bytes(damaged[cut:]))
        try:
            response = await read_response(stream)
        except NoResponse:
            continue
        complete += 1
        assert len(response.body) <= len(good)
    assert 0 < complete < 1_500


async def test_change_of_protocol_counts_as_no_response():
    # The parser raised an error of another class, which left the client.
    head = b"HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n"
    await raised(NoResponse, read_response(ScriptedStream(head)))


async def test_response_without_end_is_given_up_at_its_size_limit():
    # A body of any length was collected until the deadline.
    piece = b"x" * 1_000_000
    length = MAX_RESPONSE_BYTES + 2 * len(piece)
    pieces = [piece] * (length // len(piece) + 1)
    stream = ScriptedStream(HEAD + b"Content-Length: %d\r\n\r\n" % length, *pieces)
    await raised(NoResponse, read_response(stream))
    assert stream.pieces


async def test_odd_addresses_and_headers_count_as_failed_connections():
    # ValueError or UnicodeError left the client; a stored executor with such an address
    # ended each owner while it read the cell.
    for address in ("", "host", "a..b:80", "127.0.0.1:99999", "127.0.0.1:x", "h:-1"):
        client = HttpClient(address)
        error = await raised(ConnectFailed, client.request("GET", "/", after(0.2)))
        assert "not a host and a port" in str(error)
    for value in ("\ufffd", "i\r\nX: y", "i\n"):
        client = HttpClient("127.0.0.1:1")
        call = client.request("GET", "/", after(0.2), headers={"Instance": value})
        assert "header" in str(await raised(ConnectFailed, call))


load_tests = make_load_tests(globals())
