"""HTTP client connections and message channels between nodes."""

from gypsumring.transport.channel import Channel, ChannelLimits, serve_channels
from gypsumring.transport.exceptions import (
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
    NoResponse,
    TransportError,
)
from gypsumring.transport.http_client import HttpClient, HttpResponse
from gypsumring.transport.relayed import HttpCall, RelayedClient

__all__ = [
    "Channel",
    "ChannelClosed",
    "ChannelLimits",
    "ConnectFailed",
    "ConnectRefused",
    "HttpCall",
    "HttpClient",
    "HttpResponse",
    "NoResponse",
    "RelayedClient",
    "TransportError",
    "serve_channels",
]
