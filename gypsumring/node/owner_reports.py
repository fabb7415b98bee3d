"""Reports of an owner that does not answer, on their way to the monitors."""

from collections.abc import Awaitable, Callable

import anyio

from gypsumring.cell.messages import ReportOwner
from gypsumring.node.failure_detection import choose_monitors
from gypsumring.node.node_calls import NodeCalls

__all__ = ["ReportSender"]

# A report is sent at most this often in all, to the next monitors each time, while some
# of them do not answer.
MAX_REPORT_ATTEMPTS = 3


class ReportSender:
    """Sender of the reports of one node; ``record_report`` takes those to itself."""

    __slots__ = ("calls", "node", "record_report")

    def __init__(
        self,
        node: str,
        calls: NodeCalls,
        record_report: Callable[[ReportOwner], Awaitable[None]],
    ):
        self.node = node
        self.calls = calls
        self.record_report = record_report

    async def send(self, message: ReportOwner, others: dict[str, str]) -> list[str]:
        """Send a report and return the names of the monitors that have answered.

        Monitors may be lost together with the owner. All nodes then choose the same
        next ones. ``others`` holds the addresses of the other nodes by name.
        """
        names = {*others, self.node}
        reached: list[str] = []
        for _ in range(MAX_REPORT_ATTEMPTS):
            monitors = choose_monitors(message.fence, sorted(names))
            called = [name for name in monitors if name not in reached]
            if not called:
                break
            answered = await self.send_to(called, message, others)
            reached += answered
            names.difference_update(set(called) - set(answered))
        return reached

    async def send_to(
        self, monitors: list[str], message: ReportOwner, others: dict[str, str]
    ) -> list[str]:
        """Send a report to some monitors and return those that have answered."""
        names = {others[name]: name for name in monitors if name in others}
        answered: list[str] = []
        async with anyio.create_task_group() as group:
            if self.node in monitors:
                group.start_soon(self.record_report, message)
                answered.append(self.node)
            answers = await self.calls.call_all(list(names), message)
        return answered + [names[address] for address in answers]
