"""Speeds of executors learned from work whose durations and estimates vary.

Pattern: one executor in four runs at 0.55 of the usual speed and the others at 1.2;
durations spread log-normally (0.5), up to 3% of the tasks take seven times as long, and
the estimates of a kind of work are off by a factor. Guards against executors that look
slow because of one long task or of a kind with low estimates.
"""

import math
import random
import statistics

from gypsumring.fleet import ExecutorProfile, FleetKnowledge
from gypsumring.fleet.profiles import MAX_SAMPLES, center_profiles
from gypsumring.fleet.runtimes import MAX_WINDOWS, WINDOW_SAMPLES, Evidence
from gypsumring.pipelines.model import WorkKind
from gypsumring.utils.testing import make_load_tests

SPEEDS = (0.55, 1.2, 1.2, 1.2)
LONG_SHARE = 0.03
LONG_FACTOR = 7.0


def learn(knowledge, profile, kind, log_ratio, evidence=Evidence.END):
    """Learn from a run without neighbours."""
    knowledge.learn(profile, kind, {evidence: log_ratio}, {}, 0.0, 0.0)


class Trial:
    """Learn from runs on executors with given speeds."""

    def __init__(self, speeds, seed, spread=0.5):
        self.random = random.Random(seed)
        self.speeds = speeds
        self.spread = spread
        self.knowledge = FleetKnowledge()
        self.profiles = [ExecutorProfile() for _ in speeds]

    def run(self, number, kind, off=1.0, evidence=Evidence.END):
        """Run a task of a kind whose estimate is off by a factor."""
        ratio = off * math.exp(self.random.gauss(0, self.spread))
        if self.random.random() < LONG_SHARE:
            ratio *= LONG_FACTOR
        log_ratio = math.log(ratio / self.speeds[number])
        learn(self.knowledge, self.profiles[number], kind, log_ratio, evidence)

    def run_everywhere(self, rounds, kinds):
        """Run tasks of kinds, given with the factors of their estimates."""
        for _ in range(rounds):
            for number in range(len(self.speeds)):
                kind = self.random.choice(list(kinds))
                self.run(number, kind, kinds[kind])
            center_profiles(self.profiles)

    def relative_errors(self):
        """Return the log errors of the speeds against those of the usual machine."""
        usual = statistics.median(self.speeds)
        usual_log = statistics.median(each.log_slowness for each in self.profiles)
        return [
            abs(profile.log_slowness - usual_log + math.log(speed / usual))
            for profile, speed in zip(self.profiles, self.speeds, strict=True)
        ]


def make_kind(number):
    """Return a kind of work."""
    return WorkKind("q", number, "")


def test_slow_executors_are_found_among_noisy_durations_and_wrong_estimates():
    kinds = {make_kind(0): 0.6, make_kind(1): 1.0, make_kind(2): 1.9}
    for seed in range(5):
        trial = Trial(SPEEDS * 6, seed)
        trial.run_everywhere(40, kinds)
        classes = [profile.speed_class for profile in trial.profiles]
        slow = [classes[number] for number in range(0, 24, 4)]
        fast = [classes[number] for number in range(24) if number % 4]
        assert min(slow) > max(fast), (seed, classes)
        assert statistics.mean(trial.relative_errors()) < 0.2, seed


def test_progress_reports_show_the_speeds_within_a_few_runs():
    for seed in range(5):
        trial = Trial(SPEEDS * 3, seed, spread=0.05)
        for _ in range(6):
            for number in range(12):
                trial.run(number, make_kind(0), 1.0, Evidence.PROGRESS)
        assert statistics.mean(trial.relative_errors()) < 0.1, seed


def test_equal_executors_stay_in_one_class():
    for seed in range(5):
        trial = Trial((1.0,) * 8, seed)
        trial.run_everywhere(60, {make_kind(0): 1.5, make_kind(1): 0.4})
        assert {profile.speed_class for profile in trial.profiles} == {0}, seed


def test_one_long_task_of_33_does_not_count_as_a_slow_executor():
    trial = Trial((1.0,) * 4, 1, spread=0.2)
    trial.run_everywhere(32, {make_kind(0): 1.0})
    profile = trial.profiles[0]
    before = profile.slowness
    learn(trial.knowledge, profile, make_kind(0), math.log(7.0))
    assert profile.speed_class == 0
    assert abs(profile.slowness / before - 1) < 0.05
    # Nor does it if it is the first task of an executor.
    fresh = ExecutorProfile()
    learn(trial.knowledge, fresh, make_kind(0), math.log(7.0))
    assert fresh.speed_class == 0


# A kind of work that runs on slow executors only would otherwise make them look usual.
def test_kind_that_only_slow_executors_run_does_not_hide_them():
    trial = Trial(SPEEDS * 4, 3)
    trial.run_everywhere(40, {make_kind(0): 1.0})
    for _ in range(30):
        for number in range(0, 16, 4):
            trial.run(number, make_kind(1))
    assert all(trial.profiles[number].speed_class >= 1 for number in range(0, 16, 4))
    ratio = trial.knowledge.runtimes.expected_ratio(make_kind(1))
    assert 0.6 < ratio * statistics.median(SPEEDS) < 1.5


def test_work_that_runs_on_one_executor_only_is_no_comparison():
    knowledge, profile = FleetKnowledge(), ExecutorProfile()
    for _ in range(50):
        learn(knowledge, profile, make_kind(0), math.log(3.0))
    assert profile.slowness == 1.0
    assert 2.5 < knowledge.runtimes.expected_ratio(make_kind(0)) < 3.1


def test_next_life_begins_with_a_doubt():
    profile = ExecutorProfile()
    for _ in range(30):
        profile.add(0.8, 20.0)
    later = profile.next_life()
    assert not later.samples
    assert 1.0 < later.slowness < profile.slowness
    for _ in range(30):
        later.add(0.0, 20.0)
    assert later.speed_class == 0


def test_memory_is_bounded():
    trial = Trial((1.0, 1.0), 1)
    for number in range(MAX_WINDOWS + 100):
        trial.run(0, make_kind(number))
    for _ in range(2 * WINDOW_SAMPLES):
        trial.run_everywhere(1, {make_kind(0): 1.0})
    assert len(trial.knowledge.runtimes.windows) == MAX_WINDOWS
    assert all(len(profile.samples) <= MAX_SAMPLES for profile in trial.profiles)
    window = trial.knowledge.runtimes.window(make_kind(0), Evidence.END)
    assert len(window.samples) == WINDOW_SAMPLES


load_tests = make_load_tests(globals())
