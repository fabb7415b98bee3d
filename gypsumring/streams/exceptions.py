"""Errors of the streams layer."""

from gypsumring.exceptions import GypsumringError

__all__ = ["AppendTooLarge", "AppendUnconfirmed", "StreamError"]


class StreamError(GypsumringError):
    """Base class of errors of a stream."""


class AppendTooLarge(StreamError):
    """Raised when the records of one append exceed the size limit; not appended."""


class AppendUnconfirmed(StreamError):
    """Raised when a record was not read back in time.

    With ``sent`` the record may still appear later; without it, it surely will not.
    """

    def __init__(self, stream: str, sent: bool, reason: str):
        super().__init__(f"append to stream {stream!r} unconfirmed: {reason}")
        self.sent = sent
