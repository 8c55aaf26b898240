"""Declares silent VMs lost."""

import trio

from radishlanding.observe import EventLog
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.vm import boot_clock_s

PAUSE_S = 0.5

_log = EventLog("radishlanding.scheduler")


class VmWatch:
    """Declare a VM lost once no lease of its agent can be left.

    An agent that was acknowledged here counts its lease from before that
    acknowledgement. Another one may have a lease from an earlier owner,
    which may have extended it for its whole grace.
    """

    __slots__ = ("_opened_s", "_owner", "_timing")

    def __init__(self, *, owner, timing, opened_s):
        """Prepare; :meth:`run` watches.

        :param owner: A :class:`ShardOwner`.
        :param timing: A :class:`LeaseTiming`.
        :param opened_s: Time at which the ownership began, in seconds.
        """
        self._owner = owner
        self._timing = timing
        self._opened_s = opened_s

    def lease_end_s(self, vm):
        """Return the time at which a VM's agent has surely stopped."""
        granted_s = self._owner.acked_s.get(vm)
        if granted_s is None:
            granted_s = self._opened_s + self._timing.owner_grace_s
        return granted_s + self._timing.vm_lease_s + self._timing.drift_s

    async def run(self):
        """Look for lost VMs twice a second."""
        while True:
            await trio.sleep(PAUSE_S)
            for vm in self._owner.state.busy_vms():
                if boot_clock_s() > self.lease_end_s(vm):
                    await self._lose(vm)

    def _last_word(self, task, job):
        """Return the change of a task whose VM is lost.

        An end that was reported, but is not yet on record, still counts.
        """
        status = self._owner.reports.get(task.vm, {}).get(task.task_id)
        if (
            status is not None
            and status.epoch == task.epoch
            and status.phase.has_ended
        ):
            return transitions.reported(task, job, status)
        return transitions.interrupted(task, job, reason="VM lost")

    async def _lose(self, vm):
        state = self._owner.state
        changes = [
            Change(
                transitions=[self._last_word(task, state.jobs[task.job_id])]
            )
            for task in state.tasks_on(vm)
            if task.task_id not in self._owner.starting
        ]
        if not changes:
            return
        _log.warning("vm_lost", vm=vm, tasks=len(changes))
        self._owner.counters.add("vms_lost")
        await self._owner.commit.submit_all(changes)
        self._owner.notify()
