"""Tracks when the leases of VMs expire."""

from radishlanding.vm import boot_clock_s


class LeaseTable:
    """Hold when the newest lease of each VM began.

    A lease begins with the proof of leadership on which it was granted, so
    that none of an earlier leader begins after it was replaced, whether or
    not that leader knows of it.
    """

    __slots__ = (
        "_boots",
        "_earlier_leases_start_s",
        "_heard_s",
        "_hold_until_s",
        "_inherited_leases_s",
        "_opened_s",
        "_started_s",
        "_timing",
    )

    def __init__(
        self, *, timing, inherited_leases_s=None, earlier_leases_start_s=None
    ):
        """Initialise a table without grants.

        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param inherited_leases_s: Remaining leases by VM in seconds, as
            handed over by a leader that resigned; a VM without an entry
            counts with a full lease. None if the last leader did not resign
            and may still extend leases.
        :param earlier_leases_start_s: Latest time on the boot clock, in
            seconds, at which a lease of an earlier leader begins; None if it
            is unknown, which counts as one grace period from now.
        """
        self._boots = {}
        self._inherited_leases_s = inherited_leases_s
        self._heard_s = {}
        self._hold_until_s = {}
        self._opened_s = boot_clock_s()
        if earlier_leases_start_s is None:
            earlier_leases_start_s = self._opened_s + timing.owner_grace_s
        self._earlier_leases_start_s = earlier_leases_start_s
        self._started_s = {}
        self._timing = timing

    def record_hello(self, vm):
        """Record that a VM has introduced itself.

        It gets a lease soon, and is not lost before. It counts only once the
        VM has reported, as the answer may be lost.
        """
        self.grant(vm, start_s=boot_clock_s())

    def grant(self, vm, *, start_s):
        """Record that the lease of a VM is being extended.

        :param vm: Identity of the VM.
        :param start_s: When the lease begins, on the boot clock, in seconds.
        """
        self._started_s[vm] = max(start_s, self._started_s.get(vm, 0.0))

    def record_report(self, vm):
        """Record that a VM has reported, whether or not a lease is granted.

        Its agent carries out orders that were sent after the report, even if
        it gets the lease for them from a later grant. Orders may follow its
        first report, even if that is answered without a lease.
        """
        if vm not in self._heard_s:
            self.grant(vm, start_s=boot_clock_s())
        self._heard_s[vm] = boot_clock_s()

    def record_boot(self, vm, boot, *, is_new=False):
        """Record the current boot of a VM's worker.

        A worker that has restarted may hold a deadline that was set on its
        earlier clock, which may have been ahead. Then only ``hold_max_s`` of
        :class:`radishlanding.vm.LeaseTiming` bounds how long its tasks run.

        :param vm: Identity of the VM.
        :param boot: Boot of the worker, empty if it is unknown.
        :param is_new: Whether recorded tasks were assigned to another boot.
        """
        if not boot:
            return
        before = self._boots.setdefault(vm, boot)
        self._boots[vm] = boot
        if is_new or before != boot:
            self._hold_until_s[vm] = boot_clock_s() + self._timing.hold_max_s

    def has_expired(self, vm):
        """Return whether the lease of a VM has surely expired."""
        return self.remaining_s(vm) < 0

    def remaining_s(self, vm):
        """Return an upper bound of a VM's remaining lease, in seconds.

        A VM may hold a lease from an earlier leader, also if it has
        introduced itself to this one.
        """
        lease_s = self._timing.vm_lease_s + self._timing.drift_s
        if self._inherited_leases_s is not None:
            end_s = self._opened_s + self._inherited_leases_s.get(vm, lease_s)
        else:
            end_s = self._earlier_leases_start_s + lease_s
        if vm in self._heard_s:
            end_s = max(end_s, self._started_s[vm] + lease_s)
            window_s = self._timing.start_window_s + self._timing.drift_s
            end_s = max(end_s, self._heard_s[vm] + window_s)
        hold_until_s = self._hold_until_s.get(vm, 0.0)
        if hold_until_s:
            end_s = max(end_s, hold_until_s + self._timing.drift_s)
        return end_s - boot_clock_s()
