"""Recovery of a ledger after a change of its owner."""

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from gypsumring.jobs.limits import APPEND_S, SETTLE_BASE_MS, SETTLE_LIMIT_MS, TICK_S
from gypsumring.jobs.model import AttemptState
from gypsumring.messages.peer import RackTasks, TaskReportState, TasksOfLedger
from gypsumring.messages.records import EpochStarted
from gypsumring.messages.work import Resources
from gypsumring.metrics import RetryReason
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable, VmRole
from gypsumring.streams import AppendUnconfirmed
from gypsumring.utils.backoff import backoff_s

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["LedgerRecovery"]


class LedgerRecovery:
    """Find the tasks of an earlier owner on the racks after a takeover."""

    __slots__ = ("manager",)

    def __init__(self, manager: "JobManager"):
        self.manager = manager

    async def recover(self) -> None:
        """Fold the ledger to its end and fence the records of previous owners."""
        while True:
            await self.manager.stream.wait_caught_up()
            if not self.manager.ledger.reader.waits_for_snapshot:
                if self.manager.ledger.epoch >= self.manager.context.epoch:
                    break
                started = EpochStarted(
                    self.manager.context.node, self.manager.context.epoch
                )
                with suppress(AppendUnconfirmed):
                    await self.manager.append(
                        [started], anyio.current_time() + APPEND_S
                    )
            else:
                await anyio.sleep(TICK_S)
        now = anyio.current_time()
        for key in sorted(self.manager.jobs):
            job = self.manager.jobs[key]
            if job.state is None:
                self.manager.unrecovered[key] = job
                job.note(
                    now,
                    f"recovered from the ledger at epoch {self.manager.ledger.epoch}",
                )
        self.manager.log_is_recovered = True
        self.manager.replicas.follow_documents()
        self.count_possible_usage()
        self.check_recovered()

    def count_possible_usage(self) -> None:
        """Bound what tasks of the previous owner may still use."""
        possible: dict[str, Resources] = {}
        for job in self.manager.unrecovered.values():
            hidden = job.spec.task_count - job.finished_count() - len(job.live)
            possible[job.spec.team] = possible.get(
                job.spec.team, Resources()
            ) + job.spec.task_resources.scale(max(0, hidden))
        self.manager.usage.possible = possible

    def needed_racks(self) -> list[str]:
        """Return all rack shards that have an owner or workers that may run tasks."""
        shards = {
            shard
            for shard in self.manager.book.racks
            if self.manager.context.owner_address(shard) is not None
        }
        for vm in self.manager.context.list_vms():
            if vm.role is VmRole.WORKER:
                shards.add(vm.shard)
        shards.update(vm.shard for vm in self.manager.context.list_unlisted_workers())
        return sorted(shards)

    def check_recovered(self) -> None:
        """Place recovered tasks again once every rack has told what it runs."""
        if self.manager.all_racks_heard:
            return
        needed = self.needed_racks()
        if not needed or any(
            shard not in self.manager.synced_epochs for shard in needed
        ):
            return
        self.manager.all_racks_heard = True
        recovered, self.manager.unrecovered = self.manager.unrecovered, {}
        self.manager.usage.possible = {}
        for job in recovered.values():
            job.is_recovered = True
            for index in job.intended:
                if index not in job.live and not job.is_finished(index):
                    self.manager.set_result(job, index, "unknown")
            if job.is_gang:
                self.manager.gangs.recover_gang(job)
            self.manager.refill(job)
            self.manager.check_job(job)

    async def sync_rack(self, shard: str) -> None:
        """Ask a rack for all tasks of this ledger and settle what it does not list."""
        rack = self.manager.book.get(shard)
        self.manager.sync_wanted.discard(shard)
        asked = [
            attempt
            for job in self.manager.jobs.values()
            for attempt in job.live.values()
            if attempt.shard == shard
            and attempt.state in (AttemptState.RUNNING, AttemptState.UNCERTAIN)
        ]
        message = TasksOfLedger(
            shard,
            self.manager.context.shard,
            self.manager.context.epoch,
            self.manager.context.peer_address,
        )
        try:
            reply = await self.manager.dispatcher.call_rack(shard, message)
            if not isinstance(reply, RackTasks):
                raise PeerRejected("unexpected reply")
        except (PeerTimeout, PeerUnreachable, PeerRejected):
            self.manager.metrics.retry("jobs", RetryReason.PEER_UNREACHABLE)
            self.manager.sync_wanted.add(shard)
            self.manager.next_sync_at[shard] = anyio.current_time() + backoff_s(
                1, SETTLE_BASE_MS * 4, SETTLE_LIMIT_MS, self.manager.random_source
            )
            return
        finally:
            self.manager.syncing.discard(shard)
        rack.take_summary(reply.summary)
        listed = set()
        for report in reply.reports:
            listed.add((report.task_id, report.attempt))
            self.manager.attempts.apply_report(shard, report, reply.shard_epoch)
        if reply.complete_in_ms > 0:
            self.manager.sync_wanted.add(shard)
            wait_s = min(1.0, reply.complete_in_ms / 1000)
            self.manager.next_sync_at[shard] = anyio.current_time() + wait_s
            return
        for attempt in asked:
            is_live = attempt.job.live.get(attempt.index) is attempt
            if not is_live or (attempt.task_id, attempt.number) in listed:
                continue
            # A delayed start may yet reach the owner to whom it was sent, which answers
            # a repeated one. Any later owner refuses it, and has heard each worker
            # after all starts of earlier owners had lost their effect.
            is_uncertain = attempt.state is AttemptState.UNCERTAIN
            if not is_uncertain or attempt.rack_epoch < reply.shard_epoch:
                self.manager.attempts.end_attempt(
                    attempt, TaskReportState.LOST, "not known to the rack"
                )
        if not self.manager.context.documents.is_fresh():
            # Replicas of documents that are not loaded yet were passed over.
            self.manager.next_sync_at[shard] = anyio.current_time() + 1.0
            return
        self.manager.synced_epochs[shard] = reply.shard_epoch
        self.count_possible_usage()
        self.check_recovered()
        self.manager.wake()

    def sync_due_racks(self) -> None:
        """Ask racks that are new or have a new owner for their tasks."""
        now = anyio.current_time()
        for shard in self.needed_racks():
            summary = self.manager.book.get(shard).last_gossip
            synced = self.manager.synced_epochs.get(shard)
            is_current = (
                synced is not None
                and (summary is None or summary.epoch <= synced)
                and shard not in self.manager.sync_wanted
            )
            if (
                is_current
                or shard in self.manager.syncing
                or self.manager.next_sync_at.get(shard, 0.0) > now
            ):
                continue
            self.manager.syncing.add(shard)
            self.manager.spawn(self.sync_rack, shard)
