"""Shares of contested capacity among client accounts.

An account's share is its weight in proportion to the weights of all accounts that run
or wait for something, so that the share of an account without demand is lent to the
others. Steps of accounts above their share follow those of the same priority that are
within theirs. Work that an account sent beyond its rate follows all other work.
"""

from collections.abc import Iterable, Mapping

from gypsumring.accounts import (
    AccountUsage,
    ClientAccount,
    Resources,
    dominant_share,
)
from gypsumring.pipelines.model import PipelineSpec

__all__ = ["FairShares", "find_above_share"]

# Jobs without an account share one with the default weight.
NO_ACCOUNT = ClientAccount(name="")


class FairShares:
    """Accounts that hold more than their share, by which waiting steps are ranked."""

    __slots__ = ("above_share",)

    def __init__(self, above_share: Iterable[str] = ()):
        self.above_share = frozenset(above_share)

    def rank(self, spec: PipelineSpec, priority: int) -> tuple[bool, int, bool]:
        """Return the sort key of a job that precedes its target time.

        A larger key yields to a smaller one where capacity is contested.
        """
        return spec.beyond_rate, priority, spec.account in self.above_share


def find_above_share(
    accounts: Mapping[str, ClientAccount],
    waiting: Iterable[str],
    usage: AccountUsage,
    total: Resources,
) -> frozenset[str]:
    """Return the names of the accounts that hold more than their share of ``total``.

    ``waiting`` names the accounts with waiting steps; a single account with demand may
    use everything.
    """
    holders = set(usage)
    demanding = holders.union(waiting)
    weights = {name: accounts.get(name, NO_ACCOUNT).weight for name in demanding}
    weight_sum = sum(weights.values())
    if not weight_sum:
        return frozenset()
    return frozenset(
        name
        for name in holders
        if dominant_share(usage.get(name), total) > weights[name] / weight_sum
    )
