"""Jobs belong to the account that submitted them, also under a later owner.

Guards against callers that read or cancel the jobs of another account by their ids.
"""

import anyio
import msgspec

from gypsumring.cell.messages import Outcome
from gypsumring.cell.tests.test_recovery import running_cluster
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import make_job
from stand_ins.platform.world import steady_behaviour

JOB = "a" * 16


def make_account_job(account):
    """Return a job of an account."""
    return msgspec.structs.replace(make_job(JOB), account=account)


async def check_access(cluster):
    """Check who may submit, see and cancel the job of account ``a``."""
    commands = cluster.owner_node().owner().commands
    other = await commands.submit(make_account_job("b"), 2.0)
    assert other.outcome is Outcome.OTHER_ACCOUNT
    again = await commands.submit(make_account_job("a"), 2.0)
    assert again.outcome is Outcome.OK
    outcomes = [commands.query(JOB, True, name).outcome for name in ("a", None)]
    assert outcomes == [Outcome.OK, Outcome.OK]
    for name in ("b", ""):
        assert commands.query(JOB, True, name).outcome is Outcome.UNKNOWN_JOB
        answer = await commands.cancel(JOB, 2.0, True, name)
        assert answer.outcome is Outcome.UNKNOWN_JOB


async def test_job_belongs_to_its_account_also_after_a_takeover():
    async with running_cluster(steady_behaviour(20.0)) as cluster:
        assert await cluster.submit(make_account_job("a")) is Outcome.OK
        await check_access(cluster)
        cluster.owner_node().kill()
        while cluster.owner_node() is None:
            await anyio.sleep(0.1)
        await check_access(cluster)
        commands = cluster.owner_node().owner().commands
        assert (await commands.cancel(JOB, 2.0, True, "a")).outcome is Outcome.OK


async def test_job_that_was_accepted_without_accounts_is_open_to_all():
    async with running_cluster(steady_behaviour(0.5)) as cluster:
        assert await cluster.submit(make_job(JOB)) is Outcome.OK
        commands = cluster.owner_node().owner().commands
        assert commands.query(JOB, True, "a").outcome is Outcome.OK


async def test_job_of_a_public_queue_is_open_to_callers_without_a_key():
    """Guards against accepted jobs that are reported as unknown (410)."""
    async with running_cluster(steady_behaviour(20.0)) as cluster:
        assert await cluster.submit(make_account_job("a")) is Outcome.OK
        queues = tuple(
            msgspec.structs.replace(queue, public=True)
            for queue in cluster.desired.queues
        )
        cluster.desired = msgspec.structs.replace(
            cluster.desired, version=cluster.desired.version + 1, queues=queues
        )
        commands = cluster.owner_node().owner().commands
        for name in ("a", "b", "", None):
            assert commands.query(JOB, True, name).outcome is Outcome.OK
        again = await commands.submit(make_account_job(""), 2.0)
        assert again.outcome is Outcome.OK
        assert (await commands.cancel(JOB, 2.0, True, "")).outcome is Outcome.OK


load_tests = make_load_tests(globals())
