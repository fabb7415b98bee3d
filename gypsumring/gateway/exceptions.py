"""Errors of the gateway's HTTP layer."""

from gypsumring.exceptions import GypsumringError
from gypsumring.metrics import RefusalReason

__all__ = ["CallerGone", "HttpRefused"]


class CallerGone(GypsumringError):
    """Raised when the caller closed its connection or stopped sending or reading."""


class HttpRefused(GypsumringError):
    """Raised to answer an HTTP request with an error; ``field`` is a JSON path."""

    def __init__(
        self,
        reason: RefusalReason,
        detail: str = "",
        field: str = "",
        retry_after_s: int = 0,
        status: int = 0,
    ):
        super().__init__(detail or str(reason))
        self.reason = reason
        self.detail = detail
        self.field = field
        self.retry_after_s = retry_after_s
        self.status = status
