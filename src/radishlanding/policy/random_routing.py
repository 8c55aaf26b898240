"""Routing to any target, as a baseline."""


class RandomRouting:
    """Choose a target at random."""

    __slots__ = ("_random",)

    def __init__(self, *, random):
        """Use a generator of :mod:`random`."""
        self._random = random

    def choose(self, targets):
        """Return any of the targets."""
        return self._random.choice(targets) if targets else None
