"""Fold of a ledger stream: the durable state of jobs."""

from collections.abc import Callable

import msgspec

from gypsumring.jobs.exceptions import SnapshotError
from gypsumring.jobs.model import Job, make_job_key
from gypsumring.messages.records import (
    EpochStarted,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LedgerBody,
    Record,
    TaskEnded,
    TaskIntended,
)
from gypsumring.messages.work import JobSpec, JobState
from gypsumring.metrics import Metrics
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.snapshots import SnapshotReader

__all__ = ["JobLedger", "SNAPSHOT_PREFIX"]

SNAPSHOT_PREFIX = "jobs-"


class StoredJob(msgspec.Struct, frozen=True, array_like=True):
    """Hold the durable state of one job in a snapshot."""

    key: str
    spec: JobSpec
    accepted_at: float
    sequence: int
    succeeded: tuple[int, ...]
    failed: tuple[int, ...]
    unknown: tuple[int, ...]
    intended: dict[int, int]
    cancelled_by: str | None
    state: JobState | None
    reason: str
    ended_at: float


class StoredLedger(msgspec.Struct, frozen=True, array_like=True):
    """Hold the durable state of all jobs of a ledger."""

    epoch: int
    next_sequence: int
    jobs: tuple[StoredJob, ...]


ledger_decoder = msgspec.msgpack.Decoder(StoredLedger)


class JobLedger:
    """Fold job records; records of an epoch older than the newest are ignored.

    ``on_change(job, body)`` is called after each record that changed a job.
    """

    __slots__ = ("epoch", "jobs", "metrics", "next_sequence", "on_change", "reader")

    def __init__(self, metrics: Metrics, on_change: Callable[[Job, LedgerBody], None]):
        self.metrics = metrics
        self.on_change = on_change
        self.epoch = 0
        self.next_sequence = 0
        self.jobs: dict[str, Job] = {}
        self.reader = SnapshotReader(SNAPSHOT_PREFIX, self.load, self.fold)

    def apply(self, offset: int, record: Record) -> None:
        """Take the next record of the stream."""
        self.reader.feed(offset, record)

    def fold(self, offset: int, record: Record) -> None:
        """Apply one record to the state."""
        body = record.body
        if record.epoch < self.epoch:
            self.metrics.count("jobs.records_of_old_epoch")
            return
        match body:
            case EpochStarted(epoch=epoch):
                self.epoch = max(self.epoch, epoch)
                return
            case JobAccepted(spec=spec, accepted_at=accepted_at):
                key = make_job_key(spec.team, spec.job_id)
                if key in self.jobs:
                    return
                job = Job(key, spec, accepted_at, self.next_sequence)
                self.next_sequence += 1
                self.jobs[key] = job
            case JobCancelled() | TaskIntended() | TaskEnded() | JobEnded():
                job = self.jobs.get(body.job_id)
                if job is None or job.state is not None:
                    return
                self.fold_into_job(job, body)
            case _:
                return
        self.on_change(job, body)

    def fold_into_job(self, job: Job, body: LedgerBody) -> None:
        """Apply a record about a known job that has not ended."""
        match body:
            case JobCancelled(requested_by=requested_by):
                job.cancelled_by = job.cancelled_by or requested_by or job.spec.team
            case TaskIntended(task_indexes=indexes, attempt=attempt):
                for index in indexes:
                    job.intended[index] = max(attempt, job.intended.get(index, 0))
            case TaskEnded():
                for indexes, ended in (
                    (body.succeeded, job.succeeded),
                    (body.failed, job.failed),
                    (body.unknown, job.unknown),
                ):
                    # The first result of a task stands; a repeated append is ignored.
                    ended.update(
                        index for index in indexes if not job.is_durably_finished(index)
                    )
            case JobEnded():
                job.state = body.state
                job.reason = body.reason
                job.ended_at = body.ended_at

    def dump(self) -> bytes:
        """Return the encoded state."""
        jobs = tuple(
            StoredJob(
                key,
                job.spec,
                job.accepted_at,
                job.sequence,
                tuple(sorted(job.succeeded)),
                tuple(sorted(job.failed)),
                tuple(sorted(job.unknown)),
                dict(sorted(job.intended.items())),
                job.cancelled_by,
                job.state,
                job.reason,
                job.ended_at,
            )
            for key, job in sorted(self.jobs.items())
            if not job.is_service
        )
        return msgspec.msgpack.encode(
            StoredLedger(self.epoch, self.next_sequence, jobs)
        )

    def load(self, covers_offset: int, state: bytes) -> None:
        """Replace the state by a snapshot; raise SnapshotError."""
        try:
            stored = ledger_decoder.decode(state)
        except DECODE_ERRORS as error:
            raise SnapshotError(
                f"malformed snapshot that covers offset {covers_offset}: {error}"
            ) from error
        self.epoch = max(self.epoch, stored.epoch)
        self.next_sequence = stored.next_sequence
        self.jobs = {}
        for entry in stored.jobs:
            job = Job(entry.key, entry.spec, entry.accepted_at, entry.sequence)
            job.succeeded.update(entry.succeeded)
            job.failed.update(entry.failed)
            job.unknown.update(entry.unknown)
            job.intended.update(entry.intended)
            job.cancelled_by = entry.cancelled_by
            job.state = entry.state
            job.reason = entry.reason
            job.ended_at = entry.ended_at
            self.jobs[entry.key] = job
