"""Which kinds of work slow which others down on one executor.

The log of actual by expected time of each run, where the expected time includes the
kind of work and the speed of the executor, is compared between runs with and without a
neighbour of some kind, among runs with similar load beside them.
"""

import math
from collections.abc import Mapping

from gypsumring.pipelines.model import WorkKind

__all__ = ["Interference", "Neighbour", "PairChange"]

# Time after which a sample counts half.
HALF_LIFE_S = 300.0
# Kinds of work, and neighbours of each, that are kept at most.
MAX_KINDS = 128
MAX_NEIGHBOURS = 32
# Limits of the share of an executor's CPU that its other work uses, between which runs
# are compared.
LOAD_LIMITS = (0.25, 0.6)
STRATA = len(LOAD_LIMITS) + 1
# Residuals count as a factor of e at most, so that long tasks do not make a pair.
MAX_RESIDUAL = 1.0
# A pair is found from this many comparisons, factor and number of standard errors on;
# it is forgotten below the lower ones.
MIN_COMPARISONS = 6.0
MIN_EFFECT = math.log(1.15)
MIN_ERRORS = 4.5
FORGOTTEN_COMPARISONS = 2.0
FORGOTTEN_EFFECT = math.log(1.08)
FORGOTTEN_ERRORS = 2.5
# Standard deviation that is assumed before there are samples, and the number of samples
# for which it counts.
ASSUMED_DEVIATION = 0.5
ASSUMED_SAMPLES = 4
MIN_DEVIATION = 0.05
# Period in which the pairs are judged anew.
REVIEW_PERIOD_S = 1.0

# Sum of squared deviations of the shares below which their slope is not computed.
MIN_INFORMATION = 1e-3

NO_EFFECTS: dict[WorkKind, float] = {}


class Neighbour:
    """Work of one kind beside a run, as share of its time, and the CPU that it used."""

    __slots__ = ("cpu_millis", "share")

    def __init__(self, share: float = 0.0, cpu_millis: float = 0.0):
        self.share = share
        # Time-weighted CPU of all tasks of the kind.
        self.cpu_millis = cpu_millis


class PairChange:
    """Pair of kinds that was found or forgotten, with its factor and evidence."""

    __slots__ = ("errors", "factor", "is_found", "kind", "neighbour", "samples")

    def __init__(
        self, kind: WorkKind, neighbour: WorkKind, pair: "Pair", is_found: bool
    ):
        self.kind = kind
        self.neighbour = neighbour
        self.is_found = is_found
        self.factor = math.exp(pair.effect)
        self.samples = pair.samples
        self.errors = pair.errors


