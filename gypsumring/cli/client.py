"""HTTP client of the command line."""

from typing import Any

import httpx
import msgspec

from gypsumring.cli.exceptions import (
    BadInput,
    Conflict,
    GatewayUnavailable,
    OutcomeUnknown,
    Refused,
)
from gypsumring.settings import CommandSettings
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["GatewayClient"]

MS_PER_S = 1000
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class GatewayClient:
    """Client that sends each call to the first gateway that accepts a connection."""

    __slots__ = ("http", "settings")

    def __init__(
        self, settings: CommandSettings, transport: httpx.BaseTransport | None = None
    ):
        self.settings = settings
        self.http = httpx.Client(
            timeout=settings.timeout_ms / MS_PER_S, transport=transport
        )

    def close(self) -> None:
        """Close all connections."""
        self.http.close()

    def call(self, method: str, path: str, content: bytes = b"") -> Any:
        """Return the decoded JSON answer; raise a subclass of CommandError."""
        failures = []
        for gateway in self.settings.gateways:
            try:
                answer = self.http.request(
                    method,
                    gateway.rstrip("/") + path,
                    content=content,
                    headers=self.make_headers(),
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                # The request was not sent, so the next gateway cannot repeat a change.
                failures.append(f"{gateway}: {error}")
                continue
            except httpx.HTTPError as error:
                if method == "GET":
                    failures.append(f"{gateway}: {error}")
                    continue
                raise OutcomeUnknown(
                    f"{gateway} did not answer ({error!r}); read the state again"
                ) from error
            return read_answer(answer)
        raise GatewayUnavailable("no gateway answered: " + "; ".join(failures))

    def make_headers(self) -> dict[str, str]:
        """Return the request headers, including the credentials of the team."""
        headers = {"content-type": "application/json"}
        if self.settings.team:
            headers["gypsumring-team"] = self.settings.team
        if self.settings.token:
            headers["authorization"] = f"Bearer {self.settings.token}"
        return headers


def read_answer(answer: httpx.Response) -> Any:
    """Return the decoded body of a success; raise the error of the status code."""
    try:
        body = msgspec.json.decode(answer.content)
    except DECODE_ERRORS as error:
        raise OutcomeUnknown(f"the response is not valid JSON: {error}") from error
    if answer.is_success:
        return body
    text = describe_error(body, answer.status_code)
    match answer.status_code:
        case 400 | 404 | 413:
            raise BadInput(text)
        case 409:
            raise Conflict(text)
        case 504:
            raise OutcomeUnknown(text)
        case _:
            raise Refused(text)


def describe_error(body: Any, status: int) -> str:
    """Return a one-line reason why a call failed."""
    if not isinstance(body, dict):
        return f"HTTP status {status}"
    parts = [str(body[key]) for key in ("reason", "error", "message") if key in body]
    return ": ".join(parts) or f"HTTP status {status}"
