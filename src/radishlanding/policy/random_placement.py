"""Random placement, as a baseline."""


class RandomPlacement:
    """Choose a VM at random."""

    __slots__ = ("_random",)

    def __init__(self, *, random):
        """Prepare the policy.

        :param random: A :class:`random.Random`.
        """
        self._random = random

    def choose(self, _job, vms):
        """Return a random VM, None without any."""
        return self._random.choice(vms) if vms else None
