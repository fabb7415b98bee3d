"""The owner keeps accounts that left the desired state until their jobs are done.

Guards against jobs of a removed account that lose its cap or share, also by a takeover,
and against keys in the records.
"""

import anyio

from gypsumring.accounts import Resources
from gypsumring.cell.accounts import ACCOUNT_KEY, AccountRecord
from gypsumring.cell.tests.accounts import (
    make_account,
    set_accounts,
    submit_for,
    take_over,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import encode
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC
from stand_ins.platform.world import steady_behaviour

JOB = "a" * 16


def find_book(cluster):
    """Return the account book of the owner."""
    return cluster.owner_node().owner().state.accounts


def list_records(cluster):
    """Return the stored records of accounts by name."""
    records, _ = cluster.store.newest(CELL_TOPIC, 0)
    return {
        record.key[len(ACCOUNT_KEY) :]: record.value
        for record in records
        if record.key.startswith(ACCOUNT_KEY) and record.value
    }


async def test_removed_account_keeps_its_form_also_under_a_later_owner():
    async with running_cluster(steady_behaviour(20.0)) as cluster:
        set_accounts(cluster, make_account("a", 8000, 3.0), make_account("b"))
        await submit_for(cluster, JOB, "a")
        set_accounts(cluster, make_account("b"))
        assert find_book(cluster).find("a").weight == 3.0
        await take_over(cluster)
        book = find_book(cluster)
        assert book.find("a").cap == Resources(cpu_millis=8000)
        assert book.caps == {"a": (8000, 0, 0)}
        # An account that returns has its new form.
        set_accounts(cluster, make_account("a", 4000, 1.0))
        assert book.find("a").cap == Resources(cpu_millis=4000)
        await anyio.sleep(0.5)
        assert set(list_records(cluster)) == {"a"}


async def test_records_have_no_keys_and_are_deleted_after_the_last_job():
    async with running_cluster(steady_behaviour(0.5)) as cluster:
        set_accounts(cluster, make_account("a"), make_account("b"))
        await submit_for(cluster, JOB, "a")
        assert set(list_records(cluster)) == {"a"}
        assert b"digest" not in list_records(cluster)["a"]
        set_accounts(cluster, make_account("b"))
        await cluster.wait_final(JOB)
        await anyio.sleep(200)
        assert not list_records(cluster)
        assert find_book(cluster).find("a") is None


async def test_records_that_cannot_be_used_are_skipped_and_counted():
    async with running_cluster() as cluster:
        odd = {
            "nan": encode(AccountRecord(name="nan", weight=float("nan"))),
            "low": encode(AccountRecord(name="low", cap=Resources(cpu_millis=-1))),
            "other": encode(AccountRecord(name="a")),
            "bytes": b"\xc1",
        }
        cluster.store.append(
            CELL_TOPIC,
            0,
            [(ACCOUNT_KEY + name, value) for name, value in odd.items()],
            None,
        )
        await take_over(cluster)
        assert not find_book(cluster).accounts
        assert cluster.metrics.counters["cell.records.unreadable"] == len(odd)


async def test_deployment_without_accounts_stores_none():
    async with running_cluster(steady_behaviour(0.5)) as cluster:
        await submit_for(cluster, JOB, "")
        book = find_book(cluster)
        assert not book.is_active()
        assert not list_records(cluster)
        await cluster.wait_final(JOB)


load_tests = make_load_tests(globals())
