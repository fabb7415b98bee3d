"""Addresses of the nodes of a cell, as its owner sends them to all nodes.

The version of a table is a digest of its content. Nodes that have followed one owner
therefore know the table of the next one, which begins with the same: after a takeover
no table has to be sent, unless nodes have left or come.
"""

from collections.abc import Mapping

import anyio
import msgspec
import xxhash

from gypsumring.utils.ranges import MAX_NUMBER

__all__ = ["NodeTable"]

# A node that has left is listed for this time. Most return at the same address. Nodes
# that are listed count for the majority that reports an owner, from 3 s of service on.
RETENTION_S = 2.5
# Changes of this time are sent together, since each one is sent to all nodes.
PUBLICATION_PERIOD_S = 0.5

encode = msgspec.msgpack.Encoder(order="deterministic").encode


class NodeTable:
    """Addresses of nodes by name; ``published`` is what is sent, under ``version``."""

    __slots__ = (
        "addresses",
        "is_changed",
        "left_at",
        "published",
        "published_at",
        "version",
    )

    def __init__(self):
        self.addresses: dict[str, str] = {}
        # When the nodes left that are not connected, on ``anyio.current_time``.
        self.left_at: dict[str, float] = {}
        self.published: dict[str, str] = {}
        self.published_at = float("-inf")
        # Digest of the published table, at least 1.
        self.version = digest({})
        self.is_changed = False

    def inherit(self, addresses: Mapping[str, str]) -> None:
        """Add the nodes of an earlier owner, which may come or have left."""
        now = anyio.current_time()
        for name, address in addresses.items():
            if name not in self.addresses:
                self.addresses[name] = address
                self.left_at[name] = now
        self.publish(now)

    def add(self, name: str, address: str) -> None:
        """Add a node that has connected."""
        self.left_at.pop(name, None)
        if self.addresses.get(name) != address:
            self.addresses[name] = address
            self.is_changed = True

    def remove(self, name: str) -> None:
        """Record that a node is not connected any more."""
        if name in self.addresses:
            self.left_at[name] = anyio.current_time()

    def refresh(self) -> None:
        """Drop the nodes that have left, and publish the changes once they are due."""
        now = anyio.current_time()
        for name, left_at in list(self.left_at.items()):
            if now - left_at >= RETENTION_S:
                del self.addresses[name], self.left_at[name]
                self.is_changed = True
        if self.is_changed and now - self.published_at >= PUBLICATION_PERIOD_S:
            self.publish(now)

    def publish(self, now: float) -> None:
        """Send the table as it is from now on."""
        self.published = dict(self.addresses)
        self.published_at = now
        self.is_changed = False
        self.version = digest(self.published)


def digest(addresses: Mapping[str, str]) -> int:
    """Return a number that is the same for equal tables, at least 1."""
    return 1 + xxhash.xxh64_intdigest(encode(addresses)) % MAX_NUMBER
