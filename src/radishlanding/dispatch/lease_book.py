"""Until when VMs may run tasks."""

from radishlanding.vm import boot_clock_s


class LeaseBook:
    """Keep when the lease of each VM was last granted."""

    __slots__ = ("_granted_s", "_opened_s", "_timing")

    def __init__(self, *, timing):
        """Start without grants.

        :param timing: A :class:`radishlanding.vm.Timing`.
        """
        self._granted_s = {}
        self._opened_s = boot_clock_s()
        self._timing = timing

    def grant(self, vm):
        """Note that a VM's lease is being extended."""
        self._granted_s[vm] = boot_clock_s()

    def has_lapsed(self, vm):
        """Return whether nothing of a VM's lease can be left.

        A VM that was never heard here may have a lease from an earlier
        leader, which may have extended it for its whole grace.
        """
        granted_s = self._granted_s.get(vm)
        if granted_s is None:
            granted_s = self._opened_s + self._timing.owner_grace_s
        lease_s = self._timing.vm_lease_s + self._timing.drift_s
        return boot_clock_s() > granted_s + lease_s
