"""Port to the executors of tasks and to the placement policy service."""

from typing import Protocol

from gypsumring.exceptions import PortError

__all__ = [
    "ExecutorGone",
    "ExecutorSilent",
    "FenceRefused",
    "ListedEnd",
    "ListedRun",
    "MAX_CONCURRENT_ORDERS",
    "PolicyBusy",
    "PolicyService",
    "PolicyUnavailable",
    "StartRefused",
    "TaskExecutor",
    "TaskLists",
    "TaskStart",
    "Ticket",
]

# Orders that a client sends to one executor at one time, beside a long poll. Executors
# accept a limited number of connections. Those of an owner that has lost its power stay
# open there, so that many owners in a row have to fit beside each other.
MAX_CONCURRENT_ORDERS = 3


class ExecutorSilent(PortError):
    """Raised when an order got no answer; it may take effect now or later."""


class ExecutorGone(PortError):
    """Raised when another incarnation responds at the executor's address."""


class FenceRefused(PortError):
    """Raised when the executor has received a higher fence number."""


class StartRefused(PortError):
    """Raised when the executor refused an order; ``reason`` says why.

    ``clock_ms`` is the executor's clock, None if the answer does not state it.
    """

    def __init__(self, reason: str, clock_ms: int | None = None):
        super().__init__(reason)
        self.reason = reason
        self.clock_ms = clock_ms


class PolicyUnavailable(PortError):
    """Raised when the policy service gave no valid answer."""


class PolicyBusy(PortError):
    """Raised when too many calls are queued at the policy service."""


class TaskStart:
    """Order to start one attempt of a task.

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
    """Running attempt in an executor's task lists."""

    __slots__ = ("attempt", "checkpoint", "load", "percent", "task")

    def __init__(
        self, task: str, attempt: int, checkpoint: str, percent: float, load: float
    ):
        self.task = task
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.percent = percent
        # Tail latency of a serving task in milliseconds, or else the CPU in use.
        self.load = load


class ListedEnd:
    """Ended attempt; ``number`` counts the ended attempts of the incarnation."""

    __slots__ = ("attempt", "checkpoint", "how", "number", "task")

    def __init__(self, number: int, task: str, attempt: int, how: str, checkpoint: str):
        self.number = number
        self.task = task
        self.attempt = attempt
        self.how = how
        self.checkpoint = checkpoint


class TaskLists:
    """Task lists that an executor reports, with its clock and start time."""

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
    """Client that sends orders with a fence number to one executor.

    All calls raise ``ExecutorSilent``, ``ExecutorGone`` or FenceRefused. Deadlines are
    times of ``anyio.current_time()``, in seconds. Orders return the executor's clock in
    milliseconds, or None if the answer does not state it.
    """

    async def start(self, start: TaskStart, fence: int, deadline: float) -> int | None:
        """Start an attempt, or confirm an earlier start of it; raise StartRefused."""

    async def stop(
        self, task: str, attempt: int, fence: int, deadline: float
    ) -> int | None:
        """Stop an attempt and block a late start of it."""

    async def pace(
        self, task: str, attempt: int, percent: int, fence: int, deadline: float
    ) -> int | None:
        """Set the speed of a filling task to 0 to 100 percent of its full speed."""

    async def hold(
        self,
        fence: int,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        deadline: float,
    ) -> TaskLists:
        """Extend the lease and long-poll the task lists after end ``last_seen``.

        The executor discards ends up to ``last_seen``. Without ``lease_until_ms`` the
        lease stays as it is.
        """

    async def aclose(self) -> None:
        """Close the connections."""


class Ticket:
    """Permission to start tasks of a step on one executor until ``expires_at``."""

    __slots__ = ("executor_id", "expires_at", "value")

    def __init__(self, executor_id: str, value: str, expires_at: float):
        self.executor_id = executor_id
        self.value = value
        self.expires_at = expires_at


class PolicyService(Protocol):
    """Client of the placement policy service."""

    async def advise(
        self, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Return id and ticket of each executor that may run the step.

        Raise PolicyUnavailable or PolicyBusy.
        """
