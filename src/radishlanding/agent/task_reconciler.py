"""Reconciles the assignments of a VM with the worker's tasks."""

import time

import trio

from radishlanding.agent.worker_phases import WORKER_PHASES
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

POLL_INTERVAL_S = 0.5
FORGET_DELAY_S = 30.0

_log = EventLog("radishlanding.agent")


class TaskReconciler:
    """Update the task table from the worker's list, and make checkpoints."""

    __slots__ = ("_forget_at_s", "_retry_run", "_table", "_worker")

    def __init__(self, *, worker, table, retry_run):
        """Create the reconciler; :meth:`run` polls the worker.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param retry_run: Coroutine function that takes an assignment whose
            run got no answer, and runs it again.
        """
        self._forget_at_s = {}
        self._retry_run = retry_run
        self._table = table
        self._worker = worker

    async def run(self):
        """Poll the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_INTERVAL_S)
                try:
                    await self._reconcile(nursery)
                except (WorkerUnavailable, WorkerRefused) as exc:
                    _log.warning("list_failed", reason=exc)

    async def _reconcile(self, nursery):
        # The list may be made before a run that is in flight takes effect,
        # so that only tasks confirmed before the request can be missing.
        candidates = [
            (task, task.is_start_uncertain)
            for task in self._table.all()
            if not task.is_busy
        ]
        listed = await self._worker.list()
        items = {(item.task_id, item.epoch): item for item in listed}
        for task, was_uncertain in candidates:
            if task.has_ended or task.is_busy:
                continue
            item = items.get(task.key)
            if item is None:
                await self._handle_unlisted(task, was_uncertain)
            else:
                self._handle_listed(task, item, nursery)
        await self._forget_due(items)

    async def _handle_unlisted(self, task, was_uncertain):
        if task.is_start_uncertain:
            await self._retry_run(task)
        elif not was_uncertain:
            self._table.end(
                task, TaskPhase.STOPPED, reason="unknown to the worker"
            )

    def _handle_listed(self, task, item, nursery):
        task.is_start_uncertain = False
        if item.state != "running":
            task.status.checkpoint = item.checkpoint or task.status.checkpoint
            self._table.end(
                task, WORKER_PHASES[item.state], reason=item.reason
            )
        elif (
            task.checkpoint_every_s
            and time.monotonic() > task.checkpoint_due_s
        ):
            task.checkpoint_due_s = time.monotonic() + task.checkpoint_every_s
            nursery.start_soon(self._checkpoint, task)

    async def _checkpoint(self, task):
        try:
            task.status.checkpoint = await self._worker.checkpoint(*task.key)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("checkpoint_failed", task=task.key[0], reason=exc)

    def schedule_forget(self, key):
        """Let the worker forget an assignment after a delay.

        A duplicate run may still arrive, which the worker refuses only while
        it remembers the assignment.

        :param key: Pair of task and epoch.
        """
        self._forget_at_s[key] = time.monotonic() + FORGET_DELAY_S

    async def _forget_due(self, items):
        now_s = time.monotonic()
        for key, due_s in list(self._forget_at_s.items()):
            if key not in items:
                del self._forget_at_s[key]
            elif due_s < now_s:
                await self._worker.forget(*key)
