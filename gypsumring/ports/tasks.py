"""Port to the executors of tasks and to the placement policy service."""

from typing import Protocol

from gypsumring.exceptions import PortError

__all__ = [
    "ExecutorGone",
    "ExecutorSilent",
    "FenceRefused",
    "ListedEnd",
    "ListedRun",
    "PolicyBusy",
    "PolicyService",
    "PolicyUnavailable",
    "StartRefused",
    "TaskExecutor",
    "TaskLists",
    "TaskStart",
    "Ticket",
]


class ExecutorSilent(PortError):
    """Raised when an order got no answer; it may be carried out, also later."""


class ExecutorGone(PortError):
    """Raised when another incarnation answers at the executor's address."""


class FenceRefused(PortError):
    """Raised when the executor has seen a higher fence number."""


class StartRefused(PortError):
    """Raised when the executor did not start a task; ``reason`` tells why."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class PolicyUnavailable(PortError):
    """Raised when the policy service gave no answer."""


class PolicyBusy(PortError):
    """Raised when too many calls wait at the policy service."""


class TaskStart:
    """Order one attempt of a task.

    ``lease_until_ms`` is on the executor's clock.
    """

    __slots__ = ("attempt", "checkpoint", "lease_until_ms", "payload", "task", "ticket")

    def __init__(
        self,
        task: str,
        attempt: int,
        payload: str,
        lease_until_ms: int,
        checkpoint: str,
        ticket: str,
    ):
        self.task = task
        self.attempt = attempt
        self.payload = payload
        self.lease_until_ms = lease_until_ms
        self.checkpoint = checkpoint
        self.ticket = ticket


class ListedRun:
    """Describe one running attempt as an executor lists it."""

    __slots__ = ("attempt", "checkpoint", "load", "percent", "task")

    def __init__(
        self, task: str, attempt: int, checkpoint: str, percent: float, load: float
    ):
        self.task = task
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.percent = percent
        # Tail latency in milliseconds of a serving task, else the cpu in use.
        self.load = load


class ListedEnd:
    """Describe one ended attempt; ``number`` counts the ends of an incarnation."""

    __slots__ = ("attempt", "checkpoint", "how", "number", "task")

    def __init__(self, number: int, task: str, attempt: int, how: str, checkpoint: str):
        self.number = number
        self.task = task
        self.attempt = attempt
        self.how = how
        self.checkpoint = checkpoint


class TaskLists:
    """Hold what an executor lists, its clock and the time of its start."""

    __slots__ = ("born_ms", "clock_ms", "ended", "running")

    def __init__(
        self,
        clock_ms: int,
        born_ms: int,
        running: list[ListedRun],
        ended: list[ListedEnd],
    ):
        self.clock_ms = clock_ms
        self.born_ms = born_ms
        self.running = running
        self.ended = ended


class TaskExecutor(Protocol):
    """Give orders to one executor under a fence number.

    All calls raise ExecutorSilent, ExecutorGone or FenceRefused; deadlines are on the
    clock of ``anyio.current_time()``, in seconds.
    """

    async def start(self, start: TaskStart, fence: int, deadline: float) -> None:
        """Start an attempt, or confirm that it is there; raise StartRefused."""

    async def stop(self, task: str, attempt: int, fence: int, deadline: float) -> None:
        """Stop an attempt, and shut out a start of it that arrives later."""

    async def pace(
        self, task: str, attempt: int, percent: int, fence: int, deadline: float
    ) -> None:
        """Let a filling task work at a share of its speed, 0 to 100 percent."""

    async def hold(
        self,
        fence: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        deadline: float,
    ) -> TaskLists:
        """Extend the lease, forget ends up to ``last_seen`` and list the rest."""

    async def aclose(self) -> None:
        """Close the connections."""


class Ticket:
    """Allow starts of one step on one executor until ``expires_at``."""

    __slots__ = ("executor_id", "expires_at", "value")

    def __init__(self, executor_id: str, value: str, expires_at: float):
        self.executor_id = executor_id
        self.value = value
        self.expires_at = expires_at


class PolicyService(Protocol):
    """Ask which executors may run a step."""

    async def advise(
        self, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Return executor id and ticket of the executors that may run the step.

        Raise PolicyUnavailable or PolicyBusy.
        """
