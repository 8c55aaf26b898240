"""Renews the worker's leases of tasks within the VM lease."""

import trio

from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

RENEWAL_INTERVAL_S = 1.0
# Short, as adopted tasks run on the rest of the previous agent's lease.
FIRST_RENEWAL_POLL_S = 0.05
LEASE_CHECK_INTERVAL_S = 0.3
EXPIRY_MARGIN_S = 2.5

_log = EventLog("radishlanding.agent")


class LeaseRenewer:
    """Renew task leases, and stop tasks before the VM lease expires."""

    __slots__ = (
        "_stopper",
        "_table",
        "_vm_lease",
        "_worker",
        "_worker_lease_s",
    )

    def __init__(self, *, worker, table, stopper, vm_lease, worker_lease_s):
        """Create the object; :meth:`run` renews leases.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param stopper: The :class:`TaskStopper`.
        :param vm_lease: The :class:`radishlanding.vm.VmLease`.
        :param worker_lease_s: Longest lease of a task, in seconds.
        """
        self._stopper = stopper
        self._table = table
        self._vm_lease = vm_lease
        self._worker = worker
        self._worker_lease_s = worker_lease_s

    def task_lease_s(self):
        """Return the lease to give a task now, in seconds, 0 for none."""
        return min(self._worker_lease_s, self._vm_lease.remaining_s())

    async def run(self):
        """Renew leases and watch the VM lease until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_repeatedly)
            nursery.start_soon(self._stop_before_expiry)

    async def renew(self):
        """Renew the leases of the running tasks once.

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

    async def _renew_repeatedly(self):
        """Renew leases from the first VM lease on."""
        while not self._vm_lease.was_held:
            await trio.sleep(FIRST_RENEWAL_POLL_S)
        while True:
            try:
                await self.renew()
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("renew_failed", reason=exc)
            await trio.sleep(RENEWAL_INTERVAL_S)

    async def _stop_before_expiry(self):
        """Evict tasks before the VM lease expires, and stop them after it."""
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            remaining_s = self._vm_lease.remaining_s()
            if 0 < remaining_s < EXPIRY_MARGIN_S:
                for task in self._table.running():
                    self._stopper.evict(task.key, reason="VM lease lapses")
            elif remaining_s == 0 and self._vm_lease.was_held:
                for task in self._table.running():
                    self._stopper.stop(task.key, reason="VM lease lapsed")
