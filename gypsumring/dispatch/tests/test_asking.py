"""Tests of the choice of executors for policy queries on a large fleet.

Queries about the first 40 of 270 executors sent all work there, while most of the fleet
was idle and callers waited.
"""

import random
from collections import Counter

from gypsumring.dispatch import (
    AllowedShares,
    PolicyProxyPool,
    choose_call_size,
    choose_unqueried,
    may_complete_gang,
    split_calls,
)
from gypsumring.dispatch.tests.fleets import make_fleet, make_step
from gypsumring.pipelines import PolicyTiming
from gypsumring.utils.testing import make_load_tests

LONG = PolicyTiming(0.5, 0.007, 2.0)
SHORT = PolicyTiming(0.02, 0.0003, 2.0)
SHARE = 0.3


def query_executors(step, fleet, allowed_capacity=0, timing=LONG, seed=1):
    """Return the ids of the executors that a step queries."""
    chosen = choose_unqueried(
        step,
        fleet,
        allowed_capacity,
        SHARE,
        choose_call_size(timing),
        random.Random(seed),
    )
    return [executor.executor_id for executor in chosen]


def test_concurrent_steps_query_different_executors():
    fleet = make_fleet(270, cpu_millis=32_000)
    rng = random.Random(7)
    queried = Counter()
    for number in range(60):
        step = make_step(f"{number:016x}", task_count=3, cpu_millis=8_000)
        for executor in choose_unqueried(step, fleet, 0, SHARE, 35, rng):
            queried[executor.executor_id] += 1
    assert len(queried) > 260
    assert max(queried.values()) < 3 * sum(queried.values()) / len(fleet)


def test_wide_step_queries_as_many_executors_as_it_needs():
    fleet = make_fleet(270, cpu_millis=32_000)
    gang = make_step(task_count=90, cpu_millis=9_000, gang=True)
    # 30 executors hold the gang, and the policy allows 30 % of the executors.
    assert 100 < len(query_executors(gang, fleet)) < 200


def test_executors_with_free_capacity_are_queried_first():
    fleet = make_fleet(100, cpu_millis=8_000)
    for executor in fleet[:60]:
        executor.used_cpu = 8_000
    step = make_step(task_count=2, cpu_millis=4_000)
    free = {executor.executor_id for executor in fleet[60:]}
    chosen = query_executors(step, fleet)
    assert set(chosen[: len(free)]) <= free
    gang = make_step(task_count=8, cpu_millis=4_000, gang=True)
    fleet[70].used_cpu = 4_000
    assert "i-70" not in query_executors(gang, fleet)[:39]


def test_sufficiently_allowed_step_queries_only_executors_with_capacity():
    fleet = make_fleet(50, cpu_millis=8_000)
    for executor in fleet[:49]:
        executor.used_cpu = 8_000
    step = make_step(task_count=4, cpu_millis=4_000)
    assert query_executors(step, fleet, allowed_capacity=20) == ["i-49"]
    fleet[49].used_cpu = 8_000
    assert query_executors(step, fleet, allowed_capacity=20) == []


def test_small_fleet_is_queried_in_one_call():
    fleet = make_fleet(24)
    chosen = choose_unqueried(make_step(), fleet, 0, SHARE, 35, random.Random(1))
    calls = split_calls(chosen, choose_call_size(LONG), nodes=9)
    assert [len(call) for call in calls] == [24]


def test_calls_are_no_longer_than_their_base_time_suggests():
    size = choose_call_size(LONG)
    assert LONG.call_s(size) <= 1.5 * LONG.base_s
    fleet = make_fleet(120)
    calls = split_calls(fleet, size, nodes=9)
    assert sum(len(call) for call in calls) == 120
    assert len(split_calls(fleet, size, nodes=2)) == 2
    assert choose_call_size(PolicyTiming(0.02, 0.0, 2.0)) == 100


def test_share_follows_the_answers_of_each_queue():
    shares = AllowedShares()
    for _ in range(60):
        shares.record_answer("generous", 20, 18)
        shares.record_answer("strict", 20, 0)
    assert shares.get("generous") > 0.85
    # A queue whose policy allows nothing must not query the whole fleet per task.
    assert 0 < shares.get("strict") <= 0.05
    assert shares.get("new") == 0.4


def test_idle_count_excludes_nodes_reserved_for_short_calls():
    pool = PolicyProxyPool()
    pool.set_names([f"n{number}" for number in range(9)])
    assert pool.count_idle(LONG, 30, 0.0) == 6
    assert pool.count_idle(SHORT, 30, 0.0) == 9
    for _ in range(6):
        pool.choose(LONG, 30, 0.0)
    assert pool.count_idle(LONG, 30, 0.1) == 0


# A step queried only the one to four executors that had free capacity in each call of
# 0.9 s, and could send no other query meanwhile.
def test_call_is_filled_although_few_executors_have_capacity():
    fleet = make_fleet(100)
    for executor in fleet[2:]:
        executor.used_cpu = 8_000
    gang = make_step(task_count=17, cpu_millis=4_000, gang=True)
    queried = query_executors(gang, fleet, allowed_capacity=34)
    assert len(queried) >= choose_call_size(LONG)


# On a busy fleet with forty waiting gangs, half of all long calls asked about a few
# more executors for gangs that still did not fit. Gangs that fitted waited for a node
# to renew their tickets, and the capacity reserved for them was idle.
def test_gang_that_stays_too_large_queries_no_further_executors():
    fleet = make_fleet(100)
    allowed, others = fleet[:20], fleet[20:]
    for executor in fleet:
        executor.used_cpu = 8_000
    gang = make_step(task_count=20, cpu_millis=4_000, gang=True)
    assert not may_complete_gang(gang, allowed, 40, others, SHARE)
    for executor in allowed[:8]:
        executor.used_cpu = 0
    assert not may_complete_gang(gang, allowed, 40, others, SHARE)
    # With the share of 0.3, 80 executors with one place each add 24 places.
    for executor in others:
        executor.used_cpu = 4_000
    assert may_complete_gang(gang, allowed, 40, others, SHARE)
    assert not may_complete_gang(gang, allowed, 40, others[:10], SHARE)


def test_gang_without_enough_allowed_executors_queries_further_ones():
    fleet = make_fleet(100)
    for executor in fleet:
        executor.used_cpu = 8_000
    gang = make_step(task_count=20, cpu_millis=4_000, gang=True)
    assert may_complete_gang(gang, [], 0, fleet, SHARE)
    assert may_complete_gang(gang, fleet[:15], 30, fleet[15:], SHARE)
    assert not may_complete_gang(gang, fleet[:16], 32, fleet[16:], SHARE)


load_tests = make_load_tests(globals())
