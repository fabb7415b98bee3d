"""The channel from a node to the owner of the cell."""

from collections.abc import Callable
from typing import Any

import anyio

from gypsumring.cell.messages import (
    Announce,
    Hello,
    Ping,
    Pong,
    ReportOwner,
    VoteMessage,
    decoder,
)
from gypsumring.metrics import Metrics
from gypsumring.node.failure_detection import OwnerReports, OwnerTerm
from gypsumring.node.membership import Member
from gypsumring.node.node_calls import (
    CONNECT_TIMEOUT_S,
    Connect,
    Handler,
    NodeCalls,
)
from gypsumring.node.owner_directory import OwnerDirectory
from gypsumring.node.owner_reports import ReportSender
from gypsumring.node.version_exchange import VersionExchange
from gypsumring.ports.store import Store
from gypsumring.transport import (
    Channel,
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
    ResponseTimes,
)
from gypsumring.utils.logs import EventLogger

__all__ = ["OwnerLink"]

log = EventLogger("link")

PING_PERIOD_S = 0.15
# Period of the announcements to voters that have not answered this owner.
VOTER_ANNOUNCEMENT_PERIOD_S = 0.5
# A ping to the owner is overdue after a time between these, according to how long the
# owner takes to answer, and how long a takeover takes.
SHORTEST_PING_TIMEOUT_S = 0.2
LONGEST_PING_TIMEOUT_S = 0.8
HELLO_TIMEOUT_S = 0.25
# An owner whose answer is overdue, and whose machine accepts connections, has as much
# time to answer as another node would need to read the cell, up to this time.
LONGEST_HELLO_TIMEOUT_S = 2.0
# A node that takes over the cell may be slow to answer while it reads the records.
TAKEOVER_ANSWER_TIMEOUT_S = 2.0
# How often a node that waits for a takeover looks the owner up, and how often it checks
# whether it has taken over itself.
TAKEOVER_LOOKUP_PERIOD_S = 0.3
TAKEOVER_POLL_S = 0.1
# Pauses between successive attempts to find or reach an owner.
SHORTEST_PAUSE_S = 0.06
LONGEST_PAUSE_S = 0.5
PAUSE_GROWTH = 1.5


