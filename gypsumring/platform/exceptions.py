"""Errors of the platform adapter."""

from gypsumring.exceptions import GypsumringError

__all__ = ["WireError"]


class WireError(GypsumringError):
    """Raised when data from the platform or a caller cannot be decoded."""
