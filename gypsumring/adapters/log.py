"""HTTP client of the log.

``POST /streams/{name}`` appends the body and returns ``{"offset": n}``.
``GET /streams/{name}?start=&limit=&wait_ms=`` returns a LogPage in msgpack, or status
410 with ``{"first_offset": n}`` if records before that offset are no longer retained.
"""

from urllib.parse import quote

import anyio
import msgspec

from gypsumring.adapters.exceptions import CallFailed, InvalidAnswer
from gypsumring.adapters.http import (
    TrafficCounter,
    call_http,
    decode_answer,
    open_client,
)
from gypsumring.metrics import Metrics
from gypsumring.ports import LogPage, LogUnavailable, OffsetExpired

__all__ = ["HttpLog"]

# A process has one long poll and one append in flight for each stream: up to 64 ledgers
# and two shared streams.
MAX_LOG_CONNECTIONS = 160
NODE_HEADER = "gypsumring-node"


class AppendAnswer(msgspec.Struct):
    """Answer to an append."""

    offset: int


class FirstOffset(msgspec.Struct):
    """Answer to a read that starts before the first retained record."""

    first_offset: int


class HttpLog:
    """HTTP client that appends to and reads from the log.

    ``call_timeout_ms`` limits each call, not counting the long-poll time of a read. It
    is longer than the 10 s that a slow log takes to answer.
    """

    def __init__(
        self,
        url: str,
        node: str,
        call_timeout_ms: int = 15_000,
        metrics: Metrics | None = None,
    ):
        self.client = open_client(url, MAX_LOG_CONNECTIONS)
        self.headers = ((NODE_HEADER, node),)
        self.call_timeout_s = call_timeout_ms / 1000
        self.traffic = TrafficCounter(metrics or Metrics(), "log")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable."""
        try:
            answer = await call_http(
                self.client,
                "POST",
                f"/streams/{quote(stream, safe='')}",
                deadline=anyio.current_time() + self.call_timeout_s,
                traffic=self.traffic,
                headers=self.headers,
                content=payload,
            )
            return decode_answer(answer, AppendAnswer).offset
        except (CallFailed, InvalidAnswer) as error:
            raise LogUnavailable(str(error)) from error

    async def read(
        self, stream: str, start_offset: int, limit: int, wait_ms: int
    ) -> LogPage:
        """Read records; raise LogUnavailable or OffsetExpired."""
        try:
            answer = await call_http(
                self.client,
                "GET",
                f"/streams/{quote(stream, safe='')}",
                deadline=anyio.current_time() + self.call_timeout_s + wait_ms / 1000,
                traffic=self.traffic,
                headers=self.headers,
                params={"start": start_offset, "limit": limit, "wait_ms": wait_ms},
            )
            if answer.status != 410:
                return decode_answer(answer, LogPage)
            expired = decode_answer(
                msgspec.structs.replace(answer, status=200), FirstOffset
            )
        except (CallFailed, InvalidAnswer) as error:
            raise LogUnavailable(str(error)) from error
        raise OffsetExpired(stream, expired.first_offset)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
