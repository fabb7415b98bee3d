"""Tests of the backlog: only steps that may have found capacity are evaluated."""

from gypsumring.dispatch import Backlog
from gypsumring.dispatch.fairness import FairShares
from gypsumring.dispatch.tests.fleets import make_executor, make_step
from gypsumring.pipelines import JobPhase, Queue
from gypsumring.utils.testing import make_load_tests

QUEUE = Queue(name="q", host="", path_prefix="", service="svc")


def make_backlog(count: int, now: float = 0.0) -> tuple[Backlog, list]:
    """Return a backlog with steps that were evaluated once but not placed.

    Step number N may run on executor N modulo 10.
    """
    backlog = Backlog(lambda job: QUEUE)
    steps = [make_step(f"{number:016x}") for number in range(count)]
    for number, step in enumerate(steps):
        step.allowed = {f"i-{number % 10}"}
    backlog.refresh(steps, now)
    for step in backlog.pop_due_steps(now):
        backlog.reschedule(step, now)
    return backlog, steps


def test_new_step_is_evaluated_immediately():
    backlog = Backlog(lambda job: QUEUE)
    step = make_step()
    backlog.refresh([step], 5.0)
    assert backlog.pop_due_steps(5.0) == [step]


def test_released_capacity_selects_only_steps_that_may_use_it():
    # In a burst, evaluating all waiting steps after each task end used over a core.
    backlog, steps = make_backlog(500)
    assert backlog.pop_due_steps(0.01) == []
    executor = make_executor("i-3")
    assert backlog.find_steps_for_capacity([executor]) == steps[3::10]
    executor.used_cpu = 7_500
    assert backlog.find_steps_for_capacity([executor]) == []


def test_waiting_steps_are_evaluated_periodically():
    backlog, steps = make_backlog(20)
    assert backlog.pop_due_steps(0.09) == []
    assert backlog.pop_due_steps(0.11) == steps


def test_long_backlog_is_evaluated_less_often_but_completely():
    backlog, steps = make_backlog(5_000)
    assert backlog.pop_due_steps(0.5) == []
    assert len(backlog.pop_due_steps(2.1)) == len(steps)


def test_step_that_no_longer_waits_is_removed():
    backlog, steps = make_backlog(20)
    steps[3].pending.clear()
    steps[13].job.phase = JobPhase.CANCELLED
    backlog.refresh([steps[3], steps[13]], 0.05)
    assert backlog.find_steps_for_capacity([make_executor("i-3")]) == []
    assert len(backlog.waiting) == 18
    assert "i-3" not in backlog.steps_by_executor


def test_step_that_becomes_ready_again_is_evaluated_again():
    # For example, a task is pending again after its executor was lost.
    backlog, steps = make_backlog(1)
    steps[0].pending.clear()
    backlog.refresh(steps, 0.05)
    steps[0].mark_pending(2)
    backlog.refresh(steps, 0.06)
    assert backlog.pop_due_steps(0.06) == steps


def test_steps_that_starve_are_listed_from_the_oldest():
    backlog = Backlog(lambda job: QUEUE)
    target_s = 2.0
    steps = [
        make_step(f"{number:016x}", accepted_at=at)
        for number, at in enumerate((3.0, 1.0, 2.0))
    ]
    backlog.refresh(steps, 3.0)
    assert backlog.list_starving(1.0 + 3 * target_s) == []
    starving = backlog.list_starving(2.5 + 3 * target_s)
    assert [step for step, _ in starving] == [steps[1], steps[2]]


def test_one_job_of_an_account_precedes_a_thousand_of_a_hot_account():
    backlog = Backlog(lambda job: QUEUE)
    steps = [make_step(f"{number:016x}", account="hot") for number in range(1000)]
    steps.append(make_step("f" * 16, accepted_at=9.0, account="small"))
    backlog.refresh(steps, 10.0)
    backlog.shares = FairShares(["hot"])
    assert backlog.order(steps, 10.0)[0][0] is steps[-1]
    assert backlog.list_accounts() == {"hot", "small"}


def test_work_beyond_the_rate_does_not_starve_others():
    backlog = Backlog(lambda job: QUEUE)
    beyond = make_step("a" * 16, beyond_rate=True)
    within = make_step("b" * 16, accepted_at=50.0)
    backlog.refresh([beyond, within], 60.0)
    assert [step for step, _ in backlog.list_starving(60.0)] == [within]
    assert [step for step, _ in backlog.order([beyond, within], 60.0)] == [
        within,
        beyond,
    ]


def test_steps_with_stopped_tasks_are_first_within_their_rank():
    # Without it a stopped task whose job has missed its target waits behind all others.
    backlog = Backlog(lambda job: QUEUE)
    early, late = make_step("a" * 16, 0.0), make_step("b" * 16, 99.0)
    backlog.refresh([early, late], 100.0)
    assert [step for step, _ in backlog.order([early, late], 100.0)] == [late, early]
    early.interrupted[0] = 99.5
    assert [step for step, _ in backlog.order([early, late], 100.0)] == [early, late]


load_tests = make_load_tests(globals())
