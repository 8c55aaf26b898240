"""Counts events of a process, by name."""

from radishlanding.observe.histogram import Histogram


class Counters:
    """Hold monotonic counts by name."""

    __slots__ = ("_counts", "histograms")

    def __init__(self):
        """Start with no counts."""
        self._counts = {}
        self.histograms = {}

    def add(self, name, amount=1):
        """Add an amount to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_duration(self, name, *, since_s, now_s):
        """Add a duration to a histogram.

        :param name: Name of the histogram.
        :param since_s: Begin, in seconds of any clock.
        :param now_s: End, in seconds of the same clock.
        """
        histogram = self.histograms.setdefault(name, Histogram())
        histogram.record((now_s - since_s) * 1000)

    def get(self, name):
        """Return a count, 0 when nothing was counted."""
        return self._counts.get(name, 0)

    def snapshot(self):
        """Return a copy of all counts."""
        return dict(self._counts)
