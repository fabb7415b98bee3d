"""Node that forwards commands to the owner of the cell, or owns the cell itself."""

import functools
import uuid
from collections.abc import Callable
from typing import Any

import anyio

from gypsumring.cell import CellOwner
from gypsumring.cell.account_metrics import ACCOUNT_GAUGES
from gypsumring.cell.authority import Peers
from gypsumring.cell.messages import (
    Announce,
    AskPolicy,
    CancelJob,
    Command,
    CountWaiting,
    Hello,
    JobAnswer,
    Outcome,
    Ping,
    PolicyAnswer,
    Pong,
    QueryJob,
    ReadVersion,
    RelayCall,
    ReportOwner,
    SubmitJob,
    decoder,
)
from gypsumring.cell.state import CellTiming
from gypsumring.cell.voters import Voter, VoteRegister
from gypsumring.door import DoorLimits
from gypsumring.metrics import Metrics
from gypsumring.node.candidacy import Candidacy
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.node.forwarding import Forwarder
from gypsumring.node.link import OwnerLink
from gypsumring.node.membership import Member, Membership
from gypsumring.node.node_table import NodeTable
from gypsumring.node.relay import StoreRelay
from gypsumring.node.version_exchange import VersionExchange
from gypsumring.platform import (
    DESIRED_STATE_KEY,
    DESIRED_STATE_TOPIC,
    EXECUTORS_TOPIC,
    PlatformExecutor,
    decode_desired_state,
    decode_executor_entry,
)
from gypsumring.ports.store import Store
from gypsumring.ports.tasks import PolicyBusy, PolicyService, PolicyUnavailable
from gypsumring.settings.node import NodeSettings
from gypsumring.transport import (
    Channel,
    ChannelClosed,
    ChannelLimits,
    LinkTraffic,
    RelayedClient,
    serve_channels,
)
from gypsumring.transport.traffic import MAX_BULK_BACKLOG_S
from gypsumring.utils.clock import Clock, suspend_aware_time, unix_ms
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import keep_running

__all__ = ["Node"]

log = EventLogger("node")

GROUP = "cells"
CELL_TOPIC = "keyed.cells"
NODES_TOPIC = "keyed.nodes"
MIN_MEMBERSHIP_S = 1.0
GAUGE_PERIOD_S = 1.0
# The table of nodes is not sent while the queue at the link is longer than this, which
# is more than bulk leaves there, unless the node has none.
MAX_TABLE_BACKLOG_S = 2 * MAX_BULK_BACKLOG_S
# Upper limit of the time for a takeover that is sent to other nodes.
MAX_TAKEOVER_S = 3600.0
# A timer that fires later than this is logged: the process gets too little of its core.
LATE_TIMER_S = 0.1
# A node without a link to an owner for this time reports that it is not ready.
UNREADY_AFTER_UNLINKED_S = 2.5
# Time reserved for a takeover by another node before a stopping node answers its last
# callers.
TAKEOVER_S = 1.5


