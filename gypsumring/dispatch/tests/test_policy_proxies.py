"""Tests of the choice of nodes for policy calls."""

from gypsumring.dispatch import PolicyProxyPool
from gypsumring.dispatch.policy_proxies import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    PolicyProxy,
)
from gypsumring.pipelines import PolicyTiming
from gypsumring.utils.testing import make_load_tests

LONG = PolicyTiming(0.8, 0.007, 2.0)
SHORT = PolicyTiming(0.01, 0.0001, 2.0)


def make_pool(count: int) -> PolicyProxyPool:
    """Return a pool of idle nodes."""
    pool = PolicyProxyPool()
    pool.set_names([f"n{number}" for number in range(count)])
    return pool


def fail_call(pool: PolicyProxyPool, now: float) -> PolicyProxy:
    """Queue a call that fails immediately."""
    proxy = pool.choose(SHORT, 1, now)
    pool.finish(proxy, now)
    pool.record_failure(proxy, now)
    return proxy


def test_short_call_never_waits_behind_long_ones():
    # A burst of long calls must not delay short ones.
    pool = make_pool(9)
    for _ in range(40):
        pool.choose(LONG, 24, 0.0)
    assert pool.estimate_wait_s(SHORT, 0.0) == 0.0
    chosen = pool.choose(SHORT, 24, 0.0)
    assert chosen.busy_until < 0.1


def test_long_calls_spread_over_the_other_nodes():
    pool = make_pool(9)
    names = [pool.choose(LONG, 24, 0.0).name for _ in range(6)]
    assert len(set(names)) == 6
    assert pool.estimate_wait_s(LONG, 0.0) > 0.5


def test_single_node_carries_all_calls():
    pool = make_pool(1)
    first = pool.choose(LONG, 10, 0.0)
    assert pool.choose(SHORT, 10, 0.0) is first
    pool.finish(first, 1.0)
    pool.finish(first, 1.0)
    assert pool.estimate_wait_s(SHORT, 1.0) == 0.0


def test_nodes_that_left_are_not_chosen():
    pool = make_pool(3)
    pool.set_names(["n1"])
    assert pool.choose(SHORT, 1, 0.0).name == "n1"


# A choice by name alone sends all short calls through the first idle node.
def test_calls_that_end_at_once_use_all_nodes():
    pool = make_pool(4)
    names = []
    for _ in range(4):
        proxy = pool.choose(SHORT, 1, 0.0)
        pool.finish(proxy, 0.0)
        names.append(proxy.name)
    assert sorted(names) == ["n0", "n1", "n2", "n3"]


# A node whose calls fail immediately is idle again and would be chosen for each call.
def test_node_backs_off_after_a_failed_call():
    pool = make_pool(2)
    failed = fail_call(pool, 0.0)
    others = {pool.choose(SHORT, 1, 0.05).name for _ in range(4)}
    assert others == {"n0", "n1"} - {failed.name}
    assert pool.count_idle(SHORT, 1, 0.05) == 0
    assert failed in pool.list_available(SHORT, 1, INITIAL_BACKOFF_S)


# Without a maximum a node would be excluded for good; without growth it would be called
# ten times a second.
def test_backoff_doubles_up_to_its_maximum_and_ends_with_an_answer():
    pool = make_pool(1)
    now, backoffs = 0.0, []
    for _ in range(7):
        proxy = fail_call(pool, now)
        backoffs.append(pool.earliest_call_at(now) - now)
        now = pool.earliest_call_at(now)
    assert [round(backoff_s / INITIAL_BACKOFF_S) for backoff_s in backoffs[:4]] == [
        1,
        2,
        4,
        8,
    ]
    assert round(backoffs[-1], 6) == MAX_BACKOFF_S
    pool.record_answer(proxy)
    fail_call(pool, now)
    assert round(pool.earliest_call_at(now) - now, 6) == INITIAL_BACKOFF_S


# Calls queued on a node fail together when the node loses its connection.
def test_calls_that_fail_together_count_once():
    pool = make_pool(1)
    calls = [pool.choose(SHORT, 1, 0.0) for _ in range(5)]
    for proxy in calls:
        pool.finish(proxy, 0.01)
        pool.record_failure(proxy, 0.01)
    assert round(pool.earliest_call_at(0.01) - 0.01, 6) == INITIAL_BACKOFF_S


# If all nodes back off, the next call starts when the first back-off ends.
def test_earliest_node_is_chosen_while_all_back_off():
    pool = make_pool(3)
    first = fail_call(pool, 0.0)
    fail_call(pool, 0.01)
    fail_call(pool, 0.02)
    assert pool.count_idle(SHORT, 1, 0.03) == 0
    assert pool.earliest_call_at(0.03) == first.backoff_until
    assert pool.choose(SHORT, 1, first.backoff_until) is first


load_tests = make_load_tests(globals())
