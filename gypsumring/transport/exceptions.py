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
    """Base class of the errors of connections and channels."""


class ConnectFailed(TransportError):
    """Raised when no connection could be opened; nothing was sent."""


class ConnectRefused(ConnectFailed):
    """Raised when nobody listens at the address."""


class NoResponse(TransportError):
    """Raised when a request was sent and no response arrived; it may have run."""


class ChannelClosed(TransportError):
    """Raised when a channel ended before the reply arrived."""
