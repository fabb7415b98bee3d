"""Pairs of kinds of work that slow each other down, on synthetic runs.

Pattern: two kinds of work share executors, one takes longer beside the other. Guards
against pairs that are not found, and against pairs that are found where there are
none: where the neighbour runs on slow executors only, where it stands for load, where
it runs beside the true cause, and where a few tasks take seven times as long or the
estimates are off by half.
"""

import math
import random

from gypsumring.fleet import ExecutorProfile, FleetKnowledge
from gypsumring.fleet.interference import (
    HALF_LIFE_S,
    MAX_KINDS,
    MAX_NEIGHBOURS,
    Interference,
    Neighbour,
)
from gypsumring.fleet.runtimes import Evidence
from gypsumring.pipelines.model import WorkKind
from gypsumring.utils.testing import make_load_tests

VICTIM, CAUSE, OTHER, BYSTANDER = (WorkKind("q", number, "") for number in range(4))
SEEDS = 10
RUNS = 400


class Trial:
    """Learn from runs of one kind with neighbours and known effects."""

    def __init__(self, seed, effects=None, spread=0.5, off=1.0, speeds=(1.0,) * 4):
        self.random = random.Random(seed)
        self.effects = effects or {}
        self.spread = spread
        self.off = off
        self.speeds = speeds
        self.knowledge = FleetKnowledge()
        self.profiles = [ExecutorProfile() for _ in speeds]
        self.now = 0.0
        self.changes = []

    @property
    def found(self):
        """Return the pairs that are found, with their factors."""
        return {
            (kind, other): math.exp(effect)
            for kind, effects in self.knowledge.interference.effects.items()
            for other, effect in effects.items()
        }

    def run(self, machine, beside=(), load=0.1, kind=VICTIM, load_effect=0.0):
        """Run a task beside kinds of work, each for a share of its time."""
        self.now += 0.1
        neighbours = {other: Neighbour(share) for other, share in dict(beside).items()}
        log_ratio = math.log(self.off) + self.random.gauss(0, self.spread)
        if self.random.random() < 0.03:
            log_ratio += math.log(7.0)
        log_ratio -= math.log(self.speeds[machine])
        log_ratio += load_effect * load
        for other, share in dict(beside).items():
            log_ratio += share * math.log(self.effects.get((kind, other), 1.0))
        self.knowledge.learn(
            self.profiles[machine],
            kind,
            {Evidence.END: log_ratio},
            neighbours,
            load,
            self.now,
        )
        self.changes += self.knowledge.interference.review(self.now)

    def machine(self):
        """Return a random machine."""
        return self.random.randrange(len(self.speeds))


def test_pairs_are_found_with_their_factors():
    for seed in range(SEEDS):
        trial = Trial(seed, {(VICTIM, CAUSE): 2.0}, off=1.5)
        for _ in range(RUNS):
            beside = [(CAUSE, 1.0)] if trial.random.random() < 0.5 else [(OTHER, 0.7)]
            trial.run(trial.machine(), beside)
        assert set(trial.found) == {(VICTIM, CAUSE)}, (seed, trial.found)
        assert 1.6 < trial.found[VICTIM, CAUSE] < 2.4, (seed, trial.found)
        assert [change.is_found for change in trial.changes] == [True]


def test_small_effect_is_found_from_exact_progress():
    for seed in range(SEEDS):
        trial = Trial(seed, {(VICTIM, CAUSE): 1.25}, spread=0.05)
        for _ in range(RUNS):
            share = trial.random.choice((0.0, 0.0, 0.5, 1.0))
            trial.run(trial.machine(), [(CAUSE, share)])
        assert set(trial.found) == {(VICTIM, CAUSE)}, (seed, trial.found)


def test_no_pair_is_found_where_there_is_none():
    for seed in range(3 * SEEDS):
        trial = Trial(seed, speeds=(0.55, 1.2, 1.2, 1.2), off=0.5)
        for _ in range(2 * RUNS):
            beside = [
                (other, trial.random.random())
                for other in (VICTIM, CAUSE, OTHER, BYSTANDER)
                if trial.random.random() < 0.4
            ]
            trial.run(trial.machine(), beside)
        assert not trial.changes, (seed, trial.found)


