"""Exceptions of a cell."""

from gypsumring.exceptions import GypsumringError

__all__ = ["CellError", "OwnershipLost"]


class CellError(GypsumringError):
    """Base class of the exceptions of a cell."""


class OwnershipLost(CellError):
    """Raised when another node has taken over the cell."""
