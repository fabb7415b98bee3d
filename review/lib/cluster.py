"""Node processes, the operator, and clients of one case."""

import asyncio
import json
import os
import secrets
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from lib.executor import Behaviour, Executor, World
from lib.http import Reply, Request, Server, call, find_free_port
from lib.store import Store, encode

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
START_LIMIT_S = 20.0
# The platform restarts a process that has ended "after a short delay"; the days of the
# site file keep killed machines down for up to 3.5 s (``node_kill``).
RESTART_DELAY_S = 2.0
# Time of one call to the policy service, and validity of its tickets.
DECIDE_S = 0.01
VALID_S = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Node:
    """One process of the deploy file, with the settings of a small installation."""

    __slots__ = ("front", "log", "name", "process", "ready", "settings")

    def __init__(self, name: str, store_address: str, policy: str, folder: Path):
        self.name = name
        self.front = f"127.0.0.1:{find_free_port()}"
        self.ready = f"127.0.0.1:{find_free_port()}"
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        # As ``deploy/node.json`` renders the example of the settings.
        content = {
            "node": name,
            "data_centre": "z1",
            "region": "r1",
            "caller_address": self.front,
            "readiness_address": self.ready,
            "metrics_address": f"127.0.0.1:{find_free_port()}",
            "peer_host": "127.0.0.1",
            "peer_ports": [find_free_port()],
            "store": {
                "address": store_address,
                "partitions": 8,
                "shortest_membership_ms": 1000,
            },
            "processor": {"share": 0.537, "speed": 2},
            "policy_address": policy,
            "bounds": {
                "longest_lease_ms": 10_000,
                "stop_ms": 900,
                "status_s": 120,
                "shutdown_s": 6,
                "gang_ms": 3000,
                "spread_factor": 3,
            },
        }
        self.settings.write_text(json.dumps(content))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = (REPOSITORY / "deploy" / "system.toml").read_text()
        words = shlex.split(tomllib.loads(deploy)["roles"]["node"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["GYPSUMRING_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                words,
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def read_peak_mb(self) -> int:
        """Return the most memory that the process has had, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        rows = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return int(rows.get("VmHWM", "0 kB").split()[0]) // 1024

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Cluster:
    """All processes and stand-ins of one case, and its record."""

    __slots__ = (
        "began",
        "executors",
        "folder",
        "lines",
        "nodes",
        "policy",
        "store",
        "world",
    )

    def __init__(self, folder: Path, behave: Behaviour):
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.folder = folder
        self.store = Store(self.note)
        self.world = World(self.store, self.note, behave)
        self.nodes: list[Node] = []
        self.executors: list[Executor] = []
        self.policy = Server(self.advise)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def start(
        self, node_count: int, executors: list[Executor], routes: list[dict]
    ) -> None:
        """Start the store, the executors and the nodes, and wait until all serve."""
        await self.store.server.start()
        await self.policy.start()
        self.publish(1, routes)
        self.executors = executors
        for executor in executors:
            await executor.start()
        for number in range(node_count):
            self.nodes.append(
                Node(
                    f"edge-{number + 1}",
                    self.store.server.address,
                    self.policy.address,
                    self.folder,
                )
            )
            self.nodes[-1].start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready."""
        until = time.monotonic() + START_LIMIT_S
        for node in self.nodes:
            while (await self.check_ready(node)) != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} is not ready")
                await asyncio.sleep(0.05)
        self.note("all nodes are ready")

    def publish(self, version: int, routes: list[dict]) -> None:
        """Write a desired state, as the operator does."""
        desired = {
            "version": version,
            "routes": routes,
            "services": [{"name": "work", "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.write("keyed.op", "config", encode(desired))
        names = " ".join(each["name"] for each in routes)
        self.note(f"operator: version {version} with the queues {names}")

    async def advise(self, request: Request) -> Reply:
        """Allow a step on all executors, with a ticket for each."""
        body = request.json()
        await asyncio.sleep(DECIDE_S)
        rows = []
        for worker in body["workers"]:
            ticket = secrets.token_hex(4)
            rows.append([worker, ticket])
            if self.world.tickets is not None:
                key = body["step"], worker, ticket
                self.world.tickets[key] = time.monotonic() + VALID_S
        return 200, {"allowed": rows}

    async def check_ready(self, node: Node) -> int:
        """Return the status of a readiness check."""
        headers = {"Host": node.ready}
        return (await call(node.ready, "GET", "/-/ready", headers, timeout_s=1))[0]

    def find_owner(self) -> Node | None:
        """Return the node that holds the last partition of the group of nodes."""
        group = self.store.groups.get("cells")
        holder = group.holders.get(("keyed.cells", 7), "") if group else ""
        for node in self.nodes:
            if holder.startswith(f"{node.name}@"):
                return node
        return None

    async def send(
        self,
        method: str,
        path: str,
        node: Node | None = None,
        body: dict | None = None,
        log: bool = True,
        timeout_s: float = 3.5,
    ) -> tuple[int, dict]:
        """Send a client's call and return status and body."""
        node = node or self.nodes[0]
        content = b"" if body is None else encode(body)
        headers = {
            "Host": HOST,
            "Deadline-Ms": "3000",
            "Content-Type": "application/json",
        }
        status, answer = await call(
            node.front, method, path, headers, content, timeout_s
        )
        text = answer.decode(errors="replace")[:200]
        if log:
            self.note(f"client: {method} {path} at {node.name} -> {status} {text}")
        try:
            return status, json.loads(answer) if answer else {}
        except ValueError:
            return status, {}

    async def submit(self, path: str, body: dict, node: Node | None = None) -> bool:
        """Submit a job as clients do, with retries; return whether it was accepted."""
        self.note(f"client: sends {path} {json.dumps(body)[:300]}")
        for _ in range(5):
            status, _ = await self.send("POST", path, node, body)
            if status == 200:
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.3)
        return False

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            self.note(f"{node.name} has used {node.read_peak_mb()} MB at the peak")
            node.kill()
        self.note("end of the case")
        for executor in self.executors:
            if executor.is_up:
                await executor.crash()
        await self.policy.stop()
        await self.store.server.stop()


def route(name: str, **fields) -> dict:
    """Return a route of the desired state."""
    found = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": "work",
        "priority": 1,
        "maxAttempts": 3,
        "stretch": 4.0,
        "sloMs": 3000,
    }
    return found | fields


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, behave: Behaviour) -> None:
    """Run a case, write its record and exit with its result.

    ``case`` gets the cluster and returns the breaks of the rule that it has seen.
    """
    target = Path(sys.argv[1]) / "record.txt"

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), behave)
            try:
                async with asyncio.timeout(115):
                    return await case(cluster)
            finally:
                await cluster.stop()
                target.write_text("\n".join(cluster.lines) + "\n")
                keep = os.environ.get("KEEP_LOGS")
                for node in cluster.nodes if keep else ():
                    (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())

    try:
        breaks = asyncio.run(run())
    except Exception as error:
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    with target.open("a") as record:
        for line in breaks:
            print(line)
            record.write(f"BROKEN {line}\n")
        if not breaks:
            record.write("the rule held\n")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(BROKEN if breaks else HELD)
