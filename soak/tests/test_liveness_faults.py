"""Planted faults show that each check of the liveness soak can fail."""

from collections.abc import Callable
from unittest import mock

import anyio

from gypsumring.cell import scheduling
from gypsumring.cell.policy_client import PolicyClient
from gypsumring.cell.queues import QueueRegistry
from gypsumring.dispatch import Backlog
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock
from soak.liveness import LivenessSoak, run_liveness_soak

SEEDS = 30
SECONDS = 6.0
# Jobs lose their queue, and owners follow each other, more often than usually.
DROPS = ("drop_queue", "kill_node")


def run(seed: int) -> list[str]:
    """Return the violations that a seed shows."""
    result = run_on_mock_clock(run_liveness_soak, seed, SECONDS, seed=seed)
    return result["violations"]


def assert_found(rule: str, seed: int, plant: Callable[[], mock._patch]) -> None:
    """Run seeds with a planted fault until the rule's check has found it."""
    for each in range(seed, seed + SEEDS):
        with plant():
            violations = run(each)
        if any(text.startswith(rule) for text in violations):
            return
    raise AssertionError(f"no seed has found the fault of {rule}")


def test_sound_code_is_quiet():
    """Guard against a check that fails whatever the code does."""
    assert run(1) == []
    # A seed with failed calls for advice.
    assert run(3) == []
    with mock.patch.object(LivenessSoak, "fault_names", DROPS):
        assert run(4) == []


def test_looks_that_are_not_planned_again_are_found():
    """Guard against a check that passes over steps that are no longer evaluated."""
    assert_found(
        "PROMPT",
        1,
        lambda: mock.patch.object(Backlog, "reschedule", lambda self, step, now: None),
    )


def test_reservations_that_are_not_given_back_are_found():
    """Guard against a check that passes over reservations for ended steps."""
    sound_reserve = scheduling.reserve_executors

    def plant() -> mock._patch:
        kept = {}

        def reserve(*args):
            for executor_id, reservation in sound_reserve(*args).items():
                kept.setdefault(executor_id, reservation)
            return dict(kept)

        return mock.patch.object(scheduling, "reserve_executors", reserve)

    assert_found("START", 1, plant)


def test_failed_calls_for_advice_that_count_as_under_way_are_found():
    """Guard against a check that passes over steps that wait for a lost answer."""
    sound_ask = PolicyClient.call_policy

    async def call_policy(self, step, *args):
        await sound_ask(self, step, *args)
        if step.next_policy_call_at > anyio.current_time():
            step.policy_calls_in_flight += 1

    assert_found(
        "PROMPT", 2, lambda: mock.patch.object(PolicyClient, "call_policy", call_policy)
    )


def test_dropped_queues_that_are_not_recorded_are_found():
    """Guard against a check that passes over jobs that lost their policy."""
    with mock.patch.object(LivenessSoak, "fault_names", DROPS):
        assert_found(
            "PROMPT",
            4,
            lambda: mock.patch.object(QueueRegistry, "record", lambda self, name: None),
        )


load_tests = make_load_tests(globals())
