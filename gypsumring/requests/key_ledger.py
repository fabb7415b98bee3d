"""Decide idempotency keys by the order of the ledger's log."""

import time
from collections.abc import Callable

import anyio
import msgspec

from gypsumring.messages.peer import (
    AbandonKey,
    Acknowledged,
    ClaimKey,
    CompleteKey,
    Explanation,
    KeyDecision,
    KeyVerdict,
    PeerMessage,
    PeerReply,
    RackSummary,
)
from gypsumring.messages.records import (
    EpochStarted,
    KeyAbandoned,
    KeyIntent,
    KeyOutcome,
    LedgerBody,
    Record,
)
from gypsumring.metrics import RefusalReason
from gypsumring.ports import PeerRejected
from gypsumring.shards import ShardContext
from gypsumring.streams import AppendTooLarge, AppendUnconfirmed, Stream

__all__ = ["KeyLedger", "KeyLedgerState", "KeyState"]

# Callers repeat a request within a day at most; then its key may be used anew.
RETENTION_S = 86_400.0
# Abandonments may be read before their intent only while its append is in flight,
# which a stream gives up within minutes.
ABANDONED_KEPT_S = 3_600.0
DRAIN_POLL_S = 0.01
SWEEP_S = 60.0


class KeyState(msgspec.Struct):
    """Hold the first intent of a key and, once known, its outcome.

    ``status`` is -1 while there is no outcome and 0 when it is unknown.
    """

    intent_id: str
    body_digest: str
    gateway: str
    expires_at: float
    epoch: int
    status: int = -1
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class KeyLedgerState(msgspec.Struct):
    """Hold all keys of a ledger for a snapshot."""

    epoch: int
    keys: list[tuple[str, str, KeyState]]
    abandoned: dict[str, float]


