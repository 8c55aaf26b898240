"""Tells losses of VMs to their trust, and logs whom it doubts."""

from radishlanding.observe import EventLog
from radishlanding.policy import DOUBTFUL_TRUST
from radishlanding.vm import boot_clock_s

_log = EventLog("radishlanding.dispatch")


class VmTrustMonitor:
    """Record losses, and report which VMs become doubtful or trusted."""

    __slots__ = ("_counters", "_doubtful", "_vm_trust")

    def __init__(self, *, vm_trust, counters):
        """Initialise the monitor without doubtful VMs.

        :param vm_trust: The :class:`radishlanding.policy.VmTrust`.
        :param counters: Metrics counters of the process.
        """
        self._counters = counters
        self._doubtful = set()
        self._vm_trust = vm_trust

    def observe_boot(self, session, boot):
        """Record a loss if the worker of a VM has started again.

        :param session: The :class:`VmSession` with the earlier state.
        :param boot: Boot that its agent reports now.
        """
        if session.state.boot and boot and boot != session.state.boot:
            self.record_loss(session.vm)

    def record_loss(self, vm):
        """Record that a VM was lost."""
        self._vm_trust.record_loss(vm, now_s=boot_clock_s())

    def review(self):
        """Log changes since the last call; to be called about every second."""
        now_s = boot_clock_s()
        self._vm_trust.prune(now_s=now_s)
        doubtful = {
            vm
            for vm in self._vm_trust.rated_vms()
            if self._vm_trust.trust(vm, now_s=now_s) < DOUBTFUL_TRUST
        }
        for vm in sorted(doubtful - self._doubtful):
            conduct = self._vm_trust.conduct(vm)
            self._counters.add("vms_doubted")
            _log.warning(
                "vm_doubted",
                vm=vm,
                trust=f"{self._vm_trust.trust(vm, now_s=now_s):.2f}",
                slowness=f"{conduct.slowness:.2f}",
                failures=f"{conduct.failures:.2f}",
                losses=f"{conduct.losses:.1f}",
            )
        for vm in sorted(self._doubtful - doubtful):
            self._counters.add("vms_trusted_again")
            _log.info("vm_trusted_again", vm=vm)
        self._doubtful = doubtful
