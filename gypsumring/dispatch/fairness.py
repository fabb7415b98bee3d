"""Shares of contested capacity among client accounts.

An account's share is its weight in proportion to the weights of all accounts that run
or wait for something, so that the share of an account without demand is lent to the
others. Steps of accounts above their share follow those of the same priority that are
within theirs. Work that an account sent beyond its rate follows all of these.
"""

from collections.abc import Iterable, Mapping

from gypsumring.accounts import (
    AccountUsage,
    ClientAccount,
    Resources,
    dominant_share,
)
from gypsumring.pipelines.model import PipelineSpec

__all__ = ["FairShares", "make_shares"]

# Jobs without an account share one with the default weight.
NO_ACCOUNT = ClientAccount(name="")
NOTHING = Resources()


class FairShares:
    """Accounts that hold more than their share, by which waiting steps are ranked.

    ``shares`` are the shares of ``total`` by account, empty where there are none.
    """

    __slots__ = ("above_share", "shares", "total", "usage")

    def __init__(
        self,
        above_share: Iterable[str] = (),
        shares: Mapping[str, float] | None = None,
        usage: AccountUsage | None = None,
        total: Resources = NOTHING,
    ):
        self.above_share = frozenset(above_share)
        self.shares = shares or {}
        self.usage = AccountUsage() if usage is None else usage
        self.total = total

    def rank(self, spec: PipelineSpec, priority: int) -> tuple[int, bool, bool]:
        """Return the sort key of a job that precedes its target time.

        A larger key yields to a smaller one where capacity is contested.
        """
        return priority, spec.beyond_rate, spec.account in self.above_share

    def count_within(self, account: str, demand: Resources, count: int) -> int:
        """Return how many of ``count`` tasks an account may start within its share.

        An account that holds nothing may start one in any case.
        """
        share = self.shares.get(account)
        if share is None:
            return count
        held = self.usage.get(account)
        for whole, used, needed in (
            (self.total.cpu_millis, held.cpu_millis, demand.cpu_millis),
            (self.total.memory_mb, held.memory_mb, demand.memory_mb),
            (self.total.accelerators, held.accelerators, demand.accelerators),
        ):
            if whole and needed:
                count = min(count, max(0, int((share * whole - used) // needed)))
        return count if held != NOTHING else max(1, count)

    def stays_above(self, account: str, demand: Resources) -> bool:
        """Return whether an account is above its share even without a task."""
        if account not in self.above_share:
            return False
        held = self.usage.get(account)
        rest = Resources(
            held.cpu_millis - demand.cpu_millis,
            held.memory_mb - demand.memory_mb,
            held.accelerators - demand.accelerators,
        )
        return dominant_share(rest, self.total) > self.shares.get(account, 0.0)


def compute_shares(
    accounts: Mapping[str, ClientAccount], waiting: Iterable[str], usage: AccountUsage
) -> dict[str, float]:
    """Return the shares of the accounts that run or wait; none if no weight is set."""
    demanding = set(usage).union(waiting)
    weights = {name: accounts.get(name, NO_ACCOUNT).weight for name in demanding}
    weight_sum = sum(weights.values())
    if not weight_sum:
        return {}
    return {name: weight / weight_sum for name, weight in weights.items()}


def make_shares(
    accounts: Mapping[str, ClientAccount],
    waiting: Iterable[str],
    usage: AccountUsage,
    total: Resources,
) -> FairShares:
    """Return the shares of ``total``, with the accounts that hold more than theirs.

    ``waiting`` names the accounts with waiting steps; a single account with demand may
    use everything.
    """
    shares = compute_shares(accounts, waiting, usage)
    above_share = frozenset(
        name
        for name in usage
        if name in shares and dominant_share(usage.get(name), total) > shares[name]
    )
    return FairShares(above_share, shares, usage, total)
