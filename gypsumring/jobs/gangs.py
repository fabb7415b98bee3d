"""Start the tasks of all-or-nothing jobs together."""

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from gypsumring.jobs.model import Attempt, AttemptState, Job
from gypsumring.jobs.racks import Rack
from gypsumring.messages.peer import (
    ReleaseReservation,
    ReserveReply,
    ReserveTasks,
)
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable
from gypsumring.utils.backoff import backoff_s

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["GangStarter"]

# Room is reserved for at most this long while the other racks are asked.
RESERVATION_S = 3.0
GANG_DELAY_BASE_MS = 500
GANG_DELAY_LIMIT_MS = 5_000


class GangStarter:
    """Reserve room for whole gangs, start them, and stop what was half started."""

    __slots__ = ("manager",)

    def __init__(self, manager: "JobManager"):
        self.manager = manager

    def try_gang(self, job: Job) -> int:
        """Begin to start a gang if quota and racks seem to hold all of its tasks."""
        size = job.spec.task_resources
        count = len(job.waiting)
        if job.live or count < job.spec.task_count:
            return 0
        if self.manager.usage.count_allowed(job.spec.team, size, count) < count:
            job.wait_reason = "the team's quota does not hold all tasks together"
            return 0
        room = sum(
            rack.count_fitting(size, job.spec.priority, count)
            for rack in self.manager.book.racks.values()
        )
        if room < count:
            job.wait_reason = "the racks have no room for all tasks together"
            return 0
        attempts = [
            self.manager.attempts.create_attempt(job, index, "")
            for index in job.waiting
        ]
        job.waiting.clear()
        self.manager.pending.discard(job)
        job.tries += 1
        self.manager.spawn(self.start_gang, job, attempts)
        return count

    async def start_gang(self, job: Job, attempts: list[Attempt]) -> None:
        """Reserve room for all tasks in sorted rack order, then start them."""
        deadline = anyio.current_time() + RESERVATION_S
        reservation_id = f"{job.key}#{self.manager.context.epoch}.{job.tries}"
        shares: list[tuple[Rack, list[Attempt]]] = []
        asked: list[Rack] = []
        remaining = attempts
        for shard in sorted(self.manager.book.racks):
            rack = self.manager.book.racks[shard]
            count = rack.count_fitting(
                job.spec.task_resources, job.spec.priority, len(remaining)
            )
            if not remaining or job.cancelled_by is not None:
                break
            if count == 0:
                continue
            asked.append(rack)
            epoch = rack.epoch
            reserved = await self.reserve(
                rack, reservation_id, remaining[:count], deadline
            )
            share, remaining = remaining[:reserved], remaining[reserved:]
            for attempt in share:
                attempt.shard = shard
                attempt.rack_epoch = epoch
            if share:
                shares.append((rack, share))
        is_ready = not remaining and job.cancelled_by is None
        if is_ready and job.spec.task_runs_at_most_once:
            is_ready = await self.manager.dispatcher.intend(job, attempts, deadline)
        if not is_ready or job.cancelled_by is not None:
            for attempt in attempts:
                self.manager.attempts.remove_attempt(attempt)
            job.wait_reason = "the racks did not reserve room for all tasks together"
            self.delay_gang(job, job.tries)
            for rack in asked:
                self.manager.spawn(self.release_reservation, rack, reservation_id)
            return
        send_starts = self.manager.dispatcher.send_starts
        async with anyio.create_task_group() as sends:
            for rack, share in shares:
                sends.start_soon(send_starts, rack, share, reservation_id)

    async def reserve(
        self,
        rack: Rack,
        reservation_id: str,
        attempts: list[Attempt],
        deadline: float,
    ) -> int:
        """Reserve room on one rack and return for how many tasks it has."""
        message = ReserveTasks(
            rack.shard,
            self.manager.context.shard,
            self.manager.context.epoch,
            rack.epoch,
            reservation_id,
            tuple(attempt.to_start() for attempt in attempts),
            self.manager.dispatcher.left_ms(deadline),
        )
        try:
            reply = await self.manager.dispatcher.call_rack(rack.shard, message)
        except (PeerTimeout, PeerUnreachable, PeerRejected) as error:
            self.manager.dispatcher.note_failed_call(rack, error)
            return 0
        if not isinstance(reply, ReserveReply):
            return 0
        rack.take_summary(reply.summary)
        if reply.reserved < len(attempts):
            rack.note_refusal(attempts[0].resources, self.manager.random_source)
        return min(reply.reserved, len(attempts))

    async def release_reservation(self, rack: Rack, reservation_id: str) -> None:
        """Give up a reservation, which would otherwise end at its deadline."""
        message = ReleaseReservation(
            rack.shard,
            self.manager.context.shard,
            self.manager.context.epoch,
            reservation_id,
        )
        with suppress(PeerTimeout, PeerUnreachable, PeerRejected):
            await self.manager.dispatcher.call_rack(rack.shard, message)

    def delay_gang(self, job: Job, tries: int) -> None:
        """Queue a gang again after a random delay, so that two do not collide again."""
        delay_s = backoff_s(
            tries, GANG_DELAY_BASE_MS, GANG_DELAY_LIMIT_MS, self.manager.random_source
        )
        job.next_try_at = anyio.current_time() + delay_s
        self.manager.refill(job)
        self.manager.check_job(job)

    def note_gang_running(self, job: Job) -> None:
        """Note when all tasks of a gang run or have succeeded."""
        running = sum(
            attempt.state is AttemptState.RUNNING for attempt in job.live.values()
        )
        if job.aborting or running + len(job.early) < job.spec.task_count:
            return
        job.gang_failures = 0
        job.note(anyio.current_time(), "all tasks run")
        self.set_all_ran(job)

    def set_all_ran(self, job: Job) -> None:
        """Let the tasks of a gang end one by one from now on."""
        job.all_ran = True
        early, job.early = job.early, set()
        for index in sorted(early):
            self.manager.set_result(job, index, "succeeded")

    def abort_gang(self, job: Job, counts_as_failure: bool) -> None:
        """Stop the rest of a gang after a task did not run, then try all again."""
        if not job.aborting:
            job.aborting = True
            if counts_as_failure:
                job.gang_failures += 1
            for attempt in list(job.live.values()):
                self.manager.request_stop(attempt)
        if job.live:
            return
        job.aborting = False
        early, job.early = job.early, set()
        if job.spec.task_runs_at_most_once:
            for index in sorted(early):
                self.manager.set_result(job, index, "succeeded")
        can_retry = job.gang_failures < job.spec.max_attempts
        if job.cancelled_by is None and (job.finished_count() or not can_retry):
            # A task has ended for good, so that not all can run together any more.
            for index in range(job.spec.task_count):
                self.manager.set_result(job, index, "failed")
        self.delay_gang(job, max(1, job.gang_failures))

    def recover_gang(self, job: Job) -> None:
        """Decide whether a gang of the previous owner runs or was half started."""
        known = len(job.live) + len(job.early)
        if job.finished_count() or known >= job.spec.task_count:
            # Results are recorded only after all tasks ran.
            self.set_all_ran(job)
        elif known:
            self.abort_gang(job, counts_as_failure=False)
