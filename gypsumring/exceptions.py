"""Base classes of the exception tree."""

__all__ = ["GypsumringError", "InvariantViolation", "PortError"]


class GypsumringError(Exception):
    """Base class of all errors raised by this package."""


class InvariantViolation(GypsumringError):
    """Raised when the program is about to break one of its safety invariants."""


class PortError(GypsumringError):
    """Base class of errors that cross a port."""
