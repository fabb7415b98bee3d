"""Errors within the HTTP adapters, which are mapped to the errors of the ports."""

from gypsumring.exceptions import GypsumringError

__all__ = ["BodyTooLarge", "CallFailed", "InvalidAnswer"]


class CallFailed(GypsumringError):
    """Raised when a call did not return a complete answer.

    ``sent`` is false only if no byte of the request was sent. ``answered`` is true if
    the headers of the answer were received.
    """

    def __init__(self, reason: str, sent: bool, answered: bool):
        super().__init__(reason)
        self.sent = sent
        self.answered = answered


class BodyTooLarge(CallFailed):
    """Raised when an answer exceeds the size limit."""


class InvalidAnswer(GypsumringError):
    """Raised when an answer cannot be decoded."""
