"""Limit of the commands that a node has on their way to the owner.

After a takeover the commands of many callers wait for the owner at all nodes. Sent all
at once, they delay its answers to pings, until the nodes leave it and send all of them
again.
"""

from typing import Any

import anyio

__all__ = ["CommandWindow", "Passage"]

# Messages that may be on their way at one time: at first, and at most. A large command
# counts as one more for each of its thousand bytes.
INITIAL_MESSAGES = 4.0
MAX_MESSAGES = 32.0
BYTES_PER_MESSAGE = 1_000
# The window grows while answers arrive within half of the shortest time after which a
# ping to the owner is overdue, and shrinks otherwise.
TARGET_ANSWER_S = 0.1
SHRINK_FACTOR = 0.5


class Passage:
    """Command on its way to the owner, and the room that it takes in the window."""

    __slots__ = ("messages", "sent_at")

    def __init__(self, messages: float, sent_at: float):
        self.messages = messages
        self.sent_at = sent_at


class CommandWindow:
    """Window of the commands on one channel, which follows the time of its answers.

    The channel delivers in order: commands have arrived if a later message has been
    answered, and do not count any more.
    """

    __slots__ = ("channel", "passages", "shrunk_at", "size")

    def __init__(self):
        self.channel: Any = None
        self.passages: set[Passage] = set()
        self.size = INITIAL_MESSAGES
        # Answers to messages that were sent before this time do not shrink it again.
        self.shrunk_at = float("-inf")

    def follow(self, channel: Any) -> None:
        """Begin with an empty window if the channel is another one."""
        if self.channel is not channel:
            self.channel = channel
            self.passages.clear()
            self.size = min(self.size, INITIAL_MESSAGES)

    def has_room(self, size: int) -> bool:
        """Return whether a command of so many bytes may be sent now."""
        used = sum(passage.messages for passage in self.passages)
        return used == 0 or used + count_messages(size) <= self.size

    def enter(self, size: int) -> Passage:
        """Record a command that is sent now."""
        passage = Passage(count_messages(size), anyio.current_time())
        self.passages.add(passage)
        return passage

    def leave(self, passage: Passage) -> None:
        """Record that a command has been answered or given up."""
        self.passages.discard(passage)

    def record_answer(self, sent_at: float, seconds: float, is_full: bool) -> None:
        """Record the time of an answer that the owner gave at once.

        ``is_full`` says whether commands wait for the window.
        """
        arrived = [passage for passage in self.passages if passage.sent_at < sent_at]
        self.passages.difference_update(arrived)
        if seconds > TARGET_ANSWER_S:
            if sent_at >= self.shrunk_at:
                self.shrunk_at = anyio.current_time()
                self.size = max(1.0, self.size * SHRINK_FACTOR)
        elif is_full:
            self.size = min(self.size + 1 / self.size, MAX_MESSAGES)
        else:
            self.size = min(self.size, INITIAL_MESSAGES)


def count_messages(size: int) -> float:
    """Return as how many messages a command of so many bytes counts."""
    return 1 + size / BYTES_PER_MESSAGE
