"""Errors of placement."""

from gypsumring.exceptions import GypsumringError

__all__ = ["NoFit", "NoLongerOwner"]


class NoFit(GypsumringError):
    """Raised when no worker has room for a task now."""


class NoLongerOwner(GypsumringError):
    """Raised before a send when the process may not act for the shard."""
