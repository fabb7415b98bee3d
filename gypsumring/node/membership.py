"""Membership in the group that assigns the cells to the nodes."""

from collections.abc import Callable

import anyio
import anyio.abc

from gypsumring.cell import CellOwner
from gypsumring.ports.store import Assignment, Store, StoreRefused, StoreUnavailable
from gypsumring.utils.clock import Clock
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.ranges import parse_machine_size

__all__ = ["Member", "Membership"]

log = EventLogger("membership")

JOIN_PERIOD_S = 0.1
# While nodes start, each join changes the assignment. During this time a new process
# starts to own a cell only if two successive joins return the same generation.
STARTUP_S = 2.0
STARTUP_JOIN_PERIOD_S = 0.05
JOIN_TIMEOUT_S = 0.6
# Peers may remove an unresponsive owner from the group before its membership expires,
# but no sooner than this time after its last response.
CONFIRMATION_VALID_S = 0.35
LEAVE_TIMEOUT_S = 0.5
# How often a stopping owner checks whether the store has recovered.
HANDOVER_POLL_S = 0.05
# Number of fence numbers per generation. A node must not lose the cell more often than
# this within a generation, as it would use the fence numbers of the next one.
FENCES_PER_GENERATION = 1_000


class Member:
    """Member of the group: node, address for channels, incarnation, machine size.

    The size is in thousandths of a core of reference speed, 0 if unknown.
    """

    __slots__ = ("address", "incarnation", "node", "size")

    def __init__(self, node: str, address: str, incarnation: str, size: int = 0):
        self.node = node
        self.address = address
        self.incarnation = incarnation
        self.size = size

    @classmethod
    def parse(cls, text: str) -> "Member":
        """Return the member encoded in a name of the group, as written by ``str``."""
        node, _, remainder = text.partition("@")
        address, _, remainder = remainder.partition("/")
        incarnation, _, size = remainder.partition("/")
        return cls(node, address, incarnation, parse_machine_size(size))

    def __str__(self) -> str:
        return f"{self.node}@{self.address}/{self.incarnation}/{self.size}"


