"""Tests of rendezvous hashing."""

from gypsumring.utils.hashing import choose_ledger, rank_by_rendezvous
from gypsumring.utils.testing import make_load_tests

load_tests = make_load_tests(globals())

NODES = [f"node-{number}" for number in range(9)]


def test_removal_moves_only_the_removed_nodes_keys():
    """Guard against a hash that reassigns other nodes' shards when a node leaves."""
    for number in range(200):
        key = f"rack/{number}"
        before = rank_by_rendezvous(key, NODES)
        after = rank_by_rendezvous(key, [n for n in NODES if n != before[-1]])
        assert after[0] == before[0]


def test_ledger_choice_is_spread():
    """Guard against a hash that maps most teams to a few ledgers."""
    ledgers = [f"ledger/r/{number:02d}" for number in range(16)]
    chosen = [choose_ledger(f"team-{number}", ledgers) for number in range(1600)]
    for ledger in ledgers:
        assert 50 <= chosen.count(ledger) <= 150
