"""Limits for what callers send, keep open and leave unread."""

from gypsumring.door.body import BodyCollector
from gypsumring.door.exceptions import BodyRefused
from gypsumring.door.limits import DoorLimits
from gypsumring.door.server import serve_callers
from gypsumring.door.table import ConnectionTable

__all__ = [
    "BodyCollector",
    "BodyRefused",
    "ConnectionTable",
    "DoorLimits",
    "serve_callers",
]
