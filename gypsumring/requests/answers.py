"""Answer classes of a request."""

import msgspec

from gypsumring.metrics import RefusalReason

__all__ = ["Answer", "Answered", "Refused", "Unknown"]


class Answered(msgspec.Struct, frozen=True):
    """Hold the whole answer of an executor."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refused(msgspec.Struct, frozen=True):
    """Tell that the request was not run; ``retry_after_s`` is 0 when it won't help."""

    reason: RefusalReason
    detail: str = ""
    retry_after_s: int = 0


class Unknown(msgspec.Struct, frozen=True):
    """Tell that the request may have run and its outcome is not known."""

    detail: str


Answer = Answered | Refused | Unknown
