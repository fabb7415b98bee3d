"""Tests of what an owner concludes from old messages, and of nodes unknown to it."""

import itertools

import anyio

from gypsumring.cell.authority import MAX_EXTENSION_DELAY_S
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.fleet import FleetModel, Machine, running_fleet

STEP_S = 0.01
# Sizes of fleets and times for which pings are held, in seconds.
HELD_PINGS = [*itertools.product((2, 5, 7), (4.0, 4.9, 5.8)), (18, 4.9)]
# Sizes of fleets and pauses that are shorter than the membership, in seconds.
PAUSES = [*itertools.product((2, 5, 7), (2.5, 3.5)), (18, 3.5)]
MEMBERSHIP_MS = 4_000


def list_others(fleet: FleetModel, machine: Machine) -> list[Machine]:
    """Return the running machines but for one."""
    return [each for each in fleet.running() if each is not machine]


def may_extend(machine: Machine) -> bool:
    """Return whether a machine owns the cell, for all it knows, and extends leases."""
    node = machine.node
    return node.own_fence() is not None and node.may_extend_leases()


async def wait_for_next_owner(fleet: FleetModel, owner: Machine) -> Machine:
    """Wait until another machine has taken over; return it."""
    with anyio.fail_after(20.0):
        while fleet.owner() in (None, owner):
            await anyio.sleep(STEP_S)
    return fleet.owner()


async def check_no_late_extension(
    old: Machine, new: Machine, seconds: float, label: object
) -> None:
    """Check for a while that an old owner extends no lease that the new one counts."""
    until = anyio.current_time() + seconds
    while anyio.current_time() < until:
        late_s = anyio.current_time() - new.counts_since() - MAX_EXTENSION_DELAY_S
        assert late_s <= 0 or not may_extend(old), (label, round(late_s, 2))
        await anyio.sleep(STEP_S)


async def check_extensions(machine: Machine, seconds: float, label: object) -> None:
    """Check for a while that an owner extends leases."""
    until = anyio.current_time() + seconds
    while anyio.current_time() < until:
        await anyio.sleep(STEP_S)
        assert may_extend(machine), label


# Pings that were held while the owner was cut off counted as sent when they were read:
# it extended leases seconds after the next owner had begun to count them.
async def test_held_pings_of_a_cut_off_owner_extend_no_lease():
    for size, held_s in HELD_PINGS:
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            others = list_others(fleet, owner)
            owner.faults.store_away = True
            owner.hold_from(others)
            for each in others:
                each.hold_from([owner])
            released_at = anyio.current_time() + held_s
            new = await wait_for_next_owner(fleet, owner)
            remaining_s = released_at - anyio.current_time()
            await check_no_late_extension(owner, new, remaining_s, (size, held_s))
            assert anyio.current_time() - new.counts_since() > MAX_EXTENSION_DELAY_S
            owner.release_from(others)
            await check_no_late_extension(owner, new, 4.0, (size, held_s))
            assert owner.node.own_fence() is not None


# Pings that had waited in the socket buffers of a paused process counted as sent when
# they were read.
async def test_pings_read_after_a_pause_extend_no_lease():
    for size, pause_s in PAUSES:
        async with running_fleet(size, membership_ms=MEMBERSHIP_MS) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            others = list_others(fleet, owner)
            resumed_at = anyio.current_time() + pause_s
            fleet.group.start_soon(owner.processor.freeze, pause_s)
            # Pings still arrive, until the process is cut off while it is paused.
            await anyio.sleep(0.2)
            owner.faults.store_away = True
            for each in others:
                each.hold_from([owner])
            new = await wait_for_next_owner(fleet, owner)
            await anyio.sleep_until(resumed_at)
            assert anyio.current_time() - new.counts_since() > MAX_EXTENSION_DELAY_S
            await check_no_late_extension(owner, new, 4.0, (size, pause_s))
            assert owner.node.own_fence() is not None


# A node that had not followed the owner took over unseen: the owner was still followed
# by all that had, and went on extending leases for as long as the store was away.
async def test_owner_extends_no_lease_once_a_stranger_counts_it():
    for size in (3, 5, 7, 18):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            stranger = max(list_others(fleet, owner), key=lambda each: each.size)
            stranger.cut_from.add(owner.name)
            owner.cut_from.add(stranger.name)
            await anyio.sleep(3.0)
            others = list_others(fleet, stranger)
            for each in others:
                each.faults.store_away = True
                each.cut_from.add(stranger.name)
                stranger.cut_from.add(each.name)
            new = await wait_for_next_owner(fleet, owner)
            assert new is stranger
            await check_no_late_extension(owner, new, 10.0, size)
            for each in others:
                each.faults.store_away = False
                each.cut_from.discard(stranger.name)
                stranger.cut_from.discard(each.name)
            await check_no_late_extension(owner, new, 5.0, size)
            assert fleet.is_settled()
            assert fleet.owner().counts_since() < anyio.current_time()


# Guards against a cure that gives up running work whenever the store is unavailable.
async def test_outage_of_the_store_costs_no_extension():
    for size in (1, 2, 3, 5, 7, 18):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            for machine in fleet.running():
                machine.faults.store_away = True
            await check_extensions(owner, 20.0, size)


# Guards against evidence that expires before late messages can renew it: links that
# time out cost running work in such an outage.
async def test_outage_costs_no_extension_with_one_direction_late():
    for size in (2, 3, 5, 7, 18):
        for is_to_owner in (True, False):
            async with running_fleet(size) as fleet:
                await anyio.sleep(5.0)
                owner = fleet.owner()
                others = list_others(fleet, owner)
                for machine in [owner] if is_to_owner else others:
                    machine.longest_delay_s = 0.3
                await anyio.sleep(2.0)
                for machine in fleet.running():
                    machine.faults.store_away = True
                label = (size, is_to_owner)
                await check_extensions(owner, 20.0, label)


load_tests = make_load_tests(globals())
