"""Several nodes with their cell on the in-process platform."""

import random

import anyio
import anyio.abc
import msgspec

from gypsumring.cell import CellOwner
from gypsumring.cell.messages import JobAnswer, Outcome
from gypsumring.cell.state import CellTiming
from gypsumring.fleet import ExecutorEntry
from gypsumring.metrics import Metrics
from gypsumring.node.membership import Membership
from gypsumring.pipelines import (
    DesiredState,
    JobPhase,
    PipelineSpec,
    PolicyTiming,
    Queue,
    StepSpec,
)
from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable, TaskExecutor
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import (
    ENTRIES_TOPIC,
    MemoryExecutor,
    MemoryPolicy,
    MemoryStore,
)
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World

__all__ = ["MemoryCluster", "MemoryNode", "make_job"]

CELL_TOPIC = "cells"
GROUP = "cells"
QUEUE = "batch"
MEMBERSHIP_S = 1.0
RETRY_S = 0.05

decode_entry = msgspec.msgpack.Decoder(ExecutorEntry).decode


def make_job(job_id: str, *steps: StepSpec, queue: str = QUEUE) -> PipelineSpec:
    """Return a job of the given steps."""
    return PipelineSpec(
        job_id=job_id,
        queue=queue,
        service="svc",
        accepted_ms=0,
        payload="",
        steps=steps or (StepSpec(task_count=1, cpu_millis=1000, estimated_ms=500),),
    )


