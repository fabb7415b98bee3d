"""Tests of the evidence on which an owner extends leases and starts tasks."""

import msgspec

from gypsumring.cell.authority import (
    ALONE_AFTER_S,
    CLOCK_DRIFT,
    LOST_VOTER_S,
    MAX_EXTENSION_DELAY_S,
    MAX_OUTAGE_S,
    MAX_UNCONFIRMED_S,
    MAX_VOTERS,
    Authority,
    Peers,
)
from gypsumring.cell.voters import Electorate, Voter, VoteRegister
from gypsumring.utils.testing import make_load_tests

FENCE = 7001
EARLIER_FENCE = 6001
OWN = Voter("n0", "a")
OTHERS = [Voter(f"n{number}", "a") for number in range(1, 7)]


class ScriptedJournal:
    """Journal whose appends are executed when a test says so."""

    __slots__ = ("confirmed_at", "is_answered", "records", "waiting")

    def __init__(self):
        self.confirmed_at = float("-inf")
        self.is_answered = True
        self.records: dict[str, bytes] = {}
        self.waiting = []

    def put(self, key, value, on_durable=None, urgent=True):
        """Queue a record."""
        self.waiting.append((key, value, on_durable))

    def unanswered_s(self) -> float:
        """Return how long the store has not answered."""
        return 0.0 if self.is_answered else 1.0

    def execute(self, now: float) -> None:
        """Execute the queued appends, which were sent at a time."""
        waiting, self.waiting = self.waiting, []
        for key, value, on_durable in waiting:
            self.records[key] = value
            self.confirmed_at = now
            if on_durable is not None:
                on_durable()


class Rig:
    """Owner ``n0`` with a clock, a journal and votes that a test controls."""

    __slots__ = (
        "authority",
        "followers",
        "has_others",
        "journal",
        "now",
        "seen",
        "votes",
    )

    def __init__(self, recorded: list[Voter] | None = None):
        self.now = 100.0
        self.seen = FENCE
        self.has_others = True
        self.followers: list[Voter] = []
        self.votes = VoteRegister()
        self.journal = ScriptedJournal()
        peers = Peers(
            OWN,
            self.votes,
            lambda: self.seen,
            lambda: self.followers,
            lambda: self.has_others,
        )
        self.authority = Authority(FENCE, self.journal, peers, lambda: self.now)
        self.authority.restore(None if recorded is None else Electorate(recorded))
        self.journal.execute(self.now)
        self.authority.update()

    def vote(self, *voters: Voter, age_s: float = 0.0, fence: int = FENCE) -> None:
        """Receive votes that answer messages sent some seconds ago."""
        for voter in voters:
            self.votes.record(voter.node, voter.incarnation, fence, self.now - age_s)

    def follow(self, *voters: Voter) -> None:
        """Let nodes follow this owner and vote for it."""
        self.followers = list(voters)
        self.vote(*voters)

    def record_voters(self, *voters: Voter) -> None:
        """Let nodes follow this owner until the log names them as voters."""
        self.follow(*voters)
        self.authority.update()
        self.journal.execute(self.now)
        assert self.recorded() == {OWN.key, *(voter.key for voter in voters)}

    def recorded(self) -> set[tuple[str, str]]:
        """Return the voters that the log names."""
        value = self.journal.records["voters"]
        return set(msgspec.json.decode(value, type=Electorate).keys())

    def may_extend(self) -> bool:
        """Return whether leases may be extended now."""
        return self.authority.may_extend_leases(self.now)

    def lose_store(self) -> None:
        """Let the last confirmation by the store grow old."""
        self.journal.is_answered = False
        self.now += 2 * MAX_EXTENSION_DELAY_S


# Pings that were held back for seconds were read as fresh once they arrived: the owner
# extended leases that the next owner had presumed to expire.
def test_vote_that_arrives_late_is_as_old_as_the_message_that_it_answers():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    rig.lose_store()
    rig.vote(*OTHERS[:2], age_s=MAX_EXTENSION_DELAY_S + 0.1)
    assert not rig.may_extend()
    rig.vote(*OTHERS[:2], age_s=MAX_EXTENSION_DELAY_S - 0.1)
    assert rig.may_extend()


def test_votes_that_arrive_twice_and_out_of_order_count_as_the_newest():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    rig.lose_store()
    rig.vote(*OTHERS[:2], age_s=0.2)
    rig.vote(*OTHERS[:2], age_s=0.2)
    rig.vote(*OTHERS[:2], age_s=5.0)
    assert rig.may_extend()
    assert rig.authority.quorum_at() == rig.now - 0.2


