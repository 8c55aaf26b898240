"""Detection of lost VMs from expired leases."""

import trio

from radishlanding.observe import EventLog
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.vm import boot_clock_s

CHECK_INTERVAL_S = 0.5

_log = EventLog("radishlanding.scheduler")


class VmLossDetector:
    """Declare a VM lost once its agent's lease must have expired.

    An agent counts its lease from when it sent the heartbeat that this owner
    acknowledged. The lease of an agent without an acknowledgement may come
    from the previous owner, which could extend it for its grace period after
    this ownership began.
    """

    __slots__ = ("_owned_since_s", "_owner", "_timing")

    def __init__(self, *, owner, timing, owned_since_s):
        """Create a detector; :meth:`run` checks the VMs.

        :param owner: The :class:`ShardOwner` of the shard.
        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param owned_since_s: Boot clock at which the ownership began, in
            seconds.
        """
        self._owner = owner
        self._timing = timing
        self._owned_since_s = owned_since_s

    def lease_end_s(self, vm):
        """Return the latest time at which a VM's lease can end.

        :param vm: Identity of the VM.
        :returns: Boot clock, in seconds.
        """
        granted_s = self._owner.lease_granted_s.get(vm)
        if granted_s is None:
            granted_s = self._owned_since_s + self._timing.owner_grace_s
        return granted_s + self._timing.vm_lease_s + self._timing.drift_s

    async def run(self):
        """Declare VMs lost whose lease has expired, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for vm in self._owner.state.busy_vms():
                if boot_clock_s() > self.lease_end_s(vm):
                    await self._declare_lost(vm)

    def _final_transition(self, task, job):
        """Return the transition of a task whose VM is lost.

        An end that was reported but not yet recorded takes precedence.
        """
        status = self._owner.last_statuses.get(task.vm, {}).get(task.task_id)
        if (
            status is not None
            and status.epoch == task.epoch
            and status.phase.has_ended
        ):
            return transitions.from_status(task, job, status)
        return transitions.interrupted(task, job, reason="VM lost")

    async def _declare_lost(self, vm):
        """Record the transitions of the tasks of a lost VM."""
        state = self._owner.state
        changes = [
            Change(
                transitions=[
                    self._final_transition(task, state.jobs[task.job_id])
                ]
            )
            for task in state.tasks_on(vm)
            if task.task_id not in self._owner.starting
        ]
        if not changes:
            return
        _log.warning("vm_lost", vm=vm, tasks=len(changes))
        self._owner.counters.add("vms_lost")
        await self._owner.commit.submit_all(changes)
        self._owner.request_placement()
