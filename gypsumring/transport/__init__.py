"""HTTP client connections and message channels between nodes."""

from gypsumring.transport.channel import Channel, ChannelLimits, serve_channels
from gypsumring.transport.exceptions import (
    ChannelClosed,
    ConnectFailed,
    ConnectRefused,
    NoResponse,
    TransportError,
)
from gypsumring.transport.http_client import HttpClient, HttpResponse, ResponseCollector
from gypsumring.transport.relayed import HttpCall, RelayedClient
from gypsumring.transport.response_times import ResponseTimes
from gypsumring.transport.traffic import LinkTraffic, Purpose, sending_for

__all__ = [
    "Channel",
    "ChannelClosed",
    "ChannelLimits",
    "ConnectFailed",
    "ConnectRefused",
    "HttpCall",
    "HttpClient",
    "HttpResponse",
    "LinkTraffic",
    "NoResponse",
    "Purpose",
    "RelayedClient",
    "ResponseCollector",
    "ResponseTimes",
    "TransportError",
    "sending_for",
    "serve_channels",
]
