"""Count the tasks that the cap of a client account lets start.

Amounts are tuples of millicores, memory in MB and accelerators, since they are compared
for each waiting step in each scheduling pass.
"""

__all__ = ["Amounts", "count_startable", "count_under_half"]

Amounts = tuple[int, int, int]


def count_startable(cap: Amounts, held: Amounts, demand: Amounts, count: int) -> int:
    """Return how many of ``count`` tasks may start without going above the cap.

    A resource whose cap is 0 is not limited. An account above its cap in any resource
    starts nothing, not even tasks that need none of that resource.
    """
    for limit, used, needed in zip(cap, held, demand):
        if not limit:
            continue
        if used > limit:
            return 0
        if needed and (limit - used) // needed < count:
            count = (limit - used) // needed
    return count


def count_under_half(cap: Amounts, held: Amounts, demand: Amounts, count: int) -> int:
    """Return how many of ``count`` tasks may start, of which the last passes the half.

    An account that has half of its cap in use starts none.
    """
    under_half = count
    for limit, used, needed in zip(cap, held, demand):
        if not limit:
            continue
        if 2 * used >= limit:
            return 0
        if needed:
            under_half = min(under_half, -((2 * used - limit) // (2 * needed)))
    return min(under_half, count_startable(cap, held, demand, count))
