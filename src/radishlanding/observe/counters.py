"""Metrics of a process."""

from radishlanding.observe.histogram import Histogram


class Counters:
    """Hold monotonic counters, and histograms of durations, by name."""

    __slots__ = ("_counts", "histograms")

    def __init__(self):
        """Initialise without counters and histograms."""
        self._counts = {}
        self.histograms = {}

    def add(self, name, amount=1):
        """Add an amount to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_duration(self, name, *, since_s, now_s):
        """Add a duration to a histogram.

        :param name: Name of the histogram.
        :param since_s: Start time in seconds, of any clock.
        :param now_s: End time in seconds, of the same clock.
        """
        histogram = self.histograms.setdefault(name, Histogram())
        histogram.record((now_s - since_s) * 1000)

    def get(self, name):
        """Return the value of a counter, 0 if nothing was counted."""
        return self._counts.get(name, 0)

    def snapshot(self):
        """Return the values of all counters by name."""
        return dict(self._counts)
