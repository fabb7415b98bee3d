"""Reads of the entries of all executors over a link that takes long for them."""

from collections import Counter
from unittest.mock import patch

import anyio

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase
from gypsumring.ports.store import StoreUnavailable
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform import memory
from stand_ins.platform.cluster import MemoryCluster, make_job
from stand_ins.platform.memory import ENTRIES_TOPIC, MemoryStore

# Polls of idle executors take a third of what the link carries inward, and all entries
# 1.6 s of the rest.
LINK_MBPS, EXECUTORS = 1.0, 300
# Entries that fill several pages.
PAGES, PAGE_RECORDS = 4, 5
LABELS = ["x" * 60, "y" * 60]
# The stated target: after a failure or a load the cell serves again within this time.
RECOVERY_S = 15.0
CALLER_TIME_LIMIT_S, RETRY_S = 3.0, 0.5


async def assert_runs_jobs_by(
    cluster: MemoryCluster, job_id: str, deadline: float
) -> None:
    """Assert that a job is accepted, and completed before a deadline."""
    job = make_job(job_id)
    while await cluster.submit(job, CALLER_TIME_LIMIT_S) is not Outcome.OK:
        assert anyio.current_time() < deadline, "not accepted"
        await anyio.sleep(RETRY_S)
    phase = await cluster.wait_final(job_id, deadline - anyio.current_time())
    assert phase is JobPhase.COMPLETED, phase


# All entries had to arrive within 1 s. On a link that takes longer each read began
# again from nothing, and the new owner never started a task.
async def test_new_owner_starts_tasks_though_its_link_takes_long_for_the_entries():
    async with running_cluster(
        nodes=2, executors=EXECUTORS, link_mbps=LINK_MBPS
    ) as cluster:
        for model in cluster.executors.values():
            model.labels = LABELS
            cluster.register(model)
        began_at = anyio.current_time()
        await assert_runs_jobs_by(cluster, "a" * 16, began_at + RECOVERY_S)
        cluster.owner_node().kill()
        killed_at = anyio.current_time()
        await assert_runs_jobs_by(cluster, "b" * 16, killed_at + RECOVERY_S)


# A read that needs several pages began again from the first one when a page was lost.
async def test_pages_of_entries_are_kept_when_the_next_one_is_lost():
    requests: Counter[str] = Counter()
    original = MemoryStore.read_newest_page

    async def read(self, topic, partition, after_key, deadline, *sizes):
        if topic == ENTRIES_TOPIC:
            requests[after_key] += 1
            if requests.total() % 2 == 0:
                raise StoreUnavailable("no answer")
        return await original(self, topic, partition, after_key, deadline, *sizes)

    with (
        patch.object(MemoryStore, "read_newest_page", read),
        patch.object(memory, "PAGE_RECORDS", PAGE_RECORDS),
    ):
        async with running_cluster(nodes=1, executors=PAGES * PAGE_RECORDS) as cluster:
            state = cluster.owner_node().owner().state
            deadline = anyio.current_time() + RECOVERY_S
            while state.entries_read_at == float("-inf"):
                assert anyio.current_time() < deadline, requests
                await anyio.sleep(0.01)
            assert len(state.fleet) == PAGES * PAGE_RECORDS
            assert len(requests) == PAGES
            assert max(requests.values()) <= 2, requests


load_tests = make_load_tests(globals())
