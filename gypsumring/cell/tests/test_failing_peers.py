"""Gangs start although an executor or a node fails their orders and calls."""

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.pipelines import JobPhase, StepSpec
from gypsumring.ports.tasks import PolicyUnavailable
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import MemoryCluster, make_job

GANG_ID = "a" * 16
GANG = StepSpec(task_count=3, cpu_millis=4000, estimated_ms=800, gang=True)
# Executors end a lone member by themselves after some time; a gang that has stopped one
# run has to find its room elsewhere in the next ones.
GANG_BOUND_S = 10.0


async def completes(cluster: MemoryCluster, limit_s: float) -> bool:
    """Submit a gang; tell whether it is completed in time."""
    assert await cluster.submit(make_job(GANG_ID, GANG)) is Outcome.OK
    return await cluster.wait_final(GANG_ID, limit_s) is JobPhase.COMPLETED


# All calls for advice went through the first idle node by name, also when each of them
# failed there at once.
async def test_step_is_advised_through_a_node_that_reaches_the_policy_service():
    async with running_cluster(executors=5, policy_share=1.0) as cluster:
        node = cluster.owner_node()
        desk = node.owner().scheduler.desk
        desk.list_peers = lambda: ["n0", "n1", "n2", "n3"]

        async def ask_peer(name, step, executor_ids, deadline):
            if name == "n0":
                raise PolicyUnavailable("connection refused")
            return await node.policy.advise(step, executor_ids, deadline)

        desk.ask_peer = ask_peer
        assert await completes(cluster, GANG_BOUND_S)


load_tests = make_load_tests(globals())
