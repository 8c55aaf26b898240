"""Manages the tasks of a VM."""

import trio

from radishlanding.agent.agent_task import AgentTask
from radishlanding.agent.lease_renewer import LeaseRenewer
from radishlanding.agent.task_reconciler import TaskReconciler
from radishlanding.agent.task_stopper import FULL_SHARE
from radishlanding.agent.task_stopper import TaskStopper
from radishlanding.agent.task_table import TaskTable
from radishlanding.agent.worker_phases import WORKER_PHASES
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.vm import InsufficientCapacity
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

_log = EventLog("radishlanding.agent")


class TaskManager:
    """Start, adopt, evict and stop tasks through the worker.

    An assignment is kept until its end is settled, which means that the
    shard's owner has it on record.
    """

    __slots__ = (
        "_guard",
        "_lease_renewer",
        "_ledger",
        "_reconciler",
        "_stopper",
        "_table",
        "_worker",
        "is_closed",
    )

    def __init__(
        self, *, worker, ledger, vm_lease, guard, worker_lease_s, nursery
    ):
        """Create the manager; call :meth:`adopt` before :meth:`run`.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param ledger: The VM's :class:`radishlanding.vm.Ledger`.
        :param vm_lease: The :class:`radishlanding.vm.VmLease`.
        :param guard: A :class:`StartGuard`.
        :param worker_lease_s: Longest lease of a task, in seconds.
        :param nursery: Nursery that stops and evictions run in.
        """
        self._guard = guard
        self._ledger = ledger
        self._table = TaskTable(ledger=ledger)
        self._worker = worker
        self._stopper = TaskStopper(
            worker=worker, table=self._table, nursery=nursery
        )
        self._lease_renewer = LeaseRenewer(
            worker=worker,
            table=self._table,
            stopper=self._stopper,
            vm_lease=vm_lease,
            worker_lease_s=worker_lease_s,
        )
        self._reconciler = TaskReconciler(
            worker=worker, table=self._table, retry_run=self._run_on_worker
        )
        self.is_closed = False

    def statuses(self):
        """Return the status of each assignment that is not settled."""
        return [task.status for task in self._table.all()]

    async def wait_changed(self):
        """Wait until a task has ended."""
        await self._table.wait_changed()

    async def adopt(self):
        """Add the tasks that the worker already has.

        :raises WorkerUnavailable: The worker gave no answer.
        :raises WorkerRefused: The worker refused.
        """
        for item in await self._worker.list():
            task = AgentTask(
                task_id=item.task_id, epoch=item.epoch, needs=item.needs
            )
            task.status.checkpoint = item.checkpoint
            if item.state == "running":
                self._ledger.adopt(holder=item.task_id, needs=item.needs)
                await self._worker.throttle(*task.key, share=FULL_SHARE)
            else:
                task.end(WORKER_PHASES[item.state], reason=item.reason)
            self._table.add(task)
        _log.info("tasks_adopted", tasks=len(self._table.all()))

    async def run(self):
        """Reconcile tasks and renew leases until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease_renewer.run)
            nursery.start_soon(self._reconciler.run)

    async def hand_over(self):
        """Refuse new tasks, and renew the leases of the running ones.

        The renewal gives the VM's next agent the most time to adopt them.

        :raises WorkerUnavailable: The worker gave no answer.
        :raises WorkerRefused: The worker refused.
        """
        self.is_closed = True
        await self._lease_renewer.renew()

    async def start(self, start, *, now_ms):
        """Start a task; the same assignment again changes nothing.

        :param start: A :class:`radishlanding.message.StartTask`.
        :param now_ms: The agent's clock, in milliseconds.
        :returns: An empty string, or why the start was refused.
        """
        known = self._table.get(start.task_id)
        if known is not None and known.status.epoch == start.epoch:
            return ""
        reason = self._refusal_reason(start, known, now_ms)
        if reason:
            return reason
        try:
            self._ledger.allocate(holder=start.task_id, needs=start.needs)
        except InsufficientCapacity as exc:
            return f"no room: {exc}"
        task = AgentTask.from_start(start)
        self._table.add(task)
        task.is_busy = True
        try:
            await self._run_on_worker(task)
        finally:
            task.is_busy = False
        if task.status.phase == TaskPhase.STOPPED:
            self._table.remove(task)
            return task.status.reason
        return ""

    def _refusal_reason(self, start, known, now_ms):
        if known is not None and not known.has_ended:
            return "an older assignment is still here"
        if self.is_closed:
            return "the agent is stopping"
        return self._guard.task_refusal_reason(start, now_ms=now_ms)

    async def _run_on_worker(self, task):
        """Run a task; its start stays uncertain if there is no answer."""
        task.is_start_uncertain = True
        lease_s = self._lease_renewer.task_lease_s()
        if lease_s <= 0:
            return
        try:
            await self._worker.run(task.start, lease_s=lease_s)
            task.is_start_uncertain = False
        except WorkerRefused as exc:
            self._table.end(task, TaskPhase.STOPPED, reason=f"worker: {exc}")
        except WorkerUnavailable as exc:
            _log.warning("run_unanswered", task=task.key[0], reason=exc)

    def evict(self, key, *, reason):
        """Checkpoint a task and stop it; see :meth:`TaskStopper.evict`."""
        self._stopper.evict(key, reason=reason)

    def stop(self, key, *, reason):
        """Stop a task without a checkpoint; see :meth:`TaskStopper.stop`."""
        self._stopper.stop(key, reason=reason)

    def settle(self, keys):
        """Remove ended assignments whose ends are on record.

        :param keys: Pairs of task and epoch.
        """
        for key in keys:
            task = self._table.get(key[0])
            if task is not None and task.key == key and task.has_ended:
                self._table.remove(task)
                self._reconciler.schedule_forget(key)
