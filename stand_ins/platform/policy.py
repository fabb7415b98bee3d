"""Model of the placement policy service."""

import random

import anyio

from gypsumring.pipelines import PolicyTiming
from stand_ins.platform.executor import ExecutorModel

__all__ = ["PolicyModel", "PolicyRule"]


class PolicyRule:
    """Share of executors that a queue's policy allows, and the timing of a call."""

    __slots__ = ("share", "timing")

    def __init__(self, share: float, timing: PolicyTiming):
        self.share = share
        self.timing = timing


class PolicyModel:
    """Policy service that allows a fixed share of the executors for each step.

    ``rules`` overrides the share and the timing for single queues, by queue name.
    """

    __slots__ = (
        "base_s",
        "calls",
        "executors",
        "initial_executor_ids",
        "per_executor_s",
        "rules",
        "seed",
        "share",
        "valid_s",
    )

    def __init__(
        self,
        executors: list[ExecutorModel],
        share: float,
        valid_s: float,
        base_s: float = 0.02,
        per_executor_s: float = 0.001,
        seed: int = 0,
    ):
        self.executors = executors
        self.share = share
        self.valid_s = valid_s
        self.base_s = base_s
        self.per_executor_s = per_executor_s
        self.seed = seed
        self.calls = 0
        self.rules: dict[str, PolicyRule] = {}
        # One of these executors is always allowed, also after others have joined.
        self.initial_executor_ids = [executor.executor_id for executor in executors]

    def rule_for(self, step: str) -> PolicyRule:
        """Return the rule for the queue of a step."""
        default_timing = PolicyTiming(self.base_s, self.per_executor_s, self.valid_s)
        rule = PolicyRule(self.share, default_timing)
        if not self.rules:
            return rule
        job = self.executors[0].world.jobs.get(step.partition(".")[0])
        return rule if job is None else self.rules.get(job.queue, rule)

    def allows(self, step: str, executor_id: str) -> bool:
        """Return whether a step may run on an executor; the answer never changes."""
        if executor_id == self.always_allowed(step):
            return True
        share = self.rule_for(step).share
        return random.Random(f"{self.seed}/{step}/{executor_id}").random() < share

    def always_allowed(self, step: str) -> str:
        """Return the id of the executor that is always allowed for a step."""
        return random.Random(f"{self.seed}/{step}").choice(self.initial_executor_ids)

    async def advise(self, step: str, executor_ids: list[str]) -> list[tuple[str, str]]:
        """Issue tickets for the executors that may run a step, after the call time."""
        self.calls += 1
        timing = self.rule_for(step).timing
        await anyio.sleep(timing.call_s(len(executor_ids)))
        rows = []
        until = anyio.current_time() + timing.valid_s
        by_id = {executor.executor_id: executor for executor in self.executors}
        for executor_id in executor_ids:
            executor = by_id.get(executor_id)
            if executor is None or not self.allows(step, executor_id):
                continue
            ticket = f"{step}-{executor_id}-{self.calls}"
            if executor.tickets is None:
                executor.tickets = {}
            executor.tickets[(step, ticket)] = until
            rows.append((executor_id, ticket))
        return rows
