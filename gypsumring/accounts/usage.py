"""Count what each client account has running."""

from collections.abc import Iterator

from gypsumring.accounts.model import Resources

__all__ = ["AccountUsage", "dominant_share"]

NOTHING = Resources()


class AccountUsage:
    """Resources held by the attempts of each client account on all executors.

    An attempt counts from the decision to start it until it is certain not to run any
    more, like the capacity of its executor. Attempts without demand do not count.
    """

    __slots__ = ("held",)

    def __init__(self):
        # Millicores, memory in MB and accelerators by account name.
        self.held: dict[str, tuple[int, int, int]] = {}

    def get(self, account: str) -> Resources:
        """Return what the attempts of an account hold."""
        return Resources(*self.held.get(account, (0, 0, 0)))

    def add(self, account: str, demand: Resources) -> None:
        """Count an attempt that holds its demand from now on."""
        if demand == NOTHING:
            return
        cpu_millis, memory_mb, accelerators = self.held.get(account, (0, 0, 0))
        self.held[account] = (
            cpu_millis + demand.cpu_millis,
            memory_mb + demand.memory_mb,
            accelerators + demand.accelerators,
        )

    def remove(self, account: str, demand: Resources) -> None:
        """Release the demand of an attempt that was added before."""
        if demand == NOTHING:
            return
        cpu_millis, memory_mb, accelerators = self.held[account]
        held = (
            cpu_millis - demand.cpu_millis,
            memory_mb - demand.memory_mb,
            accelerators - demand.accelerators,
        )
        if any(held):
            self.held[account] = held
        else:
            del self.held[account]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the accounts that hold resources."""
        return iter(list(self.held))


def dominant_share(held: Resources, total: Resources) -> float:
    """Return the largest share that an account holds of any resource.

    Source: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """
    pairs = (
        (held.cpu_millis, total.cpu_millis),
        (held.memory_mb, total.memory_mb),
        (held.accelerators, total.accelerators),
    )
    return max((part / whole for part, whole in pairs if whole), default=0.0)
