"""Tests that the soak of the ownership sees planted faults."""

import random

import anyio

from gypsumring.utils.testing import make_load_tests
from soak.ownership import OwnershipTrial
from stand_ins.platform.fleet import running_fleet


async def run_planted(plant) -> list[str]:
    """Check a fleet on which a fault acts that is none of the trial's troubles."""
    async with running_fleet(5) as fleet:
        trial = OwnershipTrial(fleet, random.Random(1))
        fleet.group.start_soon(plant, fleet)
        await anyio.sleep(1.0)
        await trial.check_settled(0)
        return trial.violations


async def test_fleet_without_an_owner_is_seen():
    async def plant(fleet):
        for machine in fleet.machines.values():
            machine.faults.store_refuses = True
        fleet.owner().kill()

    violations = await run_planted(plant)
    assert violations == ["no owner serves all nodes after the troubles"]


async def test_takeovers_without_a_trouble_are_seen():
    async def plant(fleet):
        while True:
            await anyio.sleep(3.0)
            fleet.owner().kill()

    violations = await run_planted(plant)
    assert violations == ["the owner changes without a trouble"]


async def test_too_many_takeovers_are_seen():
    async def plant(fleet):
        for _ in range(3):
            killed = fleet.owner()
            killed.kill()
            await fleet.wait_until_settled(5.0)
            killed.start()

    violations = await run_planted(plant)
    assert violations == ["4 takeovers for 0 troubles"]


async def test_calm_fleet_has_no_violation():
    async def plant(fleet):
        await anyio.sleep(0)

    assert await run_planted(plant) == []


load_tests = make_load_tests(globals())