def test_neighbour_on_slow_executors_is_not_the_cause():
    for seed in range(SEEDS):
        trial = Trial(seed, speeds=(0.55, 1.2, 1.2, 1.2) * 2)
        for _ in range(RUNS):
            machine = trial.machine()
            # Another kind of work shows the speeds where the victim is always beside
            # the suspected neighbour.
            trial.run(machine, kind=OTHER)
            is_slow = trial.speeds[machine] < 1
            may_stand = trial.random.random() < (0.8 if is_slow else 0.2)
            trial.run(machine, [(CAUSE, 1.0)] if may_stand else [])
        assert not trial.found, (seed, trial.found)


def test_neighbour_that_stands_for_load_is_not_the_cause():
    for seed in range(SEEDS):
        trial = Trial(seed, spread=0.3)
        for _ in range(RUNS):
            load = trial.random.choice((0.1, 0.4, 0.8))
            may_stand = trial.random.random() < load
            beside = [(CAUSE, 1.0)] if may_stand else [(OTHER, 1.0)]
            trial.run(trial.machine(), beside, load, load_effect=0.8)
        assert not trial.found, (seed, trial.found)


def test_neighbour_beside_the_true_cause_is_not_a_cause():
    for seed in range(SEEDS):
        trial = Trial(seed, {(VICTIM, CAUSE): 2.0}, spread=0.3)
        for _ in range(2 * RUNS):
            beside = []
            if trial.random.random() < 0.5:
                beside.append((CAUSE, 1.0))
            if trial.random.random() < (0.7 if beside else 0.3):
                beside.append((BYSTANDER, 1.0))
            trial.run(trial.machine(), beside)
        assert set(trial.found) == {(VICTIM, CAUSE)}, (seed, trial.found)


# An effect that is known must not be taken for a slow executor.
def test_interference_does_not_make_an_executor_slow():
    trial = Trial(1, {(VICTIM, CAUSE): 2.0}, spread=0.2)
    for _ in range(3 * RUNS):
        machine = trial.machine()
        may_stand = trial.random.random() < (0.8 if machine == 0 else 0.2)
        trial.run(machine, [(CAUSE, 1.0)] if may_stand else [])
    assert set(trial.found) == {(VICTIM, CAUSE)}
    assert {profile.speed_class for profile in trial.profiles} == {0}


def test_pair_is_forgotten_with_age():
    trial = Trial(1, {(VICTIM, CAUSE): 2.0})
    for _ in range(RUNS):
        trial.run(
            trial.machine(), [(CAUSE, 1.0)] if trial.random.random() < 0.5 else []
        )
    assert trial.found
    interference = trial.knowledge.interference
    changes = []
    for _ in range(12):
        trial.now += HALF_LIFE_S
        changes += interference.review(trial.now)
    assert [change.is_found for change in changes] == [False]
    assert not interference.effects
    assert not interference.conflicts


def test_pair_is_forgotten_once_the_effect_ends():
    trial = Trial(1, {(VICTIM, CAUSE): 2.0})
    for _ in range(RUNS):
        trial.run(
            trial.machine(), [(CAUSE, 1.0)] if trial.random.random() < 0.5 else []
        )
    assert trial.found
    trial.effects = {}
    for _ in range(4 * RUNS):
        trial.now += 1.0
        trial.run(
            trial.machine(), [(CAUSE, 1.0)] if trial.random.random() < 0.5 else []
        )
    assert not trial.found


def test_memory_is_bounded():
    interference = Interference()
    for number in range(3 * MAX_KINDS):
        neighbours = {
            WorkKind("n", other, ""): Neighbour(1.0)
            for other in range(number % 5, 3 * MAX_NEIGHBOURS, 5)
        }
        for _ in range(4):
            kind = WorkKind("q", number, "")
            interference.record(kind, 0.1, neighbours, 0.1, float(number))
    assert len(interference.kinds) == MAX_KINDS
    assert all(
        len(samples.pairs) <= MAX_NEIGHBOURS for samples in interference.kinds.values()
    )


load_tests = make_load_tests(globals())
