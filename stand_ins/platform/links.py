"""Links of processes that carry a limited number of bytes a second."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gypsumring.exceptions import PortError
from gypsumring.ports.store import ReadProgress
from gypsumring.transport import LinkTraffic
from gypsumring.transport.http_client import PROGRESS_TIMEOUT_S

__all__ = ["Connections", "LinkModel"]

# Messages are carried in pieces, and each waits for its turn after each piece, as TCP
# connections share a link. This is the initial congestion window of TCP, 10 segments.
PIECE_BYTES = 14_600
# Size of an answer that reports an error.
ERROR_BYTES = 150


class LinkDirection:
    """Queue of the pieces that a link carries in one direction, first in first out."""

    __slots__ = ("bytes_per_s", "idle_at")

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        # When all pieces that were queued so far have been carried.
        self.idle_at = 0.0

    async def carry(
        self, size: float, on_piece: Callable[[], None] | None = None
    ) -> None:
        """Return once the link has carried a message; call a function for each piece.

        A piece that has been queued is carried also if the caller is cancelled.
        """
        while size > 0:
            piece = min(size, PIECE_BYTES)
            size -= piece
            begins_at = max(self.idle_at, anyio.current_time())
            self.idle_at = begins_at + piece / self.bytes_per_s
            await anyio.sleep_until(self.idle_at)
            if on_piece is not None:
                on_piece()


class LinkModel:
    """Link of a process, with one queue in each direction for all its connections.

    What was queued before it delays a message, whatever its connection and its purpose.
    """

    __slots__ = ("inward", "outward")

    def __init__(self, bytes_per_s: float):
        self.outward = LinkDirection(bytes_per_s)
        self.inward = LinkDirection(bytes_per_s)

    async def send(self, size: float) -> None:
        """Return once the link has carried a message of the process."""
        await self.outward.carry(size)

    async def receive(
        self, size: float, on_piece: Callable[[], None] | None = None
    ) -> None:
        """Return once the link has carried a message to the process."""
        await self.inward.carry(size, on_piece)


class Exchange:
    """Request and its answer, until the caller gives up."""

    __slots__ = ("answering", "ended", "error", "on_piece", "result")

    def __init__(self):
        self.answering = anyio.CancelScope()
        # Called for each piece of the answer that arrives.
        self.on_piece: Callable[[], None] | None = None
        self.ended = anyio.Event()
        self.error: PortError | None = None
        self.result: Any = None


class Connections:
    """Connections of a process to the platform, over its link.

    They open at once. With a round trip for each new connection, a full link would keep
    requests from being sent, and hide that its sender sends too many.
    """

    __slots__ = ("group", "link", "traffic")

    def __init__(
        self, link: LinkModel, traffic: LinkTraffic, group: anyio.abc.TaskGroup
    ):
        self.link = link
        self.traffic = traffic
        # Requests run in this task group, beyond the deadline of the caller.
        self.group = group

    async def call(
        self,
        size: float,
        operation: Callable[[], Awaitable[Any]],
        measure_answer: Callable[[Any], float],
        deadline: float,
        progress: ReadProgress | None = None,
    ) -> Any:
        """Send a request, carry it out and return its answer; raise TimeoutError.

        ``measure_answer`` returns the size of the answer. A call with ``progress``, a
        read, ends only when its deadline has passed and nothing arrives. A request is
        carried out also if the caller has given up before it arrives; its answer is
        then not sent.
        """
        exchange = Exchange()
        self.traffic.record_sent(size)
        self.group.start_soon(self.run, exchange, size, operation, measure_answer)
        try:
            with anyio.fail_after(max(0.0, deadline - anyio.current_time())) as scope:

                def note_piece() -> None:
                    progress.record(progress.received_bytes + PIECE_BYTES)
                    progress_deadline = anyio.current_time() + PROGRESS_TIMEOUT_S
                    scope.deadline = max(scope.deadline, progress_deadline)

                if progress is not None:
                    exchange.on_piece = note_piece
                await exchange.ended.wait()
        finally:
            exchange.answering.cancel()
        if exchange.error is not None:
            raise exchange.error
        return exchange.result

    async def run(
        self,
        exchange: Exchange,
        size: float,
        operation: Callable[[], Awaitable[Any]],
        measure_answer: Callable[[Any], float],
    ) -> None:
        """Carry a request and its answer over the link."""
        await self.link.send(size)
        try:
            exchange.result = await operation()
            answer_size = measure_answer(exchange.result)
        except PortError as error:
            exchange.error = error
            answer_size = ERROR_BYTES
        with exchange.answering:
            await self.link.receive(answer_size, exchange.on_piece)
            self.traffic.record_received(answer_size)
            exchange.ended.set()
