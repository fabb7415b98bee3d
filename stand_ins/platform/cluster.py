"""Cluster of nodes that share one cell on the in-process platform."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import anyio.abc

from gypsumring.cell import CellOwner
from gypsumring.cell.authority import Peers
from gypsumring.cell.messages import JobAnswer, Outcome
from gypsumring.cell.state import CellTiming
from gypsumring.cell.voters import Voter, VoteRegister
from gypsumring.metrics import Metrics
from gypsumring.node.failure_detection import OwnerReports, OwnerTerm
from gypsumring.node.link import LONGEST_PING_TIMEOUT_S
from gypsumring.node.membership import Membership
from gypsumring.node.owner_directory import LOOKUP_TIMEOUT_S
from gypsumring.pipelines import (
    DesiredState,
    JobPhase,
    PipelineSpec,
    PolicyTiming,
    Queue,
    StepSpec,
    encode,
)
from gypsumring.platform import decode_executor_entry
from gypsumring.ports.store import StoreRefused, StoreUnavailable
from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable, TaskExecutor
from gypsumring.transport import LinkTraffic, Purpose
from gypsumring.transport.traffic import BYTES_PER_S_PER_MBPS
from stand_ins.platform.entries import encode_entry
from stand_ins.platform.executor import ExecutorModel, TaskRun
from stand_ins.platform.faults import Faults
from stand_ins.platform.links import Connections, LinkModel
from stand_ins.platform.memory import (
    ENTRIES_TOPIC,
    MemoryExecutor,
    MemoryPolicy,
    MemoryStore,
    measure_advice,
    measure_advice_answer,
)
from stand_ins.platform.peers import Cut, Partition, PeerNetwork
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World

__all__ = ["MemoryCluster", "MemoryNode", "make_job"]

CELL_TOPIC = "cells"
GROUP = "cells"
QUEUE = "batch"
MEMBERSHIP_TTL_S = 1.0
RETRY_INTERVAL_S = 0.05
PING_PERIOD_S = 0.15
PING_TIMEOUT_S = 0.5
# An executor that a task has crashed starts again after this time.
RESTART_S = 2.0
# Sizes of messages between nodes on the wire, in bytes.
PING_BYTES, PONG_BYTES = 90, 80
# Size of a command beside the specification of a job, and of its answer.
COMMAND_BYTES, ANSWER_BYTES = 100, 100
# Callers of a cell whose links are modelled wait for so long for the state of a job.
QUERY_TIMEOUT_S = 3.0

# Address of an executor that has not moved; another one answers at any other address.
EXECUTOR_ADDRESS = "memory:1"


def make_job(job_id: str, *steps: StepSpec, queue: str = QUEUE) -> PipelineSpec:
    """Return a job with the given steps, or with one small step by default."""
    return PipelineSpec(
        job_id=job_id,
        queue=queue,
        service="svc",
        accepted_ms=0,
        payload="",
        steps=steps or (StepSpec(task_count=1, cpu_millis=1000, estimated_ms=500),),
    )


class PingAnswer:
    """Answer of an owner to a ping, once it has arrived."""

    __slots__ = ("received", "sent_at")

    def __init__(self):
        self.received = anyio.Event()
        self.sent_at: float | None = None


class MemoryNode:
    """Node with its ports to the platform and its membership in the cell's group.

    A node that does not own the cell follows the owner with the highest fence number
    that it reaches, and votes for it.
    """

    __slots__ = (
        "cluster",
        "faults",
        "followers",
        "highest_fence",
        "killed",
        "last_answer_at",
        "link",
        "membership",
        "name",
        "pause",
        "policy",
        "process",
        "scope",
        "store",
        "traffic",
        "voter",
        "votes",
    )

    def __init__(self, cluster: "MemoryCluster", name: str):
        self.cluster = cluster
        self.name = name
        self.faults = Faults(cluster.random_source, name, cluster.peers.partitions)
        # Messages and commands wait while the process is paused.
        self.pause = Cut()
        # What ``register_process`` of the cluster has returned for this process.
        self.process: Any = None
        # Without a rate, the links of the nodes are not modelled.
        self.link: LinkModel | None = None
        if cluster.link_mbps is not None:
            self.link = LinkModel(cluster.link_mbps * BYTES_PER_S_PER_MBPS)
        self.traffic = LinkTraffic(cluster.metrics, cluster.link_mbps)
        self.store = MemoryStore(
            cluster.store, self.faults, cluster.group, self.make_connections()
        )
        self.policy = None
        if cluster.policy is not None:
            self.policy = MemoryPolicy(
                cluster.policy, self.faults, self.make_connections()
            )
        self.killed = anyio.Event()
        self.scope = anyio.CancelScope()
        cluster.node_start_count += 1
        member = f"{name}/{cluster.node_start_count}"
        self.voter = Voter(name, str(cluster.node_start_count))
        self.votes = VoteRegister()
        # Processes that have sent pings, by node name.
        self.followers: dict[str, Voter] = {}
        self.highest_fence = 0
        # When the owner has sent the last answer to a ping.
        self.last_answer_at = float("-inf")
        self.membership = Membership(
            self.store,
            GROUP,
            CELL_TOPIC,
            0,
            member,
            MEMBERSHIP_TTL_S,
            self.make_owner,
        )

    def make_connections(self) -> Connections | None:
        """Return the connections of one more client, if the link is modelled."""
        if self.link is None:
            return None
        return Connections(self.link, self.traffic, self.cluster.group)

    async def send(self, size: int, purpose: Purpose) -> None:
        """Send a message to another node, as far as the link of this one."""
        if self.link is not None:
            self.traffic.record_sent(size, purpose)
            await self.link.send(size)

    async def receive(self, size: int, purpose: Purpose) -> None:
        """Receive a message of another node or a caller over the link of this one."""
        if self.link is not None:
            await self.link.receive(size)
            self.traffic.record_received(size, purpose)

    async def answer(
        self,
        command: Callable[[], Awaitable[JobAnswer]],
        size: int,
        deadline: float,
    ) -> JobAnswer:
        """Carry out a command of a caller that comes and is answered over the link.

        The caller gives up at the deadline.
        """
        if self.link is None:
            return await command()
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            await self.receive(size, Purpose.COMMANDS)
            answer = await command()
            await self.send(ANSWER_BYTES, Purpose.COMMANDS)
            return answer
        return JobAnswer(Outcome.UNCERTAIN)

    def make_owner(self, fence: int) -> CellOwner:
        """Return an owner of the cell that runs on this node."""
        self.highest_fence = max(self.highest_fence, fence)
        return CellOwner(
            self.store,
            CELL_TOPIC,
            0,
            fence,
            CellTiming(10.0, 0.9, 120.0, 5.0, 3.0),
            lambda: self.cluster.desired,
            self.connect,
            ENTRIES_TOPIC,
            decode_executor_entry,
            self.list_policy_proxies,
            self.query_policy_proxy,
            self.cluster.metrics,
            anyio.current_time,
            lambda: int(anyio.current_time() * 1000),
            Peers(
                self.voter,
                self.votes,
                lambda: self.highest_fence,
                lambda: list(self.followers.values()),
                lambda: len(self.cluster.nodes) > 1,
            ),
            self.traffic,
        )

    def find_owner(self) -> "MemoryNode | None":
        """Return the owner with the highest fence number among those it reaches."""
        owners = {
            node.owner().fence: node
            for node in self.cluster.nodes.values()
            if node is not self
            and node.owner() is not None
            and self.cluster.peers.is_open(self.name, node.name)
        }
        return owners[max(owners)] if owners else None

    async def follow_owners(self) -> None:
        """Follow one owner after the other while this node does not own the cell."""
        while True:
            owner_node = None if self.owner() is not None else self.find_owner()
            if owner_node is not None:
                await self.follow(owner_node)
            await anyio.sleep(PING_PERIOD_S)

    async def follow(self, node: "MemoryNode") -> None:
        """Ping an owner until it does not answer or a later one is reached."""
        answers_sent_at: float | None = None
        owner = node.owner()
        timeout_s = PING_TIMEOUT_S if self.link is None else LONGEST_PING_TIMEOUT_S
        while self.owner() is None and self.find_owner() in (None, node):
            answer = PingAnswer()
            self.cluster.group.start_soon(self.ping, node, answers_sent_at, answer)
            with anyio.move_on_after(timeout_s):
                await answer.received.wait()
            if answer.sent_at is None:
                if self.link is not None:
                    await self.report(node, owner)
                return
            answers_sent_at = self.last_answer_at = answer.sent_at
            await anyio.sleep(PING_PERIOD_S)

    async def report(self, node: "MemoryNode", owner: CellOwner) -> None:
        """Report an owner that does not answer; remove it once most nodes have.

        Where links are modelled, owners are removed as by the product. One register
        takes the place of the monitors.
        """
        reports, now = self.cluster.owner_reports, anyio.current_time()
        member = node.membership.member
        term = OwnerTerm(member, owner.fence, owner.state.owned_since)
        if not term.is_reportable(member, self.highest_fence, self.last_answer_at):
            return
        reports.record(self.name, member, owner.fence, now)
        if not reports.is_confirmed(len(self.cluster.nodes) - 1, now):
            return
        reports.clear()
        try:
            await self.store.leave(GROUP, member, now + LOOKUP_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused):
            # The next reports are confirmed again.
            return

    async def ping(
        self, node: "MemoryNode", answers_sent_at: float | None, answer: PingAnswer
    ) -> None:
        """Send one ping with a vote, which may arrive late, and receive its answer."""
        fence = self.highest_fence
        await self.send(PING_BYTES, Purpose.LIVENESS)
        await self.cluster.peers.carry(self.name, node.name)
        await node.receive(PING_BYTES, Purpose.LIVENESS)
        await node.pause.wait_until_open()
        if node.killed.is_set():
            return
        node.followers[self.name] = self.voter
        if answers_sent_at is not None:
            node.votes.record(*self.voter.key, fence, answers_sent_at)
        owner, sent_at = node.owner(), anyio.current_time()
        if owner is None:
            return
        await node.send(PONG_BYTES, Purpose.LIVENESS)
        await self.cluster.peers.carry(node.name, self.name)
        await self.receive(PONG_BYTES, Purpose.LIVENESS)
        await self.pause.wait_until_open()
        if not self.killed.is_set():
            self.highest_fence = max(self.highest_fence, owner.fence)
            answer.sent_at = sent_at
            answer.received.set()

    def connect(self, executor_id: str, address: str) -> TaskExecutor:
        """Return the port to an executor."""
        model = self.cluster.executors[executor_id]
        return MemoryExecutor(
            model,
            self.faults,
            self.cluster.group,
            lambda: self.cluster.find_address(executor_id) == address,
            self.make_connections(),
        )

    async def query_policy_proxy(
        self, name: str, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Query the policy service through a node; raise PolicyUnavailable."""
        if name == self.name:
            return await self.policy.advise(step, executor_ids, deadline)
        node = self.cluster.nodes[name]
        answers = []
        errors = []

        async def query_node() -> None:
            size = measure_advice(executor_ids)
            await self.send(size, Purpose.POLICY)
            await node.receive(size, Purpose.POLICY)
            try:
                rows = await node.policy.advise(step, executor_ids, deadline)
                size = measure_advice_answer(rows)
                await node.send(size, Purpose.POLICY)
                await self.receive(size, Purpose.POLICY)
                answers.append(rows)
            except (PolicyUnavailable, PolicyBusy) as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(query_node)
            await node.killed.wait()
            group.cancel_scope.cancel()
        if answers:
            return answers[0]
        raise PolicyUnavailable(
            str(errors[0]) if errors else f"node {name} has stopped"
        )

    def list_policy_proxies(self) -> list[str]:
        """Return the nodes that can call the policy service, this node first."""
        if not self.cluster.shares_advice:
            return [self.name]
        names = [
            name
            for name, node in self.cluster.nodes.items()
            if node is not self and not node.killed.is_set()
        ]
        return [self.name, *names]

    async def run(self) -> None:
        """Run the membership until the node is killed."""
        self.process = self.cluster.register_process()
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.follow_owners)
                await self.membership.run()
                group.cancel_scope.cancel()

    def kill(self) -> None:
        """Stop the node at once.

        Orders and appends that were already sent may still be carried out.
        """
        self.scope.cancel()
        self.killed.set()

    def owner(self) -> CellOwner | None:
        """Return the owner that answers commands on this node, if there is one."""
        return None if self.scope.cancel_called else self.membership.active_owner()


