"""Errors of the transport layer."""

from gypsumring.exceptions import GypsumringError

__all__ = [
    "ChannelClosed",
    "ConnectFailed",
    "ConnectRefused",
    "NoResponse",
    "TransportError",
]


class TransportError(GypsumringError):
    """Base class of errors of connections and channels."""


class ConnectFailed(TransportError):
    """Raised when no connection could be opened; nothing was sent."""


class ConnectRefused(ConnectFailed):
    """Raised when no process listens at the address."""


class NoResponse(TransportError):
    """Raised when a request got no response; it may have been executed."""


class ChannelClosed(TransportError):
    """Raised when a channel is closed or no reply arrives in time."""
