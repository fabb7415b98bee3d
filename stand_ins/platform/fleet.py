"""Model of a fleet of nodes on slow machines, on the mock clock and without a network.

Each machine runs the real ``Node`` with its group membership, its link to the owner
and the cell. Only the store, the channels between the nodes and the processor are
modelled: all work that a message causes passes through the processor of its machine,
one piece after the other, so that a machine that receives too much falls behind. The
records of the cell arrive on the same link as all other messages, which wait meanwhile
for the data that is already on its way.
"""

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import msgspec

from gypsumring.cell.messages import Pong
from gypsumring.metrics import Metrics
from gypsumring.node.node import CELL_TOPIC, GROUP, Node
from gypsumring.ports.store import PAGE_BYTES, NewestPage
from gypsumring.settings.node import NodeSettings
from gypsumring.transport import ChannelClosed, ConnectFailed, ConnectRefused
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import GroupModel, StoreModel

__all__ = ["FleetModel", "Machine", "running_fleet"]

LATENCY_S = 0.0015
# Processor time on a core of reference speed.
CONNECT_WORK_S = 0.0006
MESSAGE_WORK_S = 0.0002
STORE_CALL_WORK_S = 0.0004
# Time for which data of a long answer occupies the link before other messages can pass.
MAX_LINK_TURN_S = 0.4
FIRST_OWNER_LIMIT_S = 30.0


class StickyGroupModel(GroupModel):
    """Group whose partitions stay with their members until those leave.

    A free partition goes to another member than before, as on the platform.
    """

    __slots__ = ()

    def deal(self, shift: int = 0) -> None:
        """Assign the partitions of members that have left, in a new generation."""
        self.generation += 1
        names = sorted(self.members)
        for part in range(self.parts):
            if self.holders.get(part) in self.members:
                self.target_holders[part] = self.holders[part]
            elif names:
                self.target_holders[part] = names[self.generation % len(names)]
            else:
                self.target_holders.pop(part, None)
        self.transfer_partitions()


class Processor:
    """Processor and link of a machine, which do one piece of work after the other.

    ``share`` is the share of a reference core; ``slowness`` divides it further.
    """

    __slots__ = ("lock", "share", "slowness")

    def __init__(self, share: float):
        self.share = share
        self.slowness = 1.0
        self.lock = anyio.Lock()

    async def work(self, seconds: float) -> None:
        """Do work that takes a reference core so many seconds."""
        async with self.lock:
            await anyio.sleep(seconds * self.slowness / self.share)

    async def freeze(self, seconds: float) -> None:
        """Do no work for so many seconds."""
        async with self.lock:
            await anyio.sleep(seconds)

    async def receive(self, seconds: float) -> None:
        """Receive an answer that occupies the link for so many seconds."""
        while seconds > 0:
            turn_s = min(seconds, MAX_LINK_TURN_S)
            async with self.lock:
                await anyio.sleep(turn_s)
            seconds -= turn_s
            await anyio.sleep(2 * LATENCY_S)


class ModelStore(MemoryStore):
    """Store whose calls take processor time of the machine that sends them."""

    __slots__ = ("machine",)

    def __init__(self, machine: "Machine"):
        fleet = machine.fleet
        super().__init__(fleet.store, machine.faults, fleet.group)
        self.machine = machine

    async def pass_faults(self, deadline: float) -> None:
        """Take processor time, then wait for the network and the active faults."""
        self.machine.calls["store"] += 1
        await self.machine.processor.work(STORE_CALL_WORK_S)
        await self.machine.wait_until_reachable(deadline)
        await super().pass_faults(deadline)

    async def read_newest_page(
        self,
        topic: str,
        partition: int,
        after_key: str,
        deadline: float,
        page_bytes: int = PAGE_BYTES,
    ) -> NewestPage:
        """Return a page of records; those of the cell take time to read."""
        if topic == CELL_TOPIC and not after_key:
            await self.machine.processor.receive(self.machine.fleet.cell_read_s)
        return await super().read_newest_page(
            topic, partition, after_key, deadline, page_bytes
        )


