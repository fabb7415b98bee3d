"""Channels between nodes: a faulty message affects only its request or channel."""

from contextlib import asynccontextmanager

import anyio
import msgspec

from gypsumring.transport import Channel, ChannelClosed, ConnectFailed
from gypsumring.utils.testing import after, make_load_tests, raised

STREAM_BUFFER_SIZE = 100


class Text(msgspec.Struct, tag=True, array_like=True):
    """Test message."""

    text: str


decoder = msgspec.msgpack.Decoder(Text)


class MemoryStream:
    """One end of an in-memory connection."""

    __slots__ = ("incoming", "outgoing")

    def __init__(self, incoming, outgoing):
        self.incoming = incoming
        self.outgoing = outgoing

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await self.outgoing.send(data)

    async def receive(self, max_bytes: int) -> bytes:
        """Receive the next piece of data."""
        return await self.incoming.receive()

    async def aclose(self) -> None:
        """Close this end."""
        await self.incoming.aclose()
        await self.outgoing.aclose()


async def answer(channel: Channel, message: Text) -> Text:
    """Answer a request in upper case; raise KeyError for the text ``fail``."""
    if message.text == "fail":
        raise KeyError("unexpected")
    return Text(message.text.upper())


@asynccontextmanager
async def connect_channels():
    """Yield a running channel, its stream and the channel of its peer."""
    to_peer, peer_incoming = anyio.create_memory_object_stream(STREAM_BUFFER_SIZE)
    to_local, local_incoming = anyio.create_memory_object_stream(STREAM_BUFFER_SIZE)
    local_stream = MemoryStream(local_incoming, to_peer)
    local = Channel(local_stream, decoder, answer)
    peer = Channel(MemoryStream(peer_incoming, to_local), decoder, answer)
    async with anyio.create_task_group() as group:
        group.start_soon(local.run)
        group.start_soon(peer.run)
        yield local, local_stream, peer
        group.cancel_scope.cancel()


async def test_error_in_one_request_ends_neither_channel_nor_process():
    async with connect_channels() as (local, _, peer):
        await raised(ChannelClosed, local.call(Text("fail"), after(0.2)))
        assert await local.call(Text("go on"), after(0.2)) == Text("GO ON")
        assert not peer.closed


async def test_damaged_frame_closes_its_channel_only():
    for damaged in (
        b"\x00\x00\x00\x03abc",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x04\x93\x01\xc2\x05",
    ):
        async with connect_channels() as (local, stream, peer):
            await stream.send(damaged)
            await anyio.sleep(0.1)
            assert peer.closed
            await raised(ChannelClosed, local.call(Text("late"), after(0.2)))


async def test_nested_frame_closes_its_channel_only():
    # RecursionError left the channel and ended all channels of the process.
    nested = b"\x91" * 100_000 + b"\xc0"
    for payload in (
        b"\x94\x01\xc2\x92\xa4Text\xa1x" + nested,
        b"\x93\x01\xc2\x93\xa4Text\xa1x" + nested,
    ):
        async with connect_channels() as (local, stream, peer):
            await stream.send(len(payload).to_bytes(4, "big") + payload)
            await anyio.sleep(0.1)
            assert peer.closed
            await raised(ChannelClosed, local.call(Text("late"), after(0.2)))


async def test_address_that_names_no_host_and_port_is_a_failed_connection():
    # ValueError, UnicodeError or OverflowError ended the search for the owner.
    for address in ("", "host", "a..b:80", "x" * 70 + ":80", "\ufffd:80", "h:9" * 3000):
        call = Channel.connect(address, decoder, answer, after(0.2))
        assert "not a host and a port" in str(await raised(ConnectFailed, call))
    for port in ("99999", "-1", "1" + "0" * 30, "9" * 5000, "x"):
        address = f"127.0.0.1:{port}"
        call = Channel.connect(address, decoder, answer, after(0.2))
        assert "not a host and a port" in str(await raised(ConnectFailed, call))


load_tests = make_load_tests(globals())
