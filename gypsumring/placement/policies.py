"""Placement policies, as data classes chosen by ``match``."""

import msgspec

from gypsumring.messages.work import Priority

__all__ = [
    "BestFitScan",
    "FirstFit",
    "LeastLoaded",
    "Pack",
    "Policy",
    "RandomFit",
    "Spread",
    "Weighted",
    "choose_policy",
]


class Pack(msgspec.Struct, frozen=True):
    """Choose the worker with the least free capacity that still fits (best fit)."""


class LeastLoaded(msgspec.Struct, frozen=True):
    """Choose the worker with the largest free share, so that work waits least."""


class Weighted(msgspec.Struct, frozen=True):
    """Pack, but leave headroom of ``(1 - packing_weight) / 2`` of a mean worker.

    Choose the least loaded worker when none has that headroom. Weight 1 is `Pack`,
    weight 0 is `LeastLoaded`.
    """

    packing_weight: float


class Spread(msgspec.Struct, frozen=True):
    """Choose the data centre, then rack, then worker with the fewest of the service."""


class FirstFit(msgspec.Struct, frozen=True):
    """Scan all workers for the first that fits; the baseline of the benchmarks."""


class BestFitScan(msgspec.Struct, frozen=True):
    """Scan all workers for the exact best fit; a baseline of the benchmarks."""


class RandomFit(msgspec.Struct, frozen=True):
    """Choose a random worker that fits; a baseline of the benchmarks."""


Policy = Pack | LeastLoaded | Weighted | Spread | FirstFit | BestFitScan | RandomFit


def choose_policy(priority: Priority, spread: bool, packing_weight: float) -> Policy:
    """Return the policy for one task.

    Batch work is always packed: it may wait, and packing keeps whole workers free
    for all-or-nothing jobs.
    """
    if spread:
        return Spread()
    if priority == Priority.BATCH or packing_weight >= 1:
        return Pack()
    if packing_weight <= 0:
        return LeastLoaded()
    return Weighted(packing_weight)
