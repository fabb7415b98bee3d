"""Tests of shares: a hot account, lent capacity, and accounts with one job.

The load: one account sends several times its usual, so that its queue is longer than
those of all other accounts together.
"""

from gypsumring.accounts import AccountUsage, ClientAccount, Resources
from gypsumring.dispatch.fairness import FairShares, make_shares
from gypsumring.pipelines.model import PipelineSpec
from gypsumring.utils.testing import make_load_tests

TOTAL = Resources(100_000, 200_000)
ACCOUNTS = {
    name: ClientAccount(name=name, weight=weight)
    for name, weight in (("hot", 1.0), ("small", 1.0), ("large", 2.0))
}


def make_spec(account, beyond_rate=False):
    """Return the record of a job of an account."""
    return PipelineSpec(
        job_id="a" * 16,
        queue="q",
        service="svc",
        accepted_ms=0,
        payload="",
        steps=(),
        account=account,
        beyond_rate=beyond_rate,
    )


def find(waiting, **cpu_by_account):
    """Return the accounts above their share, given the CPU that accounts hold."""
    usage = AccountUsage()
    for name, cpu_millis in cpu_by_account.items():
        usage.add(name, Resources(cpu_millis))
    return make_shares(ACCOUNTS, waiting, usage, TOTAL).above_share


def test_account_without_competitors_may_use_all_capacity():
    assert find(["hot"], hot=100_000) == frozenset()


def test_lent_capacity_is_above_share_once_its_account_waits():
    assert find(["hot", "small"], hot=100_000) == {"hot"}
    assert find(["hot", "small"], hot=50_000) == frozenset()


def test_shares_are_proportional_to_weights_not_to_queues():
    held = {"hot": 30_000, "small": 20_000, "large": 49_000}
    assert find(["hot"] * 1000 + ["small", "large"], **held) == {"hot"}


def test_memory_counts_if_it_is_the_dominant_resource():
    usage = AccountUsage()
    usage.add("hot", Resources(1000, 120_000))
    assert make_shares(ACCOUNTS, ["small"], usage, TOTAL).above_share == {"hot"}


def test_account_that_holds_nothing_is_never_above_its_share():
    assert "small" not in find(["hot", "small"], hot=100_000)


def test_accounts_without_weight_leave_the_order_unchanged():
    usage = AccountUsage()
    usage.add("zero", Resources(1000))
    accounts = {"zero": ClientAccount(name="zero", weight=0.0)}
    assert make_shares(accounts, ["zero"], usage, TOTAL).above_share == frozenset()


def test_work_beyond_the_rate_follows_that_within_it_of_the_same_priority():
    # Behind patient work of others, quick checks of a hot account had no use any more
    # once they started, although they would have held the capacity for a second only.
    shares = FairShares(["hot"])
    within = shares.rank(make_spec("small"), 0)
    above = shares.rank(make_spec("hot"), 0)
    beyond = shares.rank(make_spec("hot", beyond_rate=True), 0)
    patient = shares.rank(make_spec("small"), 2)
    assert within < above < beyond < patient


def test_priority_precedes_shares():
    shares = FairShares(["hot"])
    assert shares.rank(make_spec("hot"), 0) < shares.rank(make_spec("small"), 1)
    assert shares.rank(make_spec("small"), 1) < shares.rank(make_spec("hot"), 1)


load_tests = make_load_tests(globals())
