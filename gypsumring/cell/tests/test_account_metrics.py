"""Gauges by account show why an account waits, and are bounded in number.

Guards against a metric for each of thousands of accounts, and against gauges of
accounts that left.
"""

import anyio

from gypsumring.cell.account_metrics import ACCOUNT_GAUGES, MAX_ACCOUNTS
from gypsumring.cell.tests.accounts import make_account, set_accounts, submit_for
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.metrics import Metrics
from gypsumring.pipelines import StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.world import steady_behaviour

STEP = StepSpec(task_count=6, cpu_millis=2000, memory_mb=100, estimated_ms=500)


def measure(cluster):
    """Return the gauges of the accounts without their prefix."""
    gauges = cluster.owner_node().owner().measure()
    return {
        name[len(ACCOUNT_GAUGES) :]: value
        for name, value in gauges.items()
        if name.startswith(ACCOUNT_GAUGES)
    }


async def test_gauges_show_what_an_account_has_running_and_what_its_cap_blocks():
    async with running_cluster(steady_behaviour(5.0)) as cluster:
        set_accounts(cluster, make_account("Acme 1", 8000), make_account("b"))
        await anyio.sleep(0.5)
        await submit_for(cluster, "a" * 16, "Acme 1", STEP)
        await submit_for(cluster, "b" * 16, "b", STEP)
        await anyio.sleep(0.5)
        gauges = measure(cluster)
        assert gauges["acme_1.running_cpu_millis"] == 8000
        assert gauges["acme_1.running_memory_mb"] == 400
        assert gauges["acme_1.cap_cpu_millis"] == 8000
        assert gauges["acme_1.waiting_steps"] == 1
        assert gauges["acme_1.blocked_steps"] == 1
        assert gauges["acme_1.blocked_by_cap"] == 1
        assert gauges["acme_1.starts"] == 4
        assert gauges["b.starts"] == 6
        assert gauges["b.waiting_steps"] == 0


async def test_gauges_are_bounded_in_number():
    async with running_cluster(steady_behaviour(5.0)) as cluster:
        names = [f"t{number}" for number in range(500)]
        set_accounts(
            cluster,
            *(make_account(name) for name in names),
            make_account("T 1", weight=999.0),
            make_account("t_1", weight=998.0),
        )
        await submit_for(cluster, "a" * 16, "t499", STEP)
        await anyio.sleep(0.5)
        gauges = measure(cluster)
        assert len({name.partition(".")[0] for name in gauges}) == MAX_ACCOUNTS + 1
        assert gauges["others.running_cpu_millis"] == 12_000
        assert "t_1.starts" in gauges


async def test_no_gauges_without_accounts():
    async with running_cluster(steady_behaviour(0.5)) as cluster:
        await submit_for(cluster, "a" * 16, "", STEP)
        assert not measure(cluster)


def test_gauges_of_accounts_that_left_are_discarded():
    metrics = Metrics()
    metrics.set_gauge("cell.account.a.starts", 1)
    metrics.set_gauge("cell.accounts", 2)
    metrics.discard_gauges(ACCOUNT_GAUGES)
    assert metrics.gauges == {"cell.accounts": 2}


load_tests = make_load_tests(globals())
