"""Randomised runs of one cell whose client accounts have caps that change.

All faults of ``soak.cells`` are played. Accounts are removed and return, and their caps
are lowered and raised; no start may bring an account above its cap (QUOTA).

Run with ``python -m soak.accounts --seed N --seeds N --seconds N``.
"""

import random

import anyio
import msgspec

from gypsumring.accounts import ClientAccount, Resources
from gypsumring.pipelines import PipelineSpec
from soak.cells import CellSoak, make_command, run_cell_soak
from stand_ins.platform.cluster import MemoryCluster

__all__ = ["AccountSoak", "run_account_soak"]

# Caps in millicores; the last one holds the largest gang that is drawn.
CAPS = (4_000, 8_000, 12_000)
MEMORY_CAPS = (0, 1_024, 2_048)
CAPPED = ("a", "b")
UNCAPPED = "c"
# A change of the desired state applies within this time, like ``configApplyMs``.
APPLY_S = 3.0
CHANGE_RATE = 0.3
REMOVAL_SHARE = 0.2


class AccountSoak(CellSoak):
    """Drive load of several accounts, faults, and changes of the accounts."""

    __slots__ = ("caps", "removed")

    def __init__(self, cluster: MemoryCluster, random_source: random.Random, seed: int):
        super().__init__(cluster, random_source, seed)
        self.caps: dict[str, Resources] = {}
        self.removed = ""
        for name in CAPPED:
            self.set_cap(name, Resources(cpu_millis=CAPS[-1]))
        self.publish()

    def set_cap(self, name: str, cap: Resources) -> None:
        """Change the cap of an account and check its starts against it."""
        self.caps[name] = cap
        self.cluster.world.set_cap(name, cap, APPLY_S)

    def publish(self, removed: str = "") -> None:
        """Publish a desired state with all accounts, or without one of them."""
        self.removed = removed
        accounts = [
            ClientAccount(name=name, weight=2.0, cap=cap)
            for name, cap in self.caps.items()
            if name != removed
        ]
        accounts.append(ClientAccount(name=UNCAPPED, weight=1.0))
        self.cluster.desired = msgspec.structs.replace(
            self.cluster.desired,
            version=self.cluster.desired.version + 1,
            accounts=tuple(accounts),
        )

    def draw_job(self, job_id: str) -> PipelineSpec:
        """Return a new job of an account; a removed one sends no jobs any more."""
        account = self.random_source.choice((*CAPPED, CAPPED[0], UNCAPPED))
        if account == self.removed:
            account = UNCAPPED
        return msgspec.structs.replace(super().draw_job(job_id), account=account)

    async def inject_until(self, end: float) -> None:
        """Inject faults and change the accounts until the time is over."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.change_accounts, end)
            await super().inject_until(end)
        for name in CAPPED:
            self.set_cap(name, Resources(cpu_millis=CAPS[-1]))
        self.publish()

    async def change_accounts(self, end: float) -> None:
        """Change the cap of an account, or remove it, until the time is over."""
        source = self.random_source
        while True:
            await anyio.sleep(source.expovariate(CHANGE_RATE))
            if anyio.current_time() >= end:
                return
            name = source.choice(CAPPED)
            if source.random() < REMOVAL_SHARE:
                self.note(f"remove account {name}")
                self.publish(removed=name)
                continue
            cap = Resources(source.choice(CAPS), source.choice(MEMORY_CAPS))
            self.note(f"cap of {name}: {cap}")
            self.set_cap(name, cap)
            self.publish()


async def run_account_soak(seed: int, seconds: float) -> dict[str, object]:
    """Run one seed with accounts and return what was seen."""
    return await run_cell_soak(seed, seconds, AccountSoak)


main = make_command(run_account_soak, seconds=20.0)

if __name__ == "__main__":
    main()