class Membership:
    """Renew the membership in the group and run the cell while it is assigned.

    ``make_owner`` returns a new owner for a fence number, which is derived from the
    generation in which the cell was assigned to this node. ``is_candidate`` receives
    whether the node owns the cell and returns whether it should be in the group.
    """

    __slots__ = (
        "cell",
        "checked_at",
        "clock",
        "confirmed_at",
        "fence_generation",
        "generation",
        "group",
        "group_name",
        "is_candidate",
        "is_member",
        "make_owner",
        "member",
        "owner",
        "owner_count",
        "owner_scope",
        "paused",
        "started_at",
        "stopping",
        "store",
        "topic",
        "ttl_s",
    )

    def __init__(
        self,
        store: Store,
        group_name: str,
        topic: str,
        cell: int,
        member: str,
        ttl_s: float,
        make_owner: Callable[[int], CellOwner],
        clock: Clock = anyio.current_time,
        is_candidate: Callable[[bool], bool] = lambda owns: True,
    ):
        self.store = store
        self.group_name = group_name
        self.topic = topic
        self.cell = cell
        self.member = member
        self.ttl_s = ttl_s
        self.make_owner = make_owner
        self.is_candidate = is_candidate
        # Whether the process has tried to join and has not left since.
        self.is_member = False
        self.generation = 0
        self.fence_generation = -1
        self.owner_count = 0
        self.owner: CellOwner | None = None
        self.owner_scope: anyio.CancelScope | None = None
        self.group: anyio.abc.TaskGroup | None = None
        # Time, including suspended time, when the last join that confirmed the cell
        # for this node was sent.
        self.confirmed_at = float("-inf")
        self.stopping = False
        # Includes the time while the process or the machine is suspended.
        self.clock = clock
        self.checked_at = clock()
        # Set if the process was paused for so long that another node may own the cell.
        self.paused = False
        self.started_at = anyio.current_time()

    def is_recently_confirmed(self) -> bool:
        """Return whether the last confirmation still rules out another owner."""
        return self.clock() - self.confirmed_at < CONFIRMATION_VALID_S

    def is_starting(self) -> bool:
        """Return whether the process is within its start-up period."""
        return anyio.current_time() - self.started_at < STARTUP_S

    def active_owner(self) -> CellOwner | None:
        """Return the owner on this node once it has loaded its state, or None."""
        owner = self.owner
        return owner if owner is not None and owner.loaded else None

    async def run(self) -> None:
        """Renew the membership until cancelled or stopped."""
        async with anyio.create_task_group() as group:
            self.group = group
            while not self.stopping:
                self.detect_pause()
                if not self.is_candidate(self.owner is not None):
                    await self.resign()
                    await anyio.sleep(JOIN_PERIOD_S)
                    continue
                called_at = anyio.current_time()
                sent_at = self.clock()
                self.is_member = True
                try:
                    assignment = await self.store.join(
                        self.group_name,
                        self.member,
                        self.topic,
                        self.ttl_s,
                        self.generation,
                        called_at + JOIN_TIMEOUT_S,
                    )
                except (StoreUnavailable, StoreRefused) as error:
                    log.debug("joining the group failed", error=str(error))
                else:
                    self.detect_pause()
                    if not self.stopping:
                        await self.apply(assignment, sent_at)
                awaits_confirmation = self.is_starting() and self.owner is None
                await anyio.sleep(
                    STARTUP_JOIN_PERIOD_S if awaits_confirmation else JOIN_PERIOD_S
                )

    def detect_pause(self) -> None:
        """Detect that the process was paused for longer than a membership lasts."""
        now = self.clock()
        if now - self.checked_at > self.ttl_s:
            self.paused = True
        self.checked_at = now

    def may_extend_leases(self) -> bool:
        """Return whether task leases may be extended.

        After a pause, the group has to confirm the cell first. An owner that cannot
        reach the store continues, since no other node can take over without the store.
        """
        return not self.paused and self.clock() - self.checked_at <= self.ttl_s

    async def apply(self, assignment: Assignment, sent_at: float) -> None:
        """Start or stop the owner as assigned; ``sent_at`` is in ``clock`` time."""
        generation_unchanged = assignment.generation == self.generation
        self.generation = assignment.generation
        is_assigned = self.cell in assignment.partitions
        if self.owner is not None and self.owner.stopped.is_set():
            self.owner = None
        if not is_assigned:
            await self.stop_owner("assigned to another node")
            return
        self.confirmed_at = sent_at
        self.paused = False
        if self.owner is None and (generation_unchanged or not self.is_starting()):
            self.owner = self.make_owner(self.next_fence(assignment.generation))
            self.group.start_soon(self.run_owner, self.owner)

    def next_fence(self, generation: int) -> int:
        """Return a fence number above those of all earlier owners.

        The generation distinguishes owners on different nodes, the count successive
        owners on one node.
        """
        if generation != self.fence_generation:
            self.fence_generation = generation
            self.owner_count = 0
        self.owner_count += 1
        return generation * FENCES_PER_GENERATION + self.owner_count

    async def run_owner(self, owner: CellOwner) -> None:
        """Run an owner until it is stopped or loses the cell."""
        with anyio.CancelScope() as scope:
            self.owner_scope = scope
            await owner.run()

    async def stop_owner(self, reason: str) -> None:
        """Stop the owner and wait for its end, before the cell can be reassigned."""
        owner = self.owner
        if owner is None:
            return
        log.info("cell abandoned", cell=self.cell, reason=reason)
        if self.owner_scope is not None:
            self.owner_scope.cancel()
            await owner.stopped.wait()
        self.owner = None

    async def resign(self) -> None:
        """Stop the owner and leave the group while the node is not a candidate."""
        if self.is_member:
            await self.stop_owner("node is not a candidate")
            await self.leave_group()

    async def leave(self, handover_deadline: float = 0.0) -> None:
        """Stop the owner and leave the group so that another node takes over.

        A takeover needs several calls to the store, and callers wait meanwhile. While
        the store is slow, the owner therefore stays, until the deadline at the latest.
        """
        while (
            anyio.current_time() < handover_deadline
            and (owner := self.active_owner()) is not None
            and owner.is_store_slow()
        ):
            await anyio.sleep(HANDOVER_POLL_S)
        self.stopping = True
        await self.stop_owner("node is stopping")
        if self.is_member:
            await self.leave_group()

    async def leave_group(self) -> None:
        """Leave the group; if the call fails, the membership expires."""
        try:
            await self.store.leave(
                self.group_name, self.member, anyio.current_time() + LEAVE_TIMEOUT_S
            )
        except (StoreUnavailable, StoreRefused) as error:
            log.warning("leaving the group failed", error=str(error))
        else:
            self.is_member = False