# Guards against votes that a voter has given before it turned to the next owner and
# that arrive after those that show it.
def test_voter_that_has_turned_to_a_later_owner_does_not_vote_for_this_one():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    rig.lose_store()
    rig.vote(*OTHERS[:2], fence=FENCE + 1000)
    rig.vote(*OTHERS[:2], fence=FENCE)
    assert not rig.may_extend()


# Guards against a node that votes for itself after it has answered the next owner.
def test_owner_that_has_seen_a_later_one_does_not_vote_for_itself():
    rig = Rig()
    rig.record_voters(OTHERS[0], OTHERS[1])
    rig.lose_store()
    rig.vote(*OTHERS[:2])
    assert rig.may_extend()
    rig.seen = FENCE + 1000
    assert not rig.may_extend()


# A process that has started again does not know what it has answered before.
def test_restarted_voter_does_not_vote_until_it_is_recorded():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    rig.lose_store()
    restarted = [Voter(voter.node, "b") for voter in OTHERS[:2]]
    rig.follow(*restarted)
    rig.authority.update()
    assert not rig.may_extend()
    rig.journal.is_answered = True
    rig.authority.update()
    rig.journal.execute(rig.now)
    rig.lose_store()
    rig.vote(*restarted)
    assert rig.may_extend()


def test_owner_needs_a_quorum_of_the_voters():
    # The owner and one or two others need all votes; with more it may miss one.
    for count, needed in ((1, 2), (2, 3), (3, 3), (4, 4), (5, 5), (6, 6)):
        rig = Rig()
        rig.record_voters(*OTHERS[:count])
        rig.lose_store()
        # The owner itself is one of them.
        rig.vote(*OTHERS[: needed - 2])
        assert not rig.may_extend(), count
        rig.vote(OTHERS[needed - 2])
        assert rig.may_extend(), count


# Guards against two sets of voters of which the log names either.
def test_owner_needs_both_quorums_while_the_voters_change():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    rig.now += LOST_VOTER_S + 1.0
    rig.follow(*OTHERS[2:6])
    rig.authority.update()
    rig.now += 2 * MAX_EXTENSION_DELAY_S
    rig.vote(*OTHERS[2:6])
    assert not rig.may_extend()
    rig.vote(*OTHERS[:2])
    assert rig.may_extend()
    rig.journal.execute(rig.now)
    assert rig.recorded() == {OWN.key, *(voter.key for voter in OTHERS[2:6])}


# Another node may own the cell after a pause and rely on the expiry of the leases.
def test_no_lease_is_extended_after_a_pause_until_it_is_confirmed():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    assert rig.may_extend()
    rig.now += 4.0
    # What waited in a socket buffer meanwhile confirms nothing.
    rig.vote(*OTHERS[:2], age_s=4.0)
    rig.journal.confirmed_at = rig.now - 4.0
    assert not rig.may_extend()
    rig.now += 2.0
    assert not rig.may_extend()
    rig.journal.confirmed_at = rig.now
    assert rig.may_extend()


def test_leases_are_extended_while_the_store_is_unavailable_and_a_quorum_votes():
    rig = Rig()
    rig.record_voters(*OTHERS[:4])
    rig.journal.is_answered = False
    for _ in range(600):
        rig.now += 0.1
        # One of four other nodes has been killed.
        rig.vote(*OTHERS[:3])
        rig.authority.update()
        assert rig.may_extend()


# Guards against an owner that a later one has to wait for without an end.
def test_votes_suffice_for_a_time_only_if_most_executors_do_not_answer():
    rig = Rig()
    rig.record_voters(*OTHERS[:4])
    rig.authority.executors.restore(["i-0", "i-1", "i-2"])
    confirmed_at = rig.journal.confirmed_at
    rig.journal.is_answered = False
    while rig.now - confirmed_at <= MAX_UNCONFIRMED_S:
        rig.vote(*OTHERS[:4])
        assert rig.may_extend()
        rig.now += 0.1
    rig.vote(*OTHERS[:4])
    rig.authority.executors.record_answer("i-0", rig.now, rig.now, True)
    assert not rig.may_extend()
    rig.authority.executors.record_answer("i-1", rig.now, rig.now, True)
    assert rig.may_extend()
    # Regions may lose each other for an hour.
    rig.now = confirmed_at + 3600.0
    rig.vote(*OTHERS[:4])
    for name in ("i-0", "i-1"):
        rig.authority.executors.record_answer(name, rig.now, rig.now, True)
    assert rig.may_extend()
    rig.now = confirmed_at + MAX_OUTAGE_S + 0.1
    rig.vote(*OTHERS[:4])
    for name in ("i-0", "i-1", "i-2"):
        rig.authority.executors.record_answer(name, rig.now, rig.now, True)
    assert not rig.may_extend()


