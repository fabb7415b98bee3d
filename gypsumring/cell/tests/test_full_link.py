"""A cell whose owner has more to send than the link of its machine carries.

The pattern: starts, each with the payload of its job, need about twice what the link of
the owner carries. Pings, polls, renewals of the membership and records wait behind
them.
"""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec

from gypsumring.cell.authority import OWNER_KEY
from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.transport.traffic import BYTES_PER_S_PER_MBPS
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import CELL_TOPIC, MemoryCluster, make_job
from stand_ins.platform.memory import START_BYTES
from stand_ins.platform.world import steady_behaviour

LINK_MBPS = 2.0
LINK_BYTES_PER_S = LINK_MBPS * BYTES_PER_S_PER_MBPS
PAYLOAD = "x" * 2_400
TASKS = 10
TASK_BYTES = START_BYTES + len(PAYLOAD)
STEP = StepSpec(task_count=TASKS, cpu_millis=500, estimated_ms=500)
SMALL_STEP = StepSpec(task_count=1, cpu_millis=500, estimated_ms=500)
# Jobs a second whose starts alone need twice what the link carries.
FULL_RATE = 2 * LINK_BYTES_PER_S / (TASKS * TASK_BYTES)
LOAD_S = 20.0
# Jobs of one task that end before a takeover, and their rate: their records, starts and
# polls need less than the link carries.
ENDED_JOBS, ENDED_RATE = 1_500, 25.0
# The stated target: after a failure or a load the cell serves again within this time.
RECOVERY_S = 15.0
# Callers wait for so long, and then submit again after a pause.
CALLER_TIME_LIMIT_S, RETRY_S = 3.0, 0.5


class Load:
    """Callers of a cell whose owner has a full link."""

    __slots__ = ("accepted", "cluster", "count", "refused")

    def __init__(self, cluster: MemoryCluster):
        self.cluster = cluster
        self.accepted: list[str] = []
        # Numbers of jobs that were submitted, and that were refused.
        self.count = 0
        self.refused = 0

    async def run(self, rate: float, seconds: float, step: StepSpec = STEP) -> None:
        """Submit jobs until the time is over, and wait for the last answers."""
        deadline = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < deadline:
                group.start_soon(self.submit, step)
                await anyio.sleep(1 / rate)

    async def submit(self, step: StepSpec = STEP) -> Outcome:
        """Submit a job."""
        self.count += 1
        job = make_job(f"{self.count:016x}", step)
        job = msgspec.structs.replace(job, payload=PAYLOAD)
        outcome = await self.cluster.submit(job, CALLER_TIME_LIMIT_S)
        if outcome is Outcome.OK:
            self.accepted.append(job.job_id)
        elif outcome is Outcome.REFUSED:
            self.refused += 1
            self.cluster.world.refused.add(job.job_id)
        return outcome

    def transfer_s(self) -> float:
        """Return the time that the link needs for the starts of what is not refused."""
        tasks = (self.count - self.refused) * TASKS
        return tasks * TASK_BYTES / LINK_BYTES_PER_S

    async def assert_serves_by(self, deadline: float) -> None:
        """Assert that a job is accepted, and its state told, before a deadline."""
        while anyio.current_time() < deadline:
            outcome = await self.submit(SMALL_STEP)
            if outcome is Outcome.OK:
                phase = await self.cluster.query(self.accepted[-1])
                if phase is not None and anyio.current_time() <= deadline:
                    return
            await anyio.sleep(RETRY_S)
        node = self.cluster.owner_node()
        raise AssertionError(
            f"the cell does not serve in time: owner {node and node.name}, "
            f"{count_takeovers(self.cluster)} takeovers, last answer {outcome}"
        )

    async def assert_accepted_end_by(self, deadline: float) -> None:
        """Assert that all accepted jobs are reported as completed before a deadline."""
        phases: Counter[JobPhase | None] = Counter()
        for job_id in self.accepted:
            left_s = deadline - anyio.current_time()
            if left_s > 0:
                phases[await self.cluster.wait_final(job_id, left_s)] += 1
            else:
                phases[self.cluster.phase(job_id)] += 1
        assert set(phases) == {JobPhase.COMPLETED}, (
            f"{dict(phases)}, {count_takeovers(self.cluster)} takeovers"
        )


