"""Calls to the workers of a rack."""

import math
from typing import TYPE_CHECKING

import anyio
import logbook

from gypsumring.messages.peer import TaskReportState
from gypsumring.metrics import RefusalReason, RetryReason
from gypsumring.placement.attempts import Attempt, AttemptState, WorkerLink
from gypsumring.placement.exceptions import NoLongerOwner
from gypsumring.placement.limits import ACT_POLL_S, PART
from gypsumring.ports import (
    StartOutcome,
    TaskAction,
    TaskActionKind,
    WorkerTimeout,
    WorkerUnreachable,
)

if TYPE_CHECKING:
    from gypsumring.placement.rack import RackManager

__all__ = ["WorkerCaller"]

log = logbook.Logger("placement")

MAX_STARTS = 200
USAGE_POLL_S = 4.0
SILENT_RETRY_S = 0.5
RENEW_RETRY_S = 0.5
LOOK_AFTER_ACTION_S = 0.25


class WorkerCaller:
    """Renew, start, stop and look at the workers of a rack, one task for each."""

    __slots__ = ("manager",)

    def __init__(self, manager: "RackManager"):
        self.manager = manager

    async def serve_worker(self, link: WorkerLink) -> None:
        """Make the calls to one worker, one at a time."""
        while True:
            self.declare_lost(link)
            if self.is_gone(link):
                self.remove_link(link)
                return
            if not self.manager.context.may_act():
                await anyio.sleep(ACT_POLL_S)
                continue
            try:
                due = await self.call_worker(link)
            except NoLongerOwner:
                continue
            except (WorkerUnreachable, WorkerTimeout) as error:
                self.mark_silent(link, error)
                if link.client is None:
                    await anyio.sleep(SILENT_RETRY_S)
                continue
            if due is not None:
                link.wake = anyio.Event()
                if self.has_work(link):
                    continue
                with anyio.move_on_at(due):
                    await link.wake.wait()

    def is_gone(self, link: WorkerLink) -> bool:
        """Tell whether a worker left the VM list and surely runs nothing."""
        over = anyio.current_time() >= link.lease_end and not link.reachable
        return not link.listed and over and not self.list_on_worker(link)

    def has_work(self, link: WorkerLink) -> bool:
        """Tell whether starts or actions wait for a worker that can take them."""
        return link.reachable and bool(link.queue or link.actions)

    async def call_worker(self, link: WorkerLink) -> float | None:
        """Make the next call that is due, or return when one is due."""
        now = anyio.current_time()
        if link.client is None:
            link.client = self.manager.context.upstreams.worker(link.vm)
        self.manager.placer.escalate(link, now)
        if not link.reachable:
            if now < link.look_at:
                return link.look_at
            await self.look(link)
        elif link.renew_at <= now < link.renewed_until:
            await self.renew(link)
        elif link.queue:
            await self.send_starts(link)
        elif link.actions:
            await self.send_actions(link)
        elif now >= link.look_at:
            await self.look(link)
        elif now >= link.usage_at:
            await self.poll_usage(link)
        else:
            steps = [time for _, time in link.preempting.values()]
            renew_at = link.renew_at if now < link.renewed_until else math.inf
            return min(renew_at, link.look_at, link.usage_at, *steps)
        return None

    def check_may_act(self) -> float:
        """Return until when to act; raise NoLongerOwner right before a send."""
        limit = self.manager.context.may_act_until()
        if anyio.current_time() >= limit:
            self.manager.metrics.count("placement.stopped_before_send")
            raise NoLongerOwner
        return limit

    async def renew(self, link: WorkerLink) -> None:
        """Renew all leases of a worker and take in its inventory.

        Only a worker that answered its last call is renewed, and the renewal has no
        effect after ``limit``, so lost answers never put off the end of its leases.
        """
        now = anyio.current_time()
        limit = min(self.check_may_act(), now + self.manager.call_s)
        renew_before = link.convert_limit(limit)
        link.lease_end = max(
            link.lease_end, limit + self.manager.lease_s + self.manager.margin_s
        )
        inventory = await link.client.renew(
            self.manager.timing.task_lease_ms, now + self.manager.call_s, renew_before
        )
        link.renew_at = now + self.manager.timing.task_renew_ms / 1000
        if inventory.worker_time >= renew_before:
            self.manager.metrics.count("placement.renewals_too_late")
            link.renew_at = anyio.current_time() + RENEW_RETRY_S
        self.manager.absorb(link, inventory, now)

    async def look(self, link: WorkerLink) -> None:
        """Take in a worker's inventory without renewing.

        This is the first call to a worker: it tells the worker's clock, which bounds
        all that is sent later.
        """
        self.check_may_act()
        sent = anyio.current_time()
        inventory = await link.client.inventory(sent + self.manager.call_s)
        if not link.reachable:
            link.renew_at = sent
        self.manager.absorb(link, inventory, sent)

    async def send_starts(self, link: WorkerLink) -> None:
        """Send all starts that wait for a worker in one call."""
        now = anyio.current_time()
        for attempt in list(link.queue.values()):
            if attempt.deadline <= now:
                self.manager.refuse(attempt, RefusalReason.DEADLINE_UNREACHABLE)
            elif self.manager.draining:
                self.manager.refuse(attempt, RefusalReason.DRAINING)
        batch = list(link.queue.values())[:MAX_STARTS]
        if not batch:
            return
        window = self.manager.timing.start_window_ms / 1000
        limit = min(self.check_may_act(), anyio.current_time() + window)
        start_before = link.convert_limit(limit)
        starts = []
        for attempt in batch:
            del link.queue[attempt.key]
            attempt.state = AttemptState.SENT
            attempt.start_limit = limit
            starts.append(
                attempt.make_start(start_before, self.manager.timing.task_lease_ms)
            )
        earlier_end = link.lease_end
        link.lease_end = max(
            earlier_end, limit + self.manager.lease_s + self.manager.margin_s
        )
        self.manager.metrics.count("placement.start_calls")
        link.is_starting = True
        try:
            reply = await link.client.start(
                starts, anyio.current_time() + self.manager.call_s
            )
        except WorkerUnreachable:
            for attempt in batch:
                attempt.state = AttemptState.QUEUED
                link.queue[attempt.key] = attempt
            raise
        except WorkerTimeout:
            for attempt in batch:
                if attempt.state == AttemptState.SENT:
                    attempt.state = AttemptState.UNCERTAIN
                    self.manager.metrics.retry(PART, RetryReason.TASK_UNCERTAIN)
            raise
        finally:
            link.is_starting = False
            self.manager.starts_answered.set()
        link.note_clock(reply.worker_time, anyio.current_time())
        outcomes = {(r.task_id, r.attempt): r for r in reply.results}
        for attempt in batch:
            result = outcomes.get(attempt.key)
            if result is None:
                attempt.state = AttemptState.UNCERTAIN
                link.look_at = min(link.look_at, attempt.start_limit)
                continue
            self.absorb_start(link, attempt, result.outcome, result.reason)

    def absorb_start(
        self, link: WorkerLink, attempt: Attempt, outcome: StartOutcome, reason: str
    ) -> None:
        """Take in a worker's answer to one start."""
        now = anyio.current_time()
        match outcome:
            case StartOutcome.STARTED:
                self.manager.engine.record_start(
                    link.name, attempt.demand.service, True, now
                )
                attempt.started_at = now
                self.manager.settle_running(attempt)
                if attempt.stop_requested:
                    link.actions[attempt.key] = TaskActionKind.STOP
            case StartOutcome.FAILED:
                self.manager.engine.record_start(
                    link.name, attempt.demand.service, False, now
                )
                self.manager.metrics.count("placement.starts_failed")
                self.manager.finish(attempt, TaskReportState.FAILED, reason)
            case StartOutcome.TOO_LATE:
                self.manager.metrics.count("placement.starts_too_late")
                self.requeue(link, attempt)

    def requeue(self, link: WorkerLink, attempt: Attempt) -> None:
        """Start an attempt that surely did not run once more, or refuse it."""
        late = attempt.deadline <= anyio.current_time()
        if (
            late
            or attempt.stop_requested
            or self.manager.draining
            or attempt.told_uncertain
        ):
            self.manager.refuse(attempt, RefusalReason.DEADLINE_UNREACHABLE)
            return
        attempt.state = AttemptState.QUEUED
        link.queue[attempt.key] = attempt
        self.manager.metrics.retry(PART, RetryReason.TASK_UNCERTAIN)

    async def send_actions(self, link: WorkerLink) -> None:
        """Send the actions that wait for a worker."""
        self.check_may_act()
        actions = dict(link.actions)
        sent = anyio.current_time()
        inventory = await link.client.act(
            [TaskAction(kind, *key) for key, kind in actions.items()],
            sent + self.manager.call_s,
        )
        for key, kind in actions.items():
            if link.actions.get(key) == kind:
                del link.actions[key]
        self.manager.absorb(link, inventory, sent)
        if any(kind != TaskActionKind.FORGET for kind in actions.values()):
            link.look_at = anyio.current_time() + LOOK_AFTER_ACTION_S

    async def poll_usage(self, link: WorkerLink) -> None:
        """Read measured use, and relieve workers that are over capacity."""
        self.check_may_act()
        report = await link.client.usage(anyio.current_time() + self.manager.call_s)
        link.usage_at = anyio.current_time() + USAGE_POLL_S
        link.tried = True
        self.manager.engine.set_closed(link.name, "unmeasured", False)
        self.manager.engine.observe_usage(
            ((usage.task_id, usage.attempt), usage.used) for usage in report.tasks
        )
        for relief in self.manager.engine.choose_relief():
            self.manager.placer.preempt(relief, "worker over capacity by measured use")

    def mark_silent(self, link: WorkerLink, error: Exception) -> None:
        """Give no more work to a worker that did not answer; move its queue."""
        if link.reachable:
            log.warning("worker {} is silent: {}", link.name, error)
        self.manager.metrics.count("placement.worker_calls_failed")
        link.reachable = False
        link.tried = True
        link.look_at = anyio.current_time() + SILENT_RETRY_S
        self.manager.engine.set_closed(link.name, "silent", True)
        self.move_unsent(link)

    def move_unsent(self, link: WorkerLink) -> None:
        """Place the attempts that wait for a worker on other workers."""
        for attempt in list(link.queue.values()):
            del link.queue[attempt.key]
            self.manager.engine.release(attempt.key)
            self.manager.placer.place(attempt)
        for key, relief in list(self.manager.waiting.items()):
            if relief.worker == link.name:
                self.manager.placer.end_claim(key)
                self.manager.placer.place(self.manager.attempts[key])

    def declare_lost(self, link: WorkerLink) -> None:
        """Declare the tasks of a silent worker lost once their leases have ended.

        Ownership under one epoch is continuous, so while this process may act no
        other owner can have renewed the leases.
        """
        now = anyio.current_time()
        if link.reachable or link.lost_reported or now < link.lease_end:
            return
        if not self.manager.context.may_act():
            return
        link.lost_reported = True
        for attempt in self.list_on_worker(link):
            if attempt.state != AttemptState.QUEUED:
                self.manager.metrics.retry(PART, RetryReason.TASK_LOST)
                self.manager.finish(
                    attempt, TaskReportState.LOST, "worker silent, lease ended"
                )

    def remove_link(self, link: WorkerLink) -> None:
        """Drop a worker that left the VM list and holds no lease."""
        self.manager.engine.remove_worker(link.name)
        del self.manager.links[link.name]

    def list_on_worker(self, link: WorkerLink) -> list[Attempt]:
        """Return the live attempts on a worker."""
        return [
            attempt
            for attempt in self.manager.attempts.values()
            if attempt.worker == link.name and attempt.is_live
        ]
