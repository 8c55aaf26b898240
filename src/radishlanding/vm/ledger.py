"""The account of what a VM has given away."""

from radishlanding.vm.capacity import Capacity
from radishlanding.vm.insufficient_capacity import InsufficientCapacity


class Ledger:
    """Hold every allotment of one VM; the only authority on its room."""

    __slots__ = ("_allotments", "_capacity")

    def __init__(self, *, capacity):
        """Start with nothing given away.

        :param capacity: What the VM holds in all.
        """
        self._capacity = capacity
        self._allotments = {}

    @property
    def capacity(self):
        """Return what the VM holds in all."""
        return self._capacity

    def free(self):
        """Return what is not given away."""
        total = self._capacity
        for needs in self._allotments.values():
            total = total - needs
        return total

    def allocate(self, *, holder, needs):
        """Give room to a holder, or change what it has.

        :param holder: Unique name of the allotment.
        :param needs: What the holder may use.
        :raises NoRoom: It does not fit; nothing changed.
        """
        free = self.free() + self._allotments.get(holder, Capacity())
        if not free.holds(needs):
            raise InsufficientCapacity(needs=needs, free=free)
        self._allotments[holder] = needs

    def adopt(self, *, holder, needs):
        """Record what already runs, whether it fits or not."""
        self._allotments[holder] = needs

    def release(self, *, holder):
        """Return the room of a holder; a second call changes nothing."""
        self._allotments.pop(holder, None)
