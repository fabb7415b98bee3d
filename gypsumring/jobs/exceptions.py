"""Errors of the jobs layer."""

from gypsumring.exceptions import GypsumringError

__all__ = ["SnapshotError"]


class SnapshotError(GypsumringError):
    """Raised when a snapshot of a ledger cannot be decoded."""
