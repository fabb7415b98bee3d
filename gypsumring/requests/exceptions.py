"""Errors of the request layer."""

from gypsumring.exceptions import GypsumringError
from gypsumring.metrics import RefusalReason

__all__ = ["OutcomeUnknown", "RequestRefused"]


class OutcomeUnknown(GypsumringError):
    """Raised when a call may have taken effect and its outcome is not known."""


class RequestRefused(GypsumringError):
    """Raised when a request surely was not run and will not be."""

    def __init__(self, reason: RefusalReason, detail: str = "", retry_after_s: int = 1):
        super().__init__(detail or str(reason))
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s
