"""Follow the VM list, which lags and may hide VMs that live."""

from gypsumring.metrics import Metrics
from gypsumring.ports import VmEntry, VmListing, VmRole
from gypsumring.settings import TimingSettings

__all__ = ["VmWatch"]

UPSTREAM_ROLES = (VmRole.WORKER, VmRole.EXECUTOR)


class VmWatch:
    """Keep the newest listing, and the workers that have disappeared from it.

    A worker that is listed no longer may still run tasks: the list can be wrong. Its
    leases are renewed for ``unlisted_renew_ms`` at most, so that its tasks have
    surely ended ``kept_s`` seconds after it was listed last. ``trusted_at`` is the
    monotonic time from which a worker that this process has never seen listed cannot
    hold tasks either.
    """

    __slots__ = ("kept_s", "metrics", "trusted_at", "unlisted", "version", "vms")

    def __init__(self, timing: TimingSettings, metrics: Metrics):
        kept_ms = (
            timing.unlisted_renew_ms
            + timing.task_lease_ms
            + timing.call_ms
            + timing.margin_ms
        )
        self.kept_s = kept_ms / 1000
        self.metrics = metrics
        self.version = -1
        self.vms: tuple[VmEntry, ...] = ()
        self.unlisted: dict[str, tuple[VmEntry, float]] = {}
        self.trusted_at = float("inf")

    def apply(self, listing: VmListing, now: float) -> bool:
        """Take in a later listing; tell whether it was taken."""
        if listing.version <= self.version:
            return False
        self.version = listing.version
        if not any(vm.role in UPSTREAM_ROLES for vm in listing.vms) and self.vms:
            # Not all upstreams disappear at once, so the list is at fault.
            self.metrics.count("scheduler.listings_without_upstream")
            return False
        self.trusted_at = min(self.trusted_at, now + self.kept_s)
        names = {vm.name for vm in listing.vms}
        for vm in self.vms:
            if vm.role is VmRole.WORKER and vm.name not in names:
                self.unlisted[vm.name] = (vm, now)
        for name in names:
            self.unlisted.pop(name, None)
        self.vms = listing.vms
        return True

    def list_unlisted_workers(self, now: float) -> list[VmEntry]:
        """Return the workers that are listed no longer and may still run tasks."""
        for name, (_, since) in list(self.unlisted.items()):
            if now >= since + self.kept_s:
                del self.unlisted[name]
        return [self.unlisted[name][0] for name in sorted(self.unlisted)]
