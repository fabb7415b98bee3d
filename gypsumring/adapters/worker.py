"""HTTP client of a worker.

It calls ``POST /start``, ``/renew``, ``/act`` and ``GET /inventory``, ``/usage``.
Bodies are the types of the port, encoded in msgpack.
"""

import math
from typing import TypeVar

import msgspec

from gypsumring.adapters.exceptions import CallFailed, InvalidAnswer
from gypsumring.adapters.http import (
    MSGPACK_TYPE,
    TrafficCounter,
    call_http,
    decode_answer,
    open_client,
)
from gypsumring.ports import (
    Inventory,
    StartReply,
    TaskAction,
    TaskStart,
    UsageReport,
    WorkerTimeout,
    WorkerUnreachable,
)

__all__ = ["HttpWorker"]

# More than one, so that a slow inventory does not delay a start or a renewal.
MAX_WORKER_CONNECTIONS = 4

AnswerType = TypeVar("AnswerType")


class HttpWorker:
    """HTTP client of one worker."""

    def __init__(self, address: str, traffic: TrafficCounter):
        self.address = address
        self.traffic = traffic
        self.client = open_client(f"http://{address}", MAX_WORKER_CONNECTIONS)

    async def call(
        self,
        path: str,
        answer_type: type[AnswerType],
        deadline: float,
        body: object = None,
    ) -> AnswerType:
        """Send POST if there is a body, otherwise GET, and decode the answer."""
        try:
            answer = await call_http(
                self.client,
                "GET" if body is None else "POST",
                path,
                deadline=deadline,
                traffic=self.traffic,
                headers=(("content-type", MSGPACK_TYPE),),
                content=None if body is None else msgspec.msgpack.encode(body),
            )
            return decode_answer(answer, answer_type)
        except CallFailed as error:
            reason = f"worker {self.address}: {error}"
            if error.sent:
                raise WorkerTimeout(reason) from error
            raise WorkerUnreachable(reason) from error
        except InvalidAnswer as error:
            raise WorkerTimeout(f"worker {self.address}: {error}") from error

    async def start(self, starts: list[TaskStart], deadline: float) -> StartReply:
        """Start task attempts."""
        return await self.call("/start", StartReply, deadline, starts)

    async def renew(
        self, lease_ms: int, deadline: float, renew_before: float = math.inf
    ) -> Inventory:
        """Renew the leases of all running tasks and return the inventory."""
        body = (lease_ms, renew_before)
        return await self.call("/renew", Inventory, deadline, body)

    async def inventory(self, deadline: float) -> Inventory:
        """Return all task attempts, without renewing their leases."""
        return await self.call("/inventory", Inventory, deadline)

    async def usage(self, deadline: float) -> UsageReport:
        """Return the measured usage, which lags behind the actual usage."""
        return await self.call("/usage", UsageReport, deadline)

    async def act(self, actions: list[TaskAction], deadline: float) -> Inventory:
        """Apply actions and return the resulting inventory."""
        return await self.call("/act", Inventory, deadline, actions)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
