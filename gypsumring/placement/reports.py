"""Report changed task attempts to the owners of their ledgers."""

from collections.abc import Callable

import anyio
import anyio.abc

from gypsumring.messages.peer import (
    Acknowledged,
    ReportTasks,
    TaskReport,
    TaskReportState,
)
from gypsumring.metrics import RetryReason
from gypsumring.placement.attempts import Attempt, Key
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable
from gypsumring.shards import ShardContext

__all__ = ["ReportSender"]

PART = "placement"
RETRY_S = 0.5
MAX_REPORTS = 500


class ReportSender:
    """Repeat the reports of each ledger until its owner acknowledges them.

    ``on_settled(key)`` is called for each attempt whose report is acknowledged.
    ``delivered`` holds the keys whose report was answered but is not durable yet, as
    while the log is down; new reports go before them.
    """

    __slots__ = ("context", "delivered", "on_settled", "reports", "tasks", "wakes")

    def __init__(self, context: ShardContext, on_settled: Callable[[Key], None]):
        self.context = context
        self.on_settled = on_settled
        self.reports: dict[str, dict[Key, TaskReport]] = {}
        self.wakes: dict[str, anyio.Event] = {}
        self.delivered: set[Key] = set()
        self.tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Send reports in tasks of this group, one for each ledger."""
        self.tasks = tasks
        for ledger in self.reports:
            tasks.start_soon(self.report_to_ledger, ledger)

    def queue(self, attempt: Attempt) -> None:
        """Queue a report for the owner of the attempt's ledger."""
        ledger = attempt.ledger
        if ledger not in self.reports:
            self.reports[ledger] = {}
            self.wakes[ledger] = anyio.Event()
            if self.tasks is not None:
                self.tasks.start_soon(self.report_to_ledger, ledger)
        self.reports[ledger][attempt.key] = attempt.make_report()
        self.delivered.discard(attempt.key)
        self.wakes[ledger].set()

    async def report_to_ledger(self, ledger: str) -> None:
        """Send the reports of one ledger until they are acknowledged."""
        while True:
            await self.wakes[ledger].wait()
            while self.reports[ledger]:
                self.wakes[ledger] = anyio.Event()
                if not await self.send(ledger):
                    await anyio.sleep(RETRY_S)
                elif self.reports[ledger].keys() <= self.delivered:
                    with anyio.move_on_after(RETRY_S):
                        await self.wakes[ledger].wait()
            self.wakes[ledger] = anyio.Event()

    def choose_batch(self, ledger: str) -> dict[Key, TaskReport]:
        """Return the next reports to send: new ones, else those to repeat."""
        reports = self.reports[ledger]
        new = [key for key in reports if key not in self.delivered]
        keys = new or list(reports)
        return {key: reports[key] for key in keys[:MAX_REPORTS]}

    async def send(self, ledger: str) -> bool:
        """Send one batch of reports; return whether the owner answered."""
        address = self.context.owner_address(ledger)
        if address is None:
            return False
        batch = self.choose_batch(ledger)
        message = ReportTasks(
            ledger, self.context.shard, self.context.epoch, tuple(batch.values())
        )
        deadline = anyio.current_time() + self.context.timing.call_ms / 1000
        metrics = self.context.metrics
        try:
            reply = await self.context.peers.call(address, message, deadline)
        except PeerRejected:
            metrics.retry(PART, RetryReason.OWNER_MOVED)
            return False
        except PeerUnreachable:
            metrics.retry(PART, RetryReason.PEER_UNREACHABLE)
            return False
        except PeerTimeout:
            metrics.retry(PART, RetryReason.PEER_TIMEOUT)
            return False
        if not isinstance(reply, Acknowledged):
            return False
        self.settle(self.reports[ledger], batch, set(reply.tasks))
        return True

    def settle(
        self,
        pending: dict[Key, TaskReport],
        batch: dict[Key, TaskReport],
        durable: set[Key],
    ) -> None:
        """Drop the reports that need no repetition."""
        for key, report in batch.items():
            is_final = report.state not in (
                TaskReportState.RUNNING,
                TaskReportState.REFUSED,
            )
            if pending.get(key) is not report:
                continue
            if is_final and key not in durable:
                self.delivered.add(key)
                continue
            del pending[key]
            self.delivered.discard(key)
            self.on_settled(key)
