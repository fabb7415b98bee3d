"""Seeded plan of the faults of a run, and what they may cost."""

import random

__all__ = ["Fault", "draw_plan", "max_takeovers"]

# Kinds of faults and whom they may hit.
KINDS = {
    "slow": ("one", "owner", "all", "all"),
    "freeze": ("one", "owner", "owner"),
    "kill": ("one", "owner", "owner", "all"),
    "terminate": ("series", "owner"),
    "reload": ("all",),
    "store_slow": ("all",),
    "store_down": ("one", "all"),
    "slow_read": ("owner",),
}
RESTARTING = ("kill", "terminate", "slow_read")
MEAN_GAP_S = 2.0
MAX_SERIES = 4
# Stated target of a takeover, in seconds.
TAKEOVER_S = 2.0


class Fault:
    """Fault between two times of a run, in seconds since its start.

    ``number`` is the first machine of the targets ``one`` and ``series``; ``amount``
    is the share that a slow machine keeps of each period, or a delay in seconds.
    """

    __slots__ = ("amount", "begins_at", "ends_at", "kind", "number", "target")

    def __init__(
        self,
        kind: str,
        target: str,
        number: int,
        begins_at: float,
        ends_at: float,
        amount: float,
    ):
        self.kind = kind
        self.target = target
        self.number = number
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.amount = amount

    def __str__(self) -> str:
        times = f"{self.begins_at:.2f} to {self.ends_at:.2f}"
        return f"{times} {self.kind} {self.target} {self.number} {self.amount:.2f}"


def draw_plan(source: random.Random, nodes: int, seconds: float) -> list[Fault]:
    """Return faults that begin within ``seconds``, in series and overlapping."""
    plan: list[Fault] = []
    at = source.uniform(0.2, 1.0)
    while at < seconds:
        kind = source.choice(sorted(KINDS))
        target = source.choice(KINDS[kind])
        lasts_s = source.uniform(0.3, 3.0)
        match kind:
            case "slow":
                lasts_s, amount = source.uniform(1.0, 3.0), source.uniform(0.05, 0.2)
            case "slow_read":
                lasts_s, amount = source.uniform(3.0, 6.0), source.uniform(0.0, 3.0)
            case "store_slow":
                amount = source.uniform(0.05, 0.4)
            case _:
                amount = 0.0
        number = source.randrange(nodes)
        plan.append(Fault(kind, target, number, at, at + lasts_s, amount))
        # A short gap makes faults overlap.
        at += source.expovariate(1 / MEAN_GAP_S) * source.choice((0.2, 1.0, 1.5))
    return plan


def max_takeovers(plan: list[Fault], nodes: int) -> int:
    """Return how many takeovers a plan may cause.

    A loss of the owner costs two takeovers, as the group may deal the cell back to the
    former owner once it has joined again. A restart is one loss at most. Other faults
    are one loss at most for each time of a takeover that they last.
    """
    losses = 0
    for fault in plan:
        losses += 1 + int((fault.ends_at - fault.begins_at) / TAKEOVER_S)
        if fault.kind in RESTARTING:
            hit = {"all": nodes, "series": min(nodes, MAX_SERIES)}
            losses += hit.get(fault.target, 1)
    return 2 * losses
