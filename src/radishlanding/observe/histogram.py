"""Counts durations by their size."""

# Upper bounds of the buckets, in milliseconds; objectives lie between 250 ms
# and 3 s, answers of the store at 4 ms.
BOUNDS_MS = (1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)


class Histogram:
    """Hold how many durations were up to each bound."""

    __slots__ = ("buckets", "count", "sum_ms")

    def __init__(self):
        """Start without durations."""
        self.buckets = [0] * len(BOUNDS_MS)
        self.count = 0
        self.sum_ms = 0.0

    def record(self, duration_ms):
        """Count a duration.

        :param duration_ms: Duration, in milliseconds.
        """
        self.count += 1
        self.sum_ms += duration_ms
        for at, bound_ms in enumerate(BOUNDS_MS):
            if duration_ms <= bound_ms:
                self.buckets[at] += 1

    def cumulative_counts(self):
        """Return pairs of an upper bound and a cumulative count."""
        bounds = [*map(str, BOUNDS_MS), "+Inf"]
        return list(zip(bounds, [*self.buckets, self.count], strict=True))
