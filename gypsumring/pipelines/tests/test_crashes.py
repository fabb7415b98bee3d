"""Decisions about the tasks under which executors have crashed."""

import msgspec

from gypsumring.dispatch.tests.fleets import make_step
from gypsumring.pipelines import JobTable, Run, Step, decode_progress, encode
from gypsumring.pipelines.crashes import MAX_CRASHES, MAX_FINAL_STARTS, Suspect
from gypsumring.pipelines.records import CrashRecord
from gypsumring.utils.testing import make_load_tests


def make_suspect(*crashes: CrashRecord) -> Suspect:
    """Return a suspect of the given crashes."""
    suspect = Suspect()
    for crash in crashes:
        suspect.add_crash(crash)
    return suspect


def make_crash(executor_id: str, **fields) -> CrashRecord:
    """Return a crash of an executor that ran only the task, unless fields say else."""
    fields = {"born_ms": 1, "sole": True, "alone": True, "begun": True, **fields}
    return CrashRecord(executor_id, **fields)


def start_run(table: JobTable, step: Step, index: int) -> Run:
    """Return an attempt that has begun on the executor i-0."""
    run = table.place(step, index, 1, "i-0", 0.0)
    run.has_begun = True
    return run


def test_task_alone_in_two_crashes_is_the_culprit():
    suspect = make_suspect(make_crash("i-0"))
    assert not suspect.is_culprit
    suspect.add_crash(make_crash("i-1"))
    assert suspect.is_culprit


# Guards against a job given up because its task was twice beside a deadly one that was
# no suspect yet.
def test_task_that_never_ran_alone_is_not_the_culprit():
    crashes = [make_crash(f"i-{number}", alone=False) for number in range(4)]
    assert not make_suspect(*crashes).is_culprit


# Guards against a machine that crashes again and again by its own fault.
def test_crashes_of_one_executor_are_not_sufficient():
    crashes = [make_crash("i-0", born_ms=number) for number in range(3)]
    assert not make_suspect(*crashes).is_culprit


# Guards against a start that was sent to an executor that had crashed just before.
def test_starts_that_may_not_have_begun_need_a_third_crash():
    suspect = make_suspect(
        make_crash("i-0", begun=False), make_crash("i-1", begun=False)
    )
    assert not suspect.is_culprit
    suspect.add_crash(make_crash("i-2", begun=False))
    assert suspect.is_culprit


# Guards against an executor that is only cut off: the same incarnation answers.
def test_crash_is_withdrawn_if_the_same_incarnation_answers():
    suspect = make_suspect(
        make_crash("i-0", born_ms=5, confirmed=False),
        make_crash("i-1", born_ms=5, confirmed=False),
    )
    assert suspect.resolve("i-0", 5)
    assert suspect.resolve("i-1", 6)
    assert [(each.executor_id, each.confirmed) for each in suspect.crashes] == [
        ("i-1", True)
    ]


# Guards against one crash that is counted twice: as the executor is silent, and as its
# new incarnation answers.
def test_incarnation_counts_once():
    suspect = make_suspect(make_crash("i-0", confirmed=False))
    assert suspect.add_crash(make_crash("i-0"))
    assert not suspect.add_crash(make_crash("i-0"))
    assert len(suspect.crashes) == 1


def test_starts_after_three_crashes_are_bounded_whatever_the_evidence():
    suspect = Suspect()
    for number in range(MAX_CRASHES):
        suspect.add_crash(make_crash(f"i-{number}", sole=False, alone=False))
        assert not suspect.is_exhausted
    for _ in range(MAX_FINAL_STARTS):
        assert not suspect.is_exhausted
        suspect.record_start("i-9", 1)
    assert suspect.is_exhausted
    suspect.withdraw_start()
    assert not suspect.is_exhausted


# Guards against three starts after three crashes of which one was not counted, since
# its owner did not outlive it.
def test_crash_after_the_first_final_start_is_the_last():
    suspect = Suspect()
    for number in range(MAX_CRASHES):
        suspect.add_crash(make_crash(f"i-{number}", sole=False, alone=False))
    suspect.record_start("i-8", 1)
    suspect.add_crash(make_crash("i-8", sole=False, alone=False))
    assert suspect.is_exhausted


# A crash with one earlier suspect among the tasks names it; one with two names neither.
def test_crash_names_the_only_earlier_suspect():
    table = JobTable()
    step = make_step(task_count=3)
    runs = [start_run(table, step, index) for index in range(3)]
    table.crashes.record_crash("i-0", 1, runs, True, True)
    assert not any(suspect.crashes[0].sole for suspect in step.suspects.values())
    fresh = start_run(table, make_step("b" * 16), 0)
    table.crashes.record_crash("i-1", 1, [runs[0], fresh], True, True)
    assert step.suspects[0].crashes[1].sole
    assert not fresh.step.suspects[0].crashes[0].sole
    table.crashes.record_crash("i-2", 1, runs[1:], True, True)
    assert not step.suspects[1].crashes[1].sole


# Guards against evidence from a crash with a common cause, such as a rack.
def test_crash_beside_others_names_nobody():
    table = JobTable()
    step = make_step(task_count=1)
    run = start_run(table, step, 0)
    table.crashes.record_crash("i-0", 1, [run], True, False)
    assert not step.suspects[0].crashes[0].sole


def test_suspect_that_is_done_is_cleared():
    table = JobTable()
    step = make_step(task_count=2)
    run = start_run(table, step, 0)
    table.crashes.record_crash("i-0", 1, [run], True, True)
    step.mark_done(0)
    assert table.crashes.list_suspects() == []


def test_counts_are_restored_from_the_progress_record():
    table = JobTable()
    step = make_step(task_count=2)
    run = start_run(table, step, 1)
    table.crashes.record_crash("i-0", 7, [run], True, True)
    step.suspects[1].record_start("i-1", 8)
    progress = decode_progress(encode(step.job.progress()))
    restored = make_step(task_count=2)
    restored.job.restore(progress)
    suspect = restored.suspects[1]
    assert suspect.crashes == step.suspects[1].crashes
    assert (suspect.placed_on, suspect.placed_born_ms) == ("i-1", 8)


# Guards against an owner that can't read what the version before it has stored.
def test_record_without_suspects_is_restored():
    earlier = {
        "phase": "running",
        "steps": [{"n": 0, "d": b"\x01\x00", "f": {1: [3]}}],
        "ended_ms": 0,
        "opened": 1,
    }
    step = make_step(task_count=2)
    step.job.restore(decode_progress(msgspec.msgpack.encode(earlier)))
    assert step.suspects == {}
    assert step.done_count == 1
    assert step.failures == {1: {3}}


load_tests = make_load_tests(globals())
