"""Errors of the state of executors."""

from gypsumring.exceptions import GypsumringError

__all__ = ["InvalidEntry"]


class InvalidEntry(GypsumringError):
    """Raised for a directory entry that names no usable executor.

    ``reason`` is one of a few words, which name the counter of such entries.
    """

    def __init__(self, reason: str, detail: str):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
