"""What a shard service needs from the scheduler process that runs it."""

import random
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from gypsumring.documents import DocumentLookup
from gypsumring.messages.peer import (
    Explanation,
    PeerMessage,
    PeerReply,
    RackSummary,
)
from gypsumring.metrics import Metrics
from gypsumring.ports import Log, PeerClient, Upstreams, VmEntry
from gypsumring.settings import CellSettings, TimingSettings

__all__ = ["ShardContext", "ShardService"]


class ShardContext:
    """Hold one shard's ownership and the ports of its scheduler process.

    ``may_act_until`` returns the monotonic time up to which this process may act for
    the shard; it moves while the lease is renewed or promises arrive, and lies in the
    past once ownership is lost. ``list_vms`` returns the latest known VM entries.
    ``owner_address`` returns the peer address of a shard's owner, or None.
    ``list_racks`` returns the latest known summaries of all rack shards.
    ``inherited_state`` is what the previous owner's service exported when it released
    the shard, empty for a shard that nobody has owned, and None when the previous
    owner failed or its service was restarted. ``inherited_workers`` names the workers
    that it knew, or is None if some may be missing.
    ``restarts`` counts the earlier services of this shard under the same epoch, which
    ended with an error.
    ``unix_time`` returns the time of day that durable records carry, in Unix seconds.
    ``list_unlisted_workers`` returns workers that the VM list shows no longer and that
    may still run tasks; ``list_trusted_at`` returns the monotonic time from which a
    worker in neither list certainly runs none.
    """

    __slots__ = (
        "cell",
        "documents",
        "epoch",
        "inherited_state",
        "inherited_workers",
        "list_racks",
        "list_trusted_at",
        "list_unlisted_workers",
        "list_vms",
        "log",
        "may_act_until",
        "metrics",
        "node",
        "owner_address",
        "peer_address",
        "peers",
        "random_source",
        "restarts",
        "shard",
        "timing",
        "unix_time",
        "upstreams",
    )

    def __init__(
        self,
        *,
        shard: str,
        epoch: int,
        node: str,
        peer_address: str,
        cell: CellSettings,
        timing: TimingSettings,
        may_act_until: Callable[[], float],
        owner_address: Callable[[str], str | None],
        list_racks: Callable[[], list[RackSummary]],
        list_vms: Callable[[], list[VmEntry]],
        documents: DocumentLookup,
        log: Log,
        peers: PeerClient,
        upstreams: Upstreams,
        metrics: Metrics,
        random_source: random.Random,
        inherited_state: bytes | None = None,
        restarts: int = 0,
        unix_time: Callable[[], float] = time.time,
        list_unlisted_workers: Callable[[], list[VmEntry]] = list,
        list_trusted_at: Callable[[], float] = lambda: float("-inf"),
    ):
        self.shard = shard
        self.epoch = epoch
        self.node = node
        self.peer_address = peer_address
        self.cell = cell
        self.timing = timing
        self.may_act_until = may_act_until
        self.owner_address = owner_address
        self.list_racks = list_racks
        self.list_vms = list_vms
        self.documents = documents
        self.log = log
        self.peers = peers
        self.upstreams = upstreams
        self.metrics = metrics
        self.random_source = random_source
        self.inherited_state = inherited_state
        self.inherited_workers: tuple[str, ...] | None = None
        self.restarts = restarts
        self.unix_time = unix_time
        self.list_unlisted_workers = list_unlisted_workers
        self.list_trusted_at = list_trusted_at

    def may_act(self) -> bool:
        """Tell whether this process may act for the shard now."""
        return anyio.current_time() < self.may_act_until()


class ShardService(Protocol):
    """Serve one owned shard; created when it is acquired, cancelled when lost."""

    async def run(self) -> None:
        """Recover the shard's state, then serve it until cancelled."""

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message for this shard; raise PeerRejected."""

    async def drain(self) -> None:
        """Stop starting new work and wait for calls in flight, before a handoff."""

    def export_state(self) -> bytes:
        """Return what the next owner's service needs, after ``drain``."""

    def summarize(self) -> RackSummary | None:
        """Return the summary of a rack shard, or None for a ledger shard."""

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain a job, a request key or the shard."""
