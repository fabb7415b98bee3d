"""HTTP client for the placement policy service."""

import msgspec

from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable
from gypsumring.transport import (
    ConnectFailed,
    HttpClient,
    LinkTraffic,
    NoResponse,
    Purpose,
    sending_for,
)
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["PlatformPolicyService"]


class AdviceBody(msgspec.Struct):
    """Body of a policy query; ``workers`` are executor ids."""

    step: str
    workers: list[str]


class AdviceReply(msgspec.Struct):
    """Policy answer: id and ticket of each executor that may run the step."""

    allowed: list[tuple[str, str]] = []


def decode_advice(body: bytes) -> list[tuple[str, str]]:
    """Decode the answer to a policy query; raise PolicyUnavailable if malformed."""
    try:
        return msgspec.json.decode(body, type=AdviceReply).allowed
    except DECODE_ERRORS as error:
        raise PolicyUnavailable(f"malformed policy answer: {error}") from error


class PlatformPolicyService:
    """HTTP client of the policy service; implements the port ``PolicyService``."""

    __slots__ = ("client",)

    def __init__(self, address: str, traffic: LinkTraffic | None = None):
        self.client = HttpClient(address, traffic=traffic)

    async def advise(
        self, step: str, executor_ids: list[str], deadline: float
    ) -> list[tuple[str, str]]:
        """Return id and ticket of each executor that may run the step."""
        body = msgspec.json.encode(AdviceBody(step, executor_ids))
        try:
            with sending_for(Purpose.POLICY):
                response = await self.client.request(
                    "POST", "/-/advise", deadline, body
                )
        except (ConnectFailed, NoResponse) as error:
            raise PolicyUnavailable(str(error)) from error
        if response.status == 429:
            raise PolicyBusy("too many calls wait")
        if response.status != 200:
            raise PolicyUnavailable(
                f"policy service answered with status {response.status}"
            )
        return decode_advice(response.body)
