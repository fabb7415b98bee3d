"""Test rig: node processes and the platform's stand-ins on the loopback interface."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx

from stand_ins.platform.entries import encode_entry
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.policy import PolicyModel
from stand_ins.platform.servers import ExecutorApp, PolicyApp, StoreApp
from stand_ins.platform.store import StoreModel
from stand_ins.platform.world import World, steady_behaviour
from stand_ins.servers.ports import hold_free_port
from stand_ins.servers.serving import serve_apps

__all__ = ["NodeProcess", "ProgramRig", "running_programs"]

START_LIMIT_S = 30.0
ROUTE = {
    "name": "batch",
    "host": "jobs.example",
    "pathPrefix": "/batch/",
    "service": "svc",
    "priority": 1,
    "maxAttempts": 3,
    "stretch": 2.0,
    "sloMs": 1000,
    "advice": {"decideMs": 20, "periodMs": 1, "validMs": 2000},
}


class NodeProcess:
    """Process of one node program, with its addresses and settings file."""

    __slots__ = (
        "caller",
        "errors",
        "held_ports",
        "metrics",
        "name",
        "peer",
        "process",
        "ready",
        "settings",
    )

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        folder: Path,
        changes: dict[str, Any] | None = None,
    ):
        self.name = name
        # Others could take the ports before the process listens, and while it is down.
        self.held_ports = [hold_free_port() for _ in range(4)]
        self.caller, self.ready, self.metrics, self.peer = (
            f"127.0.0.1:{held.getsockname()[1]}" for held in self.held_ports
        )
        self.settings = folder / f"{name}.json"
        # Standard error of all processes of the node.
        self.errors = folder / f"{name}.errors"
        content = {
            "node": name,
            "data_centre": "a",
            "region": "r",
            "caller_address": self.caller,
            "readiness_address": self.ready,
            "metrics_address": self.metrics,
            "peer_host": "127.0.0.1",
            "peer_ports": [int(self.peer.rpartition(":")[2])],
            "store": {"address": addresses[f"store-{name}"]},
            "policy_address": addresses["policy"],
            "bounds": {"longest_lease_ms": 10_000},
            **(changes or {}),
        }
        self.settings.write_text(json.dumps(content))
        self.start()

    def start(self) -> None:
        """Start the process."""
        with self.errors.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumring.node", "--settings", self.settings],
                stdout=subprocess.DEVNULL,
                stderr=errors,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )

    def restart(self) -> "NodeProcess":
        """Start the process again after it ended and return this node."""
        self.start()
        return self

    def release_ports(self) -> None:
        """Let others use the ports of the node."""
        for held in self.held_ports:
            held.close()

    def end(self, signal_number: int) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)


class ProgramRig:
    """Stand-ins and node processes of one test."""

    __slots__ = ("client", "nodes", "store", "store_apps", "world")

    def __init__(
        self,
        world: World,
        store: StoreModel,
        store_apps: dict[str, StoreApp],
        client: httpx.AsyncClient,
    ):
        self.store_apps = store_apps
        self.world = world
        self.store = store
        self.client = client
        self.nodes: list[NodeProcess] = []

    def refuse_store_requests(self, *nodes: NodeProcess) -> None:
        """Make the store refuse all requests of the given nodes."""
        for node in nodes:
            self.store_apps[node.name].status = 503

    async def wait_ready(self) -> None:
        """Wait until all nodes report that they are ready."""
        with anyio.fail_after(START_LIMIT_S):
            for node in self.nodes:
                while not await self.is_ready(node):
                    assert node.process.poll() is None, node.errors.read_text()
                    await anyio.sleep(0.05)

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node reports that it is ready."""
        try:
            response = await self.client.get(f"http://{node.ready}/-/ready")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def call(
        self,
        node: NodeProcess,
        method: str,
        path: str,
        body: bytes = b"",
        limit_ms: int = 5_000,
    ) -> httpx.Response:
        """Send a caller's request to a node."""
        return await self.client.request(
            method,
            f"http://{node.caller}/batch/{path}",
            content=body,
            timeout=30.0,
            headers={"Host": "jobs.example", "Deadline-Ms": str(limit_ms)},
        )

    async def wait_state(self, node: NodeProcess, job_id: str, state: str) -> None:
        """Wait until a node reports a job in the given state."""
        with anyio.fail_after(START_LIMIT_S):
            while True:
                response = await self.call(node, "GET", job_id)
                if response.status_code == 200 and response.json()["state"] == state:
                    return
                await anyio.sleep(0.1)


def register_executor(store: StoreModel, model: ExecutorModel, address: str) -> None:
    """Append an executor's entry to the store, as the platform does."""
    entry = (model.executor_id, encode_entry(model, address))
    store.append("keyed.servers", 0, [entry], None)


def write_desired_state(store: StoreModel) -> None:
    """Append a desired state with the route to the store, as the operator does."""
    config = json.dumps({"version": 1, "routes": [ROUTE]}).encode()
    store.append("keyed.op", 0, [("config", config)], None)


@asynccontextmanager
async def running_programs(
    nodes: int = 2, changes: dict[str, Any] | None = None
) -> AsyncIterator[ProgramRig]:
    """Run the stand-ins and ``nodes`` node processes with changed settings.

    Nodes write log lines of JSON to standard output; anything on their standard error
    fails the test.
    """
    world = World(steady_behaviour(0.2))
    store = StoreModel()
    models = [ExecutorModel(world, f"i-{number}") for number in range(3)]
    apps = {model.executor_id: ExecutorApp(model) for model in models}
    names = [f"n{number}" for number in range(nodes)]
    store_apps = {name: StoreApp(store) for name in names}
    apps |= {f"store-{name}": app for name, app in store_apps.items()}
    apps["policy"] = PolicyApp(PolicyModel(models, 0.7, 2.0))
    with tempfile.TemporaryDirectory() as folder:
        async with serve_apps(apps) as addresses, httpx.AsyncClient() as client:
            for model in models:
                model.labels = ("a", "r1")
                register_executor(store, model, addresses[model.executor_id])
            write_desired_state(store)
            rig = ProgramRig(world, store, store_apps, client)
            try:
                for name in names:
                    rig.nodes.append(
                        NodeProcess(name, addresses, Path(folder), changes)
                    )
                await rig.wait_ready()
                yield rig
            finally:
                for node in rig.nodes:
                    node.end(signal.SIGKILL)
                    node.process.wait()
                    node.release_ports()
            for node in rig.nodes:
                errors = node.errors.read_text()
                assert errors == "", f"standard error of {node.name}:\n{errors}"
