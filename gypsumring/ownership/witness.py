"""Proof from the VM list that a member's process is dead."""

from collections.abc import Iterable

from gypsumring.metrics import Metrics
from gypsumring.ownership.fold import Member
from gypsumring.ports import VmListing, VmRole

__all__ = ["VmListWitness"]


class VmListWitness:
    """Note which members' VMs were listed and have disappeared since.

    A VM that was never listed proves nothing: the list lags behind new VMs.
    """

    __slots__ = ("delisted", "listed", "metrics", "version")

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.listed: set[str] = set()
        self.delisted: set[str] = set()
        self.version = -1

    def observe(self, listing: VmListing, members: Iterable[Member]) -> None:
        """Compare a listing with the members, unless a later one was seen."""
        if listing.version <= self.version:
            return
        self.version = listing.version
        entries = [vm for vm in listing.vms if vm.role == VmRole.ENTRY]
        if not entries:
            # An empty list is a fault of the list, not a proof about every VM.
            self.metrics.count("ownership.listings_without_entry_vm")
            return
        names = {vm.name for vm in entries} | {vm.address for vm in entries}
        for member in members:
            if member.node in names or member.peer_address in names:
                self.listed.add(member.node)
                self.delisted.discard(member.node)
            elif member.node in self.listed:
                self.delisted.add(member.node)
