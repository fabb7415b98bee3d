"""Jobs beyond the rate of their account are marked in their records.

Guards against a hot account that gains a new burst by a takeover, and against marks in
deployments without accounts.
"""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.accounts import (
    make_account,
    make_account_job,
    set_accounts,
    take_over,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import StepSpec, decode_spec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC
from stand_ins.platform.world import steady_behaviour

STEP = StepSpec(task_count=1, cpu_millis=100, estimated_ms=500)


async def submit_many(cluster, numbers, account="a"):
    """Submit jobs at once; return how many of them are marked in the store."""

    async def submit(number):
        job = make_account_job(f"{number:016x}", account, STEP)
        now_ms = int(anyio.current_time() * 1000)
        job = msgspec.structs.replace(job, accepted_ms=now_ms)
        assert await cluster.submit(job, 10.0) is Outcome.OK

    async with anyio.create_task_group() as group:
        for number in numbers:
            group.start_soon(submit, number)
    records, _ = cluster.store.newest(CELL_TOPIC, 0)
    specs = [
        decode_spec(record.value)
        for record in records
        if record.key.startswith("j/") and record.value
    ]
    return sum(
        spec.beyond_rate for spec in specs if int(spec.job_id, 16) in set(numbers)
    )


async def test_jobs_above_the_weight_are_marked():
    async with running_cluster(steady_behaviour(0.2)) as cluster:
        set_accounts(cluster, make_account("a", weight=10.0))
        assert await submit_many(cluster, range(30)) == 20
        assert cluster.metrics.counters["cell.jobs.beyond_rate"] == 20
        await anyio.sleep(2.0)
        assert await submit_many(cluster, range(30, 40)) == 0
        # Jobs of an account that is not known are not counted.
        assert await submit_many(cluster, range(100, 130), "b") == 0


async def test_account_gains_nothing_by_a_takeover():
    async with running_cluster(steady_behaviour(0.2)) as cluster:
        set_accounts(cluster, make_account("a", weight=10.0))
        await anyio.sleep(2.0)
        began = anyio.current_time()
        marked = await submit_many(cluster, range(12))
        await take_over(cluster)
        marked += await submit_many(cluster, range(12, 40))
        granted = 40 - marked
        # The burst of one second, and the rate for the time until the last job.
        assert granted <= 10 * (1 + anyio.current_time() - began) + 1, granted


async def test_new_owner_counts_what_was_accepted_just_before():
    async with running_cluster(steady_behaviour(0.2)) as cluster:
        set_accounts(cluster, make_account("a", weight=10.0))
        await submit_many(cluster, range(10))
        await take_over(cluster)
        book = cluster.owner_node().owner().state.accounts
        assert book.meter.buckets["a"].tokens < 1.0


async def test_nothing_is_marked_without_accounts():
    async with running_cluster(steady_behaviour(0.2)) as cluster:
        assert await submit_many(cluster, range(30)) == 0
        book = cluster.owner_node().owner().state.accounts
        assert not book.meter.buckets


load_tests = make_load_tests(globals())
