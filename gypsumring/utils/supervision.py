"""Restart long-running tasks after unexpected errors."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from gypsumring.utils.logs import EventLogger

__all__ = ["describe_error", "keep_running"]

log = EventLogger("supervision")

RESTART_DELAY_S = 0.2
# Only the innermost frames of a traceback are logged.
MAX_TRACEBACK_FRAMES = 4


def describe_error(error: Exception) -> dict[str, str]:
    """Return the log fields that describe an unexpected error.

    An exception group is described by its first exception.
    """
    while isinstance(error, ExceptionGroup):
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
