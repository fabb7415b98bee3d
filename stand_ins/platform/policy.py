"""Model of the placement policy service."""

import random

import anyio

from stand_ins.platform.executor import ExecutorModel

__all__ = ["PolicyModel"]


class PolicyModel:
    """Allow a fixed share of the executors for each step."""

    __slots__ = (
        "base_s",
        "calls",
        "executors",
        "per_executor_s",
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

    def allows(self, step: str, executor_id: str) -> bool:
        """Tell whether a step may run on an executor; the answer never changes."""
        if executor_id == self.always_allowed(step):
            return True
        return random.Random(f"{self.seed}/{step}/{executor_id}").random() < self.share

    def always_allowed(self, step: str) -> str:
        """Return the executor that a step may run on in any case."""
        ids = [executor.executor_id for executor in self.executors]
        return random.Random(f"{self.seed}/{step}").choice(ids)

    async def advise(self, step: str, executor_ids: list[str]) -> list[tuple[str, str]]:
        """Issue tickets for the executors that may run a step."""
        self.calls += 1
        await anyio.sleep(self.base_s + self.per_executor_s * len(executor_ids))
        rows = []
        until = anyio.current_time() + self.valid_s
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
