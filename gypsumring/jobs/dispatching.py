"""Send waiting tasks to the owners of racks."""

import heapq
from collections.abc import Iterable
from typing import TYPE_CHECKING

import anyio

from gypsumring.jobs.limits import APPEND_S, FINAL_STATES
from gypsumring.jobs.model import Attempt, AttemptState, Job
from gypsumring.jobs.racks import Rack
from gypsumring.messages.peer import (
    PeerMessage,
    PeerReply,
    StartTasks,
    StartTasksReply,
    TaskReportState,
)
from gypsumring.messages.records import TaskIntended
from gypsumring.messages.work import Priority, Resources
from gypsumring.metrics import RefusalReason, RetryReason
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable
from gypsumring.streams import AppendUnconfirmed

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["Dispatcher"]

# One StartTasks call carries at most this many tasks; an urgent task waits for at most
# the handling of one such batch by the rack owner.
MAX_TASKS_PER_CALL = 64
# Calls in flight to one rack; the last one is kept for urgent tasks.
MAX_CALLS_PER_RACK = 4
# Tasks assigned in one pass before other work of the event loop gets its turn.
MAX_ASSIGNED_PER_PASS = 512
# Queued jobs of one team that a pass tries, so that a long queue of jobs that fit
# nowhere costs a bounded time.
MAX_TRIED_PER_TEAM = 64
DISPATCH_INTERVAL_S = 0.25
DISPATCH_PAUSE_S = 0.002
# Part of the time to a deadline that the receiver of a call may use; a rack owner
# answers at its deadline at the latest.
ANSWER_SHARE = 0.8


