"""Limit of the orders that are on their way to executors at one time.

The time limit of an order counts from when it is sent. If an owner sent all orders of a
large burst at once, each of them would wait for its processor until it is overdue, and
be sent again: none would ever be answered in time.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from gypsumring.ports.tasks import MAX_CONCURRENT_ORDERS

__all__ = ["OrderSlots"]

# Orders of one kind that are on their way to all executors together.
MAX_ORDERS_IN_FLIGHT = 64


class OrderSlots:
    """Slots for orders of one kind; the first order to wait goes first."""

    __slots__ = ("by_executor", "total")

    def __init__(self):
        self.total = anyio.Semaphore(MAX_ORDERS_IN_FLIGHT, fast_acquire=True)
        self.by_executor: dict[str, anyio.Semaphore] = {}

    @asynccontextmanager
    async def reserve(self, executor_id: str) -> AsyncIterator[None]:
        """Wait for a slot and hold it while an order to an executor is on its way."""
        slots = self.by_executor.get(executor_id)
        if slots is None:
            slots = anyio.Semaphore(MAX_CONCURRENT_ORDERS, fast_acquire=True)
            self.by_executor[executor_id] = slots
        async with slots, self.total:
            yield

    def discard(self, executor_id: str) -> None:
        """Discard the slots of an executor that has left."""
        self.by_executor.pop(executor_id, None)
