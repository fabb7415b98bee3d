"""One stream of the log: tail and group-commit writer."""

import random
from collections.abc import Callable, Iterable, Sequence

import anyio
import logbook
import msgspec

from gypsumring.messages.codec import DecodeError, encode
from gypsumring.messages.records import BodyType, Record, RecordBatch
from gypsumring.metrics import Metrics, RetryReason
from gypsumring.ports import Log, LogPage, LogUnavailable, OffsetExpired
from gypsumring.settings import TimingSettings
from gypsumring.streams.exceptions import AppendTooLarge, AppendUnconfirmed
from gypsumring.streams.recent import (
    FIRST_SEEN_LIMIT,
    FirstSeenFilter,
    RecentRecords,
)
from gypsumring.utils.backoff import backoff_s

__all__ = ["MAX_APPEND_BYTES", "AppendReceipt", "Stream"]

logger = logbook.Logger("streams")

# One append carries waiting records up to this size, so that a renewal does not wait
# behind megabytes of results. A larger call is appended by itself.
MAX_BATCH_BYTES = 512 * 1024
MAX_APPEND_BYTES = 4 * 1024 * 1024
MAX_WAITING_BYTES = 16 * 1024 * 1024

READ_LIMIT = 64

# A slow log answers after 10 s. A shorter limit would never see an answer from it.
CALL_LIMIT_S = 15.0

# A lost packet or a failed-over connection leaves a call without any answer. Another
# read is sent after this time, so that the tail does not stand still for CALL_LIMIT_S.
EXTRA_READ_S = 2.0
MAX_EXTRA_READS = 8

# When the log answers reads quickly but an append has no answer for this time, its
# answer counts as lost: waiting for CALL_LIMIT_S would outlast a lease.
APPEND_HUNG_S = 2.0
QUICK_READ_S = 1.0

BACKOFF_BASE_MS = 50
BACKOFF_LIMIT_MS = 1_000

# See FIRST_SEEN_LIMIT.
MAX_RETRY_DISTANCE = FIRST_SEEN_LIMIT // 2


class AppendReceipt(msgspec.Struct, frozen=True):
    """Tell where records were read back.

    ``sent_at`` is the monotonic time in seconds before the first attempt to append.
    """

    offset: int
    sent_at: float


class PendingAppend:
    """Hold the records of one call to append until they are read back."""

    __slots__ = (
        "byte_count",
        "deadline",
        "failure",
        "finished",
        "first_attempt_count",
        "offset",
        "record_id",
        "records",
        "sent_at",
    )

    def __init__(self, record_id: str, records: list[bytes], deadline: float):
        self.record_id = record_id
        self.records = [msgspec.Raw(record) for record in records]
        self.byte_count = sum(len(record) for record in records)
        self.deadline = deadline
        self.finished = anyio.Event()
        self.failure: str | None = None
        self.offset: int | None = None
        self.sent_at: float | None = None
        self.first_attempt_count = 0

    def fail(self, reason: str) -> None:
        """Wake the caller with an error."""
        if not self.finished.is_set():
            self.failure = reason
            self.finished.set()


