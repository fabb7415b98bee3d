"""Specification of a client account in the desired state."""

import msgspec

__all__ = ["ClientAccount", "Resources"]


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """Amounts of each resource; ``cpu_millis`` is in thousandths of a core."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """Client account of one version of the desired state.

    ``weight`` is its share of contested capacity, and the rate in jobs per second up to
    which its jobs are not ranked behind those of other accounts. A resource that is 0
    in ``cap`` is not limited.
    """

    name: str
    # Digests of its keys; the keys themselves are not retained.
    key_digests: tuple[bytes, ...] = ()
    weight: float = 1.0
    cap: Resources = Resources()
