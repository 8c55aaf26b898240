"""Watches what the worker says of a VM's tasks."""

import time

import trio

from radishlanding.agent.worker_phases import WORKER_PHASES
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

POLL_PAUSE_S = 0.5
FORGET_AFTER_S = 30.0

_log = EventLog("radishlanding.agent")


class TaskReconciler:
    """Bring the table in line with the worker's list."""

    __slots__ = ("_forget_s", "_run_again", "_table", "_worker")

    def __init__(self, *, worker, table, run_again):
        """Prepare; :meth:`run` watches.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param table: The :class:`TaskTable`.
        :param run_again: Coroutine function that runs an assignment whose
            run got no answer.
        """
        self._forget_s = {}
        self._run_again = run_again
        self._table = table
        self._worker = worker

    async def run(self):
        """Compare twice a second until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_PAUSE_S)
                try:
                    await self._round(nursery)
                except (WorkerUnavailable, WorkerRefused) as exc:
                    _log.warning("list_failed", reason=exc)

    async def _round(self, nursery):
        # A run may be under way while the list is made; only what the
        # worker had confirmed before can be missed in it.
        asked = [
            (task, task.is_unsure)
            for task in self._table.all()
            if not task.is_busy
        ]
        listed = await self._worker.list()
        items = {(item.task_id, item.epoch): item for item in listed}
        for task, was_unsure in asked:
            if task.has_ended or task.is_busy:
                continue
            item = items.get(task.key)
            if item is None:
                await self._unlisted(task, was_unsure)
            else:
                self._listed(task, item, nursery)
        await self._forget_settled(items)

    async def _unlisted(self, task, was_unsure):
        if task.is_unsure:
            await self._run_again(task)
        elif not was_unsure:
            self._table.end(
                task, TaskPhase.STOPPED, reason="unknown to the worker"
            )

    def _listed(self, task, item, nursery):
        task.is_unsure = False
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

    def settled(self, key):
        """Let the worker forget an assignment, some time from now.

        A run that was sent twice may come late; the worker refuses it as
        long as it remembers the assignment.

        :param key: Task and epoch.
        """
        self._forget_s[key] = time.monotonic() + FORGET_AFTER_S

    async def _forget_settled(self, items):
        now_s = time.monotonic()
        for key, due_s in list(self._forget_s.items()):
            if key not in items:
                del self._forget_s[key]
            elif due_s < now_s:
                await self._worker.forget(*key)
