"""Load during a store outage: submissions that wait, are withdrawn or are retried.

The pattern: the store is unavailable for some seconds under steady load. Callers wait
for a few seconds only, so each of them depends on what happens to its submission until
the store returns.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import anyio

from gypsumring.cell.commands import STORE_WAIT_SHARE
from gypsumring.cell.messages import JobAnswer, Outcome
from gypsumring.cell.state import JOB_KEY
from gypsumring.pipelines import JobPhase
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.world import World, steady_behaviour

CALLER_TIME_LIMIT_S = 3.0


@asynccontextmanager
async def cluster_without_store() -> AsyncIterator[MemoryCluster]:
    """Run a cluster whose store has just become unavailable, with one append sent."""
    world = World(steady_behaviour(0.3))
    async with anyio.create_task_group() as group:
        cluster = MemoryCluster(world, group)
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        set_store_away(cluster, True)
        state = cluster.owner_node().owner().state
        state.journal.put("first", b"record in flight")
        await anyio.sleep(0.01)
        yield cluster
        assert world.violations == [], world.violations
        group.cancel_scope.cancel()


def set_store_away(cluster: MemoryCluster, away: bool) -> None:
    """Make the store unavailable to all nodes, or available again."""
    for node in cluster.nodes.values():
        node.faults.store_away = away


async def submit_each(cluster: MemoryCluster, job_ids: list[str], period_s: float):
    """Submit jobs at a steady rate; return each outcome and when it was known."""
    outcomes = {}

    async def submit(job_id: str) -> None:
        began_at = anyio.current_time()
        outcome = await cluster.submit(make_job(job_id), CALLER_TIME_LIMIT_S)
        outcomes[job_id] = (outcome, anyio.current_time() - began_at)

    async with anyio.create_task_group() as group:
        for job_id in job_ids:
            group.start_soon(submit, job_id)
            await anyio.sleep(period_s)
    return outcomes


async def test_submissions_in_a_short_outage_are_accepted_once_the_store_returns():
    # They were refused at once, and callers came back only after a second or more.
    async with cluster_without_store() as cluster:
        job_ids = [f"{number:016x}" for number in range(20)]
        async with anyio.create_task_group() as group:

            async def end_outage() -> None:
                await anyio.sleep(0.8)
                set_store_away(cluster, False)

            group.start_soon(end_outage)
            outcomes = await submit_each(cluster, job_ids, 0.05)
        assert {outcome for outcome, _ in outcomes.values()} == {Outcome.OK}
        for job_id in job_ids:
            assert await cluster.wait_final(job_id) is JobPhase.COMPLETED


async def test_submissions_in_a_long_outage_are_refused_with_time_left_for_retries():
    async with cluster_without_store() as cluster:
        job_ids = [f"{number:016x}" for number in range(20)]
        outcomes = await submit_each(cluster, job_ids, 0.05)
        for outcome, took_s in outcomes.values():
            assert outcome is Outcome.REFUSED
            assert took_s < CALLER_TIME_LIMIT_S / 2
        # Refused means not run, also after the store has returned.
        cluster.world.jobs.clear()
        set_store_away(cluster, False)
        await anyio.sleep(5.0)
        assert not cluster.world.starts
        assert not any(
            record.key.startswith(JOB_KEY)
            for record in cluster.store.newest("cells", 0)[0]
        )


async def test_refused_submission_is_accepted_when_it_is_retried():
    async with cluster_without_store() as cluster:
        assert await cluster.submit(make_job("a" * 16)) is Outcome.REFUSED
        set_store_away(cluster, False)
        assert await cluster.submit(make_job("a" * 16)) is Outcome.OK
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED
        assert list(cluster.world.starts.values()) == [1]


async def test_copies_of_a_withdrawn_submission_are_refused_together():
    # A copy over another node waits for the same record. If only the first caller were
    # refused, it would be told that a job does not run that may run.
    async with cluster_without_store() as cluster:
        outcomes = []

        async def submit_after(delay_s: float) -> None:
            await anyio.sleep(delay_s)
            outcomes.append(await cluster.submit(make_job("a" * 16)))

        async with anyio.create_task_group() as group:
            group.start_soon(submit_after, 0.0)
            group.start_soon(submit_after, 1.0)
        assert outcomes == [Outcome.REFUSED] * 2
        set_store_away(cluster, False)
        await anyio.sleep(3.0)
        assert not cluster.world.starts


async def test_submission_whose_record_was_sent_is_never_refused():
    # A copy of the append may reach the store after the answer.
    async with cluster_without_store() as cluster:
        set_store_away(cluster, False)
        await anyio.sleep(1.0)
        set_store_away(cluster, True)
        assert await cluster.submit(make_job("a" * 16)) is Outcome.UNCERTAIN
        set_store_away(cluster, False)
        assert await cluster.wait_final("a" * 16) is JobPhase.COMPLETED


async def test_slow_store_is_not_taken_for_an_unavailable_one():
    async with cluster_without_store() as cluster:
        set_store_away(cluster, False)
        await anyio.sleep(1.0)
        for node in cluster.nodes.values():
            node.faults.store_slow_s = 0.4
        job_ids = [f"{number:016x}" for number in range(20)]
        outcomes = await submit_each(cluster, job_ids, 0.05)
        assert {outcome for outcome, _ in outcomes.values()} == {Outcome.OK}


async def test_withdrawal_keeps_the_callbacks_of_earlier_records():
    # Ends are acknowledged to an executor once all earlier records are durable.
    async with cluster_without_store() as cluster:
        journal = cluster.owner_node().owner().state.journal
        durable = []
        journal.put("queued", b"value", lambda: durable.append("queued"))
        journal.put("withdrawn", b"value", lambda: durable.append("withdrawn"))
        journal.call_when_all_durable(lambda: durable.append("all"))
        assert journal.withdraw("withdrawn")
        assert not journal.withdraw("withdrawn")
        assert not journal.withdraw("first")
        set_store_away(cluster, False)
        await anyio.sleep(1.0)
        assert durable == ["queued", "all"]


def test_share_of_the_callers_time_leaves_more_than_half_of_it():
    assert 0 < STORE_WAIT_SHARE < 0.5


# Guards against a check that takes a job for refused although the first owner, which
# stopped before it answered, may have stored it.
async def test_refusal_after_an_attempt_without_an_answer_is_uncertain():
    answers = [JobAnswer(Outcome.NOT_OWNER), JobAnswer(Outcome.REFUSED)]

    async def command(self, node, call):
        return answers.pop(0)

    async with cluster_without_store() as cluster:
        with mock.patch.object(MemoryCluster, "command", command):
            job = make_job("c" * 16)
            assert await cluster.submit(job) is Outcome.UNCERTAIN
        assert not answers


load_tests = make_load_tests(globals())
