"""Which node calls the policy service: long calls must not delay short ones."""

from gypsumring.dispatch import AdviserPool
from gypsumring.pipelines import PolicyTiming
from gypsumring.utils.testing import make_load_tests

LONG = PolicyTiming(0.8, 0.007, 2.0)
SHORT = PolicyTiming(0.01, 0.0001, 2.0)


def make_pool(count: int) -> AdviserPool:
    """Return a pool of idle nodes."""
    pool = AdviserPool()
    pool.set_names([f"n{number}" for number in range(count)])
    return pool


def test_short_call_never_waits_behind_long_ones():
    # A burst of manifests must not delay stock checks.
    pool = make_pool(9)
    for _ in range(40):
        pool.choose(LONG, 24, 0.0)
    assert pool.wait_s(SHORT, 0.0) == 0.0
    chosen = pool.choose(SHORT, 24, 0.0)
    assert chosen.busy_until < 0.1


def test_long_calls_spread_over_the_other_nodes():
    pool = make_pool(9)
    names = [pool.choose(LONG, 24, 0.0).name for _ in range(6)]
    assert len(set(names)) == 6
    assert pool.wait_s(LONG, 0.0) > 0.5


def test_single_node_carries_all_calls():
    pool = make_pool(1)
    first = pool.choose(LONG, 10, 0.0)
    assert pool.choose(SHORT, 10, 0.0) is first
    pool.finish(first, 1.0)
    pool.finish(first, 1.0)
    assert pool.wait_s(SHORT, 1.0) == 0.0


def test_nodes_that_left_are_not_chosen():
    pool = make_pool(3)
    pool.set_names(["n1"])
    assert pool.choose(SHORT, 1, 0.0).name == "n1"


load_tests = make_load_tests(globals())
