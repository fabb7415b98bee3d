"""Claim and complete idempotency keys at their ledger's owner."""

import random
from collections.abc import Callable

import anyio

from gypsumring.messages.peer import (
    AbandonKey,
    Acknowledged,
    ClaimKey,
    CompleteKey,
    KeyVerdict,
    PeerMessage,
    PeerReply,
)
from gypsumring.metrics import Metrics, RefusalReason, RetryReason
from gypsumring.ports import (
    PeerClient,
    PeerRejected,
    PeerTimeout,
    PeerUnreachable,
)
from gypsumring.requests.exceptions import OutcomeUnknown, RequestRefused
from gypsumring.settings import TimingSettings
from gypsumring.utils.backoff import backoff_s
from gypsumring.utils.hashing import choose_ledger

__all__ = ["MAX_RECORDED_BYTES", "KeyClient", "OwnerCaller"]

# Answers up to this size are recorded for duplicates of the request.
MAX_RECORDED_BYTES = 64 * 1024
# Time for which the outcome of a key is repeated to its owner: longer than an owner's
# failover and a short outage of the log. Afterwards duplicates are told "unknown".
REPORT_S = 600.0
RETRY_BASE_MS = 20
RETRY_LIMIT_MS = 1_000
# Reports in progress; more than the non-repeatable requests of a gateway in one
# outage of the log, and few enough to bound memory at 64 KiB each.
REPORT_LIMIT = 1_000


class OwnerCaller:
    """Call the owner of a shard, again when ownership moved or the answer was lost."""

    __slots__ = ("metrics", "owner_address", "part", "peers", "random_source", "timing")

    def __init__(
        self,
        part: str,
        peers: PeerClient,
        owner_address: Callable[[str], str | None],
        timing: TimingSettings,
        metrics: Metrics,
        random_source: random.Random,
    ):
        self.part = part
        self.peers = peers
        self.owner_address = owner_address
        self.timing = timing
        self.metrics = metrics
        self.random_source = random_source

    async def call(
        self,
        shard: str,
        make_message: Callable[[int], PeerMessage],
        deadline: float,
    ) -> PeerReply:
        """Return the owner's reply; raise RequestRefused or OutcomeUnknown.

        ``make_message`` gets the time left in ms. A call without answer is repeated
        until the deadline, so the message must be idempotent. OutcomeUnknown tells
        that one of the calls may have taken effect.
        """
        attempt = 0
        is_uncertain = False
        reason = RefusalReason.NO_OWNER
        while True:
            now = anyio.current_time()
            left_ms = int((deadline - now) * 1000)
            if left_ms <= 0:
                detail = f"the owner of {shard} did not answer"
                if is_uncertain:
                    raise OutcomeUnknown(detail)
                raise RequestRefused(reason, detail)
            address = self.owner_address(shard)
            if address is not None:
                try:
                    with anyio.fail_at(deadline):
                        return await self.peers.call(
                            address, make_message(left_ms), deadline
                        )
                except PeerRejected as error:
                    if error.reason == RetryReason.APPEND_UNCONFIRMED:
                        is_uncertain = True
                        self.metrics.retry(self.part, RetryReason.APPEND_UNCONFIRMED)
                    else:
                        reason = parse_refusal(error.reason)
                        if reason not in MOVED:
                            if is_uncertain:
                                raise OutcomeUnknown(error.reason) from error
                            raise RequestRefused(reason, error.reason) from error
                        self.metrics.retry(self.part, RetryReason.OWNER_MOVED)
                except PeerUnreachable:
                    reason = RefusalReason.NO_OWNER
                    self.metrics.retry(self.part, RetryReason.PEER_UNREACHABLE)
                except (PeerTimeout, TimeoutError):
                    is_uncertain = True
                    self.metrics.retry(self.part, RetryReason.PEER_TIMEOUT)
            attempt += 1
            delay_s = backoff_s(
                attempt, RETRY_BASE_MS, RETRY_LIMIT_MS, self.random_source
            )
            await anyio.sleep_until(min(deadline, anyio.current_time() + delay_s))


