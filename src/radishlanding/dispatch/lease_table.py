"""Until when VMs may run tasks."""

from radishlanding.vm import boot_clock_s


class LeaseTable:
    """Keep when the lease of each VM was last granted."""

    __slots__ = (
        "_boots",
        "_granted_s",
        "_grants_ended_s",
        "_hold_until_s",
        "_inherited_leases_s",
        "_opened_s",
        "_timing",
    )

    def __init__(
        self, *, timing, inherited_leases_s=None, grants_ended_s=None
    ):
        """Start without grants.

        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param inherited_leases_s: Seconds left of the leases of VMs, where the last
            leader has resigned and said so; None where it may still extend
            leases.
        :param grants_ended_s: When, in seconds of the boot clock, earlier leaders
            surely extended no lease any more; None for their whole grace
            from now on.
        """
        self._boots = {}
        self._inherited_leases_s = inherited_leases_s
        self._granted_s = {}
        self._hold_until_s = {}
        self._opened_s = boot_clock_s()
        if grants_ended_s is None:
            grants_ended_s = self._opened_s + timing.owner_grace_s
        self._grants_ended_s = grants_ended_s
        self._timing = timing

    def grant(self, vm):
        """Note that a VM's lease is being extended."""
        self._granted_s[vm] = boot_clock_s()

    def record_boot(self, vm, boot, *, is_new=False):
        """Note which boot of its worker a VM has.

        A worker that has started again may have taken a deadline on its
        earlier clock, which was ahead; only the longest hold bounds it.

        :param vm: Identity of the VM.
        :param boot: Boot of its worker, empty for none.
        :param is_new: Whether tasks on record were assigned to another boot.
        """
        if not boot:
            return
        before = self._boots.setdefault(vm, boot)
        self._boots[vm] = boot
        if is_new or before != boot:
            self._hold_until_s[vm] = boot_clock_s() + self._timing.hold_max_s

    def has_expired(self, vm):
        """Return whether nothing of a VM's lease can be left."""
        return self.remaining_s(vm) < 0

    def remaining_s(self, vm):
        """Return the seconds after which nothing of a VM's lease is left.

        A VM that was never heard here may have a lease from an earlier
        leader, which may have extended it for its whole grace unless it has
        resigned or was proved to have died.
        """
        lease_s = self._timing.vm_lease_s + self._timing.drift_s
        if vm in self._granted_s:
            end_s = self._granted_s[vm] + lease_s
        elif self._inherited_leases_s is not None:
            end_s = self._opened_s + self._inherited_leases_s.get(vm, lease_s)
        else:
            end_s = self._grants_ended_s + lease_s
        hold_until_s = self._hold_until_s.get(vm, 0.0)
        if hold_until_s:
            end_s = max(end_s, hold_until_s + self._timing.drift_s)
        return end_s - boot_clock_s()
