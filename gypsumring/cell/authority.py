"""What an owner may do, by the evidence that no other node owns the cell.

Kinds of evidence, each dated back to a message that this node sent:

* An append that the store has executed: no other node had fenced the log when the
  append was sent.
* Votes of a quorum of the voters that the log names: no other node had taken over so
  many votes when the messages were sent which these votes answer. Votes suffice only
  for ``MAX_UNCONFIRMED_S`` after the newest executed append; later the answers of a
  majority of the recorded executors are needed beside them.

The next owner fences the log, reads the voters there, and takes over so many votes
that the others are no quorum. From then on no earlier owner gains new evidence, and its
leases last for ``MAX_EXTENSION_DELAY_S`` longer than if it had extended them just then.
If too few voters are left to answer, the next owner waits until votes alone do not
suffice any more, and until half of the recorded executors have answered it.

Until then the next owner may adopt and end work on executors that it reaches. So votes
allow an owner to extend leases and to start tasks, but only the store confirms that a
task which an executor does not list any more has not been taken over.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import msgspec

from gypsumring.cell.fleet_quorum import MAX_ANSWER_AGE_S, FleetQuorum
from gypsumring.cell.journal import Journal
from gypsumring.cell.voters import Electorate, Voter, VoteRegister
from gypsumring.utils.clock import Clock
from gypsumring.utils.logs import EventLogger

__all__ = ["Authority", "Peers"]

log = EventLogger("authority")

# The fence number of the newest owner.
OWNER_KEY = "owner"
# The voters of the newest owner that had a quorum.
VOTERS_KEY = "voters"
# Written only to learn whether a later owner has fenced the log.
CONFIRMATION_KEY = "confirmation"
# Leases are extended, and tasks are started, on evidence of at most this age. The next
# owner adds it to the leases that it waits for.
MAX_EXTENSION_DELAY_S = 1.0
# The store is asked if the votes are older than this, at most once in the period.
OLD_VOTES_S = 0.5
# Votes suffice for this time after the newest executed append.
MAX_UNCONFIRMED_S = 5.0
# No owner acts for longer without an executed append. Regions may lose each other, and
# the store, for an hour.
MAX_OUTAGE_S = 7200.0
# Maximum difference of the rates of two clocks.
CLOCK_DRIFT = 0.04
CONFIRMATION_PERIOD_S = 0.3
UPDATE_PERIOD_S = 0.1
# A voter without votes for this time is replaced.
LOST_VOTER_S = 10.0
# More voters would not make an owner safer, only each takeover slower.
MAX_VOTERS = 7
# An owner that has met no other node for this time is the only node.
ALONE_AFTER_S = 3.0


class Peers:
    """Other nodes, as an owner of the cell sees them.

    ``votes`` are those that this process, ``voter``, receives. ``highest_fence``
    returns the highest fence number of an owner that this process has seen,
    ``list_followers`` the nodes that follow it, and ``knows_other_nodes`` whether there
    are others.
    """

    __slots__ = (
        "highest_fence",
        "knows_other_nodes",
        "list_followers",
        "voter",
        "votes",
    )

    def __init__(
        self,
        voter: Voter,
        votes: VoteRegister,
        highest_fence: Callable[[], int] = int,
        list_followers: Callable[[], list[Voter]] = list,
        knows_other_nodes: Callable[[], bool] = lambda: False,
    ):
        self.voter = voter
        self.votes = votes
        self.highest_fence = highest_fence
        self.list_followers = list_followers
        self.knows_other_nodes = knows_other_nodes


class Authority:
    """Evidence of one owner, under its fence number, that no other owns the cell.

    Times are in seconds of ``clock``, which includes suspended time.
    """

    __slots__ = (
        "clock",
        "durable",
        "earlier_are_bounded",
        "exclusive_since",
        "executors",
        "extends_leases",
        "fence",
        "inherited",
        "journal",
        "on_exclusive",
        "peers",
        "pending",
        "taken_over_at",
    )

    def __init__(self, fence: int, journal: Journal, peers: Peers, clock: Clock):
        self.fence = fence
        self.journal = journal
        self.peers = peers
        self.clock = clock
        # Voters of earlier owners, None if there are none.
        self.inherited: Electorate | None = None
        # Voters that the log is known to name, and those that it may name instead.
        self.durable: Electorate | None = None
        self.pending: Electorate | None = None
        # When the records of earlier owners were read, which was after the fencing.
        self.taken_over_at = float("inf")
        # Since when no earlier owner gains new evidence.
        self.exclusive_since = float("inf")
        # Whether leases could be extended at the last update.
        self.extends_leases = True
        # Recorded executors, which witness who owns the cell.
        self.executors = FleetQuorum()
        # Whether all earlier owners follow the bounds of acting without the store.
        self.earlier_are_bounded = False
        # Called once no earlier owner gains new evidence.
        self.on_exclusive: Callable[[], None] | None = None

    def restore(
        self,
        recorded: Electorate | None,
        executor_ids: Iterable[str] = (),
        earlier_are_bounded: bool = False,
    ) -> None:
        """Set the voters and executors that the log names, after it was fenced.

        The records may be those of a later owner that has fenced the log before they
        were read. An append after the reading shows that they are not.
        """
        self.inherited = self.durable = recorded
        self.executors.restore(executor_ids)
        self.earlier_are_bounded = earlier_are_bounded
        self.taken_over_at = self.clock()
        self.confirm(self.update)
        self.update()

    @property
    def is_exclusive(self) -> bool:
        """Whether no earlier owner gains new evidence."""
        return self.exclusive_since < float("inf")

    def has_confirmed_records(self) -> bool:
        """Return whether the store has confirmed the owner after it read the log."""
        return self.journal.confirmed_at >= self.taken_over_at

    def may_add_executors(self) -> bool:
        """Return whether executors may be recorded that earlier owners do not know.

        Earlier owners do not ask them for their answers, so that the next owner must
        not count them. Without any recorded executor no owner has started a task.
        """
        return self.is_exclusive or not self.executors.inherited

    def may_extend_leases(self, now: float) -> bool:
        """Return whether leases may be extended, and tasks started, as of ``now``.

        The leases have to be counted from the same reading of the clock, since the
        process may be paused after it.
        """
        if not self.has_confirmed_records():
            return False
        unconfirmed_s = now - self.journal.confirmed_at
        if unconfirmed_s <= MAX_EXTENSION_DELAY_S:
            return True
        if now - self.quorum_at() > MAX_EXTENSION_DELAY_S:
            return False
        return self.may_rely_on_votes(now)

    def may_rely_on_votes(self, now: float) -> bool:
        """Return whether the votes of a quorum suffice without the store."""
        unconfirmed_s = now - self.journal.confirmed_at
        if unconfirmed_s <= MAX_UNCONFIRMED_S:
            return True
        return unconfirmed_s <= MAX_OUTAGE_S and self.executors.has_majority(now)

    def confirmed_at(self) -> float:
        """Return the time to which the newest evidence dates back, -inf if none."""
        return max(self.journal.confirmed_at, self.quorum_at())

    def quorum_at(self) -> float:
        """Return the time to which the votes of a quorum date back, -inf if none.

        While the log may name other voters, this owner needs a quorum of both.
        """
        if self.durable is None:
            return float("-inf")
        times = [self.quorum_of(self.durable)]
        if self.pending is not None:
            times.append(self.quorum_of(self.pending))
        return min(times)

    def quorum_of(self, electorate: Electorate) -> float:
        """Return the time to which the votes of a quorum of some voters date back."""
        times = [self.voted_at(voter) for voter in electorate.voters]
        return sorted(times, reverse=True)[electorate.quorum() - 1]

    def voted_at(self, voter: Voter) -> float:
        """Return the time to which a vote dates back, -inf without one.

        This node votes for itself until it has seen a later owner.
        """
        if voter.key != self.peers.voter.key:
            return self.peers.votes.voted_at(voter, self.fence)
        has_turned = self.peers.highest_fence() > self.fence
        return float("-inf") if has_turned else self.clock()

    def confirm(self, on_confirmed: Callable[[], None] | None = None) -> None:
        """Call ``on_confirmed`` once an append that begins now has been executed.

        No other node had fenced the log before the call of this method.
        """
        value = msgspec.json.encode(self.fence)
        self.journal.put(CONFIRMATION_KEY, value, on_confirmed)

    def list_missing_voters(self) -> list[Voter]:
        """Return the inherited voters that may still vote for an earlier owner."""
        if self.inherited is None:
            return []
        own, votes = self.peers.voter, self.peers.votes
        return [
            voter
            for voter in self.inherited.voters
            if voter.node != own.node
            and not votes.has_turned_to(voter, self.fence, self.taken_over_at)
        ]

    async def run(self) -> None:
        """Keep the evidence and the voters up to date until cancelled."""
        while True:
            self.update()
            await anyio.sleep(UPDATE_PERIOD_S)

    def update(self) -> None:
        """Evaluate the votes, record other voters, and ask the store if needed."""
        now = self.clock()
        if not self.is_exclusive:
            self.rule_out_earlier_owners(now)
        self.log_changes()
        self.peers.votes.forget_old(now)
        if self.journal.unanswered_s():
            return
        if self.exclusive_since <= now and self.pending is None:
            self.record_voters(self.choose_voters(now), now)
        is_old = now - self.quorum_at() > OLD_VOTES_S
        if is_old and now - self.journal.confirmed_at > CONFIRMATION_PERIOD_S:
            self.confirm()

    def rule_out_earlier_owners(self, now: float) -> None:
        """Note when earlier owners have no quorum, or may not use it any more."""
        if self.has_taken_over_votes():
            message = "earlier owners have no quorum"
        elif self.has_outlasted_votes(now):
            message = "earlier owners may not act on votes any more"
        else:
            return
        self.exclusive_since = now
        log.info(
            message,
            fence=self.fence,
            waited_s=round(now - self.taken_over_at, 3),
            missing=[voter.node for voter in self.list_missing_voters()],
        )
        if self.on_exclusive is not None:
            self.on_exclusive()

    def has_outlasted_votes(self, now: float) -> bool:
        """Return whether the votes left to earlier owners do not suffice any more.

        Their newest executed append is older than the reading of the log.
        """
        if not self.earlier_are_bounded or not self.has_confirmed_records():
            return False
        unconfirmed_s = (now - self.taken_over_at) / (1 + CLOCK_DRIFT)
        if unconfirmed_s > MAX_OUTAGE_S:
            return True
        refused_s = (now - self.executors.turned_at()) / (1 + CLOCK_DRIFT)
        return unconfirmed_s > MAX_UNCONFIRMED_S and refused_s > MAX_ANSWER_AGE_S

    def has_taken_over_votes(self) -> bool:
        """Return whether the voters left to earlier owners are no quorum."""
        if not self.has_confirmed_records():
            return False
        if self.inherited is None:
            return True
        left = len(self.list_missing_voters())
        turned = len(self.inherited.voters) - left
        return turned >= self.inherited.blocking_count()

    def choose_voters(self, now: float) -> list[Voter]:
        """Return this node, the voters that are not lost, and further followers.

        They are spread over the data centres, so that the loss of one leaves the others
        enough voters.
        """
        candidates = self.find_candidates(now)
        chosen = [self.peers.voter]
        in_data_centre = Counter([self.peers.voter.data_centre])
        while candidates and len(chosen) < MAX_VOTERS:
            # Earlier voters come first, and min returns the first of several.
            voter = min(candidates, key=lambda each: in_data_centre[each.data_centre])
            candidates.remove(voter)
            chosen.append(voter)
            in_data_centre[voter.data_centre] += 1
        return chosen

    def find_candidates(self, now: float) -> list[Voter]:
        """Return the voters that are not lost, then others that follow and vote."""
        own, votes = self.peers.voter, self.peers.votes
        followers = {
            voter.node: voter
            for voter in self.peers.list_followers()
            if now - votes.voted_at(voter, self.fence) <= MAX_EXTENSION_DELAY_S
        }
        candidates = []
        for voter in self.durable.voters if self.durable is not None else ():
            if voter.node == own.node:
                continue
            follower = followers.pop(voter.node, None)
            voted_at = max(votes.voted_at(voter, self.fence), self.taken_over_at)
            if follower is not None:
                candidates.append(follower)
            elif now - voted_at <= LOST_VOTER_S:
                candidates.append(voter)
        return candidates + [followers[node] for node in sorted(followers)]

    def record_voters(self, voters: list[Voter], now: float) -> None:
        """Write the voters to the log if they are others than before.

        This node becomes the only voter only if it has never met another: the next
        owner would have to reach it.
        """
        electorate = Electorate(voters)
        before = Electorate() if self.durable is None else self.durable
        if electorate.keys() == before.keys():
            return
        is_alone = len(voters) == 1
        is_new = now - self.taken_over_at < ALONE_AFTER_S
        if is_alone and (
            len(before.voters) > 1 or is_new or self.peers.knows_other_nodes()
        ):
            return

        def replace_voters() -> None:
            self.durable, self.pending = electorate, None
            log.info(
                "voters recorded",
                fence=self.fence,
                voters=[voter.node for voter in voters],
            )

        self.pending = electorate
        self.journal.put(VOTERS_KEY, msgspec.json.encode(electorate), replace_voters)

    def describe(self) -> dict[str, Any]:
        """Return the evidence and its age in seconds of this clock, for the logs."""
        now = self.clock()
        quorum_s = now - self.quorum_at()
        store_s = now - self.journal.confirmed_at
        return {
            "evidence": "votes" if quorum_s < store_s else "store",
            "evidence_s": round(min(quorum_s, store_s), 3),
        }

    def log_changes(self) -> None:
        """Log when the owner stops or resumes to extend leases, and by which votes."""
        extends_leases = self.may_extend_leases(self.clock())
        if extends_leases is self.extends_leases:
            return
        self.extends_leases = extends_leases
        now = self.clock()
        voters = [] if self.durable is None else self.durable.voters
        fields = {
            "fence": self.fence,
            **self.describe(),
            "store_s": round(now - self.journal.confirmed_at, 3),
            "has_most_executors": self.executors.has_majority(now),
            "votes_s": self.peers.votes.ages_s(voters, now),
        }
        if extends_leases:
            log.info("leases are extended again", **fields)
        else:
            log.warning(
                "leases are not extended: another node may own the cell", **fields
            )
