"""Membership in the group that assigns the cells to the nodes."""

from collections.abc import Callable

import anyio
import anyio.abc

from gypsumring.cell import CellOwner
from gypsumring.ports.store import Assignment, Store, StoreRefused, StoreUnavailable
from gypsumring.transport import Purpose, ResponseTimes, sending_for
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
# An unanswered join is sent again after this time, and given up after its time limit.
# Answers are late on a congested link, but the joins themselves still arrive.
JOIN_RESEND_S = 0.4
JOIN_TIMEOUT_S = 2.0
# A membership lasts for this multiple of the time that the store takes to answer,
# within the shortest and the longest time.
MEMBERSHIP_ANSWERS = 4
LONGEST_TTL_S = 4.0
# Membership while this node takes over the cell: reading the records delays all other
# messages on its link. A node that has lost the cell before it had taken it over
# doubles the time for the next attempt.
TAKEOVER_TTL_S = 4.0
MAX_TAKEOVER_FACTOR = 2
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
        "applied_sent_at",
        "cell",
        "clock",
        "confirmed_at",
        "fence_generation",
        "generation",
        "group",
        "group_name",
        "is_candidate",
        "is_member",
        "left_at",
        "make_owner",
        "member",
        "owner",
        "owner_count",
        "owner_scope",
        "ownership_lock",
        "response_times",
        "started_at",
        "stopping",
        "store",
        "takeover_factor",
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
        self.started_at = anyio.current_time()
        # Factor of the membership during the next takeover.
        self.takeover_factor = 1
        # Response times of joins, and the send time of the newest join whose answer has
        # been applied, in ``clock`` time.
        self.response_times = ResponseTimes()
        self.applied_sent_at = float("-inf")
        # Time of the last leave, in ``clock`` time.
        self.left_at = float("-inf")
        # Answers to joins, and leaves, change the owner one after the other.
        self.ownership_lock = anyio.Lock()

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
                had_owner = self.owner is not None
                if not self.is_candidate(self.owner is not None):
                    await self.resign()
                    await anyio.sleep(JOIN_PERIOD_S)
                    continue
                self.is_member = True
                answered = anyio.Event()
                group.start_soon(self.renew, answered)
                with anyio.move_on_after(JOIN_RESEND_S):
                    await answered.wait()
                await anyio.sleep(self.join_pause_s(had_owner))

    async def renew(self, answered: anyio.Event) -> None:
        """Send one join and apply its answer, unless a later one has been applied."""
        sent_at = self.clock()
        try:
            assignment = await self.join()
        except (StoreUnavailable, StoreRefused) as error:
            log.debug("joining the group failed", error=str(error))
        else:
            self.response_times.record(self.clock() - sent_at)
            async with self.ownership_lock:
                await self.apply_if_newest(assignment, sent_at)
        finally:
            answered.set()

    async def apply_if_newest(self, assignment: Assignment, sent_at: float) -> None:
        """Apply an answer, unless that to a later join or a leave came before it."""
        if sent_at < self.left_at and not self.is_member:
            # The join may have arrived after the leave.
            await self.leave_group()
        elif sent_at >= self.applied_sent_at and not self.stopping and self.is_member:
            self.applied_sent_at = sent_at
            await self.apply(assignment, sent_at)

    async def join(self) -> Assignment:
        """Join the group or renew the membership, for longer if answers are late."""
        with sending_for(Purpose.MEMBERSHIP):
            return await self.store.join(
                self.group_name,
                self.member,
                self.topic,
                self.membership_s(),
                self.generation,
                anyio.current_time() + JOIN_TIMEOUT_S,
            )

    def membership_s(self) -> float:
        """Return for how long the next join asks the group to keep this member."""
        answer_s = self.response_times.timeout_s(0.0, LONGEST_TTL_S)
        ttl_s = max(self.ttl_s, min(MEMBERSHIP_ANSWERS * answer_s, LONGEST_TTL_S))
        if self.is_taking_over():
            ttl_s = max(ttl_s, TAKEOVER_TTL_S * self.takeover_factor)
        return ttl_s

    def is_taking_over(self) -> bool:
        """Return whether this node has the cell but has not loaded its state yet."""
        owner = self.owner
        return owner is not None and not owner.loaded and not owner.stopped.is_set()

    def join_pause_s(self, had_owner: bool) -> float:
        """Return the pause before the next join, in seconds.

        A node that begins to take over extends its membership at once.
        """
        if self.owner is None and self.is_starting():
            return STARTUP_JOIN_PERIOD_S
        if self.is_taking_over() and not had_owner:
            return 0.0
        return JOIN_PERIOD_S

    async def apply(self, assignment: Assignment, sent_at: float) -> None:
        """Start or stop the owner as assigned; ``sent_at`` is in ``clock`` time."""
        generation_unchanged = assignment.generation == self.generation
        self.generation = assignment.generation
        is_assigned = self.cell in assignment.partitions
        self.adjust_takeover_factor(is_assigned)
        if self.owner is not None and self.owner.stopped.is_set():
            self.owner = None
        if not is_assigned:
            await self.stop_owner("assigned to another node")
            return
        self.confirmed_at = sent_at
        if self.owner is not None and not generation_unchanged:
            # The cell may have been assigned to another node in between, which has
            # fenced the log and accepted jobs. An idle owner would not notice.
            self.owner.confirm()
        if self.owner is None and (generation_unchanged or not self.is_starting()):
            self.owner = self.make_owner(self.next_fence(assignment.generation))
            self.owner_scope = anyio.CancelScope()
            self.group.start_soon(self.run_owner, self.owner, self.owner_scope)

    def adjust_takeover_factor(self, is_assigned: bool) -> None:
        """Grant the next takeover more time if the group has undone this one."""
        if self.active_owner() is not None:
            self.takeover_factor = 1
        elif self.is_taking_over() and not is_assigned:
            self.takeover_factor = min(2 * self.takeover_factor, MAX_TAKEOVER_FACTOR)

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

    async def run_owner(self, owner: CellOwner, scope: anyio.CancelScope) -> None:
        """Run an owner until it is stopped or loses the cell."""
        with scope:
            await owner.run()

    async def stop_owner(self, reason: str) -> None:
        """Stop the owner and wait for its end, before the cell can be reassigned."""
        owner = self.owner
        if owner is None:
            return
        log.info("cell abandoned", cell=self.cell, reason=reason)
        self.owner_scope.cancel()
        await owner.stopped.wait()
        self.owner = None

    async def stop_superseded(self, fence: int) -> None:
        """Stop the owner if another one has fenced it under a higher fence number.

        As long as this node answers as the owner, it votes for no other one.
        """
        owner = self.owner
        if owner is None or owner.fence >= fence:
            return
        async with self.ownership_lock:
            if self.owner is owner:
                await self.stop_owner("a later owner has announced itself")

    async def resign(self) -> None:
        """Stop the owner and leave the group while the node is not a candidate."""
        async with self.ownership_lock:
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
        async with self.ownership_lock:
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
            self.left_at = self.applied_sent_at = self.clock()