class StorePath:
    """Path to the store that needs no relay."""

    __slots__ = ("relay",)

    def __init__(self):
        self.relay = None


class ModelChannel:
    """One end of a channel between two machines."""

    __slots__ = (
        "closed",
        "ended",
        "far_end",
        "is_silent",
        "machine",
        "order",
        "peer",
        "pending",
    )

    def __init__(self, machine: "Machine"):
        self.machine = machine
        # Whether all messages on this channel are lost while new channels work.
        self.is_silent = False
        self.far_end: ModelChannel = self
        self.peer = ""
        self.closed = False
        self.ended = anyio.Event()
        self.pending: set[anyio.Event] = set()
        # Held messages of one sender arrive in the order in which they were sent.
        self.order = anyio.Lock()

    async def run(self) -> None:
        """Run until the channel ends."""
        await self.ended.wait()

    async def call(self, message: Any, deadline: float) -> Any:
        """Send a request and return the reply; raise ChannelClosed."""
        if self.closed:
            raise ChannelClosed("channel is already closed")
        self.machine.calls[type(message).__name__] += 1
        finished = anyio.Event()
        replies: list[Any] = []
        self.pending.add(finished)
        self.machine.fleet.group.start_soon(self.deliver, message, replies, finished)
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            await finished.wait()
        self.pending.discard(finished)
        if not replies:
            raise ChannelClosed("no reply before the deadline or the channel's end")
        return replies[0]

    async def deliver(
        self, message: Any, replies: list[Any], finished: anyio.Event
    ) -> None:
        """Let the peer handle a message, also if the caller does not wait any more."""
        near, far, far_end = self.machine, self.far_end.machine, self.far_end
        fleet = near.fleet
        await anyio.sleep(LATENCY_S + fleet.draw_delay_s(far))
        if near.is_lost(far) or self.is_silent or fleet.draw_loss():
            return
        await self.wait_while_held()
        await far.processor.work(MESSAGE_WORK_S)
        if far_end.closed or far.node is None:
            return
        reply = await far.node.handle(far_end, message)
        if isinstance(reply, Pong) and reply.nodes is not None:
            far.calls["table"] += 1
        await anyio.sleep(LATENCY_S + fleet.draw_delay_s(near))
        if reply is None or far.is_lost(near):
            return
        await far_end.wait_while_held()
        await near.processor.work(MESSAGE_WORK_S)
        replies.append(reply)
        finished.set()

    async def wait_while_held(self) -> None:
        """Wait while messages from this machine to the other one are held."""
        near, far = self.machine, self.far_end.machine
        if not far.holds(near) and not self.order.locked():
            return
        async with self.order:
            while far.holds(near):
                await far.released.wait()

    async def deliver_end(self) -> None:
        """End the other side after it has read the messages sent before."""
        await self.wait_while_held()
        await self.far_end.machine.processor.work(0.0)
        self.far_end.end()

    def end(self) -> None:
        """End this side of the channel; calls in flight fail."""
        if self.closed:
            return
        self.closed = True
        self.ended.set()
        for finished in self.pending:
            finished.set()
        if self.machine.node is not None:
            self.machine.node.remove_peer(self)
        self.machine.channels.discard(self)

    async def aclose(self) -> None:
        """Close both sides of the channel, the other one without a loss of messages."""
        self.end()
        if self.machine.is_lost(self.far_end.machine):
            self.far_end.end()
        else:
            self.machine.fleet.group.start_soon(self.deliver_end)


