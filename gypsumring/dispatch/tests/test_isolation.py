"""Placement of tasks under which executors have crashed."""

from gypsumring.dispatch import Placement, place_step
from gypsumring.dispatch.isolation import EXCLUSIVE_S, SEPARATION_WAIT_S, Isolation
from gypsumring.dispatch.tests.fleets import make_fleet, make_step
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import JobTable, Run, Step
from gypsumring.pipelines.crashes import MAX_FINAL_STARTS, Suspect
from gypsumring.pipelines.records import CrashRecord
from gypsumring.utils.testing import make_load_tests


def make_suspects(table: JobTable, step: Step, *crashed: str) -> None:
    """Record crashes of executors under all tasks of a step."""
    for index in range(step.spec.task_count):
        step.suspects[index] = Suspect()
        for executor_id in crashed:
            step.suspects[index].add_crash(CrashRecord(executor_id))
    table.crashes.add_job(step.job)


def start(table: JobTable, step: Step, executor: ExecutorState, now: float) -> Run:
    """Start the first pending task of a step on an executor."""
    run = table.place(step, min(step.pending), 1, executor.executor_id, now)
    executor.add_run(run)
    return run


def place(
    table: JobTable, step: Step, fleet: list[ExecutorState], now: float
) -> list[Placement]:
    """Place a step with suspects kept apart."""
    isolation = Isolation(table.crashes, len(fleet), now)
    return place_step(step, isolation.admit(fleet), 1.0, now, (), isolation)


def list_used(placements: list[Placement]) -> list[str]:
    """Return the ids of the executors that receive tasks."""
    return sorted(placement.executor.executor_id for placement in placements)


# Guards against two suspects on one executor, whose next crash would name neither.
def test_suspects_are_placed_on_different_executors():
    table, fleet = JobTable(), make_fleet(3)
    step = make_step(task_count=2)
    make_suspects(table, step, "i-9")
    assert len(set(list_used(place(table, step, fleet, 0.0)))) == 2
    other = make_step("b" * 16, task_count=1)
    make_suspects(table, other, "i-9")
    start(table, other, fleet[0], 0.0)
    assert "i-0" not in list_used(place(table, step, fleet, 0.0))


# Guards against a step that waits for ever because each executor runs a suspect.
def test_suspect_that_cannot_be_kept_apart_runs_after_a_bounded_wait():
    table, fleet = JobTable(), make_fleet(1)
    other = make_step("b" * 16, task_count=1)
    step = make_step(task_count=1)
    make_suspects(table, other, "i-9")
    make_suspects(table, step, "i-9")
    start(table, other, fleet[0], 0.0)
    assert place(table, step, fleet, 1.0) == []
    assert place(table, step, fleet, 0.9 + SEPARATION_WAIT_S) == []
    assert list_used(place(table, step, fleet, 1.0 + SEPARATION_WAIT_S)) == ["i-0"]


# Guards against a wait that begins before there is capacity, so that a busy cell would
# keep nothing apart.
# Guards against tasks that wait for an executor of their own although no executor has
# crashed under them: only their placement is recorded.
def test_watched_tasks_are_not_kept_apart():
    table, step = JobTable(), make_step(task_count=3, cpu_millis=1000)
    for index in range(3):
        table.crashes.watch(step, index)
    fleet = make_fleet(1)
    start(table, step, fleet[0], 0.0)
    assert list_used(place(table, step, fleet, 1.0)) == ["i-0", "i-0"]
    assert table.crashes.count_suspects() == 0


def test_wait_begins_once_there_is_capacity():
    table, fleet = JobTable(), make_fleet(1)
    other = make_step("b" * 16, task_count=1, cpu_millis=8000)
    step = make_step(task_count=1)
    make_suspects(table, other, "i-9")
    make_suspects(table, step, "i-9")
    run = start(table, other, fleet[0], 0.0)
    assert place(table, step, fleet, 1.0) == []
    assert step.suspects[0].separate_until is None
    fleet[0].remove_run(run)
    assert place(table, step, fleet, 50.0) == []
    assert step.suspects[0].separate_until == 50.0 + SEPARATION_WAIT_S


# Guards against members of a gang that wait for an executor one after the other.
def test_gang_with_several_suspects_waits_once():
    table, fleet = JobTable(), make_fleet(1)
    step = make_step(task_count=3, gang=True)
    make_suspects(table, step, "i-9")
    assert place(table, step, fleet, 0.0) == []
    assert len(place(table, step, fleet, SEPARATION_WAIT_S)) == 3


# Guards against a gang that never starts: a suspect of two crashes took all capacity of
# an executor, so that the other members did not fit beside it.
def test_gang_with_a_suspect_of_two_crashes_starts_on_one_executor():
    table, fleet = JobTable(), make_fleet(1)
    step = make_step(task_count=3, gang=True)
    make_suspects(table, step, "i-8", "i-9")
    del step.suspects[0], step.suspects[1]
    place(table, step, fleet, 0.0)
    assert len(place(table, step, fleet, SEPARATION_WAIT_S)) == 3


# Guards against the next crash under a task on the executor that has crashed: one
# faulty machine would then count as many.
def test_suspect_avoids_executors_that_have_crashed_under_it():
    table, fleet = JobTable(), make_fleet(2)
    step = make_step(task_count=1)
    make_suspects(table, step, "i-0")
    assert list_used(place(table, step, fleet, 0.0)) == ["i-1"]


# Guards against other tasks beside a suspect of two crashes, which would blur the
# evidence and lose their work.
def test_other_tasks_keep_off_a_suspect_of_two_crashes_for_a_while():
    table, fleet = JobTable(), make_fleet(2)
    suspected = make_step("b" * 16, task_count=1)
    make_suspects(table, suspected, "i-8", "i-9")
    start(table, suspected, fleet[0], 0.0)
    step = make_step(task_count=16)
    assert set(list_used(place(table, step, fleet, 0.0))) == {"i-1"}
    later = place(table, step, fleet, EXCLUSIVE_S)
    assert set(list_used(later)) == {"i-0", "i-1"}


# Guards against a further start of a task that may not be started again, while its job
# is about to be given up.
def test_task_without_starts_left_is_not_placed():
    table, fleet = JobTable(), make_fleet(2)
    step = make_step(task_count=2)
    make_suspects(table, step, "i-7", "i-8", "i-9")
    for _ in range(MAX_FINAL_STARTS):
        step.suspects[1].record_start("i-6", 1)
    placements = place(table, step, fleet, 0.0)
    assert [placement.index for placement in placements] == [0]


load_tests = make_load_tests(globals())
