"""Tests of ownership in whole fleets of slow machines, without a network."""

import anyio

from gypsumring.cell.authority import MAX_EXTENSION_DELAY_S
from gypsumring.node.failure_detection import choose_monitors
from gypsumring.node.node_calls import CONNECT_TIMEOUT_S
from gypsumring.pipelines import DesiredState
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.fleet import FleetModel, running_fleet

# Time in which a fleet has an owner again, beside the time that reading the cell takes:
# a membership of 1 s and as long for the takeover itself, and 1 s for a node on a
# machine that has just been slow to link to the new owner.
SETTLING_S = 3.0
# Calls over new connections that one node may make because of one lost owner.
MAX_CONNECTIONS = 16
# An owner whose machine has lost its power is replaced in this time; its membership in
# the group alone would last 1 s.
REPLACEMENT_S = 0.9


async def slow_down(fleet: FleetModel, names: list[str], factor: float, seconds: float):
    """Slow some machines down for a while."""
    for name in names:
        fleet.machines[name].processor.slowness = factor
    await anyio.sleep(seconds)
    for name in names:
        fleet.machines[name].processor.slowness = 1.0


# On a fleet of small machines, each next owner was removed while it read its cell, as
# it did not answer in time meanwhile: no owner served until the end of the day.
async def test_owner_that_still_reads_its_cell_is_not_removed():
    for size, share in ((18, 0.12), (38, 0.5)):
        async with running_fleet(size, share) as fleet:
            fleet.cell_read_s = 1.6
            await anyio.sleep(5.0)
            await slow_down(fleet, [fleet.owner().name], 20.0, 1.0)
            limit_s = fleet.cell_read_s + SETTLING_S
            assert await fleet.wait_until_settled(limit_s) is not None, size
            takeovers = fleet.count_takeovers()
            assert takeovers <= 3
            await anyio.sleep(5.0)
            assert fleet.is_settled()
            assert fleet.count_takeovers() == takeovers


# Each node that had lost the owner opened a connection to every other node, so that a
# suspicion cost the square of the fleet's size.
async def test_calls_of_a_node_that_has_lost_the_owner_do_not_grow_with_the_fleet():
    for size in (18, 38, 97):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            fleet.clear_calls()
            fleet.owner().cut_power()
            assert await fleet.wait_until_settled(SETTLING_S) is not None
            await anyio.sleep(2.0)
            owner = fleet.owner()
            connections = [
                machine.calls["connect"]
                for machine in fleet.running()
                if machine is not owner
            ]
            assert max(connections) <= MAX_CONNECTIONS, (size, max(connections))


# Single calls between nodes have 0.2 s. Machines that need longer must not make
# more calls for it, or lose the next owner, too.
async def test_calls_of_slow_nodes_that_have_lost_the_owner_are_not_repeated():
    for size in (18, 38):
        async with running_fleet(size, 0.12) as fleet:
            await anyio.sleep(5.0)
            fleet.clear_calls()
            fleet.owner().cut_power()
            assert await fleet.wait_until_settled(SETTLING_S) is not None
            await anyio.sleep(2.0)
            owner = fleet.owner()
            connections = [
                machine.calls["connect"]
                for machine in fleet.running()
                if machine is not owner
            ]
            assert max(connections) <= MAX_CONNECTIONS, (size, max(connections))
            assert owner.calls["connect"] <= MAX_CONNECTIONS + size
            assert fleet.count_takeovers() == 2


async def test_owner_without_power_is_replaced_before_its_membership_expires():
    for size in (9, 38):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            fleet.owner().cut_power()
            assert await fleet.wait_until_settled(REPLACEMENT_S) is not None, size


# The cell had no owner until the membership of the lost one expired, or its machine was
# back, if the nodes to which it is reported were lost at the same moment.
async def test_owner_is_replaced_in_time_if_its_monitors_are_lost_with_it():
    for size in (18, 38, 97):
        async with running_fleet(size, membership_ms=4_000) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            names = [name for name in fleet.machines if name != owner.name]
            for name in choose_monitors(owner.node.own_fence(), names):
                fleet.machines[name].cut_power()
            owner.cut_power()
            limit_s = REPLACEMENT_S + CONNECT_TIMEOUT_S
            assert await fleet.wait_until_settled(limit_s) is not None, size


async def test_owner_that_restarts_at_once_is_replaced_at_once():
    async with running_fleet(9) as fleet:
        await anyio.sleep(5.0)
        owner = fleet.owner()
        owner.kill()
        owner.start()
        assert await fleet.wait_until_settled(REPLACEMENT_S) is not None


async def test_frozen_owner_is_replaced_before_its_membership_expires():
    async with running_fleet(9) as fleet:
        await anyio.sleep(5.0)
        frozen = fleet.owner()
        fleet.group.start_soon(frozen.processor.freeze, 5.0)
        await anyio.sleep(REPLACEMENT_S)
        assert fleet.owner() is not frozen
        await anyio.sleep(5.0)
        assert fleet.is_settled()
        assert fleet.count_takeovers() == 2


