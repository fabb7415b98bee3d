"""Limit of the orders that are on their way to executors at one time.

The time limit of an order counts from when it is sent. If an owner sent all orders of a
large burst at once, each of them would wait for its processor until it is overdue, and
be sent again: none would ever be answered in time.
"""

from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

from gypsumring.ports.tasks import MAX_CONCURRENT_ORDERS

__all__ = ["OrderSlots"]

# Orders of one kind that are on their way to all executors together.
MAX_ORDERS_IN_FLIGHT = 64


def never() -> bool:
    """Return that an order is not urgent."""
    return False


class UrgencySemaphore:
    """Semaphore whose urgent waiters go first, and otherwise the first to wait."""

    __slots__ = ("free", "ordinary", "urgent")

    def __init__(self, slots: int):
        self.free = slots
        self.ordinary: deque[anyio.Event] = deque()
        self.urgent: deque[anyio.Event] = deque()

    async def acquire(self, is_urgent: bool) -> None:
        """Wait for a slot and take it."""
        if self.free:
            self.free -= 1
            return
        waiters = self.urgent if is_urgent else self.ordinary
        turn = anyio.Event()
        waiters.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self.release()
            else:
                waiters.remove(turn)
            raise

    def release(self) -> None:
        """Pass a slot to the next waiter, or free it."""
        waiters = self.urgent or self.ordinary
        if waiters:
            waiters.popleft().set()
        else:
            self.free += 1


class OrderSlots:
    """Slots for orders of one kind; urgent ones go first, then the first to wait."""

    __slots__ = ("by_executor", "total")

    def __init__(self):
        self.total = UrgencySemaphore(MAX_ORDERS_IN_FLIGHT)
        # By the id of the executor, and whether they are for members of gangs, which
        # do not wait behind other orders to their executor.
        self.by_executor: dict[tuple[str, bool], anyio.Semaphore] = {}

    @asynccontextmanager
    async def reserve(
        self,
        executor_id: str,
        for_gang: bool = False,
        is_urgent: Callable[[], bool] = never,
    ) -> AsyncIterator[None]:
        """Wait for a slot and hold it while an order to an executor is on its way."""
        key = (executor_id, for_gang)
        slots = self.by_executor.get(key)
        if slots is None:
            slots = anyio.Semaphore(MAX_CONCURRENT_ORDERS, fast_acquire=True)
            self.by_executor[key] = slots
        async with slots:
            await self.total.acquire(is_urgent())
            try:
                yield
            finally:
                self.total.release()

    def discard(self, executor_id: str) -> None:
        """Discard the slots of an executor that has left."""
        for for_gang in (False, True):
            self.by_executor.pop((executor_id, for_gang), None)
