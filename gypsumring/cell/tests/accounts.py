"""Clusters and jobs of client accounts for the tests."""

import anyio
import msgspec

from gypsumring.accounts import ClientAccount, Resources
from gypsumring.cell.messages import Outcome
from gypsumring.pipelines import StepSpec
from stand_ins.platform.cluster import MemoryCluster, make_job

__all__ = [
    "make_account",
    "make_account_job",
    "set_accounts",
    "submit_for",
    "take_over",
]


def make_account(
    name: str, cap_cpu: int = 0, weight: float = 100.0, cap_memory: int = 0
) -> ClientAccount:
    """Return an account with a key whose digest must not be stored."""
    return ClientAccount(
        name=name,
        key_digests=(b"digest of the key",),
        weight=weight,
        cap=Resources(cpu_millis=cap_cpu, memory_mb=cap_memory),
    )


def set_accounts(cluster: MemoryCluster, *accounts: ClientAccount) -> None:
    """Give the cluster a new version of the desired state with these accounts."""
    cluster.desired = msgspec.structs.replace(
        cluster.desired, version=cluster.desired.version + 1, accounts=accounts
    )


def make_account_job(job_id: str, account: str, *steps: StepSpec):
    """Return a job of an account."""
    return msgspec.structs.replace(make_job(job_id, *steps), account=account)


async def submit_for(
    cluster: MemoryCluster, job_id: str, account: str, *steps: StepSpec
) -> None:
    """Submit a job of an account, which has to be accepted."""
    job = make_account_job(job_id, account, *steps)
    assert await cluster.submit(job, 5.0) is Outcome.OK


async def take_over(cluster: MemoryCluster) -> None:
    """Kill the owner and wait until another node owns the cell."""
    cluster.owner_node().kill()
    while cluster.owner_node() is None:
        await anyio.sleep(0.05)
