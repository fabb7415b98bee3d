"""Settings of a node on the platform's machines."""

from typing import Annotated

import msgspec

from gypsumring.settings.model import LogOutputSettings, SocketAddress

__all__ = ["BoundSettings", "NodeSettings", "ProcessorSettings", "StoreSettings"]

PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Locate the platform's store; the shortest membership it grants is in ms."""

    address: SocketAddress
    # Partitions of each topic.
    partitions: Annotated[int, msgspec.Meta(ge=1)] = 1
    shortest_membership_ms: Annotated[int, msgspec.Meta(ge=1)] = 1_000


class BoundSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """State the platform's bounds, in milliseconds or seconds as the key says."""

    longest_lease_ms: Annotated[int, msgspec.Meta(ge=100)]
    stop_ms: Annotated[int, msgspec.Meta(ge=0)] = 1_000
    status_s: PositiveSeconds = 120
    shutdown_s: PositiveSeconds = 6
    gang_ms: Annotated[int, msgspec.Meta(ge=0)] = 3_000
    spread_factor: PositiveSeconds = 1


class ProcessorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """State the share of a core that a node has, and the speed of that core.

    Speed 1 is usual.
    """

    share: PositiveNumber = 1.0
    speed: PositiveNumber = 1.0

    @property
    def size(self) -> int:
        """Return the size of the machine in thousandths of a usual core."""
        return max(1, round(self.share * self.speed * 1000))


class NodeSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Configure one node; ``peer_address`` is where other nodes reach it."""

    node: str
    data_centre: str
    region: str
    caller_address: SocketAddress
    readiness_address: SocketAddress
    # Empty: metrics are served on the readiness address only.
    metrics_address: str = ""
    peer_host: str
    peer_ports: Annotated[tuple[int, ...], msgspec.Meta(min_length=1)]
    store: StoreSettings
    policy_address: str = ""
    bounds: BoundSettings
    processor: ProcessorSettings = ProcessorSettings()
    task_lease_ms: Annotated[int, msgspec.Meta(ge=500)] = 5_000
    log_output: LogOutputSettings = LogOutputSettings(json=True)

    @property
    def peer_address(self) -> str:
        """Return the address of this node's channel listener."""
        return f"{self.peer_host}:{self.peer_ports[0]}"
