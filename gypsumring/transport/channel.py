"""Bidirectional calls between two nodes over one TCP connection.

A frame consists of its length (4 bytes, big-endian) and a msgpack array of the call id,
a flag that distinguishes replies from requests, and the encoded message.
"""

import struct
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import msgspec

from gypsumring.transport.exceptions import (
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
)
from gypsumring.transport.http_client import set_socket_timeouts
from gypsumring.transport.traffic import LinkTraffic, Purpose
from gypsumring.utils.addresses import split_address
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["Channel", "ChannelLimits", "serve_channels"]

log = EventLogger("channel")

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Frame(msgspec.Struct, array_like=True):
    """Frame of one request or reply."""

    call_id: int
    is_reply: bool
    message: msgspec.Raw


encode = msgspec.msgpack.Encoder().encode
decode_frame = msgspec.msgpack.Decoder(Frame).decode


class PendingCall:
    """Call in flight; ``reply`` is None if the channel ended before the reply."""

    __slots__ = ("finished", "reply")

    def __init__(self):
        self.finished = anyio.Event()
        self.reply: Any = None


class Channel:
    """Message channel to one peer; both sides may send requests.

    ``decoder`` decodes the peer's messages and ``handler`` answers its requests.
    """

    __slots__ = (
        "buffer",
        "pending_calls",
        "closed",
        "decoder",
        "handler",
        "last_call_id",
        "note_received",
        "peer",
        "send_lock",
        "stream",
        "traffic",
    )

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        decoder: msgspec.msgpack.Decoder,
        handler: "Callable[[Channel, Any], Awaitable[Any]]",
        traffic: LinkTraffic | None = None,
    ):
        self.stream = stream
        self.traffic = traffic or LinkTraffic()
        # What was received of the next frame.
        self.buffer = bytearray()
        self.decoder = decoder
        self.handler = handler
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_call_id = 0
        self.send_lock = anyio.Lock()
        self.closed = False
        # Name and address of the peer, set when its first message arrives.
        self.peer = ""
        # Called after bytes were received; may raise ChannelClosed.
        self.note_received: Callable[[Channel], None] | None = None

    @classmethod
    async def connect(
        cls,
        address: str,
        decoder: msgspec.msgpack.Decoder,
        handler: "Callable[[Channel, Any], Awaitable[Any]]",
        deadline: float,
        traffic: LinkTraffic | None = None,
    ) -> "Channel":
        """Open a channel to ``host:port``; raise ConnectFailed."""
        try:
            host, port = split_address(address)
        except ValueError as error:
            raise ConnectFailed(str(error)) from error
        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
                stream = await anyio.connect_tcp(host, port)
        except ConnectionRefusedError as error:
            raise ConnectRefused(f"{address}: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{address}: {error!r}") from error
        set_socket_timeouts(stream)
        return cls(stream, decoder, handler, traffic)

    async def call(self, message: Any, deadline: float) -> Any:
        """Send a request and return the reply.

        Raise ChannelClosed if the channel ends or no reply arrives before ``deadline``;
        the peer may have handled the request.
        """
        if self.closed:
            raise ChannelClosed("channel is already closed")
        self.last_call_id += 1
        call_id = self.last_call_id
        pending = PendingCall()
        self.pending_calls[call_id] = pending
        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
                await self.send(call_id, False, message)
                await pending.finished.wait()
        except TimeoutError as error:
            raise ChannelClosed("no reply before the deadline") from error
        finally:
            self.pending_calls.pop(call_id, None)
        if pending.reply is None:
            raise ChannelClosed("channel closed before the reply arrived")
        return pending.reply

    async def send(self, call_id: int, is_reply: bool, message: Any) -> None:
        """Send one frame; raise ChannelClosed."""
        payload = encode(Frame(call_id, is_reply, msgspec.Raw(encode(message))))
        purpose = find_purpose(message)
        began_at = anyio.current_time()
        try:
            async with self.send_lock:
                self.traffic.record_sent(LENGTH.size + len(payload), purpose)
                await self.stream.send(LENGTH.pack(len(payload)) + payload)
        except STREAM_ERRORS as error:
            raise ChannelClosed(repr(error)) from error
        if purpose is Purpose.LIVENESS:
            self.traffic.record_liveness_send(anyio.current_time() - began_at)

    async def run(self) -> None:
        """Read frames until the channel ends; handle requests concurrently."""
        buffer = self.buffer
        try:
            async with anyio.create_task_group() as group:
                try:
                    while not self.closed:
                        buffer += await self.stream.receive(READ_BYTES)
                        if self.note_received is not None:
                            self.note_received(self)
                        self.dispatch_frames(buffer, group)
                except STREAM_ERRORS:
                    pass
                except (*DECODE_ERRORS, ChannelClosed) as error:
                    log.warning(
                        "closing a channel after an invalid frame",
                        peer=self.peer,
                        error=str(error),
                    )
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.aclose()

    def dispatch_frames(self, buffer: bytearray, group: anyio.abc.TaskGroup) -> None:
        """Remove the complete frames from the buffer and dispatch their messages."""
        while len(buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer)
            if length > MAX_FRAME_BYTES:
                raise ChannelClosed(f"frame of {length} bytes exceeds the limit")
            end = LENGTH.size + length
            if len(buffer) < end:
                return
            frame = decode_frame(bytes(buffer[LENGTH.size : end]))
            del buffer[:end]
            message = self.decoder.decode(frame.message)
            self.traffic.record_received(end, find_purpose(message))
            if frame.is_reply:
                pending = self.pending_calls.get(frame.call_id)
                if pending is not None:
                    pending.reply = message
                    pending.finished.set()
            else:
                group.start_soon(self.answer, frame.call_id, message)

    async def answer(self, call_id: int, message: Any) -> None:
        """Handle one request of the peer and send the reply, if any.

        After an unexpected error no reply is sent, since the request may have taken
        effect.
        """
        try:
            reply = await self.handler(self, message)
        except Exception as error:
            kind = type(message).__name__
            log.error(
                "handler of a peer's request failed", kind=kind, **describe_error(error)
            )
            return
        if reply is None:
            return
        try:
            await self.send(call_id, True, reply)
        except ChannelClosed as error:
            log.debug("reply to a peer not sent", peer=self.peer, error=str(error))

    async def aclose(self) -> None:
        """Close the channel; calls in flight raise ChannelClosed."""
        self.closed = True
        for pending in self.pending_calls.values():
            pending.finished.set()
        await anyio.aclose_forcefully(self.stream)


