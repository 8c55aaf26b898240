"""Set of indexes that is kept as ranges."""

import bisect


class IndexRanges:
    """Hold indexes of tasks as ranges, of which there are few.

    Tasks are placed in the order of their indexes, so that those that are
    done lie close together.
    """

    __slots__ = ("_bounds",)

    def __init__(self, bounds=()):
        """Start with the indexes of some ranges.

        :param bounds: First index of each range and the one behind its last,
            rising.
        """
        self._bounds = list(bounds)

    def __contains__(self, index):
        """Return whether an index is in one of the ranges."""
        return bisect.bisect_right(self._bounds, index) % 2 == 1

    def bounds(self):
        """Return the ranges as the constructor takes them."""
        return list(self._bounds)

    def update(self, indexes):
        """Add indexes that are not in the ranges.

        :param indexes: The indexes, in any order.
        """
        singles = [(index, index + 1) for index in indexes]
        known = zip(self._bounds[::2], self._bounds[1::2], strict=True)
        merged = []
        for first, end in sorted([*known, *singles]):
            if merged and merged[-1] == first:
                merged[-1] = end
            else:
                merged += [first, end]
        self._bounds = merged
