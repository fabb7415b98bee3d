"""Contacts of an owner with the nodes that follow it.

While the store answers no node, the cell cannot change its owner. An owner that gets no
answer takes this for granted only as long as all nodes that have followed it still do.
If it is cut off, or one of them has taken over, their pings stop.
"""

__all__ = ["FollowerContacts"]

# A node that follows the owner is in contact if its last message is at most this old.
MAX_CONTACT_AGE_S = 0.6


class FollowerContacts:
    """Times of the last messages of the nodes that follow this one, by node name."""

    __slots__ = ("last_message_at",)

    def __init__(self):
        self.last_message_at: dict[str, float] = {}

    def record(self, node: str, now: float) -> None:
        """Record a message of a node that follows this one."""
        self.last_message_at[node] = now

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the times since the last messages were read, by node name."""
        return {node: round(now - at, 3) for node, at in self.last_message_at.items()}

    def are_kept(self, since: float, now: float) -> bool:
        """Return whether all nodes that were in contact at a time still are.

        Return False if none was.
        """
        earliest = since - MAX_CONTACT_AGE_S
        times = [at for at in self.last_message_at.values() if at >= earliest]
        return bool(times) and now - min(times) <= MAX_CONTACT_AGE_S