def count_takeovers(cluster: MemoryCluster) -> int:
    """Return how often nodes have begun to take over the cell."""
    log = cluster.store.partition(CELL_TOPIC, 0)
    return sum(record.key == OWNER_KEY for record in log.records)


@asynccontextmanager
async def loaded_cluster() -> AsyncIterator[Load]:
    """Run three nodes with slow links, and assert that no guarantee is broken."""
    async with running_cluster(
        steady_behaviour(0.5), nodes=3, executors=20, link_mbps=LINK_MBPS
    ) as cluster:
        await anyio.sleep(2.0)
        assert count_takeovers(cluster) == 1
        yield Load(cluster)


# Nodes left an owner that served, since its renewals and its answers to pings waited
# for seconds behind starts.
async def test_owner_with_a_full_link_is_not_removed():
    async with loaded_cluster() as load:
        await load.run(FULL_RATE, LOAD_S)
        await anyio.sleep(RECOVERY_S)
        assert count_takeovers(load.cluster) == 1, count_takeovers(load.cluster)


# An owner could be kept by sending next to nothing: the link has to stay in use.
async def test_owner_with_a_full_link_starts_what_half_of_it_carries():
    async with loaded_cluster() as load:
        await load.run(FULL_RATE, LOAD_S)
        started = len(load.cluster.world.starts)
        assert started >= 0.5 * LOAD_S * LINK_BYTES_PER_S / TASK_BYTES, started


# The load had ended, but repeats and takeovers kept the link full: accepted jobs were
# lost.
async def test_cell_serves_again_and_accepted_jobs_end_after_a_load_beyond_the_link():
    async with loaded_cluster() as load:
        await load.run(FULL_RATE, LOAD_S)
        ended_at = anyio.current_time()
        assert load.accepted
        await load.assert_serves_by(ended_at + RECOVERY_S)
        await load.assert_accepted_end_by(ended_at + load.transfer_s() + RECOVERY_S)


# A new owner was lost while it read the records of the cell over a link that callers
# had filled, so that takeover followed takeover.
async def test_takeover_while_the_load_fills_the_link_ends():
    async with loaded_cluster() as load, anyio.create_task_group() as group:
        load_ended = anyio.Event()

        async def run_load() -> None:
            await load.run(FULL_RATE, LOAD_S)
            load_ended.set()

        group.start_soon(run_load)
        await anyio.sleep(LOAD_S / 2)
        load.cluster.owner_node().kill()
        await load.assert_serves_by(anyio.current_time() + RECOVERY_S)
        await load_ended.wait()
        await load.assert_accepted_end_by(
            anyio.current_time() + load.transfer_s() + RECOVERY_S
        )
        assert count_takeovers(load.cluster) == 2, count_takeovers(load.cluster)


# A takeover read all that ended jobs had written, and took longer with each of them.
async def test_takeover_after_many_ended_jobs_ends_within_the_stated_time():
    async with loaded_cluster() as load:
        await load.run(ENDED_RATE, ENDED_JOBS / ENDED_RATE, SMALL_STEP)
        await load.assert_accepted_end_by(anyio.current_time() + RECOVERY_S)
        assert len(load.accepted) >= 0.9 * ENDED_JOBS, len(load.accepted)
        load.cluster.owner_node().kill()
        await load.assert_serves_by(anyio.current_time() + RECOVERY_S)
        await load.assert_accepted_end_by(anyio.current_time() + RECOVERY_S)
        assert count_takeovers(load.cluster) == 2, count_takeovers(load.cluster)


load_tests = make_load_tests(globals())
