"""End of a soak of node processes by a signal."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

__all__ = ["run_until_signal"]

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
Result = TypeVar("Result")


async def run_until_signal(
    run: Callable[..., Awaitable[Result]], *arguments: Any
) -> Result | None:
    """Return the trial, None after a signal; end its processes in any case.

    Without this, processes that are stopped at that moment would be left behind.
    """
    trial = None
    async with anyio.create_task_group() as group:

        async def cancel_on_signal() -> None:
            with anyio.open_signal_receiver(*SIGNALS) as signals:
                async for _ in signals:
                    group.cancel_scope.cancel()

        group.start_soon(cancel_on_signal)
        trial = await run(*arguments)
        group.cancel_scope.cancel()
    return trial
