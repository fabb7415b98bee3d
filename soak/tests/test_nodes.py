"""Planted faults show that each check of the soak of node processes can fail."""

import random
from unittest import mock

import anyio

from gypsumring.ports.store import Assignment
from gypsumring.utils.testing import make_load_tests
from soak.nodes import trial as trials
from soak.nodes.plan import Fault, draw_plan, max_takeovers
from soak.nodes.trial import Trial, run_trial
from stand_ins.platform.store import StoreModel

load_tests = make_load_tests(globals())

NODES = 2
# Only cells that never settle reach this bound.
PLANTED_BOUND_S = 6.0


class ForgetfulStore(StoreModel):
    """Store that acknowledges the records of jobs and forgets them."""

    def extend(self, partition, records):
        kept = [each for each in records if not each[0].startswith("j/")]
        return super().extend(partition, kept)


class OwnerlessStore(StoreModel):
    """Store that assigns the cell to nobody."""

    def join(self, group_name, member, ttl_s, generation):
        assignment = super().join(group_name, member, ttl_s, generation)
        return Assignment(assignment.generation, frozenset())


class GenerousStore(StoreModel):
    """Store that assigns the cell to each member, in a new generation each time."""

    def join(self, group_name, member, ttl_s, generation):
        assignment = super().join(group_name, member, ttl_s, generation)
        self.group(group_name).generation += 1
        return Assignment(assignment.generation, frozenset({0}))


def run_planned(store: StoreModel, *plan: Fault) -> Trial:
    """Run two nodes with a plan of faults on a store."""
    with mock.patch.object(trials, "draw_plan", lambda *_: list(plan)):
        return anyio.run(lambda: run_trial(1, NODES, 4.0, store=store))


def assert_found(rule: str, trial: Trial) -> None:
    """Check that a rule is among the problems of a trial."""
    assert any(each.startswith(rule) for each in trial.problems), trial.problems


def test_sound_nodes_are_quiet():
    """Guard against a check that blames a kill of the owner on sound nodes."""
    trial = run_planned(StoreModel(), Fault("kill", "owner", 0, 1.5, 2.0, 0.0))
    assert trial.problems == []
    assert trial.clients.accepted and trial.takeovers


def test_jobs_that_a_takeover_does_not_find_are_found():
    """Guard against a soak that does not ask for the accepted jobs again."""
    trial = run_planned(ForgetfulStore(), Fault("kill", "owner", 0, 2.5, 3.0, 0.0))
    assert_found("LOST", trial)


def test_cell_without_owner_is_found():
    """Guard against a check of settling that takes no owner for a settled cell."""
    with mock.patch.object(trials, "SETTLE_BOUND_S", PLANTED_BOUND_S):
        assert_found("UNSETTLED", run_planned(OwnerlessStore()))


def test_cell_with_two_owners_is_found():
    """Guard against a check of settling that overlooks a second owner."""
    with mock.patch.object(trials, "SETTLE_BOUND_S", PLANTED_BOUND_S):
        trial = run_planned(GenerousStore())
    assert_found("UNSETTLED", trial)
    assert_found("TAKEOVERS", trial)


def test_plan_depends_on_the_seed_only():
    """Guard against a failing seed that cannot be played again."""
    first, again, other = (
        [str(each) for each in draw_plan(random.Random(seed), 8, 60.0)]
        for seed in (1, 1, 2)
    )
    assert first == again != other


def test_bound_on_takeovers_counts_faults_and_restarts():
    """Guard against a bound that grows without a fault."""
    assert max_takeovers([], 8) == 0
    assert max_takeovers([Fault("freeze", "owner", 0, 1.0, 2.0, 0.0)], 8) == 2
    assert max_takeovers([Fault("freeze", "owner", 0, 1.0, 5.5, 0.0)], 8) == 6
    assert max_takeovers([Fault("kill", "all", 0, 1.0, 2.0, 0.0)], 8) == 18
