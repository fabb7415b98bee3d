"""Promises that this process received from others and gave to them."""

from collections.abc import Iterable

import msgspec

from gypsumring.ownership.decisions import NEVER, GivenPromise, promised_until
from gypsumring.ownership.fold import Member
from gypsumring.settings import TimingSettings

__all__ = ["PromiseBook"]


class ReceivedPromise(msgspec.Struct, frozen=True):
    """Hold a member's promise on a shard at one epoch; ``until`` is monotonic."""

    epoch: int
    until: float


class PromiseBook:
    """Remember promises by shard; times are on the monotonic clock, in seconds."""

    __slots__ = ("given", "received", "timing")

    def __init__(self, timing: TimingSettings):
        self.timing = timing
        self.given: dict[str, GivenPromise] = {}
        self.received: dict[str, dict[str, ReceivedPromise]] = {}

    def note_received(
        self, node: str, shards: Iterable[str], epochs: dict[str, int], until: float
    ) -> None:
        """Remember a member's promises on shards that it was asked for."""
        known = self.received.setdefault(node, {})
        for shard in shards:
            epoch = epochs.get(shard)
            if epoch is not None:
                known[shard] = ReceivedPromise(epoch, until)

    def received_until(
        self, shard: str, epoch: int, members: list[Member], now: float
    ) -> float:
        """Return until when all members promised; NEVER if one of them did not."""
        promises = []
        for member in members:
            promise = self.received.get(member.node, {}).get(shard)
            if promise is None:
                return NEVER
            promises.append((promise.epoch, promise.until))
        return promised_until(now, promises, epoch, self.timing)

    def give(self, shard: str, node: str, now: float) -> None:
        """Promise a node not to act on a shard for the promised time and margin."""
        length_ms = self.timing.promise_ms + self.timing.margin_ms
        self.given[shard] = GivenPromise(node, now + length_ms / 1000)

    def find_holder(self, shard: str, now: float) -> str | None:
        """Return the node that holds this process's unexpired promise on a shard."""
        given = self.given.get(shard)
        return given.node if given is not None and now < given.until else None

    def forget(self, shard: str, node: str) -> None:
        """Drop a promise whose holder has released the shard."""
        given = self.given.get(shard)
        if given is not None and given.node == node:
            del self.given[shard]
