"""HTTP client for orders to executors."""

import anyio
import msgspec

from gypsumring.ports.tasks import (
    MAX_CONCURRENT_ORDERS,
    ExecutorGone,
    ExecutorSilent,
    FenceRefused,
    ListedEnd,
    ListedRun,
    StartRefused,
    TaskLists,
    TaskStart,
)
from gypsumring.transport import (
    ConnectFailed,
    HttpClient,
    HttpResponse,
    LinkTraffic,
    NoResponse,
)
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import Measure, Number, SignedMeasure

__all__ = ["PlatformExecutor"]

# All connections for orders but one are closed once they are idle for this time.
MAX_IDLE_S = 5.0


class OrderReply(msgspec.Struct, rename="camel"):
    """Reply to an order; ``reason`` says why the executor refused it."""

    clock_ms: int | None = None
    reason: str = ""


class RunningRow(msgspec.Struct, array_like=True):
    """Row of a running attempt; ``percent`` is its approximate progress."""

    task: str
    attempt: Number
    checkpoint: str
    percent: Measure
    load: SignedMeasure = 0.0


class EndedRow(msgspec.Struct, array_like=True):
    """Row of an ended attempt."""

    number: Number
    task: str
    attempt: Number
    how: str
    checkpoint: str


class ListsReply(msgspec.Struct, rename="camel"):
    """Task lists that an executor reports; further entries of a row are ignored."""

    clock_ms: Number
    running: list[RunningRow] = []
    ended: list[EndedRow] = []
    # Unix time in milliseconds at which this incarnation started.
    born: Number = 0


class StartBody(msgspec.Struct, rename="camel", omit_defaults=True):
    """Body of a start order.

    ``spec`` is the payload and ``deadline_ms`` the end of the lease.
    """

    task: str
    attempt: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct, rename="camel"):
    """Body of a stop order."""

    task: str
    attempt: int
    fencing_token: int


class PaceBody(msgspec.Struct, rename="camel"):
    """Body of an order that changes the pace of a task."""

    task: str
    attempt: int
    percent: int
    fencing_token: int


class HoldBody(msgspec.Struct, rename="camel", omit_defaults=True):
    """Body of a long poll; the executor discards ends up to ``last_seen``."""

    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


def decode_task_lists(body: bytes) -> TaskLists:
    """Decode the task lists of an executor; raise ``ExecutorSilent`` if malformed."""
    try:
        reply = msgspec.json.decode(body, type=ListsReply)
    except DECODE_ERRORS as error:
        raise ExecutorSilent(f"malformed task lists: {error}") from error
    running = [
        ListedRun(row.task, row.attempt, row.checkpoint, row.percent, row.load)
        for row in reply.running
    ]
    ended = [
        ListedEnd(row.number, row.task, row.attempt, row.how, row.checkpoint)
        for row in reply.ended
    ]
    return TaskLists(reply.clock_ms, reply.born, running, ended)


class PlatformExecutor:
    """HTTP client of one executor; implements the port ``TaskExecutor``.

    Long polls have a connection of their own, so that they and orders do not wait for
    each other.
    """

    __slots__ = ("executor_id", "order_client", "poll_client")

    def __init__(
        self, executor_id: str, address: str, traffic: LinkTraffic | None = None
    ):
        self.executor_id = executor_id
        self.order_client = HttpClient(address, MAX_CONCURRENT_ORDERS, traffic)
        self.poll_client = HttpClient(address, 1, traffic)

    async def order(self, path: str, body: bytes, deadline: float) -> HttpResponse:
        """Send an order to this incarnation.

        Raise ``ExecutorSilent`` or ExecutorGone.
        """
        return await self.call(self.order_client, path, body, deadline)

    async def call(
        self, client: HttpClient, path: str, body: bytes, deadline: float
    ) -> HttpResponse:
        """Call this incarnation; raise ``ExecutorSilent`` or ExecutorGone."""
        try:
            response = await client.request(
                "POST", path, deadline, body, {"Target-Instance": self.executor_id}
            )
        except (ConnectFailed, NoResponse) as error:
            raise ExecutorSilent(str(error)) from error
        if response.status == 421:
            raise ExecutorGone(self.executor_id)
        return response

    async def start(self, start: TaskStart, fence: int, deadline: float) -> int | None:
        """Start an attempt, or confirm an earlier start of it; raise StartRefused."""
        body = StartBody(
            task=start.task,
            attempt=start.attempt,
            spec=start.payload,
            deadline_ms=start.lease_until_ms,
            fencing_token=fence,
            checkpoint=start.checkpoint,
            ticket=start.ticket,
        )
        response = await self.order("/-/run-start", msgspec.json.encode(body), deadline)
        if response.status == 200:
            return decode_order_reply(response).clock_ms
        if response.status in (429, 503):
            raise StartRefused("unhealthy")
        raise_refusal_error(response)

    async def stop(
        self, task: str, attempt: int, fence: int, deadline: float
    ) -> int | None:
        """Stop an attempt and block a late start of it."""
        body = StopBody(task=task, attempt=attempt, fencing_token=fence)
        response = await self.order("/-/run-stop", msgspec.json.encode(body), deadline)
        if response.status == 200:
            return decode_order_reply(response).clock_ms
        if response.status == 409:
            raise_refusal_error(response)
        raise ExecutorSilent(f"stop order answered with status {response.status}")

    async def pace(
        self, task: str, attempt: int, percent: int, fence: int, deadline: float
    ) -> int | None:
        """Set the speed of a filling task to 0 to 100 percent of its full speed."""
        body = msgspec.json.encode(PaceBody(task, attempt, percent, fence))
        response = await self.order("/-/pace", body, deadline)
        if response.status == 409:
            raise_refusal_error(response)
        if response.status != 200:
            raise ExecutorSilent(f"pace order answered with status {response.status}")
        return decode_order_reply(response).clock_ms

    async def hold(
        self,
        fence: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        deadline: float,
    ) -> TaskLists:
        """Extend the lease and long-poll the task lists after end ``last_seen``.

        The executor discards ends up to ``last_seen``. Without ``lease_until_ms`` the
        lease stays as it is.
        """
        await self.order_client.close_idle(anyio.current_time() - MAX_IDLE_S)
        body = msgspec.json.encode(
            HoldBody(fence, last_seen, lease_until_ms, int(wait_s * 1000))
        )
        response = await self.call(self.poll_client, "/-/hold", body, deadline)
        if response.status == 200:
            return decode_task_lists(response.body)
        if response.status == 409:
            raise_refusal_error(response)
        raise ExecutorSilent(f"long poll answered with status {response.status}")

    async def aclose(self) -> None:
        """Close the connections."""
        await self.order_client.aclose()
        await self.poll_client.aclose()


def raise_refusal_error(response: HttpResponse) -> None:
    """Raise the error for the reason with which an executor refused an order."""
    reply = decode_order_reply(response)
    if reply.reason == "fence":
        raise FenceRefused(reply.reason)
    raise StartRefused(reply.reason or f"status {response.status}", reply.clock_ms)


def decode_order_reply(response: HttpResponse) -> OrderReply:
    """Decode the reply to an order; return an empty one if it is malformed."""
    try:
        return msgspec.json.decode(response.body, type=OrderReply)
    except DECODE_ERRORS:
        return OrderReply()
