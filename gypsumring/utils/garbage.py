"""Collection of cyclic garbage in a process that has to answer at any time.

A full collection visits all objects, and nothing else runs meanwhile: with the jobs of
a cell it takes a quarter of a second on a small machine. The interpreter begins one
whenever a quarter of the objects are new, which may be every few seconds.
"""

import gc
from collections.abc import Callable

import anyio

__all__ = ["collect_garbage"]

# Full collections take at most this share of the time, at least one in MAX_PERIOD_S:
# ended jobs refer to their steps and back, and use memory until then.
MAX_SHARE = 0.005
MIN_PERIOD_S = 5.0
MAX_PERIOD_S = 60.0
# The interpreter never reaches this number of collections of the middle generation.
NEVER = 1_000_000_000


async def collect_garbage(record_seconds: Callable[[str, float], None]) -> None:
    """Run full collections in place of the interpreter until cancelled."""
    youngest, middle, oldest = gc.get_threshold()
    gc.set_threshold(youngest, middle, NEVER)
    # The objects of the program itself are never garbage.
    gc.collect()
    gc.freeze()
    try:
        period_s = MIN_PERIOD_S
        while True:
            await anyio.sleep(period_s)
            began_at = anyio.current_time()
            gc.collect()
            took_s = anyio.current_time() - began_at
            record_seconds("node.garbage", took_s)
            period_s = min(max(MIN_PERIOD_S, took_s / MAX_SHARE), MAX_PERIOD_S)
    finally:
        gc.set_threshold(youngest, middle, oldest)
        gc.unfreeze()
