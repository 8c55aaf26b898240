"""Histogram of durations."""

# Upper bounds of the buckets. Objectives lie between 250 ms and 3 s; the
# store answers in 4 ms.
BOUNDS_MS = (1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)


class Histogram:
    """Count durations in cumulative buckets.

    Each bucket counts the durations up to its upper bound, which includes
    those of all smaller buckets.
    """

    __slots__ = ("buckets", "count", "sum_ms")

    def __init__(self):
        """Initialise an empty histogram."""
        self.buckets = [0] * len(BOUNDS_MS)
        self.count = 0
        self.sum_ms = 0.0

    def record(self, duration_ms):
        """Record a duration.

        :param duration_ms: Duration in milliseconds.
        """
        self.count += 1
        self.sum_ms += duration_ms
        for index, bound_ms in enumerate(BOUNDS_MS):
            if duration_ms <= bound_ms:
                self.buckets[index] += 1

    def cumulative_counts(self):
        """Return pairs of an upper bound in milliseconds and its count.

        The last bound is ``+Inf``; its count is that of all durations.
        """
        bounds = [*map(str, BOUNDS_MS), "+Inf"]
        return list(zip(bounds, [*self.buckets, self.count], strict=True))