class Machine:
    """Machine of the fleet and the process that runs on it, if any."""

    __slots__ = (
        "address",
        "calls",
        "channels",
        "cut_from",
        "faults",
        "fleet",
        "held_from",
        "is_dark",
        "longest_delay_s",
        "name",
        "node",
        "processor",
        "released",
        "scope",
        "size",
    )

    def __init__(self, fleet: "FleetModel", number: int, share: float, size: int):
        self.fleet = fleet
        self.name = f"n{number:03}"
        self.address = f"{self.name}:1"
        self.size = size
        self.processor = Processor(share)
        self.faults = Faults(fleet.random_source)
        self.calls: Counter[str] = Counter()
        self.channels: set[ModelChannel] = set()
        # Machines whose packets to and from this one are lost.
        self.cut_from: set[str] = set()
        # Machines whose messages to this one wait, and the event of their release.
        self.held_from: set[str] = set()
        self.released = anyio.Event()
        # Longest delay of messages to this machine, beside that of all messages.
        self.longest_delay_s = 0.0
        # Whether the machine has no power or no network.
        self.is_dark = False
        self.node: Node | None = None
        self.scope = anyio.CancelScope()

    def is_lost(self, other: "Machine") -> bool:
        """Return whether packets between two machines are lost."""
        return self.is_dark or other.is_dark or other.name in self.cut_from

    def hold_from(self, machines: list["Machine"]) -> None:
        """Hold the messages of other machines to this one until they are released."""
        self.held_from.update(each.name for each in machines if each is not self)

    def release_from(self, machines: list["Machine"]) -> None:
        """Deliver the messages of other machines that were held."""
        self.held_from.difference_update(each.name for each in machines)
        self.released.set()
        self.released = anyio.Event()

    def holds(self, other: "Machine") -> bool:
        """Return whether messages of another machine to this one are held."""
        return other.name in self.held_from

    def owns(self) -> bool:
        """Return whether this machine owns the cell, for all it knows."""
        return self.node is not None and self.node.own_fence() is not None

    def counts_since(self) -> float:
        """Return since when this owner counts the leases of earlier owners.

        From then on it presumes that they expire, ``MAX_EXTENSION_DELAY_S`` later than
        if they had been extended just then. Return inf if it presumes nothing.
        """
        owner = self.node.membership.active_owner()
        if owner is None:
            return float("inf")
        authority = getattr(owner, "authority", None)
        if authority is None:
            return owner.state.owned_since
        return authority.exclusive_since

    async def wait_until_reachable(self, deadline: float) -> None:
        """Wait until the machine has a network, at most until the deadline."""
        while self.is_dark and anyio.current_time() < deadline:
            await anyio.sleep(0.01)

    def make_node(self) -> Node:
        """Return a new process for this machine."""
        settings = msgspec.convert(
            {
                "node": self.name,
                "data_centre": "dc",
                "region": "region",
                "caller_address": "127.0.0.1:80",
                "readiness_address": "127.0.0.1:81",
                "peer_host": self.name,
                "peer_ports": [1],
                "store": {
                    "address": "127.0.0.1:82",
                    "shortest_membership_ms": self.fleet.membership_ms,
                },
                "bounds": {"longest_lease_ms": 6_000},
                "processor": {"share": self.size / 1000},
            },
            NodeSettings,
        )
        node = Node(
            settings,
            ModelStore(self),
            None,
            Metrics(),
            StorePath(),
            anyio.current_time,
        )
        node.link.calls.connect = self.connect
        return node

    async def run(self) -> None:
        """Run the process until it is killed."""
        self.node = self.make_node()
        self.scope = anyio.CancelScope()
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.node.candidacy.load_sizes)
                group.start_soon(self.node.membership.run)
                group.start_soon(self.node.link.run)

    def start(self) -> None:
        """Start a process on a machine that has power."""
        self.is_dark = False
        self.fleet.group.start_soon(self.run)

    def kill(self) -> None:
        """Kill the process; the machine refuses connections from then on."""
        self.scope.cancel()
        self.node = None
        for channel in list(self.channels):
            channel.end()
            channel.far_end.end()

    def cut_power(self) -> None:
        """Kill the process without a packet to its peers."""
        self.is_dark = True
        self.scope.cancel()
        self.node = None

    async def connect(
        self, address: str, decoder: Any, handler: Any, deadline: float
    ) -> ModelChannel:
        """Open a channel to a machine; raise ConnectRefused or ConnectFailed."""
        far = self.fleet.machines[address.partition(":")[0]]
        self.calls["connect"] += 1
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            await self.processor.work(CONNECT_WORK_S)
            while self.is_lost(far) or self.holds(far) or far.holds(self):
                await anyio.sleep(0.05)
            await anyio.sleep(2 * LATENCY_S)
            if far.node is None:
                raise ConnectRefused(address)
            return self.open_channel(far)
        raise ConnectFailed(address)

    def open_channel(self, far: "Machine") -> ModelChannel:
        """Return this side of a new channel; the other machine has to accept it."""
        near_end, far_end = ModelChannel(self), ModelChannel(far)
        near_end.far_end, far_end.far_end = far_end, near_end
        self.channels.add(near_end)
        far.channels.add(far_end)
        self.fleet.group.start_soon(far.processor.work, CONNECT_WORK_S)
        return near_end