class Stream:
    """Read one stream in order and append records to it in batches.

    ``next_offset`` is the offset to read next and ``end_offset`` the largest known end
    of the stream. ``fresh_at`` is the monotonic time, in seconds, of sending the last
    read that reached the end, or minus infinity.

    ``random_source`` must differ between the processes that a node name has over time:
    a record whose id was seen before is dropped as a second copy.

    ``poll_wait_ms`` is the time that the log may hold a read at the end of the stream.
    After a read with records the next one is sent ``read_pause_ms`` later, so that
    records of other writers gather; own appends and fresh reads end the pause.
    """

    def __init__(
        self,
        log: Log,
        name: str,
        decode_batch: Callable[[bytes], RecordBatch[BodyType]],
        node: str,
        metrics: Metrics,
        random_source: random.Random,
        timing: TimingSettings,
        start_offset: int = 0,
        poll_wait_ms: int | None = None,
        read_pause_ms: int = 0,
    ):
        self.log = log
        self.name = name
        self.decode_batch = decode_batch
        self.node = node
        self.metrics = metrics
        self.random_source = random_source
        self.next_offset = start_offset
        self.end_offset = start_offset
        self.fresh_at = float("-inf")
        # Half a renewal interval keeps fresh_at recent on an idle stream.
        self.poll_wait_ms = poll_wait_ms or max(1, timing.renew_ms // 2)
        self.read_pause_s = read_pause_ms / 1000
        self.subscribers: list[Callable[[int, Record[BodyType]], None]] = []
        self.gap_subscribers: list[Callable[[int], None]] = []
        self.first_seen = FirstSeenFilter()
        self.recent_records = RecentRecords()
        self.records_seen = 0
        self.waiting: dict[str, PendingAppend] = {}
        self.waiting_bytes = 0
        self.pending_by_id: dict[str, PendingAppend] = {}
        self.append_wanted = anyio.Event()
        self.read_finished = anyio.Event()
        self.fresh_read_waiters = 0
        self.long_poll: anyio.CancelScope | None = None
        self.read_pause: anyio.CancelScope | None = None
        # The last offset at which the log said that it appended a record of ours.
        self.appended_offset = -1
        self.append_scope: anyio.CancelScope | None = None
        self.append_sent_at = float("-inf")

    def subscribe(
        self,
        callback: Callable[[int, Record[BodyType]], None],
        on_gap: Callable[[int], None] | None = None,
    ) -> None:
        """Call ``callback(offset, record)`` for each first-seen record, in order.

        ``on_gap(first_offset)`` is called before records are delivered again when
        records before ``first_offset`` were no longer retained.
        """
        self.subscribers.append(callback)
        if on_gap is not None:
            self.gap_subscribers.append(on_gap)

    async def run(self) -> None:
        """Tail the stream and write batches until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.run_tail)
                tasks.start_soon(self.run_writer)
        finally:
            self.fail_pending("the stream was stopped", only_sent=False)

    async def append(
        self, bodies: Sequence[BodyType], epoch: int, deadline: float
    ) -> AppendReceipt:
        """Append records in one batch and return once they have been read back.

        Raise AppendUnconfirmed at the deadline and AppendTooLarge at once.
        """
        if not bodies:
            raise ValueError("an append needs at least one record")
        # The node name keeps ids apart where nodes draw from equally seeded sources.
        record_ids = [
            f"{self.node}/{self.random_source.getrandbits(96):024x}" for _ in bodies
        ]
        records = [
            encode(Record(record_id, self.node, epoch, body))
            for record_id, body in zip(record_ids, bodies)
        ]
        pending = PendingAppend(record_ids[0], records, deadline)
        if pending.byte_count > MAX_APPEND_BYTES:
            raise AppendTooLarge(
                f"append of {pending.byte_count} bytes exceeds {MAX_APPEND_BYTES}"
            )
        if self.waiting_bytes + pending.byte_count > MAX_WAITING_BYTES:
            self.metrics.count("streams.waiting_full")
            raise AppendUnconfirmed(self.name, False, "too many bytes are waiting")
        started_at = anyio.current_time()
        self.pending_by_id[pending.record_id] = pending
        self.waiting[pending.record_id] = pending
        self.waiting_bytes += pending.byte_count
        self.append_wanted.set()
        try:
            with anyio.CancelScope(deadline=deadline):
                await pending.finished.wait()
        finally:
            self.pending_by_id.pop(pending.record_id, None)
            self.stop_waiting(pending)
            # A finished append is not sent again.
            pending.fail("the deadline passed")
        if pending.offset is None or pending.sent_at is None:
            self.metrics.count("streams.append_unconfirmed")
            raise AppendUnconfirmed(
                self.name, pending.sent_at is not None, pending.failure or ""
            )
        self.metrics.record_seconds("streams.append", anyio.current_time() - started_at)
        return AppendReceipt(pending.offset, pending.sent_at)

    async def wait_caught_up(self) -> None:
        """Wait until a read sent after this call has reached the end."""
        asked_at = anyio.current_time()
        self.fresh_read_waiters += 1
        if self.long_poll is not None:
            self.long_poll.cancel()
            self.long_poll = None
        self.end_pause()
        try:
            while self.fresh_at < asked_at:
                await self.read_finished.wait()
        finally:
            self.fresh_read_waiters -= 1

    def ingest(self, records: Iterable[tuple[int, bytes]]) -> int:
        """Apply raw records relayed by a peer; return how many were new.

        Records that do not follow the last one read are ignored: the gap between may
        hold records that decide how a later one is folded.
        """
        count = 0
        for offset, payload in records:
            if offset == self.next_offset:
                self.apply_record(offset, payload)
                count += 1
        self.metrics.count("streams.relayed", count)
        return count

    def recent(self, start: int, limit: int) -> tuple[tuple[int, bytes], ...]:
        """Return raw records as (offset, payload) to relay to a peer."""
        return self.recent_records.read(start, limit)

    @property
    def first_recent_offset(self) -> int:
        """Return the first offset that ``recent`` can return."""
        records = self.recent_records.records
        return records[0][0] if records else self.next_offset

    # --- tail -----------------------------------------------------------------------

    async def run_tail(self) -> None:
        """Read the stream for ever, with backoff while the log gives no answer."""
        failures = 0
        while True:
            start_offset = self.next_offset
            try:
                # A page of large records may exceed the size limit of an answer; one
                # record does not.
                await self.read_once(1 if failures else READ_LIMIT)
                failures = 0
                if self.next_offset > start_offset:
                    await self.pause_reading()
            except OffsetExpired as error:
                self.restart_after_gap(error.first_offset)
            except LogUnavailable as error:
                failures += 1
                self.metrics.count("streams.read_failed")
                if failures == 1:
                    logger.warning("Reading stream {} failed: {}.", self.name, error)
                await anyio.sleep(
                    backoff_s(
                        failures, BACKOFF_BASE_MS, BACKOFF_LIMIT_MS, self.random_source
                    )
                )

    async def pause_reading(self) -> None:
        """Let records gather unless one is already wanted."""
        has_more = self.next_offset < max(self.end_offset, self.appended_offset + 1)
        if not self.read_pause_s or self.fresh_read_waiters or has_more:
            return
        with anyio.move_on_after(self.read_pause_s) as self.read_pause:
            await anyio.sleep_forever()
        self.read_pause = None

    def end_pause(self) -> None:
        """Send the next read at once."""
        if self.read_pause is not None:
            self.read_pause.cancel()

    async def read_once(self, limit: int) -> None:
        """Read one page, as a long poll unless somebody waits for a fresh read."""
        wait_ms = 0 if self.fresh_read_waiters else self.poll_wait_ms
        start_offset = self.next_offset
        failure: Exception | None = LogUnavailable("no answer within the time limit")
        interrupted = False

        async def read() -> None:
            """Read and apply one page; the first answer ends the other attempts."""
            nonlocal failure
            sent_at = anyio.current_time()
            try:
                page = await self.log.read(self.name, start_offset, limit, wait_ms)
            except (LogUnavailable, OffsetExpired) as error:
                failure = error
            else:
                failure = None
                self.apply_page(page, sent_at)
                self.give_up_hung_append(sent_at, wait_ms)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.cancel_scope.deadline = anyio.current_time() + CALL_LIMIT_S
            self.long_poll = tasks.cancel_scope if wait_ms else None
            try:
                tasks.start_soon(read)
                for _ in range(MAX_EXTRA_READS):
                    await anyio.sleep(wait_ms / 1000 + EXTRA_READ_S)
                    self.metrics.count("streams.extra_reads")
                    tasks.start_soon(read)
                await anyio.sleep_forever()
            finally:
                interrupted = wait_ms > 0 and self.long_poll is None
                self.long_poll = None
        if failure is not None and not interrupted:
            raise failure

    def apply_page(self, page: LogPage, sent_at: float) -> None:
        """Apply the records of a page that was asked for at ``sent_at``."""
        for record in page.records:
            # A peer may have relayed the first records of this page meanwhile.
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                self.restart_after_gap(record.offset)
            self.apply_record(record.offset, record.payload)
        self.end_offset = max(self.end_offset, page.end_offset)
        if self.next_offset >= page.end_offset:
            self.fresh_at = max(self.fresh_at, sent_at)
        self.read_finished.set()
        self.read_finished = anyio.Event()

    def give_up_hung_append(self, read_sent_at: float, wait_ms: int) -> None:
        """Stop waiting for an append's answer while reads are answered quickly."""
        read_s = anyio.current_time() - read_sent_at - wait_ms / 1000
        if (
            self.append_scope is not None
            and read_sent_at >= self.append_sent_at + APPEND_HUNG_S
            and read_s <= QUICK_READ_S
        ):
            self.append_scope.cancel()

    def restart_after_gap(self, first_offset: int) -> None:
        """Continue at the first retained offset after records were missed."""
        logger.warning(
            "Stream {} continues at offset {} instead of {}.",
            self.name,
            first_offset,
            self.next_offset,
        )
        self.metrics.count("streams.gaps")
        self.recent_records.clear()
        # Missed records may include our own: a second copy after the gap would be
        # taken for a first one by the fold that was restored from a snapshot.
        self.fail_pending("records were missed", only_sent=True)
        self.next_offset = first_offset
        self.end_offset = max(self.end_offset, first_offset)
        for on_gap in self.gap_subscribers:
            on_gap(first_offset)

    def apply_record(self, offset: int, payload: bytes) -> None:
        """Deliver the first-seen records of one append."""
        self.recent_records.add(offset, payload)
        try:
            records = self.decode_batch(payload).records
        except DecodeError as error:
            self.metrics.count("streams.malformed")
            logger.warning(
                "Record {} of stream {} is malformed: {}.", offset, self.name, error
            )
            records = ()
        # Callbacks see the stream as read up to and including this append.
        self.next_offset = offset + 1
        self.end_offset = max(self.end_offset, self.next_offset)
        for record in records:
            if not self.first_seen.add(record.record_id):
                self.metrics.count("streams.duplicates")
                continue
            self.records_seen += 1
            for callback in self.subscribers:
                callback(offset, record)
            # Callers are woken only after the fold has applied their record.
            pending = self.pending_by_id.get(record.record_id)
            if pending is not None and not pending.finished.is_set():
                pending.offset = offset
                pending.finished.set()

    # --- writer ---------------------------------------------------------------------

    def stop_waiting(self, pending: PendingAppend) -> None:
        """Take an append out of the waiting ones, if it is there."""
        if self.waiting.pop(pending.record_id, None) is not None:
            self.waiting_bytes -= pending.byte_count

    def take_batch(self) -> list[PendingAppend]:
        """Take waiting appends up to the size limit of a batch."""
        batch: list[PendingAppend] = []
        byte_count = 0
        now = anyio.current_time()
        for pending in self.waiting.values():
            if byte_count and byte_count + pending.byte_count > MAX_BATCH_BYTES:
                break
            byte_count += pending.byte_count
            batch.append(pending)
        for pending in batch:
            self.stop_waiting(pending)
            if pending.sent_at is None:
                pending.sent_at = now
                pending.first_attempt_count = self.records_seen
        return batch

    async def run_writer(self) -> None:
        """Append batches one after the other; records gather during an append."""
        failures = 0
        while True:
            if not self.waiting:
                self.append_wanted = anyio.Event()
                await self.append_wanted.wait()
                continue
            batch = self.take_batch()
            records = tuple(record for pending in batch for record in pending.records)
            try:
                await self.append_once(encode(RecordBatch(records)))
                failures = 0
                self.metrics.count("streams.appends")
                self.metrics.count("streams.records_appended", len(records))
            except LogUnavailable as error:
                failures += 1
                if failures == 1:
                    logger.warning("Append to stream {} failed: {}.", self.name, error)
                await anyio.sleep(
                    backoff_s(
                        failures, BACKOFF_BASE_MS, BACKOFF_LIMIT_MS, self.random_source
                    )
                )
                await self.requeue_unread(batch)

    async def append_once(self, payload: bytes) -> None:
        """Append one record to the log; raise LogUnavailable without an answer."""
        self.append_sent_at = anyio.current_time()
        deadline = self.append_sent_at + CALL_LIMIT_S
        with anyio.CancelScope(deadline=deadline) as scope:
            self.append_scope = scope
            try:
                self.appended_offset = await self.log.append(self.name, payload)
                self.end_pause()
                return
            finally:
                self.append_scope = None
        raise LogUnavailable("no answer to the append")

    async def requeue_unread(self, batch: list[PendingAppend]) -> None:
        """Let a failed batch be appended again unless it has taken effect.

        A fresh read comes first: it spares most second copies, and bounds the distance
        between copies for the filter of first-seen ids.
        """
        await self.wait_caught_up()
        unread: dict[str, PendingAppend] = {}
        for pending in batch:
            if pending.finished.is_set():
                continue
            if self.records_seen - pending.first_attempt_count > MAX_RETRY_DISTANCE:
                pending.fail("too many records were read since the first attempt")
                continue
            self.metrics.retry("streams", RetryReason.APPEND_UNCONFIRMED)
            unread[pending.record_id] = pending
            self.waiting_bytes += pending.byte_count
        self.waiting = unread | self.waiting

    def fail_pending(self, reason: str, only_sent: bool) -> None:
        """Fail the appends that wait to be read back."""
        for pending in list(self.pending_by_id.values()):
            if pending.sent_at is not None or not only_sent:
                pending.fail(reason)
