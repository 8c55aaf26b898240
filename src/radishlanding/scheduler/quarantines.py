"""The quarantines of a shard's VMs."""

from radishlanding.observe import EventLog
from radishlanding.policy import Quarantine
from radishlanding.vm import boot_clock_s

_log = EventLog("radishlanding.scheduler")


class Quarantines:
    """Hold one quarantine for each VM on which tasks have failed."""

    __slots__ = ("_by_vm",)

    def __init__(self):
        """Start with none."""
        self._by_vm = {}

    def failed(self, vm, task_id):
        """Note that a task failed on a VM."""
        quarantine = self._by_vm.setdefault(vm, Quarantine())
        quarantine.record_failure(task_id, now_s=boot_clock_s())
        if self.room(vm, running=0) == 0:
            _log.warning("vm_quarantined", vm=vm)

    def succeeded(self, vm):
        """Note that a task succeeded on a VM."""
        self._by_vm.pop(vm, None)

    def room(self, vm, *, running):
        """Return how many more tasks the VM may take, None for any."""
        quarantine = self._by_vm.get(vm)
        if quarantine is None:
            return None
        return quarantine.max_new_tasks(running=running, now_s=boot_clock_s())