class MemoryCluster:
    """Nodes and executors that run in one process on the anyio clock."""

    __slots__ = (
        "addresses",
        "departed",
        "desired",
        "executors",
        "group",
        "link_mbps",
        "metrics",
        "node_start_count",
        "nodes",
        "owner_reports",
        "peers",
        "policy",
        "random_source",
        "register_process",
        "restart_s",
        "shares_advice",
        "store",
        "world",
    )

    def __init__(
        self,
        world: World,
        group: anyio.abc.TaskGroup,
        nodes: int = 2,
        executors: int = 4,
        cpu_millis: int = 8_000,
        policy_share: float | None = None,
        seed: int = 0,
        link_mbps: float | None = None,
    ):
        # What the link of each node carries in each direction; None is not modelled.
        self.link_mbps = link_mbps
        self.world = world
        world.schedule_crash = self.schedule_crash
        self.restart_s = RESTART_S
        self.group = group
        # Called by each node in the task of which all its other tasks descend.
        self.register_process: Callable[[], Any] = lambda: None
        self.random_source = random.Random(seed)
        self.metrics = Metrics()
        self.node_start_count = 0
        self.store = StoreModel()
        self.executors: dict[str, ExecutorModel] = {}
        # Addresses of the executors that have moved.
        self.addresses: dict[str, str] = {}
        # Ids of executors that have left permanently.
        self.departed: set[str] = set()
        # Whether an owner also queries the policy service through other nodes.
        self.shares_advice = False
        self.nodes: dict[str, MemoryNode] = {}
        self.peers = PeerNetwork()
        self.owner_reports = OwnerReports()
        self.policy: PolicyModel | None = None
        for number in range(executors):
            clock_drift = (number % 3) * 0.01
            self.add_executor(
                ExecutorModel(world, f"i-{number}", cpu_millis, clock_drift)
            )
        timing = None
        if policy_share is not None:
            timing = PolicyTiming(0.02, 0.001, 2.0)
            self.policy = PolicyModel(list(self.executors.values()), policy_share, 2.0)
        self.desired = DesiredState(
            version=1,
            queues=(
                Queue(
                    name=QUEUE,
                    host="h",
                    path_prefix="/batch/",
                    service="svc",
                    priority=1,
                    max_attempts=world.max_attempts,
                    stretch=2.0,
                    policy=timing,
                ),
            ),
        )
        for number in range(nodes):
            self.add_node(f"n{number}")

    def add_node(self, name: str) -> MemoryNode:
        """Start a node; a previous node of the same name must have been killed."""
        node = MemoryNode(self, name)
        self.nodes[name] = node
        self.group.start_soon(node.run)
        return node

    async def restart_nodes(self, names: list[str], pause_s: float) -> None:
        """Kill nodes, and start after a pause those that nobody else has started."""
        for name in names:
            self.nodes[name].kill()
        await anyio.sleep(pause_s)
        for name in names:
            if self.nodes[name].scope.cancel_called:
                self.add_node(name)

    @contextmanager
    def partitioned(
        self,
        inside: set[str],
        reached: set[str] | None = None,
        cuts_peers: bool = True,
    ) -> Iterator[Partition]:
        """Cut some nodes off from the others; see ``Partition``."""
        partition = Partition(inside, reached, cuts_peers)
        self.peers.begin(partition)
        try:
            yield partition
        finally:
            self.peers.end(partition)

    def isolate(self, name: str, reached: set[str]) -> Callable[[], None]:
        """Cut a node off as in ``partitioned``; return a call that undoes it."""
        partition = Partition({name}, reached)
        self.peers.begin(partition)
        return lambda: self.peers.end(partition)

    def add_executor(self, model: ExecutorModel) -> None:
        """Add an executor to the cluster and register it in the store."""
        self.executors[model.executor_id] = model
        if self.policy is not None and model not in self.policy.executors:
            self.policy.executors.append(model)
        self.register(model)

    def remove_executor(self, model: ExecutorModel) -> None:
        """Crash an executor and delete its entry from the store permanently."""
        model.crash()
        self.departed.add(model.executor_id)
        self.store.append(ENTRIES_TOPIC, 0, [(model.executor_id, b"")], None)

    def schedule_crash(
        self, model: ExecutorModel, run: TaskRun, after_s: float
    ) -> None:
        """Crash an executor after some seconds of a task's work; start it again."""
        if after_s <= 0:
            model.crash()
        self.group.start_soon(self.crash_and_restart, model, run, after_s)

    async def crash_and_restart(
        self, model: ExecutorModel, run: TaskRun, after_s: float
    ) -> None:
        """Crash an executor if the task still runs then, and start it again."""
        if after_s > 0:
            await anyio.sleep(after_s)
            model.advance()
            if model.runs.get((run.task, run.attempt)) is not run:
                return
            model.crash()
        await anyio.sleep(self.restart_s)
        if model.executor_id not in self.departed:
            model.start_incarnation()
            self.register(model)

    def list_staying(self) -> list[ExecutorModel]:
        """Return the executors that have not left."""
        models = self.executors.items()
        return [
            model for executor_id, model in models if executor_id not in self.departed
        ]

    def register(self, model: ExecutorModel, draining: bool = False) -> None:
        """Write the executor's entry to the store, unless the executor has left."""
        if model.executor_id in self.departed:
            return
        value = encode_entry(model, self.find_address(model.executor_id), draining)
        self.store.append(ENTRIES_TOPIC, 0, [(model.executor_id, value)], None)

    def find_address(self, executor_id: str) -> str:
        """Return the address at which an executor answers."""
        return self.addresses.get(executor_id, EXECUTOR_ADDRESS)

    def owner_node(self) -> MemoryNode | None:
        """Return the node whose owner has the highest fence number."""
        rows = [
            (node.owner().fence, name)
            for name, node in self.nodes.items()
            if node.owner() is not None
        ]
        return self.nodes[max(rows)[1]] if rows else None

    async def submit(self, spec: PipelineSpec, limit_s: float = 3.0) -> Outcome:
        """Submit a job with retries, as a caller does, and return the outcome.

        A job is refused only if each attempt was: an owner that stops may have stored
        it.
        """
        self.world.jobs[spec.job_id] = spec
        # The node that receives a request knows its queue.
        queue = self.desired.find_queue(spec.queue)
        deadline = anyio.current_time() + limit_s
        was_unanswered = False
        while anyio.current_time() < deadline:
            node = self.owner_node()
            if node is not None and not node.pause.count:
                answer = await self.submit_once(node, spec, queue, limit_s, deadline)
                if answer.outcome is Outcome.REFUSED and was_unanswered:
                    return Outcome.UNCERTAIN
                if answer.outcome is not Outcome.NOT_OWNER:
                    return answer.outcome
                was_unanswered = True
            await anyio.sleep(RETRY_INTERVAL_S)
        return Outcome.UNCERTAIN

    async def submit_once(
        self,
        node: MemoryNode,
        spec: PipelineSpec,
        queue: Queue | None,
        limit_s: float,
        deadline: float,
    ) -> JobAnswer:
        """Submit a job to the owner on a node."""
        return await self.command(
            node,
            lambda owner: node.answer(
                lambda: owner.commands.submit(spec, limit_s, queue),
                len(encode(spec)) + COMMAND_BYTES,
                deadline,
            ),
        )

    async def command(self, node: MemoryNode, call) -> JobAnswer:
        """Run a command on a node's owner; return NOT_OWNER if the owner stops."""
        answer = JobAnswer(Outcome.NOT_OWNER)
        owner = node.owner()
        async with anyio.create_task_group() as group:

            async def cancel_when_stopped() -> None:
                await owner.stopped.wait()
                group.cancel_scope.cancel()

            group.start_soon(cancel_when_stopped)
            answer = await call(owner)
            group.cancel_scope.cancel()
        return answer

    async def cancel(self, job_id: str, limit_s: float = 3.0) -> bool:
        """Cancel a job and return whether the cancellation was confirmed."""
        node = self.owner_node()
        if node is None or node.pause.count:
            return False
        answer = await self.command(
            node,
            lambda owner: node.answer(
                lambda: owner.commands.cancel(
                    job_id, limit_s, node.membership.is_recently_confirmed()
                ),
                COMMAND_BYTES,
                anyio.current_time() + limit_s,
            ),
        )
        if answer.outcome is Outcome.OK:
            self.world.cancelled[job_id] = anyio.current_time()
        return answer.outcome is Outcome.OK

    def phase(self, job_id: str) -> JobPhase | None:
        """Return the phase of a job that the owner reports, or None."""
        node = self.owner_node()
        if node is None or node.pause.count:
            return None
        return self.phase_at(node, job_id)

    def phase_at(self, node: MemoryNode, job_id: str) -> JobPhase | None:
        """Return the phase of a job that the owner on a node reports, or None."""
        if node.owner() is None:
            return None
        answer = node.owner().commands.query(
            job_id, node.membership.is_recently_confirmed()
        )
        return answer.phase if answer.outcome is Outcome.OK else None

    async def query(self, job_id: str) -> JobPhase | None:
        """Return the phase of a job once the link of the owner has carried it.

        Return None if the caller has given up before.
        """
        node = self.owner_node()
        if node is None or node.link is None:
            return self.phase(job_id)
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            await node.receive(COMMAND_BYTES, Purpose.QUERIES)
            await node.pause.wait_until_open()
            phase = self.phase_at(node, job_id)
            await node.send(ANSWER_BYTES, Purpose.QUERIES)
            return phase
        return None

    async def wait_final(self, job_id: str, limit_s: float = 60.0) -> JobPhase | None:
        """Wait until the owner reports a final phase, and return the last phase."""
        deadline = anyio.current_time() + limit_s
        while anyio.current_time() < deadline:
            phase = await self.query(job_id)
            if phase is not None and phase.is_final:
                if phase is JobPhase.COMPLETED and not self.world.is_complete(job_id):
                    self.world.violate("MIXED", f"{job_id} reported complete too early")
                return phase
            await anyio.sleep(RETRY_INTERVAL_S)
        return await self.query(job_id)
