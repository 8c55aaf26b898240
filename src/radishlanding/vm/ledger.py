"""Resource allocations of a VM."""

from radishlanding.vm.capacity import Capacity
from radishlanding.vm.insufficient_capacity import InsufficientCapacity


class Ledger:
    """Track the allocations of one VM; the only authority on its capacity."""

    __slots__ = ("_allocations", "_capacity")

    def __init__(self, *, capacity):
        """Start without allocations.

        :param capacity: Total :class:`Capacity` of the VM.
        """
        self._capacity = capacity
        self._allocations = {}

    @property
    def capacity(self):
        """Return the total capacity of the VM."""
        return self._capacity

    def free(self):
        """Return the capacity that is not allocated."""
        total = self._capacity
        for needs in self._allocations.values():
            total = total - needs
        return total

    def allocate(self, *, holder, needs):
        """Allocate resources to a holder, or replace its allocation.

        :param holder: Unique name of the allocation.
        :param needs: :class:`Capacity` to allocate.
        :raises InsufficientCapacity: The needs do not fit; the allocations
            are unchanged.
        """
        free = self.free() + self._allocations.get(holder, Capacity())
        if not free.holds(needs):
            raise InsufficientCapacity(needs=needs, free=free)
        self._allocations[holder] = needs

    def adopt(self, *, holder, needs):
        """Record the allocation of what already runs, even if it does not fit.

        :param holder: Unique name of the allocation.
        :param needs: :class:`Capacity` that it uses.
        """
        self._allocations[holder] = needs

    def release(self, *, holder):
        """Release the allocation of a holder; does nothing without one."""
        self._allocations.pop(holder, None)
