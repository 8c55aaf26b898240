"""Keeps the health of VMs from barring a whole pool."""

import collections


class HealthLimit:
    """Find the pools in which every VM is barred from new tasks.

    Health tells a bad VM from better ones. Where it bars all of several VMs
    the cause is common to them, and leaving them idle helps no task.
    """

    __slots__ = ()

    def exceeded(self, loads, barred):
        """Return the pools in which health is to be ignored.

        :param loads: :class:`VmLoad` objects of the VMs that may otherwise
            take tasks.
        :param barred: Identities of those that health bars.
        """
        vms = collections.Counter(load.pool for load in loads)
        barred_vms = collections.Counter(
            load.pool for load in loads if load.vm in barred
        )
        return {
            pool
            for pool, count in barred_vms.items()
            if count == vms[pool] > 1
        }
