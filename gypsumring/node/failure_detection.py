"""Decide which owner counts as failed and which nodes may remove it from the group.

A node that gets no answer from the owner reports it to a few monitors, which all nodes
choose alike. A monitor removes an owner that a majority of the nodes has reported. So
a lost owner costs each node a bounded number of calls, and a minority that is cut off
from the owner cannot remove it.

Nodes report only an owner that has served for a while. A node that takes over the cell
may not answer for as long as it reads its records; if it has failed, the group expires
its membership. A takeover is therefore never undone because it is slow, and a fleet of
slow nodes changes its owner at most once in this time.
"""

from gypsumring.utils.hashing import rank_by_rendezvous

__all__ = ["OwnerReports", "OwnerTerm", "choose_monitors"]

MONITOR_COUNT = 3
# An owner that has served for less than this time is not reported.
MIN_SERVICE_S = 3.0
# A report counts for this time, and as much longer as an owner has to answer a new
# connection. A node that still gets no answer repeats it sooner unless its lookups in
# the store are slow.
REPORT_VALID_S = 1.3


class OwnerTerm:
    """Term of one owner: address, fence number and the time since which it serves."""

    __slots__ = ("address", "fence", "served_since")

    def __init__(self, address: str, fence: int, served_since: float):
        self.address = address
        self.fence = fence
        self.served_since = served_since

    def is_reportable(
        self, address: str, newest_fence: int, last_answer_at: float
    ) -> bool:
        """Return whether a node may report that this owner does not answer.

        ``address`` is that of the owner that does not answer; a higher ``newest_fence``
        shows that another owner has taken over since.
        """
        return (
            self.address == address
            and self.fence >= newest_fence
            and last_answer_at - self.served_since >= MIN_SERVICE_S
        )


class OwnerReports:
    """Reports of the nodes that get no answer from an owner, as seen by a monitor."""

    __slots__ = ("address", "fence", "valid_until")

    def __init__(self):
        self.address = ""
        self.fence = 0
        # Time until which the report of a node counts, by the name of the node.
        self.valid_until: dict[str, float] = {}

    def record(
        self, node: str, address: str, fence: int, now: float, answer_s: float = 0.0
    ) -> None:
        """Record the report of a node; reports of an earlier owner are dropped.

        ``answer_s`` is how long an owner has to answer a new connection.
        """
        if fence < self.fence:
            return
        if (fence, address) != (self.fence, self.address):
            self.fence = fence
            self.address = address
            self.valid_until.clear()
        self.valid_until[node] = now + REPORT_VALID_S + answer_s

    def is_confirmed(self, node_count: int, now: float) -> bool:
        """Return whether a majority of the nodes has reported the owner.

        ``node_count`` is the number of nodes without the owner.
        """
        reported = sum(until > now for until in self.valid_until.values())
        return reported * 2 > node_count

    def clear(self) -> None:
        """Drop all reports, for example after the owner has been removed."""
        self.valid_until.clear()


def choose_monitors(fence: int, names: list[str]) -> list[str]:
    """Return the nodes that collect the reports about the owner with this fence."""
    return rank_by_rendezvous(str(fence), names)[:MONITOR_COUNT]
