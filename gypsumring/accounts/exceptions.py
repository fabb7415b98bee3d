"""Errors of client accounts."""

from gypsumring.exceptions import GypsumringError

__all__ = ["UnknownKey"]


class UnknownKey(GypsumringError):
    """Raised when a request has no key of a client account."""
