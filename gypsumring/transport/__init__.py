"""HTTP client connections and message channels between nodes."""

from gypsumring.transport.channel import Channel, serve_channels
from gypsumring.transport.exceptions import (
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
    NoResponse,
    TransportError,
)
from gypsumring.transport.http_client import HttpClient, HttpResponse

__all__ = [
    "Channel",
    "ChannelClosed",
    "ConnectFailed",
    "ConnectRefused",
    "HttpClient",
    "HttpResponse",
    "NoResponse",
    "TransportError",
    "serve_channels",
]
