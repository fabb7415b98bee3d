"""Traffic of a process over the link of its machine, by purpose.

On a small machine the link is the narrowest resource. Whatever the kernel has accepted
is sent in order, so messages on which others wait are delayed by all bytes before them.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import anyio

from gypsumring.metrics import Metrics

__all__ = ["LinkTraffic", "Purpose", "sending_for"]

# Bytes of headers beside each message.
MESSAGE_OVERHEAD_BYTES = 60
BYTES_PER_S_PER_MBPS = 1_000_000 / 8
# A link counts as busy if it has carried this share of what it can carry.
BUSY_SHARE = 0.3
# Repeats may take this share of the bytes that are sent first, and in addition this
# share of what the link carries. Unused credit is kept for as much as the link carries
# in MAX_REPEAT_CREDIT_S.
REPEAT_SHARE = 0.2
REPEAT_LINK_SHARE = 0.2
MAX_REPEAT_CREDIT_S = 0.25
# Nothing is repeated while the queue at the link is longer than this: the first copy
# may still be in it.
MAX_REPEAT_BACKLOG_S = 0.05
# The share of the link that messages other than bulk take is averaged over this time.
OTHER_PERIOD_S = 2.0
# Messages of bulk are sent while the queue at the link is no longer than this.
MAX_BULK_BACKLOG_S = 0.03


class Purpose(enum.StrEnum):
    """What a message is sent for."""

    # Pings, announcements, and reports of owners that do not answer.
    LIVENESS = "liveness"
    # Membership in the group of nodes, and lookups of the owner there.
    MEMBERSHIP = "membership"
    RECORDS = "records"
    RECORDS_REPEATED = "records_repeated"
    # Records that a node reads to take the cell over.
    TAKEOVER = "takeover"
    # Directory of executors and desired state.
    ENTRIES = "entries"
    STARTS = "starts"
    STARTS_REPEATED = "starts_repeated"
    # Stops, and changes of the pace of tasks.
    STOPS = "stops"
    STOPS_REPEATED = "stops_repeated"
    POLLS = "polls"
    POLICY = "policy"
    # Submissions and cancellations that nodes forward.
    COMMANDS = "commands"
    QUERIES = "queries"
    # Calls to the store through other nodes.
    RELAYS = "relays"
    OTHER = "other"


# Messages that earn no credit for repeats. Some relayed calls are repeats too.
REPEATS = (
    Purpose.RECORDS_REPEATED,
    Purpose.STARTS_REPEATED,
    Purpose.STOPS_REPEATED,
    Purpose.RELAYS,
)
# Messages whose room at the link was reserved before they are sent.
RESERVED = (Purpose.STARTS,)

current_purpose: ContextVar[Purpose] = ContextVar("purpose", default=Purpose.OTHER)


@contextmanager
def sending_for(purpose: Purpose) -> Iterator[None]:
    """Set the purpose of the requests that are sent inside the block."""
    token = current_purpose.set(purpose)
    try:
        yield
    finally:
        current_purpose.reset(token)


class LinkTraffic:
    """Counter of the bytes of a process, and estimate of its queue at the link.

    ``bytes_per_s`` is what the link carries in each direction, infinity if unknown.
    """

    __slots__ = (
        "bulk_lock",
        "bytes_per_s",
        "idle_at",
        "longest_send_s",
        "metrics",
        "other_bytes",
        "other_bytes_at",
        "received_bytes",
        "repeat_credit",
        "repeat_credit_at",
        "sent_bytes",
        "urgent_lock",
        "urgent_waiting",
    )

    def __init__(self, metrics: Metrics | None = None, link_mbps: float | None = None):
        self.metrics = metrics or Metrics()
        self.bytes_per_s = math.inf
        if link_mbps:
            self.bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS
        # The first message of bulk that waits is sent first, after all urgent ones.
        self.bulk_lock = anyio.Lock()
        self.urgent_lock = anyio.Lock()
        self.urgent_waiting = 0
        # When all bytes sent so far have left the machine, by the rate of its link.
        self.idle_at = 0.0
        # Bytes beside bulk, as of a time; they lose weight as they age.
        self.other_bytes = 0.0
        self.other_bytes_at = 0.0
        # Bytes that may be repeated, as of a time.
        self.repeat_credit = MAX_REPEAT_CREDIT_S * self.bytes_per_s
        self.repeat_credit_at = 0.0
        # Bytes since the last summary, by purpose, and the longest time for which the
        # kernel did not accept a message about liveness.
        self.sent_bytes: Counter[Purpose] = Counter()
        self.received_bytes: Counter[Purpose] = Counter()
        self.longest_send_s = 0.0

    def record_sent(self, size: int, purpose: Purpose | None = None) -> None:
        """Record a message that is sent now, by default for the current purpose."""
        purpose = purpose or current_purpose.get()
        self.sent_bytes[purpose] += size
        self.metrics.count(f"traffic.sent_bytes.{purpose}", size)
        self.metrics.count(f"traffic.sent_messages.{purpose}")
        if purpose not in RESERVED:
            self.reserve(size)
            self.age_other_bytes()
            self.other_bytes += size + MESSAGE_OVERHEAD_BYTES
        if purpose not in REPEATS:
            self.repeat_credit += REPEAT_SHARE * size

    def record_received(self, size: int, purpose: Purpose | None = None) -> None:
        """Record bytes that were received, by default for the current purpose."""
        purpose = purpose or current_purpose.get()
        self.received_bytes[purpose] += size
        self.metrics.count(f"traffic.received_bytes.{purpose}", size)

    def record_liveness_send(self, seconds: float) -> None:
        """Record how long the kernel took to accept a message about liveness."""
        self.longest_send_s = max(self.longest_send_s, seconds)

    def transfer_s(self, size: int) -> float:
        """Return the time that the link takes for one message, in seconds."""
        return (size + MESSAGE_OVERHEAD_BYTES) / self.bytes_per_s

    def backlog_s(self) -> float:
        """Return the time until the bytes sent so far have left the machine."""
        return max(0.0, self.idle_at - anyio.current_time())

    def send_s(self, size: int) -> float:
        """Return the time until a message that is sent now has left the machine."""
        return self.backlog_s() + self.transfer_s(size)

    def reserve(self, size: int) -> None:
        """Add a message that is about to be sent to the queue at the link."""
        now = anyio.current_time()
        self.idle_at = max(self.idle_at, now) + self.transfer_s(size)

    async def wait_for_room(self, is_urgent: bool = False) -> None:
        """Wait until the link has room for a message of bulk; urgent ones go first.

        The caller reserves the room, without a pause in between, if it still sends.
        """
        if math.isinf(self.bytes_per_s):
            return
        if not is_urgent:
            async with self.bulk_lock:
                while self.urgent_waiting or self.has_backlog():
                    await self.wait_for_backlog()
            return
        self.urgent_waiting += 1
        try:
            async with self.urgent_lock:
                while self.has_backlog():
                    await self.wait_for_backlog()
        finally:
            self.urgent_waiting -= 1

    def has_backlog(self) -> bool:
        """Return whether the queue at the link is too long for messages of bulk."""
        return self.idle_at - MAX_BULK_BACKLOG_S > anyio.current_time()

    async def wait_for_backlog(self) -> None:
        """Wait until the queue at the link is short, and let other tasks run."""
        await anyio.sleep_until(self.idle_at - MAX_BULK_BACKLOG_S)

    def age_other_bytes(self) -> None:
        """Reduce the weight of the bytes beside bulk by the time that has passed."""
        now = anyio.current_time()
        self.other_bytes *= math.exp((self.other_bytes_at - now) / OTHER_PERIOD_S)
        self.other_bytes_at = now

    def other_share(self) -> float:
        """Return the share of the link that messages other than bulk have taken."""
        self.age_other_bytes()
        return self.other_bytes / (OTHER_PERIOD_S * self.bytes_per_s)

    def spend_repeat(self, size: int) -> bool:
        """Return whether a message may be sent again now; this uses up credit.

        A message that is larger than all credit may be repeated too, but delays others.
        """
        if math.isinf(self.bytes_per_s):
            return True
        now = anyio.current_time()
        limit = MAX_REPEAT_CREDIT_S * self.bytes_per_s
        earned = (now - self.repeat_credit_at) * REPEAT_LINK_SHARE * self.bytes_per_s
        self.repeat_credit = min(self.repeat_credit + earned, limit)
        self.repeat_credit_at = now
        is_allowed = (
            self.backlog_s() <= MAX_REPEAT_BACKLOG_S
            and self.repeat_credit >= min(size, limit)
        )
        if is_allowed:
            self.repeat_credit -= min(size, limit)
        else:
            self.metrics.count("traffic.repeats_deferred")
        return is_allowed

    def refund_repeat(self, size: int) -> None:
        """Return the credit for a repeat that was refused before it was sent."""
        limit = MAX_REPEAT_CREDIT_S * self.bytes_per_s
        self.repeat_credit = min(self.repeat_credit + min(size, limit), limit)

    def summarize(self, period_s: float) -> dict[str, object] | None:
        """Return the bytes since the last summary if the link was busy, else None.

        The period is the time since the last summary.
        """
        sent, self.sent_bytes = self.sent_bytes, Counter()
        received, self.received_bytes = self.received_bytes, Counter()
        longest_send_s, self.longest_send_s = self.longest_send_s, 0.0
        most = max(sent.total(), received.total())
        if most < BUSY_SHARE * self.bytes_per_s * period_s:
            return None
        return {
            "sent_kb": describe_bytes(sent),
            "received_kb": describe_bytes(received),
            "backlog_ms": round(self.backlog_s() * 1000),
            "liveness_send_ms": round(longest_send_s * 1000),
        }


def describe_bytes(counts: Counter[Purpose]) -> dict[str, float]:
    """Return kilobytes by purpose, the largest first."""
    return {
        purpose.value: round(size / 1000, 1) for purpose, size in counts.most_common()
    }
