"""Index of workers by free capacity."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

__all__ = ["AcceleratorGroup", "FreeIndex"]

# Four bits a level and five levels cover 2**20 - 1 MiB (1 TiB) of free memory.
# Workers with more share the topmost leaf, where a fit is checked entry by entry.
BITS = 4
SHIFTS = tuple(range(0, 20, BITS))
SIBLINGS = (1 << BITS) - 1
LARGEST_KEY = (1 << (BITS * len(SHIFTS))) - 1
TOP_SHIFT = SHIFTS[-1]


class AcceleratorGroup:
    """Index the workers that have the same number of free accelerators.

    ``levels`` is a range tree: a tree over free memory whose nodes each list their
    workers by free processors. A query for "memory >= m and processors >= c" visits
    the siblings to the right of the path to m, at most 15 on each of 5 levels, and
    bisects in each. So a misfit in one resource never leads to a scan, also when
    all workers are nearly full or hold memory without processors.
    """

    __slots__ = ("by_headroom", "levels")

    def __init__(self):
        self.levels: tuple[dict[int, SortedList], ...] = tuple({} for _ in SHIFTS)
        self.by_headroom = SortedList()

    def add(self, cpu: int, memory: int, headroom: int, position: int) -> None:
        """Insert a worker."""
        entry = (cpu, position)
        key = min(memory, LARGEST_KEY)
        for shift, nodes in zip(SHIFTS, self.levels):
            node = nodes.get(key >> shift)
            if node is None:
                nodes[key >> shift] = SortedList((entry,))
            else:
                node.add(entry)
        self.by_headroom.add((-headroom, position))

    def remove(self, cpu: int, memory: int, headroom: int, position: int) -> None:
        """Remove a worker."""
        entry = (cpu, position)
        key = min(memory, LARGEST_KEY)
        for shift, nodes in zip(SHIFTS, self.levels):
            node = nodes[key >> shift]
            if len(node) == 1:
                del nodes[key >> shift]
            else:
                node.remove(entry)
        self.by_headroom.remove((-headroom, position))

    def iterate_fits(self, cpu: int, memory: int) -> Iterator[int]:
        """Yield one fitting worker of each tree node, closest memory first."""
        key = min(memory, LARGEST_KEY)
        if key == LARGEST_KEY:
            leaf = self.levels[0].get(key, ())
            yield from (position for free, position in leaf if free >= cpu)
            return
        sought = (cpu, -1)
        first = key
        for shift, nodes in zip(SHIFTS, self.levels):
            prefix = key >> shift
            for sibling in range(first, (prefix | SIBLINGS) + 1):
                node = nodes.get(sibling)
                if node is not None and node[-1] >= sought:
                    yield node[node.bisect_left(sought)][1]
            # The next level starts right of the node that was just covered.
            first = (key >> (shift + BITS)) + 1

    def is_empty(self) -> bool:
        """Tell whether the group has no worker."""
        return not self.by_headroom


class FreeIndex:
    """Index workers by free accelerators, then memory, then processors.

    Accelerators come first because they are scarce and small integers: work that
    needs none is offered the workers with the fewest free accelerators first.
    """

    __slots__ = ("groups",)

    def __init__(self):
        self.groups: SortedDict = SortedDict()

    def add(
        self, cpu: int, memory: int, accelerators: int, headroom: int, position: int
    ) -> None:
        """Insert a worker with its free amounts; ``headroom`` orders by load."""
        group = self.groups.get(accelerators)
        if group is None:
            group = self.groups[accelerators] = AcceleratorGroup()
        group.add(cpu, memory, headroom, position)

    def remove(
        self, cpu: int, memory: int, accelerators: int, headroom: int, position: int
    ) -> None:
        """Remove a worker that was added with these amounts."""
        group = self.groups[accelerators]
        group.remove(cpu, memory, headroom, position)
        if group.is_empty():
            del self.groups[accelerators]

    def iterate_groups(self, accelerators: int) -> Iterator[AcceleratorGroup]:
        """Yield the groups with enough free accelerators, fewest first."""
        for count in self.groups.irange(accelerators):
            yield self.groups[count]
