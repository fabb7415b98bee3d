"""Follow the signals of a process."""

import signal
from collections.abc import Callable

import anyio

from gypsumring.utils.logs import EventLogger
from gypsumring.utils.signals import SignalQueue

__all__ = ["follow_signals"]

log = EventLogger("signals")


async def follow_signals(
    signals: SignalQueue,
    reload_settings: Callable[[], None],
    request_stop: Callable[[], None],
) -> None:
    """Call ``reload_settings`` at SIGHUP and ``request_stop`` once, until cancelled.

    A further stop signal changes nothing: callers keep the time that the first one has
    left them.
    """
    stopping = False
    while True:
        await anyio.wait_readable(signals.reader)
        for number in signals.drain():
            if number == signal.SIGHUP:
                reload_settings()
            elif stopping:
                log.info("stop signal ignored: the process is stopping", signal=number)
            else:
                log.info("stop signal received", signal=number)
                stopping = True
                request_stop()
