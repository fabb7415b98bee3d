"""Transport of peer messages over pynng request and reply sockets."""

import contextlib
from collections.abc import Awaitable
from typing import TypeVar

import anyio
import anyio.lowlevel
import anyio.to_thread
import logbook
import pynng

from gypsumring.messages.codec import (
    MAX_FRAME_BYTES,
    DecodeError,
    decode_envelope,
    decode_reply,
    encode,
)
from gypsumring.messages.peer import (
    Envelope,
    HeartbeatReply,
    PeerMessage,
    PeerReply,
    Rejected,
)
from gypsumring.metrics import Metrics, RefusalReason
from gypsumring.ports import (
    PeerHandler,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)

__all__ = ["NngPeerClient", "PeerServer"]

ResultType = TypeVar("ResultType")

log = logbook.Logger("peers")

# Per server; further requests wait in their connections.
MAX_CONCURRENT_REQUESTS = 128
# Calls in flight to one peer; further calls wait until their deadline.
MAX_CALLS_PER_PEER = 128
# nng would repeat an unanswered request after it redials. The client therefore abandons
# a broken connection together with its requests long before this delay has passed.
REDIAL_DELAY_MS = 3_600_000
RESEND_DISABLED = -1
# Over TCP, nng adds 8 bytes of length and 4 bytes of request id to each frame.
FRAME_OVERHEAD_BYTES = 12


async def run_nng(operation: Awaitable[ResultType]) -> ResultType:
    """Await an nng operation.

    On asyncio, pynng raises a new CancelledError, which anyio cannot attribute to its
    cancel scope. The checkpoint raises the error of the scope instead.
    """
    try:
        return await operation
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise


def count_frame(metrics: Metrics, direction: str, frame: bytes) -> None:
    """Count the bytes of a frame; ``direction`` is ``sent`` or ``received``."""
    metrics.count(f"peers.bytes_{direction}", len(frame) + FRAME_OVERHEAD_BYTES)


def close_context(context: pynng.Context) -> None:
    """Close a context, even if its socket is already closed."""
    with contextlib.suppress(pynng.Closed):
        context.close()


class PeerServer:
    """Server that answers peer messages on one address.

    ``address`` has the form IP:port. With port 0 the system assigns a port, which
    ``address`` contains after ``listen``.
    """

    def __init__(
        self,
        address: str,
        handler: PeerHandler,
        *,
        incarnation: int,
        metrics: Metrics,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        concurrency: int = MAX_CONCURRENT_REQUESTS,
    ):
        self.address = address
        self.handler = handler
        self.incarnation = incarnation
        self.metrics = metrics
        self.max_frame_bytes = max_frame_bytes
        self.concurrency = concurrency
        self.socket: pynng.Rep0 | None = None

    def listen(self) -> None:
        """Bind the address; raise pynng.AddressInUse if it is in use."""
        # nng closes a connection on which a longer frame arrives.
        self.socket = pynng.Rep0(recv_max_size=self.max_frame_bytes)
        listener = self.socket.listen(f"tcp://{self.address}")
        self.address = str(listener.local_address)

    async def run(self) -> None:
        """Answer messages until cancelled."""
        if self.socket is None:
            self.listen()
        try:
            async with anyio.create_task_group() as group:
                for _ in range(self.concurrency):
                    group.start_soon(self.serve, self.socket.new_context())
        finally:
            self.socket.close()

    async def serve(self, context: pynng.Context) -> None:
        """Receive and answer messages one at a time."""
        try:
            while True:
                try:
                    message = await run_nng(context.arecv_msg())
                    frame = await self.answer(message)
                    if frame is not None:
                        count_frame(self.metrics, "sent", frame)
                        await run_nng(context.asend(frame))
                except pynng.Closed:
                    return
                except pynng.NNGException as error:
                    self.metrics.count("peers.server_errors")
                    log.warning("cannot receive or answer a peer message: {}", error)
                    # Prevents a busy loop if the socket error persists.
                    await anyio.sleep(0.01)
        finally:
            close_context(context)

    async def answer(self, message: pynng.Message) -> bytes | None:
        """Return the encoded reply, or None if no reply is to be sent."""
        payload = message.bytes
        count_frame(self.metrics, "received", payload)
        try:
            envelope = decode_envelope(payload)
        except DecodeError as error:
            self.metrics.count("peers.malformed")
            log.warning("closing a connection that sent a malformed frame: {}", error)
            if message.pipe is not None:
                message.pipe.close()
            return None
        if envelope.to_incarnation not in (0, self.incarnation):
            self.metrics.refuse("peers", RefusalReason.OLD_INCARNATION)
            return encode(Rejected(RefusalReason.OLD_INCARNATION))
        try:
            reply = await self.handler(envelope.sender, envelope.message)
        except PeerRejected as error:
            reply = Rejected(error.reason)
        except Exception:
            # The message may have taken effect, so the server sends no rejection.
            self.metrics.count("peers.handler_errors")
            log.exception("handler of {} failed", type(envelope.message).__name__)
            return None
        frame = encode(reply)
        if len(frame) > self.max_frame_bytes:
            self.metrics.count("peers.replies_too_large")
            return None
        return frame


