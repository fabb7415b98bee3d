"""Voters of an owner: the nodes whose votes rule out another owner.

A vote is the answer of a node to a message of the owner. It states the highest fence
number for which the node has seen an owner, so that a node that has answered the next
owner does not vote for this one any more. Its age is measured from the time at which
the owner sent the message, by the owner's own clock: a vote that arrives late is old.

The log names the voters. The next owner reads them there, whether it was one of them or
not, and takes over the votes of so many that the others are no quorum. Quorums are
large, so that a takeover needs few voters: a node that takes over after most others
have failed has to finish, while an owner without the store and its voters may give up.
"""

from collections.abc import Iterable

import msgspec

from gypsumring.utils.ranges import Text

__all__ = ["Electorate", "VoteRegister", "Voter"]

# One voter that takes over alone suffices up to this number of voters. Among more, an
# owner may miss one of them.
MAX_VOTERS_OF_FULL_QUORUM = 3
# Votes of processes that have not voted for this time are dropped.
VOTE_RETENTION_S = 120.0


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """Process that may vote: node, incarnation, address for channels, data centre."""

    node: Text
    incarnation: Text
    address: Text = ""
    data_centre: Text = ""

    @property
    def key(self) -> tuple[str, str]:
        """Node and incarnation, which identify the process."""
        return self.node, self.incarnation


class Electorate(msgspec.Struct, frozen=True):
    """Voters that are recorded in the log, among them usually the owner itself."""

    voters: list[Voter] = msgspec.field(default_factory=list)

    def blocking_count(self) -> int:
        """Return how many voters leave no quorum to anyone else."""
        return 1 if len(self.voters) <= MAX_VOTERS_OF_FULL_QUORUM else 2

    def quorum(self) -> int:
        """Return how many votes an owner needs."""
        return len(self.voters) - self.blocking_count() + 1

    def keys(self) -> frozenset[tuple[str, str]]:
        """Return the processes that may vote."""
        return frozenset(voter.key for voter in self.voters)


class Vote:
    """Newest vote of a process: its highest fence number, and the message answered.

    ``answers_sent_at`` is when this node sent that message, in its own clock's seconds.
    """

    __slots__ = ("answers_sent_at", "fence")

    def __init__(self, fence: int, answers_sent_at: float):
        self.fence = fence
        self.answers_sent_at = answers_sent_at


class VoteRegister:
    """Votes that this process has received, by node and incarnation."""

    __slots__ = ("votes",)

    def __init__(self):
        self.votes: dict[tuple[str, str], Vote] = {}

    def record(
        self, node: str, incarnation: str, fence: int, answers_sent_at: float
    ) -> None:
        """Record a vote, which may arrive late, twice or out of order.

        The fence number of a process never falls, so that one with a lower number is an
        earlier message.
        """
        key = (node, incarnation)
        vote = self.votes.get(key)
        if vote is None or fence > vote.fence:
            self.votes[key] = Vote(fence, answers_sent_at)
        elif fence == vote.fence:
            vote.answers_sent_at = max(vote.answers_sent_at, answers_sent_at)

    def voted_at(self, voter: Voter, fence: int) -> float:
        """Return the time to which a vote for an owner dates back, -inf without one."""
        vote = self.votes.get(voter.key)
        if vote is None or vote.fence > fence:
            return float("-inf")
        return vote.answers_sent_at

    def has_turned_to(self, voter: Voter, fence: int, since: float) -> bool:
        """Return whether a voter votes for no owner with a lower fence number any more.

        It has seen this one, or another process of its node has answered a message that
        was sent after ``since``, so that the voter has ended.
        """
        vote = self.votes.get(voter.key)
        if vote is not None and vote.fence >= fence:
            return True
        return any(
            node == voter.node
            and incarnation != voter.incarnation
            and other.answers_sent_at >= since
            for (node, incarnation), other in self.votes.items()
        )

    def ages_s(self, voters: Iterable[Voter], now: float) -> dict[str, float | None]:
        """Return the ages of the votes in seconds, for the logs, by node name."""
        votes = {voter.node: self.votes.get(voter.key) for voter in voters}
        return {
            node: None if vote is None else round(now - vote.answers_sent_at, 3)
            for node, vote in votes.items()
        }

    def forget_old(self, now: float) -> None:
        """Drop the votes of processes that have not voted for a long time."""
        self.votes = {
            key: vote
            for key, vote in self.votes.items()
            if now - vote.answers_sent_at <= VOTE_RETENTION_S
        }
