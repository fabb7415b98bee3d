"""Removal of the payloads of ended jobs from the records of a cell."""

import anyio

from gypsumring.cell.state import JOB_KEY, CellState
from gypsumring.pipelines import encode

__all__ = ["RecordTrimmer"]

TRIM_PERIOD_S = 1.0
# At most this many records are written in one period, as an owner may inherit thousands
# of them. They are about 250 bytes each.
MAX_TRIMMED_RECORDS = 200


class RecordTrimmer:
    """Writer of the records of ended jobs without what only active jobs need.

    A takeover reads the records of all jobs. That of a job is trimmed only once its end
    is durable: with its payload missing, it must not be started.
    """

    __slots__ = ("state",)

    def __init__(self, state: CellState):
        self.state = state

    async def run(self) -> None:
        """Trim the records of ended jobs until cancelled."""
        while True:
            await anyio.sleep(TRIM_PERIOD_S)
            self.trim()

    def trim(self) -> None:
        """Queue the trimmed records of some jobs whose end is durable."""
        untrimmed = self.state.untrimmed
        for _ in range(min(len(untrimmed), MAX_TRIMMED_RECORDS)):
            job = untrimmed.popleft()
            job_id = job.spec.job_id
            # The record of an evicted job must not come back, nor replace that of a
            # later job with the same id.
            if self.state.table.jobs.get(job_id) is not job:
                continue
            self.state.journal.put(
                JOB_KEY + job_id, encode(job.spec.trim()), urgent=False
            )
