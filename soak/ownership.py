"""Randomised run of the ownership of one cell over a model of a whole fleet.

Machines are slow, freeze, lose power or are cut off from each other, processes end and
start again, messages are lost and late, and reading the cell takes up to five seconds;
the troubles come in series and overlap. No owner may extend leases that a later one
presumes to expire. Afterwards one owner has to serve within a bound and to stay, after
a bounded number of takeovers. With ``--partitions``, messages are also held and
delivered later, and nodes unknown to the owner take over.
"""

import json
import random
import sys

import anyio
import click

from gypsumring.cell.authority import MAX_EXTENSION_DELAY_S
from gypsumring.node.membership import TAKEOVER_TTL_S
from gypsumring.utils.testing import run_on_mock_clock
from stand_ins.platform.fleet import FleetModel, Machine, running_fleet

__all__ = ["OwnershipTrial", "run_trial"]

MAX_TROUBLES = 5
TROUBLES_S = 8.0
LONGEST_READ_S = 5.0
LARGEST_SLOWNESS = 20.0
STEADY_S = 5.0
# Beside the time that reading the cell takes, and the membership of a node that has
# lost its power while it took over.
SETTLING_S = 3.0 + TAKEOVER_TTL_S
# Each trouble may cost one owner, and one that has failed while it took over.
TAKEOVERS_PER_TROUBLE = 2
# An owner on an under-provisioned machine hands over within this time.
HANDOVER_S = 3.0
CHECK_PERIOD_S = 0.05
KINDS = (
    "slow owner",
    "slow machines",
    "frozen owner",
    "killed owner",
    "killed machines",
    "owner without power",
    "owner cut off from some",
    "lost messages",
    "late messages",
    "silent channels",
    "slow store",
)
PARTITIONS = ("held messages", "stranger", "node that starts during a cut")
# A partition has to last longer than a takeover, which includes reading the cell.
PARTITION_FACTOR = 2
# An owner without the store still loses the cell this time after it reaches it again.
MEMBERSHIP_S = 1.0
LONGEST_READ_BESIDE_PARTITIONS_S = 1.0


