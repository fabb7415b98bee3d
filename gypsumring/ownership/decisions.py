"""Decisions of the ownership protocol as plain functions; times are monotonic."""

import msgspec

from gypsumring.exceptions import InvariantViolation
from gypsumring.ownership.fold import OwnerView
from gypsumring.settings import TimingSettings

__all__ = [
    "GivenPromise",
    "Holding",
    "NEVER",
    "first_time_to_act",
    "may_promise",
    "promised_until",
    "extend_holding",
]

NEVER = float("-inf")


class Holding(msgspec.Struct):
    """Hold what this process knows about a shard that it owns or takes over.

    ``act_from`` is the end of what an earlier owner may still do. ``until`` is the
    end of what this process may do. ``provisional`` marks a takeover without the log.
    ``inherited_state`` is what the previous owner passed on when it released the
    shard, or None if it did not.
    """

    shard: str
    epoch: int
    act_from: float
    until: float = NEVER
    active: bool = False
    provisional: bool = False
    inherited_state: bytes | None = None


class GivenPromise(msgspec.Struct, frozen=True):
    """Hold a promise not to act on a shard for the sake of a node."""

    node: str
    until: float


def first_time_to_act(
    previous: OwnerView | None,
    previous_read_at: float,
    given: GivenPromise | None,
    node: str,
    incarnation: int,
    started_at: float,
    timing: TimingSettings,
) -> float:
    """Return when a claim that was read back may be acted on.

    ``previous_read_at`` is when the last renewal of the previous owner was read.
    """
    margin_s = timing.margin_ms / 1000
    # What a predecessor on this address promised is unknown but ended by then.
    act_from = started_at + timing.promise_ms / 1000 + margin_s
    if given is not None and given.node != node:
        act_from = max(act_from, given.until)
    if previous is None or not previous.node:
        return act_from
    if previous.node != node:
        return max(act_from, previous_read_at + timing.lease_ms / 1000 + margin_s)
    if previous.incarnation != incarnation:
        # The predecessor renewed for the last time before this process started.
        longest_ms = max(timing.lease_ms, timing.promise_ms)
        return max(act_from, started_at + longest_ms / 1000 + margin_s)
    return act_from


def may_promise(
    now: float,
    view: OwnerView | None,
    owner_read_at: float,
    asked_epoch: int,
    sender: str,
    node: str,
    given: GivenPromise | None,
    holding: Holding | None,
    started_at: float,
    timing: TimingSettings,
) -> bool:
    """Decide whether to promise ``sender`` not to act on a shard for a while.

    ``view`` is the owner by the log as far as read and ``owner_read_at`` the time at
    which that owner's last renewal was read.
    """
    if given is not None and given.node != sender and now < given.until:
        return False
    if holding is not None and now < holding.until:
        return False
    if view is None:
        return True
    if asked_epoch < view.epoch:
        return False
    if asked_epoch == view.epoch:
        return view.node == sender
    # The sender takes over without the log, or its record was not read here yet. An
    # earlier owner, or this node's predecessor, may still act for one lease.
    lease_s = (timing.lease_ms + timing.margin_ms) / 1000
    if now < started_at + lease_s:
        return False
    return view.node in ("", sender, node) or now >= owner_read_at + lease_s


def promised_until(
    now: float,
    promises: list[tuple[int, float] | None],
    epoch: int,
    timing: TimingSettings,
) -> float:
    """Return until when every other member promised not to act; NEVER if one did not.

    Each promise is (epoch, end). Without other members nobody else can act.
    """
    end = now + timing.promise_ms / 1000
    for promise in promises:
        if promise is None or promise[0] != epoch:
            return NEVER
        end = min(end, promise[1])
    return end


def extend_holding(
    holding: Holding,
    now: float,
    lease_until: float,
    promise_until: float,
    timing: TimingSettings,
) -> bool:
    """Move the end of a holding and tell whether it still stands.

    A holding whose end has passed while it was active is not revived.
    """
    if holding.active and now >= holding.until:
        return False
    bound = promise_until if holding.provisional else max(lease_until, promise_until)
    longest_s = max(timing.lease_ms, timing.promise_ms) / 1000
    if bound > now + longest_s:
        raise InvariantViolation(
            f"{holding.shard}: end of validity is {bound - now:.3f} s ahead"
        )
    holding.until = max(holding.until, bound)
    return True
