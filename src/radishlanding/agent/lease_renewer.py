"""Keeps the worker's leases within the VM's lease."""

import trio

from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

RENEW_PAUSE_S = 1.0
# Adopted tasks run on what is left of the lease that the agent before gave.
FIRST_PAUSE_S = 0.05
GUARD_PAUSE_S = 0.3
LAPSE_MARGIN_S = 2.5

_log = EventLog("radishlanding.agent")


class LeaseRenewer:
    """Renew the tasks' leases, and stop the tasks before they lapse."""

    __slots__ = (
        "_stopper",
        "_table",
        "_vm_lease",
        "_worker",
        "_worker_lease_s",
    )

    def __init__(self, *, worker, table, stopper, vm_lease, worker_lease_s):
        """Prepare; :meth:`run` works.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param stopper: The :class:`TaskStopper`.
        :param vm_lease: The :class:`radishlanding.vm.VmLease`.
        :param worker_lease_s: Greatest lease of a task, in seconds.
        """
        self._stopper = stopper
        self._table = table
        self._vm_lease = vm_lease
        self._worker = worker
        self._worker_lease_s = worker_lease_s

    def task_lease_s(self):
        """Return the lease to give a task now, 0 for none."""
        return min(self._worker_lease_s, self._vm_lease.remaining_s())

    async def run(self):
        """Renew and guard until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew)
            nursery.start_soon(self._guard)

    async def renew(self):
        """Give the running tasks as much of a lease as there is now.

        :raises WorkerUnavailable: The worker gave no answer.
        :raises WorkerRefused: The worker refused.
        """
        lease_s = self.task_lease_s()
        keys = [
            task.key
            for task in self._table.running()
            if task.status.phase == TaskPhase.RUNNING
        ]
        if keys and lease_s > 0:
            await self._worker.renew(keys, lease_s=lease_s)

    async def _renew(self):
        """Renew from the moment on from which there is a VM lease."""
        while not self._vm_lease.was_held:
            await trio.sleep(FIRST_PAUSE_S)
        while True:
            try:
                await self.renew()
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("renew_failed", reason=exc)
            await trio.sleep(RENEW_PAUSE_S)

    async def _guard(self):
        """Stop the tasks before the VM lease lapses."""
        while True:
            await trio.sleep(GUARD_PAUSE_S)
            remaining_s = self._vm_lease.remaining_s()
            if 0 < remaining_s < LAPSE_MARGIN_S:
                for task in self._table.running():
                    self._stopper.evict(task.key, reason="VM lease lapses")
            elif remaining_s == 0 and self._vm_lease.was_held:
                for task in self._table.running():
                    self._stopper.stop(task.key, reason="VM lease lapsed")
