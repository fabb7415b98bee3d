"""Whether listed failures count, by what an owner knows of leases.

The pattern: an owner takes a cell over, and an executor lists failures that no owner
has acknowledged. Counted although the lease had expired, they give a job up early; not
counted although it had not, they let a task start too often.
"""

import anyio

from gypsumring.cell.executor_polling import ExecutorPoller
from gypsumring.cell.failures import FailureJudge, Verdict
from gypsumring.cell.state import ATTEMPTS_PER_TERM
from gypsumring.cell.tests.test_waiting import CellFixture
from gypsumring.fleet import CONTACT_TIMEOUT_S, ExecutorState, LeaseEvidence
from gypsumring.pipelines import Run
from gypsumring.ports.tasks import ListedEnd, ListedRun, TaskLists
from gypsumring.utils.testing import make_load_tests

# Number of owners before the one under test.
THIS_TERM = 3
RUNNING = ListedRun("b.0.0.0", 1, "", 10, 0.0)


class TakenOverCell:
    """Cell of which the owner under test has taken over an executor."""

    __slots__ = ("executor", "fixture", "judge", "step")

    def __init__(self, running: tuple[ListedRun, ...] = (), waited_s: float = 0.0):
        self.fixture = CellFixture(executors=1)
        state = self.fixture.state
        state.table.first_attempt = THIS_TERM * ATTEMPTS_PER_TERM + 1
        self.step = self.fixture.add_step()
        self.executor: ExecutorState = state.fleet["i-0"]
        self.executor.lease_evidence = LeaseEvidence.UNKNOWN
        self.executor.first_response_at = state.authority.taken_over_at + waited_s
        self.judge = FailureJudge(state)
        lists = TaskLists(1000, self.executor.born_ms, list(running), [])
        self.judge.record_first_answer(self.executor, lists)

    def make_run(self, terms_ago: int) -> Run:
        """Return an attempt that an earlier owner, or this one, has started."""
        attempt = (THIS_TERM - terms_ago) * ATTEMPTS_PER_TERM + 1
        return self.fixture.state.table.place(self.step, 0, attempt, "i-0", 0.0)

    def find_verdict(
        self, terms_ago: int, number: int = 5, last_lapse: int = 0
    ) -> Verdict:
        """Return the verdict about a failure of such an attempt."""
        run = self.make_run(terms_ago)
        end = ListedEnd(number, run.task, run.attempt, "failed", "")
        return self.judge.judge(self.executor, run, end, last_lapse)


# An executor that was out of reach of all nodes had lost its lease before it answered.
async def test_failures_under_the_last_owner_count_if_the_executor_answers_at_once():
    assert TakenOverCell().find_verdict(1) is Verdict.COUNTS
    late = TakenOverCell(waited_s=CONTACT_TIMEOUT_S + 0.1)
    assert late.find_verdict(1) is Verdict.UNPROVEN


# The owner in between had not reached the executor, and extended no lease.
async def test_failures_under_owners_before_the_last_one_are_unproven():
    assert TakenOverCell().find_verdict(2) is Verdict.UNPROVEN


# Guards against the loss of running work for a failure that counts in any case.
async def test_a_running_attempt_proves_that_the_lease_was_held():
    late = TakenOverCell((RUNNING,), waited_s=CONTACT_TIMEOUT_S + 0.1)
    for terms_ago in (1, 2, 3):
        assert late.find_verdict(terms_ago) is Verdict.COUNTS
        assert late.find_verdict(terms_ago, 5, last_lapse=6) is Verdict.VOID
        assert late.find_verdict(terms_ago, 6, last_lapse=5) is Verdict.COUNTS


# Guards against a job that is given up for a failure which is made void afterwards.
async def test_recorded_failures_count():
    cell = TakenOverCell()
    run = cell.make_run(2)
    cell.step.failures[0] = {run.attempt}
    assert cell.find_verdict(2) is Verdict.COUNTS


# Guards against a lease that expires for failures which are not limited.
async def test_failures_of_lasting_tasks_are_never_unproven():
    cell = TakenOverCell()
    cell.step = cell.fixture.add_step(long_running=True)
    assert cell.find_verdict(2) is Verdict.COUNTS


# Guards against an acknowledgement before the lease has expired.
async def test_failures_that_are_acknowledged_after_the_lease_do_not_count():
    cell = TakenOverCell()
    run = cell.make_run(2)
    cell.judge.withhold(
        cell.executor, ListedEnd(5, run.task, run.attempt, "failed", "")
    )
    # No end counts any more that is acknowledged after the withheld one.
    cell.judge.record_all_listed(cell.executor)
    assert cell.find_verdict(1, number=6) is Verdict.UNPROVEN
    cell.executor.mark_ends_durable(9)
    assert cell.executor.acknowledgeable_end() == 4
    cell.executor.record_expiry()
    assert cell.executor.acknowledgeable_end() == 9
    assert cell.find_verdict(1, number=7) is Verdict.VOID
    assert cell.find_verdict(0, number=8) is Verdict.COUNTS


# An executor that had left the directory for a moment was evicted. It returned as a new
# one, and the owner acknowledged the failure, which it did not count, under the lease.
async def test_an_executor_is_kept_until_its_withheld_ends_are_acknowledged():
    cell = TakenOverCell()
    poller = ExecutorPoller(cell.fixture.state, cell.fixture.scheduler.orders, None)
    executor = cell.executor
    executor.listed = False
    executor.clock_ms, executor.lease_until_ms = 1000, 6000
    executor.withheld_end = 5
    await anyio.sleep(4.0)
    assert not poller.may_evict(executor)
    await anyio.sleep(2.0)
    assert poller.may_evict(executor)


load_tests = make_load_tests(globals())
