"""Settings of a node that runs on the platform's machines."""

from typing import Annotated, Any, Literal

import msgspec

from gypsumring.settings.model import LogOutputSettings, SocketAddress

__all__ = [
    "BoundSettings",
    "DoorSettings",
    "MachineLimits",
    "NodeSettings",
    "ProcessorSettings",
    "StoreSettings",
]

PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PeerPorts = Annotated[tuple[Port, ...], msgspec.Meta(min_length=1)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the platform's store.

    ``shortest_membership_ms`` is the shortest membership that the store grants.
    """

    address: SocketAddress
    # Number of partitions of each topic.
    partitions: Annotated[int, msgspec.Meta(ge=1)] = 1
    shortest_membership_ms: Annotated[int, msgspec.Meta(ge=1)] = 1_000


class BoundSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds of the platform; a key that ends in ``_ms`` or ``_s`` is a duration."""

    longest_lease_ms: Annotated[int, msgspec.Meta(ge=100)]
    stop_ms: Annotated[int, msgspec.Meta(ge=0)] = 1_000
    status_s: PositiveSeconds = 120
    shutdown_s: PositiveSeconds = 6
    gang_ms: Annotated[int, msgspec.Meta(ge=0)] = 3_000
    spread_factor: PositiveSeconds = 1


class ProcessorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Share of a core that a node may use, and the speed of that core.

    A speed of 1 is that of a reference core.
    """

    share: PositiveNumber = 1.0
    speed: PositiveNumber = 1.0

    @property
    def size(self) -> int:
        """Processing capacity in thousandths of a reference core."""
        return max(1, round(self.share * self.speed * 1000))


class MachineLimits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Memory, descriptors and link of the machine.

    A process that uses more memory or descriptors is ended.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 160
    descriptors: Annotated[int, msgspec.Meta(ge=300)] = 1_638
    # Megabits a second that the link carries in each direction. If 0, that of the
    # platform's limits counts.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0


class DoorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits for callers; a key that ends in ``_s`` is a duration.

    The shares are those of the machine's memory and of its sockets.
    """

    memory_share: Annotated[float, msgspec.Meta(gt=0, le=0.9)] = 0.375
    connection_share: Annotated[float, msgspec.Meta(gt=0, le=0.9)] = 0.5
    head_s: PositiveSeconds = 15
    body_stall_s: PositiveSeconds = 15
    body_bytes_per_s: Annotated[int, msgspec.Meta(ge=0)] = 1_024
    unread_s: PositiveSeconds = 15
    idle_s: PositiveSeconds = 60
    # Requests that a connection may send before it has the answer to the first.
    requests_ahead: Annotated[int, msgspec.Meta(ge=0)] = 16


class NodeSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one node; other nodes connect to its ``peer_address``."""

    node: str
    data_centre: str
    region: str
    caller_address: SocketAddress
    readiness_address: SocketAddress
    # If empty, metrics are served on the readiness address only.
    metrics_address: str = ""
    peer_host: str
    peer_ports: PeerPorts
    store: StoreSettings
    policy_address: str = ""
    bounds: BoundSettings
    processor: ProcessorSettings = ProcessorSettings()
    limits: MachineLimits = MachineLimits()
    # Limits of the machine as the platform states them; some may be missing.
    platform_limits: dict[str, Any] = {}
    door: DoorSettings = DoorSettings()
    task_lease_ms: Annotated[int, msgspec.Meta(ge=500)] = 5_000
    # Where tasks with checkpoints are stopped for others; ``accounts`` means only in
    # deployments with client accounts.
    preemption: Literal["off", "on", "accounts"] = "accounts"
    log_output: LogOutputSettings = LogOutputSettings(json=True)

    @property
    def peer_address(self) -> str:
        """Address on which this node listens for channels of other nodes."""
        return f"{self.peer_host}:{self.peer_ports[0]}"
