"""Jobs: the manager of one ledger, its fold, quotas and the choice of racks."""

from gypsumring.jobs.exceptions import SnapshotError
from gypsumring.jobs.ledger import JobLedger
from gypsumring.jobs.manager import JobManager

__all__ = ["JobLedger", "JobManager", "SnapshotError"]
