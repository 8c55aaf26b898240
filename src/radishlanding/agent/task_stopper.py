"""Evicts and stops the tasks of a VM."""

import trio

from radishlanding.agent.worker_phases import WORKER_PHASES
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

RETRY_PAUSE_S = 0.3
FROZEN_SHARE = 0.0
FULL_SHARE = 1.0
# States that a task reaches without being stopped.
OWN_ENDS = ("done", "failed")

_log = EventLog("radishlanding.agent")


class TaskStopper:
    """Stop tasks through the worker, each in a task of its own."""

    __slots__ = ("_nursery", "_table", "_worker")

    def __init__(self, *, worker, table, nursery):
        """Prepare the stopper.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param nursery: Nursery for what it does.
        """
        self._nursery = nursery
        self._table = table
        self._worker = worker

    def evict(self, key, *, reason):
        """Checkpoint a task and stop it, in the background.

        :param key: Task and epoch.
        :param reason: Why, for the report.
        """
        self._begin(self._evict, key, reason)

    def stop(self, key, *, reason):
        """Stop a task without a checkpoint, in the background."""
        self._begin(self._stop, key, reason)

    def _begin(self, action, key, reason):
        task = self._table.find_idle(key)
        if task is not None:
            task.is_busy = True
            self._nursery.start_soon(self._perform, action, task, reason)

    async def _perform(self, action, task, reason):
        try:
            await action(task, reason)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("stop_failed", task=task.key[0], reason=exc)
            await self._unfreeze(task)
        finally:
            task.is_busy = False

    async def _evict(self, task, reason):
        """Freeze the task, so that nothing runs after its checkpoint."""
        await self._worker.throttle(*task.key, share=FROZEN_SHARE)
        task.status.checkpoint = await self._worker.checkpoint(*task.key)
        await self._stop_surely(task, TaskPhase.CHECKPOINTED, reason)

    async def _stop(self, task, reason):
        await self._stop_surely(task, TaskPhase.STOPPED, reason)

    async def _stop_surely(self, task, phase, reason):
        """Ask until the worker says how the task has ended.

        Meanwhile its lease is not renewed, so that it ends anyway. It may
        have finished or failed before the stop came.
        """
        task.status.phase = TaskPhase.STOPPING
        while True:
            try:
                await self._worker.stop(*task.key)
                item = await self._find(task)
                if item is not None and item.state in OWN_ENDS:
                    phase, reason = WORKER_PHASES[item.state], item.reason
                self._table.end(task, phase, reason=reason)
                return
            except WorkerUnavailable as exc:
                _log.warning("stop_unanswered", task=task.key[0], reason=exc)
            await trio.sleep(RETRY_PAUSE_S)

    async def _find(self, task):
        """Return the task as the worker lists it, or None."""
        for item in await self._worker.list():
            if (item.task_id, item.epoch) == task.key:
                return item
        return None

    async def _unfreeze(self, task):
        task.status.phase = TaskPhase.RUNNING
        try:
            await self._worker.throttle(*task.key, share=FULL_SHARE)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("unfreeze_failed", task=task.key[0], reason=exc)
