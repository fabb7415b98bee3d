"""Port to the platform's list of VMs."""

import enum
from typing import Protocol

import msgspec

__all__ = ["VmEntry", "VmList", "VmListing", "VmRole", "VmState"]


class VmRole(enum.StrEnum):
    """Use of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    EXECUTOR = "executor"


class VmState(enum.StrEnum):
    """Whether a VM accepts work."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """VM in the list.

    ``address`` is an IP address with a port. ``cpu_millis`` is in thousandths of a
    core and ``memory_mb`` in MiB. ``pool``, ``slots`` and ``connections`` apply to
    executors.
    """

    name: str
    role: VmRole
    state: VmState
    address: str
    region: str
    data_centre: str
    rack: str = ""
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    pool: str = ""
    slots: int = 0
    connections: int = 0

    @property
    def shard(self) -> str:
        """Return the name of the rack shard that owns this VM."""
        return f"rack/{self.data_centre}/{self.rack}"


class VmListing(msgspec.Struct, frozen=True):
    """Answer of the VM list; a later listing has a higher version."""

    version: int
    vms: tuple[VmEntry, ...]


class VmList(Protocol):
    """Client of the list of live and leaving VMs; the list may be out of date."""

    async def list_vms(self) -> VmListing:
        """Return the current listing; raise VmListUnavailable."""
