"""Errors of the platform adapter."""

from gypsumring.exceptions import GypsumringError

__all__ = ["WireError"]


class WireError(GypsumringError):
    """Raised when bytes from the platform or a caller have the wrong form."""
