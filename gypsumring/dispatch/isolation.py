"""Keep tasks apart under which executors have crashed.

At most one suspect runs on an executor, so that a further crash names it. A suspect of
several crashes gets an executor to itself. What cannot be kept apart within
``SEPARATION_WAIT_S`` runs anyway, since most suspects are harmless.
"""

from collections.abc import Collection

from gypsumring.fleet import ExecutorState
from gypsumring.pipelines.crashes import CrashRegister, Suspect
from gypsumring.pipelines.state import Step

__all__ = ["Isolation"]

# Below the 3 s for which a step with capacity may wait.
SEPARATION_WAIT_S = 2.5
# A suspect that should run alone keeps others off its executor for this time at most,
# and only on this share of the executors.
EXCLUSIVE_S = 5.0
MAX_EXCLUSIVE_SHARE = 0.25


class Isolation:
    """Executors that run suspects, at the time of one placement."""

    __slots__ = ("exclusive", "now", "occupied")

    def __init__(self, register: CrashRegister, executor_count: int, now: float):
        self.now = now
        runs_by_executor = register.find_occupied()
        # Executors with a suspect.
        self.occupied: Collection[str] = runs_by_executor.keys()
        recent = sorted(
            (run.started_at, executor_id)
            for executor_id, runs in runs_by_executor.items()
            for run in runs
            if run.step.suspects[run.index].must_run_alone
            and now - run.started_at < EXCLUSIVE_S
        )
        limit = max(1, int(MAX_EXCLUSIVE_SHARE * executor_count))
        # Executors that admit no other task.
        self.exclusive = {executor_id for _, executor_id in recent[:limit]}

    def admit(self, candidates: list[ExecutorState]) -> list[ExecutorState]:
        """Return the candidates on which no suspect has to run alone."""
        if not self.exclusive:
            return candidates
        return [
            executor
            for executor in candidates
            if executor.executor_id not in self.exclusive
        ]

    def choose(
        self,
        step: Step,
        suspect: Suspect,
        candidates: list[ExecutorState],
        assigned: Collection[str],
    ) -> ExecutorState | None:
        """Return the executor for a suspect, or None while it waits for a better one.

        ``candidates`` have capacity, the preferred ones first; ``assigned`` are those
        that receive other tasks of the step. Idle executors go before those without
        another suspect; executors that have crashed under the task are used last.
        """
        if not candidates:
            return None
        separate = [
            executor
            for executor in candidates
            if executor.executor_id not in self.occupied
            and executor.executor_id not in assigned
        ]
        fresh = [
            executor
            for executor in separate
            if not suspect.has_crashed(executor.executor_id)
        ]
        for executor in fresh:
            if not executor.runs:
                return executor
        if fresh and not suspect.must_run_alone:
            return fresh[0]
        if suspect.separate_until is None:
            until = self.now + SEPARATION_WAIT_S
            # The members of a gang are placed together, so they wait together.
            waiting = step.suspects.values() if step.spec.gang else (suspect,)
            for each in waiting:
                each.separate_until = until
        if self.now < suspect.separate_until:
            return None
        return (fresh or separate or candidates)[0]
