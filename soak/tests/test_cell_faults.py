"""Planted faults show that each check of the cell soak can fail."""

from collections.abc import Callable
from unittest import mock

import anyio

from gypsumring.cell.authority import Authority
from gypsumring.cell.commands import Commands
from gypsumring.cell.journal import Journal
from gypsumring.cell.messages import JobAnswer, Outcome
from gypsumring.cell.orders import Orders
from gypsumring.cell.voters import VoteRegister
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.state import Step
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock
from soak.cells import run_cell_soak, run_partition_soak

SEEDS = range(1, 41)
SECONDS = 30.0


def assert_found(rule: str, plant: Callable[[], mock._patch]) -> None:
    """Run seeds with a planted fault until the rule's check has found it."""
    for seed in SEEDS:
        with plant():
            result = run_on_mock_clock(run_cell_soak, seed, SECONDS, seed=seed)
        if any(text.startswith(rule) for text in result["violations"]):
            return
    raise AssertionError(f"no seed has found the fault of {rule}")


def run_partitions(seed: int) -> list[str]:
    """Return the violations that a seed of the partition soak shows."""
    result = run_on_mock_clock(run_partition_soak, seed, SECONDS, seed=seed)
    return result["violations"]


def test_sound_code_is_quiet():
    for seed in list(SEEDS)[:3]:
        result = run_on_mock_clock(run_cell_soak, seed, SECONDS, seed=seed)
        assert result["invariant_violations"] == 0, result["violations"]


def test_tasks_of_silent_executors_that_start_elsewhere_at_once_are_found():
    assert_found(
        "TWICE",
        lambda: mock.patch.object(
            ExecutorState,
            "is_lease_expired",
            lambda self, now, longest, exclusive_since=0.0: True,
        ),
    )


def test_leases_that_an_owner_extends_while_it_is_cut_off_are_found():
    assert_found(
        "TWICE",
        lambda: mock.patch.object(
            Authority, "may_extend_leases", lambda self, now=0.0: True
        ),
    )


def test_votes_dated_by_their_arrival_are_found():
    sound_record = VoteRegister.record

    def record(self, node, incarnation, fence, answers_sent_at):
        sound_record(self, node, incarnation, fence, anyio.current_time())

    assert_found("TWICE", lambda: mock.patch.object(VoteRegister, "record", record))


def test_leases_presumed_expired_from_the_takeover_on_are_found():
    sound_restore = Authority.restore

    def restore(self, *args):
        sound_restore(self, *args)
        self.exclusive_since = self.taken_over_at

    for seed in SEEDS:
        with mock.patch.object(Authority, "restore", restore):
            found = run_partitions(seed)
        if any(text.startswith("TWICE") for text in found):
            # What the seed shows without the planted fault as well is no find.
            assert run_partitions(seed) == []
            return
    raise AssertionError("no seed has found the fault of TWICE")


def test_rooms_that_are_filled_without_counting_are_found():
    assert_found(
        "LIMIT",
        # Starts on an executor that is over-full are withdrawn as well.
        lambda: mock.patch.multiple(
            ExecutorState,
            count_fitting_tasks=lambda self, spec: spec.task_count,
            is_overfull=lambda self: False,
        ),
    )


def test_jobs_confirmed_before_they_are_durable_are_found():
    sound_put = Journal.put

    def put(self, key, value, on_durable=None, urgent=True):
        if key.startswith("j/") and on_durable is not None:
            on_durable()
            return
        sound_put(self, key, value, on_durable, urgent)

    assert_found("LOST", lambda: mock.patch.object(Journal, "put", put))


def test_jobs_refused_after_they_were_queued_are_found():
    sound_submit = Commands.submit

    async def submit(self, *args):
        await sound_submit(self, *args)
        return JobAnswer(Outcome.REFUSED)

    assert_found("REFUSED", lambda: mock.patch.object(Commands, "submit", submit))


def test_cancelled_jobs_that_run_on_are_found():
    assert_found(
        "UNASKED",
        lambda: mock.patch.object(Orders, "stop_all", lambda self, runs: None),
    )


def test_steps_that_do_not_wait_for_others_are_found():
    assert_found(
        "ORDER",
        lambda: mock.patch.object(
            Step, "is_ready", property(lambda self: bool(self.pending))
        ),
    )


load_tests = make_load_tests(globals())
