"""Random routing, as a baseline."""


class RandomRouting:
    """Choose a target at random."""

    __slots__ = ("_random",)

    def __init__(self, *, random):
        """Prepare the policy.

        :param random: A :class:`random.Random`.
        """
        self._random = random

    def choose(self, targets):
        """Return a random target, None without any."""
        return self._random.choice(targets) if targets else None
