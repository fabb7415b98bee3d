"""A small deployment: node processes by the deploy file, and the stand-ins."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import http_server
from executors import Policy, World
from http_server import HOST, free_port
from store import Store

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 900,
    "gangTimeoutMs": 3000,
    "graceS": 6,
    "status_s": 120,
    "spreadFactor": 3,
}
ROUTE = {
    "name": "batch",
    "host": "jobs.example",
    "pathPrefix": "/batch/",
    "service": "svc",
    "priority": 1,
    "maxAttempts": 3,
    "stretch": 2.0,
    "sloMs": 1000,
}
HEADERS = {"Host": "jobs.example", "Deadline-Ms": "3000"}


def render(template, values):
    """Fill in the placeholders of a settings template."""

    def find(name):
        value = values
        for part in name.split("."):
            value = value[part]
        return value

    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(find(m[1])), template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1])), text)


class NodeProcess:
    """Process of the role that the deploy file names, on one machine."""

    def __init__(self, name, addresses, folder, record):
        self.name = name
        self.record = record
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        peer = free_port()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.command = [sys.executable, *shlex.split(role["run"])[1:]]
        values = {
            "nodeName": name,
            "zone": f"z{1 + int(name[1:]) % 3}",
            "region": "r",
            "ip": HOST,
            "portRange": [peer, peer],
            "listen": {"front": self.front, "ready": self.ready},
            "platform": {
                "address": addresses["platform"],
                "parts": 8,
                "ttlMinMs": 1000,
            },
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "advice": addresses["advice"],
            "bounds": BOUNDS,
        }
        settings = json.loads(render((ROOT / role["template"]).read_text(), values))
        # All machines share one address here, so that the port has to differ.
        settings["metrics_address"] = f"{HOST}:{free_port()}"
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "GYPSUMRING_SETTINGS": str(self.settings),
                },
            )
        self.record(f"{self.name} started")

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def kill(self):
        """Kill the process."""
        if self.is_running:
            self.record(f"{self.name} killed")
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Nodes, store, executors and clients of one run."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.world = World(self.store, record)
        self.policy = Policy(self.world)
        self.nodes = []
        self.random = random.Random(int(os.environ.get("SEED", "1")))

    async def start(self, nodes):
        """Start the store, write a desired state and start the nodes."""
        await self.store.server.start()
        await self.policy.server.start()
        self.write_desired_state(1, [ROUTE])
        for number in range(nodes):
            self.add_node(f"n{number}")
        await self.wait_ready()

    def write_desired_state(self, version, routes):
        """Write a desired state, as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": "svc", "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        names = [route["name"] for route in routes]
        self.record(f"desired state {version} with the routes {names}")

    def add_node(self, name):
        """Start a node on a new machine."""
        addresses = {
            "platform": self.store.server.address,
            "advice": self.policy.server.address,
        }
        node = NodeProcess(name, addresses, self.folder, self.record)
        node.start()
        self.nodes.append(node)
        return node

    def running_nodes(self):
        """Return the nodes whose processes run."""
        return [node for node in self.nodes if node.is_running]

    async def wait_ready(self, limit_s=25.0):
        """Wait until all nodes are ready; raise TimeoutError after a while."""
        async with asyncio.timeout(limit_s):
            for node in self.running_nodes():
                while (await self.get(node.ready, "/-/ready"))[0] != 200:
                    await asyncio.sleep(0.1)

    async def get(self, address, path):
        """Send a GET request."""
        return await http_server.call(address, "GET", path, headers=HEADERS)

    def owner(self):
        """Return the node that holds the cell, None if there is none."""
        member = self.store.holder_of_cell() or ""
        for node in self.running_nodes():
            if member.startswith(f"{node.name}@"):
                return node
        return None

    async def submit(self, job, pipeline, spec=""):
        """Hand a job in, again after no answer; return the last status."""
        self.world.jobs[job] = pipeline
        body = json.dumps({"spec": spec, "pipeline": pipeline}).encode()
        for attempt in range(8):
            nodes = self.running_nodes()
            node = nodes[(int(job, 16) + attempt) % len(nodes)]
            status, _ = await http_server.call(
                node.front, "POST", f"/batch/{job}", body, HEADERS
            )
            self.record(f"POST {job} at {node.name}: {status}")
            if status == 200:
                return status
            await asyncio.sleep(1.0)
        return status

    async def query(self, path, node=None):
        """Send a GET for a job or the queue; return status and answer."""
        nodes = self.running_nodes()
        node = node or self.random.choice(nodes)
        status, body = await self.get(node.front, f"/batch/{path}")
        answer = json.loads(body) if status == 200 else {}
        self.record(f"GET {path or '(queue)'} at {node.name}: {status} {answer}")
        return status, answer

    async def wait_state(self, job, states, limit_s):
        """Query a job until it is in one of some states; return the last one."""
        until = http_server.now_s() + limit_s
        state = ""
        while http_server.now_s() < until:
            status, answer = await self.query(job)
            state = answer.get("state", str(status))
            if state in states:
                break
            await asyncio.sleep(0.5)
        return state

    def end(self):
        """Kill all processes and keep their logs if a folder for them is named."""
        for node in self.nodes:
            node.kill()
        for executor in self.world.executors:
            if executor.is_up:
                executor.crash()
        self.store.server.stop()
        self.policy.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())


def run_case(folder, play, limit_s=110.0):
    """Play a case and exit with 0 if its rules held, 1 if not, 2 if it did not run."""
    began = http_server.now_s()
    # Without this the processes would outlive a run that is ended from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with (Path(folder) / "record.txt").open("w") as output:

        def record(text):
            output.write(f"{http_server.now_s() - began:8.3f} {text}\n")
            output.flush()

        async def play_all(temporary):
            deployment = Deployment(temporary, record)
            try:
                async with asyncio.timeout(limit_s):
                    await play(deployment, has_trouble)
            finally:
                deployment.end()
            return deployment.world.broken

        record(f"disruptions: {'yes' if has_trouble else 'no'}")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                broken = asyncio.run(play_all(temporary))
            except Exception as error:
                record(f"could not run: {type(error).__name__}: {error}")
                print(f"could not run: {type(error).__name__}: {error}")
                sys.exit(2)
        record(f"{len(broken)} broken")
    print(broken[0] if broken else "held")
    sys.exit(1 if broken else 0)
