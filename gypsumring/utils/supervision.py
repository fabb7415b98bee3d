"""Keep long-running tasks going after unexpected errors."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from gypsumring.utils.logs import EventLogger

__all__ = ["describe_error", "keep_running"]

log = EventLogger("supervision")

# A task that has failed begins anew after this time.
RESTART_DELAY_S = 0.2
# Innermost calls that a log line about an error shows.
MAX_TRACEBACK_FRAMES = 4


def describe_error(error: Exception) -> dict[str, str]:
    """Return the fields of a log line about an unexpected error."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    traceback_parts = traceback.format_exception(error, limit=-MAX_TRACEBACK_FRAMES)
    return {"error": repr(error), "where": "".join(traceback_parts)}


async def keep_running(
    task_name: str,
    run: Callable[[], Awaitable[None]],
    count: Callable[[str], None],
) -> None:
    """Run a task, and begin it anew after an error, until it returns.

    ``count`` is called with the name of a counter for each error.
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