def find_purpose(message: Any) -> Purpose:
    """Return the purpose that the type of a message declares."""
    return getattr(type(message), "purpose", Purpose.OTHER)


class ChannelLimits:
    """Limits of the channels that others open.

    ``opening_bytes`` is the memory for messages of channels without a known peer.
    """

    __slots__ = ("channels", "count", "opening_bytes")

    def __init__(self, channels: int, opening_bytes: int, count: Callable[[str], None]):
        self.channels = channels
        self.opening_bytes = opening_bytes
        self.count = count


class ChannelTable:
    """Channels that others opened, oldest first."""

    __slots__ = ("limits", "open_channels")

    def __init__(self, limits: ChannelLimits):
        self.limits = limits
        self.open_channels: dict[Channel, None] = {}

    def admit(self, channel: Channel) -> Channel | None:
        """Add a channel; return the one that has to be closed for it, if any.

        The oldest one without a known peer goes first, else the new one.
        """
        self.open_channels[channel] = None
        if len(self.open_channels) <= self.limits.channels:
            return None
        self.limits.count("node.door.closed.channels")
        unknown = (each for each in self.open_channels if not each.peer)
        return next(unknown, channel)

    def remove(self, channel: Channel) -> None:
        """Remove a channel."""
        self.open_channels.pop(channel, None)

    def check_opening(self, channel: Channel) -> None:
        """Raise ChannelClosed if channels without a known peer hold too much."""
        if channel.peer or len(channel.buffer) < READ_BYTES:
            return
        held = sum(len(each.buffer) for each in self.open_channels if not each.peer)
        if held > self.limits.opening_bytes:
            self.limits.count("node.door.closed.opening")
            raise ChannelClosed("too many bytes before the first message")


async def serve_channels(
    address: str,
    decoder: msgspec.msgpack.Decoder,
    handler: Callable[[Channel, Any], Awaitable[Any]],
    on_open: Callable[[Channel], None],
    on_close: Callable[[Channel], None],
    limits: ChannelLimits,
    traffic: LinkTraffic | None = None,
) -> None:
    """Accept and serve channels from peers at ``host:port`` until cancelled."""
    host, _, port = address.rpartition(":")
    table = ChannelTable(limits)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        set_socket_timeouts(stream)
        channel = Channel(stream, decoder, handler, traffic)
        channel.note_received = table.check_opening
        superfluous = table.admit(channel)
        if superfluous is not None:
            table.remove(superfluous)
            await superfluous.aclose()
        if superfluous is channel:
            return
        on_open(channel)
        try:
            await channel.run()
        finally:
            table.remove(channel)
            on_close(channel)

    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    async with listener:
        await listener.serve(serve)