def make_unvoted_rig(is_bounded: bool = True) -> Rig:
    """Return the rig of an owner that no voter of the earlier one answers."""
    rig = Rig()
    rig.authority.exclusive_since = float("inf")
    recorded = Electorate([Voter("n9", "a"), *OTHERS[:4]])
    rig.authority.restore(recorded, ["i-0", "i-1", "i-2"], is_bounded)
    rig.journal.execute(rig.now)
    return rig


# Guards against a takeover that waits for ever for voters that are lost for good.
def test_lost_voters_are_outlasted_once_half_of_the_executors_have_answered():
    rig = make_unvoted_rig()
    bound_s = (1 + CLOCK_DRIFT) * MAX_UNCONFIRMED_S
    rig.authority.executors.record_answer("i-0", rig.now, rig.now, False)
    rig.now += 2 * bound_s
    rig.authority.update()
    assert not rig.authority.is_exclusive
    rig.authority.executors.record_answer("i-1", rig.now, rig.now, False)
    rig.now += 1.0
    rig.authority.update()
    assert not rig.authority.is_exclusive
    rig.now += bound_s
    rig.authority.update()
    assert rig.authority.exclusive_since == rig.now


def test_lost_voters_are_not_outlasted_sooner_than_votes_suffice():
    rig = make_unvoted_rig()
    for name in ("i-0", "i-1", "i-2"):
        rig.authority.executors.record_answer(name, rig.now, rig.now, False)
    rig.now += MAX_UNCONFIRMED_S
    rig.authority.update()
    assert not rig.authority.is_exclusive
    rig.now += 2 * CLOCK_DRIFT * MAX_UNCONFIRMED_S
    rig.authority.update()
    assert rig.authority.is_exclusive


def test_lost_voters_of_earlier_builds_are_not_outlasted():
    rig = make_unvoted_rig(is_bounded=False)
    for name in ("i-0", "i-1", "i-2"):
        rig.authority.executors.record_answer(name, rig.now, rig.now, False)
    rig.now += 2 * MAX_OUTAGE_S
    rig.authority.update()
    assert not rig.authority.is_exclusive


# Every wait ends, whatever executors answer.
def test_no_earlier_owner_is_waited_for_after_the_longest_outage():
    rig = make_unvoted_rig()
    rig.now += (1 + CLOCK_DRIFT) * MAX_OUTAGE_S
    rig.authority.update()
    assert not rig.authority.is_exclusive
    rig.now += 1.0
    rig.authority.update()
    assert rig.authority.is_exclusive


# Earlier owners do not know executors that were added, so that these cannot tell them
# about a later owner.
def test_no_executor_is_added_while_an_earlier_owner_may_act():
    rig = make_unvoted_rig()
    assert not rig.authority.may_add_executors()
    for name in ("i-0", "i-1"):
        rig.authority.executors.record_answer(name, rig.now, rig.now, False)
    rig.now += 2 * MAX_UNCONFIRMED_S
    rig.authority.update()
    assert rig.authority.may_add_executors()


def test_no_other_owner_is_ruled_out_before_enough_voters_have_turned():
    for count in range(1, MAX_VOTERS):
        earlier = Voter("n9", "a")
        recorded = [earlier, *OTHERS[:count]]
        rig = Rig(recorded)
        needed = 1 if count < 3 else 2
        rig.vote(*OTHERS[: needed - 1])
        rig.vote(*OTHERS[needed - 1 : count], fence=EARLIER_FENCE)
        rig.authority.update()
        assert rig.authority.exclusive_since == float("inf"), count
        rig.now += 1.0
        rig.vote(OTHERS[needed - 1])
        rig.authority.update()
        assert rig.authority.exclusive_since == rig.now, count


# The node that took over had not followed the owner, which counted only its followers.
def test_node_that_was_no_voter_takes_over_the_votes_of_others():
    rig = Rig([Voter("n9", "a"), *OTHERS[:3]])
    assert {voter.node for voter in rig.authority.list_missing_voters()} == {
        "n9",
        "n1",
        "n2",
        "n3",
    }
    rig.vote(OTHERS[0])
    rig.authority.update()
    assert rig.authority.exclusive_since == float("inf")
    rig.vote(OTHERS[1])
    rig.authority.update()
    assert rig.authority.exclusive_since == rig.now


