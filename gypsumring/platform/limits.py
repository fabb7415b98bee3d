"""Limits of a machine as the platform states them."""

import math
from collections.abc import Mapping
from typing import Any

__all__ = ["read_link_mbps"]


def read_link_mbps(limits: Mapping[str, Any]) -> float:
    """Return what the link carries in each direction, in Mbit/s, 0 if unknown."""
    value = limits.get("linkMbps")
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if 0 < value < math.inf else 0.0
