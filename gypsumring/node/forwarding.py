"""Forward the commands of callers to the current owner of the cell."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from gypsumring.cell.messages import (
    CancelJob,
    Command,
    CountWaiting,
    JobAnswer,
    Outcome,
    QueryJob,
    SubmitJob,
)
from gypsumring.metrics import Metrics
from gypsumring.node.command_window import CommandWindow
from gypsumring.node.link import SHORTEST_PING_TIMEOUT_S, OwnerLink
from gypsumring.transport import ChannelClosed
from gypsumring.utils.logs import EventLogger

__all__ = ["Forwarder"]

log = EventLogger("jobs")

# Pauses between the copies of a command that a node does not answer as the owner.
SHORTEST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 0.5
PAUSE_GROWTH = 2
# How often the first command that waits checks whether the owner can be reached.
CHECK_PERIOD_S = 0.03
NO_OWNER_RETRY_AFTER_S = 1.0


class Forwarder:
    """Forward a command, with retries, until an owner has answered it.

    All commands are idempotent, so a command without an answer is sent again. A refusal
    is passed on only if no owner can have executed an earlier copy of the command.
    """

    __slots__ = (
        "answer_deadline",
        "execute",
        "link",
        "metrics",
        "room",
        "turn",
        "window",
    )

    def __init__(
        self,
        link: OwnerLink,
        execute: Callable[[Command], Awaitable[JobAnswer]],
        metrics: Metrics,
    ):
        self.link = link
        # Executes a command on this node while it owns the cell.
        self.execute = execute
        self.metrics = metrics
        # Time by which all callers are answered; finite once the node is stopping.
        self.answer_deadline = float("inf")
        # Commands wait for the owner in the order in which they came; only the first
        # one checks whether it can be sent.
        self.turn = anyio.Lock()
        self.window = CommandWindow(SHORTEST_PING_TIMEOUT_S)
        # Set when a command has left the window.
        self.room = anyio.Event()

    async def forward(self, command: Command, deadline: float) -> JobAnswer:
        """Return the owner's answer, or a refusal or uncertainty at the deadline.

        ``deadline`` is on the clock of ``anyio.current_time``.
        """
        # Fence number of the latest owner that may have executed the command.
        interrupted_fence: int | None = None
        pause_s = SHORTEST_PAUSE_S
        while await self.wait_for_turn(command, deadline):
            deadline = min(deadline, self.answer_deadline)
            fence = self.link.fence
            try:
                answer = await self.send(command, deadline)
            except ChannelClosed:
                self.metrics.count("node.forwards.lost")
                answer = JobAnswer(Outcome.INTERRUPTED)
            match answer.outcome:
                case Outcome.NOT_OWNER:
                    pass
                case Outcome.INTERRUPTED:
                    interrupted_fence = fence
                case Outcome.REFUSED | Outcome.NO_QUEUE | Outcome.NO_ACCOUNT if (
                    interrupted_fence is not None
                ):
                    # An owner with a higher fence has read all earlier accepted jobs.
                    if self.link.fence > interrupted_fence:
                        return answer
                    self.metrics.count("node.refusals.uncertain")
                    return self.report_uncertain(command)
                case _:
                    return answer
            left_s = deadline - anyio.current_time()
            with anyio.move_on_after(max(0.0, min(pause_s, left_s))):
                await self.link.owner_changed.wait()
            pause_s = min(PAUSE_GROWTH * pause_s, LONGEST_PAUSE_S)
        if interrupted_fence is not None:
            return self.report_uncertain(command)
        reason = "no owner reached"
        if self.link.channel is not None:
            reason = "the owner was busy"
            self.metrics.count("node.refused.owner_busy")
        else:
            self.metrics.count("node.refused.no_owner")
        if isinstance(command, SubmitJob):
            log.info("job refused", **job_fields(command), reason=reason)
        return JobAnswer(Outcome.REFUSED, retry_after_s=NO_OWNER_RETRY_AFTER_S)

    def answer_by(self, answer_deadline: float) -> None:
        """Answer all callers by a deadline, since the node is stopping."""
        self.answer_deadline = answer_deadline
        # Commands that pause for longer look at the deadline again.
        self.link.notify()

    async def wait_for_turn(self, command: Command, deadline: float) -> bool:
        """Wait until a command can be sent; return False once it is too late for that.

        The caller sends it, which takes room in the window, without a pause in between.
        """
        with anyio.move_on_after(max(0.0, deadline - anyio.current_time())):
            async with self.turn:
                while anyio.current_time() < min(deadline, self.answer_deadline):
                    if self.can_send(command):
                        return True
                    with anyio.move_on_after(CHECK_PERIOD_S):
                        await self.room.wait()
        return False

    def can_send(self, command: Command) -> bool:
        """Return whether an owner can be reached and the window has room."""
        if self.link.own_fence() is not None:
            return True
        channel = self.link.channel
        if channel is None or channel.closed:
            return False
        self.window.follow(channel)
        return self.window.has_room(command_bytes(command))

    def record_ping(self, sent_at: float, seconds: float, timeout_s: float) -> None:
        """Record how long the answer to a ping took, and when it had been overdue."""
        self.window.ping_timeout_s = timeout_s
        self.record_answer(sent_at, seconds)

    def record_answer(self, sent_at: float, seconds: float) -> None:
        """Record how long an answer took that the owner gave at once."""
        self.window.record_answer(sent_at, seconds, self.turn.locked())
        self.wake()

    def wake(self) -> None:
        """Wake the command that waits for its turn."""
        self.room.set()
        self.room = anyio.Event()

    def report_uncertain(self, command: Command) -> JobAnswer:
        """Return the answer for a command that an owner may have executed."""
        if isinstance(command, SubmitJob):
            reason = "the owner did not confirm the outcome"
            log.info("job uncertain", **job_fields(command), reason=reason)
        return JobAnswer(Outcome.UNCERTAIN)

    async def send(self, command: Command, deadline: float) -> JobAnswer:
        """Send a command once; raise ChannelClosed if it may have been executed.

        The owner receives the time that the caller has left now.
        """
        channel = self.link.channel
        if isinstance(command, (SubmitJob, CancelJob)):
            command = msgspec.structs.replace(
                command, time_limit_s=deadline - anyio.current_time()
            )
        if self.link.own_fence() is not None:
            return await self.execute(command)
        if channel is None or channel.closed:
            return JobAnswer(Outcome.NOT_OWNER)
        passage = self.window.enter(command_bytes(command))
        try:
            answer = await channel.call(command, deadline)
        finally:
            self.window.leave(passage)
            self.wake()
        if not isinstance(answer, JobAnswer):
            raise ChannelClosed("unexpected answer")
        if isinstance(command, (QueryJob, CountWaiting)):
            sent_at = passage.sent_at
            self.record_answer(sent_at, anyio.current_time() - sent_at)
        return answer


def job_fields(command: SubmitJob) -> dict[str, str]:
    """Return the log fields that identify the job of a command."""
    return {"job": command.spec.job_id, "queue": command.spec.queue}


def command_bytes(command: Command) -> int:
    """Return the size of the part of a command that may be large."""
    return len(command.spec.payload) if isinstance(command, SubmitJob) else 0
