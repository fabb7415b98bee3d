"""Restart long-running tasks after unexpected errors, and log what nobody awaits."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from gypsumring.utils.logs import EventLogger

__all__ = ["describe_error", "keep_running", "log_loop_errors"]

log = EventLogger("supervision")

RESTART_DELAY_S = 0.2
# Only the innermost frames of a traceback are logged.
MAX_TRACEBACK_FRAMES = 4
# Objects that an error of the event loop concerns, and how much of them is logged.
SOURCES = ("task", "future", "handle", "asyncgen", "transport", "socket")
MAX_SOURCE_CHARS = 200


def describe_error(error: BaseException) -> dict[str, str]:
    """Return the log fields that describe an unexpected error.

    An exception group is described by its first exception.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    traceback_parts = traceback.format_exception(error, limit=-MAX_TRACEBACK_FRAMES)
    return {"error": repr(error), "where": "".join(traceback_parts)}


async def keep_running(
    task_name: str,
    run: Callable[[], Awaitable[None]],
    count: Callable[[str], None],
) -> None:
    """Run a task until it returns, restarting it after each error.

    ``count`` is called with the name of the counter to increment for each error.
    """
    while True:
        try:
            await run()
        except Exception as error:
            count("node.tasks.failed")
            log.error("task failed", what=task_name, **describe_error(error))
            await anyio.sleep(RESTART_DELAY_S)
        else:
            return


def log_loop_errors(count: Callable[[str], None]) -> None:
    """Log each error that the running asyncio event loop reports as one line.

    asyncio writes them to standard error otherwise. ``count`` is called with the name
    of the counter to increment for each error.
    """

    def log_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        count("node.loop.errors")
        error = context.get("exception")
        sources = [str(context[name]) for name in SOURCES if name in context]
        log.error(
            "event loop reported an error",
            what=context["message"],
            source=", ".join(sources)[:MAX_SOURCE_CHARS],
            **({} if error is None else describe_error(error)),
        )

    asyncio.get_running_loop().set_exception_handler(log_error)
