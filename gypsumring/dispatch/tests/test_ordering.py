"""Tests of the order of service of ready steps."""

from gypsumring.dispatch import Backlog
from gypsumring.dispatch.tests.fleets import make_step
from gypsumring.pipelines import Queue
from gypsumring.utils.testing import make_load_tests


def order(*rows, now=0.0):
    """Return the job ids in order; each row is a step and its queue's priority."""
    queues = {
        step.job.spec.job_id: Queue(
            name="q",
            host="",
            path_prefix="",
            service="svc",
            priority=priority,
            stretch=2.0,
            latency_target_s=1.0,
        )
        for step, priority in rows
    }
    backlog = Backlog(lambda job: queues[job.spec.job_id])
    backlog.refresh([step for row in rows for step in row[0].job.steps], now)
    ordered = backlog.order(backlog.waiting, now)
    return [step.job.spec.job_id[0] for step, _ in ordered]


def test_urgent_queue_goes_first():
    batch, urgent = make_step("b" * 16), make_step("a" * 16, accepted_at=5.0)
    assert order((batch, 2), (urgent, 0)) == ["a", "b"]


def test_job_that_is_due_first_goes_first():
    long = make_step("a" * 16, estimated_ms=9000)
    short = make_step("b" * 16, accepted_at=1.0)
    assert order((long, 1), (short, 1)) == ["b", "a"]


def test_jobs_past_their_target_do_not_delay_other_jobs():
    # In a burst, serving the oldest job first would delay each job past its target.
    late = make_step("a" * 16)
    in_time = make_step("b" * 16, accepted_at=9.0)
    assert order((late, 1), (in_time, 1), now=10.0) == ["b", "a"]


def test_step_without_pending_tasks_is_not_ordered():
    first = make_step("a" * 16)
    first.pending.clear()
    assert order((first, 1)) == []


load_tests = make_load_tests(globals())