MOVED = {
    RefusalReason.NOT_OWNER,
    RefusalReason.OLD_INCARNATION,
    RefusalReason.RECOVERING,
}


def parse_refusal(reason: str) -> RefusalReason:
    """Return the reason that a peer gave, or NO_OWNER when it is unknown."""
    try:
        return RefusalReason(reason)
    except ValueError:
        return RefusalReason.NO_OWNER


class KeyClient:
    """Claim keys for requests and report their outcomes in the background.

    ``reporting`` counts reports that have not been acknowledged.
    """

    __slots__ = ("caller", "gateway", "ledgers", "reporting", "task_group")

    def __init__(self, gateway: str, ledgers: tuple[str, ...], caller: OwnerCaller):
        self.gateway = gateway
        self.ledgers = ledgers
        self.caller = caller
        self.reporting = 0
        self.task_group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run reports until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            try:
                await anyio.sleep_forever()
            finally:
                # A group takes no new tasks while its last ones end.
                self.task_group = None

    def ledger(self, service: str, key: str) -> str:
        """Return the ledger that holds a key."""
        return choose_ledger(f"{service}:{key}", self.ledgers)

    async def claim(
        self, service: str, key: str, digest: str, intent_id: str, deadline: float
    ) -> KeyVerdict:
        """Return the owner's verdict; raise RequestRefused by the deadline."""
        ledger = self.ledger(service, key)
        try:
            reply = await self.caller.call(
                ledger,
                lambda left_ms: ClaimKey(
                    ledger,
                    service,
                    key,
                    digest,
                    self.gateway,
                    intent_id,
                    left_ms,
                    left_ms,
                ),
                deadline,
            )
        except OutcomeUnknown as error:
            # A grant that never arrived is not used, so the request surely never runs.
            raise RequestRefused(RefusalReason.LOG_UNAVAILABLE, str(error)) from error
        if not isinstance(reply, KeyVerdict):
            raise RequestRefused(RefusalReason.NO_OWNER, "unexpected reply")
        return reply

    def complete(
        self,
        service: str,
        key: str,
        intent_id: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Report an outcome; one too large to record becomes unknown."""
        size = len(body) + sum(len(name) + len(value) for name, value in headers)
        if size > MAX_RECORDED_BYTES:
            self.caller.metrics.count("keys.answer_too_large")
            status, headers, body = 0, (), b""
        ledger = self.ledger(service, key)
        self.report(
            ledger,
            CompleteKey(ledger, service, key, intent_id, status, headers, body),
        )

    def abandon(self, service: str, key: str, intent_id: str) -> None:
        """Report that an intent surely did not run."""
        ledger = self.ledger(service, key)
        self.report(ledger, AbandonKey(ledger, service, key, intent_id))

    def report(self, ledger: str, message: CompleteKey | AbandonKey) -> None:
        """Start to send a report."""
        # Without reports, duplicates of these keys are told "unknown" once they expire.
        if self.task_group is None or self.reporting >= REPORT_LIMIT:
            self.caller.metrics.count("keys.report_dropped")
            return
        self.reporting += 1
        self.task_group.start_soon(self.send_report, ledger, message)

    async def send_report(self, ledger: str, message: CompleteKey | AbandonKey) -> None:
        """Repeat a report until its owner has made it durable."""
        give_up_at = anyio.current_time() + REPORT_S
        attempt = 0
        try:
            while anyio.current_time() < give_up_at:
                call_s = 5 * self.caller.timing.call_ms / 1000
                deadline = min(give_up_at, anyio.current_time() + call_s)
                try:
                    reply = await self.caller.call(
                        ledger, lambda left_ms: message, deadline
                    )
                    if isinstance(reply, Acknowledged):
                        return
                except (OutcomeUnknown, RequestRefused):
                    pass
                attempt += 1
                await anyio.sleep(
                    backoff_s(
                        attempt,
                        RETRY_BASE_MS,
                        RETRY_LIMIT_MS,
                        self.caller.random_source,
                    )
                )
            self.caller.metrics.count("keys.report_given_up")
        finally:
            self.reporting -= 1
