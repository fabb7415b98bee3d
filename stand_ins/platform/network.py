"""Network between node processes and stand-ins that can be cut for each node.

Each node has a store, executors and peers at addresses of its own, so that the calls of
one node can be held back. A call that is held back is carried out once the cut ends, as
bytes that TCP delivers late; each direction between two nodes is held back on its own.
All addresses have the same length.
"""

import base64
from contextlib import suppress
from itertools import permutations
from typing import Any

import anyio
import anyio.abc

from gypsumring.utils.addresses import split_address
from stand_ins.platform.executor import ExecutorModel
from stand_ins.platform.peers import Cut
from stand_ins.platform.servers import ExecutorApp, StoreApp
from stand_ins.platform.store import StoreModel
from stand_ins.servers.ports import find_free_port, hold_free_port

__all__ = ["Network", "PeerLink"]

HOST = "127.0.0.1"
READ_BYTES = 65_536


def find_address() -> str:
    """Return an unused loopback address with a port of five digits."""
    while (port := find_free_port()) < 10_000:
        pass
    return f"{HOST}:{port}"


def replace_addresses(data: bytes, addresses: dict[str, str]) -> bytes:
    """Replace addresses in a message."""
    for old, new in addresses.items():
        data = data.replace(old.encode(), new.encode())
    return data


class CutApp:
    """ASGI app whose calls are held back while a path is cut."""

    __slots__ = ("app", "cut")

    def __init__(self, app: Any, cut: Cut):
        self.app = app
        self.cut = cut

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle a call and send its response once the path is open."""

        async def send_when_open(message: dict[str, Any]) -> None:
            await self.cut.wait_until_open()
            await send(message)

        if scope["type"] == "http":
            await self.cut.wait_until_open()
        await self.app(scope, receive, send_when_open)


class ViewedStoreApp(StoreApp):
    """App of the store for one node, with the addresses that this node sees.

    ``seen`` maps the stored addresses to those of the node.
    """

    __slots__ = ("seen",)

    def __init__(self, model: StoreModel):
        super().__init__(model)
        self.seen: dict[str, str] = {}

    async def handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Return the status and the body of the response."""
        stored = {seen: stored for stored, seen in self.seen.items()}
        body = replace_addresses(body, stored)
        status, reply = await super().handle(path, query, body)
        if isinstance(reply, bytes):
            return status, replace_addresses(reply, self.seen)
        for item in reply.get("items", ()):
            value = replace_addresses(base64.b64decode(item["value"]), self.seen)
            item["value"] = base64.b64encode(value).decode()
        for row in reply.get("parts", ()):
            if isinstance(row[2], str):
                row[2] = replace_addresses(row[2].encode(), self.seen).decode()
        return status, reply


class PeerLink:
    """Proxy through which one node reaches another.

    Bytes in one direction are held back while ``sent`` is cut, in the other while
    ``returned`` is.
    """

    __slots__ = (
        "address",
        "incoming",
        "outgoing",
        "reserved",
        "returned",
        "sent",
        "target",
    )

    def __init__(self, target: str, sent: Cut, returned: Cut):
        self.target = target
        # Keeps the port from being chosen for another link or connection.
        self.reserved = hold_free_port()
        self.address = f"{HOST}:{self.reserved.getsockname()[1]}"
        self.sent = sent
        self.returned = returned
        # Replaced addresses in the messages to the target and in its replies.
        self.incoming: dict[str, str] = {}
        self.outgoing: dict[str, str] = {}

    async def run(self) -> None:
        """Serve connections until cancelled."""
        host, port = split_address(self.address)
        with self.reserved:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            async with listener:
                await listener.serve(self.serve)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Forward the bytes of one connection in both directions."""
        async with stream:
            await self.sent.wait_until_open()
            host, port = split_address(self.target)
            try:
                target = await anyio.connect_tcp(host, port)
            except OSError:
                return
            async with target, anyio.create_task_group() as group:
                group.start_soon(forward, target, stream, self.returned, self.outgoing)
                await forward(stream, target, self.sent, self.incoming)


async def forward(
    source: anyio.abc.SocketStream,
    target: anyio.abc.SocketStream,
    cut: Cut,
    addresses: dict[str, str],
) -> None:
    """Forward bytes in one direction, and its end once the path is open."""
    try:
        while True:
            data = await source.receive(READ_BYTES)
            await cut.wait_until_open()
            await target.send(replace_addresses(data, addresses))
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        await cut.wait_until_open()
        with suppress(OSError, anyio.BrokenResourceError):
            await target.send_eof()


class Network:
    """Paths of each node to the store, to the executors and to the other nodes."""

    __slots__ = (
        "executor_cuts",
        "links",
        "models",
        "paths",
        "store_apps",
        "store_cuts",
    )

    def __init__(
        self, names: list[str], store: StoreModel, models: list[ExecutorModel]
    ):
        self.models = models
        self.store_apps = {name: ViewedStoreApp(store) for name in names}
        self.store_cuts = {name: Cut() for name in names}
        self.executor_cuts = {
            (name, model.executor_id): Cut() for name in names for model in models
        }
        # Paths and links by the names of the sender and the receiver.
        self.paths = {pair: Cut() for pair in permutations(names, 2)}
        self.links: dict[tuple[str, str], PeerLink] = {}

    def make_apps(self) -> dict[str, CutApp]:
        """Return the apps of all nodes by name."""
        apps = {}
        for name, cut in self.store_cuts.items():
            apps[f"store-{name}"] = CutApp(self.store_apps[name], cut)
        models = {model.executor_id: model for model in self.models}
        for (name, executor_id), cut in self.executor_cuts.items():
            app = ExecutorApp(models[executor_id])
            apps[f"{executor_id}-{name}"] = CutApp(app, cut)
        return apps

    def add_executor(
        self, executor_id: str, stored: str, addresses: dict[str, str]
    ) -> None:
        """Let each node see its own address of an executor in place of the stored one.

        ``addresses`` holds the addresses of all apps by name.
        """
        for name, app in self.store_apps.items():
            app.seen[stored] = addresses[f"{executor_id}-{name}"]

    def add_links(self, targets: dict[str, str]) -> None:
        """Add the links to the peer addresses of the nodes, by name."""
        for pair, path in self.paths.items():
            returned = self.paths[pair[::-1]]
            self.links[pair] = PeerLink(targets[pair[1]], path, returned)
            app = self.store_apps[pair[0]]
            app.seen[targets[pair[1]]] = self.links[pair].address
        # All addresses of a node, by the names of those who see and who have them.
        seen = {pair: link.address for pair, link in self.links.items()}
        seen |= {(name, name): target for name, target in targets.items()}
        for (sender, receiver), link in self.links.items():
            for name in targets:
                near, far = seen[sender, name], seen[receiver, name]
                link.incoming[near], link.outgoing[far] = far, near

    def find_paths(self, senders: set[str], receivers: set[str]) -> list[Cut]:
        """Return the paths of messages from some nodes to others."""
        return [
            path
            for (sender, receiver), path in self.paths.items()
            if sender in senders and receiver in receivers
        ]

    def find_cuts(self, names: set[str], reached: set[str]) -> list[Cut]:
        """Return the paths to cut so that only some nodes reach some executors.

        These nodes reach neither the store nor other executors.
        """
        cuts = [self.store_cuts[name] for name in names]
        for (node, executor_id), cut in self.executor_cuts.items():
            if (node in names) != (executor_id in reached):
                cuts.append(cut)
        return cuts
