"""Streams of the log: tail, group commit and read-back receipts."""

from gypsumring.streams.cell import open_config_stream, open_control_stream
from gypsumring.streams.exceptions import AppendTooLarge, AppendUnconfirmed, StreamError
from gypsumring.streams.recent import FirstSeenFilter, RecentRecords
from gypsumring.streams.stream import AppendReceipt, Stream

__all__ = [
    "AppendReceipt",
    "AppendTooLarge",
    "AppendUnconfirmed",
    "FirstSeenFilter",
    "RecentRecords",
    "Stream",
    "StreamError",
    "open_config_stream",
    "open_control_stream",
]