class OwnershipTrial:
    """One run: the fleet, the troubles drawn so far and the violations found."""

    __slots__ = (
        "fleet",
        "has_partitions",
        "late_pairs",
        "source",
        "trace",
        "violations",
    )

    def __init__(
        self,
        fleet: FleetModel,
        source: random.Random,
        has_partitions: bool = False,
    ):
        self.fleet = fleet
        self.has_partitions = has_partitions
        # Fence numbers of owners that extended leases and of those that counted them.
        self.late_pairs: set[tuple[int, int]] = set()
        self.source = source
        self.trace: list[str] = []
        self.violations: list[str] = []

    async def cause_trouble(self) -> None:
        """Cause one trouble, wait for its end and undo it."""
        await anyio.sleep(self.source.uniform(0.0, TROUBLES_S / 2))
        kind = self.source.choice(KINDS)
        seconds = self.source.uniform(0.3, TROUBLES_S / 2)
        if self.has_partitions and self.source.random() < 0.5:
            kind = self.source.choice(PARTITIONS)
            seconds *= PARTITION_FACTOR
        owner = self.fleet.owner()
        machines = list(self.fleet.machines.values())
        some = self.source.sample(machines, self.source.randint(1, len(machines)))
        self.trace.append(
            f"{anyio.current_time():.2f} s: {kind} for {seconds:.2f} s, "
            f"owner {owner and owner.name}, {len(some)} machines"
        )
        if owner is None and ("owner" in kind or kind in PARTITIONS):
            return
        match kind:
            case "slow owner":
                await self.slow_down([owner], seconds)
            case "slow machines":
                await self.slow_down(some, seconds)
            case "frozen owner":
                await owner.processor.freeze(seconds)
            case "killed owner":
                await self.kill([owner], seconds)
            case "killed machines":
                await self.kill(some, seconds)
            case "owner without power":
                owner.cut_power()
                await anyio.sleep(seconds)
                owner.start()
            case "owner cut off from some":
                await self.cut_off(owner, some, seconds)
            case "lost messages":
                self.fleet.lost_share = self.source.uniform(0.05, 0.5)
                await anyio.sleep(seconds)
                self.fleet.lost_share = 0.0
            case "late messages":
                self.fleet.longest_delay_s = self.source.uniform(0.1, 2.0)
                await anyio.sleep(seconds)
                self.fleet.longest_delay_s = 0.0
            case "silent channels":
                for machine in some:
                    for channel in machine.channels:
                        channel.is_silent = channel.far_end.is_silent = True
            case "slow store":
                await self.slow_store(some, seconds)
            case "held messages":
                others = [each for each in machines if each is not owner]
                await self.hold_messages(owner, others, seconds)
            case "stranger":
                stranger = self.source.choice([m for m in machines if m is not owner])
                await self.cut_off(owner, [stranger], self.source.uniform(1.0, 3.0))
                await self.isolate([stranger], seconds)
            case "node that starts during a cut":
                side = [each for each in some if each is not owner]
                if side:
                    self.fleet.group.start_soon(self.kill, side[:1], seconds / 4)
                    await self.isolate(side, seconds)

    async def slow_down(self, machines: list[Machine], seconds: float) -> None:
        """Slow machines down for a while."""
        for machine in machines:
            machine.processor.slowness = self.source.uniform(2.0, LARGEST_SLOWNESS)
        await anyio.sleep(seconds)
        for machine in machines:
            machine.processor.slowness = 1.0

    async def kill(self, machines: list[Machine], seconds: float) -> None:
        """End processes and start them again after a while."""
        killed = [machine for machine in machines if machine.node is not None]
        for machine in killed:
            machine.kill()
        await anyio.sleep(seconds)
        for machine in killed:
            if machine.node is None:
                machine.start()

    async def cut_off(
        self, owner: Machine, machines: list[Machine], seconds: float
    ) -> None:
        """Cut the owner off from some machines for a while."""
        others = [machine for machine in machines if machine is not owner]
        for machine in others:
            machine.cut_from.add(owner.name)
            owner.cut_from.add(machine.name)
        await anyio.sleep(seconds)
        for machine in others:
            machine.cut_from.discard(owner.name)
            owner.cut_from.discard(machine.name)

    async def hold_messages(
        self, owner: Machine, machines: list[Machine], seconds: float
    ) -> None:
        """Cut the owner off; what was sent to it arrives before its own messages."""
        owner.faults.store_away = True
        owner.hold_from(machines)
        for machine in machines:
            machine.hold_from([owner])
        await anyio.sleep(seconds)
        owner.release_from(machines)
        await anyio.sleep(self.source.uniform(0.0, seconds))
        owner.faults.store_away = False
        for machine in machines:
            machine.release_from([owner])

    async def isolate(self, side: list[Machine], seconds: float) -> None:
        """Cut some machines off from the others, which do not reach the store."""
        rest = [each for each in self.fleet.machines.values() if each not in side]
        for machine in rest:
            machine.faults.store_away = True
        async with anyio.create_task_group() as group:
            for machine in side:
                group.start_soon(self.cut_off, machine, rest, seconds)
        for machine in rest:
            machine.faults.store_away = False

    async def slow_store(self, machines: list[Machine], seconds: float) -> None:
        """Let the calls of some machines to the store take longer for a while."""
        for machine in machines:
            machine.faults.store_slow_s = self.source.uniform(0.05, 1.0)
        await anyio.sleep(seconds)
        for machine in machines:
            machine.faults.store_slow_s = 0.0

    async def run(self) -> None:
        """Cause troubles that overlap, then check that the ownership settles."""
        fleet = self.fleet
        fleet.cell_read_s = self.source.uniform(0.0, LONGEST_READ_S)
        if self.has_partitions:
            fleet.cell_read_s *= LONGEST_READ_BESIDE_PARTITIONS_S / LONGEST_READ_S
        self.trace.append(f"reading the cell takes {fleet.cell_read_s:.2f} s")
        await anyio.sleep(self.source.uniform(0.0, STEADY_S))
        count = self.source.randint(1, MAX_TROUBLES)
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.cause_trouble)
        if self.has_partitions:
            await anyio.sleep(MEMBERSHIP_S)
        await self.check_settled(count)

    async def watch_extensions(self) -> None:
        """Check that no owner extends leases that a later one presumes to expire."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            now = anyio.current_time()
            owners = [each for each in self.fleet.running() if each.owns()]
            for new in owners:
                late_s = now - new.counts_since() - MAX_EXTENSION_DELAY_S
                for old in owners if late_s > 0 else ():
                    pair = (old.node.own_fence(), new.node.own_fence())
                    if pair[0] >= pair[1] or pair in self.late_pairs:
                        continue
                    if old.node.may_extend_leases():
                        self.late_pairs.add(pair)
                        self.violations.append(
                            f"{now:.2f} s: owner {pair[0]} on {old.name} extends leases"
                            f" {late_s:.2f} s too late for {pair[1]} on {new.name}"
                        )

    async def check_settled(self, count: int) -> None:
        """Check that an owner serves all nodes after so many troubles, and stays."""
        fleet = self.fleet
        settled_s = await fleet.wait_until_settled(fleet.cell_read_s + SETTLING_S)
        takeovers = fleet.count_takeovers()
        self.trace.append(f"settled after {settled_s} s, {takeovers} takeovers")
        if settled_s is None:
            self.violations.append("no owner serves all nodes after the troubles")
            return
        if takeovers > 1 + TAKEOVERS_PER_TROUBLE * count:
            self.violations.append(f"{takeovers} takeovers for {count} troubles")
        await self.check_steady(takeovers)

    async def check_steady(self, takeovers: int) -> None:
        """Check that the owner stays, unless it hands over to a larger machine."""
        fleet = self.fleet
        sizes = [machine.size for machine in fleet.machines.values()]
        if fleet.owner().size < max(sizes):
            takeovers += 1
            await anyio.sleep(HANDOVER_S)
            await fleet.wait_until_settled(fleet.cell_read_s + SETTLING_S)
        await anyio.sleep(STEADY_S)
        if not fleet.is_settled() or fleet.count_takeovers() > takeovers:
            self.violations.append("the owner changes without a trouble")
        elif fleet.owner().counts_since() > anyio.current_time():
            self.violations.append("the owner never presumes that leases expire")


async def run_trial(seed: int, nodes: int, has_partitions: bool) -> OwnershipTrial:
    """Run one trial; the number of machines and their speed depend on the seed."""
    source = random.Random(seed)
    size = nodes or source.choice((5, 9, 18, 38))
    share = source.choice((0.12, 0.5, 1.0))
    async with running_fleet(size, share, seed=seed) as fleet:
        trial = OwnershipTrial(fleet, source, has_partitions)
        trial.trace.append(f"{size} machines of {share} cores")
        fleet.group.start_soon(trial.watch_extensions)
        await trial.run()
        return trial


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of successive seeds.")
@click.option("--nodes", default=0, help="Number of machines; by the seed if 0.")
@click.option("--partitions", is_flag=True, help="Also hold messages and cut sides.")
def main(seed: int, seeds: int, nodes: int, partitions: bool) -> None:
    """Run trials; print one JSON object for each and fail after a violation."""
    has_failed = False
    for current_seed in range(seed, seed + seeds):
        trial = run_on_mock_clock(
            run_trial, current_seed, nodes, partitions, seed=current_seed
        )
        result = {
            "seed": current_seed,
            "takeovers": trial.fleet.count_takeovers(),
            "invariant_violations": len(trial.violations),
            "violations": trial.violations,
            "trace": trial.trace if trial.violations else [],
        }
        print(json.dumps(result), flush=True)
        has_failed = has_failed or bool(trial.violations)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
