"""Fault injection for the calls between nodes and the platform."""

import random
from collections.abc import Sequence

import anyio

from stand_ins.platform.peers import Partition

__all__ = ["Faults"]


class Faults:
    """Faults of the calls of one node, its partitions included.

    Shares lie between 0 and 1.
    """

    __slots__ = (
        "advice_late_s",
        "advice_lost_share",
        "cut_executors",
        "late_s",
        "late_share",
        "lost_share",
        "name",
        "partitions",
        "policy_busy",
        "random_source",
        "store_away",
        "store_refuses",
        "store_slow_s",
    )

    def __init__(
        self,
        random_source: random.Random,
        name: str = "",
        partitions: Sequence[Partition] = (),
    ):
        self.random_source = random_source
        self.name = name
        self.partitions = partitions
        # Share of calls that are carried out but not answered.
        self.lost_share = 0.0
        # Share of calls that get no answer and are carried out after a delay drawn
        # from the range ``late_s``, in seconds.
        self.late_share = 0.0
        self.late_s = (2.0, 6.0)
        self.store_away = False
        self.store_refuses = False
        self.store_slow_s = 0.0
        self.cut_executors: set[str] = set()
        self.policy_busy = False
        # Share of policy answers that are lost, and the delay of the others.
        self.advice_lost_share = 0.0
        self.advice_late_s = 0.0

    def cuts_store(self) -> bool:
        """Return whether the node does not reach the store."""
        return self.store_away or any(
            each.cuts_store(self.name) for each in self.partitions
        )

    def cuts_executor(self, executor_id: str) -> bool:
        """Return whether the node does not reach an executor."""
        return executor_id in self.cut_executors or any(
            each.cuts_executor(self.name, executor_id) for each in self.partitions
        )

    def draw(self) -> str:
        """Draw how the next call ends: ``answered``, ``lost`` or ``late``."""
        value = self.random_source.random()
        if value < self.lost_share:
            return "lost"
        if value < self.lost_share + self.late_share:
            return "late"
        return "answered"

    async def wait_without_answer(self, deadline: float) -> None:
        """Wait until the deadline of the caller has passed."""
        await anyio.sleep(max(0.0, deadline - anyio.current_time()))