class FleetModel:
    """Fleet of machines around one store."""

    __slots__ = (
        "cell_read_s",
        "group",
        "longest_delay_s",
        "lost_share",
        "machines",
        "membership_ms",
        "random_source",
        "store",
    )

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        random_source: random.Random,
        size: int,
        share: float,
        candidates: int,
        membership_ms: int = 1_000,
    ):
        self.group = group
        self.random_source = random_source
        self.membership_ms = membership_ms
        self.store = StoreModel(parts=1)
        self.store.groups[GROUP] = StickyGroupModel(1)
        # Time for which the records of the cell occupy the link of a new owner.
        self.cell_read_s = 0.05
        # Share of the messages between nodes that are lost, and the longest delay of
        # the others.
        self.lost_share = 0.0
        self.longest_delay_s = 0.0
        self.machines: dict[str, Machine] = {}
        for number in range(size):
            is_large = number % max(1, size // candidates) == 0
            machine = Machine(self, number, share, 1000 if is_large else 400)
            self.machines[machine.name] = machine

    def start(self) -> None:
        """Start all machines."""
        for machine in self.machines.values():
            machine.start()

    def draw_delay_s(self, receiver: Machine) -> float:
        """Draw by how long a message is delayed beside the latency."""
        longest_s = self.longest_delay_s + receiver.longest_delay_s
        return self.random_source.uniform(0.0, longest_s)

    def draw_loss(self) -> bool:
        """Draw whether a message is lost."""
        return self.random_source.random() < self.lost_share

    def running(self) -> list[Machine]:
        """Return the machines with a running process."""
        return [machine for machine in self.machines.values() if machine.node]

    def owner(self) -> Machine | None:
        """Return the machine that owns the cell with the highest fence number."""
        owners = [machine for machine in self.running() if machine.owns()]
        return max(owners, key=lambda owner: owner.node.own_fence(), default=None)

    def is_settled(self) -> bool:
        """Return whether all running nodes are linked to one owner."""
        owner = self.owner()
        return owner is not None and all(
            machine is owner or machine.node.link.owner_address == owner.address
            for machine in self.running()
        )

    def count_takeovers(self) -> int:
        """Return the number of owners so far that have fenced their predecessor."""
        partition = self.store.partition(CELL_TOPIC, 0)
        return sum(record.key == "owner" for record in partition.records)

    def clear_calls(self) -> None:
        """Count the calls of all machines from zero."""
        for machine in self.machines.values():
            machine.calls.clear()

    async def wait_until_settled(self, limit_s: float) -> float | None:
        """Wait until all nodes are linked to one owner; return the time it took.

        Return None if they are not after ``limit_s`` seconds.
        """
        began_at = anyio.current_time()
        while not self.is_settled():
            if anyio.current_time() - began_at > limit_s:
                return None
            await anyio.sleep(0.02)
        return anyio.current_time() - began_at


@asynccontextmanager
async def running_fleet(
    size: int,
    share: float = 1.0,
    candidates: int = 9,
    seed: int = 0,
    membership_ms: int = 1_000,
) -> AsyncIterator[FleetModel]:
    """Run a fleet that has settled on its first owner."""
    async with anyio.create_task_group() as group:
        source = random.Random(seed)
        fleet = FleetModel(group, source, size, share, candidates, membership_ms)
        fleet.start()
        assert await fleet.wait_until_settled(FIRST_OWNER_LIMIT_S) is not None
        yield fleet
        group.cancel_scope.cancel()
