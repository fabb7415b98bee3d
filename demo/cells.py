"""Example deployments, and the settings of the processes of their cells."""

import json
import os
import socket
from pathlib import Path

__all__ = ["CellPlan", "Deployment", "DEPLOYMENTS", "pick_free_ports"]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
HOST = "127.0.0.1"
FIRST_PORT = 12_000
PORT_SPAN = 18_000
PORTS_PER_RUN = 200

# Ports already allocated to a cell of this process.
allocated_ports: set[int] = set()


class Deployment:
    """One customer's cell with its current numbers of VMs."""

    __slots__ = (
        "data_centres",
        "executors",
        "name",
        "pool",
        "rack_size",
        "region",
        "worker_cores",
        "workers",
    )

    def __init__(self, name, region, data_centres, pool, rack_size, worker_cores):
        self.name = name
        self.region = region
        self.data_centres = data_centres
        self.pool = pool
        self.rack_size = rack_size
        self.worker_cores = worker_cores
        self.workers = 24
        self.executors = 24

    @property
    def folder(self) -> Path:
        """Return the folder with the example documents and settings."""
        return EXAMPLES / self.name


DEPLOYMENTS = (
    Deployment(
        "marea-viva",
        "pacific",
        ("puntarenas", "guanacaste", "alajuela"),
        "live-shipping",
        8,
        32,
    ),
    Deployment(
        "clyde-basin",
        "clyde",
        ("govan", "paisley", "dalmuir", "rutherglen"),
        "operations-desk",
        6,
        64,
    ),
)


def pick_free_ports(count: int) -> list[int]:
    """Return ports that are free now, outside the range of outgoing connections.

    The kernel takes outgoing ports from 32768 up by default; a port from that range
    could be taken between this check and the start of the process that listens on it.
    """
    ports: list[int] = []
    candidate = FIRST_PORT + os.getpid() * PORTS_PER_RUN % PORT_SPAN
    while len(ports) < count:
        candidate += 1
        if candidate not in allocated_ports and is_port_free(candidate):
            ports.append(candidate)
            allocated_ports.add(candidate)
    return ports


def is_port_free(port: int) -> bool:
    """Return whether a port can be bound now."""
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class CellPlan:
    """Allocated ports, VM list and settings files of one cell."""

    __slots__ = (
        "deployment",
        "folder",
        "gateways",
        "log_port",
        "ports",
        "schedulers",
        "vm_list_port",
        "vms",
    )

    def __init__(
        self, deployment: Deployment, folder: Path, gateways: int, schedulers: int
    ):
        self.deployment = deployment
        self.folder = folder
        self.gateways = gateways
        self.schedulers = schedulers
        upstreams = deployment.workers + deployment.executors
        self.ports = iter(pick_free_ports(2 + gateways + 2 * schedulers + upstreams))
        self.log_port = next(self.ports)
        self.vm_list_port = next(self.ports)
        self.vms: list[dict] = []

    def write_settings(self, name: str, content: dict) -> Path:
        """Write one settings file and return its path."""
        path = self.folder / f"{self.deployment.name}-{name}.json"
        path.write_text(json.dumps(content, indent=1))
        return path

    def make_platform_settings(self) -> dict:
        """Return the URLs of the platform's stand-ins, as in the settings."""
        return {
            "log_url": f"http://{HOST}:{self.log_port}",
            "vm_list_url": f"http://{HOST}:{self.vm_list_port}",
        }

    def choose_data_centre(self, number: int) -> str:
        """Return the data centre of an entry VM; numbers cycle through them."""
        return self.deployment.data_centres[number % len(self.deployment.data_centres)]

    def write_scheduler(self, number: int) -> tuple[Path, int]:
        """Write a scheduler's settings; return the path and its HTTP port."""
        settings = self.read_example("scheduler")
        peer_port = next(self.ports)
        http_port = next(self.ports)
        settings.update(
            node=f"entry-{number}",
            data_centre=self.choose_data_centre(number),
            peer_address=f"{HOST}:{peer_port}",
            http_address=f"{HOST}:{http_port}",
            platform=self.make_platform_settings(),
        )
        self.vms.append(
            self.make_vm(
                f"entry-{number}", "entry", self.choose_data_centre(number), "entry"
            )
            | {"address": f"{HOST}:{peer_port}"}
        )
        return self.write_settings(f"scheduler-{number}", settings), http_port

    def write_gateway(self, number: int) -> tuple[Path, int]:
        """Write a gateway's settings; return the path and its HTTP port."""
        settings = self.read_example("gateway")
        port = next(self.ports)
        settings.update(
            node=f"gateway-{number}",
            data_centre=self.choose_data_centre(number),
            http_address=f"{HOST}:{port}",
            platform=self.make_platform_settings(),
        )
        return self.write_settings(f"gateway-{number}", settings), port

    def read_example(self, role: str) -> dict:
        """Return the example settings of a role."""
        path = self.deployment.folder / "settings" / f"{role}.json"
        return json.loads(path.read_text())

    def make_vm(self, name: str, role: str, data_centre: str, rack: str) -> dict:
        """Return a VM entry without its address and capacity."""
        return {
            "name": name,
            "role": role,
            "state": "live",
            "region": self.deployment.region,
            "data_centre": data_centre,
            "rack": rack,
        }

    def add_workers(self) -> list[dict]:
        """Add the workers to the VM list and return their entries."""
        deployment = self.deployment
        entries = []
        for number in range(deployment.workers):
            rack = number // deployment.rack_size
            data_centre = deployment.data_centres[rack % len(deployment.data_centres)]
            vm = self.make_vm(f"worker-{number}", "worker", data_centre, "r1")
            vm.update(
                address=f"{HOST}:{next(self.ports)}",
                cpu_millis=deployment.worker_cores * 1000,
                memory_mb=128 * 1024,
            )
            entries.append(vm)
        self.vms.extend(entries)
        return entries

    def add_executors(self) -> list[dict]:
        """Add the executors to the VM list and return their entries."""
        deployment = self.deployment
        entries = []
        for number in range(deployment.executors):
            data_centre = deployment.data_centres[number % len(deployment.data_centres)]
            vm = self.make_vm(f"executor-{number}", "executor", data_centre, "r1")
            vm.update(
                address=f"{HOST}:{next(self.ports)}",
                pool=deployment.pool,
                slots=8,
                connections=64,
            )
            entries.append(vm)
        self.vms.extend(entries)
        return entries

    def write_stand_ins(self) -> dict[str, tuple[str, Path]]:
        """Write the stand-ins' settings; return role and path by process name."""
        workers = [
            {
                "name": vm["name"],
                "address": vm["address"],
                "capacity": {
                    "cpu_millis": vm["cpu_millis"],
                    "memory_mb": vm["memory_mb"],
                },
                "data_centre": vm["data_centre"],
                "rack": vm["rack"],
            }
            for vm in self.add_workers()
        ]
        executors = [
            {
                "name": vm["name"],
                "address": vm["address"],
                "pool": vm["pool"],
                "slots": vm["slots"],
                "connections": vm["connections"],
            }
            for vm in self.add_executors()
        ]
        settings_by_role = {
            "log": {"address": f"{HOST}:{self.log_port}"},
            "vm-list": {"address": f"{HOST}:{self.vm_list_port}", "vms": self.vms},
            "workers": {"workers": workers},
            "executors": {"executors": executors},
        }
        return {
            name: (name, self.write_settings(name, content))
            for name, content in settings_by_role.items()
        }
