"""Send stops of task attempts to rack owners in bounded batches."""

from typing import TYPE_CHECKING

import anyio

from gypsumring.jobs.model import Attempt
from gypsumring.jobs.racks import Rack
from gypsumring.messages.peer import Acknowledged, StopTasks, TaskReportState
from gypsumring.metrics import RetryReason
from gypsumring.ports import PeerRejected, PeerTimeout, PeerUnreachable

if TYPE_CHECKING:
    from gypsumring.jobs.manager import JobManager

__all__ = ["StopSender"]

# Cancellations, stops and results handled in one step.
CHUNK = 256
STOP_REPEAT_S = 2.0


class StopSender:
    """Hold the attempts to stop, by rack, each with the time of its next message."""

    __slots__ = ("manager", "stops")

    def __init__(self, manager: "JobManager"):
        self.manager = manager
        self.stops: dict[str, dict[tuple[str, int], float]] = {}

    def queue_stop(self, shard: str, task_id: str, number: int) -> None:
        """Let the rack's owner stop a task attempt."""
        self.stops.setdefault(shard, {}).setdefault((task_id, number), 0.0)

    def send_due_stops(self) -> None:
        """Send one bounded batch of stops to each rack that has some due."""
        now = anyio.current_time()
        for shard in sorted(self.stops):
            rack = self.manager.book.get(shard)
            due: list[tuple[str, int]] = []
            if not rack.is_stopping:
                for entry, due_at in self.stops[shard].items():
                    if due_at <= now:
                        due.append(entry)
                        if len(due) == CHUNK:
                            break
            if due:
                rack.is_stopping = True
                self.manager.spawn(self.send_stops, rack, due)

    async def send_stops(self, rack: Rack, entries: list[tuple[str, int]]) -> None:
        """Send stops; they are repeated until a report ends the attempt."""
        message = StopTasks(
            rack.shard,
            self.manager.context.shard,
            self.manager.context.epoch,
            tuple(entries),
        )
        try:
            reply = await self.manager.dispatcher.call_rack(rack.shard, message)
        except (PeerTimeout, PeerUnreachable, PeerRejected):
            self.manager.metrics.retry("jobs", RetryReason.PEER_TIMEOUT)
            reply = None
        finally:
            rack.is_stopping = False
        waiting = self.stops.get(rack.shard, {})
        settled = reply.tasks if isinstance(reply, Acknowledged) else ()
        repeat_at = anyio.current_time() + STOP_REPEAT_S
        for entry in entries:
            attempt = self.manager.find_attempt(*entry)
            if attempt is None and reply is not None:
                waiting.pop(entry, None)
            elif entry in settled and attempt is not None:
                self.manager.attempts.end_attempt(
                    attempt, TaskReportState.STOPPED, "stopped"
                )
            elif entry in waiting:
                waiting[entry] = repeat_at

    def forget(self, attempt: Attempt) -> None:
        """Send no more stops for an attempt that has ended."""
        waiting = self.stops.get(attempt.shard)
        if waiting is not None:
            waiting.pop((attempt.task_id, attempt.number), None)
            if not waiting:
                del self.stops[attempt.shard]
