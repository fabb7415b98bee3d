"""Tests of the faults, and planted faults that show that the check of runs can fail."""

import random
from collections import namedtuple

import anyio

from gypsumring.ports.tasks import TaskStart
from gypsumring.utils.testing import make_load_tests
from soak.builds import make_spec
from soak.partitions.faults import (
    STRANGER_S,
    FaultPlayer,
    Kind,
    RecordingExecutor,
)
from stand_ins.platform.network import Network
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World, steady_behaviour

load_tests = make_load_tests(globals())

Node = namedtuple("Node", "name")
JOB_ID = f"{1:016x}"
TASK = f"{JOB_ID}.0.0.0"


def make_player(problems: list[str]) -> FaultPlayer:
    """Return a player of faults on three nodes and two executors."""
    world = World(steady_behaviour(60.0))
    world.jobs[JOB_ID] = make_spec(JOB_ID)
    models = [RecordingExecutor(world, f"i-{number}") for number in range(2)]
    nodes = [Node(f"n{number}") for number in range(3)]
    network = Network([node.name for node in nodes], StoreModel(), models)
    return FaultPlayer(nodes, network, random.Random(1), list(Kind), problems.append)


def list_cut(cuts: dict) -> set:
    """Return the keys of the paths that are cut."""
    return {key for key, cut in cuts.items() if cut.count}


async def play_outage(lease_s: float, is_stopped: bool) -> list[str]:
    """Return the problems of an outage during which one task runs."""
    problems: list[str] = []
    player = make_player(problems)
    model = player.network.models[0]
    model.start(TaskStart(TASK, 1, "", int(lease_s * 1000), "", ""), 1)
    async with anyio.create_task_group() as group:
        group.start_soon(player.stop_store)
        await anyio.sleep(1.0)
        if is_stopped:
            model.stop(TASK, 1, 1)
    return problems


# Guards against an outage of the store that ends work unseen.
async def test_runs_that_end_in_an_outage_are_reported():
    assert await play_outage(60.0, is_stopped=False) == []
    assert await play_outage(60.0, is_stopped=True) == [
        f"OUTAGE: {TASK}/1 on i-0 has stopped"
    ]
    assert await play_outage(5.0, is_stopped=False) == [
        f"OUTAGE: {TASK}/1 on i-0 has lapsed"
    ]


# Guards against a cut that heals in both directions at once.
async def test_owner_receives_late_while_its_replies_are_held():
    player = make_player([])
    network = player.network
    async with anyio.create_task_group() as group:
        group.start_soon(player.isolate, {"n0"}, {"i-0"}, 10.0, 5.0)
        await anyio.sleep(4.9)
        sent = {("n0", "n1"), ("n0", "n2")}
        assert list_cut(network.paths) == sent | {("n1", "n0"), ("n2", "n0")}
        await anyio.sleep(0.2)
        assert list_cut(network.paths) == sent
        assert list_cut(network.store_cuts) == {"n0"}
        assert len(list_cut(network.executor_cuts)) == 3
    assert not list_cut(network.paths) | list_cut(network.store_cuts)


# Guards against a stranger that is known to the owner when it takes over.
async def test_stranger_loses_the_owner_before_it_reaches_the_store_alone():
    player = make_player([])
    network = player.network
    async with anyio.create_task_group() as group:
        group.start_soon(player.separate_stranger, "n0", "n1", {"i-0"})
        await anyio.sleep(STRANGER_S - 0.1)
        assert list_cut(network.paths) == {("n0", "n1"), ("n1", "n0")}
        assert not list_cut(network.store_cuts)
        await anyio.sleep(0.2)
        assert list_cut(network.paths) >= {("n0", "n1"), ("n1", "n0")}
        assert list_cut(network.store_cuts) == {"n0", "n2"}
        cut = {("n1", "i-0"), ("n0", "i-1"), ("n2", "i-1")}
        assert list_cut(network.executor_cuts) == cut
    assert not list_cut(network.paths) | list_cut(network.executor_cuts)