class Connection:
    """Connection to one peer; a broken connection is replaced, not reused."""

    def __init__(self, address: str, max_frame_bytes: int):
        self.address = address
        self.is_broken = False
        self.socket = pynng.Req0(
            resend_time=RESEND_DISABLED,
            recv_max_size=max_frame_bytes,
            reconnect_time_min=REDIAL_DELAY_MS,
            reconnect_time_max=REDIAL_DELAY_MS,
        )
        self.socket.add_post_pipe_remove_cb(self.on_pipe_removed)

    def on_pipe_removed(self, pipe: pynng.Pipe) -> None:
        """Mark the connection as broken; nng calls this on a thread of its own."""
        self.is_broken = True

    def dial(self) -> None:
        """Connect to the peer; blocks the calling thread."""
        self.socket.dial(f"tcp://{self.address}", block=True)


class PeerConnectionState:
    """Connection to one peer, the lock for dialling and the limit on calls."""

    __slots__ = ("call_slots", "connection", "dial_lock")

    def __init__(self):
        self.dial_lock = anyio.Lock()
        self.call_slots = anyio.Semaphore(MAX_CALLS_PER_PEER)
        self.connection: Connection | None = None


class NngPeerClient:
    """Client that sends messages to peers, over one connection per peer."""

    def __init__(
        self,
        node: str,
        *,
        metrics: Metrics | None = None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ):
        self.node = node
        self.metrics = metrics if metrics is not None else Metrics()
        self.max_frame_bytes = max_frame_bytes
        self.connection_states: dict[str, PeerConnectionState] = {}
        self.incarnations: dict[str, int] = {}
        self.next_message_id = 1

    def close(self) -> None:
        """Close all connections; calls in flight raise PeerTimeout."""
        for state in self.connection_states.values():
            if state.connection is not None:
                state.connection.socket.close()
                state.connection = None

    async def call(
        self, address: str, message: PeerMessage, deadline: float
    ) -> PeerReply:
        """Send a message and return the reply; raise the errors of the port."""
        incarnation = self.incarnations.get(address, 0)
        frame = encode(Envelope(self.node, incarnation, self.next_message_id, message))
        self.next_message_id += 1
        if len(frame) > self.max_frame_bytes:
            self.metrics.count("peers.requests_too_large")
            raise PeerUnreachable(
                f"message of {len(frame)} bytes is larger than a frame may be"
            )
        state = self.connection_states.setdefault(address, PeerConnectionState())
        is_sent = False
        connection: Connection | None = None
        context: pynng.Context | None = None
        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
                async with state.call_slots:
                    connection = await self.connect(state, address)
                    context = connection.socket.new_context()
                    await run_nng(context.asend(frame))
                    is_sent = True
                    count_frame(self.metrics, "sent", frame)
                    payload = await run_nng(context.arecv())
                    count_frame(self.metrics, "received", payload)
        except (pynng.NNGException, TimeoutError) as error:
            if isinstance(error, pynng.ConnectionReset) and connection is not None:
                # nng may report the end of the pipe only later. Until then, a call on
                # this connection would wait for another pipe until its deadline.
                connection.is_broken = True
            if is_sent:
                self.metrics.count("peers.timeouts")
                raise PeerTimeout(f"{address}: no reply: {error}") from error
            self.metrics.count("peers.unreachable")
            raise PeerUnreachable(f"{address}: not sent: {error}") from error
        finally:
            if context is not None:
                close_context(context)
        try:
            reply = decode_reply(payload)
        except DecodeError as error:
            self.metrics.count("peers.malformed")
            state.connection = None
            connection.socket.close()
            raise PeerTimeout(f"{address}: malformed reply: {error}") from error
        if isinstance(reply, Rejected):
            if reply.reason == RefusalReason.OLD_INCARNATION:
                self.incarnations.pop(address, None)
            raise PeerRejected(reply.reason)
        if isinstance(reply, HeartbeatReply):
            self.incarnations[address] = reply.incarnation
        return reply

    async def connect(self, state: PeerConnectionState, address: str) -> Connection:
        """Return the connection to a peer; dial if there is none or it is broken."""
        async with state.dial_lock:
            connection = state.connection
            if connection is not None and not connection.is_broken:
                return connection
            if connection is not None:
                # Closing the socket ends calls in flight before nng can repeat them.
                state.connection = None
                connection.socket.close()
                self.metrics.count("peers.reconnects")
            connection = Connection(address, self.max_frame_bytes)
            try:
                await anyio.to_thread.run_sync(connection.dial, abandon_on_cancel=True)
            except BaseException:
                connection.socket.close()
                raise
            state.connection = connection
            return connection
