"""Randomised runs of one cell whose executors shrink and grow while they run.

Run with ``python -m soak.capacity --seed N --seeds N --seconds N``.
"""

import random
from collections.abc import Sequence

import anyio

from soak.cells import FAULTS, CellSoak, make_command, run_cell_soak
from stand_ins.platform.cluster import MemoryCluster
from stand_ins.platform.world import BEAT_S

__all__ = ["OUTAGE_SEEDS", "CapacitySoak", "run_capacity_soak"]

# Shares of the usual capacity that are left of it.
SHARES = (0.0, 0.1, 0.25, 0.5, 0.75)
# One of so many seeds has only changes of capacity and outages of the store. The other
# faults leave few starts in an outage, which an owner has to hold back after a while.
OUTAGE_SEEDS = 4
OUTAGE_FAULTS = ("store_away",) + ("resize_executor",) * 3


class CapacitySoak(CellSoak):
    """Drive load, changes of capacity and the other faults from one seed."""

    __slots__ = ("resized",)

    fault_rate = 1.0
    # Two of five faults are changes of capacity.
    fault_names = FAULTS + ("resize_executor",) * 9

    def __init__(self, cluster: MemoryCluster, random_source: random.Random, seed: int):
        super().__init__(cluster, random_source, seed)
        # Executors whose capacity is changed at present.
        self.resized: set[str] = set()

    def draw_plan(self) -> tuple[Sequence[str], float]:
        """Return the kinds of faults of a run, and how many it has a second."""
        if self.seed % OUTAGE_SEEDS == 0:
            return OUTAGE_FAULTS, self.fault_rate
        return super().draw_plan()

    async def play(self, fault: str, lasts: float) -> None:
        """Play one fault and undo it."""
        if fault == "resize_executor":
            await self.resize(lasts)
        else:
            await super().play(fault, lasts)

    async def resize(self, lasts: float) -> None:
        """Shrink an executor in several steps, and let it grow again."""
        model = self.draw_executor()
        if model.executor_id in self.resized:
            return
        self.resized.add(model.executor_id)
        usual = (model.cpu_millis, model.memory_mb)
        times = self.random_source.choice((1, 1, 2, 4))
        for _ in range(times):
            cpu_share, memory_share = self.random_source.choices(SHARES, k=2)
            if self.random_source.random() < 0.7:
                memory_share = 1.0
            self.faults.append(
                f"{anyio.current_time():.2f} {model.executor_id} at "
                f"{cpu_share:g} of its CPU, {memory_share:g} of its memory"
            )
            model.resize(int(usual[0] * cpu_share), int(usual[1] * memory_share))
            await self.report_capacity(model)
            await anyio.sleep(lasts / times)
        model.resize(*usual)
        await self.report_capacity(model)
        self.resized.discard(model.executor_id)

    async def report_capacity(self, model) -> None:
        """Write the executor's entry at its next heartbeat."""
        await anyio.sleep(self.random_source.uniform(0.0, BEAT_S))
        if model.is_up:
            self.cluster.register(model)


async def run_capacity_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed and return what was seen."""
    return await run_cell_soak(seed, seconds, CapacitySoak)


main = make_command(run_capacity_soak, seconds=30.0)

if __name__ == "__main__":
    main()
