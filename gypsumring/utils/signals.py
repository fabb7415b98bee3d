"""Signals of a process, from before its imports until its exit.

Only the standard library is imported, so that a program can hold its signals before
anything else is loaded.
"""

import signal
import socket
from collections import deque
from types import FrameType

__all__ = ["SIGNALS", "SignalQueue", "hold_signals", "ignore_signals"]

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_WAKE_BYTES = 64


class SignalQueue:
    """Signals in the order of arrival, kept until a task receives them.

    The handlers are those of Python and not of an event loop, which restores the
    default actions when a receiver or the loop ends.
    """

    __slots__ = ("pending", "reader", "writer")

    def __init__(self):
        self.pending: deque[signal.Signals] = deque()
        # Wakes the event loop, which may wait for its sockets.
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)

    def install(self) -> None:
        """Replace the actions of the signals; only the main thread may call this."""
        for number in SIGNALS:
            signal.signal(number, self.record)

    def record(self, number: int, frame: FrameType | None) -> None:
        """Record a signal; the handler of the signals."""
        self.pending.append(signal.Signals(number))
        try:
            self.writer.send(b"\0")
        except BlockingIOError:
            # The receiver has not read earlier bytes, so it will wake anyway.
            pass

    def drain(self) -> list[signal.Signals]:
        """Return the recorded signals and forget them."""
        try:
            self.reader.recv(MAX_WAKE_BYTES)
        except BlockingIOError:
            pass
        numbers = []
        while self.pending:
            numbers.append(self.pending.popleft())
        return numbers

    def close(self) -> None:
        """Close the sockets of a queue whose handlers are not installed."""
        self.reader.close()
        self.writer.close()


# Dispositions of signals belong to the process, and so does their queue.
held_signals: SignalQueue | None = None


def hold_signals() -> SignalQueue:
    """Record signals from now on, and return their queue; may be called again."""
    global held_signals
    if held_signals is None:
        held_signals = SignalQueue()
        held_signals.install()
    return held_signals


def ignore_signals() -> None:
    """Ignore the signals until the process has exited.

    The interpreter restores the default actions of other handlers while it exits.
    """
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
