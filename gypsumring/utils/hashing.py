"""Rendezvous hashing."""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["choose_ledger", "rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of rendezvous weight for the key."""
    return sorted(
        names, key=lambda name: (rendezvous_weight(key, name), name), reverse=True
    )


def choose_ledger(key: str, ledgers: Sequence[str]) -> str:
    """Return the ledger shard that stores a team's jobs or a request key."""
    return max(ledgers, key=lambda ledger: (rendezvous_weight(key, ledger), ledger))


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())
