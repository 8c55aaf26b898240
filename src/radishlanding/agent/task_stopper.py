"""Evicts and stops the tasks of a VM."""

import trio

from radishlanding.agent.worker_phases import WORKER_PHASES
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

RETRY_DELAY_S = 0.3
FROZEN_SHARE = 0.0
FULL_SHARE = 1.0
# States that a task reaches by itself, without being stopped.
COMPLETED_STATES = ("done", "failed")

_log = EventLog("radishlanding.agent")


class TaskStopper:
    """Stop tasks through the worker, each in a trio task of its own."""

    __slots__ = ("_nursery", "_table", "_worker")

    def __init__(self, *, worker, table, nursery):
        """Create an idle stopper.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param nursery: Nursery that stops and evictions run in.
        """
        self._nursery = nursery
        self._table = table
        self._worker = worker

    def evict(self, key, *, reason):
        """Checkpoint a task and stop it, in the background.

        Tasks that have ended or are being stopped already are left alone.

        :param key: Pair of task and epoch.
        :param reason: Why, for the report.
        """
        self._start_action(self._evict, key, reason)

    def stop(self, key, *, reason):
        """Stop a task without a checkpoint, in the background.

        :param key: Pair of task and epoch.
        :param reason: Why, for the report.
        """
        self._start_action(self._stop, key, reason)

    def _start_action(self, action, key, reason):
        task = self._table.find_idle(key)
        if task is not None:
            task.is_busy = True
            self._nursery.start_soon(self._run_action, action, task, reason)

    async def _run_action(self, action, task, reason):
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
        await self._stop_until_acknowledged(
            task, TaskPhase.CHECKPOINTED, reason
        )

    async def _stop(self, task, reason):
        await self._stop_until_acknowledged(task, TaskPhase.STOPPED, reason)

    async def _stop_until_acknowledged(self, task, phase, reason):
        """Retry a stop until the worker answers how the task has ended.

        The task's lease is not renewed meanwhile, so that it ends in any
        case. It may have finished or failed before the stop arrived.
        """
        task.status.phase = TaskPhase.STOPPING
        while True:
            try:
                await self._worker.stop(*task.key)
                item = await self._find(task)
                if item is not None and item.state in COMPLETED_STATES:
                    phase, reason = WORKER_PHASES[item.state], item.reason
                self._table.end(task, phase, reason=reason)
                return
            except WorkerUnavailable as exc:
                _log.warning("stop_unanswered", task=task.key[0], reason=exc)
            await trio.sleep(RETRY_DELAY_S)

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