async def test_owner_is_kept_while_a_minority_of_the_nodes_is_cut_off_from_it():
    # The nodes that are cut off reach each other and the store.
    async with running_fleet(9) as fleet:
        await anyio.sleep(5.0)
        owner = fleet.owner()
        others = [machine for machine in fleet.running() if machine is not owner]
        for machine in others[:3]:
            machine.cut_from.add(owner.name)
            owner.cut_from.add(machine.name)
        await anyio.sleep(5.0)
        assert fleet.owner() is owner
        assert fleet.count_takeovers() == 1


# While a small machine took over, a larger one was linked to it for a second: it gave
# the cell up before it had served, and the next small one got it.
async def test_small_machine_hands_over_only_once_it_serves():
    async with running_fleet(18, candidates=1) as fleet:
        fleet.cell_read_s = 3.0
        await anyio.sleep(5.0)
        (large,) = [machine for machine in fleet.running() if machine is fleet.owner()]
        large.kill()
        await anyio.sleep(3.0)
        large.start()
        # A small machine and the large one read the cell one after the other, and the
        # small one serves for a second in between.
        limit_s = 2 * fleet.cell_read_s + 1.0 + SETTLING_S
        await anyio.sleep(limit_s)
        assert fleet.is_settled()
        assert fleet.owner() is large
        assert fleet.count_takeovers() == 3


# A read of the records that took longer than 5 s was begun anew for ever.
async def test_records_that_take_long_to_read_are_read_in_the_end():
    async with running_fleet(5) as fleet:
        fleet.cell_read_s = 12.0
        fleet.owner().kill()
        limit_s = 4 * fleet.cell_read_s + SETTLING_S
        assert await fleet.wait_until_settled(limit_s) is not None


# The owner went on extending leases for as long as it was cut off, and the next owner
# presumed that they had expired: tasks ran twice.
async def test_owner_that_is_cut_off_extends_no_leases():
    for size in (2, 7, 18):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            node = owner.node
            assert node.may_extend_leases()
            owner.is_dark = True
            while any(fleet.owner() is each for each in (None, owner)):
                await anyio.sleep(0.01)
            await anyio.sleep(MAX_EXTENSION_DELAY_S)
            for _ in range(100):
                assert node.own_fence() is not None
                assert not node.may_extend_leases(), size
                await anyio.sleep(0.1)
            assert not node.membership.active_owner().authority.extends_leases


# Guards against the loss of all running work in an outage of the store.
async def test_leases_are_extended_while_the_store_answers_no_node():
    for size in (1, 2, 7, 18):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            node = fleet.owner().node
            for machine in fleet.running():
                machine.faults.store_away = True
            for _ in range(100):
                await anyio.sleep(0.1)
                assert node.may_extend_leases(), size


# Guards against the loss of all running work because one more node is killed in such an
# outage: no node can take over without a vote of the others.
async def test_leases_are_extended_while_one_node_is_killed_in_such_an_outage():
    for size in (4, 7, 18):
        async with running_fleet(size) as fleet:
            await anyio.sleep(5.0)
            owner = fleet.owner()
            for machine in fleet.running():
                machine.faults.store_away = True
            await anyio.sleep(2.0)
            next(each for each in fleet.running() if each is not owner).kill()
            for _ in range(50):
                await anyio.sleep(0.1)
                assert owner.node.may_extend_leases(), size


# Guards against two nodes that are killed in such an outage, unknown to the owner if
# they have taken over: once the store answers, leases are extended again.
async def test_leases_are_extended_again_once_the_store_answers():
    async with running_fleet(7) as fleet:
        await anyio.sleep(5.0)
        owner = fleet.owner()
        for machine in fleet.running():
            machine.faults.store_away = True
        await anyio.sleep(2.0)
        others = [machine for machine in fleet.running() if machine is not owner]
        for machine in others[:2]:
            machine.kill()
        await anyio.sleep(2.0)
        assert not owner.node.may_extend_leases()
        for machine in fleet.running():
            machine.faults.store_away = False
        await anyio.sleep(0.5)
        assert fleet.owner().node.may_extend_leases()


# A process that had just started was ready for 2.5 s without an owner: callers were
# sent to it and got no answer.
async def test_restarted_node_is_not_ready_before_it_has_reached_an_owner():
    async with running_fleet(9) as fleet:
        await anyio.sleep(5.0)
        owner = fleet.owner()
        machine = next(each for each in fleet.running() if each is not owner)
        machine.kill()
        for other in fleet.machines.values():
            machine.cut_from.add(other.name)
        machine.start()
        await anyio.sleep(0.5)
        machine.node.desired.current = DesiredState(version=1)
        assert not machine.node.is_ready()
        machine.cut_from.clear()
        await anyio.sleep(SETTLING_S)
        assert machine.node.is_ready()


load_tests = make_load_tests(globals())
