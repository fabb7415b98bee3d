"""Tests that small machines own the cell only while no larger one is available.

In a cluster of machines with half a core and with two cores, a small machine became the
owner after a power loss. It needed seconds to evaluate all executors, so its peers
considered it dead, and callers were refused until the end of the day.
"""

import random

import anyio

from gypsumring.node.candidacy import Candidacy
from gypsumring.node.membership import Member, Membership
from gypsumring.node.tests.test_membership import ScriptedOwner, ScriptedStore
from gypsumring.ports.store import StoreUnavailable
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

TOPIC = "keyed.nodes"
SMALL, USUAL, LARGE = 516, 1074, 2151


async def start_candidacies(
    sizes: list[int], model: StoreModel | None = None
) -> list[Candidacy]:
    """Return the candidacies of nodes that start concurrently."""
    model = model or StoreModel()
    async with anyio.create_task_group() as group:
        store = MemoryStore(model, Faults(random.Random(0)), group)
        nodes = [Candidacy(store, TOPIC, size) for size in sizes]
        for node in nodes:
            group.start_soon(node.load_sizes)
    return nodes


async def test_only_the_largest_machines_are_candidates():
    nodes = await start_candidacies([SMALL, LARGE, USUAL, LARGE])
    assert [node.is_candidate(False, 0.2, 0) for node in nodes] == [
        False,
        True,
        False,
        True,
    ]


async def test_machines_of_similar_size_are_all_candidates():
    nodes = await start_candidacies([USUAL, USUAL, 1000])
    assert all(node.is_candidate(False, 0.0, 0) for node in nodes)


async def test_node_is_no_candidate_before_sizes_are_loaded():
    candidacy = Candidacy(ScriptedStore(), TOPIC, SMALL)
    assert not candidacy.is_candidate(False, 10.0, 0)


async def test_sizes_survive_a_restart_of_all_nodes():
    model = StoreModel()
    await start_candidacies([LARGE, SMALL], model)
    model.append(TOPIC, 0, [("not a size", b"x")], None)
    began = anyio.current_time()
    (node,) = await start_candidacies([SMALL], model)
    assert not node.is_candidate(False, 0.0, 0)
    # Only the first start, without sizes in the store, waits for other nodes.
    assert anyio.current_time() - began < 0.1


async def test_small_machine_is_a_candidate_if_no_larger_one_takes_over():
    small, _ = await start_candidacies([SMALL, LARGE])
    assert not small.is_candidate(False, 1.0, 0)
    assert not small.is_candidate(False, 2.0, 0)
    await anyio.sleep(0.7)
    assert small.is_candidate(False, 2.7, 0)
    assert not small.is_candidate(False, 0.0, 0)


async def test_small_machine_is_no_candidate_while_a_larger_member_exists():
    # After a store outage, two small machines repeatedly passed the cell to each other
    # and no caller was served: the group assigns the cell to a member without a
    # partition, and the large machines held the other partitions.
    small, _ = await start_candidacies([SMALL, LARGE])
    for _ in range(20):
        assert not small.is_candidate(False, 5.0, LARGE)
        await anyio.sleep(0.1)
    assert not small.is_candidate(False, 5.0, SMALL)
    await anyio.sleep(0.7)
    assert small.is_candidate(False, 5.0, SMALL)
    # A large machine that joins again replaces the small one as candidate.
    assert not small.is_candidate(False, 5.0, LARGE)


async def test_small_machine_waits_while_the_members_are_unknown():
    small, _ = await start_candidacies([SMALL, LARGE])
    small.is_candidate(False, 5.0, None)
    await anyio.sleep(1.0)
    assert not small.is_candidate(False, 5.0, None)
    assert not small.is_candidate(False, 5.0, 0)


def test_size_is_part_of_the_name_in_the_group():
    member = Member.parse(str(Member("n1", "10.0.0.1:80", "4f", LARGE)))
    assert (member.node, member.address) == ("n1", "10.0.0.1:80")
    assert (member.incarnation, member.size) == ("4f", LARGE)
    assert Member.parse("n1@10.0.0.1:80/4f").size == 0


async def test_small_owner_hands_over_to_a_larger_machine_that_stays():
    small, _ = await start_candidacies([SMALL, LARGE])
    assert small.is_candidate(True, 0.0, 0)
    small.record_linked_sizes([SMALL, LARGE])
    await anyio.sleep(0.9)
    assert small.is_candidate(True, 0.0, 0)
    # A node that is stopping reports the size 0.
    small.record_linked_sizes([SMALL, 0])
    await anyio.sleep(0.5)
    assert small.is_candidate(True, 0.0, 0)
    small.record_linked_sizes([SMALL, LARGE])
    await anyio.sleep(1.1)
    small.record_linked_sizes([SMALL, LARGE])
    assert not small.is_candidate(True, 0.0, 0)


async def test_unavailable_store_only_delays_the_candidacy():
    model = StoreModel()

    class FlakyStore(MemoryStore):
        """Store whose first three reads fail."""

        __slots__ = ("calls",)

        async def newest(self, topic, partition, deadline):
            self.calls += 1
            if self.calls < 4:
                raise StoreUnavailable("unavailable")
            return await super().newest(topic, partition, deadline)

    async with anyio.create_task_group() as group:
        store = FlakyStore(model, Faults(random.Random(0)), group)
        store.calls = 0
        candidacy = Candidacy(store, TOPIC, LARGE)
        await candidacy.load_sizes()
    assert candidacy.is_candidate(False, 0.0, 0)


async def test_node_that_is_no_candidate_abandons_the_cell_and_leaves():
    left = []

    class LeavingStore(ScriptedStore):
        """Store that records the members that leave."""

        __slots__ = ()

        async def leave(self, group, member, deadline):
            left.append(member)

    is_candidate = True
    membership = Membership(
        LeavingStore(),
        "g",
        "cells",
        0,
        "n0",
        1.0,
        lambda fence: ScriptedOwner(),
        is_candidate=lambda owns: is_candidate,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(membership.run)
        await anyio.sleep(0.5)
        owner = membership.owner
        is_candidate = False
        await anyio.sleep(0.5)
        assert owner.stopped.is_set()
        assert membership.owner is None
        assert left == ["n0"]
        is_candidate = True
        await anyio.sleep(0.5)
        assert membership.owner is not None
        group.cancel_scope.cancel()


load_tests = make_load_tests(globals())