class KeyLedger:
    """Grant each key to the first intent in the log.

    The fold of the log decides alone: a second owner that appends intents at the same
    time reads the same first intent back, so that at most one of them is granted.
    ``unix_time`` returns Unix seconds.
    """

    __slots__ = (
        "abandoned",
        "appends_in_flight",
        "changed",
        "context",
        "draining",
        "epoch",
        "is_recovered",
        "keys",
        "stream",
        "unix_time",
    )

    def __init__(
        self,
        context: ShardContext,
        stream: Stream,
        unix_time: Callable[[], float] = time.time,
    ):
        self.context = context
        self.stream = stream
        self.unix_time = unix_time
        self.keys: dict[tuple[str, str], KeyState] = {}
        self.abandoned: dict[str, float] = {}
        self.epoch = 0
        self.is_recovered = False
        self.draining = False
        self.appends_in_flight = 0
        self.changed: dict[tuple[str, str], anyio.Event] = {}

    # --- fold -----------------------------------------------------------------------

    def apply(self, offset: int, record: Record[LedgerBody]) -> None:
        """Fold one record; every node that reads the log gets the same state."""
        if record.epoch < self.epoch:
            return
        body = record.body
        match body:
            case EpochStarted():
                self.epoch = max(self.epoch, body.epoch)
            case KeyIntent():
                self.apply_intent(body, record.epoch)
            case KeyOutcome():
                state = self.keys.get((body.service, body.key))
                if state is not None and state.intent_id == body.intent_id:
                    if state.status < 0:
                        state.status = body.status
                        state.headers = body.headers
                        state.body = body.body
                    self.wake((body.service, body.key))
            case KeyAbandoned():
                name = (body.service, body.key)
                state = self.keys.get(name)
                self.abandoned[body.intent_id] = self.unix_time()
                if (
                    state is not None
                    and state.intent_id == body.intent_id
                    and state.status < 0
                ):
                    del self.keys[name]
                    self.wake(name)

    def apply_intent(self, intent: KeyIntent, epoch: int) -> None:
        """Take an intent as the first of its key, unless there is an earlier one.

        Retention is judged by the times in the records alone, so that all readers
        agree on which intent is the first.
        """
        name = (intent.service, intent.key)
        state = self.keys.get(name)
        if intent.intent_id in self.abandoned:
            return
        if state is not None and intent.expires_at < state.expires_at + RETENTION_S:
            return
        self.keys[name] = KeyState(
            intent.intent_id,
            intent.body_digest,
            intent.gateway,
            intent.expires_at,
            epoch,
        )

    def wake(self, name: tuple[str, str]) -> None:
        """Wake the duplicates that wait for a key."""
        event = self.changed.pop(name, None)
        if event is not None:
            event.set()

    def snapshot(self) -> bytes:
        """Encode all keys."""
        return msgspec.msgpack.encode(
            KeyLedgerState(
                self.epoch,
                [(service, key, s) for (service, key), s in self.keys.items()],
                self.abandoned,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replace all keys by those of a snapshot."""
        restored = msgspec.msgpack.decode(state, type=KeyLedgerState)
        self.epoch = max(self.epoch, restored.epoch)
        self.keys = {(service, key): s for service, key, s in restored.keys}
        self.abandoned = dict(restored.abandoned)

    # --- owner ----------------------------------------------------------------------

    async def recover(self) -> None:
        """Wait until all records of earlier owners have been read."""
        await self.stream.wait_caught_up()
        self.is_recovered = True

    async def run(self) -> None:
        """Recover, then drop old keys until cancelled."""
        if not self.is_recovered:
            await self.recover()
        while True:
            await anyio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """Drop keys whose retention has passed, which any new intent replaces."""
        now = self.unix_time()
        for name, state in list(self.keys.items()):
            if now >= state.expires_at + RETENTION_S:
                del self.keys[name]
        for intent_id, read_at in list(self.abandoned.items()):
            if now >= read_at + ABANDONED_KEPT_S:
                del self.abandoned[intent_id]

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer ClaimKey, CompleteKey and AbandonKey; raise PeerRejected."""
        if self.draining or not self.context.may_act():
            raise PeerRejected(RefusalReason.NOT_OWNER)
        if not self.is_recovered:
            raise PeerRejected(RefusalReason.RECOVERING)
        match message:
            case ClaimKey():
                return await self.claim(message)
            case CompleteKey():
                return await self.complete(message)
            case AbandonKey():
                return await self.abandon(message)
        raise PeerRejected(RefusalReason.BAD_REQUEST)

    async def drain(self) -> None:
        """Accept no more messages and wait for appends in flight, before a handoff.

        Duplicates that wait for an outcome append nothing and are not waited for.
        """
        self.draining = True
        # In an outage of the log, gateways settle their intents with the next owner.
        with anyio.move_on_after(self.context.timing.lease_ms / 1000):
            while self.appends_in_flight:
                await anyio.sleep(DRAIN_POLL_S)

    def summarize(self) -> RackSummary | None:
        """Return None: a ledger has no workers."""
        return None

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain a request by ``service:key``, or count the keys."""
        if subject != "request":
            open_count = sum(state.status < 0 for state in self.keys.values())
            return Explanation((("keys", f"{len(self.keys)}, {open_count} open"),))
        service, _, key = name.partition(":")
        state = self.keys.get((service, key))
        if state is None:
            return Explanation((("key", "no request with this key is known"),))
        match state.status:
            case -1:
                left_s = state.expires_at - self.unix_time()
                outcome = (
                    f"in progress for at most {left_s:.1f} s"
                    if left_s > 0
                    else "unknown: no outcome was recorded in time"
                )
            case 0:
                outcome = "unknown: the executor gave no answer"
            case status:
                outcome = f"answered with status {status}"
        return Explanation(
            (
                ("outcome", outcome),
                ("gateway", state.gateway),
                ("owner", f"{self.context.node}, epoch {state.epoch}"),
                ("intent", state.intent_id),
            )
        )

    def current(self, name: tuple[str, str]) -> KeyState | None:
        """Return the state of a key unless its retention has passed."""
        state = self.keys.get(name)
        if state is not None and self.unix_time() >= state.expires_at + RETENTION_S:
            return None
        return state

    async def claim(self, message: ClaimKey) -> KeyVerdict:
        """Grant a key to its first intent; let duplicates wait for the outcome."""
        name = (message.service, message.key)
        deadline = anyio.current_time() + message.left_ms / 1000
        expires_at = self.unix_time() + message.run_ms / 1000
        while True:
            state = self.current(name)
            if state is None:
                refused = await self.append_intent(message, expires_at, deadline)
                if refused is not None:
                    return refused
                state = self.current(name)
                if state is None:
                    # Freed again by an abandonment that was read after the intent.
                    return KeyVerdict(KeyDecision.NOT_RUN, "the key was abandoned")
            if state.body_digest != message.body_digest:
                return KeyVerdict(KeyDecision.CONFLICT)
            if state.status > 0:
                return KeyVerdict(
                    KeyDecision.ANSWERED,
                    status=state.status,
                    headers=state.headers,
                    body=state.body,
                )
            if state.status == 0:
                return KeyVerdict(KeyDecision.UNKNOWN, "the outcome is unknown")
            if state.intent_id == message.intent_id:
                self.context.metrics.count("keys.granted")
                return KeyVerdict(KeyDecision.RUN)
            left_s = state.expires_at - self.unix_time()
            if left_s <= 0:
                return KeyVerdict(KeyDecision.UNKNOWN, "no outcome was recorded")
            now = anyio.current_time()
            if now >= deadline:
                return KeyVerdict(KeyDecision.UNKNOWN, "still in progress")
            event = self.changed.setdefault(name, anyio.Event())
            with anyio.move_on_at(min(deadline, now + left_s)):
                await event.wait()

    async def append_intent(
        self, message: ClaimKey, expires_at: float, deadline: float
    ) -> KeyVerdict | None:
        """Append an intent and read it back; return a verdict if that failed."""
        intent = KeyIntent(
            message.service,
            message.key,
            message.body_digest,
            message.gateway,
            message.intent_id,
            expires_at,
        )
        try:
            await self.append(intent, deadline)
        except AppendTooLarge as error:
            return KeyVerdict(KeyDecision.NOT_RUN, str(error))
        except AppendUnconfirmed:
            # The intent may still appear. Only the gateway knows that it will not run
            # the request, so the gateway abandons it.
            self.context.metrics.refuse("keys", RefusalReason.LOG_UNAVAILABLE)
            return KeyVerdict(KeyDecision.NOT_RUN, RefusalReason.LOG_UNAVAILABLE)
        if self.context.epoch < self.epoch:
            # A newer owner's records fence this one out; its intent does not count.
            raise PeerRejected(RefusalReason.NOT_OWNER)
        return None

    async def complete(self, message: CompleteKey) -> Acknowledged:
        """Record an outcome."""
        state = self.keys.get((message.service, message.key))
        if state is None or state.intent_id != message.intent_id or state.status >= 0:
            return Acknowledged()
        outcome = KeyOutcome(
            message.service,
            message.key,
            message.intent_id,
            message.status,
            message.headers,
            message.body,
        )
        await self.append_or_reject(outcome)
        return Acknowledged()

    async def abandon(self, message: AbandonKey) -> Acknowledged:
        """Record that an intent surely did not run, even if it was not read yet."""
        if message.intent_id not in self.abandoned:
            await self.append_or_reject(
                KeyAbandoned(message.service, message.key, message.intent_id)
            )
        return Acknowledged()

    async def append(self, body: LedgerBody, deadline: float) -> None:
        """Append a record; raise AppendUnconfirmed or AppendTooLarge."""
        self.appends_in_flight += 1
        try:
            await self.stream.append([body], self.context.epoch, deadline)
        finally:
            self.appends_in_flight -= 1

    async def append_or_reject(self, body: LedgerBody) -> None:
        """Append a record; raise PeerRejected so that the gateway repeats it."""
        deadline = anyio.current_time() + self.context.timing.call_ms / 1000
        try:
            await self.append(body, deadline)
        except (AppendUnconfirmed, AppendTooLarge) as error:
            raise PeerRejected(RefusalReason.LOG_UNAVAILABLE) from error
        if self.context.epoch < self.epoch:
            raise PeerRejected(RefusalReason.NOT_OWNER)