class OwnerLink:
    """Channel to the current owner of the cell, verified by periodic pings."""

    __slots__ = (
        "announced",
        "announced_address",
        "calls",
        "channel",
        "data_centre",
        "directory",
        "fence",
        "has_announced",
        "has_linked",
        "last_linked_at",
        "linked_since",
        "list_missing_voters",
        "list_peers",
        "lost_address",
        "member",
        "metrics",
        "next_announcement_at",
        "nodes_version",
        "on_ping_answer",
        "own_fence",
        "owner_address",
        "owner_changed",
        "owner_sent_at",
        "promised_fence",
        "report_sender",
        "reports",
        "response_times",
        "size",
        "takeover_s",
        "term",
        "versions",
    )

    def __init__(
        self,
        store: Store,
        group_name: str,
        cell: int,
        member: Member,
        own_fence: Callable[[], int | None],
        handler: Handler,
        connect: Connect = Channel.connect,
        size: int = 0,
        data_centre: str = "",
        metrics: Metrics | None = None,
        list_peers: Callable[[], dict[str, Channel]] = dict,
        list_missing_voters: Callable[[], dict[str, str]] = dict,
        on_ping_answer: Callable[[float, float, float], None] = lambda *_: None,
        versions: VersionExchange | None = None,
    ):
        self.metrics = metrics or Metrics()
        self.member = member
        # Returns the fence number of this node while it owns the cell, else None.
        self.own_fence = own_fence
        # Returns the channels that other nodes have opened to this one, by node name.
        self.list_peers = list_peers
        # Returns the addresses of voters of earlier owners that have not answered this
        # owner, by node name.
        self.list_missing_voters = list_missing_voters
        # Called when the linked owner has answered a ping, with the time at which the
        # ping was sent, the seconds that the answer took, and those that it had.
        self.on_ping_answer = on_ping_answer
        # What pings tell of the versions of the desired state.
        self.versions = versions
        self.next_announcement_at = 0.0
        self.calls = NodeCalls(connect, handler, self.metrics)
        self.directory = OwnerDirectory(
            store, group_name, cell, member, self.calls, self.metrics
        )
        # Size of this machine, 0 once the node is stopping.
        self.size = size
        self.data_centre = data_centre
        self.channel: Channel | None = None
        self.owner_changed = anyio.Event()
        self.last_linked_at = anyio.current_time()
        # Whether this process has been linked to an owner or has owned the cell.
        self.has_linked = False
        # Time since which the owner at ``owner_address`` has responded.
        self.linked_since = 0.0
        self.nodes_version = 0
        # Address of the linked owner.
        self.owner_address = ""
        # Address of an owner whose answer is overdue and that is tried once more before
        # it is looked up: messages may be late while the store does not answer.
        self.lost_address = ""
        # Highest fence number of an owner seen so far; address that an owner announced
        # and that has not been tried yet.
        self.fence = 0
        # Fence number under which this node has begun to take over.
        self.promised_fence = 0
        # ``sent_at`` of the newest answer on the channel to the owner.
        self.owner_sent_at: float | None = None
        self.announced_address = ""
        self.announced = anyio.Event()
        # Whether this node has announced its ownership to the other nodes.
        self.has_announced = False
        # Term of the owner that this node was linked to last.
        self.term: OwnerTerm | None = None
        # How long a takeover takes, as the owner has said last.
        self.takeover_s = 0.0
        self.response_times = ResponseTimes()
        # Reports of other nodes that do not reach the owner.
        self.reports = OwnerReports()
        self.report_sender = ReportSender(member.node, self.calls, self.record_report)

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the owner."""
        self.owner_changed.set()
        self.owner_changed = anyio.Event()

    async def run(self) -> None:
        """Find the owner and keep a channel to it until cancelled."""
        pause_s = SHORTEST_PAUSE_S
        while True:
            fence = self.own_fence()
            if fence is not None:
                await self.announce_ownership(fence)
                continue
            self.has_announced = False
            began_at = anyio.current_time()
            address = await self.find_owner()
            if address is not None:
                await self.try_follow(address)
            if self.last_linked_at > began_at:
                pause_s = SHORTEST_PAUSE_S
            if not (self.announced_address or self.lost_address):
                await self.wait_for_announcement(pause_s)
            pause_s = min(PAUSE_GROWTH * pause_s, LONGEST_PAUSE_S)

    async def withdraw(self) -> None:
        """Notify the owner that this node is no longer a candidate for ownership."""
        self.size = 0
        if self.channel is None:
            return
        hello = self.make_hello()
        try:
            await self.channel.call(hello, anyio.current_time() + HELLO_TIMEOUT_S)
        except ChannelClosed as error:
            log.debug("owner could not be notified of the withdrawal", error=str(error))

    def make_hello(self) -> Hello:
        """Return the first message on a channel to an owner."""
        member = self.member
        return Hello(
            member.node, member.address, self.size, member.incarnation, self.data_centre
        )

    async def announce_ownership(self, fence: int) -> None:
        """Announce once that this node owns the cell, then wait one ping period."""
        self.lost_address = ""
        self.last_linked_at = anyio.current_time()
        self.has_linked = True
        self.fence = max(self.fence, fence)
        self.notify()
        if not self.has_announced:
            # Nodes that wait for an unresponsive owner would otherwise find the new one
            # only after a timeout.
            self.has_announced = True
            await self.announce_to_all(Announce(self.member.address, fence))
        await self.announce_to_voters(Announce(self.member.address, fence))
        await anyio.sleep(PING_PERIOD_S)

    async def announce_to_all(self, message: Announce) -> None:
        """Announce the ownership to all recorded nodes.

        Nodes that wait for this takeover have opened a channel already.
        """
        channels = self.list_peers()
        addresses = [
            address
            for name, address in self.directory.list_other_nodes().items()
            if name not in channels
        ]
        async with anyio.create_task_group() as group:
            for channel in channels.values():
                group.start_soon(announce_over, channel, message)
            group.start_soon(self.calls.call_all, addresses, message)

    async def announce_to_voters(self, message: Announce) -> None:
        """Announce the ownership again to voters that may follow an earlier owner."""
        now = anyio.current_time()
        if now < self.next_announcement_at:
            return
        self.next_announcement_at = now + VOTER_ANNOUNCEMENT_PERIOD_S
        addresses = list(self.list_missing_voters().values())
        await self.calls.call_all(addresses, message)

    async def find_owner(self) -> str | None:
        """Return the announced or lost address of the owner, or else look it up."""
        announced_address, self.announced_address = self.announced_address, ""
        lost_address, self.lost_address = self.lost_address, ""
        return announced_address or lost_address or await self.look_up()

    async def look_up(self) -> str | None:
        """Return the address of the owner, None if there is none or it is this node."""
        return await self.directory.look_up(self.fence)

    def highest_fence(self) -> int:
        """Return the highest fence number of an owner that this process has seen."""
        return max(self.fence, self.promised_fence)

    def make_vote(self) -> VoteMessage | None:
        """Return the vote for the owner on the channel, None before it has answered."""
        if self.owner_sent_at is None:
            return None
        return VoteMessage(
            self.member.node,
            self.member.incarnation,
            self.highest_fence(),
            self.owner_sent_at,
        )

    async def record_announced_owner(self, message: Announce) -> None:
        """Switch to an owner that has announced itself, unless its fence is stale."""
        if message.fence <= self.fence:
            return
        self.fence = message.fence
        self.announced_address = message.owner_address
        self.announced.set()
        self.announced = anyio.Event()
        if self.channel is not None and self.owner_address != self.announced_address:
            await self.channel.aclose()

    async def wait_for_announcement(self, seconds: float) -> None:
        """Wait until an owner announces itself, at most for a time."""
        with anyio.move_on_after(seconds):
            await self.announced.wait()

    async def report_owner(self, address: str) -> None:
        """Report an owner that does not answer to the monitors, if it has served."""
        now = anyio.current_time()
        term = self.term
        if term is None:
            return
        if not term.is_reportable(address, self.fence, self.last_linked_at):
            return
        others = self.directory.list_other_nodes(without=address)
        message = ReportOwner(self.member.node, address, term.fence, len(others) + 1)
        self.metrics.count("link.owners_reported")
        monitors = await self.report_sender.send(message, others)
        log.info(
            "owner reported",
            owner=address,
            fence=term.fence,
            unanswered_s=round(now - self.last_linked_at, 3),
            monitors=monitors,
        )

    async def record_report(self, message: ReportOwner) -> None:
        """Record, as a monitor, that a node gets no answer from the owner.

        Remove the owner once a majority of the nodes has reported it, unless this node
        is linked to it.
        """
        if message.fence < self.fence:
            return
        now = anyio.current_time()
        address = message.owner_address
        self.reports.record(
            message.node, address, message.fence, now, self.owner_answer_s()
        )
        if self.owner_address == address:
            return
        known_count = len(self.directory.list_other_nodes(without=address)) + 1
        if not self.reports.is_confirmed(max(message.node_count, known_count), now):
            return
        self.reports.clear()
        if await self.look_up() == address:
            await self.directory.remove_owner(
                address, "reported by a majority", self.fence
            )

    async def try_follow(self, address: str) -> None:
        """Follow the owner at an address; report or remove it if it does not answer."""
        try:
            has_answered = await self.follow(address)
        except ConnectRefused:
            # A refused connection proves that the owner's process has ended.
            await self.directory.remove_owner(address, "connection refused", self.fence)
            return
        except ConnectFailed as error:
            log.debug("owner not reached", error=str(error))
            has_answered = False
        if not has_answered:
            await self.report_owner(address)

    async def follow(self, address: str) -> bool:
        """Keep a channel to a node while it owns the cell or takes it over.

        Return whether it has responded, or is not the owner any more.
        """
        has_answered = True
        failure: ConnectFailed | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self.stop_if_reassigned, address, group.cancel_scope)
            try:
                has_answered = await self.open_and_verify(address)
            except ConnectFailed as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return has_answered

    async def stop_if_reassigned(self, address: str, scope: anyio.CancelScope) -> None:
        """Stop following a node that does not own the cell once another may do so."""
        lookup_at = anyio.current_time() + TAKEOVER_LOOKUP_PERIOD_S
        while self.owner_address != address:
            await self.wait_for_announcement(TAKEOVER_POLL_S)
            if self.owner_address == address:
                return
            is_other_announced = self.announced_address not in ("", address)
            if is_other_announced or self.own_fence() is not None:
                break
            if anyio.current_time() >= lookup_at:
                if await self.look_up() != address:
                    break
                lookup_at = anyio.current_time() + TAKEOVER_LOOKUP_PERIOD_S
        else:
            return
        scope.cancel()

    async def open_and_verify(self, address: str) -> bool:
        """Open a channel to a node and verify it by pings until it fails.

        Return whether the node has responded at all.
        """
        has_answered = False
        connect_s = CONNECT_TIMEOUT_S
        hello_s = self.response_times.timeout_s(HELLO_TIMEOUT_S, LONGEST_PING_TIMEOUT_S)
        is_known = self.term is not None and self.term.address == address
        if is_known:
            hello_s = max(hello_s, self.owner_answer_s())
        else:
            connect_s = hello_s = TAKEOVER_ANSWER_TIMEOUT_S
        self.metrics.count("link.connections_to_owners")
        deadline = anyio.current_time() + connect_s
        channel = await self.calls.connect(
            address, decoder, self.calls.handler, deadline
        )
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run)
            hello = self.make_hello()
            self.owner_sent_at = None
            try:
                pong = await self.call_owner(channel, hello, hello_s, is_known)
                self.owner_sent_at = pong.sent_at if isinstance(pong, Pong) else None
                has_answered = True
                while await self.is_owner_or_candidate(channel, address):
                    await self.wait_for_announcement(PING_PERIOD_S)
            except ChannelClosed as error:
                log.debug("channel ended", owner=address, error=str(error))
            finally:
                if self.channel is channel:
                    self.record_lost_link(address)
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
                group.cancel_scope.cancel()
        return has_answered

    def shortest_patience_s(self) -> float:
        """Return how long to wait for an answer before all nodes open new channels."""
        return min(self.takeover_s, LONGEST_PING_TIMEOUT_S)

    def owner_answer_s(self) -> float:
        """Return how long an owner has to answer at least, by what a takeover takes."""
        return min(self.takeover_s, LONGEST_HELLO_TIMEOUT_S)

    async def is_owner_or_candidate(self, channel: Channel, address: str) -> bool:
        """Ping a peer; return whether it owns the cell or may still take it over."""
        if self.own_fence() is not None:
            return False
        is_linked = self.channel is channel
        timeout_s = TAKEOVER_ANSWER_TIMEOUT_S
        if is_linked:
            timeout_s = self.response_times.timeout_s(
                max(SHORTEST_PING_TIMEOUT_S, self.shortest_patience_s()),
                LONGEST_PING_TIMEOUT_S,
            )
        desired_version = 0 if self.versions is None else self.versions.newest_known()
        ping = Ping(self.nodes_version, self.make_vote(), desired_version)
        pong = await self.call_owner(channel, ping, timeout_s, is_linked)
        if not isinstance(pong, Pong):
            return False
        self.owner_sent_at = pong.sent_at
        if self.versions is not None:
            self.versions.record(pong.desired_version, channel)
        if not pong.owns:
            if self.term is not None and self.term.address == address:
                # The node may take over again, which is another term.
                self.term = None
            return not is_linked
        self.record_owner(channel, address, pong)
        return True

    async def call_owner(
        self, channel: Channel, message: Ping | Hello, timeout_s: float, is_known: bool
    ) -> Any:
        """Call a node that owns the cell, or may; raise ChannelClosed if it is late.

        The response times of a known owner are recorded. One whose answer is overdue
        has taken at least that long.
        """
        sent_at = anyio.current_time()
        try:
            answer = await channel.call(message, sent_at + timeout_s)
        except ChannelClosed:
            is_overdue = anyio.current_time() >= sent_at + timeout_s
            if is_known and is_overdue:
                self.response_times.record(timeout_s)
            if self.channel is channel and is_overdue:
                self.lost_address = self.owner_address
            raise
        if is_known:
            self.response_times.record(anyio.current_time() - sent_at)
        if self.channel is channel:
            self.on_ping_answer(sent_at, anyio.current_time() - sent_at, timeout_s)
        return answer

    def record_owner(self, channel: Channel, address: str, pong: Pong) -> None:
        """Record the answer of the owner of the cell."""
        now = anyio.current_time()
        self.last_linked_at = now
        self.has_linked = True
        self.fence = max(self.fence, pong.fence)
        self.takeover_s = pong.takeover_s
        if pong.nodes is not None:
            self.directory.replace_nodes(pong.nodes, address)
            self.nodes_version = pong.nodes_version
        term = self.term
        if term is None or (term.address, term.fence) != (address, pong.fence):
            self.term = OwnerTerm(address, pong.fence, now)
        if self.channel is not channel:
            self.channel = channel
            self.owner_address = address
            self.linked_since = now
            if self.announced_address == address:
                self.announced_address = ""
            log.info("linked to the owner", fence=pong.fence)
            self.notify()

    def record_lost_link(self, address: str) -> None:
        """Record that the linked owner does not respond or own the cell any more."""
        self.channel = None
        self.owner_address = ""
        now = anyio.current_time()
        log.info(
            "owner lost",
            owner=address,
            fence=self.fence,
            linked_s=round(now - self.linked_since, 3),
            unanswered_s=round(now - self.last_linked_at, 3),
        )


async def announce_over(channel: Channel, message: Announce) -> None:
    """Announce the ownership over a channel that another node has opened."""
    try:
        await channel.call(message, anyio.current_time() + HELLO_TIMEOUT_S)
    except ChannelClosed as error:
        log.debug("node did not answer", node=channel.peer, error=str(error))