class Dispatcher:
    """Choose racks for waiting tasks and send their starts in batches."""

    __slots__ = ("manager",)

    def __init__(self, manager: "JobManager"):
        self.manager = manager

    async def run_dispatch(self) -> None:
        """Assign pending tasks to racks whenever something has changed."""
        while True:
            with anyio.move_on_after(DISPATCH_INTERVAL_S):
                await self.manager.work_changed.wait()
            self.manager.work_changed = anyio.Event()
            if self.manager.context.may_act() and not self.manager.is_draining:
                started_at = anyio.current_time()
                self.manager.refresh_racks()
                self.manager.release_delayed()
                self.dispatch()
                self.manager.metrics.record_seconds(
                    "jobs.dispatch", anyio.current_time() - started_at
                )
            # Changes within a few milliseconds share one pass.
            await anyio.sleep(DISPATCH_PAUSE_S)

    def dispatch(self) -> None:
        """Assign a bounded number of tasks, the highest class first."""
        budget = MAX_ASSIGNED_PER_PASS
        capacity = self.manager.book.capacity()
        for priority in sorted(Priority, reverse=True):
            heap = [
                (self.manager.usage.weigh(team, capacity), team)
                for team in self.manager.pending.teams(priority)
            ]
            heapq.heapify(heap)
            # Sizes that no rack takes in this pass.
            too_large: list[Resources] = []
            while heap and budget > 0:
                _, team = heapq.heappop(heap)
                assigned = self.assign_for_team(team, priority, budget, too_large)
                budget -= assigned
                if assigned:
                    heapq.heappush(
                        heap, (self.manager.usage.weigh(team, capacity), team)
                    )
        if budget <= 0:
            self.manager.wake()

    def assign_for_team(
        self, team: str, priority: Priority, budget: int, too_large: list[Resources]
    ) -> int:
        """Assign tasks of the team's first job that can start; return how many."""
        now = anyio.current_time()
        for job in self.manager.pending.list_jobs(priority, team, MAX_TRIED_PER_TEAM):
            size = job.spec.task_resources
            if now < job.next_try_at:
                continue
            if job.starts_together:
                count = self.manager.gangs.try_gang(job)
                if count:
                    return count
                continue
            allowed = self.manager.usage.count_allowed(
                team, size, min(len(job.waiting), budget, MAX_TASKS_PER_CALL)
            )
            if allowed == 0:
                job.wait_reason = "the team's quota is in use"
                continue
            if any(other.fits_in(size) for other in too_large):
                job.wait_reason = "no rack has room"
                continue
            choice = self.manager.book.choose(job, allowed)
            if choice is None:
                job.wait_reason = "no rack has room"
                too_large.append(size)
                continue
            rack, count = choice
            self.assign(job, rack, [job.waiting.popleft() for _ in range(count)])
            if not job.waiting:
                self.manager.pending.discard(job)
            return count
        return 0

    def assign(self, job: Job, rack: Rack, indexes: list[int]) -> None:
        """Create attempts on a rack and send them, after their intent if needed."""
        attempts = [
            self.manager.attempts.create_attempt(job, index, rack.shard)
            for index in indexes
        ]
        if job.spec.task_runs_at_most_once:
            self.manager.spawn(self.append_intent, job, rack, attempts)
        else:
            self.enqueue(rack, attempts)

    def enqueue(self, rack: Rack, attempts: Iterable[Attempt]) -> None:
        """Pass attempts to the rack's task."""
        if rack.shard not in self.manager.served_racks:
            self.manager.served_racks.add(rack.shard)
            self.manager.spawn(self.serve_rack, rack)
        for attempt in attempts:
            rack.enqueue(attempt)

    async def intend(self, job: Job, attempts: list[Attempt], deadline: float) -> bool:
        """Record that at-most-once tasks may run from now on; tell if it is durable."""
        number = max(attempt.number for attempt in attempts)
        indexes = tuple(attempt.index for attempt in attempts)
        self.manager.calls_in_flight += 1
        try:
            await self.manager.append(
                [TaskIntended(job.key, indexes, number)], deadline
            )
        except AppendUnconfirmed:
            # Nothing is sent to the rack. If the record appears, a later owner takes
            # the tasks for possibly run, which is safe.
            self.manager.metrics.retry("jobs", RetryReason.APPEND_UNCONFIRMED)
            return False
        finally:
            self.manager.calls_in_flight -= 1
        # The record is ignored if the job has ended or the epoch is over.
        return all(job.intended.get(index, 0) >= number for index in indexes)

    async def append_intent(
        self, job: Job, rack: Rack, attempts: list[Attempt]
    ) -> None:
        """Record the intent of at-most-once tasks, then send them."""
        if await self.intend(job, attempts, anyio.current_time() + APPEND_S):
            self.enqueue(rack, attempts)
            return
        for attempt in attempts:
            self.manager.attempts.drop_attempt(attempt, delay_s=1.0)

    async def serve_rack(self, rack: Rack) -> None:
        """Send queued attempts to one rack, urgent ones first."""
        while True:
            await rack.work_arrived.wait()
            rack.work_arrived = anyio.Event()
            while rack.calls_in_flight < MAX_CALLS_PER_RACK:
                attempts = rack.take_queued(True, MAX_TASKS_PER_CALL)
                if not attempts and rack.calls_in_flight < MAX_CALLS_PER_RACK - 1:
                    attempts = rack.take_queued(False, MAX_TASKS_PER_CALL)
                if not attempts:
                    break
                rack.calls_in_flight += 1
                self.manager.spawn(self.send_queued, rack, attempts)

    async def send_queued(self, rack: Rack, attempts: list[Attempt]) -> None:
        """Send one batch of new attempts."""
        try:
            wanted = [attempt for attempt in attempts if not attempt.stop_requested]
            for attempt in attempts:
                if attempt.stop_requested:
                    self.manager.attempts.drop_attempt(attempt)
            if wanted:
                await self.send_starts(rack, wanted)
        finally:
            rack.answered(attempts)
            rack.calls_in_flight -= 1
            rack.work_arrived.set()
            self.manager.wake()

    async def send_starts(
        self, rack: Rack, attempts: list[Attempt], reservation_id: str = ""
    ) -> None:
        """Send starts and apply the answer; ends with each attempt in a known state.

        All attempts have the same rack epoch, which is the known one for new attempts
        and never changes after the first send.
        """
        for attempt in attempts:
            if attempt.state is AttemptState.QUEUED:
                attempt.state = AttemptState.SENT
                attempt.rack_epoch = attempt.rack_epoch or rack.epoch
        deadline = self.call_deadline()
        message = StartTasks(
            shard=rack.shard,
            ledger=self.manager.context.shard,
            ledger_epoch=self.manager.context.epoch,
            rack_epoch=attempts[0].rack_epoch,
            reply_address=self.manager.context.peer_address,
            tasks=tuple(attempt.to_start() for attempt in attempts),
            reservation_id=reservation_id,
            left_ms=self.left_ms(deadline),
        )
        try:
            reply = await self.call_rack(rack.shard, message)
        except (PeerUnreachable, PeerRejected) as error:
            self.note_failed_call(rack, error)
            for attempt in self.still_live(attempts):
                if attempt.may_run:
                    self.manager.attempts.mark_uncertain(attempt)
                else:
                    attempt.job.wait_reason = f"{rack.shard}: {error}"
                    self.manager.attempts.drop_attempt(attempt)
            return
        except PeerTimeout:
            self.manager.metrics.retry("jobs", RetryReason.PEER_TIMEOUT)
            rack.note_unreachable(self.manager.random_source)
            for attempt in self.still_live(attempts):
                self.leave_uncertain(attempt)
            return
        if not isinstance(reply, StartTasksReply):
            for attempt in self.still_live(attempts):
                self.leave_uncertain(attempt)
            return
        self.apply_start_reply(rack, attempts, reply)

    def note_failed_call(self, rack: Rack, error: Exception) -> None:
        """Count a call that a rack did not take; ask a new owner for its tasks."""
        reason = error.reason if isinstance(error, PeerRejected) else ""
        if reason == RefusalReason.OLD_EPOCH:
            self.manager.metrics.retry("jobs", RetryReason.OWNER_MOVED)
            self.manager.sync_wanted.add(rack.shard)
        else:
            self.manager.metrics.retry("jobs", RetryReason.PEER_UNREACHABLE)
        rack.note_unreachable(self.manager.random_source)

    def still_live(self, attempts: list[Attempt]) -> list[Attempt]:
        """Return the attempts that no report has ended meanwhile."""
        return [
            attempt
            for attempt in attempts
            if attempt.job.live.get(attempt.index) is attempt
        ]

    def leave_uncertain(self, attempt: Attempt) -> None:
        """Note that a start may have taken effect."""
        attempt.may_run = True
        self.manager.metrics.retry("jobs", RetryReason.TASK_UNCERTAIN)
        # A report may have arrived before the answer was given up.
        if attempt.state is not AttemptState.RUNNING:
            self.manager.attempts.mark_uncertain(attempt)
        if attempt.stop_requested:
            self.manager.stops.queue_stop(
                attempt.shard, attempt.task_id, attempt.number
            )

    def apply_start_reply(
        self, rack: Rack, attempts: list[Attempt], reply: StartTasksReply
    ) -> None:
        """Apply the reports of a start call."""
        reports = {(report.task_id, report.attempt): report for report in reply.reports}
        started = False
        for attempt in self.still_live(attempts):
            report = reports.get((attempt.task_id, attempt.number))
            if report is None:
                self.leave_uncertain(attempt)
                continue
            if report.state is TaskReportState.REFUSED:
                rack.note_refusal(attempt.resources, self.manager.random_source)
                attempt.job.wait_reason = f"{rack.shard} refused: {report.reason}"
            else:
                started = True
            self.manager.attempts.apply_report(rack.shard, report, attempt.rack_epoch)
            if report.state not in FINAL_STATES and attempt.stop_requested:
                self.manager.stops.queue_stop(
                    attempt.shard, attempt.task_id, attempt.number
                )
        rack.take_summary(reply.summary)
        rack.note_success(started)

    def settle_uncertain(self) -> None:
        """Repeat the starts of uncertain attempts with the same rack."""
        now = anyio.current_time()
        due: dict[str, list[Attempt]] = {}
        for entry, attempt in list(self.manager.uncertain.items()):
            is_live = attempt.job.live.get(attempt.index) is attempt
            if not is_live or attempt.state is not AttemptState.UNCERTAIN:
                del self.manager.uncertain[entry]
            elif not attempt.stop_requested and attempt.next_settle_at <= now:
                due.setdefault(attempt.shard, []).append(attempt)
        for shard in sorted(due):
            rack = self.manager.book.get(shard)
            if not rack.is_settling:
                rack.is_settling = True
                self.manager.spawn(self.settle, rack, due[shard][:MAX_TASKS_PER_CALL])

    async def settle(self, rack: Rack, attempts: list[Attempt]) -> None:
        """Repeat one batch of starts with the same attempt numbers.

        Starts that were sent to an earlier owner are settled by the tasks that the new
        owner lists: it cannot tell whether they ran on a worker that is silent.
        """
        try:
            by_epoch: dict[int, list[Attempt]] = {}
            for attempt in self.still_live(attempts):
                by_epoch.setdefault(attempt.rack_epoch, []).append(attempt)
            for epoch in sorted(by_epoch):
                if epoch >= rack.epoch:
                    await self.send_starts(rack, by_epoch[epoch])
                    continue
                self.manager.sync_wanted.add(rack.shard)
                for attempt in by_epoch[epoch]:
                    self.manager.attempts.mark_uncertain(attempt)
        finally:
            rack.is_settling = False

    def left_ms(self, deadline: float) -> int:
        """Return the time left for a receiver, so that its answer arrives in time."""
        return int(max(0.0, deadline - anyio.current_time()) * 1000 * ANSWER_SHARE)

    def call_deadline(self) -> float:
        """Return the deadline of a call, which never outlasts the ownership."""
        return min(
            anyio.current_time() + self.manager.timing.call_ms / 1000,
            self.manager.context.may_act_until(),
        )

    async def call_rack(self, shard: str, message: PeerMessage) -> PeerReply:
        """Call the owner of a rack; raise the errors of the peer port."""
        address = self.manager.context.owner_address(shard)
        if address is None:
            raise PeerUnreachable(f"{shard} has no owner")
        if not self.manager.context.may_act():
            raise PeerUnreachable("the ownership of this ledger has ended")
        self.manager.calls_in_flight += 1
        try:
            return await self.manager.context.peers.call(
                address, message, self.call_deadline()
            )
        finally:
            self.manager.calls_in_flight -= 1
