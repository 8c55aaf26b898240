"""Placement on any VM with room, as a baseline."""


class RandomPlacement:
    """Choose a VM at random."""

    __slots__ = ("_random",)

    def __init__(self, *, random):
        """Use a generator of :mod:`random`."""
        self._random = random

    def choose(self, _job, vms):
        """Return any of the VMs."""
        return self._random.choice(vms) if vms else None
