"""Whether a failure that an executor lists counts as an attempt of its task.

A failure counts if the lease of its executor does not expire before the failure is
acknowledged. An owner knows the leases that it extends. Of failures under an earlier
owner it knows only what follows from these facts:

* If an attempt runs at the first answer, the lease has not expired before: otherwise
  its end would be listed as ``lapsed``. A failure that is listed before such an end
  does not count.
* An executor that answers this owner promptly was in contact with the cell until the
  takeover. The owner before this one has then extended the lease, and what it has
  started counts. No owner in between is known to have extended the lease for what was
  started earlier.
* A failure that is recorded was counted by the owner that had received it.

Any other failure may have been listed before the lease expired. It does not count, and
to make this certain, nothing is acknowledged from it on before the lease has expired.
"""

import enum

from gypsumring.cell.state import ATTEMPTS_PER_TERM, CellState
from gypsumring.fleet import CONTACT_TIMEOUT_S, ExecutorState, LeaseEvidence
from gypsumring.pipelines import Run
from gypsumring.ports.tasks import ListedEnd, TaskLists
from gypsumring.utils.logs import EventLogger

__all__ = ["FailureJudge", "Verdict", "find_last_lapse", "is_result"]

log = EventLogger("executors")


class Verdict(enum.Enum):
    """How a listed failure is treated."""

    COUNTS = "counts"
    # The lease has expired since.
    VOID = "void"
    # The lease may have expired since. The failure is made void.
    UNPROVEN = "unproven"


class FailureJudge:
    """Judge of the failures that executors list, by what is known of their leases."""

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    def record_first_answer(
        self, executor: ExecutorState, task_lists: TaskLists
    ) -> None:
        """Record what the first answer to this owner shows of the lease until then."""
        if executor.lease_evidence is LeaseEvidence.UNKNOWN and task_lists.running:
            executor.lease_evidence = LeaseEvidence.HELD

    def record_all_listed(self, executor: ExecutorState) -> None:
        """Record that all ends were listed which this owner has not been told of.

        This owner knows the lease under which further ends are listed.
        """
        if not executor.awaits_lapse:
            executor.lease_evidence = LeaseEvidence.HELD

    def judge(
        self, executor: ExecutorState, run: Run, end: ListedEnd, last_lapse: int
    ) -> Verdict:
        """Return how a failure is treated; ``last_lapse`` is the last lapsed end."""
        if end.number < last_lapse:
            return Verdict.VOID
        if run.attempt >= self.state.table.first_attempt:
            return Verdict.COUNTS
        if run.step.spec.long_running or run.step.job.phase.is_final:
            return Verdict.COUNTS
        if run.step.has_failed(run.index, run.attempt):
            return Verdict.COUNTS
        if executor.awaits_lapse:
            return Verdict.UNPROVEN
        match executor.lease_evidence:
            case LeaseEvidence.HELD:
                return Verdict.COUNTS
            case LeaseEvidence.EXPIRED:
                return Verdict.VOID
        if self.was_extended_by_last_owner(executor, run):
            return Verdict.COUNTS
        return Verdict.UNPROVEN

    def was_extended_by_last_owner(self, executor: ExecutorState, run: Run) -> bool:
        """Return whether the owner before this one has kept the lease of an attempt."""
        table, authority = self.state.table, self.state.authority
        is_of_last_owner = run.attempt >= table.first_attempt - ATTEMPTS_PER_TERM
        waited_s = executor.first_response_at - authority.taken_over_at
        return is_of_last_owner and waited_s <= CONTACT_TIMEOUT_S

    def withhold(self, executor: ExecutorState, end: ListedEnd) -> None:
        """Let the lease expire before a failure is acknowledged."""
        if executor.awaits_lapse:
            return
        executor.withheld_end = end.number
        self.state.metrics.count("cell.executors.lapsing")
        log.info(
            "lease is not extended: a failure may be older than its expiry",
            executor=executor.executor_id,
            task=end.task,
            attempt=end.attempt,
            end=end.number,
            lease_s=round(self.state.lease_remaining_s(executor), 3),
        )

    def release_withheld(self, executor: ExecutorState) -> None:
        """Acknowledge the withheld ends if the lease has expired."""
        if executor.awaits_lapse and self.state.is_lease_expired(executor):
            executor.record_expiry()
            self.state.wake()


def is_result(executor: ExecutorState, end: ListedEnd) -> bool:
    """Return whether an end may count for its task if the attempt is not recorded.

    A failure does not if the lease has expired between it and its acknowledgement.
    """
    if end.how == "failed":
        return executor.lease_evidence is not LeaseEvidence.EXPIRED
    return end.how == "done"


def find_last_lapse(ended: list[ListedEnd]) -> int:
    """Return the number of the last end by an expired lease, 0 without one."""
    return max((end.number for end in ended if end.how == "lapsed"), default=0)
