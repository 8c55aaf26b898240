"""Table of the assignments of a VM."""

import trio

from radishlanding.observe import EventLog

_log = EventLog("radishlanding.agent")


class TaskTable:
    """Hold every assignment of the VM until its end is on record."""

    __slots__ = ("_changed", "_ledger", "_tasks")

    def __init__(self, *, ledger):
        """Start empty.

        :param ledger: The VM's :class:`radishlanding.vm.Ledger`.
        """
        self._changed = trio.Event()
        self._ledger = ledger
        self._tasks = {}

    def all(self):
        """Return every assignment."""
        return list(self._tasks.values())

    def running(self):
        """Return the assignments that have not ended."""
        return [task for task in self._tasks.values() if not task.has_ended]

    def get(self, task_id):
        """Return the assignment of a task, or None."""
        return self._tasks.get(task_id)

    def find_idle(self, key):
        """Return an active assignment that is not being started or stopped.

        :param key: Pair of task and epoch.
        :returns: An :class:`AgentTask`, or None.
        """
        task = self._tasks.get(key[0])
        if task is None or task.key != key or task.has_ended or task.is_busy:
            return None
        return task

    def add(self, task):
        """Add an assignment whose capacity is allocated in the ledger."""
        self._tasks[task.status.task_id] = task

    def remove(self, task):
        """Remove an assignment."""
        del self._tasks[task.status.task_id]

    def end(self, task, phase, *, reason=""):
        """Record the end of an assignment, and release its capacity.

        Later calls change nothing.

        :param task: The :class:`AgentTask`.
        :param phase: A :class:`radishlanding.task.TaskPhase`.
        :param reason: Why it ended, for the report.
        """
        if task.has_ended:
            return
        task.end(phase, reason=reason)
        self._ledger.release(holder=task.status.task_id)
        self._changed.set()
        self._changed = trio.Event()
        _log.info(
            "task_ended",
            task=task.status.task_id,
            epoch=task.status.epoch,
            phase=phase,
            reason=reason,
        )

    async def wait_changed(self):
        """Wait until an assignment has ended."""
        await self._changed.wait()