class Tally:
    """Weighted sums by stratum of load, which halve each ``HALF_LIFE_S``."""

    __slots__ = ("rows", "updated_at")

    def __init__(self, width: int, now: float):
        self.updated_at = now
        self.rows = [[0.0] * width for _ in range(STRATA)]

    def decay(self, now: float) -> None:
        """Reduce the sums by the time since the latest update."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
        self.rows = [[value * factor for value in row] for row in self.rows]

    def add(self, stratum: int, values: tuple[float, ...], now: float) -> None:
        """Add weighted values to the sums of a stratum."""
        self.decay(now)
        row = self.rows[stratum]
        for index, value in enumerate(values):
            row[index] += value

    def sum(self, index: int) -> float:
        """Return the sum of one value over the strata."""
        return sum(row[index] for row in self.rows)


class Pair:
    """Samples of one kind of work beside another, and the effect that they show."""

    __slots__ = ("effect", "errors", "is_found", "samples", "sums")

    def __init__(self, now: float):
        # Sums of the neighbour's share of the run, its square, its product with the
        # residual, and the effect of this pair that the kind's sum lacks.
        self.sums = Tally(4, now)
        # Log factor, its ratio to its standard error, and the number of samples.
        self.effect = 0.0
        self.errors = 0.0
        self.samples = 0.0
        self.is_found = False


class KindSamples:
    """Samples of one kind of work and of its pairs."""

    __slots__ = ("pairs", "total")

    def __init__(self, now: float):
        # Sums of 1, the residual and its square, over all runs, without the known
        # effects of their neighbours.
        self.total = Tally(3, now)
        self.pairs: dict[WorkKind, Pair] = {}

    def find_pair(self, neighbour: WorkKind, now: float) -> Pair:
        """Return a pair; a new one replaces that with the least evidence."""
        pair = self.pairs.get(neighbour)
        if pair is None:
            if len(self.pairs) >= MAX_NEIGHBOURS:
                del self.pairs[min(self.pairs, key=self.rank)]
            pair = self.pairs[neighbour] = Pair(now)
        return pair

    def rank(self, neighbour: WorkKind) -> tuple[bool, float]:
        """Return the sort key of a pair, that with the least evidence first."""
        pair = self.pairs[neighbour]
        return pair.is_found, pair.sums.sum(0)

    def deviation(self) -> float:
        """Return the standard deviation of the residuals."""
        count, total, squares = (self.total.sum(index) for index in range(3))
        variance = squares - total * total / count if count else 0.0
        variance = max(0.0, variance)
        variance += ASSUMED_SAMPLES * ASSUMED_DEVIATION**2
        return max(MIN_DEVIATION, math.sqrt(variance / (count + ASSUMED_SAMPLES)))

    def judge(self, pair: Pair) -> bool:
        """Compute the effect of a pair; return whether that changes its standing."""
        # Slope of the residual over the neighbour's share, within the strata.
        information = 0.0
        covariance = 0.0
        for whole, row in zip(self.total.rows, pair.sums.rows, strict=True):
            count, total, _ = whole
            shares, squares, products, restored = row
            if count > 0:
                information += squares - shares * shares / count
                covariance += products - shares * (total + restored) / count
        information = max(0.0, information)
        pair.samples = pair.sums.sum(0)
        pair.effect = covariance / information if information > MIN_INFORMATION else 0.0
        pair.errors = pair.effect * math.sqrt(information) / self.deviation()
        was_found = pair.is_found
        if was_found:
            pair.is_found = (
                information >= FORGOTTEN_COMPARISONS
                and pair.effect >= FORGOTTEN_EFFECT
                and pair.errors >= FORGOTTEN_ERRORS
            )
        else:
            pair.is_found = (
                information >= MIN_COMPARISONS
                and pair.effect >= MIN_EFFECT
                and pair.errors >= MIN_ERRORS
            )
        return pair.is_found is not was_found


class Interference:
    """Pairs of kinds of work of which one slows the other down."""

    __slots__ = ("changed", "conflicts", "effects", "kinds", "reviewed_at")

    def __init__(self):
        self.kinds: dict[WorkKind, KindSamples] = {}
        # Log factors by kind and neighbour, of the pairs that were found.
        self.effects: dict[WorkKind, dict[WorkKind, float]] = {}
        # The same in both directions: what a task suffers and does beside a neighbour.
        self.conflicts: dict[WorkKind, dict[WorkKind, float]] = {}
        # Kinds with new samples since the latest review.
        self.changed: set[WorkKind] = set()
        self.reviewed_at = float("-inf")

    def penalty(
        self, kind: WorkKind, neighbours: Mapping[WorkKind, Neighbour]
    ) -> float:
        """Return the log factor by which neighbours are known to slow a run down."""
        effects = self.effects.get(kind)
        if not effects:
            return 0.0
        return sum(
            effect * neighbours[other].share
            for other, effect in effects.items()
            if other in neighbours
        )

    def record(
        self,
        kind: WorkKind,
        residual: float,
        neighbours: Mapping[WorkKind, Neighbour],
        load: float,
        now: float,
        weight: float = 1.0,
    ) -> None:
        """Record the log of actual by expected time of a run.

        ``load`` is the share of the executor's CPU that its other work used.
        """
        residual = min(max(residual, -MAX_RESIDUAL), MAX_RESIDUAL)
        stratum = sum(load >= limit for limit in LOAD_LIMITS)
        effects = self.effects.get(kind, NO_EFFECTS)
        corrected = residual - self.penalty(kind, neighbours)
        samples = self.find_kind(kind, now)
        values = (weight, weight * corrected, weight * corrected**2)
        samples.total.add(stratum, values, now)
        for other, neighbour in neighbours.items():
            share = neighbour.share
            if share <= 0:
                continue
            effect = effects.get(other, 0.0) * share
            product = (corrected + effect) * share
            values = (
                weight * share,
                weight * share**2,
                weight * product,
                weight * effect,
            )
            samples.find_pair(other, now).sums.add(stratum, values, now)
        self.changed.add(kind)

    def find_kind(self, kind: WorkKind, now: float) -> KindSamples:
        """Return the samples of a kind, as the kind used last."""
        samples = self.kinds.pop(kind, None)
        if samples is None:
            if len(self.kinds) >= MAX_KINDS:
                del self.kinds[next(iter(self.kinds))]
            samples = KindSamples(now)
        self.kinds[kind] = samples
        return samples

    def is_review_due(self, now: float) -> bool:
        """Return whether the review period has passed."""
        return now - self.reviewed_at >= REVIEW_PERIOD_S

    def review(self, now: float) -> list[PairChange]:
        """Judge the pairs with new samples, and age those that were found.

        Return what has changed, nothing within ``REVIEW_PERIOD_S`` of the last review.
        """
        if not self.is_review_due(now):
            return []
        self.reviewed_at = now
        changes = []
        for kind in self.changed.union(self.effects):
            samples = self.kinds.get(kind)
            if samples is None:
                continue
            samples.total.decay(now)
            for other, pair in samples.pairs.items():
                if kind not in self.changed and not pair.is_found:
                    continue
                pair.sums.decay(now)
                if samples.judge(pair):
                    changes.append(PairChange(kind, other, pair, pair.is_found))
        if self.changed or self.effects:
            self.collect_effects()
        self.changed = set()
        return changes

    def collect_effects(self) -> None:
        """Collect the effects of the pairs that are found."""
        self.effects = {}
        self.conflicts = {}
        for kind, samples in self.kinds.items():
            for other, pair in samples.pairs.items():
                if not pair.is_found:
                    continue
                self.effects.setdefault(kind, {})[other] = pair.effect
                for one, two in {(kind, other), (other, kind)}:
                    conflicts = self.conflicts.setdefault(one, {})
                    conflicts[two] = conflicts.get(two, 0.0) + pair.effect

    def count_pairs(self) -> int:
        """Return the number of pairs that are found."""
        return sum(len(effects) for effects in self.effects.values())
