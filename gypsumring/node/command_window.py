"""Limit of the commands that a node has on their way to the owner.

After a takeover the commands of many callers wait for the owner at all nodes. Sent all
at once, they delay its answers to pings, until the nodes leave it and send all of them
again.
"""

from typing import Any

import anyio

__all__ = ["CommandWindow", "Passage"]

# Messages that may be on their way at one time: at first, and at most. A command counts
# as one more for so many of its bytes, which is the largest payload.
INITIAL_MESSAGES = 4.0
MAX_MESSAGES = 64.0
BYTES_PER_MESSAGE = 4_000
LEAST_MESSAGES = 1.0
# The window grows while answers are queued for no longer than this share of the time
# after which a ping to the owner is overdue, and shrinks otherwise.
TIMEOUT_SHARE = 0.5
# By how much the shortest time of an answer is raised with each one, to follow a path
# that has become longer.
SHORTEST_GROWTH = 1.001
SHRINK_FACTOR = 0.5
# Until an answer is late, the window grows by this share of what has arrived.
GROWTH_SHARE = 0.5


class Passage:
    """Command on its way to the owner, and the room that it takes in the window."""

    __slots__ = ("messages", "sent_at")

    def __init__(self, messages: float, sent_at: float):
        self.messages = messages
        self.sent_at = sent_at


class CommandWindow:
    """Window of the commands on one channel, which follows the time of its answers.

    The channel delivers in order: commands have arrived if a later message has been
    answered, and do not count any more. As in TCP, the window grows by a share of
    itself in the time of an answer until one is late, and then by one message.
    """

    __slots__ = (
        "channel",
        "passages",
        "ping_timeout_s",
        "shortest_s",
        "shrunk_at",
        "size",
        "threshold",
    )

    def __init__(self, ping_timeout_s: float):
        # After which time the last ping would have been overdue.
        self.ping_timeout_s = ping_timeout_s
        # Shortest recent time of an answer, which has waited in no queue.
        self.shortest_s = float("inf")
        self.channel: Any = None
        self.passages: set[Passage] = set()
        self.size = INITIAL_MESSAGES
        # From this size on it grows by one message in the time of an answer.
        self.threshold = MAX_MESSAGES
        # Answers to messages that were sent before this time do not shrink it again.
        self.shrunk_at = float("-inf")

    def follow(self, channel: Any) -> None:
        """Begin with an empty window if the channel is another one."""
        if self.channel is not channel:
            self.channel = channel
            self.passages.clear()
            self.size = min(self.size, INITIAL_MESSAGES)
            self.threshold = MAX_MESSAGES
            self.shortest_s = float("inf")

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
        self.shortest_s = min(seconds, self.shortest_s * SHORTEST_GROWTH)
        if seconds - self.shortest_s > TIMEOUT_SHARE * self.ping_timeout_s:
            self.shrink(sent_at)
        elif is_full:
            self.grow(1 + sum(passage.messages for passage in arrived))

    def grow(self, messages: float) -> None:
        """Grow after so many messages have arrived in time."""
        share = GROWTH_SHARE if self.size < self.threshold else 1 / self.size
        self.size = min(self.size + share * messages, MAX_MESSAGES)

    def shrink(self, sent_at: float) -> None:
        """Shrink after the late answer to a message, once in the time of an answer."""
        if sent_at >= self.shrunk_at:
            self.shrunk_at = anyio.current_time()
            self.size = max(LEAST_MESSAGES, self.size * SHRINK_FACTOR)
            self.threshold = self.size


def count_messages(size: int) -> float:
    """Return as how many messages a command of so many bytes counts."""
    return 1 + size / BYTES_PER_MESSAGE