# Guards against a takeover that waits for processes which have ended.
def test_restarted_process_of_a_voter_shows_that_the_voter_has_ended():
    rig = Rig([Voter("n9", "a"), *OTHERS[:3]])
    restarted = [Voter("n9", "b"), Voter("n1", "b")]
    # This may have been sent before the recorded process started.
    rig.vote(*restarted, age_s=1.0, fence=0)
    rig.authority.update()
    assert rig.authority.exclusive_since == float("inf")
    rig.now += 1.0
    rig.vote(*restarted, age_s=0.5, fence=0)
    rig.authority.update()
    assert rig.authority.exclusive_since == rig.now


def test_earlier_process_of_the_same_node_has_ended():
    rig = Rig([Voter(OWN.node, "before")])
    assert rig.authority.exclusive_since == rig.now
    assert not rig.authority.list_missing_voters()


# The voters of an owner before could no longer be read if they were replaced too soon.
def test_voters_are_recorded_only_after_a_takeover_of_enough_votes():
    rig = Rig([Voter("n9", "a"), *OTHERS[:2]])
    rig.follow(*OTHERS[2:5])
    rig.authority.update()
    rig.journal.execute(rig.now)
    assert "voters" not in rig.journal.records
    rig.follow(*OTHERS[:5])
    rig.authority.update()
    rig.journal.execute(rig.now)
    assert OTHERS[4].key in rig.recorded()


def test_lost_voters_are_replaced_and_their_number_is_bounded():
    many = [Voter(f"m{number:02}", "a") for number in range(20)]
    rig = Rig()
    rig.record_voters(*OTHERS[:3])
    rig.follow(*many)
    rig.authority.update()
    rig.journal.execute(rig.now)
    assert len(rig.recorded()) == MAX_VOTERS
    assert {voter.key for voter in OTHERS[:3]} < rig.recorded()
    rig.now += LOST_VOTER_S + 0.1
    rig.follow(*many)
    rig.authority.update()
    rig.journal.execute(rig.now)
    assert rig.recorded() == {OWN.key, *(voter.key for voter in many[:6])}


# The next owner would have to reach this node alone.
def test_owner_whose_followers_are_lost_does_not_become_the_only_voter():
    rig = Rig()
    rig.record_voters(OTHERS[0])
    rig.followers = []
    rig.now += LOST_VOTER_S + ALONE_AFTER_S
    rig.authority.update()
    rig.journal.execute(rig.now)
    assert rig.recorded() == {OWN.key, OTHERS[0].key}


def test_only_node_of_an_installation_needs_no_votes():
    rig = Rig()
    rig.has_others = False
    rig.now += ALONE_AFTER_S
    rig.authority.update()
    rig.journal.execute(rig.now)
    rig.lose_store()
    assert rig.may_extend()


def test_store_is_asked_while_the_votes_are_old_and_not_otherwise():
    rig = Rig()
    rig.record_voters(*OTHERS[:2])
    for _ in range(100):
        rig.now += 0.1
        rig.vote(*OTHERS[:2])
        rig.authority.update()
        assert not rig.journal.waiting
    for _ in range(100):
        rig.now += 0.1
        rig.authority.update()
        rig.journal.execute(rig.now)
        assert rig.may_extend()


# An owner whose reading of the records was late received those of a later owner, took
# them for inherited, and started tasks that the later owner had started.
def test_records_count_only_once_the_store_has_confirmed_the_owner_since():
    rig = Rig()
    rig.journal.confirmed_at = rig.now
    rig.now += 0.1
    rig.authority.restore(None)
    assert not rig.may_extend()
    assert rig.journal.waiting
    rig.journal.execute(rig.now)
    assert rig.may_extend()


# One data centre that fails must not take most of the voters with it.
def test_voters_are_spread_over_the_data_centres():
    rig = Rig()
    rig.follow(
        *(Voter(f"{zone}-{n}", "a", "", zone) for zone in "abc" for n in range(8))
    )
    rig.authority.update()
    rig.journal.execute(rig.now)
    zones = [name[0] for name, _ in rig.recorded() if name != OWN.node]
    assert sorted(zones) == ["a", "a", "b", "b", "c", "c"]


load_tests = make_load_tests(globals())