class Node:
    """Member of the group of nodes; forwards commands to the owner of the cell."""

    __slots__ = (
        "candidacy",
        "cell",
        "clock",
        "desired",
        "forwarder",
        "link",
        "membership",
        "metrics",
        "node_table",
        "peer_sizes",
        "peer_voters",
        "peers",
        "policy",
        "relay",
        "settings",
        "stopping",
        "store",
        "traffic",
        "versions",
        "voter",
        "votes",
    )

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        policy: PolicyService | None,
        metrics: Metrics,
        store_path: RelayedClient,
        clock: Clock = suspend_aware_time,
        traffic: LinkTraffic | None = None,
    ):
        self.traffic = traffic or LinkTraffic(metrics)
        # Includes the time while the process or the machine is suspended.
        self.clock = clock
        self.settings = settings
        # A node that joins takes the lowest partitions from members with several, so
        # the last partition is the one that stays with its owner.
        self.cell = settings.store.partitions - 1
        self.store = store
        self.policy = policy
        self.metrics = metrics
        self.stopping = False
        # Channels that other nodes have opened to this node, by node name.
        self.peers: dict[str, Channel] = {}
        self.node_table = NodeTable()
        # Machine sizes of those nodes, by node name.
        self.peer_sizes: dict[str, int] = {}
        # Processes of those nodes that vote, by node name.
        self.peer_voters: dict[str, Voter] = {}
        self.votes = VoteRegister()
        self.desired = DesiredStateWatch(
            store,
            DESIRED_STATE_TOPIC,
            DESIRED_STATE_KEY,
            decode_desired_state,
            metrics,
        )
        self.versions = VersionExchange(self.desired, self.traffic, metrics)
        size = settings.processor.size
        incarnation = uuid.uuid4().hex[:8]
        member = Member(settings.node, settings.peer_address, incarnation, size)
        self.voter = Voter(
            settings.node, incarnation, settings.peer_address, settings.data_centre
        )
        self.candidacy = Candidacy(store, NODES_TOPIC, size)
        ttl_s = max(MIN_MEMBERSHIP_S, settings.store.shortest_membership_ms / 1000)
        self.membership = Membership(
            store,
            GROUP,
            CELL_TOPIC,
            self.cell,
            str(member),
            ttl_s,
            self.make_owner,
            clock,
            self.is_candidate,
        )
        self.link = OwnerLink(
            store,
            GROUP,
            self.cell,
            member,
            self.own_fence,
            self.handle,
            functools.partial(Channel.connect, traffic=self.traffic),
            size=size,
            data_centre=settings.data_centre,
            metrics=metrics,
            list_peers=lambda: dict(self.peers),
            list_missing_voters=self.list_missing_voters,
            on_ping_answer=self.record_ping,
            versions=self.versions,
        )
        self.forwarder = Forwarder(self.link, self.execute, metrics)
        self.relay = StoreRelay(store_path, self.list_channels, metrics)

    def record_ping(self, sent_at: float, seconds: float, timeout_s: float) -> None:
        """Record how long the owner took to answer a ping, and how long it had."""
        self.forwarder.record_ping(sent_at, seconds, timeout_s)

    def own_fence(self) -> int | None:
        """Return this node's fence number, or None if it does not own the cell."""
        owner = self.membership.active_owner()
        return None if owner is None else owner.fence

    def is_candidate(self, owns: bool) -> bool:
        """Return whether this node should be in the group."""
        if self.membership.is_taking_over():
            # The smaller members leave the group only once they are linked, and would
            # get the cell if it was handed over before.
            self.candidacy.larger_linked_since = None
            return True
        if owns:
            self.candidacy.record_linked_sizes(list(self.peer_sizes.values()))
        unlinked_s = anyio.current_time() - self.link.last_linked_at
        return self.candidacy.is_candidate(
            owns, unlinked_s, self.link.directory.largest_member
        )

    def list_missing_voters(self) -> dict[str, str]:
        """Return the addresses of voters that may vote for an earlier owner."""
        owner = self.membership.active_owner()
        if owner is None:
            return {}
        missing = owner.authority.list_missing_voters()
        return {voter.node: voter.address for voter in missing if voter.address}

    def may_extend_leases(self) -> bool:
        """Return whether this node, as the owner, may extend leases and start tasks."""
        owner = self.membership.active_owner()
        if owner is None:
            return False
        return owner.authority.may_extend_leases(self.clock())

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this node."""
        if self.stopping or self.desired.current is None or not self.link.has_linked:
            return False
        return (
            anyio.current_time() - self.link.last_linked_at < UNREADY_AFTER_UNLINKED_S
        )

    def make_owner(self, fence: int) -> CellOwner:
        """Return a new owner of the cell with this fence number.

        From now on this node votes for no earlier owner.
        """
        self.link.promised_fence = max(self.link.promised_fence, fence)
        self.node_table.add(self.settings.node, self.settings.peer_address)
        self.node_table.inherit(self.link.directory.addresses)
        return CellOwner(
            self.store,
            CELL_TOPIC,
            self.cell,
            fence,
            self.make_timing(),
            self.desired.get,
            functools.partial(PlatformExecutor, traffic=self.traffic),
            EXECUTORS_TOPIC,
            decode_executor_entry,
            self.list_policy_proxies,
            self.query_policy_proxy,
            self.metrics,
            self.clock,
            unix_ms,
            Peers(
                self.voter,
                self.votes,
                self.link.highest_fence,
                lambda: list(self.peer_voters.values()),
                self.link.directory.knows_other_nodes,
            ),
            self.traffic,
        )

    def apply_settings(self, settings: NodeSettings) -> list[str]:
        """Apply changed bounds; return the changed settings that need a restart."""
        need_restart = [
            name
            for name in ("node", "caller_address", "peer_ports", "store")
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings.bounds = settings.bounds
        self.settings.task_lease_ms = settings.task_lease_ms
        self.settings.preemption = settings.preemption
        owner = self.membership.owner
        if owner is not None:
            owner.apply_timing(self.make_timing())
        return need_restart

    def make_timing(self) -> CellTiming:
        """Return the time limits of the platform and of leases, in seconds."""
        bounds = self.settings.bounds
        return CellTiming(
            bounds.longest_lease_ms / 1000,
            bounds.stop_ms / 1000,
            bounds.status_s,
            self.settings.task_lease_ms / 1000,
            bounds.spread_factor,
            self.settings.preemption,
            bounds.gang_ms / 1000,
        )

    async def run(self) -> None:
        """Run all parts of the node until cancelled."""
        async with anyio.create_task_group() as group:
            for part, run in (
                ("desired state", self.desired.run),
                ("versions of other nodes", self.versions.run),
                ("sizes of machines", self.candidacy.load_sizes),
                ("membership", self.membership.run),
                ("link to the owner", self.link.run),
                ("gauges", self.update_gauges),
                ("peers", self.serve_peers),
            ):
                group.start_soon(keep_running, part, run, self.metrics.count)

    async def serve_peers(self) -> None:
        """Serve the channels of other nodes until cancelled."""
        limits = DoorLimits(self.settings.limits, self.settings.door)
        await serve_channels(
            self.settings.peer_address,
            decoder,
            self.handle,
            lambda channel: None,
            self.remove_peer,
            ChannelLimits(
                limits.peer_channels, limits.opening_bytes, self.metrics.count
            ),
            self.traffic,
        )

    async def update_gauges(self) -> None:
        """Update the gauges periodically until cancelled."""
        while True:
            owner = self.membership.active_owner()
            self.metrics.set_gauge("node.owns_cell", 1 if owner else 0)
            self.metrics.set_gauge("node.ready", 1 if self.is_ready() else 0)
            desired = self.desired.get()
            if desired is not None:
                self.metrics.set_gauge("desired.version", desired.version)
                self.metrics.set_gauge(
                    "desired.unchecked_s", self.desired.unchecked_s()
                )
            # Accounts come and go with versions of the desired state.
            self.metrics.discard_gauges(ACCOUNT_GAUGES)
            if owner is not None:
                for name, value in owner.measure().items():
                    self.metrics.set_gauge(name, value)
            self.log_traffic()
            due_at = anyio.current_time() + GAUGE_PERIOD_S
            await anyio.sleep_until(due_at)
            late_s = anyio.current_time() - due_at
            self.metrics.set_gauge("node.timer_late_s", late_s)
            if late_s > LATE_TIMER_S:
                log.warning("timers are late", late_s=round(late_s, 3))

    def log_traffic(self) -> None:
        """Log what the link has carried in the last period, if it was busy."""
        summary = self.traffic.summarize(GAUGE_PERIOD_S)
        if summary is not None:
            log.info("link is busy", owns=self.own_fence() is not None, **summary)

    async def stop(self, answer_deadline: float) -> None:
        """Become not ready, hand the cell over and answer all callers by a deadline."""
        self.stopping = True
        self.forwarder.answer_by(answer_deadline)
        await self.link.withdraw()
        await self.membership.leave(answer_deadline - TAKEOVER_S)

    def remove_peer(self, channel: Channel) -> None:
        """Discard the entry of a peer whose channel has ended."""
        if self.peers.get(channel.peer) is channel:
            del self.peers[channel.peer]
            del self.peer_sizes[channel.peer]
            self.peer_voters.pop(channel.peer, None)
            self.node_table.remove(channel.peer)

    async def handle(self, channel: Channel, message: Any) -> Any:
        """Return the reply to a message of a peer."""
        match message:
            case Hello(node=node, address=address, size=size):
                self.metrics.count("node.hellos")
                channel.peer = node
                self.peer_sizes[node] = size
                if message.incarnation:
                    self.peer_voters[node] = Voter(
                        node, message.incarnation, address, message.data_centre
                    )
                self.peers[node] = channel
                self.node_table.add(node, address)
                return self.make_pong()
            case Ping(nodes_version=version, vote=vote):
                self.versions.record(message.desired_version, channel)
                if vote is not None:
                    self.votes.record(
                        vote.node, vote.incarnation, vote.fence, vote.answers_sent_at
                    )
                return self.make_pong(version)
            case Announce():
                await self.link.record_announced_owner(message)
                await self.membership.stop_superseded(message.fence)
                return self.make_pong()
            case ReportOwner():
                await self.link.record_report(message)
                return self.make_pong()
            case ReadVersion():
                return await self.versions.serve(message)
            case AskPolicy():
                return await self.answer_policy(message)
            case RelayCall():
                return await self.relay.serve(message)
            case SubmitJob() | QueryJob() | CancelJob() | CountWaiting():
                return await self.execute(message)
        log.warning("unexpected message", kind=type(message).__name__)
        return None

    def make_pong(self, known_version: int | None = None) -> Pong:
        """Return a reply that states the owner and, if they differ, its table of nodes.

        Tables are sent to all nodes at about the same time. While the link has a queue,
        they are left to the answers to later pings.
        """
        owner = self.membership.active_owner()
        if owner is None:
            return Pong(
                False,
                self.link.fence,
                self.link.owner_address,
                sent_at=self.clock(),
                desired_version=self.versions.newest_known(),
            )
        self.node_table.refresh()
        version = self.node_table.version
        is_sent = known_version not in (None, version) and (
            not known_version or self.traffic.backlog_s() <= MAX_TABLE_BACKLOG_S
        )
        return Pong(
            True,
            owner.fence,
            self.settings.peer_address,
            version,
            self.node_table.published if is_sent else None,
            self.clock(),
            min(owner.state.journal.read_s(), MAX_TAKEOVER_S),
            self.versions.newest_known(),
        )

    async def execute(self, message: Command) -> JobAnswer:
        """Execute a command if this node owns the cell."""
        owner = self.membership.active_owner()
        if owner is None:
            return JobAnswer(Outcome.NOT_OWNER)
        outcome = owner.commands.check_version(message)
        if outcome is not Outcome.OK:
            self.metrics.count(f"node.refused.{outcome}_any_more")
            log.info(
                "command refused",
                queue=message.queue_name,
                reason=outcome.value,
                version=self.desired.version(),
                received_by=message.version,
            )
            return JobAnswer(outcome)
        fresh = self.membership.is_recently_confirmed()
        match message:
            case QueryJob(job_id=job_id, account=account):
                return owner.commands.query(job_id, fresh, account)
            case CountWaiting(queue_name=queue_name):
                return owner.commands.count_waiting(queue_name)
            case SubmitJob(spec=spec, time_limit_s=time_limit_s, queue=queue):
                return await run_until_stopped(
                    owner, lambda: owner.commands.submit(spec, time_limit_s, queue)
                )
            case CancelJob(job_id=job_id, time_limit_s=time_limit_s, account=account):
                return await run_until_stopped(
                    owner,
                    lambda: owner.commands.cancel(job_id, time_limit_s, fresh, account),
                )

    def is_behind(self) -> bool:
        """Return whether another node has a newer version of the desired state."""
        return self.versions.is_behind()

    async def forward(self, message: Command, deadline: float) -> JobAnswer:
        """Forward a command to the current owner of the cell."""
        return await self.forwarder.forward(message, deadline)

    def list_channels(self) -> list[Channel]:
        """Return the channels to other nodes, starting with the owner's."""
        channels = [] if self.link.channel is None else [self.link.channel]
        return [*channels, *self.peers.values()]

    def list_policy_proxies(self) -> list[str]:
        """Return the names of the nodes that can act as policy proxy."""
        return [self.settings.node, *self.peers]

    async def query_policy_proxy(
        self, name: str, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Query the policy service through a node.

        Raise PolicyUnavailable if the node or the service does not answer.
        """
        timeout_s = deadline - anyio.current_time()
        request = AskPolicy(step, executor_ids, timeout_s)
        channel = self.peers.get(name)
        if name == self.settings.node:
            answer = await self.answer_policy(request)
        elif channel is None:
            raise PolicyUnavailable(f"node {name} is not connected")
        else:
            try:
                answer = await channel.call(request, deadline)
            except ChannelClosed as error:
                raise PolicyUnavailable(str(error)) from error
        if not isinstance(answer, PolicyAnswer) or answer.failed:
            raise PolicyUnavailable(f"no policy answer through node {name}")
        return answer.rows

    async def answer_policy(self, request: AskPolicy) -> PolicyAnswer:
        """Call the policy service from this node as policy proxy."""
        if self.policy is None:
            return PolicyAnswer(True)
        deadline = anyio.current_time() + request.timeout_s
        try:
            rows = await self.policy.advise(
                request.step, request.executor_ids, deadline
            )
        except (PolicyUnavailable, PolicyBusy) as error:
            log.info("policy service call failed", step=request.step, error=str(error))
            return PolicyAnswer(True)
        return PolicyAnswer(False, rows)


async def run_until_stopped(owner: CellOwner, command: Callable[[], Any]) -> JobAnswer:
    """Return a command's answer, or INTERRUPTED if the owner stops first."""
    answer = JobAnswer(Outcome.INTERRUPTED)
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            await owner.stopped.wait()
            group.cancel_scope.cancel()

        group.start_soon(watch)
        answer = await command()
        group.cancel_scope.cancel()
    return answer
