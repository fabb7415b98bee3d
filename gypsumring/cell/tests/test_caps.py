"""No start brings an account above its cap, whatever fails meanwhile.

Guards against starts that are not counted: unanswered ones, those of an earlier owner
on executors that are silent, those that are being stopped, and gangs started in part;
and against accounts whose caps let nothing start any more, or that block others.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.accounts import Resources
from gypsumring.cell.tests.accounts import (
    make_account,
    set_accounts,
    submit_for,
    take_over,
)
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.cell.waiting import WaitReason, explain_wait
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster
from stand_ins.platform.executor import Trouble
from stand_ins.platform.world import steady_behaviour

CAP = 8000
SMALL = StepSpec(task_count=4, cpu_millis=2000, estimated_ms=800)
ONE = StepSpec(task_count=1, cpu_millis=2000, estimated_ms=800)
GANG = StepSpec(task_count=4, cpu_millis=2000, estimated_ms=800, gang=True)
WIDE_GANG = StepSpec(task_count=5, cpu_millis=2000, estimated_ms=800, gang=True)


@asynccontextmanager
async def capped_cluster(work_s: float = 2.0, **options) -> AsyncIterator:
    """Run a cluster of 32 cores whose account ``a`` has a cap of 8 cores.

    The account never has more running than that.
    """
    async with running_cluster(steady_behaviour(work_s), **options) as cluster:
        set_accounts(cluster, make_account("a", CAP), make_account("b"))
        cluster.world.set_cap("a", Resources(cpu_millis=CAP))
        await anyio.sleep(1.0)
        yield cluster
        peak = cluster.world.account_peaks.get("a", Resources())
        assert peak.cpu_millis <= CAP, peak


def make_id(number: int) -> str:
    """Return the id of a job."""
    return f"{number:016x}"


def count_started(cluster: MemoryCluster, job_id: str) -> int:
    """Return how many tasks of a job have started."""
    return sum(task.startswith(job_id) for task in cluster.world.starts)


async def await_completed(cluster: MemoryCluster, *job_ids: str) -> None:
    """Wait until jobs are completed."""
    for job_id in job_ids:
        assert await cluster.wait_final(job_id) is JobPhase.COMPLETED


async def test_account_uses_its_cap_and_leaves_the_rest_to_others():
    async with capped_cluster() as cluster:
        ids = [make_id(number) for number in range(4)]
        for job_id in ids:
            await submit_for(cluster, job_id, "a", SMALL)
        await submit_for(cluster, "b" * 16, "b", SMALL)
        await anyio.sleep(0.5)
        assert cluster.world.sum_running("a").cpu_millis == CAP
        assert count_started(cluster, "b" * 16) == 4
        state = cluster.owner_node().owner().state
        assert state.metrics.counters["cell.starts.blocked_by_cap"]
        await await_completed(cluster, *ids, "b" * 16)


async def test_blocked_steps_start_promptly_and_in_order_behind_a_long_backlog():
    # With this many waiting steps a regular evaluation follows after 2 s only.
    async with capped_cluster(work_s=0.5) as cluster:
        ids = [make_id(number) for number in range(1000)]
        async with anyio.create_task_group() as group:
            for job_id in ids:
                group.start_soon(submit_for, cluster, job_id, "a", ONE)
        began = len(cluster.world.starts)
        await anyio.sleep(6.0)
        started = len(cluster.world.starts) - began
        # Four tasks at a time; each period may take one evaluation period longer.
        assert started >= 4 * 6.0 / (0.5 + 0.3), started


async def test_blocked_step_reserves_nothing_and_queries_no_policy():
    async with capped_cluster(work_s=4.0, policy_share=1.0) as cluster:
        await submit_for(cluster, make_id(1), "a", SMALL)
        await anyio.sleep(1.0)
        calls = cluster.policy.calls
        large = StepSpec(task_count=4, cpu_millis=2000, estimated_ms=800, gang=True)
        await submit_for(cluster, make_id(2), "a", large)
        await anyio.sleep(1.0)
        assert cluster.policy.calls == calls
        scheduler = cluster.owner_node().owner().scheduler
        assert not scheduler.reserved
        (step,) = scheduler.backlog.waiting
        queue = scheduler.state.find_queue(step.job)
        report = explain_wait(step, queue, scheduler, 0.0, anyio.current_time())
        assert report.reason is WaitReason.CAP
        await await_completed(cluster, make_id(1), make_id(2))


async def test_gang_at_the_cap_starts_whole_and_is_not_overtaken_for_ever():
    async with capped_cluster(work_s=0.6) as cluster:
        # More than the cap holds, so that there are always single tasks that can still
        # meet their target, which the gang has missed.
        ids = [make_id(number) for number in range(140)]
        for job_id in ids[:30]:
            await submit_for(cluster, job_id, "a", ONE)
        half = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=800, gang=True)
        await submit_for(cluster, "f" * 16, "a", half)
        async with anyio.create_task_group() as group:
            for job_id in ids[30:]:
                group.start_soon(submit_for, cluster, job_id, "a", ONE)
                await anyio.sleep(0.04)
        assert count_started(cluster, "f" * 16) == 2
        await await_completed(cluster, "f" * 16, *ids)


async def test_gang_that_waits_for_tickets_is_not_overtaken_once_its_cap_permits_it():
    """Guards against single tasks that use the cap while the gang gets its tickets."""
    async with capped_cluster(work_s=0.6, policy_share=1.0) as cluster:
        ids = [make_id(number) for number in range(150)]
        for job_id in ids[:30]:
            await submit_for(cluster, job_id, "a", ONE)
        half = StepSpec(task_count=2, cpu_millis=2000, estimated_ms=800, gang=True)
        await submit_for(cluster, "f" * 16, "a", half)
        for node in cluster.nodes.values():
            node.faults.advice_late_s = 0.6
        # More than the cap holds arrives for 10 s.
        for number in range(40):
            for job_id in ids[30 + 3 * number : 33 + 3 * number]:
                await submit_for(cluster, job_id, "a", ONE)
            await anyio.sleep(0.25)
        assert count_started(cluster, "f" * 16) == 2


# Steps of an account below half of its cap must never rest because of caps.
async def test_steps_start_below_half_of_the_cap_although_a_gang_waits():
    async with capped_cluster(work_s=3.0) as cluster:
        await submit_for(cluster, make_id(1), "a", ONE)
        await submit_for(cluster, "f" * 16, "a", GANG)
        await anyio.sleep(1.0)
        await submit_for(cluster, make_id(2), "a", ONE)
        await anyio.sleep(0.2)
        assert count_started(cluster, make_id(2)) == 1
        # Now half of the cap is in use, and the gang comes first.
        await submit_for(cluster, make_id(3), "a", ONE)
        await anyio.sleep(0.5)
        assert count_started(cluster, make_id(3)) == 0
        await await_completed(cluster, "f" * 16, make_id(3))


async def test_gang_above_its_cap_waits_without_blocking_others():
    async with capped_cluster(work_s=0.5) as cluster:
        await submit_for(cluster, "f" * 16, "a", WIDE_GANG)
        await submit_for(cluster, make_id(1), "a", GANG)
        await submit_for(cluster, make_id(2), "a", SMALL)
        await await_completed(cluster, make_id(1), make_id(2))
        await anyio.sleep(3.0)
        assert count_started(cluster, "f" * 16) == 0
        assert cluster.metrics.counters["cell.gangs.above_cap"] == 1
        # A higher cap lets it start.
        set_accounts(cluster, make_account("a", 10_000))
        cluster.world.set_cap("a", Resources(cpu_millis=10_000))
        await await_completed(cluster, "f" * 16)
        cluster.world.account_peaks.clear()


async def test_takeover_while_executors_are_silent_keeps_the_cap():
    async with capped_cluster(work_s=30.0, nodes=3) as cluster:
        await submit_for(cluster, make_id(1), "a", SMALL)
        await anyio.sleep(0.5)
        assert cluster.world.sum_running("a").cpu_millis == CAP
        for model in list(cluster.executors.values())[:3]:
            model.trouble = Trouble.SILENT
        await take_over(cluster)
        await submit_for(cluster, make_id(2), "a", SMALL)
        await submit_for(cluster, "b" * 16, "b", ONE)
        await anyio.sleep(2.0)
        assert count_started(cluster, make_id(2)) == 0
        # Other accounts are not blocked.
        assert count_started(cluster, "b" * 16) == 1
        await anyio.sleep(20.0)
        for model in cluster.executors.values():
            model.trouble = Trouble.NONE
        await anyio.sleep(5.0)
        assert cluster.world.sum_running("a").cpu_millis == CAP


async def test_takeover_counts_no_more_than_silent_executors_hold():
    # One silent executor may run at most 8 cores of the 100 that may have started.
    async with running_cluster(steady_behaviour(30.0), nodes=3) as cluster:
        set_accounts(cluster, make_account("a", 20_000))
        cluster.world.set_cap("a", Resources(cpu_millis=20_000))
        await anyio.sleep(1.0)
        wide = StepSpec(task_count=50, cpu_millis=2000, estimated_ms=800)
        cluster.executors["i-0"].trouble = Trouble.SILENT
        await anyio.sleep(2.0)
        await submit_for(cluster, make_id(1), "a", wide)
        await anyio.sleep(0.5)
        await take_over(cluster)
        await anyio.sleep(0.5)
        limiter = cluster.owner_node().owner().scheduler.caps
        assert limiter.pending_runs["a"][0] <= 8000
        assert cluster.world.sum_running("a").cpu_millis <= 20_000


async def test_two_owners_in_turn_keep_the_cap():
    async with capped_cluster(work_s=1.0, nodes=3) as cluster:
        ids = [make_id(number) for number in range(8)]
        for job_id in ids:
            await submit_for(cluster, job_id, "a", SMALL)
        for _ in range(3):
            await anyio.sleep(1.2)
            name = cluster.owner_node().name
            await take_over(cluster)
            cluster.add_node(name)
        await await_completed(cluster, *ids)


async def test_isolated_owner_and_its_successor_keep_the_cap():
    async with capped_cluster(work_s=3.0, nodes=3) as cluster:
        ids = [make_id(number) for number in range(6)]
        for job_id in ids:
            await submit_for(cluster, job_id, "a", SMALL)
        await anyio.sleep(0.5)
        # The earlier owner still reaches half of the executors.
        end = cluster.isolate(cluster.owner_node().name, {"i-0", "i-1"})
        await anyio.sleep(12.0)
        end()
        await await_completed(cluster, *ids)


async def test_cap_lowered_during_an_outage_of_the_store_stops_nothing():
    async with capped_cluster(work_s=3.0) as cluster:
        await submit_for(cluster, make_id(1), "a", SMALL)
        await submit_for(cluster, make_id(2), "a", SMALL)
        await anyio.sleep(0.5)
        for node in cluster.nodes.values():
            node.faults.store_away = True
        set_accounts(cluster, make_account("a", 4000), make_account("b"))
        cluster.world.set_cap("a", Resources(cpu_millis=4000), 0.2)
        await anyio.sleep(1.0)
        assert cluster.world.sum_running("a").cpu_millis == CAP
        await anyio.sleep(2.0)
        for node in cluster.nodes.values():
            node.faults.store_away = False
        cluster.world.account_peaks.clear()
        await await_completed(cluster, make_id(1), make_id(2))
        assert all(count == 1 for count in cluster.world.starts.values())
        peak = cluster.world.account_peaks["a"]
        assert peak.cpu_millis <= 4000, peak


# Guards against starts that were decided under the earlier cap and reach an executor
# long after the change, when the executor is not silent any more.
async def test_starts_that_were_not_sent_before_a_cap_was_lowered_are_withdrawn():
    async with capped_cluster(work_s=6.0) as cluster:
        await submit_for(
            cluster, make_id(1), "a", StepSpec(task_count=2, cpu_millis=2000)
        )
        await anyio.sleep(0.5)
        for model in cluster.executors.values():
            model.trouble = Trouble.SILENT
        await submit_for(
            cluster, make_id(2), "a", StepSpec(task_count=2, cpu_millis=2000)
        )
        await anyio.sleep(0.5)
        assert cluster.owner_node().owner().state.usage.get("a").cpu_millis == CAP
        set_accounts(cluster, make_account("a", 4000), make_account("b"))
        cluster.world.set_cap("a", Resources(cpu_millis=4000))
        cluster.world.account_peaks.clear()
        await anyio.sleep(1.0)
        for model in cluster.executors.values():
            model.trouble = Trouble.NONE
        await await_completed(cluster, make_id(1), make_id(2))
        peak = cluster.world.account_peaks["a"]
        assert peak.cpu_millis <= 4000, peak


async def test_removed_account_keeps_its_cap_also_when_it_is_back():
    async with capped_cluster(work_s=1.0, nodes=3) as cluster:
        ids = [make_id(number) for number in range(8)]
        for job_id in ids:
            await submit_for(cluster, job_id, "a", SMALL)
        set_accounts(cluster, make_account("b"))
        await anyio.sleep(1.5)
        await take_over(cluster)
        await anyio.sleep(1.5)
        set_accounts(cluster, make_account("a", CAP), make_account("b"))
        await await_completed(cluster, *ids)


async def test_starts_that_are_answered_late_count():
    async with capped_cluster(work_s=1.0) as cluster:
        for name in ("i-0", "i-1"):
            cluster.executors[name].trouble = Trouble.ORDERS
        ids = [make_id(number) for number in range(6)]
        for job_id in ids:
            await submit_for(cluster, job_id, "a", SMALL)
        await anyio.sleep(6.0)
        for model in cluster.executors.values():
            model.trouble = Trouble.NONE
        await await_completed(cluster, *ids)


async def test_account_without_a_cap_and_deployment_without_accounts_are_not_limited():
    async with running_cluster(steady_behaviour(2.0)) as cluster:
        wide = StepSpec(task_count=16, cpu_millis=2000, estimated_ms=800)
        await submit_for(cluster, make_id(1), "a", wide)
        await anyio.sleep(0.5)
        assert cluster.world.sum_running("a").cpu_millis == 32_000
        limiter = cluster.owner_node().owner().scheduler.caps
        assert not limiter.is_active
        await await_completed(cluster, make_id(1))
        set_accounts(cluster, make_account("a"))
        await submit_for(cluster, make_id(2), "a", wide)
        await anyio.sleep(0.5)
        assert cluster.world.sum_running("a").cpu_millis == 32_000
        assert not limiter.is_active


load_tests = make_load_tests(globals())
