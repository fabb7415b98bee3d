"""HTTP client of the VM list: ``GET /vms`` returns a VmListing in JSON.

A list of 48 VMs takes 13 KB and is read twice per second. If the server sends an
``ETag``, the client sends ``If-None-Match`` (RFC 9110, section 13), so that the server
can answer 304 for an unchanged list.
"""

import anyio

from gypsumring.adapters.exceptions import CallFailed, InvalidAnswer
from gypsumring.adapters.http import (
    TrafficCounter,
    call_http,
    decode_answer,
    open_client,
)
from gypsumring.metrics import Metrics
from gypsumring.ports import VmListing, VmListUnavailable

__all__ = ["HttpVmList"]


class HttpVmList:
    """HTTP client of the VM list; ``call_timeout_ms`` limits each call."""

    def __init__(
        self, url: str, call_timeout_ms: int = 5_000, metrics: Metrics | None = None
    ):
        self.client = open_client(url, 2)
        self.call_timeout_s = call_timeout_ms / 1000
        self.traffic = TrafficCounter(metrics or Metrics(), "vm_list")
        self.entity_tag = ""
        self.listing: VmListing | None = None

    async def list_vms(self) -> VmListing:
        """Return the current listing; raise VmListUnavailable."""
        deadline = anyio.current_time() + self.call_timeout_s
        cached, entity_tag = self.listing, self.entity_tag
        headers = (
            (("if-none-match", entity_tag),)
            if cached is not None and entity_tag
            else ()
        )
        try:
            answer = await call_http(
                self.client,
                "GET",
                "/vms",
                deadline=deadline,
                traffic=self.traffic,
                headers=headers,
            )
            if answer.status == 304 and cached is not None:
                return cached
            listing = decode_answer(answer, VmListing)
        except (CallFailed, InvalidAnswer) as error:
            raise VmListUnavailable(str(error)) from error
        self.entity_tag, self.listing = answer.header("etag"), listing
        return listing

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
