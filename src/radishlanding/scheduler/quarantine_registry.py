"""Quarantines of the VMs of a shard."""

from radishlanding.observe import EventLog
from radishlanding.policy import Quarantine
from radishlanding.vm import boot_clock_s

_log = EventLog("radishlanding.scheduler")


class QuarantineRegistry:
    """Hold the quarantine of each VM on which tasks have failed."""

    __slots__ = ("_by_vm",)

    def __init__(self):
        """Create an empty registry."""
        self._by_vm = {}

    def record_failure(self, vm, task_id):
        """Count a failure of a task on a VM; it may start a quarantine."""
        quarantine = self._by_vm.setdefault(vm, Quarantine())
        quarantine.record_failure(task_id, now_s=boot_clock_s())
        if self.max_new_tasks(vm, running=0) == 0:
            _log.warning("vm_quarantined", vm=vm)

    def record_success(self, vm):
        """Clear the failures of a VM on which a task succeeded."""
        self._by_vm.pop(vm, None)

    def max_new_tasks(self, vm, *, running):
        """Return the number of tasks the VM may receive, None for no limit.

        :param vm: Identity of the VM.
        :param running: Number of tasks that run on it.
        """
        quarantine = self._by_vm.get(vm)
        if quarantine is None:
            return None
        return quarantine.max_new_tasks(running=running, now_s=boot_clock_s())
