"""Counts events of a process, by name."""


class Counters:
    """Hold monotonic counts by name."""

    __slots__ = ("_counts",)

    def __init__(self):
        """Start with no counts."""
        self._counts = {}

    def add(self, name, amount=1):
        """Add an amount to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def get(self, name):
        """Return a count, 0 when nothing was counted."""
        return self._counts.get(name, 0)

    def snapshot(self):
        """Return a copy of all counts."""
        return dict(self._counts)
