"""A whole cell of simulated processes over the platform stand-ins."""

import hashlib
import random

import anyio

from gypsumring.messages.work import Resources
from gypsumring.peers import InMemoryPeers
from gypsumring.ports import VmRole
from gypsumring.settings import CellSettings, TeamSettings
from soak.platform import DATA_CENTRES, REGION, Platform, make_vm
from soak.process import NodeProcess
from soak.trace import Trace
from stand_ins.freezing import Freezer

__all__ = ["SCHEDULERS", "TEAMS", "SoakCell"]

SCHEDULERS = 5
GATEWAYS = 3
TEAMS = ("marea", "clyde", "tankers")
TOKEN = "soak-token"
QUOTA = Resources(60_000, 120_000, 8)


class SoakCell:
    """Hold the platform, the network and the processes of one run."""

    def __init__(
        self,
        seed: int,
        trace: Trace,
        freezer: Freezer,
        outside: anyio.abc.TaskGroup,
        violations: list[str],
    ):
        self.trace = trace
        self.freezer = freezer
        self.outside = outside
        self.violations = violations
        self.random_source = random.Random(f"{seed}/cell")
        self.platform = Platform(self.random_source, trace)
        self.peers = InMemoryPeers(
            random.Random(f"{seed}/network"), loss=0.002, duplication=0.005
        )
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        self.settings = CellSettings(
            name="soak",
            regions=(REGION,),
            ledgers_per_region=4,
            gateway_limit=GATEWAYS + 1,
            teams={team: TeamSettings(digest, QUOTA) for team in TEAMS},
        )
        self.processes: list[NodeProcess] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.node_count = 0

    @property
    def schedulers(self) -> list[NodeProcess]:
        """Return the living scheduler processes in the order of their names."""
        return [p for _, p in sorted(self.nodes.items()) if not p.is_gateway]

    @property
    def gateways(self) -> list[NodeProcess]:
        """Return the living gateway processes in the order of their names."""
        return [p for _, p in sorted(self.nodes.items()) if p.is_gateway]

    def ready_gateways(self) -> list[NodeProcess]:
        """Return the gateways that the balancer sends to."""
        return [
            process
            for process in self.gateways
            if process.is_alive
            and not process.is_paused
            and process.node.unready_reason() is None
        ]

    def report(self, violation: str) -> None:
        """Record a violation once."""
        if violation not in self.violations:
            self.violations.append(violation)
            self.trace.note_fault(anyio.current_time(), f"VIOLATION {violation}")

    def start_all(self) -> None:
        """Start all nodes."""
        for _ in range(SCHEDULERS):
            self.add_node("entry")
        for _ in range(GATEWAYS):
            self.add_node("gw")

    def add_node(self, prefix: str) -> NodeProcess:
        """Start a node on a new VM."""
        self.node_count += 1
        number = self.node_count
        name, address = f"{prefix}-{number}", f"10.0.0.{number}:7000"
        if prefix == "entry":
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            vm = make_vm(name, VmRole.ENTRY, data_centre, address)
            self.platform.vm_list.add(vm, anyio.current_time())
        return self.start(name, address, number)

    def start(self, name: str, address: str, number: int) -> NodeProcess:
        """Start a process of a node; its predecessor on the address has ended."""
        process = NodeProcess(
            name,
            address,
            number,
            self.settings,
            self.platform,
            self.peers,
            self.freezer,
            self.outside,
            self.random_source,
            self.report,
        )
        self.processes.append(process)
        self.nodes[name] = process
        self.outside.start_soon(process.run)
        return process

    def restart(self, process: NodeProcess) -> None:
        """Start a process on the address of one that has ended."""
        self.start(process.name, process.address, process.number)

    def forget(self, process: NodeProcess) -> None:
        """Take an ended process out of the living ones."""
        if self.nodes.get(process.name) is process:
            del self.nodes[process.name]

    def replace(self, process: NodeProcess) -> None:
        """Remove the VM of an ended process and start a node on a new VM."""
        if process.is_gateway:
            self.add_node("gw")
            return
        self.platform.vm_list.remove(process.name, anyio.current_time())
        self.add_node("entry")