class MemoryNode:
    """One node: its view of the platform and its membership."""

    __slots__ = (
        "cluster",
        "faults",
        "killed",
        "membership",
        "name",
        "policy",
        "scope",
        "store",
    )

    def __init__(self, cluster: "MemoryCluster", name: str):
        self.cluster = cluster
        self.name = name
        self.faults = Faults(cluster.random_source)
        self.store = MemoryStore(cluster.store, self.faults, cluster.group)
        self.policy = None
        if cluster.policy is not None:
            self.policy = MemoryPolicy(cluster.policy, self.faults)
        self.killed = anyio.Event()
        self.scope = anyio.CancelScope()
        cluster.starts += 1
        member = f"{name}/{cluster.starts}"
        self.membership = Membership(
            self.store, GROUP, CELL_TOPIC, 0, member, MEMBERSHIP_S, self.make_owner
        )

    def make_owner(self, fence: int) -> CellOwner:
        """Return an owner of the cell on this node."""
        return CellOwner(
            self.store,
            CELL_TOPIC,
            0,
            fence,
            CellTiming(10.0, 0.9, 120.0, 5.0, 3.0),
            lambda: self.cluster.desired,
            self.connect,
            ENTRIES_TOPIC,
            lambda executor_id, value: decode_entry(value),
            self.list_policy_proxies,
            self.query_policy_proxy,
            self.cluster.metrics,
            anyio.current_time,
            lambda: int(anyio.current_time() * 1000),
            lambda: self.membership.may_extend_leases(),
        )

    def connect(self, executor_id: str, address: str) -> TaskExecutor:
        """Return the port to an executor."""
        model = self.cluster.executors[executor_id]
        return MemoryExecutor(model, self.faults, self.cluster.group)

    async def query_policy_proxy(
        self, name: str, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Ask the policy service through a node; raise PolicyUnavailable."""
        if name == self.name:
            return await self.policy.advise(step, executor_ids, deadline)
        node = self.cluster.nodes[name]
        answers = []
        errors = []

        async def ask() -> None:
            try:
                rows = await node.policy.advise(step, executor_ids, deadline)
                answers.append(rows)
            except (PolicyUnavailable, PolicyBusy) as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await node.killed.wait()
            group.cancel_scope.cancel()
        if answers:
            return answers[0]
        raise PolicyUnavailable(str(errors[0]) if errors else f"node {name} is gone")

    def list_policy_proxies(self) -> list[str]:
        """Return the nodes that can call the policy service, this one first."""
        if not self.cluster.shares_advice:
            return [self.name]
        names = [
            name
            for name, node in self.cluster.nodes.items()
            if node is not self and not node.killed.is_set()
        ]
        return [self.name, *names]

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            await self.membership.run()

    def kill(self) -> None:
        """End the node at once; orders and appends under way may go on."""
        self.scope.cancel()
        self.killed.set()

    def owner(self) -> CellOwner | None:
        """Return the owner that answers commands here."""
        return None if self.scope.cancel_called else self.membership.active_owner()


class MemoryCluster:
    """Run nodes and executors in one process on the anyio clock."""

    __slots__ = (
        "departed",
        "desired",
        "executors",
        "group",
        "metrics",
        "nodes",
        "policy",
        "random_source",
        "shares_advice",
        "starts",
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
    ):
        self.world = world
        self.group = group
        self.random_source = random.Random(seed)
        self.metrics = Metrics()
        self.starts = 0
        self.store = StoreModel()
        self.executors: dict[str, ExecutorModel] = {}
        # Ids of executors that have left for good.
        self.departed: set[str] = set()
        # Whether an owner calls the policy service through other nodes as well.
        self.shares_advice = False
        self.nodes: dict[str, MemoryNode] = {}
        self.policy: PolicyModel | None = None
        for number in range(executors):
            drift = (number % 3) * 0.01
            self.add_executor(ExecutorModel(world, f"i-{number}", cpu_millis, drift))
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
        """Start a node; one of the same name must have been killed before."""
        node = MemoryNode(self, name)
        self.nodes[name] = node
        self.group.start_soon(node.run)
        return node

    def add_executor(self, model: ExecutorModel) -> None:
        """Register an executor."""
        self.executors[model.executor_id] = model
        if self.policy is not None and model not in self.policy.executors:
            self.policy.executors.append(model)
        self.register(model)

    def remove_executor(self, model: ExecutorModel) -> None:
        """Let an executor leave for good."""
        model.crash()
        self.departed.add(model.executor_id)
        self.store.append(ENTRIES_TOPIC, 0, [(model.executor_id, b"")], None)

    def list_staying(self) -> list[ExecutorModel]:
        """Return the executors that have not left."""
        models = self.executors.items()
        return [model for each, model in models if each not in self.departed]

    def register(self, model: ExecutorModel, draining: bool = False) -> None:
        """Write the entry of an executor, unless it has left."""
        if model.executor_id in self.departed:
            return
        entry = ExecutorEntry(
            executor_id=model.executor_id,
            address="memory:0",
            service=model.service,
            draining=draining,
            born_ms=model.born_ms,
            cpu_millis=model.cpu_millis,
            memory_mb=model.memory_mb,
            labels=model.labels,
        )
        value = msgspec.msgpack.encode(entry)
        self.store.append(ENTRIES_TOPIC, 0, [(model.executor_id, value)], None)

    def owner_node(self) -> MemoryNode | None:
        """Return the node whose owner has the highest fence number."""
        rows = [
            (node.owner().fence, name)
            for name, node in self.nodes.items()
            if node.owner() is not None
        ]
        return self.nodes[max(rows)[1]] if rows else None

    async def submit(self, spec: PipelineSpec, limit_s: float = 3.0) -> Outcome:
        """Submit a job as a caller does, and tell how that ended."""
        self.world.jobs[spec.job_id] = spec
        deadline = anyio.current_time() + limit_s
        while anyio.current_time() < deadline:
            node = self.owner_node()
            if node is not None:
                answer = await self.command(
                    node, lambda owner: owner.commands.submit(spec, limit_s)
                )
                if answer.outcome is not Outcome.NOT_OWNER:
                    return answer.outcome
            await anyio.sleep(RETRY_S)
        return Outcome.UNCERTAIN

    async def command(self, node: MemoryNode, call) -> JobAnswer:
        """Run a command unless the node ends before."""
        answer = JobAnswer(Outcome.NOT_OWNER)
        owner = node.owner()
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await owner.stopped.wait()
                group.cancel_scope.cancel()

            group.start_soon(watch)
            answer = await call(owner)
            group.cancel_scope.cancel()
        return answer

    async def cancel(self, job_id: str, limit_s: float = 3.0) -> bool:
        """Cancel a job; tell whether that was confirmed."""
        node = self.owner_node()
        if node is None:
            return False
        answer = await self.command(
            node,
            lambda owner: owner.commands.cancel(
                job_id, limit_s, node.membership.is_recently_confirmed()
            ),
        )
        if answer.outcome is Outcome.OK:
            self.world.cancelled[job_id] = anyio.current_time()
        return answer.outcome is Outcome.OK

    def phase(self, job_id: str) -> JobPhase | None:
        """Return the phase of a job as the owner shows it."""
        node = self.owner_node()
        if node is None:
            return None
        answer = node.owner().commands.query(
            job_id, node.membership.is_recently_confirmed()
        )
        return answer.phase if answer.outcome is Outcome.OK else None

    async def wait_final(self, job_id: str, limit_s: float = 60.0) -> JobPhase | None:
        """Wait until a job is shown in a final phase."""
        deadline = anyio.current_time() + limit_s
        while anyio.current_time() < deadline:
            phase = self.phase(job_id)
            if phase is not None and phase.is_final:
                if phase is JobPhase.COMPLETED and not self.world.is_complete(job_id):
                    self.world.violate("MIXED", f"{job_id} shown too early")
                return phase
            await anyio.sleep(RETRY_S)
        return self.phase(job_id)
