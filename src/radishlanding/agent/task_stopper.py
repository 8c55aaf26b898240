"""Evicts and stops the tasks of a VM."""

import trio

from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

RETRY_PAUSE_S = 0.3
FROZEN_SHARE = 0.0
FULL_SHARE = 1.0

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
        await self._stop_surely(task)
        self._table.end(task, TaskPhase.CHECKPOINTED, reason=reason)

    async def _stop(self, task, reason):
        await self._stop_surely(task)
        self._table.end(task, TaskPhase.STOPPED, reason=reason)

    async def _stop_surely(self, task):
        """Ask until the worker says that the task has stopped.

        Meanwhile its lease is not renewed, so that it ends anyway.
        """
        task.status.phase = TaskPhase.STOPPING
        while True:
            try:
                await self._worker.stop(*task.key)
                return
            except WorkerUnavailable as exc:
                _log.warning("stop_unanswered", task=task.key[0], reason=exc)
            await trio.sleep(RETRY_PAUSE_S)

    async def _unfreeze(self, task):
        task.status.phase = TaskPhase.RUNNING
        try:
            await self._worker.throttle(*task.key, share=FULL_SHARE)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("unfreeze_failed", task=task.key[0], reason=exc)
