"""State of the VM list stand-in."""

import bisect

import msgspec

from gypsumring.ports import VmEntry, VmListing, VmState

__all__ = ["VmListState"]


class VmListState:
    """History of VM listings; readers get the one that was current ``lag_s`` ago."""

    def __init__(self, vms: list[VmEntry], lag_s: float = 2.0):
        self.lag_s = lag_s
        self.down = False
        self.changed_at: list[float] = [float("-inf")]
        self.listings = [VmListing(1, tuple(vms))]

    def change(self, vms: list[VmEntry], now: float) -> None:
        """Replace the entries; readers see them after the lag."""
        self.changed_at.append(now)
        self.listings.append(VmListing(len(self.listings) + 1, tuple(vms)))

    def add(self, vm: VmEntry, now: float) -> None:
        """Add a VM, replacing an entry of the same name."""
        others = [entry for entry in self.listings[-1].vms if entry.name != vm.name]
        self.change([*others, vm], now)

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark a VM as leaving."""
        self.change(
            [
                msgspec.structs.replace(vm, state=VmState.LEAVING)
                if vm.name == name
                else vm
                for vm in self.listings[-1].vms
            ],
            now,
        )

    def remove(self, name: str, now: float) -> None:
        """Remove a VM from the list."""
        self.change([vm for vm in self.listings[-1].vms if vm.name != name], now)

    def listing(self, now: float) -> VmListing:
        """Return the listing as of ``now`` minus the lag."""
        index = bisect.bisect_right(self.changed_at, now - self.lag_s) - 1
        return self.listings[max(index, 0)]
